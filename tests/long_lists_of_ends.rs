//! More ends wait at a backend server than one list holds. Guards against tasks that start again
//! because their ends are not in the list yet, and against ends that wait for those of a
//! dispatcher that is gone.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;
#[path = "fakes/stored.rs"]
mod stored;

use fulmardrift::{
    AgentReport, CallReply, HoldReply, JobId, JobStatus, Millis, Owner, RunId, RunOutcome,
    ServerAgent, ServerAgentInput, ServerAgentOutput, ServerCall, ServerCallKind, ServerReply,
    TaskId, Term, Times,
};

use fleet::{Fleet, job, submit};
use stored::TestGroup;

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);
/// More than two lists hold.
const TASKS: u32 = 1_200;
/// As many ends as a list holds.
const LIST: u32 = 500;
/// Duration of a run, in milliseconds.
const WORK: u64 = 300;

/// A group whose backend server runs all tasks of a stored job.
fn group_with_a_wide_job() -> TestGroup {
    group_with_a_job(TASKS)
}

fn group_with_a_job(tasks: u32) -> TestGroup {
    let mut group = TestGroup::new(WORK);
    group.server.enlarge(tasks);
    group.run(300);
    let spec = job(tasks, WORK, false);
    assert_eq!(group.ask(&submit(JobId(1), spec)), CallReply::Done);
    group.run(60);
    assert_eq!(group.server.run_count(), tasks as usize);
    group
}

/// Checks that each task ran once, and that all ends were recorded.
fn check_ends(group: &mut TestGroup) {
    check_ends_of(group, TASKS);
}

fn check_ends_of(group: &mut TestGroup, tasks: u32) {
    assert_eq!(group.job_status(JobId(1)), COMPLETED);
    assert_eq!(group.server.spans.len(), tasks as usize);
    assert_eq!(group.server.end_count(), 0);
}

/// Lets time pass until the backend server has no more than `left` unconfirmed ends.
fn confirm_down_to(group: &mut TestGroup, left: usize) {
    for _ in 0..3_000 {
        if group.server.run_count() == 0 && group.server.end_count() <= left {
            return;
        }
        group.run(1);
    }
    panic!("{} ends are not confirmed", group.server.end_count());
}

#[test]
fn ends_that_wait_for_a_leader_are_all_recorded() {
    let mut group = group_with_a_wide_job();
    group.kill(group.leader());
    group.run(3_000);
    check_ends(&mut group);
}

#[test]
fn a_list_that_is_just_full_is_read_to_its_end() {
    for tasks in [LIST - 1, LIST, LIST + 1, 2 * LIST] {
        let mut group = group_with_a_job(tasks);
        group.kill(group.leader());
        group.run(3_000);
        check_ends_of(&mut group, tasks);
    }
}

#[test]
fn a_second_leader_behind_a_long_list_starts_no_task_again() {
    for left in [TASKS, TASKS - LIST, LIST] {
        let mut group = group_with_a_wide_job();
        let first = group.leader();
        group.kill(first);
        group.run(WORK);
        group.start(first);
        confirm_down_to(&mut group, left as usize);
        if group.is_led() {
            group.kill(group.leader());
        }
        group.run(4_000);
        check_ends(&mut group);
    }
}

#[test]
fn an_agent_that_restarts_without_a_leader_starts_no_task_again() {
    for at in [0, 100, WORK, 2 * WORK] {
        let mut group = group_with_a_wide_job();
        group.kill(group.leader());
        group.run(at);
        group.restart_agent();
        group.run(4_000);
        assert!(group.runs_each_task_once(), "restarted after {at} ms");
        assert_eq!(group.job_status(JobId(1)), COMPLETED);
    }
}

#[test]
fn an_agent_that_is_cut_off_behind_a_long_list_starts_no_task_again() {
    for at in [100, WORK, WORK + 20, WORK + 60] {
        let mut group = group_with_a_wide_job();
        group.run(at);
        group.cut_off_agent();
        group.run(400);
        group.reconnect_agent();
        group.run(4_000);
        assert!(group.runs_each_task_once(), "cut off after {at} ms");
        assert_eq!(group.job_status(JobId(1)), COMPLETED);
    }
}

#[test]
fn a_restarted_agent_reads_all_ends_before_it_sends_its_inventory() {
    let mut group = group_with_a_wide_job();
    group.is_mute = true;
    group.run(WORK);
    assert_eq!(group.server.end_count(), TASKS as usize);
    // The grant follows at once, with which tasks that seem to be gone could start again.
    while !(group.now.0 + 10).is_multiple_of(250) {
        group.run(1);
    }
    group.is_mute = false;
    group.restart_agent();
    group.run(2_000);
    check_ends(&mut group);
}

#[test]
fn a_start_that_got_lost_is_repeated_behind_a_long_list() {
    let mut group = group_with_a_wide_job();
    group.server.enlarge(TASKS + 1);
    group.run(100);
    group.is_mute = true;
    group.lost_starts = 1;
    assert_eq!(
        group.ask(&submit(JobId(2), job(1, WORK, false))),
        CallReply::Done
    );
    group.run(WORK);
    assert_eq!(group.lost_starts, 0);
    assert_eq!(group.server.end_count(), TASKS as usize);
    group.is_mute = false;
    group.run(2_000);
    assert_eq!(group.job_status(JobId(2)), COMPLETED);
    assert_eq!(group.job_status(JobId(1)), COMPLETED);
    assert_eq!(group.server.spans.len(), TASKS as usize + 1);
}

#[test]
fn ends_of_a_killed_entry_hold_up_those_of_no_other() {
    let mut fleet = Fleet::new(2, 1, WORK);
    fleet.agents[0].server.enlarge(TASKS + 4);
    fleet.run(300);
    fleet.call(0, 1, submit(JobId(7), job(TASKS, WORK, true)), 5_000);
    fleet.run(60);
    assert_eq!(fleet.agents[0].server.run_count(), TASKS as usize);
    fleet.call(1, 2, submit(JobId(8), job(4, WORK, true)), 5_000);
    fleet.run(20);
    fleet.kill_entry(0);
    // The work, and four tenths of a second to give up three lists of ends.
    fleet.run(WORK + 400);
    assert_eq!(fleet.answer(1, 2), Some(&COMPLETED));
    fleet.run(2_000);
    let spans = fleet.spans();
    let of_other = spans.iter().filter(|span| span.task.job == JobId(8));
    assert_eq!(of_other.count(), 4, "each task ran once");
    let done = |span: &&server::Span| span.outcome == Some(RunOutcome::Done);
    assert_eq!(spans.iter().filter(done).count(), TASKS as usize + 4);
}

/// An entry with a wide transient job that stands still for `away` ms from before the runs end. Others'
/// ends wait behind those of its runs, which are confirmed meanwhile if it is away for long.
fn fleet_with_an_absent_entry(away: u64) -> Fleet {
    let mut fleet = Fleet::new(2, 1, WORK);
    fleet.agents[0].server.enlarge(TASKS + 4);
    fleet.run(300);
    fleet.call(0, 1, submit(JobId(7), job(TASKS, WORK, true)), 5_000);
    fleet.run(60);
    fleet.call(1, 2, submit(JobId(8), job(4, WORK, true)), 5_000);
    fleet.run(WORK - 100);
    fleet.entries[0].frozen = true;
    fleet.run(away);
    fleet
}

#[test]
fn an_entry_that_comes_back_gets_the_ends_that_were_confirmed_meanwhile() {
    for away in [80, 150, 250, 450] {
        let mut fleet = fleet_with_an_absent_entry(away);
        fleet.wake_entry(0);
        fleet.run(2_000);
        for (entry, token) in [(0, 1), (1, 2)] {
            assert_eq!(fleet.answer(entry, token), Some(&COMPLETED), "away {away}");
        }
        assert_eq!(fleet.spans().len(), TASKS as usize + 4, "away {away}");
    }
}

#[test]
fn confirmed_ends_that_are_lost_with_their_agent_overlap_no_second_run() {
    for away in [80, 150, 250, 450] {
        let mut fleet = fleet_with_an_absent_entry(away);
        fleet.restart_agent(0);
        fleet.wake_entry(0);
        fleet.run(4_000);
        for (entry, token) in [(0, 1), (1, 2)] {
            assert_eq!(fleet.answer(entry, token), Some(&COMPLETED), "away {away}");
        }
        assert_eq!(fleet.overlaps(), [], "away {away}");
    }
}

fn step(agent: &mut ServerAgent, now: u64, input: ServerAgentInput) -> Vec<ServerAgentOutput> {
    let mut out = Vec::new();
    agent.step(Millis(now), input, &mut out);
    out
}

/// The last hold call in `outputs`, and the number of the last end that it acknowledges.
fn last_hold(outputs: &[ServerAgentOutput]) -> Option<(&ServerCall, u64)> {
    let mut holds = outputs.iter().filter_map(|output| match output {
        ServerAgentOutput::Call(call) => match call.kind {
            ServerCallKind::Hold { acknowledged, .. } => Some((call, acknowledged)),
            _ => None,
        },
        ServerAgentOutput::Report(..) => None,
    });
    holds.next_back()
}

fn hold_reply(numbers: std::ops::RangeInclusive<u64>, may_have_more_ends: bool) -> ServerReply {
    let row = |number: u64| {
        let index = u32::try_from(number).unwrap();
        let (job, step) = (JobId(1), 0);
        let task = TaskId { job, step, index };
        (number, task, RunId(number), RunOutcome::Done)
    };
    ServerReply::HoldReply(HoldReply {
        clock: Millis(5_000),
        started_at: Some(1_000),
        ended: numbers.map(row).collect(),
        may_have_more_ends,
        ..HoldReply::default()
    })
}

/// The numbers of the ends that the leader is told of, and whether it is sent the inventory.
fn reports(outputs: &[ServerAgentOutput]) -> (Vec<u64>, bool) {
    let mut numbers = Vec::new();
    let mut has_inventory = false;
    for output in outputs {
        match output {
            ServerAgentOutput::Report(Owner::Group, AgentReport::Ends { ends, .. }) => {
                assert!(!has_inventory, "ends go before the inventory");
                numbers.extend(ends.iter().map(|(number, _)| *number));
            }
            ServerAgentOutput::Report(Owner::Group, AgentReport::Inventory { .. }) => {
                has_inventory = true;
            }
            _ => {}
        }
    }
    (numbers, has_inventory)
}

#[test]
fn an_inventory_waits_for_the_last_list_of_ends() {
    let mut agent = ServerAgent::new(Times::default());
    let heartbeat = server::FakeServer::new("s0", "dc0", Millis(WORK)).heartbeat();
    let outputs = step(&mut agent, 1, ServerAgentInput::Heartbeat(heartbeat));
    let early = last_hold(&outputs).unwrap().0.id;
    let unanswered = ServerAgentInput::Replied(early, ServerReply::NoAnswer);
    step(&mut agent, 2, unanswered);
    let outputs = step(&mut agent, 2, ServerAgentInput::Leader(Some(Term(3))));
    let first = last_hold(&outputs).unwrap().0.id;
    let replied = ServerAgentInput::Replied(first, hold_reply(1..=500, true));
    let outputs = step(&mut agent, 3, replied);
    // Runs whose ends are still to come would seem to be gone.
    assert_eq!(reports(&outputs), ((1..=500).collect(), false));
    let (owner, life, upto) = (Owner::Group, 1_000, 500);
    let recorded = ServerAgentInput::Recorded { owner, life, upto };
    let mut outputs = step(&mut agent, 20, recorded);
    outputs.extend(step(&mut agent, 40, ServerAgentInput::Tick));
    let (second, acknowledged) = last_hold(&outputs).unwrap();
    assert_eq!(acknowledged, 500);
    let replied = ServerAgentInput::Replied(second.id, hold_reply(501..=600, false));
    let outputs = step(&mut agent, 41, replied);
    assert_eq!(reports(&outputs), ((501..=600).collect(), true));
}
