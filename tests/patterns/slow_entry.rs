//! An entry that is slow while others keep up, and a service in which all wait.

use fulmardrift::{CallReply, JobId, Millis};

use crate::fleet::{Fleet, job, submit};

const ENTRIES: usize = 6;
const AGENTS: usize = 6;
const WORK_MS: u64 = 50;
const WAIT_MS: u64 = 1_500;
/// The slow entry's time between two turns.
const SLOW_TURN_MS: u64 = 300;
/// The same for one that still orders tasks: after longer pauses, it first looks for callers that left.
const LATE_TURN_MS: u64 = 200;
/// A quarter of a job's objective: 1.6 times its work, and 60 ms. A refusal within it is early.
const EARLY_MS: u64 = (WORK_MS * 16 / 10 + 60) / 4;
/// Most of calm time that an entry may be away: one in this many.
const CALM_PART: u64 = 8;

/// Sends a job every 20 ms to each entry, and notes at which times entries are ready.
struct Service {
    fleet: Fleet,
    jobs: u64,
    /// For each entry, the times at which its readiness changed.
    changes: Vec<Vec<(Millis, bool)>>,
}

impl Service {
    fn new() -> Self {
        let mut fleet = Fleet::new(ENTRIES, AGENTS, WORK_MS);
        fleet.run(1_000);
        Self {
            fleet,
            jobs: 0,
            changes: vec![Vec::new(); ENTRIES],
        }
    }

    fn run(&mut self, ms: u64, tasks: u32) {
        for at in 0..ms {
            for entry in 0..ENTRIES {
                if at.is_multiple_of(20) {
                    self.jobs += 1;
                    let call = submit(JobId(self.jobs), job(tasks, WORK_MS, true));
                    self.fleet.call(entry, self.jobs, call, WAIT_MS);
                }
                let is_ready = self.fleet.is_ready(entry);
                let changes = &mut self.changes[entry];
                if changes.last().is_none_or(|(_, last)| *last) != is_ready {
                    changes.push((self.fleet.now, is_ready));
                }
            }
            self.fleet.run(1);
        }
    }

    fn is_steady(&self, entry: usize) -> bool {
        self.changes[entry].is_empty()
    }
}

/// Guards against a slow entry that stays ready and keeps its callers, and against one that comes and
/// goes.
#[test]
fn a_slow_entry_leaves_within_about_a_second_and_comes_back_once() {
    let mut service = Service::new();
    service.run(1_000, 2);
    assert!((0..ENTRIES).all(|entry| service.is_steady(entry)));
    let slow_from = service.fleet.now;
    service.fleet.set_turn(0, SLOW_TURN_MS);
    service.run(4_000, 2);
    let (left_at, is_ready) = service.changes[0][0];
    assert!(!is_ready && left_at.since(slow_from) <= Millis(1_200));
    let fast_from = service.fleet.now;
    service.fleet.set_turn(0, 0);
    service.run(15_000, 2);
    let [(_, false), (back_at, true)] = service.changes[0][..] else {
        panic!("{:?}", service.changes[0]);
    };
    assert!(back_at.since(fast_from) <= Millis(3_000));
    assert!((1..ENTRIES).all(|entry| service.is_steady(entry)));
}

/// Guards against a slow entry that takes jobs which it can only serve late. Long ones it can serve.
#[test]
fn a_slow_entry_refuses_early_what_it_would_serve_late() {
    let mut service = Service::new();
    service.fleet.set_turn(0, LATE_TURN_MS);
    service.run(2_000, 2);
    let fleet = &mut service.fleet;
    // The call is read when it comes; its refusal needs no further turn.
    while !(fleet.now.0 + 1).is_multiple_of(LATE_TURN_MS) {
        fleet.run(1);
    }
    let (short, long) = (100_001, 100_002);
    fleet.call(
        0,
        short,
        submit(JobId(short), job(2, WORK_MS, true)),
        WAIT_MS,
    );
    fleet.call(0, long, submit(JobId(long), job(2, 1_000, true)), WAIT_MS);
    fleet.run(EARLY_MS);
    let refused = matches!(fleet.answer(0, short), Some(CallReply::Refused(_)));
    assert!(refused, "{:?}", fleet.answer(0, short));
    fleet.run(WAIT_MS);
    let jobs = [short, long].map(JobId);
    let started = jobs.map(|job| fleet.spans().iter().any(|span| span.task.job == job));
    assert_eq!(started, [false, true]);
}

/// Guards against entries that leave because the service as a whole has too much work.
#[test]
fn no_entry_leaves_a_service_that_is_only_overloaded() {
    let mut service = Service::new();
    // 24 tasks at a time, and three times as many come in.
    service.run(5_000, 5);
    assert!((0..ENTRIES).all(|entry| service.is_steady(entry)));
}

/// Guards against entries that all leave at once when all are slow: callers would have nowhere to go.
#[test]
fn no_entry_leaves_while_all_are_slow() {
    let mut service = Service::new();
    for entry in 0..ENTRIES {
        service.fleet.set_turn(entry, SLOW_TURN_MS);
    }
    service.run(4_000, 1);
    assert!((0..ENTRIES).all(|entry| service.is_steady(entry)));
}

/// Guards against an entry that leaves for pauses of its process, after which it serves well.
#[test]
fn an_entry_with_short_pauses_is_away_for_at_most_an_eighth_of_the_time() {
    let mut service = Service::new();
    let from = service.fleet.now;
    for pause in [400, 150, 700, 300, 500, 200] {
        service.fleet.set_turn(0, 100_000);
        service.run(pause, 1);
        service.fleet.set_turn(0, 0);
        service.run(3_000, 1);
    }
    let until = service.fleet.now;
    let mut away = 0;
    for pair in service.changes[0].chunks(2) {
        let end = pair.get(1).map_or(until, |(at, _)| *at);
        away += end.since(pair[0].0).0;
    }
    assert!(away * CALM_PART <= until.since(from).0, "{away} ms");
}

/// Guards against an entry that stays ready while it reaches few of the workers that others use.
#[test]
fn an_entry_that_is_cut_off_from_most_agents_leaves_until_it_reaches_them() {
    let mut service = Service::new();
    let cut_at = service.fleet.now;
    service.fleet.cut = (1..AGENTS).map(|agent| (0, agent)).collect();
    service.run(3_000, 1);
    let (left_at, is_ready) = service.changes[0][0];
    assert!(!is_ready && left_at.since(cut_at) <= Millis(1_500));
    let healed_at = service.fleet.now;
    service.fleet.cut.clear();
    service.run(3_000, 1);
    let [(_, false), (back_at, true)] = service.changes[0][..] else {
        panic!("{:?}", service.changes[0]);
    };
    assert!(back_at.since(healed_at) <= Millis(2_000));
    assert!((1..ENTRIES).all(|entry| service.is_steady(entry)));
}

/// Guards against entries that leave because a data centre with a third of the agents is gone.
#[test]
fn no_entry_leaves_when_a_third_of_the_agents_is_lost() {
    let mut service = Service::new();
    for slot in &mut service.fleet.agents[..AGENTS / 3] {
        slot.frozen = true;
    }
    service.run(3_000, 1);
    assert!((0..ENTRIES).all(|entry| service.is_steady(entry)));
}
