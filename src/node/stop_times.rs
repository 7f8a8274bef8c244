//! How a stopping entry divides its grace period.

use crate::core::clock::Millis;

/// How long a stopping entry goes on serving after it has reported that it is not ready, in
/// milliseconds. A load balancer that checks once per second, and reacts to the second failed check in
/// a row, sends new callers for so long.
const READINESS_TIME: Millis = Millis(2_600);
/// The process has ended this long before it is killed, in milliseconds.
const KILL_MARGIN: Millis = Millis(500);
/// The last answers are given this long before the process ends, in milliseconds, so that they are
/// sent: a tick of the entry and the writes of many connections.
const ANSWER_MARGIN: Millis = Millis(150);
/// Largest parts of a short grace period that each of the above takes.
const KILL_PART: u64 = 4;
const ANSWER_PART: u64 = 8;
const READINESS_PART: u64 = 2;

/// The times of a stopping entry, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// From the request to stop until idle connections are closed.
    pub leaving: Millis,
    /// From then until the process ends.
    pub closing: Millis,
    /// From the request to stop until all calls are answered.
    pub answers: Millis,
}

impl StopTimes {
    /// Divides the time after which a stopping process is killed.
    ///
    /// ```
    /// use fulmardrift::{Millis, StopTimes};
    /// let times = StopTimes::new(Millis(1_000));
    /// assert!(times.answers < times.leaving + times.closing);
    /// assert!(times.leaving + times.closing < Millis(1_000));
    /// ```
    #[must_use]
    pub fn new(grace: Millis) -> Self {
        let end = grace - KILL_MARGIN.min(Millis(grace.0 / KILL_PART));
        let leaving = READINESS_TIME.min(Millis(end.0 / READINESS_PART));
        Self {
            leaving,
            closing: end - leaving,
            answers: end - ANSWER_MARGIN.min(Millis(end.0 / ANSWER_PART)),
        }
    }
}
