//! What a dispatcher does when a backend server has crashed.

use super::dispatcher::{DispatchOutput, Dispatcher, DispatcherId};
use super::guard::JobGuard;
use super::live::TaskPhase;
use super::replicated_state::{ReplicatedState, StateCommand};
use super::run_trace::RunProof;
use super::spec::{RunId, TaskId};
use super::suspects::{CrashedRun, is_latest};
use super::worker::WorkerId;
use crate::core::clock::Millis;
use crate::events;

impl Dispatcher {
    /// Handles a crash of a worker's backend server. `runs`, of any dispatcher, have ended with it;
    /// `unanswered` may have begun there.
    pub(crate) fn on_crashed(
        &mut self,
        now: Millis,
        state: Option<&ReplicatedState>,
        id: WorkerId,
        runs: &[(TaskId, RunId)],
        unanswered: &[(TaskId, RunId)],
        out: &mut Vec<DispatchOutput>,
    ) {
        let begun = runs_to_blame(runs, unanswered);
        self.blame_cause(now, id, begun, out);
        // They may have run, though the agent will say of each that it can start no more.
        for key in unanswered {
            if self.workers[id.0].runs.get(key).is_some()
                && let Some(job) = self.jobs.get_mut(&key.0.job)
            {
                job.has_lost_run = true;
            }
        }
        let new = self.suspects.record_crash(now, begun, unanswered);
        match (self.id, state) {
            (DispatcherId::Group(_), Some(state)) if self.guards.on(JobGuard::CrashRecord) => {
                self.record_crash(now, id, state, runs, &new, out);
            }
            _ => self.count_crash(now, id, runs, &new, out),
        }
    }

    /// Handles a worker whose backend server has probably crashed: its runs are suspected, but may go
    /// on. A crash counts against a stored job's task only once it is certain, as a job that is given
    /// up has failed for good.
    pub(crate) fn on_unreachable(
        &mut self,
        now: Millis,
        id: WorkerId,
        runs: &[(TaskId, RunId)],
        unanswered: &[(TaskId, RunId)],
        out: &mut Vec<DispatchOutput>,
    ) {
        let begun = runs_to_blame(runs, unanswered);
        self.blame_cause(now, id, begun, out);
        if matches!(self.id, DispatcherId::Entry(_)) {
            let new = self.suspects.record_crash(now, begun, unanswered);
            self.count_crash(now, id, &[], &new, out);
        }
    }

    /// Looks for the job that has caused a crash, and keeps the queue isolated for which the worker is
    /// kept.
    fn blame_cause(
        &mut self,
        now: Millis,
        id: WorkerId,
        begun: &[(TaskId, RunId)],
        out: &mut Vec<DispatchOutput>,
    ) {
        let cause = self.suspects.find_cause(now, id, begun, self.latest_run());
        if let Some(cause) = cause {
            self.blame(id, cause, out);
        }
        if let Some(queue) = &self.workers[id.0].kept_for {
            self.bulkheads.keep_isolated(now, queue);
        }
    }

    /// Has the crashes of stored jobs' tasks recorded. Those that ended start again only after that.
    fn record_crash(
        &mut self,
        now: Millis,
        id: WorkerId,
        state: &ReplicatedState,
        ended: &[(TaskId, RunId)],
        new: &[CrashedRun],
        out: &mut Vec<DispatchOutput>,
    ) {
        let is_open = |task: TaskId| {
            let stored = state.open_job(task.job).and_then(|j| j.task(task));
            stored.is_some_and(|task| !task.done)
        };
        let open = new.iter().filter(|row| is_open(row.task));
        let mut record: Vec<_> = open.map(|row| judge_by_record(state, row)).collect();
        for row in &record {
            self.log_suspect(id, row);
        }
        for (task, run) in ended.iter().filter(|(task, _)| is_open(*task)) {
            // An earlier report may have had the crash recorded; each run counts once.
            if !record.iter().any(|row| row.run == *run) {
                record.push(CrashedRun {
                    task: *task,
                    run: *run,
                    alone: false,
                });
            }
            self.workers[id.0].remove_run((*task, *run));
            self.note_over(now, id, (*task, *run), RunProof::Crashed);
            self.await_record(*task, *run);
        }
        if !record.is_empty() {
            out.push(DispatchOutput::Propose(StateCommand::Crashed(record)));
        }
    }

    /// Keeps a task from being started until its crash is recorded. Where else it may run is not
    /// changed by that: a new leader may not have heard of a later run yet.
    fn await_record(&mut self, task: TaskId, run: RunId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.started = true;
        if let Some(live) = job.task_mut(task) {
            live.crash_pending = true;
            if matches!(live.phase, TaskPhase::Assigned(_)) && live.run == run {
                live.phase = TaskPhase::Ready;
            }
        }
    }

    /// Counts a crash against tasks of transient jobs, and ends the jobs of those given up.
    fn count_crash(
        &mut self,
        now: Millis,
        id: WorkerId,
        ended: &[(TaskId, RunId)],
        new: &[CrashedRun],
        out: &mut Vec<DispatchOutput>,
    ) {
        for key in ended {
            if self.workers[id.0].runs.get(key).is_some() {
                self.lose_run(now, id, *key, RunProof::Crashed);
            }
        }
        for row in new {
            if self.jobs.get(&row.task.job).is_none() {
                continue;
            }
            self.log_suspect(id, row);
            if self.suspects.is_given_up(row.task) {
                events::GIVEN_UP.log(format_args!(
                    "task={} run={} stored=false alone={}",
                    row.task, row.run.0, row.alone
                ));
                if row.alone {
                    self.fail_job(now, row.task.job, out);
                } else {
                    // A good task beside deadly ones may have been in as many crashes.
                    self.drop_job(now, row.task.job, None, out);
                    out.push(DispatchOutput::GivenUp(row.task.job));
                }
            }
        }
    }

    fn log_suspect(&self, id: WorkerId, row: &CrashedRun) {
        let worker = &self.workers[id.0];
        events::SUSPECT.log(format_args!(
            "task={} run={} agent={} life={} alone={}",
            row.task,
            row.run.0,
            worker.agent,
            worker.life(),
            row.alone
        ));
    }

    /// Handles the record of a crash: the task may start again, unless its job has ended.
    pub(crate) fn on_crash_recorded(&mut self, now: Millis, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(live) = job.task_mut(task) {
            live.crash_pending = false;
            if live.phase == TaskPhase::Ready {
                self.enqueue(now, task.job);
            }
        }
    }
}

/// The crash of a stored job's run as it is to be recorded. A new leader may learn of it after a later
/// one.
fn judge_by_record(state: &ReplicatedState, row: &CrashedRun) -> CrashedRun {
    let known = state.crashes.get(&row.task).map_or(&[][..], Vec::as_slice);
    CrashedRun {
        alone: row.alone && is_latest(known, row.run),
        ..*row
    }
}

/// The runs that may have caused a crash. One whose start was not answered may not have begun; it is
/// to blame only if nothing else was there.
fn runs_to_blame<'a>(
    runs: &'a [(TaskId, RunId)],
    unanswered: &'a [(TaskId, RunId)],
) -> &'a [(TaskId, RunId)] {
    match (runs, unanswered) {
        ([], [_]) => unanswered,
        _ => runs,
    }
}
