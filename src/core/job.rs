//! A job and its answer, as its entry keeps them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::clock::Millis;
use super::ids::{DispatchNumber, Generation, Incarnation, JobKey};
use super::table::Table;

/// A job's or request's number within its entry process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct JobHandle(pub u64);

/// States of `charts/job.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// The claim is on its way.
    Claiming,
    /// Owned here; tasks are dispatched.
    Running,
    /// Owned by another entry.
    Attached,
    /// Taken over; agents are asked what they know.
    Recovering,
    /// Every task answered.
    Complete,
    /// At least one task ran or may have run, and there is no whole answer.
    Failed,
    /// No task ran.
    Refused,
}

/// Events of `charts/job.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobEvent {
    /// The claim is this entry's.
    Granted,
    /// The claim is another live entry's.
    Attached,
    /// The claim moved here from a dead entry.
    TakenOver,
    /// Claim again: ownership is in doubt.
    Reclaim,
    /// The last task answered.
    Complete,
    /// It cannot become complete.
    Fail,
    /// It cannot become complete, and nothing ran.
    Refuse,
}

/// One task as submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// What the backend server is given.
    pub payload: Bytes,
    /// Declared run time, which may be far off.
    pub declared: Option<Millis>,
}

/// What a submission is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// A batch of tasks with one whole answer.
    Job,
    /// One streamed request.
    Request {
        /// True when it may run more than once.
        repeatable: bool,
    },
}

/// A submission, as the entry's edge hands it in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Numbered by the edge, rising.
    pub handle: JobHandle,
    /// The job's name.
    pub key: JobKey,
    /// Digest of the payload where the caller chose the key: it is claimed.
    pub digest: Option<Vec<u8>>,
    /// Which backend servers can run it.
    pub service: String,
    /// What it is.
    pub kind: JobKind,
    /// Its tasks.
    pub tasks: Vec<TaskSpec>,
    /// End of the caller's patience, by the entry's clock.
    pub deadline: Millis,
}

/// Why nothing of a submission ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The key was used with another payload.
    KeyConflict,
    /// No known backend server can run it.
    NeverFits,
    /// The queue is too long.
    Overload,
    /// The deadline passed before any task started.
    Deadline,
    /// The caller cancelled it before any task started.
    Cancelled,
    /// The entry stops.
    Stopping,
}

/// Why a submission that ran, or may have run, has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// A task failed at its backend server.
    Task {
        /// Index of the task.
        task: u32,
        /// The agent's word.
        reason: String,
    },
    /// A task was with an agent that is lost; it may have run.
    AgentLost {
        /// Index of the task.
        task: u32,
    },
    /// The deadline passed while tasks ran.
    Deadline,
    /// Cancelled while tasks ran.
    Cancelled,
    /// The former owner's outcome is known, its results are gone.
    ResultsGone,
    /// The owner is lost, with an agent that may have run tasks of it.
    Unaccounted,
    /// The owner is lost, and nothing is on record that could go on.
    OwnerLost,
    /// Control did not answer the claim: an earlier submission under the same key
    /// may have run elsewhere.
    NoClaim,
}

/// The outcome of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// One result a task, in task order.
    Complete(Vec<Bytes>),
    /// It ran, or may have run.
    Failed(Failure),
    /// Nothing of it ran; the time is when to try again.
    Refused(Refusal, Option<Millis>),
    /// What the owner at another entry answered, as HTTP.
    Relayed {
        /// The status.
        status: u16,
        /// The body.
        body: Bytes,
    },
}

/// Where a task stands.
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
    // Agents a baseline policy bound the task to.
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
    // Indices of waiting tasks, the longest last.
    pub(crate) waiting: Vec<u32>,
    pub(crate) done: u32,
    // True once a task may have started.
    pub(crate) started: bool,
    // True when a former owner's outcome is on record: nothing may start.
    pub(crate) concluded: bool,
    pub(crate) arrived: Millis,
    pub(crate) deadline: Millis,
    // Expected work left, in milliseconds of one slot.
    pub(crate) work: f64,
    // Agents that were sent tasks, with the number still out.
    pub(crate) agents: Table<Incarnation, u32>,
    // Agents whose inventory is awaited.
    pub(crate) awaited: Vec<Incarnation>,
    pub(crate) waiters: Vec<JobHandle>,
    pub(crate) answer: Option<Answer>,
    pub(crate) settled: Millis,
    pub(crate) rank: u64,
    // Expected end of the task that ends last, among those sent.
    pub(crate) target: f64,
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
            started: false,
            concluded: false,
            arrived: now,
            deadline: submission.deadline,
            work: 0.0,
            agents: Table::default(),
            awaited: Vec::new(),
            waiters: vec![submission.handle],
            answer: None,
            settled: now,
            rank: 0,
            target: 0.0,
        }
    }

    pub(crate) fn is_keyed(&self) -> bool {
        self.digest.is_some()
    }

    pub(crate) fn is_whole(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// The results in task order; call it only when the job is whole.
    pub(crate) fn results(&self) -> Vec<Bytes> {
        let bodies = self.tasks.iter().filter_map(|t| match &t.progress {
            TaskProgress::Done(body) => Some(body.clone()),
            _ => None,
        });
        bodies.collect()
    }
}
