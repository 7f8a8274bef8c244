//! Commands of the replicated state machine, and its replies.

use serde::{Deserialize, Serialize};

use super::settings::SettingsError;
use crate::core::clock::Millis;
use crate::core::ids::{Generation, Incarnation, JobKey, Revision};

/// The role of a process in the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ProcessRole {
    /// Owns jobs.
    Entry,
    /// Starts tasks.
    Agent,
}

/// The data that a process gives when it joins.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Registration {
    /// The role of the process.
    pub role: ProcessRole,
    /// Its name in the configuration file.
    pub name: String,
    /// Region and data centre, as `region/data_centre`.
    pub place: String,
    /// IP address and port that its peers connect to.
    pub address: String,
    /// The service of an agent's backend server; empty for an entry.
    pub service: String,
}

/// The outcome of a job, as far as the log records it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum JobOutcome {
    /// The job has a complete answer.
    Complete,
    /// The job failed, and tasks ran or may have run.
    Failed,
    /// No task ran: the key may be claimed again.
    Refused,
}

/// A change of one setting at one level.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SettingChange {
    /// Path of the level.
    pub path: String,
    /// The key.
    pub key: String,
    /// The new value, or `None` to remove the override.
    pub value: Option<String>,
}

/// A request to change settings: either all changes are made or none.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The operator who asks for the changes.
    pub operator: String,
    /// The operator's id for this request. A request with the same id gets the first answer again.
    pub request: String,
    /// The revision that the changes are based on; `None` to change the settings at any revision.
    pub expected: Option<Revision>,
    /// The changes.
    pub changes: Vec<SettingChange>,
}

/// A command with the leader's wall-clock time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// Wall-clock time since the Unix epoch, in milliseconds.
    pub at: Millis,
    /// The command.
    pub command: Command,
}

/// A command of the state machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A process joins. The first field is its idempotency key.
    Join(String, Registration),
    /// A process is dead or has left.
    Dead(Incarnation),
    /// An entry claims a job.
    Claim {
        /// The job.
        key: JobKey,
        /// The service that the job is for.
        service: String,
        /// Digest of the payload.
        digest: Vec<u8>,
        /// The entry that claims the job.
        owner: Incarnation,
    },
    /// The owner records a job's outcome.
    Record {
        /// The job.
        key: JobKey,
        /// The owner's generation.
        generation: Generation,
        /// The owner.
        owner: Incarnation,
        /// The outcome.
        outcome: JobOutcome,
    },
    /// An operator asks for a change of settings.
    Change(ChangeRequest),
}

/// An accepted change of settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The settings revision that the change led to.
    pub revision: Revision,
}

/// Why a change of settings was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejected {
    /// The settings are no longer at the expected revision.
    Stale {
        /// The current revision.
        revision: Revision,
        /// The operator who made the last change.
        operator: String,
    },
    /// A path, key or value is not valid.
    Invalid(SettingsError),
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The key is new, or no task ran under it. The claiming entry owns the job.
    Granted(Generation),
    /// Another live entry owns the job.
    Attached {
        /// The owner.
        owner: Incarnation,
        /// Its generation.
        generation: Generation,
    },
    /// The key was used before with another payload.
    Conflict,
    /// The previous owner is dead, or the owner claims again; the claiming entry owns the job from
    /// now on.
    TakenOver {
        /// The new generation of the claim.
        generation: Generation,
        /// Live agents of the service, which may hold tasks of the job.
        agents: Vec<Incarnation>,
        /// True when an agent that may have run tasks of the job has died since the first claim.
        lost: bool,
        /// The recorded outcome: true for complete, false for failed, `None` for none.
        settled: Option<bool>,
        /// Time since the first claim by the leaders' wall clocks, in milliseconds.
        age: Millis,
    },
    /// The claiming entry is not alive in the directory.
    DeadOwner,
}

/// The state machine's reply to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandReply {
    /// The process has joined and has this incarnation.
    Joined(Incarnation),
    /// The command was applied; there is no result.
    Done,
    /// The answer to a claim.
    Claim(ClaimAnswer),
    /// Whether the outcome was accepted; false when the claim is unknown or has another owner or
    /// generation.
    Recorded(bool),
    /// The result of a change of settings.
    Change(Result<Accepted, Rejected>),
}
