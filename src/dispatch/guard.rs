//! Rules that keep runs apart, each of which a checker can turn off to show that it
//! is needed.

/// A rule of dispatching.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobGuard {
    /// An agent acts for a dispatcher only under its grant.
    Grant,
    /// Only the group's grant extends a lease that covers stored jobs.
    Lease,
    /// A start without an answer is stopped before it counts as never started.
    Revoke,
    /// A silent worker's runs count as over only after grant and lease.
    Lapse,
    /// A backend server may forget an end only once it is on record.
    Record,
}

/// The rules that are turned off; none outside of a checker.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Guards {
    off: Vec<JobGuard>,
}

impl Guards {
    pub(crate) fn disable(&mut self, guard: JobGuard) {
        self.off.push(guard);
    }

    pub(crate) fn on(&self, guard: JobGuard) -> bool {
        !self.off.contains(&guard)
    }
}
