//! An entry: owns jobs from their claim to their answer.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::answers::abandoned_answer;
use super::chart::{Chart, ChartError};
use super::clock::Millis;
use super::entry_io::{EntryCounts, EntryInput, EntryLimits, EntryOutput, TeamLimits};
use super::fair_queue::{FairQueue, TeamAllowance};
use super::ids::{DispatchNumber, Incarnation, JobKey};
use super::job::{
    Answer, Failure, Job, JobEvent, JobHandle, JobKind, JobState, Refusal, Submission, TaskProgress,
};
use super::placement::{Pool, PoolMember};
use super::table::Table;
use super::task::Dispatch;

const JOB_CHART: &str = include_str!("../../charts/job.toml");
/// Retries added to the budget by each request.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of retries in the budget.
const RETRY_BURST: f64 = 10.0;

/// A dispatch without a final verdict.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlightDispatch {
    pub(crate) handle: JobHandle,
    pub(crate) task: u32,
    pub(crate) agent: Incarnation,
    // Expected run time charged to the team, in milliseconds.
    pub(crate) cost: f64,
    // The latest known time of the agent's clock when it was sent.
    pub(crate) stamp: Millis,
}

/// A team's limits, and the number of its unfinished dispatches.
#[derive(Debug, Clone, Default)]
pub(crate) struct Team {
    share: u32,
    cap: Option<u32>,
    pub(crate) running: u32,
}

/// The state machine of an entry.
#[derive(Debug, Clone)]
pub struct Entry {
    pub(crate) incarnation: Incarnation,
    pub(crate) data_centre: String,
    pub(crate) limits: EntryLimits,
    pub(crate) lease_expires_at: Millis,
    stopping: bool,
    pub(crate) chart: Chart<JobState, JobEvent>,
    pub(crate) jobs: Table<JobHandle, Job>,
    handles_by_key: Table<JobKey, JobHandle>,
    pub(crate) pools: Table<String, Pool>,
    pub(crate) queues: Table<String, FairQueue>,
    pub(crate) teams: Table<String, Team>,
    pub(crate) in_flight: Table<DispatchNumber, InFlightDispatch>,
    pub(crate) last_number: DispatchNumber,
    // Settled jobs whose answers are withheld because the lease has expired.
    pub(crate) withheld: Vec<JobHandle>,
    retry_budget: f64,
    rng: Pcg64Mcg,
    pub(crate) counts: EntryCounts,
}

impl Entry {
    /// Creates an entry that knows no agents and holds no lease.
    ///
    /// # Errors
    ///
    /// Fails if `charts/job.toml` cannot be parsed or is ambiguous.
    pub fn new(
        incarnation: Incarnation,
        data_centre: &str,
        limits: EntryLimits,
    ) -> Result<Self, ChartError> {
        Ok(Self {
            incarnation,
            data_centre: data_centre.to_owned(),
            limits,
            lease_expires_at: Millis(0),
            stopping: false,
            chart: Chart::parse(JOB_CHART)?,
            jobs: Table::default(),
            handles_by_key: Table::default(),
            pools: Table::default(),
            queues: Table::default(),
            teams: Table::default(),
            in_flight: Table::default(),
            last_number: DispatchNumber(0),
            withheld: Vec::new(),
            retry_budget: RETRY_BURST,
            rng: Pcg64Mcg::seed_from_u64(limits.seed),
            counts: EntryCounts::default(),
        })
    }

    /// Processes one input at `now` and appends the resulting actions to `out`.
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
    /// Fails if the job chart has no transition for the input, which is then ignored.
    pub fn step(
        &mut self,
        now: Millis,
        input: EntryInput,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        match input {
            EntryInput::Submit(submission) => self.handle_submit(now, submission, out),
            EntryInput::Poll(waiter, key) => self.handle_poll(waiter, &key, out),
            EntryInput::Cancel(key) => self.handle_cancel(now, &key, out)?,
            EntryInput::Claimed(handle, result) => self.handle_claim(now, handle, result, out)?,
            EntryInput::Relayed(handle, status, body) => {
                self.handle_relayed(now, handle, status, body, out)?;
            }
            EntryInput::Reclaim(handle) => self.handle_reclaim(handle, out)?,
            EntryInput::Inventory(handle, agent, tasks) => {
                self.handle_inventory(now, handle, agent, tasks, out)?;
            }
            EntryInput::AgentUp {
                agent,
                service,
                data_centre,
                open,
            } => {
                self.handle_agent_up(agent, service, data_centre, open, out);
            }
            EntryInput::AgentDead(agent) => self.handle_agent_dead(now, agent, out)?,
            EntryInput::Linked(agent, slots, stamp) => self.handle_linked(agent, slots, stamp, out),
            EntryInput::Unlinked(agent) => self.handle_unlinked(agent),
            EntryInput::Credits(agent, count, stamp) => self.handle_credits(agent, count, stamp),
            EntryInput::Recall(agent, count) => self.handle_recall(agent, count, out),
            EntryInput::Verdict(verdict) => self.handle_verdict(now, verdict, out)?,
            EntryInput::Lease(expires_at) => {
                self.lease_expires_at = self.lease_expires_at.max(expires_at);
                self.release_withheld(now, out);
            }
            EntryInput::Rejoined(incarnation) => self.handle_rejoined(now, incarnation, out)?,
            EntryInput::Teams(limits) => self.set_teams(limits),
            EntryInput::Limits(limits) => self.limits = limits,
            EntryInput::Stop => self.stopping = true,
            EntryInput::Tick => self.tick(now, out)?,
        }
        self.dispatch_waiting(now, out);
        Ok(())
    }

    /// Counts since the start of the process.
    #[must_use]
    pub fn counts(&self) -> EntryCounts {
        self.counts
    }

    /// True if every job has its answer and none is withheld.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.jobs.iter().all(|(_, job)| job.answer.is_some()) && self.withheld.is_empty()
    }

    /// Number of dispatches without a final verdict.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.in_flight.len()
    }

    pub(crate) fn draw(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    pub(crate) fn allowance(teams: &Table<String, Team>, team: &str) -> TeamAllowance {
        match teams.get(&team.to_owned()) {
            None => TeamAllowance {
                share: 1.0,
                headroom: None,
            },
            Some(t) => TeamAllowance {
                share: f64::from(t.share.max(1)),
                headroom: t.cap.map(|cap| cap.saturating_sub(t.running)),
            },
        }
    }

    fn set_teams(&mut self, limits: Vec<TeamLimits>) {
        for (_, team) in self.teams.iter_mut() {
            team.cap = None;
            team.share = 1;
        }
        for limit in limits {
            let team = self.teams.or_insert_with(limit.team, Team::default);
            team.share = limit.share;
            team.cap = limit.cap;
        }
    }

    fn handle_submit(&mut self, now: Millis, submission: Submission, out: &mut Vec<EntryOutput>) {
        let handle = submission.handle;
        if let Some(known) = self.handles_by_key.get(&submission.key).copied()
            && !self.remove_refused(known)
        {
            self.join_job(
                handle,
                known,
                submission.digest.as_deref(),
                submission.deadline,
                out,
            );
            return;
        }
        if let Some((refusal, retry)) = self.admission_refusal(&submission) {
            out.push(EntryOutput::Answer(handle, Answer::Refused(refusal, retry)));
            return;
        }
        if let JobKind::Request { .. } = submission.kind {
            self.retry_budget = (self.retry_budget + RETRY_RATIO).min(RETRY_BURST);
        }
        self.handles_by_key.insert(submission.key.clone(), handle);
        let mut job = Job::new(now, submission);
        if let Some(digest) = &job.digest {
            out.push(EntryOutput::Claim(handle, job.key.clone(), digest.clone()));
        } else {
            // The entry generated the key, so no other entry can submit it, and no claim is needed.
            job.state = JobState::Running;
        }
        let ready = job.state == JobState::Running;
        self.jobs.insert(handle, job);
        if ready {
            self.enqueue(handle);
        }
    }

    /// Removes a job that was refused, or whose claim was not answered, so that its key can be
    /// submitted again. Returns true if it did.
    fn remove_refused(&mut self, handle: JobHandle) -> bool {
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
            self.handles_by_key.remove(&job.key);
        }
        true
    }

    /// Why a submission is refused on arrival, and the delay after which to submit again.
    fn admission_refusal(&self, submission: &Submission) -> Option<(Refusal, Option<Millis>)> {
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

    /// Lets a caller wait for a job that this entry already has.
    fn join_job(
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
        self.add_waiter(waiter, known, out);
    }

    fn add_waiter(&mut self, waiter: JobHandle, known: JobHandle, out: &mut Vec<EntryOutput>) {
        let withheld = self.withheld.contains(&known);
        let Some(job) = self.jobs.get_mut(&known) else {
            return;
        };
        match &job.answer {
            Some(answer) if !withheld => out.push(EntryOutput::Answer(waiter, answer.clone())),
            _ => job.waiters.push(waiter),
        }
    }

    fn handle_poll(&mut self, waiter: JobHandle, key: &JobKey, out: &mut Vec<EntryOutput>) {
        if let Some(known) = self.handles_by_key.get(key).copied() {
            self.add_waiter(waiter, known, out);
        } else {
            let lost = Answer::Failed(Failure::OwnerLost);
            out.push(EntryOutput::Answer(waiter, lost));
        }
    }

    /// True if this entry has the job.
    #[must_use]
    pub fn has_job(&self, key: &JobKey) -> bool {
        self.handles_by_key.get(key).is_some()
    }

    /// The service that a job was submitted to.
    #[must_use]
    pub fn service(&self, handle: JobHandle) -> Option<String> {
        self.jobs.get(&handle).map(|job| job.service.clone())
    }

    /// The state of a job, or `None` if this entry does not have it.
    #[must_use]
    pub fn state(&self, key: &JobKey) -> Option<JobState> {
        Some(self.jobs.get(self.handles_by_key.get(key)?)?.state)
    }

    fn handle_cancel(
        &mut self,
        now: Millis,
        key: &JobKey,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        let Some(handle) = self.handles_by_key.get(key).copied() else {
            return Ok(());
        };
        match self.jobs.get(&handle) {
            Some(job) if job.answer.is_none() && job.state == JobState::Running => {
                let answer = abandoned_answer(job, Refusal::Cancelled, Failure::Cancelled);
                self.settle(now, handle, answer, out)
            }
            _ => Ok(()),
        }
    }

    fn handle_agent_up(
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
        let newly_closed = server.open && !open;
        server.open = open;
        if newly_closed && server.credits > 0 {
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

    fn handle_linked(
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
        server.reported_waiting = 0;
        let unresolved: Vec<Dispatch> = self
            .in_flight
            .iter()
            .filter(|(_, o)| o.agent == agent)
            .filter_map(|(number, o)| self.dispatch_message(*number, *o))
            .collect();
        if !unresolved.is_empty() {
            out.push(EntryOutput::Ask(agent, unresolved));
        }
    }

    fn handle_unlinked(&mut self, agent: Incarnation) {
        if let Some(server) = self.server(agent) {
            server.linked = false;
            server.credits = 0;
            server.reported_waiting = 0;
        }
    }

    fn handle_credits(&mut self, agent: Incarnation, count: u32, stamp: Millis) {
        if let Some(server) = self.server(agent) {
            server.credits += count;
            server.reported_waiting = server.reported_waiting.saturating_sub(count);
            server.stamp = server.stamp.max(stamp);
        }
    }

    fn handle_recall(&mut self, agent: Incarnation, count: u32, out: &mut Vec<EntryOutput>) {
        if let Some(server) = self.server(agent) {
            let given = server.credits.min(count);
            server.credits -= given;
            self.counts.credit_messages += 2;
            out.push(EntryOutput::GiveBack(agent, given));
        }
    }

    fn handle_agent_dead(
        &mut self,
        now: Millis,
        agent: Incarnation,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        for (_, pool) in self.pools.iter_mut() {
            pool.servers.remove(&agent);
            pool.estimator.forget(agent);
        }
        let lost = self.in_flight.iter().filter(|(_, o)| o.agent == agent);
        let lost: Vec<(DispatchNumber, InFlightDispatch)> = lost.map(|(n, o)| (*n, *o)).collect();
        for (number, o) in lost {
            self.in_flight.remove(&number);
            self.release_team_slot(o.handle);
            let failure = Failure::AgentLost { task: o.task };
            if !self.retry(now, o.handle) {
                self.settle(now, o.handle, Answer::Failed(failure), out)?;
            }
        }
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, j)| j.awaited_inventories.binary_search(&agent).is_ok());
        let awaiting: Vec<JobHandle> = jobs.map(|(handle, _)| *handle).collect();
        for handle in awaiting {
            self.handle_inventory(now, handle, agent, None, out)?;
        }
        Ok(())
    }

    /// Queues a repeatable request again, if the retry budget allows it. Returns true if it did.
    pub(crate) fn retry(&mut self, now: Millis, handle: JobHandle) -> bool {
        let Some(job) = self.jobs.get_mut(&handle) else {
            return false;
        };
        let repeatable = job.kind == JobKind::Request { repeatable: true };
        if !repeatable || job.answer.is_some() || self.retry_budget < 1.0 || now >= job.deadline {
            return false;
        }
        let Some(task) = job.tasks.last().cloned() else {
            return false;
        };
        self.retry_budget -= 1.0;
        self.counts.retried += 1;
        // The retry is a new task, because the start gates start no task twice.
        job.tasks.push(super::job::Task {
            progress: TaskProgress::Waiting,
            ..task
        });
        self.enqueue(handle);
        true
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<EntryOutput>) -> Result<(), ChartError> {
        let mut answers = Vec::new();
        for (handle, job) in self.jobs.iter().filter(|(_, job)| job.answer.is_none()) {
            if now >= job.deadline {
                answers.push((
                    *handle,
                    abandoned_answer(job, Refusal::Deadline, Failure::Deadline),
                ));
            } else if self.never_fits(now, job) {
                answers.push((*handle, Answer::Refused(Refusal::NeverFits, None)));
            }
        }
        for (handle, answer) in answers {
            self.settle(now, handle, answer, out)?;
        }
        self.remove_expired(now);
        Ok(())
    }

    fn never_fits(&self, now: Millis, job: &Job) -> bool {
        let waited = now.since(job.arrived_at) >= self.limits.grace;
        let served = self
            .pools
            .get(&job.service)
            .is_some_and(|p| !p.servers.is_empty());
        job.state == JobState::Running && waited && !served && !job.may_have_started
    }

    fn remove_expired(&mut self, now: Millis) {
        let retain = self.limits.retain;
        let keys = &mut self.handles_by_key;
        let withheld = &self.withheld;
        self.jobs.retain(|handle, job| {
            let old = job.answer.is_some() && now.since(job.settled_at) > retain;
            if old && !withheld.contains(handle) {
                keys.remove(&job.key);
                return false;
            }
            true
        });
    }
}
