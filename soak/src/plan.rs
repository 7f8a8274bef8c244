//! The schedule of faults. It follows from the seed alone.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Number of control instances in a group.
pub(crate) const INSTANCES: u8 = 3;
pub(crate) const SLOTS: usize = INSTANCES as usize;
/// Time before the first fault, in ms.
const FIRST_FAULT: u64 = 2_500;
/// Longest pause of a frozen process, in ms.
const MAX_FREEZE: u64 = 2_000;
/// Time that a leaving process counts as a disturbance, in ms.
const LEAVING: u64 = 2_000;

/// One step of the schedule; the number names the slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Action {
    /// SIGKILL; the process comes back with its disk.
    Kill(usize),
    /// SIGKILL; the disk is lost.
    KillForGood(usize),
    /// The killed process starts with its disk.
    Start(usize),
    /// The killed process starts with an empty disk.
    StartEmpty(usize),
    /// An empty process starts at another address in place of one that is gone.
    Replace(usize),
    /// SIGSTOP.
    Freeze(usize),
    /// SIGCONT.
    Thaw(usize),
    /// The successor starts, before the former process is told to stop.
    Prepare(usize),
    /// SIGTERM to the former process.
    Leave(usize),
    KillAll,
    StartAll,
}

impl Action {
    /// True when a disk goes with it.
    pub(crate) fn loses_disk(self) -> bool {
        matches!(self, Self::KillForGood(_) | Self::Leave(_))
    }
}

/// A step and its time after the start of the schedule, in ms.
pub(crate) type Step = (u64, Action);

#[derive(Debug, Clone, Copy)]
enum Fault {
    Gone,
    Restart,
    DiskLost,
    Freeze,
    Planned,
    PowerLost,
}

/// Likelihood of each fault.
const FAULTS: [(Fault, u32); 6] = [
    (Fault::Gone, 4),
    (Fault::DiskLost, 3),
    (Fault::Planned, 2),
    (Fault::Restart, 3),
    (Fault::Freeze, 4),
    (Fault::PowerLost, 1),
];

/// A schedule under construction.
#[derive(Debug)]
struct Plan {
    rng: Pcg64,
    steps: Vec<Step>,
    /// Time from which each slot is undisturbed.
    free_at: [u64; SLOTS],
    catch_up: u64,
}

/// Schedule of a run of this length. A disk is lost only when all instances have been undisturbed
/// for `catch_up`; other faults overlap. Also returns the time and slot of the last lost disk.
pub(crate) fn plan(seed: u64, length: Duration, catch_up: Duration) -> (Vec<Step>, (u64, usize)) {
    let mut plan = Plan {
        rng: Pcg64::seed_from_u64(seed),
        steps: Vec::new(),
        free_at: [0; SLOTS],
        catch_up: millis(catch_up),
    };
    let mut now = FIRST_FAULT;
    while now < millis(length) {
        now = plan.add(now) + plan.rng.random_range(100..2_500);
    }
    let last = now.max(plan.calm_at());
    let slot = plan.rng.random_range(0..SLOTS);
    plan.steps.sort_by_key(|(at, _)| *at);
    (plan.steps, (last, slot))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Plan {
    /// Earliest time at which a disk may be lost.
    fn calm_at(&self) -> u64 {
        let free = self.free_at.iter().max().copied().unwrap_or(0);
        free + self.catch_up
    }

    /// Adds a fault that begins at `now` or later, and returns when it begins.
    fn add(&mut self, now: u64) -> u64 {
        let weighted = FAULTS.choose_weighted(&mut self.rng, |(_, weight)| *weight);
        let Ok((fault, _)) = weighted.copied() else {
            return now;
        };
        let slot = self.rng.random_range(0..SLOTS);
        let begin = match fault {
            Fault::Gone | Fault::DiskLost | Fault::Planned => now.max(self.calm_at()),
            Fault::Restart | Fault::Freeze => now.max(self.free_at[slot]),
            Fault::PowerLost => self.free_at.iter().fold(now, |a, b| a.max(*b)),
        };
        let end = match fault {
            Fault::Gone => self.pair(
                begin,
                1_000,
                Action::KillForGood(slot),
                Action::Replace(slot),
            ),
            Fault::Restart => {
                let pause = self.rng.random_range(100..1_500);
                self.pair(begin, pause, Action::Kill(slot), Action::Start(slot))
            }
            Fault::DiskLost => {
                let pause = self.rng.random_range(100..1_500);
                self.pair(
                    begin,
                    pause,
                    Action::KillForGood(slot),
                    Action::StartEmpty(slot),
                )
            }
            Fault::Freeze => {
                let pause = self.rng.random_range(200..=MAX_FREEZE);
                self.pair(begin, pause, Action::Freeze(slot), Action::Thaw(slot))
            }
            Fault::Planned => {
                let (prepare, leave) = (Action::Prepare(slot), Action::Leave(slot));
                let end = self.pair(begin, self.catch_up, prepare, leave);
                self.free_at = [end; SLOTS];
                end + LEAVING
            }
            Fault::PowerLost => {
                let end = self.pair(begin, 500, Action::KillAll, Action::StartAll);
                self.free_at = [end; SLOTS];
                end
            }
        };
        self.free_at[slot] = end;
        begin
    }

    fn pair(&mut self, begin: u64, pause: u64, first: Action, second: Action) -> u64 {
        self.steps.push((begin, first));
        self.steps.push((begin + pause, second));
        begin + pause
    }
}
