//! Names of jobs, processes and messages.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A job's name for its whole life: the team and the caller's own id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobKey {
    /// The team that submits.
    pub team: String,
    /// The caller's idempotency key, or an id issued by the entry.
    pub id: String,
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.id)
    }
}

/// One life of a process, as numbered by control; never used twice.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// How often the ownership of a job has moved, from 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

/// Number of a dispatch, rising within one incarnation of an entry.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DispatchNumber(pub u64);

/// Number of an accepted change of the settings.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);
