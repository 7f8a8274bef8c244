//! Jobs, tasks and queues, as callers and operators describe them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::core::clock::Millis;

/// A stored or loose job's name, chosen by its caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl JobId {
    /// Reads an id as callers write it: 16 hexadecimal digits.
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

// Logs show a job as its caller names it.
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

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Number of its step, from 0.
    pub step: u32,
    /// Number within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.step, self.index)
    }
}

/// Number of a task's start; it rises over the whole life of the task, also over
/// changes of the leader.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunId(pub u64);

/// What a task takes from a worker, or what a worker has.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u32,
    /// Megabytes of memory.
    pub memory: u32,
    /// Accelerators.
    pub gpu: u32,
}

impl Resources {
    /// True when `need` fits into what is left of `self` after `used`.
    ///
    /// ```
    /// use fulmardrift::Resources;
    /// let room = Resources { cpu: 4000, memory: 100, gpu: 0 };
    /// let used = Resources { cpu: 3000, memory: 0, gpu: 0 };
    /// assert!(room.fits(used, Resources { cpu: 1000, memory: 100, gpu: 0 }));
    /// assert!(!room.fits(used, Resources { cpu: 1001, memory: 0, gpu: 0 }));
    /// ```
    #[must_use]
    pub fn fits(self, used: Self, need: Self) -> bool {
        used.cpu.saturating_add(need.cpu) <= self.cpu
            && used.memory.saturating_add(need.memory) <= self.memory
            && used.gpu.saturating_add(need.gpu) <= self.gpu
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

/// A step of a job: tasks of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub need: Resources,
    /// The caller's rough estimate of a task's duration.
    pub estimate: Millis,
    /// Earlier steps that must have ended first.
    pub after: Vec<u32>,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack where the data is; slower elsewhere.
    pub rack: Option<String>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub max_per_worker: u32,
}

/// A job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Handed to the backend server with each task, as it came.
    pub payload: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// Not stored: its caller waits for the end on the line, and submits it again
    /// when it hears nothing.
    pub transient: bool,
    /// What the job asks for that is not built, if anything.
    pub unsupported: Option<String>,
}

/// A queue that callers submit jobs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the paths of its jobs begin with.
    pub prefix: String,
    /// What its jobs inherit.
    pub settings: QueueSettings,
}

/// What a job takes over from its queue when it is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueSettings {
    /// The service whose backend servers run the tasks.
    pub service: String,
    /// 0 goes first.
    pub priority: u32,
    /// A task that failed so often fails its job.
    pub attempts: u32,
    /// Thousandths by which the job's longest chain may be stretched.
    pub slack: u32,
    /// Time allowed beyond that.
    pub target: Millis,
}

/// What a job is, for as long as it is open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobDefinition {
    pub(crate) settings: QueueSettings,
    pub(crate) payload: String,
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
    /// Its version; the highest is in force.
    pub version: u64,
    /// The queues, sorted by host and prefix.
    pub queues: Vec<Queue>,
    /// Services whose backend servers accept tasks beyond their capacity.
    pub unguarded: Vec<String>,
    /// The document as the operator sent it, for reading back.
    pub document: Vec<u8>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// With success.
    Done,
    /// By a fault of the task or the backend server; counts as an attempt.
    Failed,
    /// Stopped, or killed when its lease ran out: it may be started again.
    Lost,
}

/// A job's state as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks ended with success.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}
