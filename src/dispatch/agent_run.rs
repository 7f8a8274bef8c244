//! The runs that an agent holds, and the ends that it retains until they are recorded.

use super::dispatcher_link::Owner;
use super::replicated_state::RunEnd;
use super::spec::{Resources, RunId, RunOutcome};
use crate::core::clock::Millis;

/// The state of a run at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start call is open.
    Starting,
    Running,
    /// The start call got no answer; the run may or may not exist.
    Unanswered,
    /// The run must end; a stop call is open or is to be retried.
    Stopping,
    /// The backend server confirmed the stop.
    Stopped,
}

impl RunPhase {
    pub(crate) fn is_stopping(self) -> bool {
        matches!(self, Self::Stopping | Self::Stopped)
    }
}

/// A run that the agent started or found at the backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AgentRun {
    pub(crate) owner: Owner,
    pub(crate) need: Resources,
    pub(crate) phase: RunPhase,
    /// When the run entered its phase, or when the last stop was sent.
    pub(crate) changed_at: Millis,
    /// Progress in percent.
    pub(crate) percent: u32,
    /// The backend server is known to have started it.
    pub(crate) known_started: bool,
    /// The present incarnation of the backend server has listed it.
    pub(crate) listed: bool,
    /// An earlier incarnation of the agent started it. Its lease expires soon unless its dispatcher
    /// grants more time.
    pub(crate) inherited: bool,
    /// When it was ordered or first listed, and when its start was answered.
    pub(crate) ordered_at: Millis,
    pub(crate) answered_at: Option<Millis>,
    /// Expected length on an average worker, if its dispatcher has sent it.
    pub(crate) expected: Option<Millis>,
}

impl AgentRun {
    pub(crate) fn starting(owner: Owner, need: Resources, now: Millis) -> Self {
        Self {
            owner,
            need,
            phase: RunPhase::Starting,
            changed_at: now,
            percent: 0,
            known_started: false,
            listed: false,
            inherited: false,
            ordered_at: now,
            answered_at: None,
            expected: None,
        }
    }

    /// A run that an earlier incarnation of the agent started. Its resources are not known and
    /// count as none.
    pub(crate) fn inherited(run: RunId, now: Millis) -> Self {
        Self {
            owner: Owner::of_inherited_run(run),
            need: Resources::default(),
            phase: RunPhase::Running,
            changed_at: now,
            percent: 0,
            known_started: true,
            listed: true,
            inherited: true,
            ordered_at: now,
            answered_at: None,
            expected: None,
        }
    }

    pub(crate) fn enter(&mut self, phase: RunPhase, now: Millis) {
        self.phase = phase;
        self.changed_at = now;
    }
}

/// The end of a run, retained until the backend server may forget it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetainedEnd {
    /// Its number, assigned by the present incarnation of the backend server.
    pub(crate) number: u64,
    pub(crate) end: RunEnd,
    pub(crate) owner: Owner,
    /// When the agent received it.
    pub(crate) received_at: Millis,
    /// Its dispatcher needs no more reports of it.
    pub(crate) recorded: bool,
}

impl RetainedEnd {
    /// True while the end keeps the backend server's lease from outlasting the group's grant. The
    /// end of a stored job's task counts unless the lease expires before it is recorded, so a
    /// longer lease could make it count after the group has started the task elsewhere.
    pub(crate) fn limits_lease(&self) -> bool {
        self.owner == Owner::Group && !self.recorded && self.end.outcome != RunOutcome::Lost
    }
}
