//! Detection of runs that make too little progress.

use super::dispatcher::{DispatchOutput, Dispatcher};
use super::spec::{JobId, RunId, TaskId};
use super::wire::{AcceptorMessage, AgentOrder};
use super::worker::{PlacedRun, Worker, WorkerId};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// A run is not considered slow before this age, in milliseconds: its progress is inaccurate at
/// first.
const MIN_AGE: Millis = Millis(200);
/// Least duration of a restarted run, network hops included, in milliseconds.
const MIN_RESTART_MS: f64 = 50.0;
/// A run is slow if its remaining time exceeds this multiple of what a restart takes.
const SLOW_FACTOR: f64 = 2.0;
/// Largest number of times that a task is moved for being slow, and for standing still: nothing is
/// lost by moving such a run, but some tasks stand still everywhere.
const MAX_MOVES: u32 = 2;
const MAX_STALLED_MOVES: u32 = 5;
/// A run stands still if it makes no progress for this long, in milliseconds, and for one in this
/// many parts of its expected duration.
const MIN_STALL: Millis = Millis(100);
const STALLED_PART: u64 = 3;

impl Dispatcher {
    /// Shortest projected duration among the runs of each job, in milliseconds.
    fn fastest_runs(&self) -> Table<JobId, f64> {
        let mut fastest: Table<JobId, f64> = Table::default();
        for worker in &self.workers {
            for ((task, _), placed) in worker.runs.iter() {
                if let Some(duration) = projected_duration(placed) {
                    let known = fastest.or_insert_with(task.job, || duration);
                    *known = known.min(duration);
                }
            }
        }
        fastest
    }

    /// Stops slow runs, so that their tasks start on other workers.
    pub(crate) fn move_slow(&mut self, now: Millis, out: &mut Vec<DispatchOutput>) {
        let fastest = self.fastest_runs();
        let mut slow = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            for (key, placed) in worker.runs.iter() {
                let sibling = fastest.get(&key.0.job).copied().unwrap_or_default();
                let is_slow = !placed.stopping && is_slow(placed, sibling);
                if is_slow && !is_merely_long(now, worker, placed) {
                    slow.push((WorkerId(at), *key));
                }
            }
        }
        for (id, key) in slow {
            if self.count_move(id, key.0, MAX_MOVES) {
                self.move_run(now, id, key, Slowness::Slow, out);
            }
        }
    }

    /// Stops the runs on a worker that make no progress at all.
    pub(crate) fn move_stalled(
        &mut self,
        now: Millis,
        id: WorkerId,
        out: &mut Vec<DispatchOutput>,
    ) {
        let runs = self.workers[id.0].runs.iter();
        let stalled: Vec<_> = runs
            .filter(|(_, placed)| !placed.stopping && is_stalled(now, placed))
            .map(|(key, _)| *key)
            .collect();
        for key in stalled {
            if self.count_move(id, key.0, MAX_STALLED_MOVES) {
                self.move_run(now, id, key, Slowness::Stalled, out);
            }
        }
    }

    /// Counts a move of a task away from a worker, unless it was moved `limit` times already or its
    /// job has ended. Returns true if it may be moved.
    fn count_move(&mut self, id: WorkerId, task: TaskId, limit: u32) -> bool {
        let Some(live) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) else {
            return false;
        };
        if live.moves >= limit {
            return false;
        }
        live.moves += 1;
        live.avoid = Some(id);
        true
    }

    /// Stops a run so that its task starts elsewhere.
    fn move_run(
        &mut self,
        now: Millis,
        id: WorkerId,
        (task, run): (TaskId, RunId),
        slowness: Slowness,
        out: &mut Vec<DispatchOutput>,
    ) {
        let worker = &mut self.workers[id.0];
        worker.record_failure(now);
        let Some(session) = worker.session else {
            return;
        };
        if let Some(placed) = worker.runs.get_mut(&(task, run)) {
            placed.stopping = true;
            events::RUN_SLOW.log(format_args!(
                "task={task} run={} agent={} how={slowness:?} progress={:?} expected_ms={} \
                 age_ms={}",
                run.0,
                worker.agent,
                placed.progress,
                placed.expected.0,
                now.since(placed.ordered_at).0
            ));
        }
        let order = match slowness {
            Slowness::Slow => AgentOrder::Stop { task, run },
            Slowness::Stalled => AgentOrder::StopStalled { task, run },
        };
        out.push(DispatchOutput::Message(
            session,
            AcceptorMessage::Order(order),
        ));
    }
}

/// Why a run is moved.
#[derive(Debug, Clone, Copy)]
enum Slowness {
    /// It is likely to take much longer than a restart.
    Slow,
    /// It makes no progress.
    Stalled,
}

/// Returns true if a run has made no progress for a time in which it should have made much. Progress
/// so far does not excuse it: a worker can stop working in the middle of a run.
fn is_stalled(now: Millis, placed: &PlacedRun) -> bool {
    let (Some(started), Some((percent, _))) = (placed.started_at, placed.progress) else {
        return false;
    };
    let standing = now.since(placed.advanced_at.unwrap_or(started));
    let allowed = Millis(placed.expected.0 / STALLED_PART).max(MIN_STALL);
    percent < 100 && standing >= allowed
}

/// Returns true if a run is likely to take much longer than a restart on another worker.
///
/// `sibling` is the shortest projected duration of the job's runs, in milliseconds. It is needed
/// because estimates may be far off, although by the same factor for tasks of the same kind.
fn is_slow(placed: &PlacedRun, sibling: f64) -> bool {
    let (Some(started), Some((percent, at))) = (placed.started_at, placed.progress) else {
        return false;
    };
    let age = at.since(started);
    let usual = placed.expected.as_f64().max(MIN_RESTART_MS).max(sibling);
    if age < MIN_AGE || age.as_f64() < usual {
        return false;
    }
    let done = f64::from(percent.max(1)) / 100.0;
    let left = age.as_f64() * (1.0 - done) / done;
    left > usual * SLOW_FACTOR
}

/// Returns true if other runs on the worker have ended on time lately: the run itself is longer than
/// estimated, and would take as long elsewhere.
fn is_merely_long(now: Millis, worker: &Worker, placed: &PlacedRun) -> bool {
    worker.was_on_time_within(now, placed.expected.max(MIN_AGE))
}

/// Total duration of a run in milliseconds, projected from its progress so far.
fn projected_duration(placed: &PlacedRun) -> Option<f64> {
    let (percent, at) = placed.progress?;
    let age = at.since(placed.started_at?).as_f64();
    (percent > 0).then(|| age * 100.0 / f64::from(percent))
}
