//! A dispatcher's view of a job that has not ended.

use std::sync::Arc;

use super::load::admission::Admitted;
use super::replicated_state::OpenJob;
use super::run_trace::FormerRun;
use super::spec::{JobDefinition, JobStatus, Resources, RunId, Step, TaskId};
use super::worker::WorkerId;
use crate::core::clock::Millis;

/// A job that ends after this multiple of its objective has no value to its caller.
const LATE_FACTOR: u64 = 3;
/// A queue's slack is given in thousandths.
const SCALE: u64 = 1_000;
/// Tasks request CPU in thousandths of a core.
const CPU_UNIT: f64 = 1_000.0;

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// A former leader may have started it on an agent whose inventory is still missing.
    Unknown,
    /// It can be started as soon as the steps that its own step depends on are done.
    Ready,
    /// Its latest run was ordered, and may be running, on this worker.
    Assigned(WorkerId),
    /// The end of a run is being recorded in the log.
    Recording,
    /// It succeeded.
    Done,
}

/// A task of an open job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LiveTask {
    pub(crate) phase: TaskPhase,
    /// The latest run known to this dispatcher.
    pub(crate) run: RunId,
    /// A worker to avoid: a run of the task failed or was slow there.
    pub(crate) avoid: Option<WorkerId>,
    /// Number of times it was moved for being slow.
    pub(crate) moves: u32,
    /// Number of runs that failed, without those of a stored job that are not recorded.
    pub(crate) failures: u32,
    /// Since when it finds no worker.
    pub(crate) missed_at: Option<Millis>,
    /// A crash under it is being recorded in the log; it is not started before that.
    pub(crate) crash_pending: bool,
    /// The failure of an earlier run is being recorded in the log, while an agent that has not been
    /// heard may hold a later one; it is not started before that.
    pub(crate) failure_pending: bool,
    /// Its last run that counts as over.
    pub(crate) former: Option<FormerRun>,
}

impl LiveTask {
    /// True if it can be started, as far as its own state goes.
    pub(crate) fn is_startable(&self) -> bool {
        self.phase == TaskPhase::Ready && !self.crash_pending && !self.failure_pending
    }
}

/// What a job can still achieve if it starts now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outlook {
    /// It can end within its objective.
    InTime,
    /// It ends late, but early enough to be of value.
    Late,
    /// It ends too late to be of value.
    Overdue,
}

/// A job that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct LiveJob {
    pub(crate) definition: Arc<JobDefinition>,
    /// Not stored: ends take effect without being recorded.
    pub(crate) transient: bool,
    pub(crate) tasks: Vec<Vec<LiveTask>>,
    pub(crate) received_at: Millis,
    /// True once a task has started.
    pub(crate) started: bool,
    /// A run was lost with its worker; it is not known whether it had started.
    pub(crate) has_lost_run: bool,
    /// When the last of its callers must be answered; the largest time for a stored job.
    pub(crate) deadline: Millis,
    /// Why an entry admitted it; `None` for a stored job.
    pub(crate) admitted: Option<Admitted>,
    /// Time allowed from `received_at` to the end, and the part of it that the critical path takes.
    objective: Millis,
    critical_path: Millis,
}

impl LiveJob {
    /// Creates the dispatcher's view of a job; unfinished tasks get the phase `phase`.
    pub(crate) fn new(job: &OpenJob, now: Millis, phase: TaskPhase, transient: bool) -> Self {
        let mut tasks = Vec::with_capacity(job.tasks.len());
        for step in &job.tasks {
            let live = step.iter().map(|task| LiveTask {
                phase: if task.done { TaskPhase::Done } else { phase },
                run: RunId(0),
                avoid: None,
                moves: 0,
                failures: task.failures(),
                missed_at: None,
                crash_pending: false,
                failure_pending: false,
                former: None,
            });
            tasks.push(live.collect());
        }
        let settings = &job.definition.settings;
        let critical_path = critical_path(&job.definition.steps);
        let stretched = critical_path.0 * u64::from(settings.slack) / SCALE;
        Self {
            objective: Millis(stretched) + settings.target,
            definition: Arc::clone(&job.definition),
            transient,
            tasks,
            received_at: now,
            started: job.has_begun(),
            has_lost_run: false,
            deadline: Millis(u64::MAX),
            admitted: None,
            critical_path,
        }
    }

    pub(crate) fn outlook(&self, now: Millis) -> Outlook {
        let start_by = (self.received_at + self.objective) - self.critical_path;
        let useful_by =
            (self.received_at + Millis(self.objective.0 * LATE_FACTOR)) - self.critical_path;
        if now <= start_by {
            Outlook::InTime
        } else if now <= useful_by {
            Outlook::Late
        } else {
            Outlook::Overdue
        }
    }

    /// When the outlook changes next; an overdue job's stays, and is looked at again after a while.
    pub(crate) fn outlook_until(&self, now: Millis) -> Millis {
        let factor = match self.outlook(now) {
            Outlook::InTime => 1,
            Outlook::Late => LATE_FACTOR,
            Outlook::Overdue => return now + self.objective,
        };
        (self.received_at + Millis(self.objective.0 * factor)) - self.critical_path + Millis(1)
    }

    /// True if it was admitted for the share of its queue or size: it comes first, and is not refused
    /// for what it is expected to wait.
    pub(crate) fn is_due_share(&self) -> bool {
        self.admitted == Some(Admitted::Share)
    }

    /// End of its objective.
    pub(crate) fn objective_at(&self) -> Millis {
        self.received_at + self.objective
    }

    /// Estimated time from now to its end, if each task starts as soon as those before it are done.
    pub(crate) fn critical_path(&self) -> Millis {
        self.critical_path
    }

    /// Estimated time from now to its end for what has not been started: the longest task of the
    /// steps with such tasks.
    pub(crate) fn shortest_rest(&self) -> Millis {
        let steps = self.definition.steps.iter().zip(&self.tasks);
        let waiting = steps.filter(|(_, tasks)| tasks.iter().any(|t| t.phase == TaskPhase::Ready));
        waiting
            .map(|(step, _)| step.estimate)
            .max()
            .unwrap_or_default()
    }

    /// Estimated work of all tasks, in core-milliseconds.
    pub(crate) fn total_work(&self) -> f64 {
        let steps = self.definition.steps.iter();
        steps
            .map(|step| task_work(step) * f64::from(step.count))
            .sum()
    }

    /// Estimated work of the tasks that can still be started, in core-milliseconds.
    pub(crate) fn remaining_work(&self) -> f64 {
        let mut left = 0.0;
        for (step, tasks) in self.definition.steps.iter().zip(&self.tasks) {
            let ready = tasks.iter().filter(|t| t.phase == TaskPhase::Ready);
            for _ in ready {
                left += task_work(step);
            }
        }
        left
    }

    pub(crate) fn task_mut(&mut self, task: TaskId) -> Option<&mut LiveTask> {
        let step = usize::try_from(task.step).ok()?;
        let index = usize::try_from(task.index).ok()?;
        self.tasks.get_mut(step)?.get_mut(index)
    }

    /// Returns true if all tasks of the steps that `step` depends on are done.
    pub(crate) fn is_step_ready(&self, step: usize) -> bool {
        let Some(spec) = self.definition.steps.get(step) else {
            return false;
        };
        spec.after.iter().all(|before| {
            let tasks = usize::try_from(*before)
                .ok()
                .and_then(|b| self.tasks.get(b));
            tasks.is_some_and(|tasks| tasks.iter().all(|t| t.phase == TaskPhase::Done))
        })
    }

    /// Final status of a transient job, or `None` while it has not ended.
    pub(crate) fn final_status(&self) -> Option<JobStatus> {
        let attempts = self.definition.settings.attempts;
        let mut tasks = self.tasks.iter().flatten();
        if tasks.clone().all(|t| t.phase == TaskPhase::Done) {
            return Some(JobStatus::Completed);
        }
        let failed = tasks.any(|t| t.failures >= attempts && t.phase != TaskPhase::Done);
        failed.then_some(JobStatus::Failed)
    }

    pub(crate) fn need(&self, task: TaskId) -> Resources {
        self.definition
            .step(task)
            .map_or(Resources::default(), |s| s.need)
    }

    pub(crate) fn estimate(&self, task: TaskId) -> Millis {
        self.definition.step(task).map_or(Millis(0), |s| s.estimate)
    }

    /// Returns false only if every run that was ordered is known never to have started.
    pub(crate) fn may_have_run(&self) -> bool {
        let mut tasks = self.tasks.iter().flatten();
        let ordered = tasks.any(|t| matches!(t.phase, TaskPhase::Assigned(_)));
        self.started || self.has_lost_run || ordered
    }

    pub(crate) fn has_ready(&self) -> bool {
        self.tasks.iter().flatten().any(LiveTask::is_startable)
    }
}

/// Estimated work of one task, in core-milliseconds.
pub(crate) fn task_work(step: &Step) -> f64 {
    f64::from(step.need.cpu) / CPU_UNIT * step.estimate.as_f64().max(1.0)
}

/// Sum of the estimates along the longest path through the steps, in milliseconds.
fn critical_path(steps: &[Step]) -> Millis {
    let mut ends: Vec<Millis> = Vec::with_capacity(steps.len());
    for step in steps {
        let before = step
            .after
            .iter()
            .filter_map(|b| ends.get(usize::try_from(*b).ok()?));
        let start = before.max().copied().unwrap_or_default();
        ends.push(start + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}
