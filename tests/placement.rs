//! The leader of a control group and workers that run its stored jobs, in virtual time: a task whose
//! turn has come is started while there is room for it, whatever has failed before.

#[path = "fakes/workers.rs"]
mod workers;

use std::env;

use fulmardrift::{JobId, JobStatus, Millis, RunOutcome};

use workers::{FakeWorker, TestJob, Workers};

/// The users' bound: a job may have nothing running for this long while there is room.
const MAX_IDLE: Millis = Millis(3_000);
/// Within one turn of the checks.
const CHECK_INTERVAL: u64 = 100;
const SEEDS: std::ops::Range<u64> = 0..60;

/// Guards against a task that is never started again: it waited for a worker that does not fail, though
/// none of these had the label that it needs (review/11).
#[test]
fn a_failed_task_does_not_wait_for_workers_without_its_label() {
    let mut play = Workers::new(vec![
        FakeWorker::new(64_000, "a"),
        FakeWorker::new(64_000, "a"),
        FakeWorker::new(64_000, "b"),
    ]);
    play.submit(JobId(1), TestJob::new(1, 500, 4_000).label("b").fails(2));
    play.run(4_500);
    play.change_leader();
    play.run(14_000);
    assert_eq!(play.status(JobId(1)), Some(JobStatus::Completed));
}

/// Guards against a task that waits for as long as the workers that do not fail are full, though a
/// failing one has room.
#[test]
fn a_failed_task_does_not_wait_for_full_workers() {
    let mut play = Workers::new(vec![
        FakeWorker::new(8_000, "a"),
        FakeWorker::new(64_000, "a"),
    ]);
    // Takes all of the first worker.
    play.submit(JobId(1), TestJob::new(1, 8_000, 60_000));
    play.run(100);
    play.submit(JobId(2), TestJob::new(1, 500, 1_000).fails(2));
    play.run(1_500);
    play.change_leader();
    play.run(8_000);
    assert_eq!(play.status(JobId(2)), Some(JobStatus::Completed));
}

/// Guards against workers that get nothing until their long runs have ended, once a job that can't be
/// done has failed there (review/12).
#[test]
fn a_failure_does_not_keep_work_from_workers_with_long_runs() {
    let worker = || FakeWorker::new(64_000, "a");
    let mut play = Workers::new(vec![worker(), worker(), worker()]);
    play.submit(JobId(1), TestJob::new(3, 6_200, 40_000).spread(1));
    play.run(500);
    play.submit(
        JobId(2),
        TestJob::new(3, 6_200, 200).spread(1).fails(u32::MAX),
    );
    play.run(400);
    for id in 3..8 {
        play.submit(JobId(id), TestJob::new(1, 6_200, 200));
    }
    play.run(3_000);
    for id in 3..8 {
        assert_eq!(
            play.status(JobId(id)),
            Some(JobStatus::Completed),
            "job {id}"
        );
    }
}

/// Guards against many long jobs that wait for one trial after the other.
#[test]
fn a_long_trial_does_not_keep_work_from_a_worker() {
    let mut play = Workers::new(vec![FakeWorker::new(64_000, "a")]);
    play.submit(JobId(1), TestJob::new(1, 500, 100).fails(1));
    play.run(105);
    for id in 2..12 {
        play.submit(JobId(id), TestJob::new(1, 1_000, 30_000));
    }
    play.run(MAX_IDLE.0);
    assert_eq!(play.runs_of_jobs(2..12), 10);
}

/// Guards against a worker that fails all that it starts, and draws all work as it is always free: the
/// attempts of sound jobs are used up there.
#[test]
fn a_worker_that_fails_all_uses_up_no_job() {
    let mut workers: Vec<_> = (0..8).map(|_| FakeWorker::new(16_000, "a")).collect();
    workers[0].fails_until = Millis(u64::MAX);
    workers[1].fails_until = Millis(u64::MAX);
    let mut play = Workers::new(workers);
    for id in 0..400 {
        play.submit(JobId(id), TestJob::new(2, 2_000, 200));
        play.run(25);
    }
    play.run(3_000);
    for id in 0..400 {
        assert_eq!(
            play.status(JobId(id)),
            Some(JobStatus::Completed),
            "job {id}"
        );
    }
    let failed = play.ends.iter().filter(|how| **how == RunOutcome::Failed);
    assert!(failed.count() <= 80, "a tenth of the runs of these jobs");
}

/// Guards against any condition of placement that keeps a task from a worker with room and that nothing
/// ends. The seeds of `FULMARDRIFT_SEEDS=FROM-TO` are played instead if it is set.
#[test]
fn a_task_is_started_while_there_is_room_for_it_twice_over() {
    let given = env::var("FULMARDRIFT_SEEDS").ok();
    let seeds = given.map_or(SEEDS, |given| {
        let (from, to) = given.split_once('-').unwrap();
        from.parse().unwrap()..to.parse().unwrap()
    });
    let mut idle = Vec::new();
    let mut completed = 0;
    for seed in seeds {
        let mut play = workers::random_play(seed);
        for _ in 0..(workers::PLAY_MS / CHECK_INTERVAL) {
            play.play_on(CHECK_INTERVAL);
            idle.extend(play.idle_jobs(MAX_IDLE).into_iter().map(|row| (seed, row)));
        }
        completed += play.completed();
    }
    println!("{completed} jobs completed");
    assert!(completed > 0);
    idle.dedup_by_key(|(seed, row)| (*seed, row.job));
    assert!(idle.is_empty(), "{idle:#?}");
}
