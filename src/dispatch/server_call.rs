//! What an agent and its backend server say to each other.

use super::spec::{Resources, RunId, RunOutcome, TaskId};
use super::wire::Denial;
use crate::core::clock::Millis;

/// A call's number, rising within one life of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A call to the backend server, which must be the one named by `server`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerCall {
    /// Its number.
    pub id: CallId,
    /// The id of the backend server that is meant.
    pub server: String,
    /// The leader's term; older terms are refused.
    pub token: u64,
    /// What to do.
    pub kind: ServerCallKind,
}

/// What a call to the backend server asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerCallKind {
    /// Start a run, under a lease until `until` on the backend server's clock.
    Start {
        /// The task.
        task: TaskId,
        /// Its run.
        run: RunId,
        /// The job's payload.
        payload: String,
        /// End of the lease.
        lease_expires_at: Millis,
    },
    /// Stop a run.
    Stop {
        /// The task.
        task: TaskId,
        /// Its run.
        run: RunId,
    },
    /// List runs and ends, and extend the lease.
    Hold {
        /// Ends up to this number may be forgotten.
        acknowledged: u64,
        /// End of the lease; `None` leaves it.
        lease_expires_at: Option<Millis>,
        /// How long to wait for an end.
        max_wait: Millis,
    },
}

/// The backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerReply {
    /// A start was taken.
    Started {
        /// Its clock.
        clock: Millis,
    },
    /// A start was refused; nothing has run.
    Denied(Denial),
    /// The call's token is lower than one that the backend server has seen.
    Fenced,
    /// A stop was taken.
    Stopped,
    /// The lists.
    HoldReply(HoldReply),
    /// The backend server has another id by now.
    OtherInstance,
    /// No answer: it may have been carried out, or may be yet.
    NoAnswer,
}

/// What the backend server lists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HoldReply {
    /// Its clock.
    pub clock: Millis,
    /// When it was started, in milliseconds since the Unix epoch.
    pub started_at: Option<u64>,
    /// Runs with their progress in percent.
    pub running: Vec<(TaskId, RunId, u32)>,
    /// Ends with their numbers.
    pub ended: Vec<(u64, TaskId, RunId, RunOutcome)>,
}

/// What a backend server announces of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerHeartbeat {
    /// Its id.
    pub id: String,
    /// When it was started, in milliseconds since the Unix epoch.
    pub started_at: Option<u64>,
    /// Rises with each announcement.
    pub sequence: u64,
    /// The service.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// What its worker has.
    pub capacity: Resources,
    /// The worker's labels.
    pub labels: Vec<String>,
    /// True when it leaves soon.
    pub leaving: bool,
}
