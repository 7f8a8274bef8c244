//! Clocks of the process: time since its start, and wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::core::clock::Millis;

/// Measures the time since the process started.
///
/// It includes the time in which the machine is suspended, so that the leases of a process have
/// expired when it resumes after a long suspension.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: u64,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Starts a clock.
    ///
    /// ```
    /// let clock = fulmardrift::Clock::new();
    /// assert!(clock.now() >= fulmardrift::Millis(1));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            started_at: boot_millis(),
        }
    }

    /// Milliseconds since the start, plus one so that no reading is zero.
    #[must_use]
    pub fn now(self) -> Millis {
        Millis(
            boot_millis()
                .saturating_sub(self.started_at)
                .saturating_add(1),
        )
    }
}

/// Milliseconds since the machine started, suspensions included.
fn boot_millis() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}

/// Wall-clock time since the Unix epoch.
pub(crate) fn unix_now() -> Millis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
