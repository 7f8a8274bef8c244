//! What a load run has shown.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::client::{Answered, Ended};

/// Ratios are kept in thousandths.
const SCALE: f64 = 1_000.0;
/// Largest ratio and time kept, in thousandths and microseconds.
const MOST: u64 = 3_600_000_000;

/// Counts and distributions of one run.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) sent: u64,
    pub(crate) tasks: u64,
    pub(crate) complete: u64,
    pub(crate) failed: u64,
    pub(crate) refused: u64,
    pub(crate) wrong: u64,
    pub(crate) lost: u64,
    ratios: Histogram<u64>,
    // Microseconds.
    times: Histogram<u64>,
}

/// A report as JSON.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    pub(crate) jobs: u64,
    pub(crate) tasks: u64,
    pub(crate) complete: u64,
    pub(crate) failed: u64,
    pub(crate) refused: u64,
    pub(crate) wrong: u64,
    pub(crate) lost: u64,
    pub(crate) seconds: f64,
    pub(crate) over_ideal_p50: f64,
    pub(crate) over_ideal_p90: f64,
    pub(crate) over_ideal_p99: f64,
    pub(crate) response_ms_p50: f64,
    pub(crate) response_ms_p99: f64,
    pub(crate) response_ms_max: f64,
}

fn clamp(value: f64) -> u64 {
    // The cast saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = value.round() as u64;
    whole.clamp(1, MOST)
}

fn from_units(value: u64) -> f64 {
    crate::core::clock::Millis(value).as_f64() / SCALE
}

impl Report {
    pub(crate) fn new() -> Option<Self> {
        Some(Self {
            sent: 0,
            tasks: 0,
            complete: 0,
            failed: 0,
            refused: 0,
            wrong: 0,
            lost: 0,
            ratios: Histogram::new_with_bounds(1, MOST, 3).ok()?,
            times: Histogram::new_with_bounds(1, MOST, 3).ok()?,
        })
    }

    pub(crate) fn add(&mut self, answered: Answered, tasks: usize, ideal_ms: f64) {
        self.sent += 1;
        match answered.ended {
            Ended::Complete => {
                self.complete += 1;
                self.tasks += tasks as u64;
                let took = answered.took.as_secs_f64() * 1_000.0;
                self.ratios
                    .saturating_record(clamp(took / ideal_ms * SCALE));
                self.times.saturating_record(clamp(took * SCALE));
            }
            Ended::Failed => self.failed += 1,
            Ended::Refused => self.refused += 1,
            Ended::Wrong => self.wrong += 1,
            Ended::Lost => self.lost += 1,
        }
    }

    pub(crate) fn summary(&self, seconds: f64) -> Summary {
        Summary {
            jobs: self.sent,
            tasks: self.tasks,
            complete: self.complete,
            failed: self.failed,
            refused: self.refused,
            wrong: self.wrong,
            lost: self.lost,
            seconds,
            over_ideal_p50: self.ratio(0.5),
            over_ideal_p90: self.ratio(0.9),
            over_ideal_p99: self.ratio(0.99),
            response_ms_p50: from_units(self.times.value_at_quantile(0.5)),
            response_ms_p99: from_units(self.times.value_at_quantile(0.99)),
            response_ms_max: from_units(self.times.max()),
        }
    }

    pub(crate) fn ratio(&self, quantile: f64) -> f64 {
        from_units(self.ratios.value_at_quantile(quantile))
    }

    /// Response time in milliseconds at a quantile.
    pub(crate) fn time(&self, quantile: f64) -> f64 {
        from_units(self.times.value_at_quantile(quantile))
    }
}
