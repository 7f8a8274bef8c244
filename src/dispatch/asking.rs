//! How a dispatcher asks agents for capacity for the tasks that found no worker.
//!
//! Each waiting task asks two workers that could run it, so that messages grow with the tasks that
//! wait and not with entries times agents.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::dispatcher::{DispatchOutput, Dispatcher, DispatcherId};
use super::live::LiveTask;
use super::load::want::{MAX_WANTS, Urgency, UrgencyClass, Want};
use super::spec::{JobId, Resources, TaskId};
use super::wire::{AcceptorMessage, AgentOrder};
use super::worker::{SessionId, Worker, WorkerId};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// Workers that are asked for each task.
const ASKED_WORKERS: usize = 2;
/// Shortest time between two messages to one agent, in milliseconds.
const SEND_INTERVAL: Millis = Millis(20);
/// A task that waits no more is taken back this late, in milliseconds, unless the agent gets a
/// message before or is asked for nothing else: another task can use what it offers.
const WITHDRAW_AFTER: Millis = Millis(60);
/// What agents have been asked is repeated after this long, in milliseconds, as they may have
/// forgotten it.
const REFRESH: Millis = Millis(250);
/// Shortest time between two looks at all waiting tasks, in milliseconds.
const SCAN_INTERVAL: Millis = Millis(4);
/// Largest number of tasks for which one agent is chosen; it is told of the most urgent. If tasks
/// that wait in vain filled all that it may be told, it would not hear of new ones.
const MAX_CHOSEN: usize = 4 * MAX_WANTS;
/// Largest number of tasks for which agents are asked at a time; more would not be served before
/// these.
const MAX_ASKED: usize = 512;
/// Random workers that are tried for a task before all are looked at, and how often all are looked
/// at in one scan.
const MAX_TRIES: usize = 16;
const MAX_SWEEPS: usize = 4;
/// How long the group's leader asks for capacity for a stored job, in milliseconds, before it does
/// so again: no caller waits for these.
const STORED_WAIT: Millis = Millis(1_000);
/// Cost of a stored job at agents: some core-seconds, so that cheaper transient jobs that can end
/// in time come first.
const STORED_COST: u64 = 64_000;

/// A task for which agents are asked.
#[derive(Debug, Clone, Copy)]
struct AskedTask {
    workers: [Option<WorkerId>; ASKED_WORKERS],
    want: Want,
    until: Millis,
    scan: u64,
}

/// What has been sent to an agent.
#[derive(Debug, Clone, Copy, Default)]
struct AskedAgent {
    /// Number of tasks for which it is asked.
    tasks: usize,
    /// It needs a message.
    is_outdated: bool,
    /// It is still asked for a task that waits no more.
    has_excess: bool,
    sent_at: Millis,
    /// The session over which it was asked; what it had been asked is lost with that.
    session: Option<SessionId>,
}

/// What a dispatcher asks of agents.
#[derive(Debug)]
pub(crate) struct Asked {
    tasks: Table<TaskId, AskedTask>,
    agents: Vec<AskedAgent>,
    scan: u64,
    scanned_at: Millis,
    // CPU of the largest worker.
    largest: u32,
    random: Pcg64Mcg,
}

impl Asked {
    pub(crate) fn new(id: DispatcherId) -> Self {
        Self {
            tasks: Table::default(),
            agents: Vec::new(),
            scan: 0,
            scanned_at: Millis(0),
            largest: 1,
            random: Pcg64Mcg::seed_from_u64(id.epoch()),
        }
    }

    /// Notes that a task is started on a worker, whose agent takes that for its most urgent want of
    /// the same need. If that was another task's, this one takes over a want of the started task.
    pub(crate) fn note_start(&mut self, key: TaskId, need: Resources, id: WorkerId) {
        let started = self.tasks.remove(&key);
        let mut workers = started.map_or([None; ASKED_WORKERS], |started| started.workers);
        if !workers.contains(&Some(id)) {
            let rows = self.tasks.iter_mut().map(|(_, task)| task);
            let served = rows
                .filter(|task| task.workers.contains(&Some(id)) && task.want.need == need)
                .min_by_key(|task| task.want.urgency);
            if let Some(task) = served {
                let free = workers.iter_mut();
                let taken = free
                    .filter(|worker| !task.workers.contains(worker))
                    .find_map(Option::take);
                let lost = task.workers.iter_mut().find(|w| **w == Some(id));
                if let Some(slot) = lost {
                    *slot = taken;
                }
                self.release(id, false);
            }
        }
        for worker in workers.into_iter().flatten() {
            self.release(worker, worker != id);
        }
    }

    /// An agent is asked for one task less; it may not know.
    fn release(&mut self, id: WorkerId, is_excess: bool) {
        let agent = &mut self.agents[id.0];
        agent.has_excess |= is_excess;
        // It can be told of a task that was left out.
        agent.is_outdated |= !is_excess && agent.tasks > MAX_WANTS;
        agent.tasks -= 1;
    }

    /// An agent has forgotten what it was asked.
    pub(crate) fn resend(&mut self, id: WorkerId) {
        if let Some(agent) = self.agents.get_mut(id.0) {
            agent.is_outdated |= agent.tasks > 0;
        }
    }

    fn mark(&mut self, workers: [Option<WorkerId>; ASKED_WORKERS]) {
        for worker in workers.into_iter().flatten() {
            self.agents[worker.0].is_outdated = true;
        }
    }
}

impl Dispatcher {
    /// Asks agents for capacity for the tasks that wait, and takes back what is needed no more.
    pub(crate) fn ask_for_capacity(
        &mut self,
        now: Millis,
        evacuated: &[String],
        out: &mut Vec<DispatchOutput>,
    ) {
        let is_idle = self.waiting.is_empty() && self.asked.tasks.is_empty();
        let is_early = now.since(self.asked.scanned_at) < SCAN_INTERVAL;
        let has_nothing = is_idle && !self.asked.agents.iter().any(|agent| agent.has_excess);
        if has_nothing || is_early {
            return;
        }
        self.asked.scanned_at = now;
        let agents = self.workers.len();
        self.asked.agents.resize(agents, AskedAgent::default());
        // Taken out, as it is changed while the workers and jobs are read.
        let empty = Asked::new(self.id);
        let mut asked = std::mem::replace(&mut self.asked, empty);
        self.scan_waiting(now, evacuated, &mut asked);
        self.send_wants(now, &mut asked, out);
        self.asked = asked;
    }

    /// Chooses workers for the tasks that wait and have none, and removes the tasks that no longer
    /// do.
    fn scan_waiting(&self, now: Millis, evacuated: &[String], asked: &mut Asked) {
        asked.scan += 1;
        asked.largest = self.workers.iter().map(cpu_of).max().unwrap_or(0).max(1);
        let scan = asked.scan;
        let mut left = MAX_ASKED.min(self.workers.len() * MAX_WANTS);
        let mut sweeps = MAX_SWEEPS;
        'jobs: for (rank, id) in &self.waiting {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let until = if job.transient {
                job.outlook_until(now)
            } else {
                now + STORED_WAIT
            };
            let urgency = match rank {
                _ if !job.transient => Urgency {
                    class: UrgencyClass::InTime,
                    cost: STORED_COST,
                },
                rank => *rank,
            };
            for (step, tasks) in job.tasks.iter().enumerate() {
                if !tasks.iter().any(LiveTask::is_startable) || !job.is_step_ready(step) {
                    continue;
                }
                for (index, _) in tasks.iter().enumerate().filter(|(_, t)| t.is_startable()) {
                    if left == 0 {
                        break 'jobs;
                    }
                    left -= 1;
                    let key = task_id(*id, step, index);
                    let none = [None; ASKED_WORKERS];
                    let known = asked.tasks.get_mut(&key);
                    if let Some(known) = known.filter(|known| known.workers != none) {
                        known.scan = scan;
                        if now >= known.until || known.want.urgency.class != urgency.class {
                            known.want.urgency = urgency;
                            known.until = until;
                            let workers = known.workers;
                            asked.mark(workers);
                        }
                        continue;
                    }
                    let workers = self.choose_asked(now, evacuated, key, asked, &mut sweeps);
                    if workers == none {
                        continue;
                    }
                    let want = Want {
                        need: job.need(key),
                        urgency,
                        length: self.nominal_length(job, key),
                        wait: Millis(0),
                    };
                    for worker in workers.into_iter().flatten() {
                        asked.agents[worker.0].tasks += 1;
                    }
                    asked.mark(workers);
                    let task = AskedTask {
                        workers,
                        want,
                        until,
                        scan,
                    };
                    asked.tasks.insert(key, task);
                }
            }
        }
        let agents = &mut asked.agents;
        asked.tasks.retain(|_, task| {
            let waits = task.scan == scan;
            for worker in task.workers.into_iter().flatten().filter(|_| !waits) {
                agents[worker.0].tasks -= 1;
                agents[worker.0].has_excess = true;
            }
            waits
        });
    }

    /// Chooses workers to ask for a task at random, weighted by their capacity.
    fn choose_asked(
        &self,
        now: Millis,
        evacuated: &[String],
        key: TaskId,
        asked: &mut Asked,
        sweeps: &mut usize,
    ) -> [Option<WorkerId>; ASKED_WORKERS] {
        let mut chosen = [None; ASKED_WORKERS];
        let count = self.workers.len();
        let Some(job) = self.jobs.get(&key.job).filter(|_| count > 0) else {
            return chosen;
        };
        let queue = self.queue_if_divided(&job.definition);
        let filter = self.worker_filter(now, evacuated, &job.definition, queue.as_ref(), key);
        let Some(filter) = filter else {
            return chosen;
        };
        let may_ask = |asked: &Asked, chosen: &[Option<WorkerId>], at: usize| {
            asked.agents[at].tasks < MAX_CHOSEN
                && !chosen.contains(&Some(WorkerId(at)))
                && !self.workers[at].ejected
                && self.workers[at].able_server(now).is_some_and(|server| {
                    filter.accepts(&self.workers[at], server, Resources::default())
                })
        };
        let mut slot = 0;
        for _ in 0..MAX_TRIES {
            let at = asked.random.random_range(0..count);
            let is_drawn = asked.random.random_range(0..asked.largest) < cpu_of(&self.workers[at]);
            if is_drawn && may_ask(asked, &chosen, at) {
                chosen[slot] = Some(WorkerId(at));
                slot += 1;
                if slot == ASKED_WORKERS {
                    return chosen;
                }
            }
        }
        if slot == 0 && *sweeps > 0 {
            *sweeps -= 1;
            let from = asked.random.random_range(0..count);
            let mut all = (from..count).chain(0..from);
            chosen[0] = all.find(|at| may_ask(asked, &chosen, *at)).map(WorkerId);
        }
        chosen
    }

    /// Sends agents what has changed for them.
    fn send_wants(&self, now: Millis, asked: &mut Asked, out: &mut Vec<DispatchOutput>) {
        let mut due: Vec<(WorkerId, SessionId, Vec<Want>)> = Vec::new();
        for (at, (agent, worker)) in asked.agents.iter_mut().zip(&self.workers).enumerate() {
            let is_lost = agent.session != worker.session || now.since(agent.sent_at) >= REFRESH;
            agent.is_outdated |= agent.tasks > 0 && is_lost;
            let Some(session) = worker.session.filter(|_| worker.has_inventory) else {
                agent.has_excess = false;
                continue;
            };
            let silent = if agent.sent_at == Millis(0) {
                WITHDRAW_AFTER
            } else {
                now.since(agent.sent_at)
            };
            let withdraws = agent.has_excess && (agent.tasks == 0 || silent >= WITHDRAW_AFTER);
            if (agent.is_outdated || withdraws) && silent >= SEND_INTERVAL {
                agent.is_outdated = false;
                agent.has_excess = false;
                agent.sent_at = now;
                agent.session = Some(session);
                due.push((WorkerId(at), session, Vec::with_capacity(agent.tasks)));
            }
        }
        if due.is_empty() {
            return;
        }
        for (_, task) in asked.tasks.iter() {
            for worker in task.workers.into_iter().flatten() {
                if let Ok(at) = due.binary_search_by_key(&worker, |(id, ..)| *id) {
                    let wait = task.until.since(now);
                    due[at].2.push(Want { wait, ..task.want });
                }
            }
        }
        for (id, session, mut wants) in due {
            wants.sort_by_key(|want| want.urgency);
            wants.truncate(MAX_WANTS);
            events::WANTED.log(format_args!(
                "agent={} wants={} first={:?}",
                self.workers[id.0].agent,
                wants.len(),
                wants.first()
            ));
            let order = AcceptorMessage::Order(AgentOrder::Want(wants));
            out.push(DispatchOutput::Message(session, order));
        }
    }
}

/// CPU that a worker has in total.
fn cpu_of(worker: &Worker) -> u32 {
    let server = worker.server.as_ref();
    server.map_or(0, |server| server.capacity.cpu)
}

fn task_id(job: JobId, step: usize, index: usize) -> TaskId {
    TaskId {
        job,
        step: u32::try_from(step).unwrap_or(u32::MAX),
        index: u32::try_from(index).unwrap_or(u32::MAX),
    }
}
