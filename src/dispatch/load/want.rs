//! What an entry asks of an agent: capacity for tasks that found no worker.

use serde::{Deserialize, Serialize};

use crate::core::clock::Millis;
use crate::dispatch::spec::Resources;

/// Largest number of wants that a dispatcher has at one agent.
pub(crate) const MAX_WANTS: usize = 8;

/// What can be gained by starting a job's task now; the lowest starts first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum UrgencyClass {
    /// The job has begun and can still be of use; what it has used is lost if it does not end.
    Begun,
    /// The job can end within its objective.
    #[default]
    InTime,
    /// The job ends late, but early enough to be of value.
    Late,
    /// The job ends too late to be of value.
    Overdue,
}

/// How urgent a task is, comparable between entries; the lowest starts first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Urgency {
    /// Compared first.
    pub class: UrgencyClass,
    /// Remaining work for the job's value. It depends on ratios between queues only, so that an
    /// entry with more callers has the same costs as others.
    pub cost: u64,
}

/// A task that waits for capacity of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Resources that its run takes.
    pub need: Resources,
    /// How urgent it is.
    pub urgency: Urgency,
    /// Expected duration of its run on an average worker.
    pub length: Millis,
    /// How long the capacity is of use from now on.
    pub wait: Millis,
}
