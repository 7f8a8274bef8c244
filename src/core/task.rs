//! Messages that start tasks and report their status, and the lease that allows starts.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::clock::Millis;
use super::ids::{DispatchNumber, Generation, Incarnation, JobKey, Revision};

/// A request from an entry to an agent to start one task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dispatch {
    /// Increases with each dispatch of one entry incarnation.
    pub number: DispatchNumber,
    /// The job.
    pub job: JobKey,
    /// Index of the task in its job.
    pub task: u32,
    /// The generation under which the entry owns the job.
    pub generation: Generation,
    /// The sending entry.
    pub entry: Incarnation,
    /// The agent that it is addressed to.
    pub agent: Incarnation,
    /// The latest time of the agent's own clock that the entry received.
    pub stamp: Millis,
    /// The input for the backend server.
    pub payload: Bytes,
}

/// Why a dispatch was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// It was addressed to another incarnation of the agent.
    OtherAgent,
    /// The entry was declared dead.
    DeadEntry,
    /// The job's ownership has moved to a newer generation.
    OldGeneration,
    /// The start window has closed.
    WindowClosed,
    /// The agent holds no valid lease.
    NoLease,
    /// The settings evacuate the data centre, service or backend server.
    Out,
    /// The entry held no credit.
    NoCredit,
    /// The job was cancelled, or the entry queried the dispatch before it had arrived.
    Withdrawn,
    /// The agent is stopping, or its backend server is draining or absent.
    Leaving,
    /// The backend server answered that it did not start the task.
    Declined,
}

/// The status of a task at an agent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TaskStatus {
    /// Not started under this dispatch, and never will be.
    NotRun(NotRunReason),
    /// Waiting for a slot.
    Queued,
    /// Sent to the backend server.
    Running,
    /// Ended with a complete answer.
    Done {
        /// The answer.
        body: Bytes,
        /// Run time at the backend server.
        run: Millis,
    },
    /// Started, but ended without a complete answer.
    Failed {
        /// The error.
        reason: String,
        /// Time from the start to the error.
        run: Millis,
    },
}

impl TaskStatus {
    /// True if the status cannot change any more under the same dispatch.
    ///
    /// ```
    /// use fulmardrift::TaskStatus;
    /// assert!(!TaskStatus::Running.is_final());
    /// ```
    #[must_use]
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }

    pub(crate) fn state(&self) -> TaskState {
        match self {
            Self::NotRun(_) => TaskState::NotRun,
            Self::Queued => TaskState::Queued,
            Self::Running => TaskState::Running,
            Self::Done { .. } => TaskState::Done,
            Self::Failed { .. } => TaskState::Failed,
        }
    }
}

/// States of `charts/task.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// Unknown to the agent.
    Absent,
    /// Waiting for a slot.
    Queued,
    /// Sent to the backend server.
    Running,
    /// Refused or withdrawn.
    NotRun,
    /// Ended with a complete answer.
    Done,
    /// Started, but ended without a complete answer.
    Failed,
}

/// Events of `charts/task.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEvent {
    /// Admitted, to wait for a slot.
    Queue,
    /// Sent to the backend server.
    Start,
    /// Refused or withdrawn.
    Refuse,
    /// The complete answer arrived.
    Finish,
    /// There will be no complete answer.
    Fail,
}

/// An agent's report of the status of one dispatch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Verdict {
    /// Number of the dispatch.
    pub number: DispatchNumber,
    /// The job of the task.
    pub job: JobKey,
    /// Index of the task in its job.
    pub task: u32,
    /// Generation of the dispatch.
    pub generation: Generation,
    /// The agent that sends the report.
    pub agent: Incarnation,
    /// The status, serialized as `fate`.
    #[serde(rename = "fate")]
    pub status: TaskStatus,
}

/// The start gate's decision on a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The dispatch is new: it takes a slot or waits for one.
    Admitted,
    /// The task is already on record with this status.
    Known(TaskStatus),
    /// Refused permanently.
    Refused(NotRunReason),
}

/// An agent's permission to start tasks, which is limited in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lease {
    /// The settings revision that a quorum confirmed.
    pub revision: Revision,
    /// Expiry by the holder's own clock.
    pub expires_at: Millis,
    /// False if the settings evacuate the agent's backend server or a level above it.
    pub allowed: bool,
    /// A dispatch may start for this long after its stamp.
    pub window: Millis,
}
