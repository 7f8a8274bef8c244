//! Placement: chooses the worker on which each task starts.

use std::sync::Arc;

use super::bulkhead::{Compartment, used_by_others};
use super::dispatcher::{DispatchOutput, Dispatcher, DispatcherId, RUNS_PER_MS};
use super::live::{LiveJob, LiveTask, TaskPhase};
use super::load::want::Urgency;
use super::spec::{JobDefinition, JobId, QueueKey, Resources, RunId, Step, TaskId};
use super::wire::{AcceptorMessage, AgentOrder, Server};
use super::worker::{PlacedRun, SessionId, Worker, WorkerId};
use crate::core::clock::Millis;
use crate::events;

/// Number of low bits in a stored job's run id that count runs; the leader's term is above them.
const RUN_COUNTER_BITS: u32 = 32;
/// A part of a pass ends after this many searches for a worker that found none.
const MAX_MISSES: usize = 12;
/// A part of a pass ends after this many jobs, as some take no search.
const MAX_JOBS: usize = 256;
/// Factor by which placement assumes a task to be slower when its data is on another rack.
const OTHER_RACK_FACTOR: f64 = 1.5;
/// At most one in this many workers is passed over because runs stand still there.
const MAX_EJECTED_PART: usize = 3;

/// A task that finds no worker for this long takes a doubtful one, in milliseconds: well within the 3 s
/// for which a stored job may have nothing running while there is room.
const PATIENCE: Millis = Millis(1_500);
/// The same while at least half of the service is in use, in milliseconds. There, a task waits mostly
/// for room, and a worker that fails all that it starts would draw many tasks.
const BUSY_PATIENCE: Millis = Millis(10_000);

/// Added to a worker's cost when all of its CPU is used.
const FULL_COST: f64 = 0.05;
/// Added to a worker's cost for a task that has failed before, if the last run there failed; more
/// than the difference between a fast and a slow one.
const FAILING_COST: f64 = 10.0;
/// Added to a worker's cost for sharing it with a suspect; more than the difference between a fast
/// and a slow one.
const SUSPECT_COST: f64 = 10.0;

/// A task that found no worker in the present pass. Within a pass free resources only shrink, so one
/// that needs no less of the same workers finds none either.
#[derive(Debug)]
pub(crate) struct MissedTask {
    definition: Arc<JobDefinition>,
    key: TaskId,
    /// It found none for a reason that need not hold for other tasks.
    is_special: bool,
}

/// Why a task is not started now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoWorker {
    /// No worker that may run it has room.
    Full,
    /// Only doubtful ones have.
    Doubtful,
}

impl MissedTask {
    fn new(job: &LiveJob, key: TaskId, is_special: bool) -> Self {
        let definition = Arc::clone(&job.definition);
        let is_spread = definition
            .step(key)
            .is_none_or(|step| step.max_per_worker > 0);
        Self {
            definition,
            key,
            is_special: is_special || is_spread,
        }
    }

    pub(crate) fn covers(&self, job: &LiveJob, key: TaskId) -> bool {
        let steps = (self.definition.step(self.key), job.definition.step(key));
        let (Some(missed), Some(step)) = steps else {
            return false;
        };
        let (queue, other) = (&self.definition.settings, &job.definition.settings);
        let same_workers = queue.service == other.service
            && queue.priority == other.priority
            && (missed.label.is_none() || missed.label == step.label);
        !self.is_special && same_workers && !missed.need.exceeds(step.need)
    }
}

impl Dispatcher {
    /// Starts as many tasks of waiting jobs as there are resources for, most urgent jobs first.
    pub(crate) fn place_jobs(
        &mut self,
        now: Millis,
        wall_clock: Millis,
        evacuated: &[String],
        out: &mut Vec<DispatchOutput>,
    ) {
        self.update_bulkheads(now, evacuated);
        if self.waiting.is_empty() || !self.may_find_worker(now) {
            self.ask_for_capacity(now, evacuated, out);
            return;
        }
        if let DispatcherId::Entry(_) = self.id {
            self.last_run = self.last_run.max(wall_clock.0 * RUNS_PER_MS);
        }
        let mut left = Vec::with_capacity(self.waiting.len());
        let mut waiting = std::mem::take(&mut self.waiting).into_iter();
        self.place_some(now, evacuated, &mut waiting, &mut left, out);
        // Jobs that fit nowhere may fill the front for good, so the rest of the pass goes on where
        // the last one ended.
        let mut skipped: Vec<_> = waiting.collect();
        let is_done = |row: &(Urgency, JobId)| self.last_looked.is_some_and(|last| *row <= last);
        let start = skipped.partition_point(is_done);
        let start = if start < skipped.len() { start } else { 0 };
        let mut rest = skipped.split_off(start).into_iter();
        left.extend(skipped);
        self.place_some(now, evacuated, &mut rest, &mut left, out);
        self.last_looked = left.last().copied();
        left.extend(rest);
        self.waiting = left;
        self.missed.clear();
        self.ask_for_capacity(now, evacuated, out);
    }

    /// Places jobs in turn until too many found no worker; adds those with tasks left to `left`.
    fn place_some(
        &mut self,
        now: Millis,
        evacuated: &[String],
        rows: &mut impl Iterator<Item = (Urgency, JobId)>,
        left: &mut Vec<(Urgency, JobId)>,
        out: &mut Vec<DispatchOutput>,
    ) {
        let mut misses = 0;
        for (rank, id) in rows.take(MAX_JOBS) {
            let before = out.len();
            let searches = self.missed.len();
            if self.place_job(now, evacuated, id, out) {
                continue;
            }
            let rank = self
                .jobs
                .get(&id)
                .map_or(rank, |j| self.demand.rank(now, id, j));
            left.push((rank, id));
            let found_none = out.len() == before && self.missed.len() > searches;
            if found_none && !self.holds_suspect(id) {
                misses += 1;
            }
            if misses >= MAX_MISSES {
                break;
            }
        }
    }

    /// Returns true if a task of the job waits for a place where a suspect can run apart from others.
    fn holds_suspect(&self, id: JobId) -> bool {
        !self.suspects.is_empty() && self.suspects.has_suspect(id)
    }

    /// Returns true if a task that found no worker in the last pass may find one now. A pass looks at
    /// every worker, which is too much for each message of an agent.
    fn may_find_worker(&mut self, now: Millis) -> bool {
        let is_retry_due = self.retry_at.is_some_and(|at| now >= at);
        if is_retry_due {
            let ends = self.workers.iter().filter_map(|w| w.full_until(now));
            self.retry_at = ends.min();
        }
        std::mem::take(&mut self.may_place) || is_retry_due
    }

    /// Starts the tasks of a job that fit on some worker. Returns true if no startable task is
    /// left.
    pub(crate) fn place_job(
        &mut self,
        now: Millis,
        evacuated: &[String],
        id: JobId,
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        if !self.may_begin(now, evacuated, id) {
            return false;
        }
        let Some(mut live) = self.jobs.remove(&id) else {
            return true;
        };
        let mut complete = true;
        for step in 0..live.tasks.len() {
            let any = live.tasks[step].iter().any(LiveTask::is_startable);
            if !any || !live.is_step_ready(step) {
                continue;
            }
            for index in 0..live.tasks[step].len() {
                if !live.tasks[step][index].is_startable() {
                    continue;
                }
                let key = TaskId {
                    job: id,
                    step: u32::try_from(step).unwrap_or(u32::MAX),
                    index: u32::try_from(index).unwrap_or(u32::MAX),
                };
                if !self.place_task(now, evacuated, &mut live, key, out) {
                    complete = false;
                    if self.suspects.runs_apart(now, key) {
                        // The others need not wait for a place where a suspect can run apart.
                        continue;
                    }
                    break;
                }
            }
        }
        self.jobs.insert(id, live);
        complete
    }

    pub(crate) fn place_task(
        &mut self,
        now: Millis,
        evacuated: &[String],
        job: &mut LiveJob,
        key: TaskId,
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        let Some(task) = job.task_mut(key).copied() else {
            return false;
        };
        let is_patient = self.is_patient(now, &job.definition, task);
        let is_covered = is_patient && self.missed.iter().any(|missed| missed.covers(job, key));
        let chosen = if is_covered {
            Err(NoWorker::Full)
        } else {
            self.choose_worker(now, evacuated, &job.definition, (key, task), is_patient)
        };
        let id = match chosen {
            Ok(id) => id,
            Err(reason) => {
                if let Some(task) = job.task_mut(key) {
                    task.missed_at.get_or_insert(now);
                }
                if !is_covered {
                    let is_special =
                        reason == NoWorker::Doubtful || self.suspects.runs_apart(now, key);
                    self.missed.push(MissedTask::new(job, key, is_special));
                }
                return false;
            }
        };
        self.last_run += 1;
        let run = self.latest_run();
        if let Some(task) = job.task_mut(key) {
            task.phase = TaskPhase::Assigned(id);
            task.run = run;
            task.missed_at = None;
        }
        let former = job.task_mut(key).and_then(|task| task.former.take());
        if let Some(former) = &former {
            self.log_restart(now, key, run, id, former);
        }
        let nominal = self.nominal_length(job, key);
        self.asked.note_start(key, job.need(key), id);
        let suspect = self.suspects.runs_apart(now, key);
        let worker = &mut self.workers[id.0];
        let placed = PlacedRun {
            need: job.need(key),
            ordered_at: now,
            started_at: None,
            expected: Millis(scale(nominal, worker.pace)),
            nominal,
            progress: None,
            advanced_at: None,
            stopping: false,
            suspect,
        };
        worker.add_run((key, run), placed);
        worker.start_trial(now, (key, run));
        let life = worker.life();
        if let Some(session) = worker.session {
            events::ORDERED.log(format_args!(
                "task={key} run={} agent={} pace={:.2} used_cpu={} others_cpu={} expected_ms={}",
                run.0,
                worker.agent,
                worker.pace,
                worker.used.cpu,
                worker.other_usage.cpu,
                placed.expected.0
            ));
            send_expected(session, (key, run), nominal, out);
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

    /// The latest run that was ordered.
    pub(crate) fn latest_run(&self) -> RunId {
        match self.id {
            DispatcherId::Group(term) => RunId((term.0 << RUN_COUNTER_BITS) + self.last_run),
            DispatcherId::Entry(_) => RunId(self.last_run),
        }
    }

    /// Returns true if at least one worker accepts work, even if it has no free resources at the
    /// moment.
    pub(crate) fn has_open_worker(&self, now: Millis, evacuated: &[String]) -> bool {
        let usable = |worker: &Worker| {
            let server = worker.server.as_ref().filter(|s| !s.leaving);
            let open = server.is_some_and(|s| evacuated.binary_search(&s.data_centre).is_err());
            open && !worker.is_down() && worker.is_responsive(now)
        };
        self.workers.iter().any(usable)
    }

    /// The expected duration of a task on an average worker.
    pub(crate) fn nominal_length(&self, job: &LiveJob, key: TaskId) -> Millis {
        Millis(scale(job.estimate(key), self.duration_ratio(job)))
    }

    /// The key of a job's queue if workers are divided between queues; few jobs need it otherwise.
    pub(crate) fn queue_if_divided(&self, definition: &JobDefinition) -> Option<QueueKey> {
        (!self.bulkheads.is_empty()).then(|| definition.settings.key())
    }

    /// Which workers may run a task; `queue` is from `queue_if_divided`.
    pub(crate) fn worker_filter<'a>(
        &'a self,
        now: Millis,
        evacuated: &'a [String],
        definition: &'a JobDefinition,
        queue: Option<&'a QueueKey>,
        key: TaskId,
    ) -> Option<WorkerFilter<'a>> {
        let step = definition.step(key)?;
        let compartment = queue.and_then(|q| self.compartment_of(q, step));
        Some(WorkerFilter {
            now,
            evacuated,
            service: &definition.settings.service,
            step,
            key,
            compartment,
            is_suspect: self.suspects.runs_apart(now, key),
            is_patient: true,
        })
    }

    /// True while a task may wait for a better worker than those that have room. Whatever makes a
    /// worker doubtful may last, so a task does not wait for its end.
    fn is_patient(&self, now: Millis, definition: &JobDefinition, task: LiveTask) -> bool {
        let waited = task.missed_at.map_or(Millis(0), |at| now.since(at));
        waited < PATIENCE || (waited < BUSY_PATIENCE && self.is_busy(&definition.settings.service))
    }

    /// True while at least half of a service's CPU is in use.
    fn is_busy(&self, service: &str) -> bool {
        let (mut used, mut capacity) = (0, 0);
        for worker in &self.workers {
            if let Some(server) = worker.server.as_ref().filter(|s| s.service == service) {
                used += u64::from(worker.used.cpu) + u64::from(worker.other_usage.cpu);
                capacity += u64::from(server.capacity.cpu);
            }
        }
        2 * used >= capacity
    }

    /// Returns the worker on which the task is expected to end first.
    ///
    /// A patient task does not run on a doubtful worker if another one could run it:
    /// - An ejected worker is doubtful unless there are too many of them: the others could not carry
    ///   the load then, or the cause lies elsewhere.
    /// - To a task that has failed before, a failing worker is doubtful: one that fails all that it
    ///   starts is always free, and would use up the task's attempts.
    ///
    /// Nor does it run on a worker that is on trial, or paused.
    pub(crate) fn choose_worker(
        &self,
        now: Millis,
        evacuated: &[String],
        definition: &JobDefinition,
        (key, task): (TaskId, LiveTask),
        is_patient: bool,
    ) -> Result<WorkerId, NoWorker> {
        let queue = self.queue_if_divided(definition);
        let mut filter = self
            .worker_filter(now, evacuated, definition, queue.as_ref(), key)
            .ok_or(NoWorker::Full)?;
        filter.is_patient = is_patient;
        let (step, is_suspect) = (filter.step, filter.is_suspect);
        let has_failed = task.failures > 0;
        let ejected = self.workers.iter().filter(|w| w.ejected).count();
        let spares_ejected = ejected * MAX_EJECTED_PART <= self.workers.len();
        let is_doubtful = |worker: &Worker| {
            (has_failed && worker.is_failing()) || (spares_ejected && worker.ejected)
        };
        let mut best: Option<(f64, WorkerId)> = None;
        let mut best_doubtful: Option<(f64, WorkerId)> = None;
        for (at, worker) in self.workers.iter().enumerate() {
            let Some(server) = filter.available_server(worker) else {
                continue;
            };
            let mut used = worker.used;
            used.add(worker.other_usage);
            if !filter.accepts(worker, server, used) {
                continue;
            }
            let has_suspects = worker.suspects > 0 && worker.has_suspect_beside(key);
            let mut cost = worker.pace;
            if has_failed && worker.is_failing() {
                cost += FAILING_COST;
            }
            if has_suspects {
                cost += SUSPECT_COST;
            }
            if step
                .rack
                .as_ref()
                .is_some_and(|r| !server.labels.contains(r))
            {
                cost *= OTHER_RACK_FACTOR;
            }
            if task.avoid == Some(WorkerId(at)) {
                cost *= 4.0;
            }
            // Among otherwise equal workers, prefers the one with the most free CPU.
            let full = f64::from(used.cpu) / f64::from(server.capacity.cpu.max(1));
            cost += full * if is_suspect { SUSPECT_COST } else { FULL_COST };
            if let Some(Compartment::Of(_)) = filter.compartment {
                // A crash would end the runs of other jobs, and hide which job caused it.
                cost += used_by_others(worker, server.capacity, key) * SUSPECT_COST;
            }
            let slot = if is_doubtful(worker) {
                &mut best_doubtful
            } else {
                &mut best
            };
            if slot.is_none_or(|(known, _)| cost < known) {
                *slot = Some((cost, WorkerId(at)));
            }
        }
        if let Some((_, id)) = best {
            return Ok(id);
        }
        let Some((_, id)) = best_doubtful else {
            return Err(NoWorker::Full);
        };
        let could_run = |worker: &Worker| {
            let server = worker.able_server(now).filter(|_| !is_doubtful(worker));
            server.is_some_and(|server| filter.accepts(worker, server, Resources::default()))
        };
        if is_patient && self.workers.iter().any(could_run) {
            return Err(NoWorker::Doubtful);
        }
        Ok(id)
    }
}

/// Which workers may run a task, whatever they cost.
#[derive(Debug)]
pub(crate) struct WorkerFilter<'a> {
    now: Millis,
    evacuated: &'a [String],
    service: &'a str,
    step: &'a Step,
    key: TaskId,
    compartment: Option<Compartment<'a>>,
    is_suspect: bool,
    is_patient: bool,
}

impl WorkerFilter<'_> {
    /// The worker's backend server, if it accepts the task once it fits; a task that waits no longer
    /// takes a paused worker as well.
    fn available_server<'w>(&self, worker: &'w Worker) -> Option<&'w Server> {
        if self.is_patient {
            worker.available_server(self.now)
        } else {
            let is_full = worker.full_until(self.now).is_some();
            worker.open_server(self.now).filter(|_| !is_full)
        }
    }

    /// True if a worker of which `used` is taken may run the task.
    pub(crate) fn accepts(&self, worker: &Worker, server: &Server, used: Resources) -> bool {
        let (step, key) = (self.step, self.key);
        let has_label = step
            .label
            .as_ref()
            .is_none_or(|l| server.labels.contains(l));
        let is_spread =
            step.max_per_worker > 0 && worker.count_of_step(key) >= step.max_per_worker as usize;
        let compartment = self.compartment.as_ref();
        server.capacity.fits(used, step.need)
            && self.evacuated.binary_search(&server.data_centre).is_err()
            && has_label
            && server.service == self.service
            && !(self.is_patient && worker.is_on_trial(self.now))
            && !is_spread
            && compartment.is_none_or(|c| c.contains(worker))
            && !(self.is_suspect && worker.suspects > 0 && worker.has_suspect_beside(key))
    }
}

/// Tells the agent how long the run that is ordered next takes on an average worker.
fn send_expected(
    session: SessionId,
    (task, run): (TaskId, RunId),
    length: Millis,
    out: &mut Vec<DispatchOutput>,
) {
    let order = AgentOrder::Expect { task, run, length };
    out.push(DispatchOutput::Message(
        session,
        AcceptorMessage::Order(order),
    ));
}

/// Multiplies a duration; the result stays far below 2^53 ms.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scale(time: Millis, by: f64) -> u64 {
    (time.as_f64() * by.max(0.0)) as u64
}
