//! Transient jobs, which are not stored: an entry dispatches them to agents, in virtual time.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;

use std::sync::Arc;

use fulmardrift::{
    Call, CallReply, CallRouterInput, ClientAction, JobGuard, JobId, JobStatus, Millis, RunOutcome,
    SentAfter, ServerAgentInput, Term,
};

use fleet::{Fleet, job, submit};

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);

/// A caller that lost its entry submits the job again after this long, in milliseconds.
const RESUBMIT_AFTER: u64 = 1_300;

#[test]
fn each_task_runs_once_and_the_caller_learns_the_result() {
    let mut fleet = Fleet::new(2, 3, 50);
    fleet.call(0, 1, submit(JobId(7), job(6, 50, true)), 1_500);
    fleet.run(200);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    let spans = fleet.spans();
    assert_eq!(spans.len(), 6);
    assert!(spans.iter().all(|s| s.outcome == Some(RunOutcome::Done)));
}

#[test]
fn a_second_submission_gets_the_result_of_the_first() {
    let mut fleet = Fleet::new(1, 2, 100);
    fleet.call(0, 1, submit(JobId(7), job(2, 100, true)), 1_500);
    fleet.run(20);
    fleet.call(0, 2, submit(JobId(7), job(2, 100, true)), 1_500);
    fleet.run(300);
    fleet.call(0, 3, submit(JobId(7), job(2, 100, true)), 1_500);
    fleet.run(10);
    for token in 1..=3 {
        assert_eq!(fleet.answer(0, token), Some(&COMPLETED), "call {token}");
    }
    assert_eq!(fleet.spans().len(), 2);
}

#[test]
fn a_job_of_a_killed_entry_never_runs_twice_at_a_time() {
    for work in [300, 2_000] {
        let mut fleet = Fleet::new(2, 3, work);
        fleet.call(0, 1, submit(JobId(7), job(3, work, true)), 5_000);
        fleet.run(100);
        fleet.kill_entry(0);
        fleet.run(RESUBMIT_AFTER);
        fleet.call(1, 2, submit(JobId(7), job(3, work, true)), 5_000);
        fleet.run(2 * work + 500);
        assert_eq!(fleet.answer(1, 2), Some(&COMPLETED), "work {work}");
        assert_eq!(fleet.overlaps(), [], "work {work}");
    }
}

#[test]
fn runs_of_a_restarted_entry_do_not_overlap_its_former_ones() {
    let mut fleet = Fleet::new(1, 2, 2_000);
    fleet.call(0, 1, submit(JobId(7), job(2, 2_000, true)), 5_000);
    fleet.run(100);
    fleet.kill_entry(0);
    fleet.run(300);
    fleet.start_entry(0);
    fleet.run(RESUBMIT_AFTER - 300);
    fleet.call(0, 2, submit(JobId(7), job(2, 2_000, true)), 5_000);
    fleet.run(2_500);
    assert_eq!(fleet.answer(0, 2), Some(&COMPLETED));
    assert_eq!(fleet.overlaps(), []);
}

#[test]
fn an_entry_with_a_slow_wall_clock_can_take_a_job_over() {
    let mut fleet = Fleet::new(2, 1, 2_000);
    fleet.entries[1].clock_skew_ms = -5_000;
    fleet.call(0, 1, submit(JobId(7), job(1, 2_000, true)), 5_000);
    fleet.run(100);
    fleet.kill_entry(0);
    fleet.run(RESUBMIT_AFTER);
    fleet.call(1, 2, submit(JobId(7), job(1, 2_000, true)), 5_000);
    fleet.run(2_500);
    assert_eq!(fleet.answer(1, 2), Some(&COMPLETED));
    assert_eq!(fleet.overlaps(), []);
}

#[test]
fn runs_of_a_frozen_agent_start_elsewhere_only_after_their_lease() {
    let mut fleet = Fleet::new(1, 2, 400);
    fleet.call(0, 1, submit(JobId(7), job(2, 400, true)), 8_000);
    fleet.run(50);
    fleet.agents[0].frozen = true;
    fleet.run(3_500);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    fleet.wake(0);
    fleet.run(1_000);
    assert_eq!(fleet.overlaps(), []);
}

#[test]
fn a_cut_between_entry_and_agent_ends_the_runs_behind_it() {
    let mut fleet = Fleet::new(1, 2, 2_000);
    fleet.call(0, 1, submit(JobId(7), job(4, 2_000, true)), 9_000);
    fleet.run(100);
    fleet.cut.push((0, 0));
    fleet.run(1_000);
    assert_eq!(
        fleet.agents[0].server.run_count(),
        0,
        "the grant has lapsed"
    );
    fleet.run(5_000);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    fleet.cut.clear();
    fleet.run(1_000);
    assert_eq!(fleet.overlaps(), []);
}

/// Guards against an entry that is killed for its memory because each order for a task of a large
/// job holds the payload once more.
#[test]
fn the_orders_of_a_job_share_its_payload() {
    let mut fleet = Fleet::new(1, 1, 600);
    fleet.call(0, 1, submit(JobId(7), job(3, 600, true)), 5_000);
    let payloads = fleet.ordered_payloads();
    assert_eq!(payloads.len(), 3);
    assert!(payloads.iter().all(|p| Arc::ptr_eq(p, &payloads[0])));
}

#[test]
fn a_restarted_agent_keeps_the_runs_that_its_entry_claims() {
    let mut fleet = Fleet::new(1, 1, 600);
    fleet.call(0, 1, submit(JobId(7), job(3, 600, true)), 5_000);
    fleet.run(100);
    fleet.restart_agent(0);
    fleet.run(1_000);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.spans().len(), 3, "no task was started again");
}

#[test]
fn an_agent_that_does_not_know_its_server_yet_does_not_report_it_empty() {
    for wait in [20, 100, 240, 400, 600] {
        let mut fleet = Fleet::new(1, 2, 3_000);
        fleet.announcement_interval_ms = 1_500;
        fleet.call(0, 1, submit(JobId(7), job(4, 3_000, true)), 9_000);
        fleet.run(wait);
        fleet.restart_agent_unannounced(0);
        fleet.run(8_000);
        assert_eq!(fleet.overlaps(), [], "restarted after {wait} ms");
        assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    }
}

#[test]
fn a_start_carried_out_late_is_refused() {
    let mut fleet = Fleet::new(1, 2, 100);
    fleet.agents[0].start_delay = Some(Millis(2_500));
    fleet.agents[1].start_delay = Some(Millis(2_500));
    fleet.call(0, 1, submit(JobId(7), job(2, 100, true)), 5_000);
    fleet.run(30);
    fleet.agents[0].start_delay = None;
    fleet.agents[1].start_delay = None;
    fleet.run(4_000);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.spans().len(), 2, "the late starts did nothing");
}

#[test]
fn an_unanswered_hold_call_does_not_delay_the_ends() {
    let mut fleet = Fleet::new(1, 2, 50);
    fleet.call(0, 1, submit(JobId(7), job(6, 50, true)), 1_500);
    fleet.run(20);
    for slot in &mut fleet.agents {
        slot.unanswered_calls = 1;
    }
    // 50 ms of work, and as much again for the second hold call.
    fleet.run(100);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert!(fleet.agents.iter().all(|slot| slot.unanswered_calls == 0));
}

#[test]
fn a_crashed_backend_servers_tasks_run_elsewhere() {
    let mut fleet = Fleet::new(1, 2, 300);
    fleet.call(0, 1, submit(JobId(7), job(4, 300, true)), 5_000);
    fleet.run(50);
    let now = fleet.now;
    fleet.agents[0].server.crash(now);
    fleet.run(1_500);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.overlaps(), []);
}

#[test]
fn a_stalled_run_is_moved() {
    let mut fleet = Fleet::new(1, 2, 100);
    fleet.agents[0].server.is_hung = true;
    fleet.call(0, 1, submit(JobId(7), job(4, 100, true)), 5_000);
    fleet.run(2_500);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.overlaps(), []);
}

#[test]
fn a_healthy_long_run_is_not_moved() {
    let mut fleet = Fleet::new(1, 2, 900);
    fleet.call(0, 1, submit(JobId(7), job(2, 300, true)), 5_000);
    fleet.run(1_200);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(
        fleet.spans().len(),
        2,
        "the estimate is three times too short"
    );
}

#[test]
fn nothing_starts_on_a_leaving_server_or_in_an_evacuated_data_centre() {
    let mut fleet = Fleet::new(1, 3, 50);
    fleet.agents[0].server.leaving = true;
    let heartbeat = fleet.agents[0].server.heartbeat();
    fleet.agent_input(0, ServerAgentInput::Heartbeat(heartbeat));
    fleet.router_input(0, CallRouterInput::Evacuated(5, vec!["dc1".to_owned()]));
    fleet.call(0, 1, submit(JobId(7), job(8, 50, true)), 5_000);
    fleet.run(400);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.agents[0].server.spans, []);
    assert_eq!(fleet.agents[1].server.spans, []);
}

#[test]
fn an_agent_itself_refuses_starts_while_its_data_centre_is_evacuated() {
    let mut fleet = Fleet::new(1, 2, 50);
    let data_centres = vec!["dc0".to_owned()];
    fleet.agent_input(0, ServerAgentInput::Evacuated(5, data_centres));
    fleet.call(0, 1, submit(JobId(7), job(6, 50, true)), 5_000);
    fleet.run(1_000);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.agents[0].server.spans, []);
}

#[test]
fn capacity_is_never_exceeded_by_entries_that_compete() {
    let mut fleet = Fleet::new(3, 2, 100);
    for entry in 0..3 {
        let id = JobId(100 + entry as u64);
        fleet.call(entry, 1, submit(id, job(6, 100, true)), 5_000);
    }
    let mut max_running = 0;
    for _ in 0..600 {
        fleet.run(1);
        for slot in &fleet.agents {
            max_running = max_running.max(slot.server.run_count());
        }
    }
    assert_eq!(max_running, 4, "four cores, one for each task");
    for entry in 0..3 {
        assert_eq!(fleet.answer(entry, 1), Some(&COMPLETED));
    }
}

#[test]
fn when_a_caller_disconnects_its_jobs_runs_are_stopped() {
    let mut fleet = Fleet::new(1, 1, 2_000);
    fleet.call(0, 1, submit(JobId(7), job(2, 2_000, true)), 5_000);
    fleet.run(100);
    fleet.router_input(0, CallRouterInput::Left(1));
    fleet.run(100);
    assert_eq!(fleet.agents[0].server.run_count(), 0);
}

#[test]
fn only_jobs_that_never_ran_are_refused() {
    // There are four cores and each job takes one for 1.5 s, so most jobs find no room in time.
    let mut fleet = Fleet::new(1, 1, 1_500);
    for token in 0..12 {
        let id = JobId(token);
        fleet.call(0, token, submit(id, job(1, 200, true)), 2_000);
    }
    fleet.run(2_500);
    let mut refused = 0;
    for token in 0..12 {
        let ran = fleet.spans().iter().any(|s| s.task.job == JobId(token));
        match fleet.answer(0, token) {
            Some(CallReply::Refused(_)) => {
                refused += 1;
                assert!(!ran, "job {token} was refused and ran");
            }
            Some(_) => assert!(ran),
            None => panic!("job {token} has no answer"),
        }
    }
    assert!(refused > 0);
}

#[test]
fn a_job_whose_starts_were_all_denied_is_refused_as_not_run() {
    // Two entries compete for one worker. The second does not know that the first has filled it.
    let mut fleet = Fleet::new(2, 1, 1_500);
    for token in 0..4 {
        fleet.call(0, token, submit(JobId(token), job(1, 1_500, true)), 4_000);
    }
    for token in 10..14 {
        fleet.call(1, token, submit(JobId(token), job(1, 200, true)), 1_500);
    }
    fleet.run(1_600);
    for token in 10..14 {
        let answer = fleet.answer(1, token);
        assert!(
            matches!(answer, Some(CallReply::Refused(_))),
            "job {token} never ran: {answer:?}"
        );
        assert!(fleet.spans().iter().all(|s| s.task.job != JobId(token)));
    }
}

#[test]
fn a_job_lost_with_its_worker_is_never_refused_as_not_run() {
    let mut fleet = Fleet::new(1, 1, 3_000);
    fleet.call(0, 1, submit(JobId(1), job(1, 100, true)), 6_000);
    fleet.run(100);
    fleet.cut.push((0, 0));
    fleet.run(6_000);
    assert_eq!(fleet.answer(0, 1), Some(&CallReply::Unknown));
}

/// Guards against jobs with part of their work done that end as unknown under shortage, though their
/// callers still wait.
#[test]
fn under_shortage_a_job_that_has_begun_is_finished_before_its_deadline() {
    // There are four cores. The first job needs them for three rounds, far beyond its target.
    let mut fleet = Fleet::new(1, 1, 400);
    fleet.call(0, 1, submit(JobId(1), job(12, 40, true)), 6_000);
    fleet.run(100);
    for token in 2..12 {
        fleet.call(0, token, submit(JobId(token), job(1, 400, true)), 6_000);
    }
    fleet.run(6_000);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.overlaps(), []);
}

#[test]
fn under_shortage_a_job_that_cannot_end_before_its_deadline_is_abandoned_at_once() {
    // There are four cores. The first job needs them for three rounds, and its caller waits for two.
    let mut fleet = Fleet::new(1, 1, 400);
    fleet.call(0, 1, submit(JobId(1), job(12, 400, true)), 1_000);
    fleet.run(100);
    for token in 2..12 {
        fleet.call(0, token, submit(JobId(token), job(1, 400, true)), 6_000);
    }
    fleet.run(700);
    assert_eq!(fleet.answer(0, 1), Some(&CallReply::Unknown));
    fleet.run(5_500);
    assert_eq!(fleet.overlaps(), []);
}

#[test]
fn without_shortage_a_late_job_is_finished() {
    let mut fleet = Fleet::new(1, 1, 400);
    fleet.call(0, 1, submit(JobId(1), job(12, 40, true)), 6_000);
    fleet.run(1_500);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
}

#[test]
fn an_entry_that_reaches_no_worker_is_not_ready() {
    let mut fleet = Fleet::new(2, 2, 50);
    assert!(fleet.is_ready(0));
    fleet.cut = vec![(0, 0)];
    fleet.run(2_000);
    assert!(fleet.is_ready(0), "one worker is left");
    fleet.router_input(0, CallRouterInput::Evacuated(9, vec!["dc1".to_owned()]));
    assert!(
        !fleet.is_ready(0),
        "the only reachable worker is in an evacuated data centre"
    );
    assert!(fleet.is_ready(1));
    fleet.cut.clear();
    fleet.run(500);
    assert!(fleet.is_ready(0));
}

#[test]
fn an_unknown_queue_is_detected_by_the_configuration_in_force() {
    let mut fleet = Fleet::new(1, 1, 50);
    let call = Call::Client {
        host: "desk.example".to_owned(),
        path: "/other/0000000000000001".to_owned(),
        action: ClientAction::Query,
    };
    fleet.call(0, 1, call, 1_000);
    assert_eq!(fleet.answer(0, 1), Some(&CallReply::NoQueue));
}

#[test]
fn a_job_is_logged_as_its_caller_names_it() {
    let id = JobId(0xd01a_65e9_693f_0633);
    assert_eq!(format!("{id:?}"), "d01a65e9693f0633");
}

/// Guards against jobs that a stopping entry takes so late that its process ends before their answer
/// (LOST).
#[test]
fn a_stopping_entry_refuses_jobs_that_may_outlast_it() {
    let mut fleet = Fleet::new(1, 2, 100);
    fleet.run(100);
    let stops_at = fleet.now + Millis(1_000);
    fleet.router_input(0, CallRouterInput::StopsAt(stops_at));
    fleet.call(0, 1, submit(JobId(1), job(1, 100, true)), 900);
    fleet.call(0, 2, submit(JobId(2), job(1, 100, true)), 1_500);
    assert!(matches!(fleet.answer(0, 2), Some(CallReply::Refused(_))));
    fleet.run(500);
    assert_eq!(
        fleet.answer(0, 1),
        Some(&CallReply::State(JobStatus::Completed))
    );
    // The refused one has not run.
    assert_eq!(fleet.spans().len(), 1);
}

/// Guards against a stop that is lost with an agent's session: the run goes on beside that of the
/// job when it is submitted again at another entry.
#[test]
fn a_stop_that_is_lost_with_a_session_is_repeated() {
    for ms_before in [1, 20, 45] {
        let mut fleet = Fleet::new(2, 1, 4_000);
        fleet.call(0, 1, submit(JobId(7), job(2, 4_000, true)), 9_000);
        fleet.run(100);
        fleet.restart_agent(0);
        fleet.run(ms_before);
        fleet.router_input(0, CallRouterInput::Left(1));
        fleet.run(RESUBMIT_AFTER);
        fleet.call(1, 2, submit(JobId(7), job(2, 4_000, true)), 9_000);
        fleet.run(5_000);
        assert_eq!(fleet.answer(1, 2), Some(&COMPLETED));
        assert_eq!(fleet.overlaps(), [], "{ms_before} ms after the restart");
    }
}

/// Guards against a second run of a task at once when its backend server refuses connections for a
/// while, though it runs on.
#[test]
fn runs_at_a_backend_server_that_refuses_connections_start_elsewhere_after_their_lease() {
    for refused_for in [100, 500, 1_100, 2_500] {
        let mut fleet = Fleet::new(1, 2, 1_800);
        fleet.call(0, 1, submit(JobId(7), job(4, 1_800, true)), 9_000);
        fleet.run(50);
        fleet.agents[0].server.refuses_until = fleet.now + Millis(refused_for);
        fleet.run(6_000);
        assert_eq!(fleet.answer(0, 1), Some(&COMPLETED), "{refused_for} ms");
        assert_eq!(fleet.overlaps(), [], "{refused_for} ms");
        let restarts = fleet.spans().len() - 4;
        let has_lasted = refused_for == 100;
        assert_eq!(restarts == 0, has_lasted, "{refused_for} ms: {restarts}");
    }
}

/// Guards against runs that are given up for the announcement of a backend server that does not run
/// there, as another writer may send it.
#[test]
fn an_announcement_under_another_id_ends_no_run() {
    for started_at in [1, 1_000, u64::MAX] {
        let mut fleet = Fleet::new(1, 2, 400);
        fleet.call(0, 1, submit(JobId(7), job(4, 400, true)), 3_000);
        fleet.run(50);
        let mut other = fleet.agents[0].server.heartbeat();
        "i-57%E9%FF".clone_into(&mut other.id);
        other.started_at = Some(started_at);
        other.sequence = u64::MAX;
        fleet.agent_input(0, ServerAgentInput::Heartbeat(other));
        fleet.run(900);
        assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
        assert_eq!(fleet.overlaps(), [], "started at {started_at}");
        assert_eq!(fleet.spans().len(), 4, "started at {started_at}");
    }
}

/// Guards against an agent that never uses its backend server, as another writer's announcement came
/// first.
#[test]
fn a_backend_server_is_used_after_another_one_was_announced_falsely() {
    let mut fleet = Fleet::new(1, 1, 100);
    let mut other = fleet.agents[0].server.heartbeat();
    "i-57%E9%FF".clone_into(&mut other.id);
    other.started_at = Some(u64::MAX);
    fleet.restart_agent_unannounced(0);
    fleet.agent_input(0, ServerAgentInput::Heartbeat(other));
    fleet.run(1_500);
    fleet.call(0, 1, submit(JobId(7), job(2, 100, true)), 1_000);
    fleet.run(300);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
}

/// Guards against runs that are given up as soon as their backend server says that it leaves: it may
/// work on for a while, and a late message may be of its former incarnation.
#[test]
fn runs_at_a_backend_server_that_has_left_start_elsewhere_after_their_lease() {
    let mut fleet = Fleet::new(1, 2, 400);
    fleet.call(0, 1, submit(JobId(7), job(4, 400, true)), 3_000);
    fleet.run(50);
    let id = fleet.agents[0].server.id.clone();
    fleet.agent_input(0, ServerAgentInput::ServerLeft(id));
    fleet.run(1_500);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.overlaps(), []);
}

/// Guards against a lease that outlasts the agent's bound for it, as the last reading of the backend
/// server's slow clock was long ago (TWICE).
#[test]
fn the_lease_of_a_mute_backend_server_with_a_slow_clock_ends_in_time() {
    for mute_for in [1_000, 4_000, 8_000, 14_000] {
        let mut fleet = Fleet::new(1, 2, 30_000);
        for slot in &mut fleet.agents {
            slot.server.slow_clock_percent = 2;
        }
        fleet.run(1_000);
        fleet.call(0, 1, submit(JobId(7), job(4, 30_000, true)), 90_000);
        fleet.run(100);
        fleet.agents[0].mute = true;
        fleet.run(mute_for);
        fleet.agents[0].server.refuses_until = fleet.now + Millis(3_000);
        fleet.run(3_000);
        assert!(fleet.spans().len() > 4, "none started elsewhere");
        assert_eq!(fleet.overlaps(), [], "mute for {mute_for} ms");
    }
}

/// Guards against tasks that an entry starts after their caller's deadline, as it was paused and has
/// not checked deadlines since.
#[test]
fn an_entry_that_was_paused_starts_nothing_after_the_deadline() {
    let mut fleet = Fleet::new(1, 1, 300);
    fleet.call(0, 1, submit(JobId(1), job(4, 300, true)), 5_000);
    fleet.run(40);
    fleet.call(0, 2, submit(JobId(2), job(1, 300, true)), 350);
    fleet.entries[0].frozen = true;
    fleet.run(400);
    fleet.wake_entry(0);
    fleet.run(500);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert!(matches!(fleet.answer(0, 2), Some(CallReply::Refused(_))));
    assert!(fleet.spans().iter().all(|s| s.task.job != JobId(2)));
}

/// Guards against a task that is started again while its order is under way to an agent that was
/// paused: an inventory that the agent had sent before says that it has no backend server.
#[test]
fn an_order_that_meets_an_older_inventory_starts_no_second_run() {
    for paused_for in (320..780).step_by(20) {
        let mut fleet = Fleet::new(2, 2, 1_500);
        // Leases of an earlier life of the agents count until then.
        fleet.run(1_000);
        fleet.call(0, 1, submit(JobId(1), job(4, 1_500, true)), 9_000);
        fleet.call(0, 2, submit(JobId(2), job(4, 1_500, true)), 9_000);
        fleet.call(1, 3, submit(JobId(3), job(4, 1_500, true)), 9_000);
        fleet.run(100);
        // Several hold calls are open when it pauses.
        for _ in 0..3 {
            fleet.agent_input(0, ServerAgentInput::Leader(Some(Term(1))));
        }
        fleet.agents[0].frozen = true;
        fleet.run(paused_for);
        fleet.wake(0);
        fleet.run(9_000);
        assert_eq!(fleet.overlaps(), [], "paused for {paused_for} ms");
    }
}

/// Guards against two runs of a task at a time: an order meets a report that the backend server has
/// left, which a late notice of its former incarnation had caused.
#[test]
fn an_order_that_meets_the_notice_of_a_server_that_has_left_starts_no_second_run() {
    for away in 2..30 {
        let mut fleet = Fleet::new(1, 2, 1_500);
        fleet.run(1_000);
        fleet.entries[0].frozen = true;
        fleet.call(0, 1, submit(JobId(1), job(2, 1_500, true)), 9_000);
        fleet.agent_input(0, ServerAgentInput::ServerLeft("s0".to_owned()));
        let heartbeat = fleet.agents[0].server.heartbeat();
        fleet.agent_input(0, ServerAgentInput::Heartbeat(heartbeat));
        fleet.run(away);
        fleet.wake_entry(0);
        fleet.run(6_000);
        assert_eq!(fleet.overlaps(), [], "away for {away} ms");
    }
}

/// Guards against a job that has ended and is answered as not run: its end comes in the turn in which
/// its deadline passes.
#[test]
fn a_job_that_ends_at_its_deadline_is_not_answered_as_not_run() {
    for frozen in [0, 60, 150] {
        for wait in 290..340 {
            let mut fleet = Fleet::new(1, 1, 300);
            fleet.run(1_000);
            fleet.call(0, 1, submit(JobId(1), job(1, 300, true)), wait);
            if frozen > 0 {
                fleet.run(295);
                fleet.entries[0].frozen = true;
                fleet.run(frozen);
                fleet.wake_entry(0);
            }
            fleet.run(600);
            let spans = fleet.spans();
            let done = spans.iter().any(|s| s.outcome == Some(RunOutcome::Done));
            let refused = matches!(fleet.answer(0, 1), Some(CallReply::Refused(_)));
            assert!(!done || !refused, "waits {wait} ms, paused for {frozen} ms");
        }
    }
}

/// Guards against a run that began and is answered as not run: its agent paused before it reported
/// the start, and its lease expired.
#[test]
fn a_start_that_was_not_reported_is_not_answered_as_not_run() {
    for before in 0..6 {
        let mut fleet = Fleet::new(1, 1, 1_500);
        fleet.run(1_000);
        fleet.call(0, 1, submit(JobId(1), job(1, 1_500, true)), 2_000);
        fleet.run(before);
        fleet.agents[0].frozen = true;
        fleet.run(450);
        fleet.wake(0);
        fleet.agent_input(0, ServerAgentInput::ServerLeft("s0".to_owned()));
        fleet.agents[0].server.leaving = true;
        fleet.run(2_500);
        let refused = matches!(fleet.answer(0, 1), Some(CallReply::Refused(_)));
        assert!(
            fleet.spans().is_empty() || !refused,
            "paused after {before} ms"
        );
    }
}

/// Longest age of a request that is ordered at once, in milliseconds.
const ON_TIME: u64 = 200;
/// Age of a request whose caller has long sent the job to another entry, in milliseconds.
const LATE: u64 = 2_900;

/// Guards against two runs of a task at the same time: an entry ordered the tasks of a request that was
/// held up on its way, one millisecond before it read that the caller had left.
#[test]
fn a_late_call_orders_nothing_if_its_caller_has_left() {
    for guarded in [true, false] {
        let disabled: &[_] = if guarded { &[] } else { &[JobGuard::LateCall] };
        let mut fleet = Fleet::with_disabled(2, 2, 200, disabled);
        fleet.call(1, 1, submit(JobId(7), job(4, 200, true)), 1_500);
        fleet.run(20);
        fleet.call_aged(0, 1, submit(JobId(7), job(4, 200, true)), [LATE; 2], 1_500);
        fleet.run(5);
        fleet.router_input(0, CallRouterInput::Left(1));
        fleet.run(500);
        assert_eq!(fleet.answer(1, 1), Some(&COMPLETED));
        assert_eq!(fleet.overlaps().is_empty(), guarded);
        assert_eq!(fleet.spans().len() == 4, guarded);
    }
}

/// Guards against late orders after a pause: the entry ordered waiting jobs before it read that their
/// callers had left.
#[test]
fn after_a_pause_nothing_is_ordered_before_the_ends_of_connections_are_read() {
    let mut fleet = Fleet::new(1, 1, 200);
    let mut out = Vec::new();
    let now = fleet.now;
    let router = fleet.entries[0].router.as_mut().unwrap();
    let input = CallRouterInput::Call {
        token: 1,
        call: submit(JobId(7), job(4, 200, true)),
        sent: SentAfter {
            surely: now,
            usually: now,
        },
        deadline: now + Millis(1_500),
    };
    // The process stands still within the turn.
    router.step(now, input, &mut out);
    router.flush(now + Millis(300), Millis(1_780_000_000_300), &mut out);
    router.step(now + Millis(301), CallRouterInput::Left(1), &mut out);
    router.flush(now + Millis(301), Millis(1_780_000_000_301), &mut out);
    router.step(now + Millis(340), CallRouterInput::Tick, &mut out);
    router.flush(now + Millis(340), Millis(1_780_000_000_340), &mut out);
    assert_eq!(out, []);
}

/// Guards against late orders of calls that waited in the entry's own queue.
#[test]
fn a_call_that_waited_in_the_queue_orders_nothing_if_its_caller_has_left() {
    let mut fleet = Fleet::new(1, 1, 200);
    fleet.entries[0].frozen = true;
    fleet.call(0, 1, submit(JobId(7), job(4, 200, true)), 1_500);
    fleet.run(300);
    fleet.wake_entry(0);
    fleet.router_input(0, CallRouterInput::Left(1));
    fleet.run(100);
    assert_eq!(fleet.spans().len(), 0);
}

#[test]
fn a_late_call_of_a_waiting_caller_is_served() {
    let mut fleet = Fleet::new(1, 2, 50);
    fleet.call_aged(0, 1, submit(JobId(7), job(2, 50, true)), [LATE; 2], 1_500);
    fleet.run(200);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.spans().len(), 2);
}

#[test]
fn a_call_that_can_not_be_late_is_ordered_at_once() {
    for age in [0, ON_TIME] {
        let mut fleet = Fleet::new(1, 2, 50);
        fleet.call_aged(0, 1, submit(JobId(7), job(2, 50, true)), [age; 2], 1_500);
        let sent_at = fleet.now;
        fleet.run(10);
        let spans = fleet.spans();
        assert_eq!(spans.len(), 2, "age {age}");
        // One hop to the agent, one to the backend server.
        let at_once = |span: &server::Span| span.started_at <= sent_at + Millis(2);
        assert!(spans.iter().all(at_once), "age {age}");
    }
}

#[test]
fn a_late_call_joins_the_job_that_runs() {
    let mut fleet = Fleet::new(1, 2, 50);
    fleet.call(0, 1, submit(JobId(7), job(2, 50, true)), 1_500);
    fleet.run(10);
    fleet.call_aged(0, 2, submit(JobId(7), job(2, 50, true)), [LATE; 2], 1_500);
    fleet.run(45);
    assert_eq!(fleet.answer(0, 2), Some(&COMPLETED));
    assert_eq!(fleet.spans().len(), 2);
}

/// Guards against a delay of each request on a kept connection, and against late orders where such
/// connections had all been silent.
#[test]
fn a_call_on_an_idle_connection_waits_only_after_a_silence() {
    for silence in [0, 2_000] {
        let mut fleet = Fleet::new(1, 2, 50);
        // Without calls since the entry's start, which is no silence.
        fleet.run(1_000);
        for token in 11..=14 {
            fleet.call(0, token, submit(JobId(token), job(2, 50, true)), 1_500);
            fleet.run(200);
        }
        fleet.run(silence);
        let before = fleet.spans().len();
        for token in [2, 3] {
            let call = submit(JobId(token + 6), job(2, 50, true));
            fleet.call_aged(0, token, call, [LATE, 0], 1_500);
        }
        fleet.run(5);
        let ordered = fleet.spans().len() - before;
        assert_eq!(ordered, if silence == 0 { 4 } else { 0 });
        fleet.router_input(0, CallRouterInput::Left(2));
        fleet.run(300);
        assert_eq!(fleet.answer(0, 3), Some(&COMPLETED));
        assert_eq!(
            fleet.spans().len() - before,
            if silence == 0 { 4 } else { 2 }
        );
    }
}

/// Guards against a stopping entry that ends while callers wait, and closes their connections without
/// an answer (review/13).
#[test]
fn a_stopping_entry_answers_all_calls_before_it_ends() {
    const JOB_MS: u64 = 14_000;
    const WAIT_MS: u64 = 30_000;
    let mut fleet = Fleet::new(1, 1, JOB_MS);
    // The first takes the only worker, the second waits for it.
    fleet.call(0, 1, submit(JobId(1), job(4, JOB_MS, true)), WAIT_MS);
    fleet.run(300);
    fleet.call(0, 2, submit(JobId(2), job(4, JOB_MS, true)), WAIT_MS);
    fleet.call(0, 3, Call::GetConfig, WAIT_MS);
    fleet.run(300);
    assert_eq!(fleet.answer(0, 2), None);
    let stops_at = fleet.now + Millis(5_400);
    fleet.router_input(0, CallRouterInput::StopsAt(stops_at));
    fleet.call(0, 4, submit(JobId(4), job(4, JOB_MS, true)), WAIT_MS);
    fleet.run(100);
    // What has not begun and can't end in time is refused at once.
    for call in [2, 4] {
        let answer = fleet.answer(0, call);
        assert!(matches!(answer, Some(CallReply::Refused(_))), "call {call}");
    }
    fleet.run(5_300);
    // A tick later.
    fleet.run(20);
    assert_eq!(fleet.answer(0, 1), Some(&CallReply::Unknown));
    assert!(matches!(fleet.answer(0, 3), Some(CallReply::Refused(_))));
    assert_eq!(fleet.spans().len(), 4, "only tasks of the first job");
}

/// Guards against a stopping entry that gives up jobs which can still end in time.
#[test]
fn a_stopping_entry_serves_what_can_end_in_time() {
    let mut fleet = Fleet::new(1, 1, 400);
    fleet.call(0, 1, submit(JobId(1), job(4, 400, true)), 30_000);
    fleet.run(300);
    // It waits for the end of the first.
    fleet.call(0, 2, submit(JobId(2), job(4, 400, true)), 30_000);
    fleet.run(20);
    assert_eq!(fleet.spans().len(), 4);
    let stops_at = fleet.now + Millis(5_400);
    fleet.router_input(0, CallRouterInput::StopsAt(stops_at));
    fleet.run(1_000);
    fleet.call(0, 3, submit(JobId(3), job(4, 400, true)), 30_000);
    fleet.run(1_000);
    for call in 1..=3 {
        assert_eq!(fleet.answer(0, call), Some(&COMPLETED), "call {call}");
    }
}

/// Guards against a stopping entry whose calls for the first configuration stay open, and against a
/// second notice that cuts the time of open calls short.
#[test]
fn a_stopping_entry_answers_calls_that_wait_for_the_configuration() {
    let mut fleet = Fleet::new(1, 1, 100);
    fleet.kill_entry(0);
    fleet.start_entry_without_config(0);
    fleet.call(0, 1, submit(JobId(1), job(1, 100, false)), 30_000);
    let stops_at = fleet.now + Millis(300);
    fleet.router_input(0, CallRouterInput::StopsAt(stops_at));
    fleet.run(100);
    fleet.router_input(0, CallRouterInput::StopsAt(fleet.now));
    fleet.run(100);
    assert_eq!(fleet.answer(0, 1), None);
    fleet.run(120);
    assert!(matches!(fleet.answer(0, 1), Some(CallReply::Refused(_))));
}

/// Guards against a job whose entry answers a cancel with "no such job", and goes on to start its tasks.
#[test]
fn a_cancelled_job_is_stopped_by_the_entry_that_runs_it() {
    let mut fleet = Fleet::new(1, 1, 1_000);
    // More tasks than run at a time.
    fleet.call(0, 1, submit(JobId(1), job(8, 1_000, true)), 30_000);
    fleet.run(300);
    let cancel = Call::Client {
        host: "desk.example".to_owned(),
        path: format!("/jobs/{}", JobId(1)),
        action: ClientAction::Cancel,
    };
    fleet.call(0, 2, cancel, 1_000);
    fleet.run(100);
    assert_eq!(fleet.answer(0, 2), Some(&CallReply::Done));
    let cancelled = CallReply::State(JobStatus::Cancelled);
    assert_eq!(fleet.answer(0, 1), Some(&cancelled));
    fleet.run(3_000);
    assert_eq!(fleet.spans().len(), 4);
    assert_eq!(fleet.agents[0].server.run_count(), 0);
}
