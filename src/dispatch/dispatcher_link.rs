//! What an agent knows of a dispatcher.

use super::spec::{Resources, RunId, TaskId};
use crate::core::clock::Millis;

/// Runs from here on are of jobs that are not stored: they are numbered by a wall
/// clock, those of stored jobs by a term.
const CLOCK_RUNS: u64 = 1 << 50;

/// The runs of a dispatcher are stopped so long before its grant ends, so that the
/// lease, which ends with it, can be extended for the others: a stop with two
/// retries.
const STOP_AHEAD: Millis = Millis(200);

/// Whose run it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// The control group's leader, whoever that is.
    Group,
    /// An entry in one life.
    Entry(u64),
    /// Some entry: an earlier life of the agent started it.
    Unclaimed,
}

impl Owner {
    /// The owner of a run that this life of the agent did not start.
    pub(crate) fn of_unknown(run: RunId) -> Self {
        if run.0 >= CLOCK_RUNS {
            Self::Unclaimed
        } else {
            Self::Group
        }
    }
}

/// A dispatcher.
#[derive(Debug, Default)]
pub(crate) struct DispatcherLink {
    /// Its term or life.
    pub(crate) epoch: u64,
    /// A session with it is up.
    pub(crate) connected: bool,
    /// It has the inventory over that session.
    pub(crate) has_inventory: bool,
    /// The agent may act for it until then.
    pub(crate) grant_expires_at: Millis,
    /// Runs that it believes to be here.
    pub(crate) expected_runs: Vec<(TaskId, RunId)>,
    /// What it was last told of other dispatchers' use.
    pub(crate) reported_usage: Option<Resources>,
}

impl DispatcherLink {
    /// True while the agent may act for it, with time left to stop what runs before
    /// the lease ends with the grant.
    pub(crate) fn may_act(&self, now: Millis) -> bool {
        now + STOP_AHEAD < self.grant_expires_at
    }

    pub(crate) fn connect(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.connected = true;
        self.has_inventory = false;
        self.reported_usage = None;
    }

    pub(crate) fn disconnect(&mut self) {
        self.connected = false;
        self.has_inventory = false;
    }
}
