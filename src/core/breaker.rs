//! A circuit breaker for a backend server that fails what it starts.

use super::clock::Millis;

/// Failures in a row that open the breaker.
const TRIP_AFTER: u32 = 3;
/// First pause of an open breaker, in milliseconds.
const FIRST_PAUSE: Millis = Millis(2_000);
/// Longest pause of an open breaker, in milliseconds.
const LAST_PAUSE: Millis = Millis(60_000);

/// Closed while tasks succeed; open for a growing pause after failures in a row;
/// then one trial at a time.
#[derive(Debug, Clone, Default)]
pub struct Breaker {
    failures: u32,
    pause: Millis,
    until: Millis,
    trial: bool,
}

impl Breaker {
    /// True when a task may be sent at `now`.
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
        self.is_closed() || (now >= self.until && !self.trial)
    }

    /// True while nothing speaks against the backend server.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.failures < TRIP_AFTER
    }

    /// A task was sent; in an open breaker it is the trial.
    pub fn sent(&mut self) {
        self.trial = !self.is_closed();
    }

    /// A task ended well.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// A task was not run, which says nothing of the backend server.
    pub fn returned(&mut self) {
        self.trial = false;
    }

    /// A task failed.
    pub fn failed(&mut self, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        self.trial = false;
        if self.is_closed() {
            return;
        }
        self.pause = match self.pause {
            Millis(0) => FIRST_PAUSE,
            pause => (pause + pause).min(LAST_PAUSE),
        };
        self.until = now + self.pause;
    }
}
