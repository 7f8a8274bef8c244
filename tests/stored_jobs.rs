//! Tests of stored jobs with three replicas, one agent and its backend server, in virtual time.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;
#[path = "fakes/stored.rs"]
mod stored;

use fulmardrift::{
    Call, CallReply, ClientAction, JobGuard, JobId, JobStatus, Millis, OperatorConfig,
    ReplicaInput, RunId, RunOutcome, TaskId,
};

use fleet::{config, job, submit};
use server::Span;
use stored::TestGroup;

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);

#[test]
fn a_stored_job_is_accepted_run_and_shown() {
    let mut group = TestGroup::new(100);
    assert_eq!(
        group.ask(&submit(JobId(1), job(3, 100, false))),
        CallReply::Done
    );
    assert_eq!(
        group.ask(&submit(JobId(1), job(3, 100, false))),
        CallReply::Done
    );
    group.run(500);
    assert_eq!(group.job_status(JobId(1)), COMPLETED);
    assert_eq!(group.job_status(JobId(2)), CallReply::NoJob);
    assert_eq!(group.server.spans.len(), 3);
}

#[test]
fn a_new_leader_finishes_what_the_former_one_accepted() {
    for wait in [10, 60, 150, 400, 900] {
        let mut group = TestGroup::new(300);
        assert_eq!(
            group.ask(&submit(JobId(1), job(4, 300, false))),
            CallReply::Done
        );
        group.run(wait);
        let leader = group.leader();
        group.kill(leader);
        group.run(6_000);
        assert_eq!(
            group.job_status(JobId(1)),
            COMPLETED,
            "killed after {wait} ms"
        );
        assert!(group.runs_each_task_once(), "{:?}", group.server.spans);
    }
}

#[test]
fn jobs_survive_the_loss_of_all_processes() {
    let mut group = TestGroup::new(300);
    assert_eq!(
        group.ask(&submit(JobId(1), job(4, 300, false))),
        CallReply::Done
    );
    for at in 0..3 {
        group.kill(at);
    }
    group.run(500);
    for at in 0..3 {
        group.start(at);
    }
    group.run(6_000);
    assert_eq!(group.job_status(JobId(1)), COMPLETED);
    assert!(group.runs_each_task_once(), "{:?}", group.server.spans);
}

#[test]
fn a_wiped_leader_loses_nothing() {
    let mut group = TestGroup::new(100);
    assert_eq!(
        group.ask(&Call::PutConfig(Some(config(5)))),
        CallReply::Done
    );
    let leader = group.leader();
    group.wipe(leader);
    group.run(200);
    group.start(leader);
    group.run(4_000);
    assert_eq!(
        group.ask(&Call::GetConfig),
        CallReply::Document(config(5).document)
    );
    let voters = group.slots[group.leader()]
        .replica
        .as_ref()
        .unwrap()
        .raft()
        .voters()
        .len();
    assert_eq!(voters, 3, "the new disk replaced the old one");
}

#[test]
fn a_cancelled_job_is_stopped_and_starts_no_more() {
    let mut group = TestGroup::new(2_000);
    assert_eq!(
        group.ask(&submit(JobId(1), job(8, 2_000, false))),
        CallReply::Done
    );
    group.run(100);
    let cancel = Call::Client {
        host: "desk.example".to_owned(),
        path: format!("/jobs/{}", JobId(1)),
        action: ClientAction::Cancel,
    };
    assert_eq!(group.ask(&cancel), CallReply::Done);
    let started = group.server.spans.len();
    group.run(1_000);
    assert_eq!(
        group.job_status(JobId(1)),
        CallReply::State(JobStatus::Cancelled)
    );
    assert_eq!(group.server.run_count(), 0);
    assert_eq!(group.server.spans.len(), started);
}

#[test]
fn the_highest_version_wins_and_other_content_under_it_is_refused() {
    let mut group = TestGroup::new(100);
    assert_eq!(
        group.ask(&Call::PutConfig(Some(config(7)))),
        CallReply::Done
    );
    assert_eq!(
        group.ask(&Call::PutConfig(Some(config(3)))),
        CallReply::Done
    );
    assert_eq!(
        group.ask(&Call::PutConfig(Some(config(7)))),
        CallReply::Done
    );
    let other = OperatorConfig {
        document: b"something else".to_vec(),
        ..config(7)
    };
    assert_eq!(
        group.ask(&Call::PutConfig(Some(other))),
        CallReply::Conflict
    );
    assert!(matches!(
        group.ask(&Call::PutConfig(None)),
        CallReply::Invalid(_)
    ));
    assert_eq!(
        group.ask(&Call::GetConfig),
        CallReply::Document(config(7).document)
    );
}

#[test]
fn nothing_starts_in_a_data_centre_that_is_out() {
    let mut group = TestGroup::new(100);
    assert_eq!(
        group.ask(&Call::Evacuate("dc0".to_owned(), true)),
        CallReply::Done
    );
    assert_eq!(
        group.ask(&submit(JobId(1), job(2, 100, false))),
        CallReply::Done
    );
    group.run(1_000);
    assert_eq!(group.server.spans, []);
    assert_eq!(
        group.ask(&Call::Evacuate("dc0".to_owned(), false)),
        CallReply::Done
    );
    group.run(500);
    assert_eq!(group.job_status(JobId(1)), COMPLETED);
}

/// Cuts the agent off at several times and for several durations. Returns in how many trials a task
/// was repeated.
fn repeats_after_cut_off(disabled: &[JobGuard]) -> usize {
    let mut repeats = 0;
    for (before, work) in [(10, 300), (100, 300), (200, 1_200), (200, 2_000)] {
        for cut in [600, 1_200, 1_600, 2_200, 2_600, 2_900, 3_300, 5_000] {
            let mut group = TestGroup::with_disabled(work, disabled);
            assert_eq!(
                group.ask(&submit(JobId(1), job(3, work, false))),
                CallReply::Done
            );
            group.run(before);
            group.cut_off_agent();
            group.run(cut);
            group.reconnect_agent();
            group.run(5_000);
            assert_eq!(
                group.job_status(JobId(1)),
                COMPLETED,
                "cut off for {cut} ms"
            );
            repeats += usize::from(!group.runs_each_task_once());
        }
    }
    repeats
}

#[test]
fn a_run_behind_a_cut_is_not_repeated_once_its_end_is_confirmed() {
    assert_eq!(repeats_after_cut_off(&[]), 0);
}

/// Kills all replicas at times around the first end of a run. Returns in how many trials a task was
/// repeated.
fn repeats_after_kill(disabled: &[JobGuard]) -> usize {
    let mut repeats = 0;
    for wait in 200..320 {
        let mut group = TestGroup::with_disabled(300, disabled);
        assert_eq!(
            group.ask(&submit(JobId(1), job(4, 300, false))),
            CallReply::Done
        );
        group.run(wait);
        for at in 0..3 {
            group.kill(at);
        }
        group.run(200);
        for at in 0..3 {
            group.start(at);
        }
        group.run(4_000);
        assert_eq!(
            group.job_status(JobId(1)),
            COMPLETED,
            "killed after {wait} ms"
        );
        repeats += usize::from(!group.runs_each_task_once());
    }
    repeats
}

#[test]
fn an_end_is_confirmed_only_once_it_is_on_record() {
    assert_eq!(repeats_after_kill(&[]), 0);
    assert!(repeats_after_kill(&[JobGuard::Record]) > 0);
}

#[test]
fn jobs_that_have_not_begun_are_counted_by_a_new_leader() {
    let mut group = TestGroup::new(100);
    assert_eq!(
        group.ask(&Call::Evacuate("dc0".to_owned(), true)),
        CallReply::Done
    );
    for id in 1..=5 {
        assert_eq!(
            group.ask(&submit(JobId(id), job(1, 100, false))),
            CallReply::Done
        );
    }
    let queue = Call::Client {
        host: "desk.example".to_owned(),
        path: "/jobs/".to_owned(),
        action: ClientAction::Query,
    };
    assert_eq!(group.ask(&queue), CallReply::Pending(5));
    group.kill(group.leader());
    group.run(3_000);
    assert_eq!(group.ask(&queue), CallReply::Pending(5));
}

/// Two queues with equal settings, the first of which is sent to `service`.
fn two_queues(version: u64, service: &str) -> Call {
    let mut config = config(version);
    let mut other = config.queues[0].clone();
    "/other/".clone_into(&mut other.prefix);
    config.queues.push(other);
    service.clone_into(&mut config.queues[0].settings.service);
    Call::PutConfig(Some(config))
}

/// Jobs that wait are counted for the queue that accepted them, whatever its settings are by now.
#[test]
fn jobs_are_counted_that_were_accepted_under_other_settings_of_their_queue() {
    let mut group = TestGroup::new(100);
    assert_eq!(
        group.ask(&Call::Evacuate("dc0".to_owned(), true)),
        CallReply::Done
    );
    assert_eq!(group.ask(&two_queues(2, "desk")), CallReply::Done);
    for id in 1..=5 {
        assert_eq!(
            group.ask(&submit(JobId(id), job(1, 100, false))),
            CallReply::Done
        );
    }
    let query = |path: &str| Call::Client {
        host: "desk.example".to_owned(),
        path: path.to_owned(),
        action: ClientAction::Query,
    };
    assert_eq!(group.ask(&query("/other/")), CallReply::Pending(0));
    assert_eq!(group.ask(&two_queues(3, "bench")), CallReply::Done);
    assert_eq!(
        group.ask(&submit(JobId(6), job(1, 100, false))),
        CallReply::Done
    );
    assert_eq!(group.ask(&query("/jobs/")), CallReply::Pending(6));
    group.kill(group.leader());
    group.run(3_000);
    assert_eq!(group.ask(&query("/jobs/")), CallReply::Pending(6));
    assert_eq!(group.ask(&query("/other/")), CallReply::Pending(0));
}

#[test]
fn a_failed_run_that_two_leaders_record_counts_once() {
    // The former leader records the end, and is killed before the agent learns of it. The new
    // leader records the same end again.
    for wait in 0..60 {
        let mut group = TestGroup::new(200);
        group.server.failures_to_come = 2;
        assert_eq!(
            group.ask(&submit(JobId(1), job(1, 200, false))),
            CallReply::Done
        );
        group.run(140 + wait);
        let leader = group.leader();
        group.kill(leader);
        group.run(200);
        group.start(leader);
        group.run(6_000);
        assert_eq!(
            group.job_status(JobId(1)),
            COMPLETED,
            "killed after {wait} ms"
        );
    }
}

/// Ids that grew beyond their term could win over those of a later leader.
#[test]
fn a_run_id_refused_as_stale_keeps_later_ids_within_the_term() {
    const TERM_SHIFT: u32 = 32;
    let mut group = TestGroup::new(100);
    let (_, term) = group.leader.unwrap();
    let task = TaskId {
        job: JobId(1),
        step: 0,
        index: 0,
    };
    // The backend server refuses the first ids of this leader.
    let refused = RunId((term.0 << TERM_SHIFT) + 5);
    group.server.revoke(task, refused);
    assert_eq!(
        group.ask(&submit(JobId(1), job(1, 100, false))),
        CallReply::Done
    );
    group.run(3_000);
    assert_eq!(group.job_status(JobId(1)), COMPLETED);
    for span in &group.server.spans {
        assert_eq!(span.run.0 >> TERM_SHIFT, term.0, "{span:?}");
    }
}

/// Guards against a cancelled job whose runs go on, as the order to stop them had no session.
#[test]
fn a_job_cancelled_while_its_agent_is_away_is_stopped_when_it_is_back() {
    let mut group = TestGroup::new(20_000);
    let submit = submit(JobId(7), job(2, 20_000, false));
    assert_eq!(group.ask(&submit), CallReply::Done);
    group.run(100);
    assert_eq!(group.server.run_count(), 2);
    group.cut_off_agent();
    let cancel = Call::Client {
        host: "desk.example".to_owned(),
        path: format!("/jobs/{}", JobId(7)),
        action: ClientAction::Cancel,
    };
    assert_eq!(group.ask(&cancel), CallReply::Done);
    group.reconnect_agent();
    group.run(300);
    assert_eq!(group.server.run_count(), 0);
    group.run(3_000);
    assert!(group.server.spans.len() == 2 && group.runs_each_task_once());
}

/// Guards against overdue jobs that never start behind jobs that fit on no backend server (review/5).
#[test]
fn jobs_that_fit_nowhere_hold_no_others_up() {
    const HOPELESS: u64 = 15;
    const SMALL: u64 = 12;
    const BUSY_MS: u64 = 8_000;
    let mut group = TestGroup::new(BUSY_MS);
    for id in 1..=HOPELESS {
        let mut spec = job(1, 100, false);
        // Each needs another amount, so that one says nothing of the next.
        spec.steps[0].need.cpu = group.server.capacity.cpu + u32::try_from(HOPELESS - id).unwrap();
        spec.steps[0].need.cpu += 1;
        assert_eq!(group.ask(&submit(JobId(id), spec)), CallReply::Done);
    }
    let full = job(group.server.capacity.cpu / 1_000, BUSY_MS, false);
    let full_id = JobId(HOPELESS + 1);
    assert_eq!(group.ask(&submit(full_id, full)), CallReply::Done);
    let busy_until = group.now + Millis(BUSY_MS);
    for id in 1..=SMALL {
        let small = submit(JobId(100 + id), job(1, 100, false));
        assert_eq!(group.ask(&small), CallReply::Done);
    }
    group.run(busy_until.since(group.now).0 - 100);
    assert_eq!(group.server.spans.len(), 4, "all small jobs wait");
    // The runs end now, and those of the small jobs 100 ms after their start.
    group.server.work = Millis(100);
    group.run(14_000);
    assert_eq!(group.job_status(full_id), COMPLETED);
    for id in 1..=SMALL {
        assert_eq!(group.job_status(JobId(100 + id)), COMPLETED, "job {id}");
    }
    let hopeless = group.job_status(JobId(1));
    assert_eq!(hopeless, CallReply::State(JobStatus::Queued));
}

fn cancel(id: JobId) -> Call {
    Call::Client {
        host: "desk.example".to_owned(),
        path: format!("/jobs/{id}"),
        action: ClientAction::Cancel,
    }
}

/// Guards against a cancel that is answered "no such job" while the acceptance of its job waits to be
/// committed, so that the job runs to its end (review/14).
#[test]
fn a_job_that_is_cancelled_while_it_is_being_accepted_does_not_run() {
    // Before, while and after the acceptance is written.
    for wait in [0, 1, 5, 9, 15] {
        let mut group = TestGroup::new(500);
        let leader = group.leader();
        let spec = job(2, 500, false);
        group.input(leader, ReplicaInput::Call(9_001, submit(JobId(1), spec)));
        group.run(wait);
        group.input(leader, ReplicaInput::Call(9_002, cancel(JobId(1))));
        group.run(100);
        assert_eq!(group.replies.get(&9_001), Some(&CallReply::Done));
        assert_eq!(group.replies.get(&9_002), Some(&CallReply::Done));
        let cancelled = CallReply::State(JobStatus::Cancelled);
        assert_eq!(group.job_status(JobId(1)), cancelled, "after {wait} ms");
        group.run(2_000);
        assert_eq!(group.server.run_count(), 0);
        let mut spans = group.server.spans.iter();
        let is_done = |span: &Span| span.outcome == Some(RunOutcome::Done);
        assert!(!spans.any(is_done), "after {wait} ms");
        // It stays one job, which is cancelled, when it is submitted again.
        let spec = job(2, 500, false);
        assert_eq!(group.ask(&submit(JobId(1), spec)), CallReply::Done);
        assert_eq!(group.job_status(JobId(1)), cancelled);
    }
}

/// Guards against a cancel that a leader without the acceptance's commit answers: it is repeated, as
/// its submission is, and comes after that again.
#[test]
fn a_cancel_is_not_answered_while_the_leader_is_lost() {
    let mut group = TestGroup::new(500);
    let leader = group.leader();
    let spec = job(2, 500, false);
    group.input(leader, ReplicaInput::Call(9_001, submit(JobId(1), spec)));
    group.input(leader, ReplicaInput::Call(9_002, cancel(JobId(1))));
    group.kill(leader);
    group.run(3_000);
    assert_eq!(group.replies.get(&9_002), None);
}
