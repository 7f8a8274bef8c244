//! Calls of clients and operators, and their answers.

use serde::{Deserialize, Serialize};

use super::spec::{JobSpec, JobStatus, OperatorConfig};
use crate::core::clock::Millis;

/// A call that the group's leader decides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A call of a client.
    Client {
        /// The host it names.
        host: String,
        /// Its path.
        path: String,
        /// What it wants.
        action: ClientAction,
    },
    /// Put a configuration in force; `None` when it was not valid.
    PutConfig(Option<OperatorConfig>),
    /// Read the newest configuration.
    GetConfig,
    /// Take a data centre out (true) or back in.
    Evacuate(String, bool),
}

/// What a client wants of the queue or job that it names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientAction {
    /// Submit the job; `None` when the body could not be read.
    Submit(Option<JobSpec>),
    /// Tell the job's state, or the queue's length.
    Query,
    /// Cancel the job.
    Cancel,
}

/// The answer to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallReply {
    /// Accepted and stored.
    Done,
    /// A job's state.
    State(JobStatus),
    /// Jobs of a queue that have not begun.
    Pending(u64),
    /// The configuration as it was sent.
    Document(Vec<u8>),
    /// No such queue.
    NoQueue,
    /// No such job.
    NoJob,
    /// The call itself is wrong.
    Invalid(String),
    /// Something else is held under the same name or version.
    Conflict,
    /// Not taken, nothing has run; ask again after this time.
    Refused(Millis),
    /// No configuration yet.
    NoConfig,
    /// This instance does not lead; nothing was taken.
    NotLeader,
    /// It may or may not have been taken.
    Unknown,
}

impl CallReply {
    /// A short name, for metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::State(JobStatus::Completed) => "completed",
            Self::State(JobStatus::Failed) => "failed",
            Self::State(_) => "state",
            Self::Pending(_) => "pending",
            Self::Document(_) => "document",
            Self::NoQueue => "no-queue",
            Self::NoJob => "no-job",
            Self::Invalid(_) => "invalid",
            Self::Conflict => "conflict",
            Self::Refused(_) => "refused",
            Self::NoConfig => "no-setup",
            Self::NotLeader => "not-leader",
            Self::Unknown => "unknown",
        }
    }
}
