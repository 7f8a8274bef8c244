//! Workers that fail all that they start, and draw work as they are always free.

use fulmardrift::{CallReply, JobId, JobStatus, Millis};

use crate::fleet::{Fleet, job, submit};

const ENTRIES: usize = 4;
const AGENTS: usize = 12;
/// One worker in four fails its runs.
const FAILING: usize = AGENTS / 4;
const WORK_MS: u64 = 100;
const WAIT_MS: u64 = 2_000;
const JOBS: u64 = 400;

/// Guards against a task whose runs all fail on workers of that kind: its job was answered as failed
/// after three runs, though most workers were sound.
#[test]
fn a_task_that_failed_is_started_again_on_a_worker_that_does_not_fail_all() {
    let mut fleet = Fleet::new(ENTRIES, AGENTS, WORK_MS);
    // Each entry has placed work everywhere before the workers begin to fail.
    let mut count: u64 = 0;
    let mut send = |fleet: &mut Fleet| {
        count += 1;
        let entry = usize::try_from(count).unwrap() % ENTRIES;
        fleet.call(
            entry,
            count,
            submit(JobId(count), job(2, WORK_MS, true)),
            WAIT_MS,
        );
        // Nearly as much as the sound workers can carry, so that often only others are free.
        fleet.run(6);
    };
    for _ in 0..JOBS / 4 {
        send(&mut fleet);
    }
    for slot in &mut fleet.agents[..FAILING] {
        slot.server.failures_to_come = u32::MAX;
        slot.server.work = Millis(1);
    }
    for _ in 0..JOBS {
        send(&mut fleet);
    }
    fleet.run(WAIT_MS);
    let failed = (1..=count).filter(|id| {
        let entry = usize::try_from(*id).unwrap() % ENTRIES;
        fleet.answer(entry, *id) == Some(&CallReply::State(JobStatus::Failed))
    });
    assert_eq!(failed.count(), 0);
}
