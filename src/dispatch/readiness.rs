//! Whether an entry is of use to new callers.

use std::fmt;

use super::load::self_check::Standing;

/// What an entry has of that which it needs to serve new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Readiness {
    /// Whether it keeps up with its work and reaches its agents.
    pub(crate) standing: Standing,
    /// A configuration is in force.
    pub(crate) config: bool,
    /// It has a link to the leader.
    pub(crate) leader: bool,
    /// It reaches a worker that accepts work.
    pub(crate) worker: bool,
}

impl Readiness {
    /// True if it keeps up, with a configuration, and either a usable worker or a link to the leader.
    pub(crate) fn is_ready(self) -> bool {
        self.standing.is_able() && self.config && (self.leader || self.worker)
    }
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ready={} able={} config={} leader={} worker={}",
            self.is_ready(),
            self.standing.is_able(),
            self.config,
            self.leader,
            self.worker
        )
    }
}
