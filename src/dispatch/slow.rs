//! Runs that stand still or crawl.

use super::dispatcher::{DispatchOutput, Dispatcher};
use super::spec::JobId;
use super::wire::{AcceptorMessage, AgentOrder};
use super::worker::{PlacedRun, WorkerId};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// A run is not judged slow before this age: progress is rough at first.
const SLOW_AGE: Millis = Millis(200);
/// Milliseconds that a restart takes at least, with its hops.
const SLOW_LEAST: f64 = 50.0;
/// A run is slow when it is likely to last so many times what a restart takes.
const SLOW_TIMES: f64 = 2.0;
/// A task is moved for slowness at most so often.
const MOVES: u32 = 2;

impl Dispatcher {
    /// The least projected duration among each job's runs, in milliseconds.
    fn best_of_each_job(&self) -> Table<JobId, f64> {
        let mut best: Table<JobId, f64> = Table::default();
        for worker in &self.workers {
            for ((task, _), placed) in worker.runs.iter() {
                if let Some(whole) = projected(placed) {
                    let known = best.or_insert_with(task.job, || whole);
                    *known = known.min(whole);
                }
            }
        }
        best
    }

    /// Stops runs that stand still or crawl, so that they start elsewhere.
    pub(crate) fn move_slow(&mut self, now: Millis, out: &mut Vec<DispatchOutput>) {
        let best = self.best_of_each_job();
        let mut slow = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            for (key, placed) in worker.runs.iter() {
                let sibling = best.get(&key.0.job).copied().unwrap_or_default();
                if !placed.stopping && is_slow(placed, sibling) {
                    slow.push((WorkerId(at), *key));
                }
            }
        }
        for (id, (task, run)) in slow {
            let Some(live) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) else {
                continue;
            };
            if live.moves >= MOVES {
                continue;
            }
            live.moves += 1;
            live.avoid = Some(id);
            let worker = &mut self.workers[id.0];
            worker.failed(now);
            let Some(session) = worker.session else {
                continue;
            };
            if let Some(placed) = worker.runs.get_mut(&(task, run)) {
                placed.stopping = true;
                events::RUN_SLOW.log(format_args!(
                    "task={task} run={} agent={} progress={:?} expected_ms={} age_ms={}",
                    run.0,
                    worker.agent,
                    placed.progress,
                    placed.expected.0,
                    now.since(placed.ordered).0
                ));
            }
            out.push(DispatchOutput::Message(
                session,
                AcceptorMessage::Order(AgentOrder::Stop { task, run }),
            ));
        }
    }
}

/// True when a run is likely to last much longer than a new start elsewhere.
///
/// `sibling` is the duration of the job's fastest run: estimates may be far off,
/// but not the same one for two tasks of a kind.
fn is_slow(placed: &PlacedRun, sibling: f64) -> bool {
    let (Some(started), Some((percent, at))) = (placed.started, placed.progress) else {
        return false;
    };
    let age = at.since(started);
    let usual = placed.expected.as_f64().max(SLOW_LEAST).max(sibling);
    if age < SLOW_AGE || age.as_f64() < usual {
        return false;
    }
    let done = f64::from(percent.max(1)) / 100.0;
    let left = age.as_f64() * (1.0 - done) / done;
    left > usual * SLOW_TIMES
}

/// How long a run takes in all, in milliseconds, if it goes on as so far.
fn projected(placed: &PlacedRun) -> Option<f64> {
    let (percent, at) = placed.progress?;
    let age = at.since(placed.started?).as_f64();
    (percent > 0).then(|| age * 100.0 / f64::from(percent))
}
