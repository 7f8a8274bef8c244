//! The entry: owns jobs from claim to answer.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::answers::give_up;
use super::chart::{Chart, ChartError};
use super::clock::Millis;
use super::entry_io::{EntryCounts, EntryInput, EntryLimits, EntryOutput, TeamLimits};
use super::fair_queue::{Allowance, FairQueue};
use super::ids::{DispatchNumber, Incarnation, JobKey};
use super::job::{
    Answer, Failure, Job, JobEvent, JobHandle, JobKind, JobState, Refusal, Submission, TaskProgress,
};
use super::placement::{Pool, PoolMember};
use super::table::Table;
use super::task::Dispatch;

const JOB_CHART: &str = include_str!("../../charts/job.toml");
/// Share of requests that may be retried.
const RETRY_SHARE: f64 = 0.1;
/// Most retries saved up.
const RETRY_BURST: f64 = 10.0;

/// A dispatch without its final verdict.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlightDispatch {
    pub(crate) handle: JobHandle,
    pub(crate) task: u32,
    pub(crate) agent: Incarnation,
    // Work charged to the team for it, in milliseconds.
    pub(crate) cost: f64,
    // The agent's clock when it was sent.
    pub(crate) stamp: Millis,
}

/// A team's rights and what it uses.
#[derive(Debug, Clone, Default)]
pub(crate) struct Team {
    share: u32,
    cap: Option<u32>,
    pub(crate) running: u32,
}

/// An entry's decisions.
#[derive(Debug, Clone)]
pub struct Entry {
    pub(crate) incarnation: Incarnation,
    pub(crate) home: String,
    pub(crate) limits: EntryLimits,
    pub(crate) lease: Millis,
    stopping: bool,
    pub(crate) chart: Chart<JobState, JobEvent>,
    pub(crate) jobs: Table<JobHandle, Job>,
    keys: Table<JobKey, JobHandle>,
    pub(crate) pools: Table<String, Pool>,
    pub(crate) queues: Table<String, FairQueue>,
    pub(crate) teams: Table<String, Team>,
    pub(crate) out: Table<DispatchNumber, InFlightDispatch>,
    pub(crate) last: DispatchNumber,
    // Settled, but the lease has lapsed.
    pub(crate) held: Vec<JobHandle>,
    retries: f64,
    rng: Pcg64Mcg,
    pub(crate) counts: EntryCounts,
}

impl Entry {
    /// An entry that knows no agents and holds no lease.
    ///
    /// # Errors
    ///
    /// `charts/job.toml` is unusable.
    pub fn new(
        incarnation: Incarnation,
        home: &str,
        limits: EntryLimits,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            incarnation,
            home: home.to_owned(),
            limits,
            lease: Millis(0),
            stopping: false,
            chart: Chart::parse(JOB_CHART)?,
            jobs: Table::default(),
            keys: Table::default(),
            pools: Table::default(),
            queues: Table::default(),
            teams: Table::default(),
            out: Table::default(),
            last: DispatchNumber(0),
            held: Vec::new(),
            retries: RETRY_BURST,
            rng: Pcg64Mcg::seed_from_u64(limits.seed),
            counts: EntryCounts::default(),
        })
    }

    /// Takes one input at `now` and appends what is to be done to `out`.
    ///
    /// ```
    /// use fulmardrift::{Entry, EntryInput, EntryLimits, Incarnation, JobKey, Millis};
    /// let mut entry = Entry::new(Incarnation(1), "dc1", EntryLimits::default()).unwrap();
    /// let mut out = Vec::new();
    /// entry.step(Millis(0), EntryInput::Lease(Millis(3_000)), &mut out).unwrap();
    /// assert!(out.is_empty());
    /// ```
    ///
    /// # Errors
    ///
    /// A job's chart has no transition for the input, which is then ignored.
    pub fn step(
        &mut self,
        now: Millis,
        input: EntryInput,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        match input {
            EntryInput::Submit(submission) => self.submit(now, submission, out),
            EntryInput::Poll(waiter, key) => self.poll(waiter, &key, out),
            EntryInput::Cancel(key) => self.cancel(now, &key, out)?,
            EntryInput::Claimed(handle, claimed) => self.claimed(now, handle, claimed, out)?,
            EntryInput::Relayed(handle, status, body) => {
                self.relayed(now, handle, status, body, out)?;
            }
            EntryInput::Reclaim(handle) => self.reclaim(handle, out)?,
            EntryInput::Inventory(handle, agent, tasks) => {
                self.inventory(now, handle, agent, tasks, out)?;
            }
            EntryInput::AgentUp {
                agent,
                service,
                data_centre,
                open,
            } => {
                self.agent_up(agent, service, data_centre, open, out);
            }
            EntryInput::AgentDead(agent) => self.agent_dead(now, agent, out)?,
            EntryInput::Linked(agent, slots, stamp) => self.linked(agent, slots, stamp, out),
            EntryInput::Unlinked(agent) => self.unlinked(agent),
            EntryInput::Credits(agent, count, stamp) => self.credits(agent, count, stamp),
            EntryInput::Recall(agent, count) => self.recall(agent, count, out),
            EntryInput::Verdict(verdict) => self.verdict(now, verdict, out)?,
            EntryInput::Lease(until) => {
                self.lease = self.lease.max(until);
                self.release_held(now, out);
            }
            EntryInput::Rejoined(incarnation) => self.rejoined(now, incarnation, out)?,
            EntryInput::Teams(rights) => self.set_teams(rights),
            EntryInput::Limits(limits) => self.limits = limits,
            EntryInput::Stop => self.stopping = true,
            EntryInput::Tick => self.tick(now, out)?,
        }
        self.assign(now, out);
        Ok(())
    }

    /// Counts since the start.
    #[must_use]
    pub fn counts(&self) -> EntryCounts {
        self.counts
    }

    /// True when no caller waits for an answer.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.jobs.iter().all(|(_, job)| job.answer.is_some()) && self.held.is_empty()
    }

    /// Number of dispatches without a final verdict.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.out.len()
    }

    pub(crate) fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    pub(crate) fn allowance(teams: &Table<String, Team>, team: &str) -> Allowance {
        match teams.get(&team.to_owned()) {
            None => Allowance {
                share: 1.0,
                room: None,
            },
            Some(t) => Allowance {
                share: f64::from(t.share.max(1)),
                room: t.cap.map(|cap| cap.saturating_sub(t.running)),
            },
        }
    }

    fn set_teams(&mut self, rights: Vec<TeamLimits>) {
        for (_, team) in self.teams.iter_mut() {
            team.cap = None;
            team.share = 1;
        }
        for right in rights {
            let team = self.teams.or_insert_with(right.team, Team::default);
            team.share = right.share;
            team.cap = right.cap;
        }
    }

    fn submit(&mut self, now: Millis, submission: Submission, out: &mut Vec<EntryOutput>) {
        let handle = submission.handle;
        if let Some(known) = self.keys.get(&submission.key).copied()
            && !self.forget_refused(known)
        {
            self.join(
                handle,
                known,
                submission.digest.as_deref(),
                submission.deadline,
                out,
            );
            return;
        }
        if let Some((refusal, retry)) = self.turn_away(&submission) {
            out.push(EntryOutput::Answer(handle, Answer::Refused(refusal, retry)));
            return;
        }
        if let JobKind::Request { .. } = submission.kind {
            self.retries = (self.retries + RETRY_SHARE).min(RETRY_BURST);
        }
        self.keys.insert(submission.key.clone(), handle);
        let mut job = Job::new(now, submission);
        if let Some(digest) = &job.digest {
            out.push(EntryOutput::Claim(handle, job.key.clone(), digest.clone()));
        } else {
            // No one else can name this job, so there is nothing to claim.
            job.state = JobState::Running;
        }
        let ready = job.state == JobState::Running;
        self.jobs.insert(handle, job);
        if ready {
            self.enqueue(handle);
        }
    }

    /// Drops a job that was refused, or whose claim was never answered, so that its
    /// key can be submitted anew.
    fn forget_refused(&mut self, handle: JobHandle) -> bool {
        let refused = |job: &Job| {
            let answer = job.answer.as_ref();
            matches!(
                answer,
                Some(Answer::Refused(..) | Answer::Failed(Failure::NoClaim))
            )
        };
        if !self.jobs.get(&handle).is_some_and(refused) {
            return false;
        }
        if let Some(job) = self.jobs.remove(&handle) {
            self.keys.remove(&job.key);
        }
        true
    }

    /// Why a submission is refused at the door.
    fn turn_away(&self, submission: &Submission) -> Option<(Refusal, Option<Millis>)> {
        if self.stopping {
            return Some((Refusal::Stopping, None));
        }
        let wait = self.expected_wait(&submission.service);
        if wait > self.limits.max_wait {
            return Some((
                Refusal::Overload,
                Some(wait - self.limits.max_wait + Millis(1_000)),
            ));
        }
        None
    }

    /// Joins a caller to a job that is already here.
    fn join(
        &mut self,
        waiter: JobHandle,
        known: JobHandle,
        digest: Option<&[u8]>,
        deadline: Millis,
        out: &mut Vec<EntryOutput>,
    ) {
        let Some(job) = self.jobs.get_mut(&known) else {
            return;
        };
        if job.digest.as_deref() != digest {
            let refused = Answer::Refused(Refusal::KeyConflict, None);
            out.push(EntryOutput::Answer(waiter, refused));
            return;
        }
        job.deadline = job.deadline.max(deadline);
        self.wait(waiter, known, out);
    }

    fn wait(&mut self, waiter: JobHandle, known: JobHandle, out: &mut Vec<EntryOutput>) {
        let held = self.held.contains(&known);
        let Some(job) = self.jobs.get_mut(&known) else {
            return;
        };
        match &job.answer {
            Some(answer) if !held => out.push(EntryOutput::Answer(waiter, answer.clone())),
            _ => job.waiters.push(waiter),
        }
    }

    fn poll(&mut self, waiter: JobHandle, key: &JobKey, out: &mut Vec<EntryOutput>) {
        if let Some(known) = self.keys.get(key).copied() {
            self.wait(waiter, known, out);
        } else {
            let lost = Answer::Failed(Failure::OwnerLost);
            out.push(EntryOutput::Answer(waiter, lost));
        }
    }

    /// True when this entry has the job.
    #[must_use]
    pub fn has_job(&self, key: &JobKey) -> bool {
        self.keys.get(key).is_some()
    }

    /// The service a job is for.
    #[must_use]
    pub fn service(&self, handle: JobHandle) -> Option<String> {
        self.jobs.get(&handle).map(|job| job.service.clone())
    }

    /// Where a job stands here, if it is here.
    #[must_use]
    pub fn state(&self, key: &JobKey) -> Option<JobState> {
        Some(self.jobs.get(self.keys.get(key)?)?.state)
    }

    fn cancel(
        &mut self,
        now: Millis,
        key: &JobKey,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        let Some(handle) = self.keys.get(key).copied() else {
            return Ok(());
        };
        match self.jobs.get(&handle) {
            Some(job) if job.answer.is_none() && job.state == JobState::Running => {
                let answer = give_up(job, Refusal::Cancelled, Failure::Cancelled);
                self.settle(now, handle, answer, out)
            }
            _ => Ok(()),
        }
    }

    fn agent_up(
        &mut self,
        agent: Incarnation,
        service: String,
        data_centre: String,
        open: bool,
        out: &mut Vec<EntryOutput>,
    ) {
        let pool = self.pools.or_insert_with(service, Pool::default);
        let server = pool.servers.or_insert_with(agent, PoolMember::default);
        server.data_centre = data_centre;
        let closed = server.open && !open;
        server.open = open;
        if closed && server.credits > 0 {
            out.push(EntryOutput::GiveBack(agent, server.credits));
            server.credits = 0;
        }
    }

    pub(crate) fn server(&mut self, agent: Incarnation) -> Option<&mut PoolMember> {
        let pools = self.pools.iter_mut();
        pools
            .map(|(_, pool)| pool)
            .find_map(|pool| pool.servers.get_mut(&agent))
    }

    fn linked(
        &mut self,
        agent: Incarnation,
        slots: u32,
        stamp: Millis,
        out: &mut Vec<EntryOutput>,
    ) {
        let Some(server) = self.server(agent) else {
            return;
        };
        server.linked = true;
        server.slots = slots;
        server.stamp = stamp;
        server.credits = 0;
        server.wanted = 0;
        let asked: Vec<Dispatch> = self
            .out
            .iter()
            .filter(|(_, o)| o.agent == agent)
            .filter_map(|(number, o)| self.order(*number, *o))
            .collect();
        if !asked.is_empty() {
            out.push(EntryOutput::Ask(agent, asked));
        }
    }

    fn unlinked(&mut self, agent: Incarnation) {
        if let Some(server) = self.server(agent) {
            server.linked = false;
            server.credits = 0;
            server.wanted = 0;
        }
    }

    fn credits(&mut self, agent: Incarnation, count: u32, stamp: Millis) {
        if let Some(server) = self.server(agent) {
            server.credits += count;
            server.wanted = server.wanted.saturating_sub(count);
            server.stamp = server.stamp.max(stamp);
        }
    }

    fn recall(&mut self, agent: Incarnation, count: u32, out: &mut Vec<EntryOutput>) {
        if let Some(server) = self.server(agent) {
            let given = server.credits.min(count);
            server.credits -= given;
            self.counts.credit_messages += 2;
            out.push(EntryOutput::GiveBack(agent, given));
        }
    }

    fn agent_dead(
        &mut self,
        now: Millis,
        agent: Incarnation,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        for (_, pool) in self.pools.iter_mut() {
            pool.servers.remove(&agent);
            pool.estimator.forget(agent);
        }
        let lost = self.out.iter().filter(|(_, o)| o.agent == agent);
        let lost: Vec<(DispatchNumber, InFlightDispatch)> = lost.map(|(n, o)| (*n, *o)).collect();
        for (number, o) in lost {
            self.out.remove(&number);
            self.team_freed(o.handle);
            let failure = Failure::AgentLost { task: o.task };
            if !self.retry(now, o.handle) {
                self.settle(now, o.handle, Answer::Failed(failure), out)?;
            }
        }
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, j)| j.awaited.binary_search(&agent).is_ok());
        let awaiting: Vec<JobHandle> = jobs.map(|(handle, _)| *handle).collect();
        for handle in awaiting {
            self.inventory(now, handle, agent, None, out)?;
        }
        Ok(())
    }

    /// Sends a repeatable request again, within the retry budget.
    pub(crate) fn retry(&mut self, now: Millis, handle: JobHandle) -> bool {
        let Some(job) = self.jobs.get_mut(&handle) else {
            return false;
        };
        let repeatable = job.kind == JobKind::Request { repeatable: true };
        if !repeatable || job.answer.is_some() || self.retries < 1.0 || now >= job.deadline {
            return false;
        }
        let Some(task) = job.tasks.last().cloned() else {
            return false;
        };
        self.retries -= 1.0;
        self.counts.retried += 1;
        // A try of its own to the gates, which start no task twice.
        job.tasks.push(super::job::Task {
            progress: TaskProgress::Waiting,
            ..task
        });
        self.enqueue(handle);
        true
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<EntryOutput>) -> Result<(), ChartError> {
        let mut due = Vec::new();
        for (handle, job) in self.jobs.iter().filter(|(_, job)| job.answer.is_none()) {
            if now >= job.deadline {
                due.push((*handle, give_up(job, Refusal::Deadline, Failure::Deadline)));
            } else if self.never_fits(now, job) {
                due.push((*handle, Answer::Refused(Refusal::NeverFits, None)));
            }
        }
        for (handle, answer) in due {
            self.settle(now, handle, answer, out)?;
        }
        self.forget_old(now);
        Ok(())
    }

    fn never_fits(&self, now: Millis, job: &Job) -> bool {
        let waited = now.since(job.arrived) >= self.limits.grace;
        let served = self
            .pools
            .get(&job.service)
            .is_some_and(|p| !p.servers.is_empty());
        job.state == JobState::Running && waited && !served && !job.started
    }

    fn forget_old(&mut self, now: Millis) {
        let retain = self.limits.retain;
        let keys = &mut self.keys;
        let held = &self.held;
        self.jobs.retain(|handle, job| {
            let old = job.answer.is_some() && now.since(job.settled) > retain;
            if old && !held.contains(handle) {
                keys.remove(&job.key);
                return false;
            }
            true
        });
    }
}
