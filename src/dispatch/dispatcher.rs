//! Dispatching: which task starts where, and what becomes of it.
//!
//! The control group's leader dispatches the stored jobs, each entry those jobs of
//! its callers that are not stored.

use super::demand::{Demand, Rank};
use super::guard::{Guards, JobGuard};
use super::live::{LiveJob, Outlook, TaskPhase};
use super::replicated_state::{Job, OpenJob, ReplicatedState, RunEnd, StateChange, StateCommand};
use super::reports::send_recorded;
use super::spec::{JobId, JobStatus, QueueSettings};
use super::wire::{AcceptorMessage, AgentOrder};
use super::worker::{SessionId, Worker, WorkerId};
use crate::control::log::Term;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// An agent may act for the group so long after it asked; an election fits in.
pub(crate) const GROUP_GRANT: Millis = Millis(1_500);
/// An agent may act for an entry so long after it asked. A caller that lost its
/// entry submits again after 1.3 s; the agent has stopped the job's runs by then.
pub(crate) const ENTRY_GRANT: Millis = Millis(800);
/// Added to a grant before a silent worker counts as empty: hops, and the time for
/// which a backend server's clock is not looked at.
const LAPSE_MARGIN: Millis = Millis(250);
/// The backend server's clock may run so much slow, in percent.
const DRIFT_PERCENT: u64 = 2;
/// Runs per millisecond of an entry's wall clock.
pub(crate) const RUNS_PER_MS: u64 = 1_024;
/// Added to an entry's runs when one was too low: another entry's clock is ahead,
/// by less than an hour.
pub(crate) const RUN_LEAP: u64 = 3_600_000 * RUNS_PER_MS;
/// How often the waiting jobs are ranked anew.
const RANK_EVERY: Millis = Millis(40);
/// How often runs are searched for ones that stand still.
const SLOW_EVERY: Millis = Millis(100);
/// An agent that has been gone so long is no longer waited for at a take-over.
const DISMISS_AFTER: Millis = Millis(60_000);

/// What a dispatcher wants done.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum DispatchOutput {
    Propose(StateCommand),
    Message(SessionId, AcceptorMessage),
    /// A job that is not stored has ended.
    Ended(JobId, JobStatus),
}

/// Whose jobs a dispatcher runs; it decides how its runs are numbered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DispatcherId {
    /// The group's leader in a term.
    Group(Term),
    /// An entry in one life.
    Entry(u64),
}

impl DispatcherId {
    pub(crate) fn epoch(self) -> u64 {
        match self {
            Self::Group(term) => term.0,
            Self::Entry(life) => life,
        }
    }

    pub(crate) fn grant(self) -> Millis {
        match self {
            Self::Group(_) => GROUP_GRANT,
            Self::Entry(_) => ENTRY_GRANT,
        }
    }
}

/// The dispatcher of one leadership, or of one life of an entry.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(crate) id: DispatcherId,
    pub(crate) workers: Vec<Worker>,
    pub(crate) by_agent: Table<String, WorkerId>,
    pub(crate) jobs: Table<JobId, LiveJob>,
    // Jobs with tasks to start, most urgent first.
    pub(crate) waiting: Vec<(Rank, JobId)>,
    // Agents of former leaders that have not been heard, until they count as
    // empty.
    pub(crate) awaited: Vec<String>,
    pub(crate) await_until: Millis,
    // Ended jobs by the time of their end.
    pub(crate) ended: Vec<(Millis, JobId)>,
    // Duration against estimate, by queue's service and priority.
    pub(crate) duration_ratios: Table<(String, u32), f64>,
    pub(crate) demand: Demand,
    pub(crate) last_run: u64,
    pub(crate) ranked: Millis,
    pub(crate) searched: Millis,
    pub(crate) guards: Guards,
}

impl Dispatcher {
    /// A dispatcher without jobs.
    pub(crate) fn new(id: DispatcherId, now: Millis) -> Self {
        Self {
            id,
            workers: Vec::new(),
            by_agent: Table::default(),
            jobs: Table::default(),
            waiting: Vec::new(),
            awaited: Vec::new(),
            await_until: now,
            ended: Vec::new(),
            duration_ratios: Table::default(),
            demand: Demand::default(),
            last_run: 0,
            ranked: now,
            searched: now,
            guards: Guards::default(),
        }
    }

    /// Takes up all jobs of the book at the start of a term.
    pub(crate) fn take_over(
        term: Term,
        state: &ReplicatedState,
        now: Millis,
        guards: &Guards,
    ) -> Self {
        let mut new = Self::new(DispatcherId::Group(term), now);
        new.guards = guards.clone();
        new.awaited.clone_from(&state.agents);
        new.await_until = now + new.lapse();
        for (id, job) in state.jobs.iter() {
            match job {
                Job::Open(job) => {
                    let live = LiveJob::new(job, now, TaskPhase::Unknown, false);
                    new.jobs.insert(*id, live);
                }
                Job::Ended(_) => new.ended.push((now, *id)),
            }
        }
        events::TAKE_OVER.log(format_args!(
            "term={} open={} awaited={}",
            term.0,
            new.jobs.len(),
            new.awaited.len()
        ));
        new.settle_awaited(now);
        new
    }

    /// After so long without a grant a worker runs nothing.
    pub(crate) fn lapse(&self) -> Millis {
        if !self.guards.on(JobGuard::Lapse) {
            return Millis(0);
        }
        let grant = self.id.grant();
        grant + Millis(grant.0 * DRIFT_PERCENT / 100) + LAPSE_MARGIN
    }

    /// Makes the tasks of unknown state startable once no unheard agent can hold
    /// them.
    pub(crate) fn settle_awaited(&mut self, now: Millis) {
        if !self.awaited.is_empty() && now < self.await_until {
            return;
        }
        if !self.awaited.is_empty() {
            events::NOT_HEARD.log(format_args!("agents={:?} lapsed=true", self.awaited));
            self.awaited.clear();
        }
        let mut freed = Vec::new();
        for (id, job) in self.jobs.iter_mut() {
            let mut any = false;
            for task in job.tasks.iter_mut().flatten() {
                if task.phase == TaskPhase::Unknown {
                    task.phase = TaskPhase::Ready;
                    any = true;
                }
            }
            if any {
                freed.push(*id);
            }
        }
        for id in freed {
            self.queue(now, id);
        }
    }

    pub(crate) fn queue(&mut self, now: Millis, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if self.waiting.iter().any(|(_, known)| *known == id) {
            return;
        }
        let row = (self.demand.rank(now, job), id);
        let at = self.waiting.partition_point(|other| *other <= row);
        self.waiting.insert(at, row);
    }

    /// Number of jobs with these terms of which no task has started.
    pub(crate) fn count_pending(&self, settings: &QueueSettings) -> u64 {
        let waiting = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.started && j.definition.settings == *settings);
        waiting.count() as u64
    }

    /// True once a task of the job has started, as far as this leader knows.
    pub(crate) fn has_started(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|j| j.started)
    }

    /// Takes what applying an entry changed.
    pub(crate) fn changed(
        &mut self,
        now: Millis,
        state: &ReplicatedState,
        change: &StateChange,
        out: &mut Vec<DispatchOutput>,
    ) {
        match change {
            StateChange::Accepted(id) => {
                if let Some(job) = state.open(*id) {
                    self.jobs
                        .insert(*id, LiveJob::new(job, now, TaskPhase::Ready, false));
                    self.queue(now, *id);
                }
            }
            StateChange::TaskEnded(end) => self.on_recorded(now, state, end, out),
            StateChange::Ended(id, status) => self.on_ended(now, *id, *status, out),
        }
    }

    pub(crate) fn on_recorded(
        &mut self,
        now: Millis,
        state: &ReplicatedState,
        end: &RunEnd,
        out: &mut Vec<DispatchOutput>,
    ) {
        for worker in &mut self.workers {
            if worker.recorded(end) {
                send_recorded(worker, out);
            }
        }
        let done = state
            .open(end.task.job)
            .and_then(|j| j.task(end.task))
            .is_none_or(|t| t.done);
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        if let Some(task) = job.task_mut(end.task) {
            if done {
                task.phase = TaskPhase::Done;
            } else if task.phase == TaskPhase::Recording {
                task.phase = TaskPhase::Ready;
            }
        }
        if job.has_ready() {
            self.queue(now, end.task.job);
        }
    }

    pub(crate) fn on_ended(
        &mut self,
        now: Millis,
        id: JobId,
        status: JobStatus,
        out: &mut Vec<DispatchOutput>,
    ) {
        self.ended.push((now, id));
        self.drop_job(now, id, Some(status), out);
    }

    /// Forgets a job, and stops what still runs of it.
    pub(crate) fn drop_job(
        &mut self,
        now: Millis,
        id: JobId,
        status: Option<JobStatus>,
        out: &mut Vec<DispatchOutput>,
    ) {
        self.waiting.retain(|(_, known)| *known != id);
        let job = self.jobs.remove(&id);
        let age = job.map_or(Millis(0), |j| now.since(j.since));
        events::JOB_ENDED.log(format_args!("job={id} state={status:?} after_ms={}", age.0));
        for worker in &mut self.workers {
            let Some(session) = worker.session else {
                continue;
            };
            for ((task, run), placed) in worker.runs.iter_mut() {
                if task.job == id && !placed.stopping {
                    placed.stopping = true;
                    let order = AgentOrder::Stop {
                        task: *task,
                        run: *run,
                    };
                    out.push(DispatchOutput::Message(
                        session,
                        AcceptorMessage::Order(order),
                    ));
                }
            }
        }
    }

    /// Takes a job that is not stored. What runs of it are still being stopped come
    /// to their end first.
    pub(crate) fn submit(&mut self, now: Millis, since: Millis, id: JobId, job: &OpenJob) {
        let mut live = LiveJob::new(job, since, TaskPhase::Ready, true);
        for (at, worker) in self.workers.iter().enumerate() {
            for ((task, run), _) in worker.runs.iter() {
                if task.job == id
                    && let Some(known) = live.task_mut(*task)
                {
                    known.phase = TaskPhase::On(WorkerId(at));
                    known.run = *run;
                }
            }
        }
        self.demand.arrived(now, &live);
        self.jobs.insert(id, live);
        self.queue(now, id);
    }

    /// Nobody waits for this job any more.
    pub(crate) fn abandon(&mut self, now: Millis, id: JobId, out: &mut Vec<DispatchOutput>) {
        if self.jobs.get(&id).is_some_and(|j| j.transient) {
            self.drop_job(now, id, None, out);
        }
    }

    /// False only when no task of the job can have started.
    pub(crate) fn may_have_run(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(LiveJob::may_have_run)
    }

    /// True when a job that starts now cannot end in time to be of use.
    pub(crate) fn is_overdue(&self, now: Millis, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|job| job.outlook(now) == Outlook::Overdue)
    }

    /// True when a job cannot be of use any more and tasks of it still wait for room
    /// that other jobs could use in time.
    pub(crate) fn is_in_the_way(&self, now: Millis, id: JobId) -> bool {
        let waits = self.jobs.get(&id).is_some_and(LiveJob::has_ready);
        // Ranked by outlook first: the head tells whether any job is in time.
        let useful = self
            .waiting
            .first()
            .and_then(|(_, first)| self.jobs.get(first));
        let short = useful.is_some_and(|job| job.outlook(now) != Outlook::Overdue);
        waits && short && self.is_overdue(now, id)
    }

    /// True while a job is open here.
    pub(crate) fn holds(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some()
    }

    /// Regular work: silent workers, slow runs, old outcomes.
    pub(crate) fn tick(&mut self, now: Millis, keep: Millis, out: &mut Vec<DispatchOutput>) {
        if !self.awaited.is_empty() {
            self.settle_awaited(now);
        }
        let lapse = self.lapse();
        for at in 0..self.workers.len() {
            let worker = &self.workers[at];
            let silent = now.since(worker.granted) > lapse;
            if silent && !worker.runs.is_empty() {
                self.empty(now, WorkerId(at));
            }
            let worker = &mut self.workers[at];
            let gone = now.since(worker.granted) > DISMISS_AFTER && worker.session.is_none();
            if gone && worker.enrolled && matches!(self.id, DispatcherId::Group(_)) {
                worker.enrolled = false;
                out.push(DispatchOutput::Propose(StateCommand::Dismiss(
                    worker.agent.clone(),
                )));
            }
        }
        if now.since(self.searched) >= SLOW_EVERY {
            self.searched = now;
            self.move_slow(now, out);
        }
        if now.since(self.ranked) >= RANK_EVERY {
            self.ranked = now;
            self.rank_all(now);
        }
        self.forget(now, keep, out);
    }

    pub(crate) fn rank_all(&mut self, now: Millis) {
        let (jobs, demand) = (&self.jobs, &self.demand);
        for (rank, id) in &mut self.waiting {
            if let Some(job) = jobs.get(id) {
                *rank = demand.rank(now, job);
            }
        }
        self.waiting.sort_unstable();
    }

    pub(crate) fn forget(&mut self, now: Millis, keep: Millis, out: &mut Vec<DispatchOutput>) {
        let old = self.ended.partition_point(|(at, _)| now.since(*at) > keep);
        if old > 0 {
            let ids = self.ended.drain(..old).map(|(_, id)| id).collect();
            out.push(DispatchOutput::Propose(StateCommand::Forget(ids)));
        }
    }
}
