//! All control instances lose power right after a change was acknowledged or sent, and as many disks
//! are lost as is tolerated, while the group is whole or repairs an earlier loss.

#[path = "fakes/session.rs"]
mod session;
#[path = "fakes/timed_disk.rs"]
mod timed_disk;
#[path = "fakes/timed_group.rs"]
mod timed_group;

use fulmardrift::{JobId, Millis, RaftGuard};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use timed_group::{GroupRules, TimedGroup};

/// After this long, what was acknowledged is read back.
const RECOVERY: Millis = Millis(15_000);
/// An instance that is back counts as lost for this long.
const CATCH_UP: Millis = Millis(6_000);
/// Time that an operator gives a change.
const CHANGE_LIMIT: Millis = Millis(4_000);
/// Time that a machine takes to come back, at most.
const MAX_DOWN: u64 = 1_000;
/// Size of a stored job in bytes, with which a snapshot takes some time.
const JOB_SIZE: usize = 500_000;
/// Seeds that CI plays; more by hand with `FULMARDRIFT_SEEDS`, from `FULMARDRIFT_FIRST_SEED` on.
const SEEDS: u64 = 40;

fn given_number(variable: &str, default: u64) -> u64 {
    let given = std::env::var(variable).ok();
    given.and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// A group, and the number of its instances that count as lost.
struct Case {
    group: TimedGroup,
    rng: Pcg64Mcg,
    size: u64,
    lost: Vec<u64>,
}

impl Case {
    fn new(seed: u64, rules: GroupRules) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let size = if rng.random() { 3 } else { 5 };
        Self {
            group: TimedGroup::with_rules(size, rules),
            rng,
            size,
            lost: Vec::new(),
        }
    }

    fn change(&mut self) {
        let longest = if self.rng.random() { 2_000 } else { 500_000 };
        let bytes = self.rng.random_range(1_000..longest);
        let is_done = self.group.change(bytes, CHANGE_LIMIT);
        assert!(is_done, "{}", self.group.describe());
    }

    fn change_often(&mut self, most: u32) {
        for _ in 0..self.rng.random_range(1..=most) {
            self.change();
        }
    }

    fn tolerated(&self) -> usize {
        usize::try_from(self.size / 2).unwrap() - self.lost.len()
    }

    /// Instances whose disks may be lost now.
    fn draw(&mut self, count: usize) -> Vec<u64> {
        let intact = self.group.running().into_iter();
        let lost = &self.lost;
        intact
            .filter(|id| !lost.contains(id))
            .sample(&mut self.rng, count)
    }

    fn wipe(&mut self, ids: &[u64]) {
        for id in ids {
            self.group.wipe(*id);
        }
        for id in ids {
            let down = self.rng.random_range(0..MAX_DOWN);
            self.group.run(Millis(down));
            self.group.start(*id);
        }
    }

    /// An earlier event, after which the group may not be whole.
    fn prepare(&mut self) {
        match self.rng.random_range(0..5) {
            0 => {}
            1 => {
                // All that may be lost is lost, and is back for long enough.
                let ids = self.draw(self.tolerated());
                self.wipe(&ids);
                self.group.run(CATCH_UP);
            }
            2 => {
                let ids = self.draw(1);
                self.wipe(&ids);
                self.lost = ids;
                let repaired = self.rng.random_range(0..CATCH_UP.0);
                self.group.run(Millis(repaired));
            }
            3 => {
                let ids = self.draw(1);
                self.group.remove(ids[0]);
                let alone = self.rng.random_range(0..CATCH_UP.0);
                self.group.run(Millis(alone));
                self.group.add(self.size + 1);
                self.lost = vec![self.size + 1];
                let repaired = self.rng.random_range(0..CATCH_UP.0);
                self.group.run(Millis(repaired));
            }
            _ => {
                for id in 0..6 {
                    assert!(self.group.submit(JobId(id), JOB_SIZE, CHANGE_LIMIT));
                }
                // Until a snapshot is written.
                for _ in 0..14 {
                    self.change();
                    if self
                        .group
                        .run_until(Millis(50), |g| g.snapshot_writers() > 0)
                    {
                        break;
                    }
                }
            }
        }
    }

    /// All lose power; some of them lose their disks as well.
    fn lose_power(&mut self) {
        let count = if self.rng.random_bool(0.3) {
            0
        } else {
            self.tolerated()
        };
        let lost = self.draw(count);
        let all = self.group.running();
        for id in &all {
            let percent = self.rng.random_range(0..=100);
            self.group.lose_power(*id, percent);
        }
        for id in lost {
            self.group.wipe(id);
        }
        let mut order = all.clone();
        for at in (1..order.len()).rev() {
            order.swap(at, self.rng.random_range(0..=at));
        }
        for id in order {
            let down = self.rng.random_range(0..MAX_DOWN / 4);
            self.group.run(Millis(down));
            self.group.start(id);
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let end = self.group.now + RECOVERY;
        if !self.group.run_until(RECOVERY, |g| g.leader().is_some()) {
            return Err(format!("no leader: {}", self.group.describe()));
        }
        let mut read = None;
        while self.group.now < end && read.is_none() {
            read = self.group.version_in_force();
            self.group.run(Millis(20));
        }
        if read < Some(self.group.acknowledged) {
            return Err(format!("read {read:?}: {}", self.group.describe()));
        }
        self.change();
        let missing = self.group.missing_jobs();
        if !self.group.broken.is_empty() || !missing.is_empty() {
            let broken = &self.group.broken;
            return Err(format!("ended: {broken:?}, missing: {missing:?}"));
        }
        Ok(())
    }
}

fn play(seed: u64, rules: GroupRules) -> Result<(), String> {
    let mut case = Case::new(seed, rules);
    case.change_often(20);
    case.prepare();
    case.change_often(3);
    if case.rng.random() {
        case.group.send_change(2_000);
        let sent = case.rng.random_range(0..60);
        case.group.run(Millis(sent));
    }
    case.lose_power();
    case.check()
        .map_err(|error| format!("seed {seed}: {error}"))
}

#[test]
fn what_was_acknowledged_outlives_a_loss_of_power_and_of_the_tolerated_disks() {
    let first = given_number("FULMARDRIFT_FIRST_SEED", 0);
    for seed in first..first + given_number("FULMARDRIFT_SEEDS", SEEDS) {
        play(seed, GroupRules::default()).unwrap();
    }
}

#[test]
fn a_group_that_acknowledges_what_one_disk_holds_loses_changes() {
    let rules = GroupRules {
        disabled: vec![RaftGuard::Quorum],
        ..GroupRules::default()
    };
    assert!((0..SEEDS).any(|seed| play(seed, rules.clone()).is_err()));
}
