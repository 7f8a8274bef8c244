//! Dispatching: which task starts where, and what becomes of it.
//!
//! The control group's leader dispatches the stored jobs, each entry those jobs of
//! its callers that are not stored.

use super::book::{Book, Change, End, Entry, Job, OpenJob};
use super::demand::{Demand, Rank};
use super::live::{LiveJob, Outlook, Phase};
use super::spec::{Ending, JobId, Plan, Resources, Run, State, TaskId, Terms};
use super::wire::{Denial, Down, Order, Report, Server};
use super::worker::{Placed, SessionId, Worker, WorkerId};
use crate::control::log::Term;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// An agent may act for the group so long after it asked; an election fits in.
pub(crate) const GROUP_GRANT: Millis = Millis(1_500);
/// An agent may act for an entry so long after it asked. A caller that lost its
/// entry submits again after 1.3 s; the agent has stopped the job's runs by then.
pub(crate) const ENTRY_GRANT: Millis = Millis(800);
/// Added to grant and lease before a silent worker counts as empty: clock drift
/// and hops.
const LAPSE_MARGIN: Millis = Millis(250);
/// The backend server's clock may run so much slow, in percent.
const DRIFT_PERCENT: u64 = 2;
/// Bits of a stored job's run below the term.
const TERM_BITS: u32 = 32;
/// Runs per millisecond of an entry's wall clock.
const RUNS_PER_MS: u64 = 1_024;
/// Added to an entry's runs when one was too low: another entry's clock is ahead,
/// by less than an hour.
const RUN_LEAP: u64 = 3_600_000 * RUNS_PER_MS;
/// Jobs that find no room in a row before the rest is left for later.
const MISSES: usize = 12;
/// How often the waiting jobs are ranked anew.
const RANK_EVERY: Millis = Millis(40);
/// How often runs are searched for ones that stand still.
const SLOW_EVERY: Millis = Millis(100);
/// A run is not judged slow before this age: progress is rough at first.
const SLOW_AGE: Millis = Millis(200);
/// Milliseconds that a restart takes at least, with its hops.
const SLOW_LEAST: f64 = 50.0;
/// A run is slow when it is likely to last so many times what a restart takes.
const SLOW_TIMES: f64 = 2.0;
/// A task is moved for slowness at most so often.
const MOVES: u32 = 2;
/// Weight of the latest run in a queue's learned ratio of duration to estimate.
const RATIO_WEIGHT: f64 = 0.05;
/// Data elsewhere makes a task so much slower, for placement.
const OTHER_RACK: f64 = 1.5;
/// An agent that has been gone so long is no longer waited for at a take-over.
const DISMISS_AFTER: Millis = Millis(60_000);

/// What a dispatcher wants done.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum DispatchOutput {
    Propose(Entry),
    Down(SessionId, Down),
    /// A job that is not stored has ended.
    Ended(JobId, State),
}

/// Whose jobs a dispatcher runs; it decides how its runs are numbered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reign {
    /// The group's leader in a term.
    Group(Term),
    /// An entry in one life.
    Entry(u64),
}

impl Reign {
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
    reign: Reign,
    // Longest lease of a backend server.
    hold: Millis,
    workers: Vec<Worker>,
    by_agent: Table<String, WorkerId>,
    jobs: Table<JobId, LiveJob>,
    // Jobs with tasks to start, most urgent first.
    waiting: Vec<(Rank, JobId)>,
    // Agents of former leaders that have not been heard, until they count as
    // empty.
    awaited: Vec<String>,
    await_until: Millis,
    // Ended jobs by the time of their end.
    ended: Vec<(Millis, JobId)>,
    // Duration against estimate, by queue's service and priority.
    ratios: Table<(String, u32), f64>,
    demand: Demand,
    last_run: u64,
    ranked: Millis,
    searched: Millis,
}

impl Dispatcher {
    /// A dispatcher without jobs.
    pub(crate) fn new(reign: Reign, hold: Millis, now: Millis) -> Self {
        Self {
            reign,
            hold,
            workers: Vec::new(),
            by_agent: Table::default(),
            jobs: Table::default(),
            waiting: Vec::new(),
            awaited: Vec::new(),
            await_until: now,
            ended: Vec::new(),
            ratios: Table::default(),
            demand: Demand::default(),
            last_run: 0,
            ranked: now,
            searched: now,
        }
    }

    /// Takes up all jobs of the book at the start of a term.
    pub(crate) fn take_over(term: Term, hold: Millis, book: &Book, now: Millis) -> Self {
        let mut new = Self::new(Reign::Group(term), hold, now);
        new.awaited.clone_from(&book.agents);
        new.await_until = now + new.lapse();
        for (id, job) in book.jobs.iter() {
            match job {
                Job::Open(job) => {
                    let live = LiveJob::new(job, now, Phase::Unknown, false);
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
    fn lapse(&self) -> Millis {
        let hold = self.hold.0;
        self.reign.grant() + Millis(hold + hold * DRIFT_PERCENT / 100) + LAPSE_MARGIN
    }

    /// Makes the tasks of unknown state startable once no unheard agent can hold
    /// them.
    fn settle_awaited(&mut self, now: Millis) {
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
                if task.phase == Phase::Unknown {
                    task.phase = Phase::Ready;
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

    fn queue(&mut self, now: Millis, id: JobId) {
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
    pub(crate) fn count_pending(&self, terms: &Terms) -> u64 {
        let waiting = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.started && j.plan.terms == *terms);
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
        book: &Book,
        change: &Change,
        out: &mut Vec<DispatchOutput>,
    ) {
        match change {
            Change::Accepted(id) => {
                if let Some(job) = book.open(*id) {
                    self.jobs
                        .insert(*id, LiveJob::new(job, now, Phase::Ready, false));
                    self.queue(now, *id);
                }
            }
            Change::TaskEnded(end) => self.on_recorded(now, book, end, out),
            Change::Ended(id, state) => self.on_ended(now, *id, *state, out),
        }
    }

    fn on_recorded(&mut self, now: Millis, book: &Book, end: &End, out: &mut Vec<DispatchOutput>) {
        for worker in &mut self.workers {
            if worker.recorded(end) {
                tell_recorded(worker, out);
            }
        }
        let done = book
            .open(end.task.job)
            .and_then(|j| j.task(end.task))
            .is_none_or(|t| t.done);
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        if let Some(task) = job.task_mut(end.task) {
            if done {
                task.phase = Phase::Done;
            } else if task.phase == Phase::Ending {
                task.phase = Phase::Ready;
            }
        }
        if job.has_ready() {
            self.queue(now, end.task.job);
        }
    }

    fn on_ended(&mut self, now: Millis, id: JobId, state: State, out: &mut Vec<DispatchOutput>) {
        self.ended.push((now, id));
        self.drop_job(now, id, Some(state), out);
    }

    /// Forgets a job, and stops what still runs of it.
    fn drop_job(
        &mut self,
        now: Millis,
        id: JobId,
        state: Option<State>,
        out: &mut Vec<DispatchOutput>,
    ) {
        self.waiting.retain(|(_, known)| *known != id);
        let job = self.jobs.remove(&id);
        let age = job.map_or(Millis(0), |j| now.since(j.since));
        events::JOB_ENDED.log(format_args!("job={id} state={state:?} after_ms={}", age.0));
        for worker in &mut self.workers {
            let Some(session) = worker.session else {
                continue;
            };
            for ((task, run), placed) in worker.runs.iter_mut() {
                if task.job == id && !placed.stopping {
                    placed.stopping = true;
                    let order = Order::Stop {
                        task: *task,
                        run: *run,
                    };
                    out.push(DispatchOutput::Down(session, Down::Order(order)));
                }
            }
        }
    }

    /// Takes a job that is not stored. What runs of it are still being stopped come
    /// to their end first.
    pub(crate) fn submit(&mut self, now: Millis, since: Millis, id: JobId, job: &OpenJob) {
        let mut live = LiveJob::new(job, since, Phase::Ready, true);
        for (at, worker) in self.workers.iter().enumerate() {
            for ((task, run), _) in worker.runs.iter() {
                if task.job == id
                    && let Some(known) = live.task_mut(*task)
                {
                    known.phase = Phase::On(WorkerId(at));
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
        if self.jobs.get(&id).is_some_and(|j| j.loose) {
            self.drop_job(now, id, None, out);
        }
    }

    /// True once a run of the job has been ordered.
    pub(crate) fn has_ordered(&self, id: JobId) -> bool {
        let ordered = |job: &LiveJob| job.tasks.iter().flatten().any(|t| t.run.0 > 0);
        self.jobs.get(&id).is_some_and(ordered)
    }

    /// True when a job that starts now cannot end in time to be of use.
    pub(crate) fn is_overdue(&self, now: Millis, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|job| job.outlook(now) == Outlook::Overdue)
    }

    /// True while a job is open here.
    pub(crate) fn holds(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some()
    }

    /// An agent's session is up; returns the runs that it should hold.
    pub(crate) fn connected(
        &mut self,
        now: Millis,
        agent: &str,
        session: SessionId,
    ) -> Vec<(TaskId, Run)> {
        let id = self.worker_id(now, agent);
        let worker = &mut self.workers[id.0];
        worker.session = Some(session);
        worker.ready = false;
        worker.heard = now;
        worker.granted = now;
        // Only a later leader of the group must know whom to wait for.
        worker.enrolled |= matches!(self.reign, Reign::Entry(_));
        worker.runs.iter().map(|(key, _)| *key).collect()
    }

    fn worker_id(&mut self, now: Millis, agent: &str) -> WorkerId {
        if let Some(id) = self.by_agent.get(&agent.to_owned()) {
            return *id;
        }
        let id = WorkerId(self.workers.len());
        self.workers.push(Worker::new(agent, now));
        self.by_agent.insert(agent.to_owned(), id);
        id
    }

    fn by_session(&mut self, session: SessionId) -> Option<WorkerId> {
        let at = self
            .workers
            .iter()
            .position(|w| w.session == Some(session))?;
        Some(WorkerId(at))
    }

    /// A session is gone.
    pub(crate) fn disconnected(&mut self, session: SessionId) {
        if let Some(id) = self.by_session(session) {
            let worker = &mut self.workers[id.0];
            worker.session = None;
            worker.ready = false;
            events::AGENT_LOST.log(format_args!(
                "agent={} runs={} granted={}",
                worker.agent,
                worker.runs.len(),
                worker.granted.0
            ));
        }
    }

    /// An agent's heartbeat; true when the agent may be granted the right to act.
    pub(crate) fn beat(&mut self, now: Millis, session: SessionId) -> bool {
        let Some(id) = self.by_session(session) else {
            return false;
        };
        self.workers[id.0].heard = now;
        self.workers[id.0].granted = now;
        true
    }

    /// An agent's report.
    pub(crate) fn report(
        &mut self,
        now: Millis,
        book: Option<&Book>,
        session: SessionId,
        report: Report,
        out: &mut Vec<DispatchOutput>,
    ) {
        let Some(id) = self.by_session(session) else {
            return;
        };
        self.workers[id.0].heard = now;
        match report {
            Report::Inventory {
                epoch,
                server,
                runs,
            } => {
                if epoch == self.reign.epoch() {
                    self.take_inventory(now, book, id, server, &runs, out);
                }
            }
            Report::Server(server) => {
                if server.as_ref().map_or(0, |s| s.life) != self.workers[id.0].life() {
                    self.empty(now, id);
                }
                self.workers[id.0].set_server(server);
            }
            Report::Started(task, run) => self.on_started(now, id, (task, run)),
            Report::NotStarted { task, run, reason } => {
                self.on_not_started(now, id, (task, run), reason);
            }
            Report::Ends { life, ends } => self.on_ends(now, id, life, &ends, out),
            Report::Others(used) => self.workers[id.0].set_others(used),
            Report::Progress(rows) => {
                for (task, run, percent) in rows {
                    if let Some(placed) = self.workers[id.0].runs.get_mut(&(task, run)) {
                        placed.progress = Some((percent, now));
                    }
                }
            }
        }
    }

    fn take_inventory(
        &mut self,
        now: Millis,
        book: Option<&Book>,
        id: WorkerId,
        server: Option<Server>,
        runs: &[(TaskId, Run)],
        out: &mut Vec<DispatchOutput>,
    ) {
        let worker = &mut self.workers[id.0];
        if server.as_ref().map_or(0, |s| s.life) != worker.life() {
            worker.set_server(server);
        } else {
            worker.server = server;
        }
        worker.ready = true;
        let gone: Vec<_> = worker
            .runs
            .iter()
            .map(|(key, _)| *key)
            .filter(|k| !runs.contains(k))
            .collect();
        events::INVENTORY.log(format_args!(
            "agent={} life={} runs={} gone={}",
            worker.agent,
            worker.life(),
            runs.len(),
            gone.len()
        ));
        let agent = worker.agent.clone();
        for key in gone {
            self.release(now, id, key);
        }
        for key in runs {
            self.adopt(now, id, *key, out);
        }
        if book.is_some_and(|book| book.agents.binary_search(&agent).is_ok()) {
            self.workers[id.0].enrolled = true;
        } else if matches!(self.reign, Reign::Group(_)) {
            out.push(DispatchOutput::Propose(Entry::Enroll(agent.clone())));
        }
        if let Ok(at) = self.awaited.binary_search(&agent) {
            self.awaited.remove(at);
            if self.awaited.is_empty() {
                self.settle_awaited(now);
            }
        }
    }

    /// Agents that the log names from now on.
    pub(crate) fn enrolled(&mut self, book: &Book) {
        for worker in &mut self.workers {
            worker.enrolled = book.agents.binary_search(&worker.agent).is_ok();
        }
    }

    /// Takes up a run that an agent lists: one that a former leader ordered, or an
    /// own one.
    fn adopt(
        &mut self,
        now: Millis,
        id: WorkerId,
        (task, run): (TaskId, Run),
        out: &mut Vec<DispatchOutput>,
    ) {
        if self.workers[id.0].runs.get(&(task, run)).is_some() {
            return;
        }
        let job = self.jobs.get(&task.job);
        let need = job.map_or(Resources::default(), |j| j.need(task));
        let estimate = job.map_or(Millis(0), |j| j.estimate(task));
        let live = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task));
        let mut wanted = false;
        if let Some(live) = live
            && live.phase == Phase::Unknown
        {
            live.phase = Phase::On(id);
            live.run = run;
            wanted = true;
        }
        let placed = Placed {
            need,
            ordered: now,
            started: None,
            expected: estimate,
            nominal: estimate,
            progress: None,
            stopping: !wanted,
        };
        let worker = &mut self.workers[id.0];
        worker.put((task, run), placed);
        if let (false, Some(session)) = (wanted, worker.session) {
            out.push(DispatchOutput::Down(
                session,
                Down::Order(Order::Stop { task, run }),
            ));
        }
    }

    /// A run is over or never was: its room is free, and its task can be started
    /// again unless its end is being recorded.
    fn release(&mut self, now: Millis, id: WorkerId, (task, run): (TaskId, Run)) {
        self.workers[id.0].take((task, run));
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(live) = job.task_mut(task)
            && live.phase == Phase::On(id)
            && live.run == run
        {
            live.phase = Phase::Ready;
            self.queue(now, task.job);
        }
    }

    /// Nothing runs on this worker any more.
    fn empty(&mut self, now: Millis, id: WorkerId) {
        let keys: Vec<_> = self.workers[id.0]
            .runs
            .iter()
            .map(|(key, _)| *key)
            .collect();
        if !keys.is_empty() {
            let agent = &self.workers[id.0].agent;
            events::WORKER_EMPTY.log(format_args!("agent={agent} runs={}", keys.len()));
        }
        for key in keys {
            self.release(now, id, key);
        }
    }

    fn on_started(&mut self, now: Millis, id: WorkerId, key: (TaskId, Run)) {
        if let Some(placed) = self.workers[id.0].runs.get_mut(&key) {
            placed.started.get_or_insert(now);
        }
        if let Some(job) = self.jobs.get_mut(&key.0.job) {
            job.started = true;
        }
    }

    fn on_not_started(&mut self, now: Millis, id: WorkerId, key: (TaskId, Run), reason: Denial) {
        events::NOT_STARTED.log(format_args!(
            "task={} run={} agent={} reason={reason:?}",
            key.0, key.1.0, self.workers[id.0].agent
        ));
        if reason == Denial::Stale {
            self.last_run = self.last_run.max(key.1.0) + RUN_LEAP;
        }
        match reason {
            Denial::Unwell => self.workers[id.0].failed(now),
            Denial::Room => {
                self.workers[id.0].is_full(now);
                self.release(now, id, key);
                return;
            }
            Denial::Closed | Denial::Stale => {}
        }
        if let Some(live) = self
            .jobs
            .get_mut(&key.0.job)
            .and_then(|j| j.task_mut(key.0))
        {
            live.avoid = Some(id);
        }
        self.release(now, id, key);
    }

    fn on_ends(
        &mut self,
        now: Millis,
        id: WorkerId,
        life: u64,
        ends: &[(u64, End)],
        out: &mut Vec<DispatchOutput>,
    ) {
        if self.workers[id.0].life() == 0 {
            // The inventory, which follows, names the backend server.
            self.workers[id.0].set_server(Some(unnamed(life)));
        }
        if life != self.workers[id.0].life() {
            return;
        }
        let mut record = Vec::new();
        for (number, end) in ends {
            if !self.workers[id.0].is_new_end(*number) {
                continue;
            }
            self.workers[id.0].note_end(*number);
            if self.take_end(now, id, end, out) {
                self.workers[id.0].await_record(*number, end);
                record.push(*end);
            }
        }
        if record.is_empty() {
            tell_recorded(&self.workers[id.0], out);
        } else {
            out.push(DispatchOutput::Propose(Entry::Ends(record)));
        }
    }

    /// Takes an end; true when it must be recorded before it is forgotten.
    fn take_end(
        &mut self,
        now: Millis,
        id: WorkerId,
        end: &End,
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        let key = (end.task, end.run);
        let placed = self.workers[id.0].take(key);
        if let Some(placed) = &placed {
            match end.how {
                Ending::Done => self.learn(now, id, end.task, placed),
                Ending::Failed => self.workers[id.0].failed(now),
                Ending::Lost => {}
            }
        }
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return false;
        };
        let loose = job.loose;
        let Some(live) = job.task_mut(end.task) else {
            return false;
        };
        let current = live.phase == Phase::On(id) && live.run == end.run;
        if !current && live.phase != Phase::Unknown {
            return false;
        }
        if end.how != Ending::Done {
            events::RUN_ENDED.log(format_args!(
                "task={} run={} agent={} how={:?}",
                end.task, end.run.0, self.workers[id.0].agent, end.how
            ));
            live.avoid = Some(id);
        }
        match end.how {
            Ending::Done if loose => live.phase = Phase::Done,
            Ending::Failed if loose => {
                live.fails += 1;
                live.phase = Phase::Ready;
            }
            Ending::Done | Ending::Failed => live.phase = Phase::Ending,
            Ending::Lost if current => live.phase = Phase::Ready,
            Ending::Lost => {}
        }
        job.started = true;
        let recorded = !loose && end.how != Ending::Lost;
        if loose && let Some(state) = job.outcome() {
            self.drop_job(now, end.task.job, Some(state), out);
            out.push(DispatchOutput::Ended(end.task.job, state));
        } else if !recorded {
            self.queue(now, end.task.job);
        }
        recorded
    }

    fn learn(&mut self, now: Millis, id: WorkerId, task: TaskId, placed: &Placed) {
        self.workers[id.0].succeeded(now, placed);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(started) = placed.started else {
            return;
        };
        let estimate = job.estimate(task).as_f64().max(1.0);
        let pace = self.workers[id.0].pace.max(0.1);
        let seen = now.since(started).as_f64() / pace / estimate;
        let key = (job.plan.terms.service.clone(), job.plan.terms.priority);
        let ratio = self.ratios.or_insert_with(key, || 1.0);
        *ratio += (seen.clamp(0.2, 5.0) - *ratio) * RATIO_WEIGHT;
    }

    fn ratio(&self, job: &LiveJob) -> f64 {
        let key = (job.plan.terms.service.clone(), job.plan.terms.priority);
        self.ratios.get(&key).copied().unwrap_or(1.0)
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
            if gone && worker.enrolled && matches!(self.reign, Reign::Group(_)) {
                worker.enrolled = false;
                out.push(DispatchOutput::Propose(Entry::Dismiss(
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

    fn rank_all(&mut self, now: Millis) {
        let (jobs, demand) = (&self.jobs, &self.demand);
        for (rank, id) in &mut self.waiting {
            if let Some(job) = jobs.get(id) {
                *rank = demand.rank(now, job);
            }
        }
        self.waiting.sort_unstable();
    }

    fn forget(&mut self, now: Millis, keep: Millis, out: &mut Vec<DispatchOutput>) {
        let old = self.ended.partition_point(|(at, _)| now.since(*at) > keep);
        if old > 0 {
            let ids = self.ended.drain(..old).map(|(_, id)| id).collect();
            out.push(DispatchOutput::Propose(Entry::Forget(ids)));
        }
    }

    /// Stops runs that stand still or crawl, so that they start elsewhere.
    fn move_slow(&mut self, now: Millis, out: &mut Vec<DispatchOutput>) {
        let mut slow = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            for (key, placed) in worker.runs.iter() {
                if !placed.stopping && is_slow(placed) {
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
            out.push(DispatchOutput::Down(
                session,
                Down::Order(Order::Stop { task, run }),
            ));
        }
    }

    /// Starts what can be started.
    pub(crate) fn place(
        &mut self,
        now: Millis,
        wall: Millis,
        closed: &[String],
        out: &mut Vec<DispatchOutput>,
    ) {
        if self.waiting.is_empty() {
            return;
        }
        if let Reign::Entry(_) = self.reign {
            self.last_run = self.last_run.max(wall.0 * RUNS_PER_MS);
        }
        let mut misses = 0;
        let mut left = Vec::new();
        let mut waiting = std::mem::take(&mut self.waiting).into_iter();
        for (rank, id) in waiting.by_ref() {
            let before = out.len();
            if self.place_job(now, closed, id, out) {
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
    fn place_job(
        &mut self,
        now: Millis,
        closed: &[String],
        id: JobId,
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        let Some(mut live) = self.jobs.remove(&id) else {
            return true;
        };
        let mut whole = true;
        for step in 0..live.tasks.len() {
            let any = live.tasks[step].iter().any(|t| t.phase == Phase::Ready);
            if !any || !live.is_due(step) {
                continue;
            }
            for index in 0..live.tasks[step].len() {
                if live.tasks[step][index].phase != Phase::Ready {
                    continue;
                }
                let key = TaskId {
                    job: id,
                    step: u32::try_from(step).unwrap_or(u32::MAX),
                    index: u32::try_from(index).unwrap_or(u32::MAX),
                };
                if !self.place_task(now, closed, &mut live, key, out) {
                    whole = false;
                    break;
                }
            }
        }
        self.jobs.insert(id, live);
        whole
    }

    fn place_task(
        &mut self,
        now: Millis,
        closed: &[String],
        job: &mut LiveJob,
        key: TaskId,
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        let avoid = job.task_mut(key).and_then(|t| t.avoid);
        let Some(id) = self.choose(now, closed, &job.plan, key, avoid) else {
            return false;
        };
        self.last_run += 1;
        let run = match self.reign {
            Reign::Group(term) => Run((term.0 << TERM_BITS) + self.last_run),
            Reign::Entry(_) => Run(self.last_run),
        };
        if let Some(task) = job.task_mut(key) {
            task.phase = Phase::On(id);
            task.run = run;
        }
        let nominal = Millis(scale(job.estimate(key), self.ratio(job)));
        let worker = &mut self.workers[id.0];
        let placed = Placed {
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
                "task={key} run={} agent={} pace={:.2} used_cpu={} expected_ms={}",
                run.0, worker.agent, worker.pace, worker.used.cpu, placed.expected.0
            ));
            let order = Order::Start {
                life,
                task: key,
                run,
                need: job.need(key),
                payload: job.plan.payload.clone(),
            };
            out.push(DispatchOutput::Down(session, Down::Order(order)));
        }
        true
    }

    /// The worker on which the task is likely to end first.
    fn choose(
        &self,
        now: Millis,
        closed: &[String],
        plan: &Plan,
        key: TaskId,
        avoid: Option<WorkerId>,
    ) -> Option<WorkerId> {
        let step = plan.step(key)?;
        let mut best: Option<(f64, WorkerId)> = None;
        for (at, worker) in self.workers.iter().enumerate() {
            let Some(server) = worker.open(now) else {
                continue;
            };
            let mut used = worker.used;
            used.add(worker.others);
            let fits = server.capacity.fits(used, step.need);
            let out = closed.binary_search(&server.place).is_ok();
            let labelled = step
                .label
                .as_ref()
                .is_none_or(|l| server.labels.contains(l));
            if !fits || out || !labelled || server.service != plan.terms.service {
                continue;
            }
            if step.spread > 0 && worker.of_step(key) >= step.spread as usize {
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

fn tell_recorded(worker: &Worker, out: &mut Vec<DispatchOutput>) {
    if let Some(session) = worker.session {
        let down = Down::Recorded {
            life: worker.life(),
            upto: worker.recorded_upto(),
        };
        out.push(DispatchOutput::Down(session, down));
    }
}

/// A backend server of which only the life is known.
fn unnamed(life: u64) -> Server {
    Server {
        life,
        id: String::new(),
        service: String::new(),
        place: String::new(),
        capacity: Resources::default(),
        labels: Vec::new(),
        leaving: true,
    }
}

/// A time multiplied; durations stay far below 2^53 ms.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scale(time: Millis, by: f64) -> u64 {
    (time.as_f64() * by.max(0.0)) as u64
}

/// True when a run is likely to last much longer than a new start elsewhere.
fn is_slow(placed: &Placed) -> bool {
    let (Some(started), Some((percent, at))) = (placed.started, placed.progress) else {
        return false;
    };
    let age = at.since(started);
    let usual = placed.expected.as_f64().max(SLOW_LEAST);
    if age < SLOW_AGE || age.as_f64() < usual {
        return false;
    }
    let done = f64::from(percent.max(1)) / 100.0;
    let left = age.as_f64() * (1.0 - done) / done;
    left > usual * SLOW_TIMES
}
