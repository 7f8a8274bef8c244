//! The leader's view of a job that has not ended.

use super::book::OpenJob;
use super::spec::{Run, TaskId};
use super::worker::WorkerId;
use crate::core::clock::Millis;

/// Beyond so many times its objective a job earns nothing more.
const LATE_TIMES: u64 = 3;
/// Thousandths, as in a queue's slack.
const SCALE: u64 = 1_000;

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// A former leader may have started it where this one has not looked yet.
    Unknown,
    /// It can be started once its step is due.
    Ready,
    /// Ordered or running under the task's latest run.
    On(WorkerId),
    /// Its end is being recorded.
    Ending,
    /// Ended with success.
    Done,
}

/// A task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LiveTask {
    pub(crate) phase: Phase,
    /// The latest run that this leader knows of.
    pub(crate) run: Run,
    /// The worker to avoid: it failed there, or stood still.
    pub(crate) avoid: Option<WorkerId>,
    /// Times it was moved for being slow.
    pub(crate) moves: u32,
}

/// How urgent a job is; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// It can still meet its objective, and must start by then.
    InTime(Millis),
    /// It can still end within the time in which late jobs count.
    Late(u32, Millis),
    /// It only has to end.
    Overdue(u32, Millis),
}

/// A job that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct LiveJob {
    pub(crate) tasks: Vec<Vec<LiveTask>>,
    pub(crate) since: Millis,
    /// Some task has started.
    pub(crate) started: bool,
    /// When it should have ended, and the time allowed for that.
    objective: Millis,
    chain: Millis,
    priority: u32,
}

impl LiveJob {
    /// A job as this leader takes it up; `phase` is that of its unfinished tasks.
    pub(crate) fn new(job: &OpenJob, now: Millis, phase: Phase) -> Self {
        let mut tasks = Vec::with_capacity(job.tasks.len());
        for step in &job.tasks {
            let live = step.iter().map(|task| LiveTask {
                phase: if task.done { Phase::Done } else { phase },
                run: Run(0),
                avoid: None,
                moves: 0,
            });
            tasks.push(live.collect());
        }
        let chain = longest_chain(job);
        let stretched = chain.0 * u64::from(job.terms.slack) / SCALE;
        Self {
            tasks,
            since: now,
            started: phase == Phase::Unknown,
            objective: Millis(stretched) + job.terms.target,
            chain,
            priority: job.terms.priority,
        }
    }

    pub(crate) fn rank(&self, now: Millis) -> Rank {
        let start_by = (self.since + self.objective) - self.chain;
        let late_by = (self.since + Millis(self.objective.0 * LATE_TIMES)) - self.chain;
        if now <= start_by {
            Rank::InTime(start_by)
        } else if now <= late_by {
            Rank::Late(self.priority, start_by)
        } else {
            Rank::Overdue(self.priority, start_by)
        }
    }

    pub(crate) fn task_mut(&mut self, task: TaskId) -> Option<&mut LiveTask> {
        let step = usize::try_from(task.step).ok()?;
        let index = usize::try_from(task.index).ok()?;
        self.tasks.get_mut(step)?.get_mut(index)
    }

    pub(crate) fn has_ready(&self) -> bool {
        self.tasks.iter().flatten().any(|t| t.phase == Phase::Ready)
    }
}

/// Sum of the estimates along the longest path through the steps.
fn longest_chain(job: &OpenJob) -> Millis {
    let mut ends: Vec<Millis> = Vec::with_capacity(job.steps.len());
    for step in &job.steps {
        let before = step
            .after
            .iter()
            .filter_map(|b| ends.get(usize::try_from(*b).ok()?));
        let start = before.max().copied().unwrap_or_default();
        ends.push(start + step.estimate);
    }
    ends.into_iter().max().unwrap_or_default()
}
