//! Commands of the replicated state machine, and its answers.

use serde::{Deserialize, Serialize};

use super::settings::SettingsError;
use crate::core::clock::Millis;
use crate::core::ids::{Generation, Incarnation, JobKey, Revision};

/// What a process of the directory is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ProcessRole {
    /// Owns jobs.
    Entry,
    /// Starts tasks.
    Agent,
}

/// A process as it joins.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Registration {
    /// Entry or agent.
    pub role: ProcessRole,
    /// Its name in the settings file.
    pub name: String,
    /// `region/data-centre`.
    pub place: String,
    /// IP and port for its peers.
    pub address: String,
    /// The service of an agent's backend server.
    pub service: String,
}

/// How a job ended, as far as the log keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum JobOutcome {
    /// Whole answer.
    Complete,
    /// Ran or may have run.
    Failed,
    /// Nothing ran: the key is free again.
    Refused,
}

/// A change of one setting.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SettingChange {
    /// The level.
    pub path: String,
    /// The key.
    pub key: String,
    /// The value, or `None` to inherit again.
    pub value: Option<String>,
}

/// A request to change settings, all of it or nothing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Who asks.
    pub operator: String,
    /// The operator's id for this request; a resend gets the first answer.
    pub request: String,
    /// The revision the operator saw; `None` to change whatever is there.
    pub expected: Option<Revision>,
    /// The changes.
    pub changes: Vec<SettingChange>,
}

/// A command of the log, stamped with the leader's wall clock.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// Wall-clock time since the Unix epoch.
    pub at: Millis,
    /// The command.
    pub command: Command,
}

/// What the state machine can be told.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A process joins; the id makes a resend harmless.
    Join(String, Registration),
    /// A process is dead, or has left.
    Dead(Incarnation),
    /// An entry claims a job.
    Claim {
        /// The job.
        key: JobKey,
        /// The service it is for.
        service: String,
        /// Digest of the payload.
        digest: Vec<u8>,
        /// The claiming entry.
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
    /// An operator changes settings.
    Change(ChangeRequest),
}

/// A change that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The settings' revision with it.
    pub revision: Revision,
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejected {
    /// Another change came first.
    Stale {
        /// The revision in force.
        revision: Revision,
        /// Who made it.
        operator: String,
    },
    /// The change itself is wrong.
    Invalid(SettingsError),
}

/// The claim of a key, as control answers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// New, or free again.
    Granted(Generation),
    /// A live entry owns it.
    Attached {
        /// The owner.
        owner: Incarnation,
        /// Its generation.
        generation: Generation,
    },
    /// Another payload.
    Conflict,
    /// The claim moved to the asking entry.
    TakenOver {
        /// The new generation.
        generation: Generation,
        /// Live agents that may hold tasks.
        agents: Vec<Incarnation>,
        /// True when one that may have run tasks is lost.
        lost: bool,
        /// True complete, false failed, `None` while it was open.
        settled: Option<bool>,
        /// Time since the first claim, by the leaders' wall clocks.
        age: Millis,
    },
    /// The asking entry is not alive in the directory.
    DeadOwner,
}

/// The state machine's answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandReply {
    /// The incarnation given.
    Joined(Incarnation),
    /// Nothing to say.
    Done,
    /// On a claim.
    Claim(ClaimAnswer),
    /// Whether the outcome was taken.
    Recorded(bool),
    /// On a change of settings.
    Change(Result<Accepted, Rejected>),
}
