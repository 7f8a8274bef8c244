//! Jobs and their answers, as an entry stores them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::clock::Millis;
use super::ids::{DispatchNumber, Generation, Incarnation, JobKey};
use super::table::Table;

/// Number of a submission or of a waiting caller, unique within its entry process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobHandle(pub u64);

/// States of `charts/job.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// The claim was sent and not yet answered.
    Claiming,
    /// Owned by this entry; its tasks are dispatched.
    Running,
    /// Owned by another entry.
    Attached,
    /// Taken over; the agents are asked for their inventories.
    Recovering,
    /// Every task has a complete answer.
    Complete,
    /// At least one task ran or may have run, and there is no complete answer.
    Failed,
    /// No task ran.
    Refused,
}

/// Events of `charts/job.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobEvent {
    /// The claim was granted to this entry, or a taken-over job can continue.
    Granted,
    /// Another live entry owns the claim.
    Attached,
    /// The claim moved to this entry from a dead one.
    TakenOver,
    /// The job is claimed again, because its ownership is uncertain.
    Reclaim,
    /// The last task was answered.
    Complete,
    /// It can no longer become complete, and a task ran or may have run.
    Fail,
    /// It can no longer become complete, and no task ran.
    Refuse,
}

/// A submitted task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The input for the backend server.
    pub payload: Bytes,
    /// Run time declared by the caller, which may be far off.
    pub declared: Option<Millis>,
}

/// The kind of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A batch of tasks that are answered together.
    Job,
    /// A single streamed request.
    Request {
        /// True if it may run more than once.
        repeatable: bool,
    },
}

/// A job or request as submitted by a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Assigned by the front end, increasing.
    pub handle: JobHandle,
    /// Identifies the job.
    pub key: JobKey,
    /// Digest of the payload if the caller chose the key. Such a job is claimed in the control
    /// group.
    pub digest: Option<Vec<u8>>,
    /// The service whose backend servers can run it.
    pub service: String,
    /// A job or a request.
    pub kind: JobKind,
    /// The tasks, in the order of their results.
    pub tasks: Vec<TaskSpec>,
    /// Deadline of the answer, by the entry's clock.
    pub deadline: Millis,
}

/// Why no task of a submission ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The key was used with another payload.
    KeyConflict,
    /// No known backend server can run it.
    NeverFits,
    /// The expected wait in the queue is too long.
    Overload,
    /// The deadline passed before any task started.
    Deadline,
    /// The caller cancelled it before any task started.
    Cancelled,
    /// The entry is stopping.
    Stopping,
}

/// Why a submission that ran or may have run has no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// A task failed at its backend server.
    Task {
        /// Index of the task.
        task: u32,
        /// The error reported by the agent.
        reason: String,
    },
    /// A task was dispatched to an agent that was lost; it may have run.
    AgentLost {
        /// Index of the task.
        task: u32,
    },
    /// The deadline passed after a task had started or may have started.
    Deadline,
    /// The caller cancelled it after a task had started or may have started.
    Cancelled,
    /// The outcome of a former owner is known, but the results are no longer available.
    ResultsGone,
    /// The owner was lost together with an agent that may have run tasks of the job.
    Unaccounted,
    /// The owner was lost, and no record of the job exists from which it could continue.
    OwnerLost,
    /// The control group did not answer the claim, so an earlier submission under the same key may
    /// have run elsewhere.
    NoClaim,
}

/// The answer to a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The results, one for each task, in task order.
    Complete(Vec<Bytes>),
    /// At least one task ran or may have run.
    Failed(Failure),
    /// No task ran. The time, if any, is the delay after which to submit again.
    Refused(Refusal, Option<Millis>),
    /// The HTTP response of the entry that owns the job.
    Relayed {
        /// The status code.
        status: u16,
        /// The body.
        body: Bytes,
    },
}

/// The progress of a task at its entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskProgress {
    Waiting,
    InFlight(DispatchNumber),
    Done(Bytes),
}

#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) payload: Bytes,
    pub(crate) declared: Option<Millis>,
    pub(crate) progress: TaskProgress,
    // Agents that a baseline policy bound the task to.
    pub(crate) pins: Vec<Incarnation>,
}

#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) key: JobKey,
    pub(crate) digest: Option<Vec<u8>>,
    pub(crate) service: String,
    pub(crate) kind: JobKind,
    pub(crate) state: JobState,
    pub(crate) generation: Generation,
    pub(crate) tasks: Vec<Task>,
    // Indices of the waiting tasks, the longest last.
    pub(crate) waiting: Vec<u32>,
    pub(crate) done: u32,
    pub(crate) may_have_started: bool,
    // True if a former owner's outcome is on record, or if the claim is so old that agents may have
    // pruned starts of the job: no task may start.
    pub(crate) must_not_start: bool,
    pub(crate) arrived_at: Millis,
    pub(crate) deadline: Millis,
    // Expected run time of the waiting tasks, in milliseconds.
    pub(crate) work: f64,
    // Agents that were sent tasks, each with its number of unfinished dispatches.
    pub(crate) agents: Table<Incarnation, u32>,
    // Agents, in ascending order.
    pub(crate) awaited_inventories: Vec<Incarnation>,
    pub(crate) waiters: Vec<JobHandle>,
    pub(crate) answer: Option<Answer>,
    pub(crate) settled_at: Millis,
    // Order in the team's queue: the lowest rank goes first.
    pub(crate) rank: u64,
    // Expected end of the dispatched task that ends last, in milliseconds.
    pub(crate) expected_end: f64,
}

impl Job {
    pub(crate) fn new(now: Millis, submission: Submission) -> Self {
        let tasks = submission.tasks.into_iter().map(|spec| Task {
            payload: spec.payload,
            declared: spec.declared,
            progress: TaskProgress::Waiting,
            pins: Vec::new(),
        });
        Self {
            key: submission.key,
            digest: submission.digest,
            service: submission.service,
            kind: submission.kind,
            state: JobState::Claiming,
            generation: Generation(0),
            tasks: tasks.collect(),
            waiting: Vec::new(),
            done: 0,
            may_have_started: false,
            must_not_start: false,
            arrived_at: now,
            deadline: submission.deadline,
            work: 0.0,
            agents: Table::default(),
            awaited_inventories: Vec::new(),
            waiters: vec![submission.handle],
            answer: None,
            settled_at: now,
            rank: 0,
            expected_end: 0.0,
        }
    }

    pub(crate) fn is_keyed(&self) -> bool {
        self.digest.is_some()
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// The results in task order. Call it only once the job is complete.
    pub(crate) fn results(&self) -> Vec<Bytes> {
        let bodies = self.tasks.iter().filter_map(|t| match &t.progress {
            TaskProgress::Done(body) => Some(body.clone()),
            _ => None,
        });
        bodies.collect()
    }
}
