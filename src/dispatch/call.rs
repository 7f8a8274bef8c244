//! Calls from clients and operators, and the replies to them.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::spec::{JobSpec, JobStatus, OperatorConfig};
use crate::core::clock::Millis;

/// A call from a client or an operator. The entry that receives it handles submissions of transient
/// jobs; all other calls are decided by the leader of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A call from a client.
    Client {
        /// Host name in the request.
        host: String,
        /// Path of the request.
        path: String,
        /// What the client asks for.
        action: ClientAction,
    },
    /// Puts a configuration in force; `None` if the submitted document was not valid. A version
    /// lower than the one in force changes nothing, and the reply is [`CallReply::Done`].
    PutConfig(Option<OperatorConfig>),
    /// Reads the configuration in force.
    GetConfig,
    /// Evacuates a data centre (true) or puts it back into use (false).
    Evacuate(String, bool),
}

/// What a client asks for, of the queue or job that host and path name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClientAction {
    /// Submits the job; `None` if the body could not be decoded.
    Submit(Option<JobSpec>),
    /// Returns the status of the job, or the number of pending jobs of the queue.
    Query,
    /// Cancels the job.
    Cancel,
}

/// The reply to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallReply {
    /// The call was carried out; what it changes is stored.
    Done,
    /// Status of a job.
    State(JobStatus),
    /// Number of jobs in the queue of which no task has started.
    Pending(u64),
    /// The configuration document, as it was submitted.
    Document(Vec<u8>),
    /// No queue matches the host and path.
    NoQueue,
    /// The job does not exist.
    NoJob,
    /// The call is malformed; the text says why.
    Invalid(String),
    /// Another configuration with the same version is in force.
    Conflict,
    /// The call was not accepted and nothing has run; try again after this time, in milliseconds.
    Refused(Millis),
    /// There is no configuration yet.
    NoConfig,
    /// This instance is not the leader; the call was not accepted.
    NotLeader,
    /// The outcome is not known: the call may have been accepted.
    Unknown,
}

impl fmt::Display for Call {
    /// Writes what identifies the call in a log line.
    ///
    /// ```
    /// use fulmardrift::Call;
    /// assert_eq!(Call::Evacuate("dc1".to_owned(), true).to_string(), "evacuate data_centre=dc1 out=true");
    /// ```
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Client { host, path, .. } => write!(f, "client host={host} path={path:?}"),
            Self::PutConfig(Some(config)) => write!(f, "put-config version={}", config.version),
            Self::PutConfig(None) => f.write_str("put-config version=none"),
            Self::GetConfig => f.write_str("get-config"),
            Self::Evacuate(data_centre, out) => {
                write!(f, "evacuate data_centre={data_centre} out={out}")
            }
        }
    }
}

impl CallReply {
    /// A short name for the reply, used as a metrics label.
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
