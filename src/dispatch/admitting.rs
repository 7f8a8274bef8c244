//! How an entry's dispatcher applies admission: what it observes of starts, arrivals and waiting
//! work, and what it decides on jobs that arrive or wait.

use super::bulkhead::Compartment;
use super::dispatcher::{DispatchOutput, Dispatcher};
use super::live::{LiveJob, LiveTask, Outlook, task_work};
use super::load::admission::{
    self, Admitted, JobTimes, QueueShares, Refused, ServiceLoad, ServiceShares,
};
use super::load::retry_after::{Ahead, Returning};
use super::load::want::Urgency;
use super::load::whole_jobs;
use super::spec::{JobId, QueueKey, Resources, Step, TaskId};
use super::wire::{AcceptorMessage, AgentOrder, Server};
use crate::core::clock::Millis;
use crate::core::table::Table;

/// Units of CPU in a core.
const CPU_UNIT: f64 = 1_000.0;

/// What is observed of one service.
#[derive(Debug)]
struct Service {
    load: ServiceLoad,
    shares: ServiceShares,
    returning: Returning,
    /// Pace of the fastest worker.
    fastest: f64,
}

impl Service {
    fn new(now: Millis) -> Self {
        Self {
            load: ServiceLoad::new(now),
            shares: ServiceShares::default(),
            returning: Returning::new(now),
            fastest: 1.0,
        }
    }
}

/// What an entry has observed of the load, by service and queue.
#[derive(Debug, Default)]
pub(crate) struct LoadState {
    services: Table<String, Service>,
    queues: Table<QueueKey, QueueShares>,
}

impl LoadState {
    fn service(&mut self, now: Millis, name: &str) -> &mut Service {
        self.services
            .or_insert_with(name.to_owned(), || Service::new(now))
    }
}

impl Dispatcher {
    /// Urgency of a job among those that wait. One that is admitted for the share of its queue or size
    /// comes first, as it would find no capacity otherwise.
    pub(crate) fn rank(&self, now: Millis, id: JobId, job: &LiveJob) -> Urgency {
        let rank = self.demand.rank(now, id, job);
        if !job.is_due_share() {
            return rank;
        }
        let first = self.waiting.first();
        first.map_or(rank, |(first, _)| rank.min(*first))
    }

    /// Decides on a transient job that has arrived, and notes it as demand. Also returns how long it
    /// is expected to wait, if that is known.
    pub(crate) fn judge_arrival(
        &mut self,
        now: Millis,
        evacuated: &[String],
        id: JobId,
        job: &mut LiveJob,
    ) -> (Result<Admitted, Refused>, Option<Millis>) {
        self.demand.record_arrival(now, job);
        let key = job.definition.settings.key();
        let rank = self.demand.rank(now, id, job);
        let work = job.total_work();
        let times = self.times_of(job);
        let unplaced = self.unplaced_work(now, evacuated, job);
        let service = self.load.service(now, &key.0);
        let expected = service.load.expect(rank, unplaced);
        let queue = self
            .load
            .queues
            .or_insert_with(key.clone(), QueueShares::default);
        let class = queue.size_class(work);
        queue.record_size(work);
        let service = self
            .load
            .services
            .or_insert_with(key.0, || Service::new(now));
        let verdict = match admission::refusal(now, times, expected) {
            Some(Refused::RunTooLong) => Err(Refused::RunTooLong),
            _ if unplaced <= 0.0 => Ok(Admitted::Fits),
            None if expected.is_none() => Ok(Admitted::Unmeasured),
            None => Ok(Admitted::Expected),
            Some(_) if queue.is_short(class, &service.shares) => Ok(Admitted::Share),
            Some(reason) => Err(reason),
        };
        queue.note(now, class, verdict.is_ok(), &mut service.shares);
        service
            .load
            .record_arrival(now, rank, work, verdict.is_ok());
        match verdict {
            Ok(reason) => {
                job.admitted = Some(reason);
                service.load.record_waiting(rank, work);
            }
            Err(_) => service.returning.add(now, work),
        }
        (verdict, expected.map(|expected| expected.wait))
    }

    /// Another call waits for the job.
    pub(crate) fn extend_deadline(&mut self, id: JobId, deadline: Millis) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.deadline = job.deadline.max(deadline);
        }
    }

    /// True if a job that starts now can't end before `at`.
    pub(crate) fn outlasts(&self, now: Millis, id: JobId, at: Millis) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|job| now + self.times_of(job).shortest > at)
    }

    /// Returns why a waiting job that has not begun can't be of use any more, or `None` if it can.
    pub(crate) fn waiting_refusal(&self, now: Millis, id: JobId) -> Option<Refused> {
        let job = self.jobs.get(&id)?;
        let service = self.load.services.get(&job.definition.settings.service);
        let expected = service.filter(|_| !job.is_due_share()).and_then(|service| {
            let rank = self.demand.rank(now, id, job);
            service.load.expect(rank, job.remaining_work())
        });
        admission::refusal(now, self.times_of(job), expected)
    }

    /// Notes that a job which was admitted is refused after all.
    pub(crate) fn record_withdrawn(&mut self, now: Millis, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (key, work) = (job.definition.settings.key(), job.total_work());
        let service = self.load.service(now, &key.0);
        service.returning.add(now, work);
        let service = self.load.services.get_mut(&key.0);
        if let (Some(queue), Some(service)) = (self.load.queues.get_mut(&key), service) {
            let class = queue.size_class(work);
            queue.withdraw(class, &mut service.shares);
        }
    }

    /// What comes before a job that is refused.
    pub(crate) fn ahead_of(&self, now: Millis, id: JobId, job: &LiveJob) -> Ahead {
        let service = self.load.services.get(&job.definition.settings.service);
        let Some(service) = service else {
            return Ahead::default();
        };
        let rank = self.demand.rank(now, id, job);
        Ahead {
            waiting: service.load.work_before(rank),
            returning: service.returning.work(now),
            starts: service.load.start_rate().unwrap_or(0.0),
            arrivals: service.load.arrival_rate_before(rank),
        }
    }

    /// Returns true if a job that has begun, and has tasks waiting for capacity with which another job
    /// could still end in time, can't end before its caller's deadline.
    pub(crate) fn blocks_useful_jobs(&self, now: Millis, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| job.has_ready()) else {
            return false;
        };
        let is_useful = |job: &LiveJob| job.outlook(now) != Outlook::Overdue;
        let mut others = self.waiting.iter().filter(|(_, other)| *other != id);
        // The first ones show whether any waiting job can still end in time.
        let useful_job_waits = others
            .next()
            .and_then(|(_, other)| self.jobs.get(other))
            .is_some_and(is_useful);
        let rest = self.scaled(job, job.shortest_rest());
        useful_job_waits && now + rest > job.deadline
    }

    fn times_of(&self, job: &LiveJob) -> JobTimes {
        let run = job.critical_path().as_f64() * self.duration_ratio(job);
        JobTimes {
            shortest: self.scaled(job, job.critical_path()),
            run: admission::to_millis(run),
            objective: job.objective_at(),
            deadline: job.deadline,
        }
    }

    /// A declared time on the fastest worker.
    fn scaled(&self, job: &LiveJob, time: Millis) -> Millis {
        let service = self.load.services.get(&job.definition.settings.service);
        let fastest = service.map_or(1.0, |service| service.fastest);
        admission::to_millis(time.as_f64() * self.duration_ratio(job).min(1.0) * fastest)
    }

    /// Returns false for a job of several tasks of which none was ordered, while the tasks that find
    /// no capacity can't be expected to start and end in useful time.
    pub(crate) fn may_begin(&self, now: Millis, evacuated: &[String], id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        let service = self.load.services.get(&job.definition.settings.service);
        let Some(load) = service.map(|service| &service.load) else {
            return true;
        };
        let Some(rate) = load.start_rate() else {
            return true;
        };
        let tasks = job.tasks.iter().flatten();
        let has_several = tasks.filter(|t| t.is_startable()).nth(1).is_some();
        if !has_several || job.is_due_share() || job.may_have_run() {
            return true;
        }
        let (times, overloaded) = (self.times_of(job), load.is_overloaded(rate));
        let may_begin =
            |rest: f64| whole_jobs::may_begin(now, times, rest, load.begun_rate(rate), overloaded);
        // Free capacity is looked for only if it matters: that takes a look at every worker. A task
        // that is known to find none needs no look either.
        let first = TaskId {
            job: id,
            step: 0,
            index: 0,
        };
        may_begin(job.remaining_work())
            || self.missed.iter().any(|missed| missed.covers(job, first))
            || may_begin(self.unplaced_work(now, evacuated, job))
    }

    /// Work of the job's startable tasks that find no free capacity now.
    fn unplaced_work(&self, now: Millis, evacuated: &[String], job: &LiveJob) -> f64 {
        let mut work = 0.0;
        for (at, tasks) in job.tasks.iter().enumerate() {
            let startable = tasks.iter().filter(|t| LiveTask::is_startable(t)).count();
            if startable == 0 || !job.is_step_ready(at) {
                continue;
            }
            let step = &job.definition.steps[at];
            let key = job.definition.settings.key();
            let places = self.free_places(now, evacuated, &key, step, startable);
            // A job has far fewer than 2^32 tasks.
            let missing = u32::try_from(startable - places).unwrap_or(u32::MAX);
            work += task_work(step) * f64::from(missing);
        }
        work
    }

    /// Number of tasks of a step, up to `limit`, for which workers have free capacity.
    fn free_places(
        &self,
        now: Millis,
        evacuated: &[String],
        queue: &QueueKey,
        step: &Step,
        limit: usize,
    ) -> usize {
        let isolating = !self.bulkheads.is_empty();
        let compartment: Option<Compartment> = isolating
            .then(|| self.compartment_of(queue, step))
            .flatten();
        let mut places = 0;
        for worker in &self.workers {
            let Some(server) = worker.available_server(now) else {
                continue;
            };
            let has_label = step
                .label
                .as_ref()
                .is_none_or(|l| server.labels.contains(l));
            let is_evacuated = evacuated.binary_search(&server.data_centre).is_ok();
            let is_member = compartment.as_ref().is_none_or(|c| c.contains(worker));
            if server.service != queue.0 || !has_label || is_evacuated || !is_member {
                continue;
            }
            let mut used = worker.used;
            used.add(worker.other_usage);
            let mut here = 0;
            let most = if step.max_per_worker > 0 {
                step.max_per_worker as usize
            } else {
                limit
            };
            while here < most && places < limit && server.capacity.fits(used, step.need) {
                used.add(step.need);
                here += 1;
                places += 1;
            }
            if places == limit {
                break;
            }
        }
        places
    }

    /// What other entries are assumed to use of a worker before its agent has said so: all but this
    /// entry's share. A share that is smaller than a task counts as room for one at so many of the
    /// workers that all entries together count no more than there is.
    pub(crate) fn assumed_usage(&self, agent: &str, server: &Server) -> Resources {
        let entries = u32::try_from(self.entries).unwrap_or(u32::MAX).max(1);
        if entries == 1 {
            return Resources::default();
        }
        let mut slot = Resources::default();
        for (_, id) in &self.waiting {
            let job = self.jobs.get(id);
            let job = job.filter(|job| job.definition.settings.service == server.service);
            for step in job.iter().flat_map(|job| &job.definition.steps) {
                slot.cpu = slot.cpu.max(step.need.cpu);
                slot.memory = slot.memory.max(step.need.memory);
                slot.gpu = slot.gpu.max(step.need.gpu);
            }
        }
        let draw = crc32fast::hash(format!("{agent} {}", self.id.epoch()).as_bytes());
        let share = server.capacity.cpu / entries;
        if u64::from(draw) * u64::from(slot.cpu) >= u64::from(share) << u32::BITS {
            return server.capacity;
        }
        let others = |all: u32, slot: u32| all.saturating_sub((all / entries).max(slot));
        Resources {
            cpu: others(server.capacity.cpu, slot.cpu),
            memory: others(server.capacity.memory, slot.memory),
            gpu: others(server.capacity.gpu, slot.gpu),
        }
    }

    /// Notes the starts among the actions of a pass.
    pub(crate) fn note_starts(&mut self, now: Millis, actions: &[DispatchOutput]) {
        for action in actions {
            if let DispatchOutput::Message(
                _,
                AcceptorMessage::Order(AgentOrder::Start { task, .. }),
            ) = action
                && let Some((service, work)) = self.work_of(*task)
            {
                self.load.service(now, &service).load.record_start(work);
            }
        }
    }

    /// Notes that a start was denied for want of capacity.
    pub(crate) fn note_denied(&mut self, now: Millis, task: TaskId) {
        if let Some((service, work)) = self.work_of(task) {
            self.load.service(now, &service).load.record_denied(work);
        }
    }

    fn work_of(&self, task: TaskId) -> Option<(String, f64)> {
        let job = self.jobs.get(&task.job)?;
        let work = job.definition.step(task).map(task_work)?;
        Some((job.definition.settings.service.clone(), work))
    }

    /// Brings the figures of all services up to date.
    pub(crate) fn update_load(&mut self, now: Millis) {
        let mut rows: Table<String, Vec<(Urgency, f64)>> = Table::default();
        for (rank, id) in &self.waiting {
            if let Some(job) = self.jobs.get(id) {
                let service = job.definition.settings.service.clone();
                rows.or_insert_with(service, Vec::new)
                    .push((*rank, job.remaining_work()));
            }
        }
        for (name, service) in self.load.services.iter_mut() {
            let (mut held, mut capacity, mut fastest) = (0.0, 0.0, 1.0_f64);
            for worker in &self.workers {
                let server = worker.server.as_ref().filter(|s| s.service == *name);
                if let Some(server) = server {
                    held += f64::from(worker.used.cpu) / CPU_UNIT;
                    capacity += f64::from(server.capacity.cpu) / CPU_UNIT;
                    fastest = fastest.min(worker.pace);
                }
            }
            let waiting = rows.remove(name).unwrap_or_default();
            service.load.update(now, waiting, held, capacity);
            service.fastest = fastest;
        }
    }
}
