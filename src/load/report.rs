//! Measurements of a load test.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::client::{SubmissionOutcome, SubmissionResult};

/// Histograms hold integers: ratios in thousandths, response times in microseconds.
const SCALE: f64 = 1_000.0;
/// Largest value a histogram holds: a ratio of 3.6 million, or a response time of one hour.
const MAX_RECORDED: u64 = 3_600_000_000;

/// Counts and distributions of one load test.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) sent: u64,
    pub(crate) tasks: u64,
    pub(crate) complete: u64,
    pub(crate) failed: u64,
    pub(crate) refused: u64,
    pub(crate) wrong: u64,
    pub(crate) lost: u64,
    /// Response time over the ideal response time, in thousandths.
    ratios: Histogram<u64>,
    response_times_us: Histogram<u64>,
}

/// A report as it is printed with `--json`.
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

fn to_units(value: f64) -> u64 {
    // Casts from f64 to integers saturate.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = value.round() as u64;
    whole.clamp(1, MAX_RECORDED)
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
            ratios: Histogram::new_with_bounds(1, MAX_RECORDED, 3).ok()?,
            response_times_us: Histogram::new_with_bounds(1, MAX_RECORDED, 3).ok()?,
        })
    }

    pub(crate) fn add(&mut self, result: SubmissionResult, tasks: usize, ideal_ms: f64) {
        self.sent += 1;
        match result.outcome {
            SubmissionOutcome::Complete => {
                self.complete += 1;
                self.tasks += tasks as u64;
                let elapsed = result.elapsed.as_secs_f64() * 1_000.0;
                self.ratios
                    .saturating_record(to_units(elapsed / ideal_ms * SCALE));
                self.response_times_us
                    .saturating_record(to_units(elapsed * SCALE));
            }
            SubmissionOutcome::Failed => self.failed += 1,
            SubmissionOutcome::Refused => self.refused += 1,
            SubmissionOutcome::Wrong => self.wrong += 1,
            SubmissionOutcome::Lost => self.lost += 1,
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
            response_ms_p50: from_units(self.response_times_us.value_at_quantile(0.5)),
            response_ms_p99: from_units(self.response_times_us.value_at_quantile(0.99)),
            response_ms_max: from_units(self.response_times_us.max()),
        }
    }

    /// Response time over the ideal response time, at a quantile.
    pub(crate) fn ratio(&self, quantile: f64) -> f64 {
        from_units(self.ratios.value_at_quantile(quantile))
    }

    /// Response time in milliseconds at a quantile.
    pub(crate) fn response_ms(&self, quantile: f64) -> f64 {
        from_units(self.response_times_us.value_at_quantile(quantile))
    }
}
