//! Tasks that crash every backend server that starts them, beside others that do not.

use fulmardrift::{CallReply, CallRouterInput, JobId, JobStatus, Millis, TaskId};

use crate::fleet::{Fleet, job, submit};

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);
const FAILED: CallReply = CallReply::State(JobStatus::Failed);
const AGENTS: usize = 8;
const WORK_MS: u64 = 60;
/// Time between the crash of a backend server and its return.
const DOWN_MS: u64 = 3_000;
/// Longest time from a crash until the lease of the runs has expired: 300 ms by a clock that is 2%
/// slow, the margin of 50 ms, and a tick of the agent.
const LEASE_MS: u64 = 306 + 50 + 20;
/// Time after which an agent no longer reckons with a lease that a predecessor may have given.
const SETTLED_MS: u64 = 1_100;

fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        step: 0,
        index,
    }
}

fn crashes(fleet: &Fleet) -> u32 {
    fleet.agents.iter().map(|slot| slot.server.crashes).sum()
}

/// Guards against runs that are held to be running until their crashed backend server is back.
#[test]
fn tasks_on_a_crashed_backend_server_start_elsewhere_after_their_lease() {
    let mut fleet = Fleet::new(1, 6, 300);
    fleet.run(SETTLED_MS);
    fleet.agents[0].server.deadly.push(task(1, 0));
    fleet.call(0, 1, submit(JobId(1), job(8, 300, true)), DOWN_MS);
    // The crash comes after 45 ms, and each of the tasks takes 300 ms from the lease's end on.
    fleet.run(45 + LEASE_MS + 300 + 55);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.overlaps(), []);
}

/// Guards against a task that goes round all backend servers until its call expires.
#[test]
fn a_job_with_a_deadly_task_fails_after_three_crashes() {
    let mut fleet = Fleet::new(1, AGENTS, WORK_MS);
    fleet.make_deadly(task(1, 0));
    fleet.call(0, 1, submit(JobId(1), job(2, WORK_MS, true)), DOWN_MS);
    fleet.run(1_000);
    assert_eq!(fleet.answer(0, 1), Some(&FAILED));
    assert!(crashes(&fleet) <= 3, "{}", crashes(&fleet));
}

/// Guards against a count that begins anew at the entry to which a caller turns after its first one
/// was killed.
#[test]
fn a_job_submitted_again_at_another_entry_keeps_its_count() {
    let mut fleet = Fleet::new(3, AGENTS, WORK_MS);
    fleet.make_deadly(task(1, 0));
    for entry in 0..3 {
        let token = 1 + entry as u64;
        fleet.call(
            entry,
            token,
            submit(JobId(1), job(2, WORK_MS, true)),
            DOWN_MS,
        );
        // Long enough for one crash to be known.
        fleet.run(70);
        if entry < 2 {
            fleet.kill_entry(entry);
        }
        fleet.run(1_300);
    }
    assert_eq!(fleet.answer(2, 3), Some(&FAILED));
    assert!(crashes(&fleet) <= 3, "{}", crashes(&fleet));
}

/// Guards against a count that an entry does not learn which starts only after the crashes.
#[test]
fn an_entry_that_starts_later_learns_of_the_crashes() {
    let mut fleet = Fleet::new(2, AGENTS, WORK_MS);
    fleet.kill_entry(1);
    fleet.make_deadly(task(1, 0));
    fleet.call(0, 1, submit(JobId(1), job(2, WORK_MS, true)), DOWN_MS);
    fleet.run(1_000);
    let before = crashes(&fleet);
    fleet.start_entry(1);
    fleet.run(DOWN_MS);
    fleet.call(1, 2, submit(JobId(1), job(2, WORK_MS, true)), DOWN_MS);
    fleet.run(1_000);
    assert_eq!(fleet.answer(1, 2), Some(&FAILED));
    assert_eq!(crashes(&fleet), before);
}

/// Guards against jobs that fail since their tasks ran beside deadly ones.
#[test]
fn tasks_beside_deadly_ones_are_not_given_up() {
    let mut fleet = Fleet::new(2, AGENTS, WORK_MS);
    fleet.run(100);
    let mut innocent = Vec::new();
    for n in 1..=300 {
        let entry = usize::try_from(n).unwrap() % 2;
        let is_deadly = n == 60 || n == 180;
        if is_deadly {
            fleet.make_deadly(task(n, 0));
        } else {
            innocent.push((entry, n));
        }
        fleet.call(entry, n, submit(JobId(n), job(2, WORK_MS, true)), 1_500);
        fleet.run(10);
    }
    fleet.run(2_000);
    let failed = innocent
        .iter()
        .filter(|(entry, n)| fleet.answer(*entry, *n) == Some(&FAILED));
    assert_eq!(failed.count(), 0);
    let served = innocent
        .iter()
        .filter(|(entry, n)| fleet.answer(*entry, *n) == Some(&COMPLETED));
    // Each of the two may crash three backend servers of eight, for 3 s.
    let served = served.count();
    assert!(
        served * 100 >= innocent.len() * 90,
        "{served} of {}",
        innocent.len()
    );
    assert_eq!(fleet.overlaps(), []);
}

/// Guards against suspects that keep each other waiting while there is room: each would need a
/// worker without another one.
#[test]
fn more_suspects_than_workers_do_not_wait_for_each_other() {
    const LONG_MS: u64 = 2_000;
    let mut fleet = Fleet::new(1, 3, LONG_MS);
    fleet.run(100);
    fleet.agents[0].server.deadly.push(task(1, 0));
    fleet.agents[1].server.deadly.push(task(1, 1));
    // Of its 8 tasks, four run on each of the two backend servers that crash.
    fleet.call(0, 1, submit(JobId(1), job(8, LONG_MS, true)), 20_000);
    // All are back after 3 s, and all suspects run at most a second after that.
    fleet.run(45 + DOWN_MS + 1_000 + LONG_MS + 500);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
}

/// Guards against tasks of one job that wait for each other after a crash. The job is what fails, so
/// it does not matter which of them was the cause.
#[test]
fn suspects_of_one_job_start_together() {
    const LONG_MS: u64 = 300;
    let mut fleet = Fleet::new(1, 2, LONG_MS);
    fleet.run(SETTLED_MS);
    fleet.agents[0].server.deadly.push(task(1, 0));
    // Two of its tasks run on each worker, and the second one has room for all.
    fleet.call(0, 1, submit(JobId(1), job(4, LONG_MS, true)), DOWN_MS);
    // The crash comes after 45 ms, and each of the tasks takes 300 ms from the lease's end on.
    fleet.run(45 + LEASE_MS + LONG_MS + 55);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
}

/// Guards against a good job that fails after two crashes, since another task, new and so not
/// suspected, caused the second one.
#[test]
fn a_suspect_beside_a_new_deadly_task_is_not_given_up() {
    const LONG_MS: u64 = 1_000;
    // Long enough for the jobs to be of use after both crashes.
    const ESTIMATE_MS: u64 = 10_000;
    let mut fleet = Fleet::new(1, 1, LONG_MS);
    fleet.run(100);
    // The first crash has another cause, but only this task runs.
    fleet.agents[0].server.deadly = vec![task(1, 0)];
    fleet.call(0, 1, submit(JobId(1), job(1, ESTIMATE_MS, true)), 20_000);
    fleet.run(100);
    fleet.agents[0].server.deadly = vec![task(2, 0)];
    fleet.run(DOWN_MS + 400);
    fleet.call(0, 2, submit(JobId(2), job(1, ESTIMATE_MS, true)), 20_000);
    fleet.run(200);
    assert_eq!(crashes(&fleet), 2);
    fleet.agents[0].server.deadly.clear();
    fleet.run(DOWN_MS + 3 * LONG_MS);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.answer(0, 2), Some(&COMPLETED));
}

/// A fleet in which a good job lost a run in a crash of its own, and whose next start gets no answer
/// before a deadly task crashes the second backend server. That one is down, and its lease has expired.
fn fleet_with_unanswered_start() -> Fleet {
    const LONG_MS: u64 = 1_000;
    // Long enough for the jobs to be of use after both crashes.
    const ESTIMATE_MS: u64 = 10_000;
    let mut fleet = Fleet::new(1, 2, LONG_MS);
    fleet.run(SETTLED_MS);
    fleet.agents[0].server.deadly = vec![task(1, 0)];
    fleet.agents[1].server.deadly = vec![task(2, 0)];
    fleet.agents[1].server.crash_age = Millis(500);
    fleet.call(0, 1, submit(JobId(1), job(1, ESTIMATE_MS, true)), 20_000);
    fleet.run(100);
    assert_eq!(crashes(&fleet), 1);
    fleet.call(0, 2, submit(JobId(2), job(1, ESTIMATE_MS, true)), 20_000);
    fleet.run(20);
    fleet.agents[1].mute = true;
    fleet.run(480 + LEASE_MS + 100);
    assert_eq!(crashes(&fleet), 2);
    let runs = fleet.spans().into_iter().filter(|s| s.task == task(1, 0));
    assert_eq!(runs.count(), 2);
    fleet.agents[1].mute = false;
    for slot in &mut fleet.agents {
        slot.server.deadly.clear();
    }
    fleet
}

/// Guards against a good job that fails after two crashes (`hunt/59c6`): the agent reported the second
/// one again when the backend server was back, without the runs that had ended with the lease, so that
/// a start without an answer seemed to have been alone there.
#[test]
fn a_start_without_an_answer_beside_a_deadly_task_is_not_given_up() {
    let mut fleet = fleet_with_unanswered_start();
    fleet.run(DOWN_MS + 3_000);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.answer(0, 2), Some(&COMPLETED));
}

/// Guards against the same at an entry that first hears the agent while its backend server is down.
#[test]
fn an_entry_that_starts_later_does_not_give_up_a_start_without_an_answer() {
    let mut fleet = fleet_with_unanswered_start();
    fleet.kill_entry(0);
    fleet.start_entry(0);
    fleet.run(200);
    fleet.call(0, 3, submit(JobId(1), job(1, 10_000, true)), 20_000);
    fleet.run(DOWN_MS + 3_000);
    assert_eq!(fleet.answer(0, 3), Some(&COMPLETED));
}

/// Guards against a good job that fails at an entry which starts later and hears of the crashes in
/// another order: the first one, in which no other job ran, comes last.
#[test]
fn crashes_that_are_heard_in_another_order_fail_no_good_job() {
    const LONG_MS: u64 = 1_000;
    const ESTIMATE_MS: u64 = 10_000;
    let mut fleet = Fleet::new(1, 2, LONG_MS);
    fleet.cut.push((0, 0));
    fleet.run(SETTLED_MS);
    fleet.agents[1].server.deadly = vec![task(1, 0)];
    fleet.agents[0].server.deadly = vec![task(2, 0)];
    fleet.call(0, 1, submit(JobId(1), job(1, ESTIMATE_MS, true)), 20_000);
    fleet.run(100);
    assert_eq!(crashes(&fleet), 1);
    fleet.cut.clear();
    fleet.run(LEASE_MS);
    fleet.call(0, 2, submit(JobId(2), job(1, ESTIMATE_MS, true)), 20_000);
    fleet.run(LEASE_MS + 200);
    assert_eq!(crashes(&fleet), 2);
    for slot in &mut fleet.agents {
        slot.server.deadly.clear();
    }
    fleet.kill_entry(0);
    fleet.start_entry(0);
    fleet.run(DOWN_MS);
    fleet.call(0, 3, submit(JobId(1), job(1, ESTIMATE_MS, true)), 20_000);
    fleet.run(2 * LONG_MS);
    assert_eq!(fleet.answer(0, 3), Some(&COMPLETED));
}

/// Guards against a good job that is said to have failed, as deadly tasks crashed three backend servers
/// beside it. It is not started again either.
#[test]
fn a_job_beside_three_deadly_ones_is_not_said_to_have_failed() {
    const LONG_MS: u64 = 1_000;
    // Long enough for the jobs to be of use after the crashes.
    const ESTIMATE_MS: u64 = 20_000;
    let mut fleet = Fleet::new(1, 1, LONG_MS);
    fleet.run(SETTLED_MS);
    let good = || submit(JobId(1), job(1, ESTIMATE_MS, true));
    fleet.call(0, 1, good(), 40_000);
    for n in 2..=4 {
        fleet.agents[0].server.deadly = vec![task(n, 0)];
        fleet.call(0, n, submit(JobId(n), job(1, ESTIMATE_MS, true)), 40_000);
        fleet.run(200);
        fleet.agents[0].server.deadly.clear();
        fleet.run(LEASE_MS);
        fleet.router_input(0, CallRouterInput::Left(n));
        fleet.run(DOWN_MS);
    }
    assert_eq!(crashes(&fleet), 3);
    assert_eq!(fleet.answer(0, 1), Some(&CallReply::Unknown));
    fleet.call(0, 5, good(), 5_000);
    fleet.run(2 * LONG_MS);
    assert_eq!(fleet.answer(0, 5), Some(&CallReply::Unknown));
    let runs = fleet.spans().into_iter().filter(|s| s.task == task(1, 0));
    assert_eq!(runs.count(), 3);
}

/// Guards against a good job that fails after two crashes, though it may not have begun before the
/// second one: its start got no answer.
#[test]
fn a_start_without_an_answer_fails_no_job_though_nothing_else_ran() {
    const LONG_MS: u64 = 1_000;
    const ESTIMATE_MS: u64 = 10_000;
    let mut fleet = Fleet::new(1, 2, LONG_MS);
    fleet.run(SETTLED_MS);
    fleet.agents[0].server.deadly = vec![task(1, 0)];
    fleet.call(0, 1, submit(JobId(1), job(1, ESTIMATE_MS, true)), 20_000);
    fleet.run(100);
    assert_eq!(crashes(&fleet), 1);
    fleet.agents[0].server.deadly.clear();
    fleet.agents[1].mute = true;
    while fleet.spans().len() < 2 {
        fleet.run(1);
    }
    let now = fleet.now;
    fleet.agents[1].server.lose_power(now);
    fleet.run(LEASE_MS + 100);
    fleet.agents[1].mute = false;
    fleet.run(DOWN_MS + 3 * LONG_MS);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
}
