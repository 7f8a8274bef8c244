//! The replicated state: configuration, evacuations, and the jobs' durable part.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::spec::{Ending, JobId, JobSpec, Plan, Run, Setup, State, Step, TaskId, Terms};
use crate::core::table::Table;

/// A change of the replicated state, as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Entry {
    /// A configuration; in force when its version is the highest.
    Setup(Setup),
    /// A data centre is taken out, or back in.
    Evacuate(String, bool),
    /// An agent that may hold orders from now on.
    Enroll(String),
    /// An agent that has been gone for long and can hold nothing.
    Dismiss(String),
    /// A job is accepted.
    Accept(JobId, Terms, JobSpec),
    /// A job's caller cancels it.
    Cancel(JobId),
    /// Runs ended.
    Ends(Vec<End>),
    /// Jobs that ended long ago are forgotten.
    Forget(Vec<JobId>),
}

/// The end of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: Run,
    /// How.
    pub how: Ending,
}

/// A task's durable part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskBook {
    pub(crate) done: bool,
    /// Runs that failed. A new leader may record an end that the former one had
    /// recorded already.
    failed: Vec<Run>,
}

impl TaskBook {
    /// Number of runs that failed.
    pub(crate) fn fails(&self) -> u32 {
        u32::try_from(self.failed.len()).unwrap_or(u32::MAX)
    }

    fn take(&mut self, run: Run, how: Ending) {
        match how {
            Ending::Done => self.done = true,
            Ending::Failed if !self.failed.contains(&run) => self.failed.push(run),
            Ending::Failed | Ending::Lost => {}
        }
    }
}

/// A job that has not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OpenJob {
    pub(crate) plan: Arc<Plan>,
    /// The tasks of each step.
    pub(crate) tasks: Vec<Vec<TaskBook>>,
}

impl OpenJob {
    pub(crate) fn new(terms: Terms, spec: JobSpec) -> Self {
        let book = |step: &Step| vec![TaskBook::default(); step.count as usize];
        let tasks = spec.steps.iter().map(book).collect();
        let plan = Plan {
            terms,
            payload: spec.payload,
            steps: spec.steps,
        };
        Self {
            plan: Arc::new(plan),
            tasks,
        }
    }

    fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskBook> {
        let step = usize::try_from(task.step).ok()?;
        let index = usize::try_from(task.index).ok()?;
        self.tasks.get_mut(step)?.get_mut(index)
    }

    pub(crate) fn task(&self, task: TaskId) -> Option<&TaskBook> {
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
    Ended(State),
}

/// What applying an entry changed, for the leader to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    /// A job is new.
    Accepted(JobId),
    /// The end of a run is on record, whether its job is still open or not.
    TaskEnded(End),
    /// A job ended.
    Ended(JobId, State),
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Book {
    pub(crate) setup: Option<Setup>,
    /// Data centres that are out, sorted.
    pub(crate) out: Vec<String>,
    /// Agents that may hold orders, sorted.
    pub(crate) agents: Vec<String>,
    pub(crate) jobs: Table<JobId, Job>,
    /// Entries applied so far.
    pub(crate) applied: u64,
}

impl Book {
    /// Applies an entry, and tells what it changed.
    pub(crate) fn apply(&mut self, entry: Entry, changes: &mut Vec<Change>) {
        match entry {
            Entry::Setup(setup) => {
                if self
                    .setup
                    .as_ref()
                    .is_none_or(|s| s.version < setup.version)
                {
                    self.setup = Some(setup);
                }
            }
            Entry::Evacuate(place, out) => set_member(&mut self.out, place, out),
            Entry::Enroll(agent) => set_member(&mut self.agents, agent, true),
            Entry::Dismiss(agent) => set_member(&mut self.agents, agent, false),
            Entry::Accept(id, terms, spec) => self.accept(id, terms, spec, changes),
            Entry::Cancel(id) => {
                if let Some(Job::Open(_)) = self.jobs.get(&id) {
                    self.end(id, State::Cancelled, changes);
                }
            }
            Entry::Ends(ends) => {
                for end in ends {
                    self.take_end(end, changes);
                }
            }
            Entry::Forget(ids) => {
                for id in ids {
                    if let Some(Job::Ended(_)) = self.jobs.get(&id) {
                        self.jobs.remove(&id);
                    }
                }
            }
        }
    }

    fn accept(&mut self, id: JobId, terms: Terms, spec: JobSpec, changes: &mut Vec<Change>) {
        if self.jobs.get(&id).is_some() {
            return;
        }
        let job = OpenJob::new(terms, spec);
        let empty = job.tasks.iter().all(Vec::is_empty);
        self.jobs.insert(id, Job::Open(Box::new(job)));
        changes.push(Change::Accepted(id));
        if empty {
            self.end(id, State::Completed, changes);
        }
    }

    fn take_end(&mut self, end: End, changes: &mut Vec<Change>) {
        let id = end.task.job;
        changes.push(Change::TaskEnded(end));
        let Some(Job::Open(job)) = self.jobs.get_mut(&id) else {
            return;
        };
        let attempts = job.plan.terms.attempts;
        let Some(task) = job.task_mut(end.task) else {
            return;
        };
        task.take(end.run, end.how);
        let failed = task.fails() >= attempts && !task.done;
        let done = job.tasks.iter().flatten().all(|t| t.done);
        if done {
            self.end(id, State::Completed, changes);
        } else if failed {
            self.end(id, State::Failed, changes);
        }
    }

    fn end(&mut self, id: JobId, state: State, changes: &mut Vec<Change>) {
        self.jobs.insert(id, Job::Ended(state));
        changes.push(Change::Ended(id, state));
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
