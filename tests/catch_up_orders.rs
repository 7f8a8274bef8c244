//! Orders of faults in a control group with a long log of large changes, over links, processors and
//! disks with a rate: one disk is lost at a time, and the next 4 s after that instance is back.

#[path = "fakes/session.rs"]
mod session;
#[path = "fakes/timed_disk.rs"]
mod timed_disk;
#[path = "fakes/timed_group.rs"]
mod timed_group;

use fulmardrift::{JobId, Millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use timed_disk::OldFile;
use timed_group::{FILE_BOUND, GroupRules, TimedGroup};

/// An instance that is back has caught up after this long; another may be lost from then on.
const CATCH_UP: Millis = Millis(4_000);
/// The longest that a group may be without a leader once a majority of intact disks is up.
const ELECTION_BOUND: Millis = Millis(2_000);
/// Size of a change's configuration in bytes.
const CHANGE_SIZE: usize = 700_000;
/// Time that an operator gives a change.
const CHANGE_LIMIT: Millis = Millis(4_000);
/// Interval between the changes while an instance catches up.
const CHANGE_INTERVAL: Millis = Millis(800);
/// Changes before the first fault, and at most between two.
const FIRST_CHANGES: u64 = 20;
const MAX_CHANGES: u64 = 12;
/// Faults in one order.
const FAULTS: usize = 8;
/// The longest that an instance is down, or its disk full.
const MAX_DOWN: u64 = 2_000;
/// Time that a process takes to restart.
const RESTART_TIME: Millis = Millis(400);
/// A transfer is interrupted at most this long after it began, in milliseconds.
const MAX_TRANSFER: u64 = 800;
/// Number and size in bytes of the stored jobs, with which a snapshot takes some time.
const JOBS: u64 = 12;
const JOB_SIZE: usize = 500_000;
/// Changes among which snapshots are taken, and how long after each one may begin to be written.
const SNAPSHOT_CHANGES: u64 = 14;
const SNAPSHOT_WAIT: Millis = Millis(200);
/// Seeds that CI plays; more by hand with `FULMARDRIFT_SEEDS`, from `FULMARDRIFT_FIRST_SEED` on.
const SEEDS: u64 = 2;

/// Seeds that once failed with three voters. 57: a whole snapshot was lost with the process that got it, and
/// counted as in flight for 3.7 s.
const FAILED_SEEDS: [u64; 1] = [57];

fn given_number(variable: &str, default: u64) -> u64 {
    let given = std::env::var(variable).ok();
    given.and_then(|n| n.parse().ok()).unwrap_or(default)
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// An instance comes back with an empty disk.
    DiskLost,
    /// As before, and what fills the disk again is interrupted twice.
    TransferInterrupted,
    /// An instance is gone for good; an empty one comes a while later.
    Replaced,
    /// Other files fill the disk of an instance for a while.
    DiskFull,
    /// The leader is killed and comes back with its disk.
    LeaderKilled,
    /// An instance is cut off for a while.
    CutOff,
    /// All processes are killed at once.
    AllRestarted,
}

const FAULT_KINDS: [Fault; 7] = [
    Fault::DiskLost,
    Fault::TransferInterrupted,
    Fault::Replaced,
    Fault::DiskFull,
    Fault::LeaderKilled,
    Fault::CutOff,
    Fault::AllRestarted,
];

struct Order {
    group: TimedGroup,
    rng: Pcg64Mcg,
    last_id: u64,
}

type Outcome = Result<(), String>;

impl Order {
    fn new(size: u64, seed: u64, rules: GroupRules) -> Self {
        Self {
            group: TimedGroup::with_rules(size, rules),
            rng: Pcg64Mcg::seed_from_u64(seed),
            last_id: size,
        }
    }

    fn random_time(&mut self, below: u64) -> Millis {
        Millis(self.rng.random_range(0..below))
    }

    /// Any instance, the leader included.
    fn any_instance(&mut self) -> u64 {
        let ids: Vec<u64> = self.group.instances.keys().copied().collect();
        ids[self.rng.random_range(0..ids.len())]
    }

    fn change(&mut self) -> Outcome {
        if self.group.change(CHANGE_SIZE, CHANGE_LIMIT) {
            return Ok(());
        }
        Err(self.failure("a change is not acknowledged"))
    }

    fn store_jobs(&mut self) -> Outcome {
        for id in (1..=JOBS).map(JobId) {
            if !self.group.submit(id, JOB_SIZE, CHANGE_LIMIT) {
                return Err(self.failure("a job is not accepted"));
            }
        }
        Ok(())
    }

    fn failure(&self, what: &str) -> String {
        format!("{what}\n{}", self.group.describe())
    }

    /// Runs with a change now and then, the last some time before the end.
    fn run_with_changes(&mut self, time: Millis) -> Outcome {
        let end = self.group.now + time;
        while self.group.now + CHANGE_INTERVAL < end {
            self.change()?;
            self.group.run(CHANGE_INTERVAL);
        }
        let rest = end.since(self.group.now);
        self.group.run(rest);
        Ok(())
    }

    fn apply(&mut self, fault: Fault) -> Outcome {
        let id = self.any_instance();
        let time = self.random_time(MAX_DOWN);
        match fault {
            Fault::DiskLost => self.lose_disk(id, time),
            Fault::TransferInterrupted => {
                self.lose_disk(id, time);
                self.interrupt_transfer(id);
                self.interrupt_transfer(id);
            }
            Fault::Replaced => {
                self.group.remove(id);
                self.group.run(time);
                self.last_id += 1;
                self.group.add(self.last_id);
            }
            Fault::DiskFull => self.fill_disk(id, time)?,
            Fault::LeaderKilled => {
                let leader = self.group.leader().unwrap_or(id);
                self.group.kill(leader);
                self.expect_leader()?;
                self.run_with_changes(time)?;
                self.group.start(leader);
            }
            Fault::CutOff => {
                self.group.isolated.push(id);
                self.expect_leader()?;
                self.run_with_changes(time)?;
                self.group.isolated.clear();
            }
            Fault::AllRestarted => self.restart_all(),
        }
        self.expect_leader()
    }

    fn lose_disk(&mut self, id: u64, time: Millis) {
        self.group.wipe(id);
        self.group.run(time);
        self.group.start(id);
    }

    /// The connections of an instance are lost, or it or the leader restarts, a moment after it got the
    /// first of what it lacks.
    fn interrupt_transfer(&mut self, id: u64) {
        let time = self.random_time(MAX_TRANSFER);
        self.group.run(time);
        let restarted = match self.rng.random_range(0..3) {
            0 => return self.group.drop_sessions(id),
            1 => id,
            _ => self.group.leader().unwrap_or(id),
        };
        self.group.kill(restarted);
        self.group.run(RESTART_TIME);
        self.group.start(restarted);
    }

    fn fill_disk(&mut self, id: u64, time: Millis) -> Outcome {
        self.group.fill_disk(id);
        self.expect_leader()?;
        let outcome = self.run_with_changes(time);
        self.group.free_disk(id);
        outcome
    }

    fn restart_all(&mut self) {
        let all = self.group.running();
        for id in &all {
            self.group.kill(*id);
        }
        self.group.run(RESTART_TIME);
        for id in all {
            self.group.start(id);
        }
    }

    fn expect_leader(&mut self) -> Outcome {
        let is_led = self
            .group
            .run_until(ELECTION_BOUND, |g| g.leader().is_some());
        let outcome = is_led.then_some(());
        outcome.ok_or_else(|| self.failure("no leader"))
    }

    /// Lets the instance that was lost catch up. All processes may be killed meanwhile.
    fn settle(&mut self) -> Outcome {
        if self.rng.random_range(0..3) == 0 {
            let at = self.random_time(CATCH_UP.0);
            self.group.run(at);
            self.restart_all();
            self.expect_leader()?;
        }
        self.run_with_changes(CATCH_UP)?;
        self.check()
    }

    fn check(&mut self) -> Outcome {
        if !self.group.broken.is_empty() {
            return Err(self.failure(&self.group.broken.join(", ")));
        }
        let in_force = self.group.version_in_force();
        if in_force != Some(self.group.acknowledged) {
            return Err(self.failure(&format!("version {in_force:?} is in force")));
        }
        let missing = self.group.missing_jobs();
        if !missing.is_empty() {
            return Err(self.failure(&format!("jobs {missing:?} are lost")));
        }
        for (id, instance) in &self.group.instances {
            if !self.group.is_voter(*id) {
                return Err(self.failure(&format!("{id} is no voter")));
            }
            if instance.disk.most_used > FILE_BOUND {
                let used = instance.disk.most_used;
                return Err(self.failure(&format!("files of {id} took {used} bytes")));
            }
        }
        let running = self.group.running();
        let last = |id: &u64| self.group.raft(*id).map(fulmardrift::Raft::last);
        if running.iter().any(|id| last(id) != last(&running[0])) {
            return Err(self.failure("the logs differ"));
        }
        self.check_snapshots()
    }

    /// Snapshots at the same position must be equal.
    fn check_snapshots(&self) -> Outcome {
        let running = self.group.running();
        let rafts = running.iter().filter_map(|id| self.group.raft(*id));
        let mut snapshots: Vec<_> = rafts.map(fulmardrift::Raft::snapshot).collect();
        snapshots.sort_unstable_by_key(|snapshot| snapshot.position);
        let mut pairs = snapshots.windows(2);
        if pairs.any(|pair| pair[0].position == pair[1].position && pair[0] != pair[1]) {
            return Err(self.failure("the snapshots differ"));
        }
        Ok(())
    }
}

/// Plays an order that the seed draws.
fn play(size: u64, seed: u64, rules: GroupRules) -> Outcome {
    let mut order = Order::new(size, seed, rules);
    for _ in 0..FIRST_CHANGES {
        order.change()?;
    }
    if order.rng.random_range(0..2) == 0 {
        order.store_jobs()?;
    }
    for n in 0..FAULTS {
        let fault = FAULT_KINDS[order.rng.random_range(0..FAULT_KINDS.len())];
        let place = format!("fault {n} ({fault:?}), {size} voters, seed {seed}");
        let outcome = order.apply(fault).and_then(|()| order.settle());
        outcome.map_err(|e| format!("{place}: {e}"))?;
        for _ in 0..order.rng.random_range(0..MAX_CHANGES) {
            order.change().map_err(|e| format!("after {place}: {e}"))?;
        }
    }
    Ok(())
}

fn play_seeds(size: u64) {
    let first = given_number("FULMARDRIFT_FIRST_SEED", 0);
    let count = given_number("FULMARDRIFT_SEEDS", SEEDS);
    let failed: Vec<String> = (first..first + count)
        .filter_map(|seed| play(size, seed, GroupRules::default()).err())
        .collect();
    assert!(
        failed.is_empty(),
        "{} failed:\n{}",
        failed.len(),
        failed.join("\n\n")
    );
}

/// Guards against a follower that never gets a long log, and files that outgrow the disk.
#[test]
fn three_voters_outlive_faults_with_a_long_log() {
    play_seeds(3);
}

/// The same with five voters.
#[test]
fn five_voters_outlive_faults_with_a_long_log() {
    play_seeds(5);
}

#[test]
fn three_voters_outlive_the_orders_that_once_failed() {
    for seed in FAILED_SEEDS {
        play(3, seed, GroupRules::default()).unwrap();
    }
}

/// Takes power from all instances while two of them replace their logs by snapshots.
fn restart_while_snapshots_are_written(rules: GroupRules) -> Outcome {
    let mut order = Order::new(3, 0, rules);
    let mut restarts = 0;
    for _ in 0..SNAPSHOT_CHANGES {
        order.change()?;
        if order
            .group
            .run_until(SNAPSHOT_WAIT, |g| g.snapshot_writers() >= 2)
        {
            restarts += 1;
            order.restart_all();
            order.expect_leader()?;
            order.group.run(CATCH_UP);
            order.check()?;
        }
    }
    assert!(restarts > 0, "no two instances wrote snapshots at a time");
    Ok(())
}

/// Guards against a log that is removed before the snapshot that replaces it is on disk.
#[test]
fn a_restart_while_snapshots_are_written_loses_nothing() {
    restart_while_snapshots_are_written(GroupRules::default()).unwrap();
}

#[test]
fn a_log_dropped_before_its_snapshot_is_synced_is_lost() {
    let rules = GroupRules {
        old_file: OldFile::DroppedFirst,
        ..GroupRules::default()
    };
    assert!(restart_while_snapshots_are_written(rules).is_err());
}
