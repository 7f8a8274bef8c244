//! Rules of dispatching that a test can turn off to show that they are needed. Most of them prevent
//! two runs of one task from overlapping.

/// A rule of dispatching.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobGuard {
    /// An agent acts for a dispatcher only while it holds that dispatcher's grant.
    Grant,
    /// Only the group's grant extends a lease that covers runs of stored jobs.
    Lease,
    /// A start without an answer is stopped before it is reported as never started; a revoked start
    /// never runs.
    Revoke,
    /// The runs of a silent worker are considered ended only after both grant and lease have run
    /// out.
    Lapse,
    /// A backend server may forget the end of a run only once it is recorded.
    Record,
    /// A stored task whose backend server crashed starts again only once the crash is recorded.
    CrashRecord,
    /// Dispatchers avoid a worker on which runs of several jobs stand still.
    Ejection,
    /// An entry orders nothing for a late call before the end of its connection had time to arrive.
    LateCall,
}

/// The rules that are turned off; empty except in a checker.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Guards {
    disabled: Vec<JobGuard>,
}

impl Guards {
    pub(crate) fn disable(&mut self, guard: JobGuard) {
        self.disabled.push(guard);
    }

    pub(crate) fn on(&self, guard: JobGuard) -> bool {
        !self.disabled.contains(&guard)
    }
}
