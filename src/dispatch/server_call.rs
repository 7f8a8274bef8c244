//! Calls of an agent to its backend server, and their answers.

use std::sync::Arc;

use super::spec::{Resources, RunId, RunOutcome, TaskId};
use super::wire::Denial;
use crate::core::clock::Millis;

/// Number of a call; increases within one incarnation of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A call to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerCall {
    /// Number of the call.
    pub id: CallId,
    /// The id of the backend server that must execute it; any other one refuses it.
    pub server: String,
    /// Fencing token: the leader's term, or a higher number once the backend server has refused
    /// that. The backend server refuses tokens lower than one that it has seen.
    pub token: u64,
    /// Longest time to wait for the answer, in milliseconds.
    pub wait: Millis,
    /// The requested action.
    pub kind: ServerCallKind,
}

/// The action that a call requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerCallKind {
    /// Start a run, and extend the lease.
    Start {
        /// The task.
        task: TaskId,
        /// Its run.
        run: RunId,
        /// The job's payload.
        payload: Arc<str>,
        /// When the lease expires, on the backend server's clock, in milliseconds.
        lease_expires_at: Millis,
    },
    /// Stop a run.
    Stop {
        /// The task.
        task: TaskId,
        /// Its run.
        run: RunId,
    },
    /// List runs and ends, and extend the lease: the hold call.
    Hold {
        /// The backend server may forget ends up to this number.
        acknowledged: u64,
        /// When the lease expires, on the backend server's clock, in milliseconds; `None` leaves it
        /// unchanged.
        lease_expires_at: Option<Millis>,
        /// How long the backend server may wait for an end before it answers, in milliseconds.
        max_wait: Millis,
    },
}

/// The backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerReply {
    /// The run was started, or already was.
    Started {
        /// The backend server's clock.
        clock: Millis,
    },
    /// The start was refused; the run has not started.
    Denied(Denial),
    /// The call's fencing token is lower than one that the backend server has seen.
    Fenced,
    /// The stop was accepted; the run does not start later either.
    Stopped,
    /// The answer to a hold call.
    HoldReply(HoldReply),
    /// The backend server at this address has another id.
    OtherInstance,
    /// No connection to the backend server was made, so the call was not executed. The process may
    /// still run.
    Unreachable,
    /// The connection was closed before the answer: the call may have been executed.
    Disconnected,
    /// No usable answer arrived: the call may have been executed, or may still be.
    NoAnswer,
}

/// The runs and ends that a backend server lists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HoldReply {
    /// The backend server's clock.
    pub clock: Millis,
    /// When the backend server was started, in milliseconds since the Unix epoch.
    pub started_at: Option<u64>,
    /// Runs that have not ended, with their progress in percent.
    pub running: Vec<(TaskId, RunId, u32)>,
    /// Ends that the agent has not acknowledged, with their numbers, lowest first.
    pub ended: Vec<(u64, TaskId, RunId, RunOutcome)>,
    /// There may be further ends, as the list of ends is as long as it can be. A run that is in
    /// neither list may have ended then.
    pub may_have_more_ends: bool,
}

/// An announcement of a backend server to its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerHeartbeat {
    /// Id of the backend server.
    pub id: String,
    /// When it was started, in milliseconds since the Unix epoch.
    pub started_at: Option<u64>,
    /// Increases with each announcement.
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// The resources of its worker.
    pub capacity: Resources,
    /// The worker's labels.
    pub labels: Vec<String>,
    /// True when it is about to shut down.
    pub leaving: bool,
}
