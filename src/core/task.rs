//! Orders to start tasks, and the words on what became of them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::clock::Millis;
use super::ids::{DispatchNumber, Generation, Incarnation, JobKey, Revision};

/// An order to start one task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dispatch {
    /// Rises with each dispatch of one entry incarnation.
    pub number: DispatchNumber,
    /// The job.
    pub job: JobKey,
    /// Index of the task in its job.
    pub task: u32,
    /// The claim's generation.
    pub generation: Generation,
    /// The entry that sends.
    pub entry: Incarnation,
    /// The agent it is meant for.
    pub agent: Incarnation,
    /// The agent's own clock, as last told to the entry.
    pub stamp: Millis,
    /// What the backend server is given.
    pub payload: Bytes,
}

/// Why a dispatch was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// Meant for another incarnation of the agent.
    OtherAgent,
    /// The entry is declared dead.
    DeadEntry,
    /// The job's ownership has moved on.
    OldGeneration,
    /// The start window has closed.
    WindowClosed,
    /// The agent holds no fresh lease.
    NoLease,
    /// The data centre, service or backend server takes no work.
    Out,
    /// The entry held no credit.
    NoCredit,
    /// The job was cancelled, or the entry asked and the dispatch had not come.
    Withdrawn,
    /// The agent stops, or its backend server is gone.
    Leaving,
    /// The backend server said that it did not start it.
    Declined,
}

/// What is known of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TaskStatus {
    /// Not started under this dispatch, and never will be.
    NotRun(NotRunReason),
    /// Waiting for a slot.
    Queued,
    /// Handed to the backend server.
    Running,
    /// Answered whole.
    Done {
        /// The answer.
        body: Bytes,
        /// Time the backend server took.
        run: Millis,
    },
    /// Started, with no whole answer.
    Failed {
        /// What went wrong.
        reason: String,
        /// Time until it did.
        run: Millis,
    },
}

impl TaskStatus {
    /// True for a fate that does not change under the same dispatch.
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
    /// Not known to the agent.
    Absent,
    /// Waiting for a slot.
    Queued,
    /// Handed to the backend server.
    Running,
    /// Refused.
    NotRun,
    /// Answered.
    Done,
    /// Ran without an answer.
    Failed,
}

/// Events of `charts/task.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskEvent {
    /// Taken, no slot free.
    Queue,
    /// Handed to the backend server.
    Start,
    /// Not run.
    Refuse,
    /// The answer came.
    Finish,
    /// No answer will come.
    Fail,
}

/// The agent's word on one dispatch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Verdict {
    /// The dispatch.
    pub number: DispatchNumber,
    /// Its job.
    pub job: JobKey,
    /// Its task.
    pub task: u32,
    /// Its generation.
    pub generation: Generation,
    /// The incarnation that speaks.
    pub agent: Incarnation,
    /// What is known.
    #[serde(rename = "fate")]
    pub status: TaskStatus,
}

/// The gate's answer to a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// New: it takes a slot or waits for one.
    Admitted,
    /// Known already; this is its fate.
    Known(TaskStatus),
    /// Refused, now and for ever.
    Refused(NotRunReason),
}

/// What a lease lets the agent do, and until when.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lease {
    /// The revision a quorum confirmed.
    pub revision: Revision,
    /// End by the holder's own clock.
    pub expires_at: Millis,
    /// False where the settings take the place out.
    pub allowed: bool,
    /// How long after its stamp a dispatch may start.
    pub window: Millis,
}
