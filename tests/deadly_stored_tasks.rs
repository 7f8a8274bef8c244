//! Stored jobs with a task that crashes every backend server that starts it, with three replicas,
//! one agent and its backend server, in virtual time.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;
#[path = "fakes/stored.rs"]
mod stored;

use fulmardrift::{
    AgentReport, CallReply, JobId, JobStatus, Millis, RunEnd, RunId, RunOutcome, TaskId,
};

use fleet::{job, submit};
use stored::TestGroup;

const FAILED: CallReply = CallReply::State(JobStatus::Failed);
const DEADLY_JOB: JobId = JobId(1);
/// A task under which this many backend servers have crashed is never started again.
const MAX_CRASHES: u32 = 3;
/// Longer than it takes to crash this many backend servers, one after the other, twice over.
const PLAY_MS: u64 = 40_000;

/// A group that has accepted a job of two tasks, of which the first is deadly.
fn group_with_deadly_task() -> TestGroup {
    let mut group = TestGroup::new(200);
    group.server.deadly = vec![TaskId {
        job: DEADLY_JOB,
        step: 0,
        index: 0,
    }];
    let spec = job(2, 200, false);
    assert_eq!(group.ask(&submit(DEADLY_JOB, spec)), CallReply::Done);
    group
}

fn restart_all(group: &mut TestGroup) {
    for at in 0..3 {
        group.kill(at);
    }
    group.run(300);
    for at in 0..3 {
        group.start(at);
    }
}

/// Runs until the backend server has crashed once more, or `ms` have passed.
fn run_to_next_crash(group: &mut TestGroup, ms: u64) {
    let before = group.server.crashes;
    for _ in 0..ms {
        group.run(1);
        if group.server.crashes > before {
            return;
        }
    }
}

fn check(group: &mut TestGroup) {
    let crashes = group.server.crashes;
    assert!(crashes <= MAX_CRASHES, "{crashes} backend servers crashed");
    assert_eq!(group.job_status(DEADLY_JOB), FAILED);
}

/// Guards against a stored task that is started again and again although it crashes every backend
/// server that starts it.
#[test]
fn a_stored_task_is_given_up_after_three_crashes() {
    let mut group = group_with_deadly_task();
    group.run(PLAY_MS);
    check(&mut group);
}

/// Guards against a crash that is not counted since it kept the answer to the start back.
#[test]
fn a_task_whose_start_is_never_answered_is_given_up_too() {
    let mut group = group_with_deadly_task();
    group.server.crash_age = Millis(0);
    group.run(PLAY_MS);
    check(&mut group);
}

/// Guards against a count of crashes that a new leader begins anew.
#[test]
fn a_new_leader_knows_how_often_a_stored_task_crashed() {
    let mut group = group_with_deadly_task();
    for wait in [1, 30, 500, 3_100, 2_000, 1] {
        run_to_next_crash(&mut group, PLAY_MS / 4);
        group.run(wait);
        let leader = group.leader();
        group.kill(leader);
        group.run(1_500);
        group.start(leader);
        group.run(500);
    }
    group.run(PLAY_MS / 4);
    check(&mut group);
}

/// Guards against a count of crashes that a restart of all replicas loses, or a lost disk.
#[test]
fn a_restart_of_all_keeps_how_often_a_stored_task_crashed() {
    let mut group = group_with_deadly_task();
    for wait in [1, 30, 500, 3_100] {
        run_to_next_crash(&mut group, PLAY_MS / 4);
        group.run(wait);
        restart_all(&mut group);
        group.run(1_000);
        let leader = group.leader();
        group.wipe(leader);
        group.run(200);
        group.start(leader);
        group.run(2_000);
    }
    group.run(PLAY_MS / 4);
    check(&mut group);
}

/// Guards against a count of crashes that begins anew when the caller submits the job again.
#[test]
fn a_job_submitted_again_keeps_how_often_its_task_crashed() {
    let mut group = group_with_deadly_task();
    for _ in 0..6 {
        run_to_next_crash(&mut group, PLAY_MS / 4);
        let again = submit(DEADLY_JOB, job(2, 200, false));
        assert_eq!(group.ask(&again), CallReply::Done);
    }
    group.run(PLAY_MS / 4);
    check(&mut group);
}

/// Guards against a second run of a task while the end of the first is being recorded: the agent had
/// reported an earlier crash again over a new session.
#[test]
fn a_crash_reported_again_does_not_undo_an_end_that_is_being_recorded() {
    for cut_after in (0..240).step_by(20) {
        let mut group = TestGroup::new(200);
        let spec = job(2, 200, false);
        assert_eq!(group.ask(&submit(DEADLY_JOB, spec)), CallReply::Done);
        group.run(50);
        let now = group.now;
        group.server.lose_power(now);
        while group.server.is_down() || group.server.run_count() == 0 {
            group.run(1);
        }
        group.run(cut_after);
        group.cut_off_agent();
        group.run(500);
        group.reconnect_agent();
        group.run(PLAY_MS / 4);
        assert!(group.runs_each_task_once(), "cut after {cut_after} ms");
        let completed = CallReply::State(JobStatus::Completed);
        assert_eq!(group.job_status(DEADLY_JOB), completed);
    }
}

const LONG_MS: u64 = 5_000;
const TASK: TaskId = TaskId {
    job: DEADLY_JOB,
    step: 0,
    index: 0,
};

/// A group whose new leader has not heard the agent that runs the only task, and its leader.
fn group_with_unheard_agent() -> (TestGroup, usize) {
    let mut group = TestGroup::new(LONG_MS);
    let spec = job(1, LONG_MS, false);
    assert_eq!(group.ask(&submit(DEADLY_JOB, spec)), CallReply::Done);
    while group.server.run_count() == 0 {
        group.run(1);
    }
    let former = group.leader();
    group.kill(former);
    group.cut_off_agent();
    while !group.is_led() {
        group.run(1);
    }
    group.run(20);
    let leader = group.leader();
    (group, leader)
}

/// Another agent with an idle worker connects, and reports what it knows of an earlier run of the task.
/// Checks that the task is started there only once the unheard agent can run nothing.
fn check_start_on_other_agent(reports_before: &[AgentReport], reports_after: &[AgentReport]) {
    // Well within the time for which the unheard agent may act for the group.
    const UNHEARD_MS: u64 = 300;
    let (mut group, leader) = group_with_unheard_agent();
    group.connect_other_agent(leader, reports_before, reports_after);
    group.run(UNHEARD_MS);
    assert_eq!(group.server.run_count(), 1);
    assert!(!group.other_agent_has_order());
    for _ in 0..40 {
        group.run(100);
        group.send_other_heartbeat(leader);
    }
    assert!(group.other_agent_has_order());
}

/// Guards against a second run beside the first: a new leader learns of an earlier crash under the
/// task from one agent before another one has listed the task's present run.
#[test]
fn a_crash_does_not_start_a_task_that_an_unheard_agent_may_run() {
    let crash = AgentReport::Crashed {
        life: 1,
        runs: vec![(TASK, RunId(1))],
        unanswered: Vec::new(),
    };
    check_start_on_other_agent(&[crash], &[]);
}

/// Guards against the same after a failed run whose end is reported again, since its record was
/// not confirmed to its agent.
#[test]
fn a_failed_run_does_not_start_a_task_that_an_unheard_agent_may_run() {
    let end = RunEnd {
        task: TASK,
        run: RunId(1),
        outcome: RunOutcome::Failed,
    };
    let ends = AgentReport::Ends {
        life: 2,
        ends: vec![(1, end)],
    };
    check_start_on_other_agent(&[], &[ends]);
}
