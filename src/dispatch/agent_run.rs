//! Runs and ends that an agent holds.

use super::dispatcher_link::Owner;
use super::replicated_state::RunEnd;
use super::spec::{Resources, RunId, RunOutcome};
use crate::core::clock::Millis;

/// Where a run stands at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start is on its way.
    Starting,
    Running,
    /// The start got no answer.
    Unanswered,
    /// The run must end; the stop is on its way.
    Stopping,
    /// The stop was answered.
    Stopped,
}

impl RunPhase {
    pub(crate) fn is_stopping(self) -> bool {
        matches!(self, Self::Stopping | Self::Stopped)
    }
}

/// A run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AgentRun {
    pub(crate) owner: Owner,
    pub(crate) need: Resources,
    pub(crate) phase: RunPhase,
    /// When the phase began, or the last stop was sent.
    pub(crate) at: Millis,
    pub(crate) percent: u32,
    /// The backend server is known to have started it.
    pub(crate) known_started: bool,
    /// It was seen in a list of this life of the backend server.
    pub(crate) listed: bool,
    /// An earlier life of the agent started it. Its lease ends soon unless its
    /// dispatcher grants more.
    pub(crate) found: bool,
}

impl AgentRun {
    pub(crate) fn starting(owner: Owner, need: Resources, now: Millis) -> Self {
        Self {
            owner,
            need,
            phase: RunPhase::Starting,
            at: now,
            percent: 0,
            known_started: false,
            listed: false,
            found: false,
        }
    }

    /// A run that an earlier life of the agent started; what it takes is not known.
    pub(crate) fn found(run: RunId, now: Millis) -> Self {
        Self {
            owner: Owner::of_unknown(run),
            need: Resources::default(),
            phase: RunPhase::Running,
            at: now,
            percent: 0,
            known_started: true,
            listed: true,
            found: true,
        }
    }

    pub(crate) fn enter(&mut self, phase: RunPhase, now: Millis) {
        self.phase = phase;
        self.at = now;
    }
}

/// The end of a run, until the backend server may forget it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetainedEnd {
    /// Its number within the backend server's life.
    pub(crate) number: u64,
    pub(crate) end: RunEnd,
    pub(crate) owner: Owner,
    /// When the agent learned of it.
    pub(crate) at: Millis,
    pub(crate) recorded: bool,
}

impl RetainedEnd {
    /// True while the backend server's lease must not outlast the group's grant:
    /// the end of a stored job's task counts unless the lease lapses first.
    pub(crate) fn binds_lease(&self) -> bool {
        self.owner == Owner::Group && !self.recorded && self.end.outcome != RunOutcome::Lost
    }
}
