//! When callers that were refused for want of capacity should come back.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::admission::to_millis;
use crate::core::clock::Millis;

/// Shortest time that a caller is asked to wait; the header has whole seconds.
const MIN_RETRY: Millis = Millis(1_000);
/// Longest time that a caller is asked to wait. Later the load is another one.
const MAX_RETRY: Millis = Millis(30_000);
/// Time constant with which refused work stops to count as coming back, in milliseconds.
const RETURN_DECAY_MS: f64 = 8_000.0;
/// The least part of the starts that works the backlog off, as an overload does not last.
const MIN_SPARE: f64 = 0.125;
/// Bounds of the factor that spreads callers who are refused at the same time.
const SPREAD: (f64, f64) = (0.5, 1.5);

/// Work of callers that were refused and asked to come back.
#[derive(Debug)]
pub(crate) struct Returning {
    updated_at: Millis,
    work: f64,
}

impl Returning {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            updated_at: now,
            work: 0.0,
        }
    }

    /// Work that is expected back.
    pub(crate) fn work(&self, now: Millis) -> f64 {
        self.work * (-now.since(self.updated_at).as_f64() / RETURN_DECAY_MS).exp()
    }

    /// Notes that a job of this much work was refused.
    pub(crate) fn add(&mut self, now: Millis, work: f64) {
        self.work = self.work(now) + work;
        self.updated_at = now;
    }
}

/// What a refused job has to wait for, in cores and core-milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Ahead {
    /// Work that waits and comes before the job.
    pub(crate) waiting: f64,
    /// Work that was refused before and is expected back.
    pub(crate) returning: f64,
    /// Work started in a millisecond.
    pub(crate) starts: f64,
    /// Work that arrives in a millisecond and comes before the job.
    pub(crate) arrivals: f64,
}

/// Time until the work ahead is done, spread at random between half and one and a half of it.
pub(crate) fn retry_after(ahead: Ahead, rng: &mut Pcg64Mcg) -> Millis {
    let spare = (ahead.starts - ahead.arrivals).max(ahead.starts * MIN_SPARE);
    let backlog = ahead.waiting + ahead.returning;
    let time = if spare > 0.0 { backlog / spare } else { 0.0 };
    let time = time.clamp(MIN_RETRY.as_f64(), MAX_RETRY.as_f64() / SPREAD.1);
    spread(to_millis(time), rng)
}

/// Spreads callers that have to wait for about `time`.
pub(crate) fn spread(time: Millis, rng: &mut Pcg64Mcg) -> Millis {
    let factor = rng.random_range(SPREAD.0..SPREAD.1);
    to_millis(time.as_f64() * factor).clamp(MIN_RETRY, MAX_RETRY)
}
