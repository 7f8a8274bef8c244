//! First starts: in which order the processes start, and what befalls them before the group serves.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::regressions::REGRESSIONS;

/// Number of control instances that the settings name, and that may found the group.
pub(crate) const FOUNDERS: usize = 3;
/// Delay of a founder that comes late, in ms.
const LATE: (u64, u64) = (1_000, 8_000);
/// A founder that ends at once has ended after this long, in ms.
const AT_ONCE: u64 = 100;
/// When all are killed, in ms.
const KILLED: (u64, u64) = (10, 900);
/// Time that a killed process is away, in ms.
const AWAY: (u64, u64) = (50, 1_000);
/// Time over which the processes start, in ms.
const SPREAD: u64 = 300;
/// Part of the names of machines and paths.
const SUFFIX: &str = " Sturmvögel буревестник";

/// How the processes of a run start for the first time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FirstStart {
    /// All at once, undisturbed.
    #[default]
    Together,
    /// One founder starts only once the others serve.
    Away,
    /// One founder starts seconds after the others.
    Late,
    /// One founder ends at once, and starts again with `bootstrap = false`.
    Ended,
    /// One founder is frozen from its start until the others serve.
    Frozen,
    /// All control instances are killed within the first second; some lose their disks.
    Killed,
    /// The same with all processes.
    KilledAll,
    /// In any order, with their shares of processor time.
    Spread,
    /// All at once; names of machines and paths have spaces and letters of other scripts.
    Names,
}

/// All kinds but the plain one.
const KINDS: [FirstStart; 8] = [
    FirstStart::Away,
    FirstStart::Late,
    FirstStart::Ended,
    FirstStart::Frozen,
    FirstStart::Killed,
    FirstStart::KilledAll,
    FirstStart::Spread,
    FirstStart::Names,
];

impl FirstStart {
    /// The kind that belongs to a seed. Half of them, and those that once failed, start together.
    ///
    /// ```
    /// use fulmardrift_soak::FirstStart;
    ///
    /// assert_eq!(FirstStart::draw(1), FirstStart::Together);
    /// ```
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = rng(seed);
        if REGRESSIONS.iter().any(|r| r.seed == seed) || rng.random() {
            return Self::Together;
        }
        KINDS.choose(&mut rng).copied().unwrap_or_default()
    }

    /// What is added to the names of machines and paths.
    pub(crate) fn suffix(self) -> &'static str {
        if self == Self::Names { SUFFIX } else { "" }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Together => "together",
            Self::Away => "away",
            Self::Late => "late",
            Self::Ended => "ended",
            Self::Frozen => "frozen",
            Self::Killed => "killed",
            Self::KilledAll => "killed-all",
            Self::Spread => "spread",
            Self::Names => "names",
        }
    }
}

impl fmt::Display for FirstStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for FirstStart {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let mut kinds = [Self::Together].into_iter().chain(KINDS);
        let found = kinds.find(|kind| kind.name() == name);
        found.ok_or_else(|| {
            let names = KINDS.map(Self::name).join(", ");
            format!("not a first start: together, {names}")
        })
    }
}

/// One step; the number counts the processes, control instances first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    /// Starts it, with its value of `bootstrap`.
    Start(usize, bool),
    Kill(usize),
    /// The disk of a killed process is lost.
    Wipe(usize),
    Freeze(usize),
    Thaw(usize),
}

/// A first start.
#[derive(Debug)]
pub(crate) struct Plan {
    /// Steps in order, with their times in ms.
    pub(crate) steps: Vec<(u64, Step)>,
    /// The process that is missing until the others serve, and the step that brings it back.
    pub(crate) missing: Option<(usize, Step)>,
    /// Time from which no more are missing than may be lost.
    pub(crate) whole: Duration,
}

/// The first start of so many processes. It follows from the seed alone.
pub(crate) fn plan(kind: FirstStart, seed: u64, controls: usize, processes: usize) -> Plan {
    let mut rng = rng(seed);
    let founder = rng.random_range(0..FOUNDERS.min(controls));
    let starts = (0..processes).map(|number| (0, Step::Start(number, true)));
    let mut steps: Vec<(u64, Step)> = starts.collect();
    let mut missing = None;
    let mut whole = 0;
    match kind {
        FirstStart::Together | FirstStart::Names => {}
        FirstStart::Away => {
            steps.remove(founder);
            missing = Some((founder, Step::Start(founder, false)));
        }
        FirstStart::Late => steps[founder].0 = rng.random_range(LATE.0..LATE.1),
        FirstStart::Ended => {
            let killed = rng.random_range(0..AT_ONCE);
            let back = killed + rng.random_range(AWAY.0..AWAY.1);
            steps.push((killed, Step::Kill(founder)));
            steps.push((back, Step::Start(founder, false)));
        }
        FirstStart::Frozen => {
            steps.insert(founder + 1, (0, Step::Freeze(founder)));
            missing = Some((founder, Step::Thaw(founder)));
        }
        FirstStart::Killed | FirstStart::KilledAll => {
            let all = kind == FirstStart::KilledAll;
            let killed = 0..if all { processes } else { controls };
            let at = rng.random_range(KILLED.0..=KILLED.1);
            whole = at + rng.random_range(AWAY.0..AWAY.1);
            steps.extend(killed.clone().map(|number| (at, Step::Kill(number))));
            if rng.random() {
                steps.push((at, Step::Wipe(founder)));
                // Five hosts bear two lost disks.
                if controls > FOUNDERS + 1 && rng.random() {
                    let other = rng.random_range(FOUNDERS..controls);
                    steps.push((at, Step::Wipe(other)));
                }
            }
            steps.extend(killed.map(|number| (whole, Step::Start(number, false))));
        }
        FirstStart::Spread => {
            for (at, _) in &mut steps {
                *at = rng.random_range(0..SPREAD);
            }
            whole = SPREAD;
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    Plan {
        steps,
        missing,
        whole: Duration::from_millis(whole),
    }
}

fn rng(seed: u64) -> Pcg64 {
    Pcg64::seed_from_u64(seed.rotate_left(48))
}
