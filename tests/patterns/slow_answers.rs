//! Backend servers that answer calls late, as they are busy.

use fulmardrift::{CallReply, JobId, JobStatus, Millis};

use crate::fleet::{Fleet, job, submit};

const ENTRIES: usize = 2;
const AGENTS: usize = 4;
const WORK_MS: u64 = 200;
const JOBS: u64 = 100;
const WAIT_MS: u64 = 1_500;
/// Time between two jobs; half of the room is in use.
const GAP_MS: u64 = 50;
/// Calls for a run of 200 ms: its start, a hold call every 40 ms, and two for its end.
const MAX_CALLS: u64 = 8;
const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);

/// Sends jobs while answers take this long; returns how many were served, and the number of calls and
/// of runs.
fn play(answer_delay: u64) -> (usize, u64, usize) {
    let mut fleet = Fleet::new(ENTRIES, AGENTS, WORK_MS);
    for slot in &mut fleet.agents {
        slot.answer_delay = Millis(answer_delay);
    }
    let before = fleet.server_calls;
    for id in 1..=JOBS {
        let entry = usize::from(id % 2 == 0);
        fleet.call(entry, id, submit(JobId(id), job(2, WORK_MS, true)), WAIT_MS);
        fleet.run(GAP_MS);
    }
    fleet.run(WAIT_MS);
    let served = (1..=JOBS).filter(|id| {
        let entry = usize::from(id % 2 == 0);
        fleet.answer(entry, *id) == Some(&COMPLETED)
    });
    let served = served.count();
    assert_eq!(fleet.overlaps(), []);
    (served, fleet.server_calls - before, fleet.spans().len())
}

/// Guards against calls that are given up after 30 ms and repeated, so that a busy backend server gets
/// more calls the slower it answers, and its runs are stopped and started elsewhere.
#[test]
fn slow_answers_are_waited_for_and_not_asked_for_again() {
    let (served, _, runs) = play(0);
    assert_eq!((served as u64, runs as u64), (JOBS, 2 * JOBS));
    for delay in [45, 60, 100] {
        let (served, slow_calls, runs) = play(delay);
        assert_eq!(served as u64, JOBS, "answers after {delay} ms");
        // The first calls are given up before it is known how long answers take.
        let most = 2 * JOBS + 2 * AGENTS as u64;
        assert!(runs as u64 <= most, "answers after {delay} ms: {runs} runs");
        assert!(
            slow_calls <= runs as u64 * MAX_CALLS,
            "answers after {delay} ms: {slow_calls} calls"
        );
    }
}

/// Guards against runs that are ended with their lease because one call was lost at a backend server
/// that answers slowly: the next one came after the lease had expired.
#[test]
fn a_lost_call_to_a_slow_backend_server_ends_no_runs() {
    let mut fleet = Fleet::new(1, 1, 3_000);
    fleet.agents[0].answer_delay = Millis(95);
    fleet.call(0, 1, submit(JobId(1), job(2, 3_000, true)), 10_000);
    fleet.run(1_000);
    for _ in 0..4 {
        fleet.agents[0].unanswered_calls = 1;
        fleet.run(500);
    }
    fleet.run(2_000);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.spans().len(), 2);
}
