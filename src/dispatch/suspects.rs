//! Tasks that ran on backend servers when these crashed, and which of them are given up.
//!
//! Every run that had begun on a backend server that crashed is suspected. A suspect under which
//! another one crashes while no other job runs there is the cause. Agents tell all dispatchers of
//! each crash, so a job that is submitted again at another entry finds its count there.

use serde::{Deserialize, Serialize};

use super::spec::{JobId, RunId, TaskId};
use super::worker::WorkerId;
use crate::core::clock::Millis;
use crate::core::table::Table;

/// A task is given up after this many crashes, whatever else ran there.
pub(crate) const MAX_CRASHES: usize = 3;
/// Crashes after which a task is given up if only its job ran there at the last of them.
pub(crate) const MAX_CRASHES_ALONE: usize = 2;
/// A task that has not been in a crash for this long is no longer suspected. Callers that lost an
/// answer have submitted their jobs again by then.
const FORGET_AFTER: Millis = Millis(60_000);
/// A job that has not been in a crash for this long counts as one that never was, when the cause of
/// the next crash is looked for.
const FORGET_JOB_AFTER: Millis = Millis(10_000);
/// How long a suspect waits for a worker without another one. After that it may run anywhere: more
/// suspects than workers must not keep each other waiting while there is room.
const APART_FOR: Millis = Millis(1_000);
/// Largest number of suspects; the oldest are forgotten first. Crashes of a thousand busy backend
/// servers within a minute fit in.
const MAX_SUSPECTS: usize = 16_384;

/// A run that had begun on a backend server that crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashedRun {
    pub(crate) task: TaskId,
    pub(crate) run: RunId,
    /// No other job ran there.
    pub(crate) alone: bool,
}

#[derive(Debug, Clone)]
struct Suspect {
    runs: Vec<RunId>,
    last_at: Millis,
}

/// The crashes of which a job was a part. Those that come before any of its tasks has started again
/// count as one: they may have a common cause, such as a rack without power.
#[derive(Debug, Default)]
struct JobCrashes {
    crashes: u32,
    last_at: Millis,
    /// The latest run of the dispatcher when the last of them was counted.
    last_run: RunId,
    /// The workers of those that it is likely to have caused; their agents keep the evidence.
    blamed_on: Vec<WorkerId>,
}

/// A task that is given up.
#[derive(Debug, Clone, Copy)]
struct GivenUp {
    at: Millis,
    /// No other job ran there at its last crash.
    is_cause: bool,
}

/// The suspects that a dispatcher knows.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    tasks: Table<TaskId, Suspect>,
    jobs: Table<JobId, JobCrashes>,
    given_up: Table<TaskId, GivenUp>,
}

impl Suspects {
    /// Records the runs that had begun on a backend server when it crashed; `unanswered` may have
    /// begun there. Returns those that were not known before, as a crash may be reported again over
    /// another session.
    pub(crate) fn record_crash(
        &mut self,
        now: Millis,
        begun: &[(TaskId, RunId)],
        unanswered: &[(TaskId, RunId)],
    ) -> Vec<CrashedRun> {
        self.forget_old(now);
        let mut jobs = begun.iter().chain(unanswered).map(|(task, _)| task.job);
        let first = jobs.next();
        // A start without an answer may not have begun.
        let alone = begun != unanswered && jobs.all(|job| Some(job) == first);
        let mut crashed = Vec::with_capacity(begun.len());
        for (task, run) in begun {
            let known = self.tasks.get(task).map_or(&[][..], |s| &s.runs);
            if !known.contains(run) && !self.is_given_up(*task) {
                crashed.push(CrashedRun {
                    task: *task,
                    run: *run,
                    alone: alone && is_latest(known, *run),
                });
            }
        }
        for row in &crashed {
            self.add(now, row);
        }
        crashed
    }

    /// Counts a crash on `worker` for each job that was a part of it, and returns the job that is
    /// likely to be its cause, with the number of crashes of which it was a part before: the one with
    /// the most, if no other job has as many. `last_run` is the latest run of the dispatcher.
    pub(crate) fn find_cause(
        &mut self,
        now: Millis,
        worker: WorkerId,
        begun: &[(TaskId, RunId)],
        last_run: RunId,
    ) -> Option<(JobId, u32)> {
        let mut worst = None;
        let mut most = 0;
        for job in self.jobs_started_since(begun) {
            let known = self.jobs.or_insert_with(job, JobCrashes::default);
            if known.crashes > most {
                most = known.crashes;
                worst = Some(job);
            } else if known.crashes == most {
                worst = None;
            }
            known.crashes += 1;
            known.last_at = now;
            known.last_run = last_run;
        }
        let job = worst?;
        if let Some(known) = self.jobs.get_mut(&job) {
            known.blamed_on.push(worker);
        }
        Some((job, most))
    }

    /// The job has completed. Returns the workers whose crashes it was likely to have caused.
    pub(crate) fn acquit(&mut self, job: JobId) -> Vec<WorkerId> {
        let known = self.jobs.remove(&job);
        known.map_or_else(Vec::new, |known| known.blamed_on)
    }

    /// The jobs of those runs that were ordered after the last crash of which their job was a part,
    /// each once.
    fn jobs_started_since(&self, begun: &[(TaskId, RunId)]) -> Vec<JobId> {
        let is_new = |job: &JobId, run: &RunId| {
            let known = self.jobs.get(job);
            known.is_none_or(|known| *run > known.last_run)
        };
        let new = begun.iter().filter(|(task, run)| is_new(&task.job, run));
        let mut jobs: Vec<JobId> = new.map(|(task, _)| task.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    fn add(&mut self, now: Millis, crashed: &CrashedRun) {
        let suspect = self.tasks.or_insert_with(crashed.task, || Suspect {
            runs: Vec::new(),
            last_at: now,
        });
        suspect.runs.push(crashed.run);
        suspect.last_at = now;
        if is_given_up(suspect.runs.len(), crashed.alone) {
            self.tasks.remove(&crashed.task);
            let given_up = GivenUp {
                at: now,
                is_cause: crashed.alone,
            };
            self.given_up.insert(crashed.task, given_up);
        }
    }

    fn forget_old(&mut self, now: Millis) {
        self.given_up
            .retain(|_, given_up| now.since(given_up.at) < FORGET_AFTER);
        self.jobs
            .retain(|_, job| now.since(job.last_at) < FORGET_JOB_AFTER);
        self.tasks
            .retain(|_, suspect| now.since(suspect.last_at) < FORGET_AFTER);
        if self.tasks.len() <= MAX_SUSPECTS {
            return;
        }
        let mut times: Vec<Millis> = self.tasks.iter().map(|(_, s)| s.last_at).collect();
        times.sort_unstable();
        let oldest_kept = times[times.len() - MAX_SUSPECTS];
        self.tasks
            .retain(|_, suspect| suspect.last_at >= oldest_kept);
    }

    /// True when no task is suspected.
    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// True when the task ran in a crash so lately that it should run apart from other suspects.
    pub(crate) fn runs_apart(&self, now: Millis, task: TaskId) -> bool {
        let suspect = self.tasks.get(&task);
        suspect.is_some_and(|s| now.since(s.last_at) < APART_FOR)
    }

    /// True when a task of the job is suspected.
    pub(crate) fn has_suspect(&self, job: JobId) -> bool {
        self.tasks.iter().any(|(task, _)| task.job == job)
    }

    /// True when the task must not be started again.
    pub(crate) fn is_given_up(&self, task: TaskId) -> bool {
        self.given_up.get(&task).is_some()
    }

    /// Whether a task of the job must not be started again, and if so, whether one is the cause of its
    /// crashes.
    pub(crate) fn given_up_as_cause(&self, job: JobId) -> Option<bool> {
        let tasks = self.given_up.iter().filter(|(task, _)| task.job == job);
        tasks.map(|(_, given_up)| given_up.is_cause).max()
    }

    /// The task has ended without a crash.
    pub(crate) fn clear(&mut self, task: TaskId) {
        self.tasks.remove(&task);
    }
}

/// True when `run` was ordered after the other runs of its task. Agents may report the crashes under them
/// in any order; only the last one shows a suspect without others.
pub(crate) fn is_latest(others: &[RunId], run: RunId) -> bool {
    others.iter().all(|other| *other <= run)
}

/// True when a task is given up after this many crashes; `alone` says that no other job ran on the
/// last backend server.
pub(crate) fn is_given_up(crashes: usize, alone: bool) -> bool {
    crashes >= MAX_CRASHES || (alone && crashes >= MAX_CRASHES_ALONE)
}
