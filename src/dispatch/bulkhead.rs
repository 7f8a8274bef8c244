//! Bulkheads: a queue whose tasks crash backend servers is isolated on some of the workers, so that
//! the other queues keep the rest.
//!
//! An isolated queue gets as many workers as its share of the work. All entries choose the same
//! ones: first those whose backend server crashed lately, which the others can miss best. The
//! leader of the control group isolates no queue, as a stored job must be started wherever there
//! is room.

use std::cmp::Reverse;

use super::dispatcher::{DispatchOutput, Dispatcher, DispatcherId};
use super::live::LiveJob;
use super::spec::{JobId, QueueKey, Resources, Step, TaskId};
use super::wire::{AcceptorMessage, AgentOrder, Evidence};
use super::worker::{Worker, WorkerId};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// A queue is isolated until its tasks have crashed nothing for this long. Longer than a backend
/// server takes to come back, so that the queue's next crash is seen.
const ISOLATED_FOR: Millis = Millis(5_000);
/// Blame that isolates a queue: one of its jobs was the most likely cause of a second crash. By the
/// time of another one, a queue with many such jobs has taken most workers down.
const MIN_BLAME: u32 = 1;
/// A queue with less than this part of the worst queue's blame is not isolated, as its jobs are
/// likely to have been beside those of the worst.
const MIN_BLAME_PART: u32 = 2;
/// Workers whose backend server crashed within this time are the first to be given to isolated
/// queues; longer than an isolation without further crashes.
const CRASHED_LATELY: Millis = Millis(10_000);

/// The evidence against one queue.
#[derive(Debug, Default)]
struct Blame {
    /// Its jobs that were likely causes, with the crashes of which each was a part before.
    jobs: Table<JobId, u32>,
    /// When the last of them crashed a backend server.
    last_at: Millis,
    isolated: bool,
}

impl Blame {
    fn total(&self) -> u32 {
        self.jobs.iter().map(|(_, crashes)| crashes).sum()
    }
}

/// The queues whose tasks have crashed backend servers, and which of them are isolated.
#[derive(Debug, Default)]
pub(crate) struct Bulkheads {
    queues: Table<QueueKey, Blame>,
    /// The isolated queues and their workers are to be chosen anew.
    pub(crate) due: bool,
}

impl Bulkheads {
    /// Adds evidence against a queue, or withdraws it.
    fn record(&mut self, now: Millis, evidence: Evidence) {
        let queue = (evidence.service, evidence.priority);
        self.due = true;
        if evidence.crashes == 0 {
            if let Some(blame) = self.queues.get_mut(&queue) {
                blame.jobs.remove(&evidence.job);
            }
            return;
        }
        let blame = self.queues.or_insert_with(queue, Blame::default);
        blame.jobs.insert(evidence.job, evidence.crashes);
        blame.last_at = now;
    }

    /// A backend server that was kept for a queue has crashed.
    pub(crate) fn keep_isolated(&mut self, now: Millis, queue: &QueueKey) {
        if let Some(blame) = self.queues.get_mut(queue) {
            blame.last_at = now;
        }
    }

    /// True while there is no evidence against any queue.
    pub(crate) fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// True while the queue is isolated.
    pub(crate) fn is_isolated(&self, queue: &QueueKey) -> bool {
        self.queues.get(queue).is_some_and(|blame| blame.isolated)
    }

    /// Isolates the queues with the most evidence against them, and releases the others.
    fn judge(&mut self, now: Millis) {
        for (_, blame) in self.queues.iter_mut() {
            if now.since(blame.last_at) >= ISOLATED_FOR {
                blame.jobs = Table::default();
            }
        }
        let totals = self.queues.iter().map(|(_, blame)| blame.total());
        let worst = totals.max().unwrap_or_default();
        for ((service, priority), blame) in self.queues.iter_mut() {
            let total = blame.total();
            let isolated = total >= MIN_BLAME && total * MIN_BLAME_PART >= worst;
            if isolated != blame.isolated {
                blame.isolated = isolated;
                events::ISOLATED.log(format_args!(
                    "service={service} priority={priority} isolated={isolated} blame={total} \
                     worst={worst}"
                ));
            }
        }
        self.queues.retain(|_, blame| !blame.jobs.is_empty());
    }

    /// The isolated queues, the worst first.
    fn isolated(&self) -> Vec<QueueKey> {
        let isolated = self.queues.iter().filter(|(_, blame)| blame.isolated);
        let mut rows: Vec<_> = isolated.map(|(queue, b)| (b.total(), queue)).collect();
        rows.sort_by_key(|(total, _)| Reverse(*total));
        rows.into_iter().map(|(_, queue)| queue.clone()).collect()
    }
}

/// A part of the workers that only some queues use.
#[derive(Debug)]
pub(crate) enum Compartment<'a> {
    /// Used by all queues that are not isolated.
    Common,
    /// Kept for one isolated queue.
    Of(&'a QueueKey),
}

impl Compartment<'_> {
    /// True if the worker is a part of it.
    pub(crate) fn contains(&self, worker: &Worker) -> bool {
        match self {
            Self::Common => worker.kept_for.is_none(),
            Self::Of(queue) => worker.kept_for.as_ref() == Some(queue),
        }
    }
}

impl Dispatcher {
    /// Has an agent tell all entries that a job is likely to have crashed its backend server, and of
    /// how many crashes the job was a part before.
    pub(crate) fn blame(
        &self,
        id: WorkerId,
        (job, crashes): (JobId, u32),
        out: &mut Vec<DispatchOutput>,
    ) {
        if let (Some(live), DispatcherId::Entry(_)) = (self.jobs.get(&job), self.id) {
            let queue = live.definition.settings.key();
            self.send_evidence(id, evidence(job, queue, crashes), out);
        }
    }

    /// Has the agents that told all entries that a job was to blame withdraw that: it has completed.
    pub(crate) fn acquit(&mut self, id: JobId, job: &LiveJob, out: &mut Vec<DispatchOutput>) {
        let blamed_on = self.suspects.acquit(id);
        if matches!(self.id, DispatcherId::Entry(_)) {
            for worker in blamed_on {
                let queue = job.definition.settings.key();
                self.send_evidence(worker, evidence(id, queue, 0), out);
            }
        }
    }

    fn send_evidence(&self, id: WorkerId, evidence: Evidence, out: &mut Vec<DispatchOutput>) {
        if let Some(session) = self.workers[id.0].session {
            let order = AgentOrder::Blame(evidence);
            out.push(DispatchOutput::Message(
                session,
                AcceptorMessage::Order(order),
            ));
        }
    }

    /// Handles evidence against a queue, of this entry or another one.
    pub(crate) fn on_evidence(&mut self, now: Millis, id: WorkerId, evidence: Evidence) {
        if matches!(self.id, DispatcherId::Entry(_)) {
            events::BLAMED.log(format_args!(
                "job={} service={} priority={} crashes={} agent={}",
                evidence.job,
                evidence.service,
                evidence.priority,
                evidence.crashes,
                self.workers[id.0].agent
            ));
            if evidence.crashes > 0 {
                // An entry that has just connected did not see the crash.
                self.workers[id.0].crashed_at = Some(now);
            }
            self.bulkheads.record(now, evidence);
        }
    }

    /// Chooses the isolated queues and their workers anew, if that is due.
    pub(crate) fn update_bulkheads(&mut self, now: Millis, evacuated: &[String]) {
        if !std::mem::take(&mut self.bulkheads.due) || self.bulkheads.is_empty() {
            return;
        }
        self.bulkheads.judge(now);
        for worker in &mut self.workers {
            worker.kept_for = None;
        }
        for queue in self.bulkheads.isolated() {
            let share = self.demand.share(now, &queue);
            let members = self.members(now, &queue.0, evacuated);
            let count = part_of(members.len(), share);
            if count == members.len() {
                continue;
            }
            let free = |id: &WorkerId| self.workers[id.0].kept_for.is_none();
            let kept: Vec<_> = members.into_iter().filter(free).take(count).collect();
            for id in kept {
                self.workers[id.0].kept_for = Some(queue.clone());
            }
        }
    }

    /// The workers of a service, those first that isolated queues are given first. A worker whose
    /// backend server is down counts: another one in its place would be the next to crash.
    fn members(&self, now: Millis, service: &str, evacuated: &[String]) -> Vec<WorkerId> {
        let mut members = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            let server = worker.server.as_ref().filter(|s| s.service == service);
            let is_open = server.is_some_and(|s| evacuated.binary_search(&s.data_centre).is_err());
            if is_open && worker.is_responsive(now) {
                let is_sound = !worker.crashed_within(now, CRASHED_LATELY);
                // By a hash of the name, so that they are not all in one rack or data centre.
                let hash = crc32fast::hash(worker.agent.as_bytes());
                members.push((is_sound, hash, WorkerId(at)));
            }
        }
        members.sort_unstable();
        members.into_iter().map(|(.., id)| id).collect()
    }

    /// The compartment whose workers may run tasks of a step of a queue; `None` for all workers, if
    /// none is isolated or the compartment has none that could run the step.
    pub(crate) fn compartment_of<'a>(
        &self,
        queue: &'a QueueKey,
        step: &Step,
    ) -> Option<Compartment<'a>> {
        let compartment = if self.bulkheads.is_isolated(queue) {
            Compartment::Of(queue)
        } else {
            Compartment::Common
        };
        let could_run = |worker: &Worker| {
            let server = worker.server.as_ref().filter(|s| s.service == queue.0);
            server.is_some_and(|server| {
                let has_label = step
                    .label
                    .as_ref()
                    .is_none_or(|l| server.labels.contains(l));
                has_label && server.capacity.fits(Resources::default(), step.need)
            })
        };
        let mut members = self.workers.iter().filter(|w| compartment.contains(w));
        members.any(could_run).then_some(compartment)
    }

    /// True if the queue is isolated and all of its workers are down: a new job would wait until it
    /// is too late.
    pub(crate) fn is_isolated_and_down(&self, now: Millis, queue: &QueueKey) -> bool {
        if !self.bulkheads.is_isolated(queue) {
            return false;
        }
        let compartment = Compartment::Of(queue);
        let mut members = self.workers.iter().filter(|w| compartment.contains(w));
        let mut is_down = |w: &Worker| w.is_down() || !w.is_responsive(now);
        members.next().is_some_and(&mut is_down) && members.all(is_down)
    }
}

fn evidence(job: JobId, (service, priority): QueueKey, crashes: u32) -> Evidence {
    Evidence {
        job,
        service,
        priority,
        crashes,
    }
}

/// The part of a worker's CPU that runs of other jobs use, from 0 to 1.
pub(crate) fn used_by_others(worker: &Worker, capacity: Resources, task: TaskId) -> f64 {
    let mut used = worker.used;
    used.add(worker.other_usage);
    for ((own, _), placed) in worker.runs.iter() {
        if own.job == task.job {
            used.remove(placed.need);
        }
    }
    f64::from(used.cpu) / f64::from(capacity.cpu.max(1))
}

/// How many of `count` workers a share of the work takes, at least one.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn part_of(count: usize, share: f64) -> usize {
    ((count as f64 * share).ceil() as usize).max(1)
}
