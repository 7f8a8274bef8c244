//! Ejection of a worker on which runs stand still (outlier ejection): for a while it should get no
//! new runs.
//!
//! The agent decides, since it sees the runs of all dispatchers; a single one has too few runs on a
//! worker to tell.

use super::spec::JobId;
use crate::core::clock::Millis;

/// Runs of two jobs must stall within this time. Those of a single job may stall on any worker.
const WINDOW: Millis = Millis(1_000);
/// Length of the first ejection, and of the longest.
const FIRST_LENGTH: Millis = Millis(1_000);
const MAX_LENGTH: Millis = Millis(4_000);
/// Stalls that eject a worker within this time of its last ejection make the next one longer.
const REPEAT_WINDOW: Millis = Millis(10_000);

/// Whether a worker is ejected, and what led to it.
#[derive(Debug, Default)]
pub(crate) struct Ejection {
    // Recent stalls: when, and of which job.
    stalls: Vec<(Millis, JobId)>,
    until: Option<Millis>,
    // Length of the latest ejection, and when it ended.
    length: Millis,
    ended_at: Millis,
}

impl Ejection {
    /// Returns true while the worker is ejected.
    pub(crate) fn is_active(&self) -> bool {
        self.until.is_some()
    }

    /// Records that a run of `job` stands still. Returns true if this ejects the worker.
    pub(crate) fn record_stall(&mut self, now: Millis, job: JobId) -> bool {
        self.stalls.retain(|(at, _)| now.since(*at) < WINDOW);
        self.stalls.push((now, job));
        let other_job = self.stalls.iter().any(|(_, known)| *known != job);
        if self.is_active() || !other_job {
            return false;
        }
        let is_repeated = self.length > Millis(0) && now.since(self.ended_at) < REPEAT_WINDOW;
        self.length = if is_repeated {
            Millis(self.length.0 * 2).min(MAX_LENGTH)
        } else {
            FIRST_LENGTH
        };
        self.until = Some(now + self.length);
        true
    }

    /// Ends the ejection when its time is over. Returns true if it ended.
    pub(crate) fn end_if_over(&mut self, now: Millis) -> bool {
        let is_over = self.until.is_some_and(|until| now >= until);
        if is_over {
            self.until = None;
            self.stalls.clear();
            self.ended_at = now;
        }
        is_over
    }
}
