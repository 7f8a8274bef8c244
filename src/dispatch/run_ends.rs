//! How a dispatcher handles the ends of runs.

use super::dispatcher::{DispatchOutput, Dispatcher};
use super::guard::JobGuard;
use super::live::TaskPhase;
use super::load::pace;
use super::replicated_state::{RunEnd, StateCommand};
use super::reports::{send_recorded, server_with_life};
use super::run_trace::RunProof;
use super::spec::{RunOutcome, TaskId};
use super::worker::{PlacedRun, WorkerId};
use crate::core::clock::Millis;
use crate::events;

/// Weight of the latest run in the moving average of a queue's duration ratio.
const RATIO_WEIGHT: f64 = 0.05;
/// Bounds of a queue's duration ratio: what is beyond them is no usable estimate.
const RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);

impl Dispatcher {
    pub(crate) fn on_ends(
        &mut self,
        now: Millis,
        id: WorkerId,
        life: u64,
        ends: &[(u64, RunEnd)],
        out: &mut Vec<DispatchOutput>,
    ) {
        if self.workers[id.0].life() == 0 {
            // The inventory, which follows, describes the backend server.
            self.workers[id.0].set_server(Some(server_with_life(life)));
        }
        if life != self.workers[id.0].life() {
            return;
        }
        let mut record = Vec::new();
        for (number, end) in ends {
            if !self.workers[id.0].is_new_end(*number) {
                continue;
            }
            self.workers[id.0].note_end_number(*number);
            if self.on_end(now, id, end, out) {
                self.workers[id.0].add_unrecorded(*number, end);
                record.push(*end);
            }
        }
        if !self.guards.on(JobGuard::Record) {
            self.workers[id.0].clear_unrecorded();
        }
        if record.is_empty() || !self.guards.on(JobGuard::Record) {
            send_recorded(&self.workers[id.0], out);
        }
        if !record.is_empty() {
            out.push(DispatchOutput::Propose(StateCommand::Ends(record)));
        }
    }

    /// Handles the end of a run. Returns true if the end must be recorded before the backend server
    /// may forget it.
    pub(crate) fn on_end(
        &mut self,
        now: Millis,
        id: WorkerId,
        end: &RunEnd,
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        let key = (end.task, end.run);
        let placed = self.workers[id.0].remove_run(key);
        self.note_over(now, id, key, RunProof::Ended(end.outcome));
        self.may_place = true;
        if let Some(placed) = &placed {
            match end.outcome {
                RunOutcome::Done => {
                    self.suspects.clear(end.task);
                    self.learn_duration(now, id, end.task, placed);
                }
                RunOutcome::Failed => self.workers[id.0].record_failure(now),
                RunOutcome::Lost => {}
            }
        }
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return false;
        };
        let transient = job.transient;
        let Some(live) = job.task_mut(end.task) else {
            return false;
        };
        let current = live.phase == TaskPhase::Assigned(id) && live.run == end.run;
        let ended = matches!(live.phase, TaskPhase::Recording | TaskPhase::Done);
        // The end of a stored job's run counts even if its worker was given up in the meantime.
        let must_be_recorded = !transient && end.outcome != RunOutcome::Lost;
        if !current && live.phase != TaskPhase::Unknown && !must_be_recorded {
            return false;
        }
        if end.outcome != RunOutcome::Done {
            events::RUN_ENDED.log(format_args!(
                "task={} run={} agent={} how={:?}",
                end.task, end.run.0, self.workers[id.0].agent, end.outcome
            ));
            live.avoid = Some(id);
        }
        match end.outcome {
            RunOutcome::Done if transient => live.phase = TaskPhase::Done,
            RunOutcome::Failed if transient => {
                live.failures += 1;
                live.phase = TaskPhase::Ready;
            }
            // Another run of the task has already ended, or is still in progress.
            RunOutcome::Done | RunOutcome::Failed if ended => {}
            RunOutcome::Failed if !current && matches!(live.phase, TaskPhase::Assigned(_)) => {}
            RunOutcome::Failed if live.phase == TaskPhase::Unknown => live.failure_pending = true,
            RunOutcome::Done | RunOutcome::Failed => live.phase = TaskPhase::Recording,
            RunOutcome::Lost if current => live.phase = TaskPhase::Ready,
            RunOutcome::Lost => {}
        }
        job.started = true;
        let recorded = !transient && end.outcome != RunOutcome::Lost;
        if transient && let Some(status) = job.final_status() {
            self.drop_job(now, end.task.job, Some(status), out);
            out.push(DispatchOutput::Ended(end.task.job, status));
        } else if !recorded {
            self.enqueue(now, end.task.job);
        }
        recorded
    }

    pub(crate) fn learn_duration(
        &mut self,
        now: Millis,
        id: WorkerId,
        task: TaskId,
        placed: &PlacedRun,
    ) {
        let worker = &mut self.workers[id.0];
        worker.record_success();
        let Some(started) = placed.started_at.filter(|_| placed.nominal > Millis(0)) else {
            return;
        };
        let deviation = pace::deviation(now.since(started), placed.nominal.as_f64() * worker.pace);
        worker.record_deviation(now, deviation);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let key = job.definition.settings.key();
        let ratio = self.duration_ratios.or_insert_with(key, || 1.0);
        *ratio = (*ratio * (1.0 + RATIO_WEIGHT * deviation)).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
    }
}
