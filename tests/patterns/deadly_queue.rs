//! A queue many of whose jobs crash every backend server that starts them, beside another queue of
//! the same service (bulkhead).

use std::sync::Arc;

use fulmardrift::{
    Call, CallReply, CallRouterInput, ClientAction, JobId, JobSpec, JobStatus, OperatorConfig,
    TaskId,
};

use crate::fleet::{Fleet, config, job};

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);
const ENTRIES: usize = 3;
const AGENTS: usize = 12;
const WORK_MS: u64 = 100;
/// Time for which jobs arrive, every 20 ms.
const LOAD_MS: u64 = 10_000;
const GAP_MS: u64 = 20;
/// Longest time from a crash until the lease of the runs has expired, as in `deadly_tasks`.
const LEASE_MS: u64 = 306 + 50 + 20;
/// Time after which an agent no longer reckons with a lease that a predecessor may have given.
const SETTLED_MS: u64 = 1_100;
/// How long a caller waits.
const WAIT_MS: u64 = 1_500;

/// Two queues of one service, under `/jobs/` and `/other/`.
fn two_queues() -> OperatorConfig {
    let mut config = config(2);
    let mut other = config.queues[0].clone();
    "other".clone_into(&mut other.name);
    "/other/".clone_into(&mut other.prefix);
    other.settings.priority = 1;
    config.queues.push(other);
    config
}

fn submit(prefix: &str, id: u64, spec: JobSpec) -> Call {
    Call::Client {
        host: "desk.example".to_owned(),
        path: format!("{prefix}{}", JobId(id)),
        action: ClientAction::Submit(Some(spec)),
    }
}

struct Outcome {
    /// Jobs of the other queue, and those of them that completed.
    others: usize,
    completed: usize,
    fleet: Fleet,
}

/// Plays jobs of both queues: the first has a fifth of the work, and one in twelve of its jobs crashes
/// backend servers. `restart_gap_ms` is the time between restarts of an entry; 0 for none.
fn play(restart_gap_ms: u64) -> Outcome {
    const DEADLY_EVERY: u64 = 12;
    let mut fleet = Fleet::new(ENTRIES, AGENTS, WORK_MS);
    for entry in 0..ENTRIES {
        fleet.router_input(entry, CallRouterInput::Config(Arc::new(two_queues())));
    }
    fleet.run(100);
    let mut others = Vec::new();
    for n in 0..LOAD_MS / GAP_MS {
        let entry = usize::try_from(n).unwrap() % ENTRIES;
        let (first, second) = (2 * n + 1, 2 * n + 2);
        let now_ms = n * GAP_MS;
        if now_ms > 0 && restart_gap_ms > 0 && now_ms.is_multiple_of(restart_gap_ms) {
            let restarts = usize::try_from(now_ms / restart_gap_ms).unwrap();
            fleet.kill_entry(restarts % ENTRIES);
            fleet.start_entry(restarts % ENTRIES);
            let config = CallRouterInput::Config(Arc::new(two_queues()));
            fleet.router_input(restarts % ENTRIES, config);
        }
        if n % DEADLY_EVERY == 0 {
            let task = TaskId {
                job: JobId(first),
                step: 0,
                index: 1,
            };
            fleet.make_deadly(task);
        }
        let spec = job(1 + u32::from(n % 2 == 0), WORK_MS, true);
        fleet.call(entry, first, submit("/jobs/", first, spec), WAIT_MS);
        let spec = job(5, WORK_MS, true);
        fleet.call(entry, second, submit("/other/", second, spec), WAIT_MS);
        others.push((entry, second));
        fleet.run(GAP_MS);
    }
    fleet.run(WAIT_MS);
    let completed = others
        .iter()
        .filter(|(entry, id)| fleet.answer(*entry, *id) == Some(&COMPLETED));
    Outcome {
        others: others.len(),
        completed: completed.count(),
        fleet,
    }
}

/// Guards against a queue whose tasks crash backend servers taking down all of them: the other
/// queue is to lose no more than a tenth.
#[test]
fn the_other_queue_is_served_beside_a_queue_of_deadly_jobs() {
    let outcome = play(0);
    assert!(
        outcome.completed * 10 >= outcome.others * 9,
        "{} of {}",
        outcome.completed,
        outcome.others
    );
    assert_eq!(outcome.fleet.overlaps(), []);
}

/// Guards against entries that forget on a restart which queue is isolated, and run its tasks
/// everywhere again.
#[test]
fn a_restarted_entry_learns_which_queue_is_isolated() {
    let outcome = play(800);
    assert!(
        outcome.completed * 10 >= outcome.others * 9,
        "{} of {}",
        outcome.completed,
        outcome.others
    );
}

/// Guards against isolating a queue for crashes with a common cause: its only job ran on all of the
/// backend servers that lost power, and crashed none of them.
#[test]
fn a_rack_that_loses_power_isolates_no_queue() {
    const RACK: usize = 4;
    const ROUNDS: u64 = 80;
    // Of each round, one is a wide job of the first queue.
    const JOBS: u64 = 11;
    let mut fleet = Fleet::new(ENTRIES, AGENTS, WORK_MS);
    for entry in 0..ENTRIES {
        fleet.router_input(entry, CallRouterInput::Config(Arc::new(two_queues())));
    }
    fleet.run(100);
    for round in 0..ROUNDS {
        let entry = usize::try_from(round).unwrap() % ENTRIES;
        for n in 0..JOBS {
            let id = round * JOBS + n;
            let (prefix, count) = if n == 0 {
                ("/jobs/", u32::try_from(AGENTS).unwrap())
            } else {
                ("/other/", 2)
            };
            let call = submit(prefix, id, job(count, WORK_MS, true));
            fleet.call(entry, id, call, WAIT_MS);
        }
        fleet.run(WORK_MS / 2);
        if round == ROUNDS / 4 {
            let now = fleet.now;
            for slot in &mut fleet.agents[..RACK] {
                slot.server.lose_power(now);
            }
        }
        fleet.run(WORK_MS);
    }
    fleet.run(WAIT_MS);
    let is_missed = |id: &u64| {
        let entry = usize::try_from(id / JOBS).unwrap() % ENTRIES;
        fleet.answer(entry, *id) != Some(&COMPLETED)
    };
    let missed: Vec<u64> = (0..ROUNDS * JOBS).filter(is_missed).collect();
    assert_eq!(missed, Vec::<u64>::new());
}

/// Guards against a queue that stays isolated for jobs that were in two crashes each, but complete
/// after them.
#[test]
fn jobs_that_complete_clear_their_queue() {
    const LONG_MS: u64 = 300;
    // Long enough for the jobs to be of use after the crashes.
    const ESTIMATE_MS: u64 = 10_000;
    const WIDE: u64 = 1_000;
    let mut fleet = Fleet::new(1, AGENTS, LONG_MS);
    fleet.router_input(0, CallRouterInput::Config(Arc::new(two_queues())));
    fleet.run(SETTLED_MS);
    let mut last_id = 2;
    // Starts tasks of the other queue on every worker, also on those that are left after a crash.
    let mut start_others = |fleet: &mut Fleet| {
        last_id += 1;
        let others = job(2 * u32::try_from(AGENTS).unwrap(), LONG_MS, true);
        fleet.call(0, last_id, submit("/jobs/", last_id, others), WAIT_MS);
    };
    for _ in 0..4 {
        start_others(&mut fleet);
        fleet.run(LONG_MS);
    }
    for id in 1..=2 {
        start_others(&mut fleet);
        fleet.run(10);
        let call = submit("/other/", id, job(1, ESTIMATE_MS, true));
        fleet.call(0, id, call, 20_000);
        let task = TaskId {
            job: JobId(id),
            step: 0,
            index: 0,
        };
        fleet.make_deadly(task);
        let crashes = |fleet: &Fleet| -> u32 {
            let servers = fleet.agents.iter().map(|slot| slot.server.crashes);
            servers.sum()
        };
        // Others must be there at the second crash too, after the lease that the first one leaves.
        let begun_at = fleet.now;
        while crashes(&fleet) < 2 * u32::try_from(id).unwrap() {
            fleet.run(1);
            if (fleet.now - begun_at).0.is_multiple_of(LONG_MS - 10) {
                start_others(&mut fleet);
            }
        }
        for slot in &mut fleet.agents {
            slot.server.deadly.clear();
        }
    }
    // The queue's workers are those that have crashed; they are back after 3 s, while it is still
    // isolated.
    fleet.run(3_000 + LEASE_MS + LONG_MS);
    assert_eq!(fleet.answer(0, 1), Some(&COMPLETED));
    assert_eq!(fleet.answer(0, 2), Some(&COMPLETED));
    let wide = submit("/other/", WIDE, job(16, LONG_MS, true));
    fleet.call(0, WIDE, wide, WAIT_MS);
    fleet.run(LONG_MS + LONG_MS / 2);
    assert_eq!(fleet.answer(0, WIDE), Some(&COMPLETED));
}

/// Guards against an isolated queue whose large tasks wait for workers that are too small for them.
#[test]
fn a_task_too_large_for_the_isolated_workers_runs_elsewhere() {
    const LARGE: u64 = 1_000;
    let mut fleet = Fleet::new(1, AGENTS, WORK_MS);
    fleet.router_input(0, CallRouterInput::Config(Arc::new(two_queues())));
    // The large one is none of those that the queue is kept to.
    for slot in &mut fleet.agents[..AGENTS - 1] {
        slot.server.capacity.cpu = 3_000;
    }
    fleet.run(400);
    for id in 1..=4 {
        let task = TaskId {
            job: JobId(id),
            step: 0,
            index: 0,
        };
        fleet.make_deadly(task);
        fleet.call(0, id, submit("/jobs/", id, job(1, WORK_MS, true)), WAIT_MS);
        let other = 100 + id;
        let call = submit("/other/", other, job(20, WORK_MS, true));
        fleet.call(0, other, call, WAIT_MS);
        fleet.run(WORK_MS);
    }
    // All are back, and the queue is still isolated.
    fleet.run(3_000 + 2 * LEASE_MS);
    let mut large = job(1, WORK_MS, true);
    large.steps[0].need.cpu = 4_000;
    fleet.call(0, LARGE, submit("/jobs/", LARGE, large), 2 * WORK_MS);
    fleet.run(2 * WORK_MS);
    assert_eq!(fleet.answer(0, LARGE), Some(&COMPLETED));
}
