//! The runs that an agent holds, and the ends that it retains until they are recorded.

use super::agent_calls::MAX_CALL_DELAY;
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
    /// As of when the backend server listed that progress.
    pub(crate) listed_at: Millis,
    /// The backend server is known to have started it.
    pub(crate) known_started: bool,
    /// The present incarnation of the backend server has listed it.
    pub(crate) listed: bool,
    /// When the latest hold call was sent whose answer listed it as running.
    pub(crate) listed_as_of: Millis,
    /// A start call of it that is not known to have been executed may still be until then.
    pub(crate) may_begin_until: Millis,
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
            listed_at: now,
            known_started: false,
            listed: false,
            listed_as_of: Millis(0),
            may_begin_until: now + MAX_CALL_DELAY,
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
            listed_at: now,
            known_started: true,
            listed: true,
            listed_as_of: now,
            may_begin_until: now,
            inherited: true,
            ordered_at: now,
            answered_at: None,
            expected: None,
        }
    }

    /// True for a run that no call can begin any more, whose backend server has ended all that it
    /// may have begun.
    pub(crate) fn is_over_with_process(&self, now: Millis) -> bool {
        self.known_started || (self.phase != RunPhase::Starting && now >= self.may_begin_until)
    }

    pub(crate) fn enter(&mut self, phase: RunPhase, now: Millis) {
        self.phase = phase;
        self.changed_at = now;
    }
}

/// Whether the newest list of ends had all that wait at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndList {
    Complete,
    /// There may be further ends.
    Cut,
}

/// An end that no entry has recorded may be confirmed to the backend server after this long, if the
/// ends of other dispatchers wait behind it. Entries record within two hops and one of their turns.
const CONFIRM_AFTER: Millis = Millis(100);

/// The end of a run, retained until the backend server may forget it and its dispatcher has
/// recorded it.
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
    /// True if the backend server may forget the end although its dispatcher has not recorded it.
    /// Only the ends of stored jobs' tasks must be on record by then: a transient job whose end is
    /// lost with this agent is sent again by its caller, or started again.
    pub(crate) fn may_be_confirmed(&self, now: Millis) -> bool {
        self.owner != Owner::Group && now.since(self.received_at) >= CONFIRM_AFTER
    }

    /// True while the end keeps the backend server's lease from outlasting the group's grant. The
    /// end of a stored job's task counts unless the lease expires before it is recorded, so a
    /// longer lease could make it count after the group has started the task elsewhere.
    pub(crate) fn limits_lease(&self) -> bool {
        self.owner == Owner::Group && !self.recorded && self.end.outcome != RunOutcome::Lost
    }
}
