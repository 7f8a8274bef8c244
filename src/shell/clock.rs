//! The process's clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::core::clock::Millis;

/// Monotonic time since the process's start, and wall-clock time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start, plus one so that no reading is zero.
    pub(crate) fn now(&self) -> Millis {
        let ms = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        Millis(ms.saturating_add(1))
    }
}

/// Wall-clock time since the Unix epoch.
pub(crate) fn wall() -> Millis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
