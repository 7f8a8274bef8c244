//! An agent's view of one dispatcher.

use super::load::pace::ReportedPace;
use super::spec::{Resources, RunId, TaskId};
use crate::core::clock::Millis;

/// Lowest run number of a transient job. Runs of transient jobs are numbered by a wall clock, those
/// of stored jobs by a term, so the number alone tells who may own an inherited run.
const FIRST_TRANSIENT_RUN: u64 = 1 << 50;

/// The dispatcher that a run belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// The control group's leader, whichever replica that is.
    Group,
    /// The entry of this incarnation.
    Entry(u64),
    /// An entry that is not known yet: an earlier incarnation of the agent started the run.
    Unclaimed,
}

impl Owner {
    /// Derives the owner of a run that an earlier incarnation of the agent started.
    pub(crate) fn of_inherited_run(run: RunId) -> Self {
        if run.0 >= FIRST_TRANSIENT_RUN {
            Self::Unclaimed
        } else {
            Self::Group
        }
    }
}

/// A dispatcher, as the agent knows it.
#[derive(Debug, Default)]
pub(crate) struct DispatcherLink {
    /// The leader's term or the entry's incarnation.
    pub(crate) epoch: u64,
    /// A session with it is open.
    pub(crate) connected: bool,
    /// The inventory has been sent over that session.
    pub(crate) has_inventory: bool,
    /// The agent may act for it until this time of the agent's clock.
    pub(crate) grant_expires_at: Millis,
    /// Number of the last end that was reported to it over that session before the inventory.
    pub(crate) reported_end: u64,
    /// Runs that it believes this agent to hold.
    pub(crate) expected_runs: Vec<(TaskId, RunId)>,
    /// The usage of other dispatchers that was last reported to it.
    pub(crate) reported_usage: Option<Resources>,
    /// The run that the next order is to start, with its expected length on an average worker.
    pub(crate) next_expected: Option<((TaskId, RunId), Millis)>,
    /// It has sent expected lengths over the present session, and reads reports of the pace.
    pub(crate) reads_pace: bool,
    /// Since when answers to heartbeats come late, when the last one did, and when the entry was last
    /// told so.
    pub(crate) late_since: Millis,
    pub(crate) late_echo_at: Option<Millis>,
    pub(crate) told_late_at: Option<Millis>,
    /// The pace that was last reported to it.
    pub(crate) reported_pace: ReportedPace,
}

impl DispatcherLink {
    /// True while the grant lasts and leaves `stop_lead` to stop the dispatcher's runs before it
    /// expires.
    pub(crate) fn may_act(&self, now: Millis, stop_lead: Millis) -> bool {
        now + stop_lead < self.grant_expires_at
    }

    pub(crate) fn connect(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.connected = true;
        self.has_inventory = false;
        self.reported_end = 0;
        self.reported_usage = None;
        self.next_expected = None;
        self.reads_pace = false;
        self.reported_pace = ReportedPace::default();
    }

    pub(crate) fn disconnect(&mut self) {
        self.connected = false;
        self.has_inventory = false;
    }
}
