//! The leader's view of a job that has not ended.

use std::sync::Arc;

use super::replicated_state::OpenJob;
use super::spec::{JobDefinition, JobStatus, Resources, RunId, Step, TaskId};
use super::worker::WorkerId;
use crate::core::clock::Millis;

/// Beyond so many times its objective a job earns nothing more.
const LATE_TIMES: u64 = 3;
/// Thousandths, as in a queue's slack.
const SCALE: u64 = 1_000;
/// Thousandths of a core, as tasks ask for them.
const CPU_UNIT: f64 = 1_000.0;

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// A former leader may have started it where this one has not looked yet.
    Unknown,
    /// It can be started once its step is due.
    Ready,
    /// Ordered or running under the task's latest run.
    On(WorkerId),
    /// Its end is being recorded.
    Recording,
    /// Ended with success.
    Done,
}

/// A task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LiveTask {
    pub(crate) phase: TaskPhase,
    /// The latest run that this leader knows of.
    pub(crate) run: RunId,
    /// The worker to avoid: it failed there, or stood still.
    pub(crate) avoid: Option<WorkerId>,
    /// Times it was moved for being slow.
    pub(crate) moves: u32,
    /// Runs that failed.
    pub(crate) fails: u32,
}

/// What a job that starts now can still reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outlook {
    /// Its objective.
    InTime,
    /// The time in which late jobs count.
    Late,
    /// Only its end.
    Overdue,
}

/// A job that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct LiveJob {
    pub(crate) definition: Arc<JobDefinition>,
    /// Not stored: its ends count as soon as they are known.
    pub(crate) transient: bool,
    pub(crate) tasks: Vec<Vec<LiveTask>>,
    pub(crate) since: Millis,
    /// Some task has started.
    pub(crate) started: bool,
    /// A run was lost with its worker: whether it had started is not known.
    pub(crate) has_lost_run: bool,
    /// When it should have ended, and the time allowed for that.
    objective: Millis,
    chain: Millis,
}

impl LiveJob {
    /// A job as this leader takes it up; `phase` is that of its unfinished tasks.
    pub(crate) fn new(job: &OpenJob, now: Millis, phase: TaskPhase, transient: bool) -> Self {
        let mut tasks = Vec::with_capacity(job.tasks.len());
        for step in &job.tasks {
            let live = step.iter().map(|task| LiveTask {
                phase: if task.done { TaskPhase::Done } else { phase },
                run: RunId(0),
                avoid: None,
                moves: 0,
                fails: task.fails(),
            });
            tasks.push(live.collect());
        }
        let settings = &job.definition.settings;
        let chain = longest_chain(&job.definition.steps);
        let stretched = chain.0 * u64::from(settings.slack) / SCALE;
        Self {
            objective: Millis(stretched) + settings.target,
            definition: Arc::clone(&job.definition),
            transient,
            tasks,
            since: now,
            started: job.has_begun(),
            has_lost_run: false,
            chain,
        }
    }

    pub(crate) fn outlook(&self, now: Millis) -> Outlook {
        let start_by = (self.since + self.objective) - self.chain;
        let late_by = (self.since + Millis(self.objective.0 * LATE_TIMES)) - self.chain;
        if now <= start_by {
            Outlook::InTime
        } else if now <= late_by {
            Outlook::Late
        } else {
            Outlook::Overdue
        }
    }

    /// Core-milliseconds of all tasks, by their estimates.
    pub(crate) fn work(&self) -> f64 {
        let steps = self.definition.steps.iter();
        steps
            .map(|step| task_work(step) * f64::from(step.count))
            .sum()
    }

    /// Core-milliseconds of the tasks that still have to be started.
    pub(crate) fn left(&self) -> f64 {
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

    /// True when all tasks of the steps that `step` waits for have ended.
    pub(crate) fn is_due(&self, step: usize) -> bool {
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

    /// How a job that is not stored has ended, if it has.
    pub(crate) fn outcome(&self) -> Option<JobStatus> {
        let attempts = self.definition.settings.attempts;
        let mut tasks = self.tasks.iter().flatten();
        if tasks.clone().all(|t| t.phase == TaskPhase::Done) {
            return Some(JobStatus::Completed);
        }
        let failed = tasks.any(|t| t.fails >= attempts && t.phase != TaskPhase::Done);
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

    /// False only when every run that was ordered is known never to have started.
    pub(crate) fn may_have_run(&self) -> bool {
        let mut tasks = self.tasks.iter().flatten();
        let ordered = tasks.any(|t| matches!(t.phase, TaskPhase::On(_)));
        self.started || self.has_lost_run || ordered
    }

    pub(crate) fn has_ready(&self) -> bool {
        self.tasks
            .iter()
            .flatten()
            .any(|t| t.phase == TaskPhase::Ready)
    }
}

/// Core-milliseconds of one task, by its estimate.
fn task_work(step: &Step) -> f64 {
    f64::from(step.need.cpu) / CPU_UNIT * step.estimate.as_f64().max(1.0)
}

/// Sum of the estimates along the longest path through the steps.
fn longest_chain(steps: &[Step]) -> Millis {
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
