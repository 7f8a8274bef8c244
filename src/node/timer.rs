//! Timers that many links share.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use tokio::time::{Interval, MissedTickBehavior, interval_at};

/// An interval whose ticks fall on multiples of `period` since the process first called this. The
/// timers of all links then fire together, and wake the process once instead of once a link. The
/// first tick comes within one period.
pub(crate) fn shared_interval(period: Duration) -> Interval {
    static START: OnceLock<Instant> = OnceLock::new();
    let start = *START.get_or_init(Instant::now);
    let periods = start.elapsed().as_nanos() / period.as_nanos().max(1) + 1;
    let until_tick = period.saturating_mul(u32::try_from(periods).unwrap_or(u32::MAX));
    let mut ticks = interval_at((start + until_tick).into(), period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    ticks
}
