//! Jobs, tasks and queues as callers and operators define them.

use std::sync::Arc;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::core::clock::Millis;

/// Identifier of a stored or transient job, chosen by its caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses an id of exactly 16 hexadecimal digits, the form that callers use.
    ///
    /// ```
    /// use fulmardrift::JobId;
    /// assert_eq!(JobId::parse("00000000000000ff"), Some(JobId(255)));
    /// assert_eq!(JobId::parse("ff"), None);
    /// ```
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

// Logs show a job id in the form that its caller uses.
impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Index of the job's step, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.step, self.index)
    }
}

/// Identifies one start (run) of a task. The numbers of a task's runs only ever increase, also when
/// the leader changes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunId(pub u64);

/// Resources that a task needs, or that a worker has.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in megabytes.
    pub memory: u32,
    /// Number of accelerators.
    pub gpu: u32,
}

impl Resources {
    /// Returns true if `need` fits into what remains of `self` once `used` is subtracted.
    ///
    /// ```
    /// use fulmardrift::Resources;
    /// let total = Resources { cpu: 4000, memory: 100, gpu: 0 };
    /// let used = Resources { cpu: 3000, memory: 0, gpu: 0 };
    /// assert!(total.fits(used, Resources { cpu: 1000, memory: 100, gpu: 0 }));
    /// assert!(!total.fits(used, Resources { cpu: 1001, memory: 0, gpu: 0 }));
    /// ```
    #[must_use]
    pub fn fits(self, used: Self, need: Self) -> bool {
        used.cpu.saturating_add(need.cpu) <= self.cpu
            && used.memory.saturating_add(need.memory) <= self.memory
            && used.gpu.saturating_add(need.gpu) <= self.gpu
    }

    /// Returns true if any of the resources is more than in `other`.
    pub(crate) fn exceeds(self, other: Self) -> bool {
        self.cpu > other.cpu || self.memory > other.memory || self.gpu > other.gpu
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }

    pub(crate) fn remove(&mut self, other: Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.gpu = self.gpu.saturating_sub(other.gpu);
    }
}

/// A step of a job: a number of tasks with the same requirements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// The caller's estimate of a task's duration, in milliseconds; it may be far off.
    pub estimate: Millis,
    /// Indexes of earlier steps whose tasks must all be done before this step starts.
    pub after: Vec<u32>,
    /// Label that a worker must have to run the step's tasks, if any.
    pub label: Option<String>,
    /// Rack that holds the tasks' data, if any; the tasks run slower on other racks.
    pub rack: Option<String>,
    /// Largest number of the step's tasks on one worker at a time; 0 means no limit.
    pub max_per_worker: u32,
}

/// A job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Passed unchanged to the backend server with each task.
    pub payload: String,
    /// The steps, each of which may depend only on earlier ones.
    pub steps: Vec<Step>,
    /// True if the job is not stored: its caller keeps the request open until the job ends, and
    /// submits the job again if no answer arrives.
    pub transient: bool,
    /// A requested feature that is not implemented, if any; such a job is refused.
    pub unsupported: Option<String>,
}

/// A queue to which callers submit jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name that selects the queue, together with the path prefix.
    pub host: String,
    /// Prefix of the paths of the queue's jobs; the job id follows it.
    pub prefix: String,
    /// Settings that the queue's jobs inherit.
    pub settings: QueueSettings,
}

impl Queue {
    /// What tells the queue apart from all others, whatever its settings are.
    pub(crate) fn place(&self) -> QueuePlace {
        QueuePlace {
            host: self.host.clone(),
            prefix: self.prefix.clone(),
        }
    }
}

/// The host name and the path prefix that select a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QueuePlace {
    pub(crate) host: String,
    pub(crate) prefix: String,
}

/// Settings of a queue, copied into each of its jobs when the job is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// The service whose backend servers run the tasks.
    pub service: String,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task that fail the whole job.
    pub attempts: u32,
    /// Factor, in thousandths, by which the job's critical path is multiplied to get its time
    /// limit.
    pub slack: u32,
    /// Time that is added to that limit, in milliseconds.
    pub target: Millis,
}

impl QueueSettings {
    /// What tells queues apart once their jobs are accepted: service and priority.
    pub(crate) fn key(&self) -> QueueKey {
        (self.service.clone(), self.priority)
    }
}

/// Service and priority of a queue.
pub(crate) type QueueKey = (String, u32);

/// The part of an open job that never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobDefinition {
    pub(crate) settings: QueueSettings,
    pub(crate) payload: Arc<str>,
    pub(crate) steps: Vec<Step>,
}

impl JobDefinition {
    pub(crate) fn step(&self, task: TaskId) -> Option<&Step> {
        self.steps.get(usize::try_from(task.step).ok()?)
    }
}

/// The operator's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorConfig {
    /// Version of the configuration; the highest version is in force.
    pub version: u64,
    /// The queues, sorted by host and prefix.
    pub queues: Vec<Queue>,
    /// Services whose backend servers accept tasks beyond their capacity.
    pub unguarded: Vec<String>,
    /// The document as the operator sent it, returned when the configuration is read.
    pub document: Vec<u8>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The task succeeded.
    Done,
    /// The task or the backend server failed; the run counts as an attempt.
    Failed,
    /// The run was stopped, or killed when its lease ran out; the task may be started again.
    Lost,
}

/// Status of a job, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks succeeded.
    Completed,
    /// A task used up its attempts.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}
