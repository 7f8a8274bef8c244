//! Workers that differ in speed, and runs that are much longer than declared.

use fulmardrift::{CallReply, JobId, JobStatus, Millis, TaskId};

use crate::fleet::{Fleet, job, submit};

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);
const WAIT_MS: u64 = 10_000;
/// Length of tasks of which the progress is reported, which is so from 100 ms on.
const LENGTH: u64 = 180;
/// Factor by which a few tasks of a hundred are longer than the others.
const EXTREME: u64 = 7;

/// Sends jobs of two tasks to an entry for `ms` milliseconds, and waits for their ends. Returns the
/// number of the last job.
fn load(fleet: &mut Fleet, entry: usize, first: u64, estimate: u64, ms: u64) -> u64 {
    let mut last = first;
    for _ in 0..ms / 40 {
        submit_job(fleet, entry, last, 2, estimate);
        fleet.run(40);
        last += 1;
    }
    fleet.run(1_000);
    last
}

fn submit_job(fleet: &mut Fleet, entry: usize, id: u64, tasks: u32, estimate: u64) {
    let spec = job(tasks, estimate, true);
    fleet.call(entry, id, submit(JobId(id), spec), WAIT_MS);
}

/// Number of runs of a job that each agent's worker has started.
fn runs_of(fleet: &Fleet, id: u64) -> Vec<usize> {
    let spans = |agent: &crate::fleet::AgentSlot| {
        let spans = agent.server.spans.iter();
        spans.filter(|span| span.task.job == JobId(id)).count()
    };
    fleet.agents.iter().map(spans).collect()
}

/// Guards against an entry that takes all workers for equal after a start, though other entries' runs
/// have shown which are fast.
#[test]
fn an_entry_that_has_just_started_places_on_fast_workers_first() {
    let mut fleet = Fleet::new(2, 4, 100);
    for (slot, work) in fleet.agents.iter_mut().zip([130, 120, 60, 70]) {
        slot.server.work = Millis(work);
    }
    // Some jobs fill all slots, so that each worker has runs.
    let mut id = 1;
    for _ in 0..20 {
        submit_job(&mut fleet, 0, id, 16, 100);
        fleet.run(200);
        id += 1;
    }
    fleet.kill_entry(1);
    fleet.start_entry(1);
    fleet.run(100);
    submit_job(&mut fleet, 1, id, 8, 100);
    fleet.run(300);
    assert_eq!(fleet.answer(1, id), Some(&COMPLETED));
    assert_eq!(runs_of(&fleet, id), [0, 0, 4, 4]);
}

/// Guards against paces that follow the declared times or single runs instead of the workers.
#[test]
fn paces_are_right_though_declared_times_are_off_and_a_few_tasks_are_extreme() {
    let mut fleet = Fleet::new(2, 4, 100);
    let jobs = 1..=40;
    // One of 32 tasks.
    let extreme = jobs.clone().step_by(2).map(|id| {
        let job = JobId(id);
        let (step, index) = (0, 0);
        (TaskId { job, step, index }, Millis(EXTREME * 100))
    });
    let extreme: Vec<_> = extreme.collect();
    for (slot, work) in fleet.agents.iter_mut().zip([130, 120, 60, 70]) {
        slot.server.work = Millis(work);
        slot.server.other_lengths.clone_from(&extreme);
    }
    for id in jobs.clone() {
        // Off by up to 0.4 in both directions.
        let estimate = 60 + id * 37 % 81;
        submit_job(&mut fleet, 0, id, 16, estimate);
        fleet.run(200);
    }
    fleet.run(1_500);
    fleet.kill_entry(1);
    fleet.start_entry(1);
    fleet.run(100);
    let id = jobs.end() + 1;
    submit_job(&mut fleet, 1, id, 8, 100);
    fleet.run(300);
    assert_eq!(runs_of(&fleet, id), [0, 0, 4, 4]);
}

/// Guards against a worker that is passed over because one of its tasks was much longer than declared.
#[test]
fn one_extreme_run_changes_a_pace_little() {
    let mut fleet = Fleet::new(1, 2, 28);
    fleet.agents[0].server.work = Millis(22);
    let mut id = 1;
    for _ in 0..20 {
        submit_job(&mut fleet, 0, id, 8, 25);
        fleet.run(100);
        id += 1;
    }
    submit_job(&mut fleet, 0, id, 1, 25);
    fleet.run(100);
    assert_eq!(runs_of(&fleet, id), [1, 0]);
    // Below the age at which a run may be stopped as slow.
    fleet.agents[0].server.work = Millis(EXTREME * 25);
    submit_job(&mut fleet, 0, id + 1, 1, 25);
    fleet.run(300);
    assert_eq!(fleet.answer(0, id + 1), Some(&COMPLETED));
    fleet.agents[0].server.work = Millis(22);
    submit_job(&mut fleet, 0, id + 2, 1, 25);
    fleet.run(100);
    assert_eq!(runs_of(&fleet, id + 2), [1, 0]);
}

/// Guards against a run that is stopped for being longer than its job's others, and takes as long
/// elsewhere, while its worker is as fast as before.
#[test]
fn a_run_that_is_only_long_is_not_stopped() {
    let mut fleet = Fleet::new(1, 2, LENGTH);
    let id = load(&mut fleet, 0, 1, LENGTH, 1_000);
    let long_task = TaskId {
        job: JobId(id),
        step: 0,
        index: 0,
    };
    for slot in &mut fleet.agents {
        slot.server.other_lengths = vec![(long_task, Millis(EXTREME * LENGTH))];
    }
    // Its tasks run in waves of eight.
    submit_job(&mut fleet, 0, id, 40, LENGTH);
    fleet.run(2_000);
    assert_eq!(fleet.answer(0, id), Some(&COMPLETED));
    assert_eq!(runs_of(&fleet, id).iter().sum::<usize>(), 40);
}

/// Guards against runs that are left on a worker which has become slow as a whole.
#[test]
fn the_runs_of_a_worker_that_has_become_slow_are_moved() {
    let mut fleet = Fleet::new(1, 2, LENGTH);
    let id = load(&mut fleet, 0, 1, LENGTH, 1_000);
    fleet.agents[0].server.work = Millis(30 * LENGTH);
    submit_job(&mut fleet, 0, id, 40, LENGTH);
    fleet.run(3_000);
    assert_eq!(fleet.answer(0, id), Some(&COMPLETED));
    assert!(runs_of(&fleet, id).iter().sum::<usize>() > 40);
}
