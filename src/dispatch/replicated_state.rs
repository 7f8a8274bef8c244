//! The replicated state: configuration, evacuations, and the jobs' durable part.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::spec::{
    JobDefinition, JobId, JobSpec, JobStatus, OperatorConfig, QueueSettings, RunId, RunOutcome,
    Step, TaskId,
};
use crate::core::table::Table;

/// A change of the replicated state, as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StateCommand {
    /// A configuration; in force when its version is the highest.
    Config(OperatorConfig),
    /// A data centre is taken out, or back in.
    Evacuate(String, bool),
    /// An agent that may hold orders from now on.
    Enroll(String),
    /// An agent that has been gone for long and can hold nothing.
    Dismiss(String),
    /// A job is accepted.
    Accept(JobId, QueueSettings, JobSpec),
    /// A job's caller cancels it.
    Cancel(JobId),
    /// Runs ended.
    Ends(Vec<RunEnd>),
    /// Jobs that ended long ago are forgotten.
    Forget(Vec<JobId>),
}

/// The end of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: RunId,
    /// How.
    pub outcome: RunOutcome,
}

/// A task's durable part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskRecord {
    pub(crate) done: bool,
    /// Runs that failed. A new leader may record an end that the former one had
    /// recorded already.
    failed: Vec<RunId>,
}

impl TaskRecord {
    /// Number of runs that failed.
    pub(crate) fn fails(&self) -> u32 {
        u32::try_from(self.failed.len()).unwrap_or(u32::MAX)
    }

    fn take(&mut self, run: RunId, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Done => self.done = true,
            RunOutcome::Failed if !self.failed.contains(&run) => self.failed.push(run),
            RunOutcome::Failed | RunOutcome::Lost => {}
        }
    }
}

/// A job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OpenJob {
    pub(crate) definition: Arc<JobDefinition>,
    /// The tasks of each step.
    pub(crate) tasks: Vec<Vec<TaskRecord>>,
}

impl OpenJob {
    pub(crate) fn new(settings: QueueSettings, spec: JobSpec) -> Self {
        let records = |step: &Step| vec![TaskRecord::default(); step.count as usize];
        let tasks = spec.steps.iter().map(records).collect();
        let definition = JobDefinition {
            settings,
            payload: spec.payload,
            steps: spec.steps,
        };
        Self {
            definition: Arc::new(definition),
            tasks,
        }
    }

    fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskRecord> {
        let step = usize::try_from(task.step).ok()?;
        let index = usize::try_from(task.index).ok()?;
        self.tasks.get_mut(step)?.get_mut(index)
    }

    pub(crate) fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        let step = usize::try_from(task.step).ok()?;
        let index = usize::try_from(task.index).ok()?;
        self.tasks.get(step)?.get(index)
    }

    /// True when an end of one of its tasks is on record.
    pub(crate) fn has_begun(&self) -> bool {
        let mut tasks = self.tasks.iter().flatten();
        tasks.any(|task| task.done || task.fails() > 0)
    }
}

/// A job of the book.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Job {
    Open(Box<OpenJob>),
    Ended(JobStatus),
}

/// What applying an entry changed, for the leader to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StateChange {
    /// A job is new.
    Accepted(JobId),
    /// The end of a run is on record, whether its job is still open or not.
    TaskEnded(RunEnd),
    /// A job ended.
    Ended(JobId, JobStatus),
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicatedState {
    pub(crate) config: Option<OperatorConfig>,
    /// Data centres that are out, sorted.
    pub(crate) evacuated: Vec<String>,
    /// Agents that may hold orders, sorted.
    pub(crate) agents: Vec<String>,
    pub(crate) jobs: Table<JobId, Job>,
    /// Entries applied so far.
    pub(crate) applied: u64,
}

impl ReplicatedState {
    /// Applies an entry, and tells what it changed.
    pub(crate) fn apply(&mut self, entry: StateCommand, changes: &mut Vec<StateChange>) {
        match entry {
            StateCommand::Config(config) => {
                if self
                    .config
                    .as_ref()
                    .is_none_or(|s| s.version < config.version)
                {
                    self.config = Some(config);
                }
            }
            StateCommand::Evacuate(data_centre, evacuated) => {
                set_member(&mut self.evacuated, data_centre, evacuated)
            }
            StateCommand::Enroll(agent) => set_member(&mut self.agents, agent, true),
            StateCommand::Dismiss(agent) => set_member(&mut self.agents, agent, false),
            StateCommand::Accept(id, settings, spec) => self.accept(id, settings, spec, changes),
            StateCommand::Cancel(id) => {
                if let Some(Job::Open(_)) = self.jobs.get(&id) {
                    self.end(id, JobStatus::Cancelled, changes);
                }
            }
            StateCommand::Ends(ends) => {
                for end in ends {
                    self.take_end(end, changes);
                }
            }
            StateCommand::Forget(ids) => {
                for id in ids {
                    if let Some(Job::Ended(_)) = self.jobs.get(&id) {
                        self.jobs.remove(&id);
                    }
                }
            }
        }
    }

    fn accept(
        &mut self,
        id: JobId,
        settings: QueueSettings,
        spec: JobSpec,
        changes: &mut Vec<StateChange>,
    ) {
        if self.jobs.get(&id).is_some() {
            return;
        }
        let job = OpenJob::new(settings, spec);
        let empty = job.tasks.iter().all(Vec::is_empty);
        self.jobs.insert(id, Job::Open(Box::new(job)));
        changes.push(StateChange::Accepted(id));
        if empty {
            self.end(id, JobStatus::Completed, changes);
        }
    }

    fn take_end(&mut self, end: RunEnd, changes: &mut Vec<StateChange>) {
        let id = end.task.job;
        changes.push(StateChange::TaskEnded(end));
        let Some(Job::Open(job)) = self.jobs.get_mut(&id) else {
            return;
        };
        let attempts = job.definition.settings.attempts;
        let Some(task) = job.task_mut(end.task) else {
            return;
        };
        task.take(end.run, end.outcome);
        let failed = task.fails() >= attempts && !task.done;
        let done = job.tasks.iter().flatten().all(|t| t.done);
        if done {
            self.end(id, JobStatus::Completed, changes);
        } else if failed {
            self.end(id, JobStatus::Failed, changes);
        }
    }

    fn end(&mut self, id: JobId, status: JobStatus, changes: &mut Vec<StateChange>) {
        self.jobs.insert(id, Job::Ended(status));
        changes.push(StateChange::Ended(id, status));
    }

    pub(crate) fn open(&self, id: JobId) -> Option<&OpenJob> {
        match self.jobs.get(&id) {
            Some(Job::Open(job)) => Some(job),
            _ => None,
        }
    }
}

fn set_member(sorted: &mut Vec<String>, name: String, member: bool) {
    match (sorted.binary_search(&name), member) {
        (Err(at), true) => sorted.insert(at, name),
        (Ok(at), false) => {
            sorted.remove(at);
        }
        _ => {}
    }
}
