//! State that is replicated through the control group's log: the configuration, the evacuated data
//! centres, and the durable part of each stored job.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::spec::{
    JobDefinition, JobId, JobSpec, JobStatus, OperatorConfig, Queue, QueuePlace, QueueSettings,
    RunId, RunOutcome, Step, TaskId,
};
use super::suspects::{CrashedRun, is_given_up};
use crate::core::table::Table;
use crate::events;

/// A command in the replicated log; applying it changes the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StateCommand {
    /// Puts a configuration in force, unless one with the same or a higher version already is.
    Config(OperatorConfig),
    /// Evacuates a data centre (true) or puts it back into use (false).
    Evacuate(String, bool),
    /// Adds an agent that may receive orders from now on.
    Enroll(String),
    /// Removes an agent whose grant and lease expired long ago, so that it cannot hold any run.
    Dismiss(String),
    /// Accepts a job whose queue is known by its settings only: in logs of versions without
    /// [`StateCommand::AcceptFor`].
    Accept(JobId, QueueSettings, JobSpec),
    /// Cancels a job at its caller's request.
    Cancel(JobId),
    /// Records the ends of runs.
    Ends(Vec<RunEnd>),
    /// Removes jobs that ended long ago.
    Forget(Vec<JobId>),
    /// Records runs on which their backend server crashed.
    Crashed(Vec<CrashedRun>),
    /// Accepts a job of the queue at this place.
    AcceptFor(QueuePlace, JobId, QueueSettings, JobSpec),
}

/// The end of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Task of the run.
    pub task: TaskId,
    /// The run that ended.
    pub run: RunId,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// Durable part of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskRecord {
    pub(crate) done: bool,
    /// Runs that failed, each once: a new leader may record an end again that its predecessor has
    /// already recorded.
    failed: Vec<RunId>,
}

impl TaskRecord {
    /// Number of runs that failed.
    pub(crate) fn failures(&self) -> u32 {
        u32::try_from(self.failed.len()).unwrap_or(u32::MAX)
    }

    fn add_end(&mut self, run: RunId, outcome: RunOutcome) {
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
    /// The tasks, by step.
    pub(crate) tasks: Vec<Vec<TaskRecord>>,
}

impl OpenJob {
    pub(crate) fn new(settings: QueueSettings, spec: JobSpec) -> Self {
        let records = |step: &Step| vec![TaskRecord::default(); step.count as usize];
        let tasks = spec.steps.iter().map(records).collect();
        let definition = JobDefinition {
            settings,
            payload: spec.payload.into(),
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

    /// Returns true if the end of at least one run is recorded.
    pub(crate) fn has_begun(&self) -> bool {
        let mut tasks = self.tasks.iter().flatten();
        tasks.any(|task| task.done || task.failures() > 0)
    }
}

/// A stored job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Job {
    Open(Box<OpenJob>),
    Ended(JobStatus),
}

/// What applying a command changed; the leader's dispatcher acts on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StateChange {
    /// A new job was accepted.
    Accepted(JobId),
    /// The end of a run was recorded; its job may have ended before.
    TaskEnded(RunEnd),
    /// A job ended.
    Ended(JobId, JobStatus),
    /// A crash in which a run of the task had begun was recorded; its job may have ended with it.
    TaskCrashed(TaskId),
}

/// State that all replicas of the control group share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicatedState {
    pub(crate) config: Option<OperatorConfig>,
    /// Evacuated data centres, sorted.
    pub(crate) evacuated: Vec<String>,
    /// Agents that may hold runs for the group, sorted by name.
    pub(crate) agents: Vec<String>,
    pub(crate) jobs: Table<JobId, Job>,
    /// Index of the last log entry that was applied.
    pub(crate) applied: u64,
    /// The runs of open jobs' tasks on which a backend server crashed, each once. Missing in old
    /// snapshots, as are the next two fields, which are the last: see [`ReplicatedState::decode`].
    pub(crate) crashes: Table<TaskId, Vec<RunId>>,
    /// The queues that accepted the open jobs, as far as they are known.
    pub(crate) queues: Table<JobId, QueuePlace>,
    /// Largest number of voters that the group has had; 0 if no entry since a snapshot of a former
    /// version named any.
    pub(crate) most_voters: usize,
}

/// Encoding of the fields that old snapshots lack: two empty tables, each of no chunks and no rows,
/// and no voters.
const MISSING_FIELDS: [u8; 5] = [0; 5];

impl ReplicatedState {
    /// Decodes a snapshot. One of a former version ends before the last fields, so the encoding of
    /// their defaults is added; where it is not needed, it is not read.
    pub(crate) fn decode(snapshot: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(&[snapshot, &MISSING_FIELDS].concat())
    }

    /// Applies a command and appends the resulting changes to `changes`.
    pub(crate) fn apply(&mut self, command: StateCommand, changes: &mut Vec<StateChange>) {
        match command {
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
                set_member(&mut self.evacuated, data_centre, evacuated);
            }
            StateCommand::Enroll(agent) => set_member(&mut self.agents, agent, true),
            StateCommand::Dismiss(agent) => set_member(&mut self.agents, agent, false),
            StateCommand::Accept(id, settings, spec) => {
                self.accept(None, id, settings, spec, changes);
            }
            StateCommand::AcceptFor(queue, id, settings, spec) => {
                self.accept(Some(queue), id, settings, spec, changes);
            }
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
            StateCommand::Crashed(runs) => {
                for row in runs {
                    self.take_crash(&row, changes);
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
        queue: Option<QueuePlace>,
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
        if let Some(queue) = queue {
            self.queues.insert(id, queue);
        }
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
        task.add_end(end.run, end.outcome);
        let failed = task.failures() >= attempts && !task.done;
        let done = job.tasks.iter().flatten().all(|t| t.done);
        if done {
            self.end(id, JobStatus::Completed, changes);
        } else if failed {
            self.end(id, JobStatus::Failed, changes);
        }
    }

    fn take_crash(&mut self, row: &CrashedRun, changes: &mut Vec<StateChange>) {
        let id = row.task.job;
        let task = self.open_job(id).and_then(|job| job.task(row.task));
        if task.is_none_or(|task| task.done) {
            return;
        }
        let runs = self.crashes.or_insert_with(row.task, Vec::new);
        if !runs.contains(&row.run) {
            runs.push(row.run);
        }
        let crashes = runs.len();
        if is_given_up(crashes, row.alone) {
            events::GIVEN_UP.log(format_args!(
                "task={} run={} stored=true crashes={crashes} alone={}",
                row.task, row.run.0, row.alone
            ));
            self.end(id, JobStatus::Failed, changes);
        }
        changes.push(StateChange::TaskCrashed(row.task));
    }

    fn end(&mut self, id: JobId, status: JobStatus, changes: &mut Vec<StateChange>) {
        self.crashes.retain(|task, _| task.job != id);
        self.queues.remove(&id);
        self.jobs.insert(id, Job::Ended(status));
        changes.push(StateChange::Ended(id, status));
    }

    /// Returns true if the queue accepted the job, which has these settings. A job whose queue is
    /// not known belongs to the queues with the same settings.
    pub(crate) fn is_of_queue(&self, id: JobId, settings: &QueueSettings, queue: &Queue) -> bool {
        match self.queues.get(&id) {
            Some(place) => (&place.host, &place.prefix) == (&queue.host, &queue.prefix),
            None => *settings == queue.settings,
        }
    }

    pub(crate) fn open_job(&self, id: JobId) -> Option<&OpenJob> {
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
