//! Whether a job of several tasks may begin. A job that begins and can't be finished takes capacity
//! from others, and its caller gets no outcome.

use super::admission::{self, Expectation, JobTimes};
use crate::core::clock::Millis;

/// Returns true if the tasks that find no capacity now, `rest` in core-milliseconds, can be expected
/// to start and end in useful time, at `rate` core-milliseconds a millisecond.
pub(crate) fn may_begin(
    now: Millis,
    times: JobTimes,
    rest: f64,
    rate: f64,
    overloaded: bool,
) -> bool {
    let expected = Expectation {
        wait: admission::to_millis(rest / rate.max(f64::MIN_POSITIVE)),
        overloaded,
    };
    rest <= 0.0 || admission::refusal(now, times, Some(expected)).is_none()
}
