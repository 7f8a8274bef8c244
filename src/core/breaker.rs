//! A circuit breaker for a backend server whose tasks fail.

use super::clock::Millis;

/// Consecutive failures that open the breaker.
const TRIP_AFTER: u32 = 3;
/// Pause after the breaker opens; it doubles with each further failure.
const FIRST_PAUSE: Millis = Millis(2_000);
/// Upper bound of the pause.
const MAX_PAUSE: Millis = Millis(60_000);

/// Closed while tasks succeed. Opens after consecutive failures for a pause, and then allows one
/// trial task at a time until a task succeeds.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    consecutive_failures: u32,
    pause: Millis,
    retry_at: Millis,
    trial_sent: bool,
}

impl Breaker {
    /// True if a task may be sent at `now`.
    ///
    /// ```
    /// use fulmardrift::{Breaker, Millis};
    /// let mut breaker = Breaker::default();
    /// for _ in 0..3 {
    ///     breaker.failed(Millis(10));
    /// }
    /// assert!(!breaker.allows(Millis(11)));
    /// assert!(breaker.allows(Millis(5_000)));
    /// breaker.sent();
    /// assert!(!breaker.allows(Millis(5_001)));
    /// breaker.succeeded();
    /// assert!(breaker.allows(Millis(5_002)));
    /// ```
    #[must_use]
    pub fn allows(&self, now: Millis) -> bool {
        self.is_closed() || (now >= self.retry_at && !self.trial_sent)
    }

    /// True while there were too few consecutive failures to open the breaker.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.consecutive_failures < TRIP_AFTER
    }

    /// Records that a task was sent. If the breaker is open, the task is its trial.
    pub fn sent(&mut self) {
        self.trial_sent = !self.is_closed();
    }

    /// Records that a task succeeded, which closes the breaker.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records that a task was not run. This ends a trial without a result.
    pub fn returned(&mut self) {
        self.trial_sent = false;
    }

    /// Records that a task failed at `now`.
    pub fn failed(&mut self, now: Millis) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.trial_sent = false;
        if self.is_closed() {
            return;
        }
        self.pause = match self.pause {
            Millis(0) => FIRST_PAUSE,
            pause => (pause + pause).min(MAX_PAUSE),
        };
        self.retry_at = now + self.pause;
    }
}
