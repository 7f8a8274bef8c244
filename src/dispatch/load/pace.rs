//! A worker's pace: the duration of its runs, relative to that on an average worker.

use crate::core::clock::Millis;

/// Bounds on what a single run may show, relative to what was expected. Declared times are off by up
/// to 0.4, and a few tasks take seven times as long.
const RATIO_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Bounds of a pace. Workers differ from 0.55 to 1.3; the rest is room for wrong estimates.
const PACE_BOUNDS: (f64, f64) = (0.25, 6.0);
/// The runs of a kind count with equal weights up to this many, and decay after that.
const MEMORY: u32 = 20;
/// A pace is reported from this many runs on: a single long one then counts for a tenth at most.
const MIN_RUNS: u32 = 10;
/// A kind that has not run for this long says nothing if others have, in milliseconds.
const STALE_AFTER: Millis = Millis(10_000);
/// Shortest interval between two reports to one dispatcher, in milliseconds; bounds their cost in
/// large fleets.
const REPORT_INTERVAL: Millis = Millis(1_000);
/// Upper bounds of the expected length of each kind but the last, in milliseconds.
const KIND_BOUNDS: [u64; 3] = [128, 512, 2_048];

/// How far a run's duration was off what was expected, as a part of that, within bounds. All
/// estimates that make up an expectation must be corrected by the same value: else they drift apart.
pub(crate) fn deviation(measured: Millis, expected: f64) -> f64 {
    let ratio = measured.as_f64() / expected.max(1.0);
    ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1) - 1.0
}

/// Corrects a pace by a run's deviation.
pub(crate) fn correct(pace: f64, deviation: f64, weight: f64) -> f64 {
    (pace * (1.0 + weight * deviation)).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
}

/// A pace as it was reported, in thousandths.
pub(crate) fn from_thousandths(pace: u32) -> f64 {
    (f64::from(pace) / 1_000.0).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
}

/// The pace of runs of one kind.
#[derive(Debug, Clone, Copy)]
struct KindPace {
    pace: f64,
    runs: u32,
    last_at: Millis,
}

/// What an agent has learned of its worker's pace from the runs of all dispatchers.
///
/// An order names no queue, so runs are told apart by their expected length, which differs between
/// queues. Each kind weighs the same: the mix of kinds differs between workers, and an entry that has
/// just started may expect a wrong length for all tasks of a queue.
#[derive(Debug)]
pub(crate) struct WorkerPace {
    kinds: [KindPace; KIND_BOUNDS.len() + 1],
}

impl Default for WorkerPace {
    fn default() -> Self {
        let unknown = KindPace {
            pace: 1.0,
            runs: 0,
            last_at: Millis(0),
        };
        Self {
            kinds: [unknown; KIND_BOUNDS.len() + 1],
        }
    }
}

impl WorkerPace {
    /// Adds a run that ended with success. `expected` is its length on an average worker.
    pub(crate) fn record(&mut self, now: Millis, expected: Millis, measured: Millis) {
        let at = KIND_BOUNDS.partition_point(|bound| *bound <= expected.0);
        let kind = &mut self.kinds[at];
        let deviation = deviation(measured, expected.as_f64() * kind.pace);
        kind.runs = (kind.runs + 1).min(MEMORY);
        kind.last_at = now;
        kind.pace = correct(kind.pace, deviation, 1.0 / f64::from(kind.runs));
    }

    /// The pace in thousandths, once enough runs have shown it.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn thousandths(&self) -> Option<u32> {
        let latest = self.kinds.iter().map(|kind| kind.last_at).max()?;
        let recent = self
            .kinds
            .iter()
            .filter(|kind| latest.since(kind.last_at) < STALE_AFTER);
        let (mut runs, mut sum) = (0, 0.0);
        for kind in recent {
            runs += kind.runs;
            sum += kind.pace * f64::from(kind.runs);
        }
        (runs >= MIN_RUNS).then(|| (sum / f64::from(runs) * 1_000.0).round() as u32)
    }
}

/// What one dispatcher was told of the pace, and when.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ReportedPace(Option<(Millis, u32)>);

impl ReportedPace {
    /// Returns the pace if it is to be reported now: it is new to the dispatcher, or has changed by a
    /// tenth since its last report.
    pub(crate) fn next(&mut self, now: Millis, pace: Option<u32>) -> Option<u32> {
        let pace = pace?;
        let is_due = self.0.is_none_or(|(at, known)| {
            now.since(at) >= REPORT_INTERVAL && pace.abs_diff(known) * 10 >= known
        });
        if is_due {
            self.0 = Some((now, pace));
        }
        is_due.then_some(pace)
    }
}
