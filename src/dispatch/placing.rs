//! Which task starts where.

use super::dispatcher::{DispatchOutput, Dispatcher, DispatcherId, RUNS_PER_MS};
use super::live::{LiveJob, TaskPhase};
use super::spec::{JobDefinition, JobId, RunId, TaskId};
use super::wire::{AcceptorMessage, AgentOrder};
use super::worker::{PlacedRun, Worker, WorkerId};
use crate::core::clock::Millis;
use crate::events;

/// Bits of a stored job's run below the term.
const TERM_BITS: u32 = 32;
/// Jobs that find no room in a row before the rest is left for later.
const MISSES: usize = 12;
/// Data elsewhere makes a task so much slower, for placement.
const OTHER_RACK: f64 = 1.5;

impl Dispatcher {
    /// Starts what can be started.
    pub(crate) fn place(
        &mut self,
        now: Millis,
        wall: Millis,
        evacuated: &[String],
        out: &mut Vec<DispatchOutput>,
    ) {
        if self.waiting.is_empty() {
            return;
        }
        if let DispatcherId::Entry(_) = self.id {
            self.last_run = self.last_run.max(wall.0 * RUNS_PER_MS);
        }
        let mut misses = 0;
        let mut left = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting).into_iter();
        for (rank, id) in waiting.by_ref() {
            let before = out.len();
            if self.place_job(now, evacuated, id, out) {
                continue;
            }
            left.push((rank, id));
            if out.len() == before {
                misses += 1;
            }
            if misses >= MISSES {
                break;
            }
        }
        left.extend(waiting);
        self.waiting = left;
    }

    /// Starts the tasks of a job for which there is room; true when none is left
    /// that could be started now.
    pub(crate) fn place_job(
        &mut self,
        now: Millis,
        evacuated: &[String],
        id: JobId,
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        let Some(mut live) = self.jobs.remove(&id) else {
            return true;
        };
        let mut whole = true;
        for step in 0..live.tasks.len() {
            let any = live.tasks[step].iter().any(|t| t.phase == TaskPhase::Ready);
            if !any || !live.is_due(step) {
                continue;
            }
            for index in 0..live.tasks[step].len() {
                if live.tasks[step][index].phase != TaskPhase::Ready {
                    continue;
                }
                let key = TaskId {
                    job: id,
                    step: u32::try_from(step).unwrap_or(u32::MAX),
                    index: u32::try_from(index).unwrap_or(u32::MAX),
                };
                if !self.place_task(now, evacuated, &mut live, key, out) {
                    whole = false;
                    break;
                }
            }
        }
        self.jobs.insert(id, live);
        whole
    }

    pub(crate) fn place_task(
        &mut self,
        now: Millis,
        evacuated: &[String],
        job: &mut LiveJob,
        key: TaskId,
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        let avoid = job.task_mut(key).and_then(|t| t.avoid);
        let Some(id) = self.choose(now, evacuated, &job.definition, key, avoid) else {
            return false;
        };
        self.last_run += 1;
        let run = match self.id {
            DispatcherId::Group(term) => RunId((term.0 << TERM_BITS) + self.last_run),
            DispatcherId::Entry(_) => RunId(self.last_run),
        };
        if let Some(task) = job.task_mut(key) {
            task.phase = TaskPhase::On(id);
            task.run = run;
        }
        let nominal = Millis(scale(job.estimate(key), self.duration_ratio(job)));
        let worker = &mut self.workers[id.0];
        let placed = PlacedRun {
            need: job.need(key),
            ordered: now,
            started: None,
            expected: Millis(scale(nominal, worker.pace)),
            nominal,
            progress: None,
            stopping: false,
        };
        worker.put((key, run), placed);
        let life = worker.life();
        if let Some(session) = worker.session {
            events::ORDERED.log(format_args!(
                "task={key} run={} agent={} pace={:.2} used_cpu={} others_cpu={} expected_ms={}",
                run.0,
                worker.agent,
                worker.pace,
                worker.used.cpu,
                worker.others.cpu,
                placed.expected.0
            ));
            let order = AgentOrder::Start {
                life,
                task: key,
                run,
                need: job.need(key),
                payload: job.definition.payload.clone(),
            };
            out.push(DispatchOutput::Message(
                session,
                AcceptorMessage::Order(order),
            ));
        }
        true
    }

    /// True while some worker can be given work, with or without room at the moment.
    pub(crate) fn has_open_worker(&self, now: Millis, evacuated: &[String]) -> bool {
        let usable = |worker: &Worker| {
            let server = worker.server.as_ref().filter(|s| !s.leaving);
            let open = server.is_some_and(|s| evacuated.binary_search(&s.data_centre).is_err());
            open && worker.is_heard(now)
        };
        self.workers.iter().any(usable)
    }

    /// The worker on which the task is likely to end first.
    pub(crate) fn choose(
        &self,
        now: Millis,
        evacuated: &[String],
        definition: &JobDefinition,
        key: TaskId,
        avoid: Option<WorkerId>,
    ) -> Option<WorkerId> {
        let step = definition.step(key)?;
        let mut best: Option<(f64, WorkerId)> = None;
        for (at, worker) in self.workers.iter().enumerate() {
            let Some(server) = worker.open(now) else {
                continue;
            };
            let mut used = worker.used;
            used.add(worker.others);
            let fits = server.capacity.fits(used, step.need);
            let is_evacuated = evacuated.binary_search(&server.data_centre).is_ok();
            let labelled = step
                .label
                .as_ref()
                .is_none_or(|l| server.labels.contains(l));
            if !fits || is_evacuated || !labelled || server.service != definition.settings.service {
                continue;
            }
            if step.max_per_worker > 0 && worker.of_step(key) >= step.max_per_worker as usize {
                continue;
            }
            let mut cost = worker.pace;
            if step
                .rack
                .as_ref()
                .is_some_and(|r| !server.labels.contains(r))
            {
                cost *= OTHER_RACK;
            }
            if avoid == Some(WorkerId(at)) {
                cost *= 4.0;
            }
            // Among equals the one with the most room.
            let full = f64::from(used.cpu) / f64::from(server.capacity.cpu.max(1));
            cost += full * 0.05;
            if best.is_none_or(|(known, _)| cost < known) {
                best = Some((cost, WorkerId(at)));
            }
        }
        best.map(|(_, id)| id)
    }
}

/// A time multiplied; durations stay far below 2^53 ms.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scale(time: Millis, by: f64) -> u64 {
    (time.as_f64() * by.max(0.0)) as u64
}
