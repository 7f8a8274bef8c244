//! What agents tell many entries about the use of their workers.

use fulmardrift::{CallReply, JobId, JobStatus};

use crate::fleet::{Fleet, job, submit};

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);

/// Each start and each end changes what all other entries should know. An agent's reports must not
/// grow with changes times entries.
#[test]
fn an_agents_reports_are_bounded_however_many_entries_there_are() {
    const ENTRIES: usize = 40;
    const AGENTS: usize = 2;
    const MS: u64 = 2_000;
    let mut fleet = Fleet::new(ENTRIES, AGENTS, 20);
    let before = fleet.usage_reports;
    for n in 0..MS / 5 {
        let entry = usize::try_from(n).unwrap() % ENTRIES;
        let call = submit(JobId(n + 1), job(1, 20, true));
        fleet.call(entry, n, call, 500);
        fleet.run(5);
    }
    // One report a millisecond, and one more with each denial for room.
    let reports = fleet.usage_reports - before;
    let bound = MS * AGENTS as u64 + MS / 5;
    assert!(reports <= bound, "{reports} reports, {bound} allowed");
}

/// An entry learns from reports in turn that a worker is free again.
#[test]
fn every_entry_learns_that_a_worker_is_free_again() {
    const ENTRIES: usize = 40;
    let mut fleet = Fleet::new(ENTRIES, 1, 300);
    fleet.call(0, 1, submit(JobId(1), job(4, 300, true)), 1_500);
    fleet.run(310);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    // All entries have had their turn.
    fleet.run(100);
    for entry in 1..ENTRIES {
        let n = 1 + entry as u64;
        fleet.call(entry, n, submit(JobId(n), job(4, 300, true)), 1_500);
        // The entry's turn comes within a millisecond an entry.
        fleet.run(320 + ENTRIES as u64);
        assert_eq!(fleet.answer(entry, n), Some(&COMPLETED), "entry {entry}");
    }
}

/// A job that found no room starts as soon as another entry's run ends.
#[test]
fn a_waiting_job_starts_when_another_entrys_run_ends() {
    let mut fleet = Fleet::new(2, 1, 300);
    fleet.call(0, 1, submit(JobId(1), job(4, 300, true)), 1_500);
    fleet.run(50);
    fleet.call(1, 2, submit(JobId(2), job(4, 300, true)), 1_500);
    fleet.run(280);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    fleet.run(330);
    assert_eq!(fleet.answer(1, 2), Some(&COMPLETED));
}
