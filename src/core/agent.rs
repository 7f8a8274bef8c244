//! The agent beside a backend server: start gate, credits and a short queue.

use std::collections::VecDeque;

use serde::Deserialize;

use super::chart::{Chart, ChartError};
use super::clock::Millis;
use super::credit::{CreditChange, Credits};
use super::ids::{Generation, Incarnation, JobKey};
use super::start_gate::{StartGate, StartGuard};
use super::task::{Admission, Dispatch, Lease, NotRunReason, TaskStatus, Verdict};

const SERVER_CHART: &str = include_str!("../../charts/backend-server.toml");

/// States of `charts/backend-server.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Not announced, or its heartbeats stopped.
    Absent,
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// Events of `charts/backend-server.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerEvent {
    /// The backend server's heartbeat.
    Announce,
    /// It said that it leaves, or operators drain it.
    Drain,
    /// Its heartbeats stopped.
    Lapse,
}

/// Bounds and ages an agent works with.
#[derive(Debug, Clone, Copy)]
pub struct AgentLimits {
    /// A backend server silent for so long is absent.
    pub heartbeat_timeout: Millis,
    /// Results of settled jobs are kept for so long.
    pub keep_settled: Millis,
    /// Results of unsettled jobs are kept for so long.
    pub keep_unsettled: Millis,
}

/// What reaches an agent.
#[derive(Debug, Clone)]
pub enum AgentInput {
    /// An entry opened a link.
    Connected(Incarnation),
    /// An entry's link is gone.
    Disconnected(Incarnation),
    /// An order to start a task.
    Dispatch(Dispatch),
    /// What became of these dispatches?
    Ask(Vec<Dispatch>),
    /// The entry has so many tasks waiting.
    Want(Incarnation, u32),
    /// The entry returns unused credits.
    GiveBack(Incarnation, u32),
    /// Withdraw what has not started.
    Cancel(JobKey, Generation),
    /// Control has the outcome of the job.
    Recorded(JobKey),
    /// Fence older generations and list the job's tasks.
    Inventory(JobKey, Generation),
    /// A running task ended.
    Finished(JobKey, u32, TaskStatus),
    /// The backend server's heartbeat, with its number of slots.
    Announce(u32),
    /// The backend server leaves.
    Drain,
    /// A lease from control.
    Lease(Lease),
    /// Control declared an entry dead.
    EntryDead(Incarnation),
    /// The agent itself stops.
    Stop,
    /// Time has passed.
    Tick,
}

/// What an agent does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentOutput {
    /// Call the backend server now; the start is on record.
    Start(Dispatch),
    /// Tell an entry what is known of its dispatch.
    Verdict(Incarnation, Verdict),
    /// Change an entry's credits.
    ChangeCredits(Incarnation, CreditChange),
    /// The answer to [`AgentInput::Inventory`].
    Inventory(Vec<Verdict>),
}

/// An agent's decisions.
#[derive(Debug, Clone)]
pub struct Agent {
    gate: StartGate,
    credits: Credits,
    queue: VecDeque<Dispatch>,
    running: u32,
    slots: u32,
    server: ServerState,
    chart: Chart<ServerState, ServerEvent>,
    heard: Millis,
    stopping: bool,
    limits: AgentLimits,
}

impl Agent {
    /// An agent whose backend server has not announced itself yet.
    ///
    /// # Errors
    ///
    /// A state chart is unusable.
    pub fn new(incarnation: Incarnation, limits: AgentLimits) -> Result<Self, ChartError> {
        Ok(Self {
            gate: StartGate::new(incarnation)?,
            credits: Credits::default(),
            queue: VecDeque::new(),
            running: 0,
            slots: 0,
            server: ServerState::Absent,
            chart: Chart::parse(SERVER_CHART)?,
            heard: Millis(0),
            stopping: false,
            limits,
        })
    }

    /// The same backend server under a new incarnation, after control declared the
    /// former one dead. Tasks still running keep their slots; nobody waits for them.
    ///
    /// # Errors
    ///
    /// A state chart is unusable.
    pub fn with_incarnation(&self, incarnation: Incarnation) -> Result<Self, ChartError> {
        let fresh = Self::new(incarnation, self.limits)?;
        Ok(Self {
            running: self.running,
            slots: self.slots,
            server: self.server,
            heard: self.heard,
            stopping: self.stopping,
            ..fresh
        })
    }

    /// Takes one input at `now` and appends what is to be done to `out`.
    ///
    /// ```
    /// use fulmardrift::{Agent, AgentInput, AgentLimits, Incarnation, Millis};
    /// let limits = AgentLimits {
    ///     silence: Millis(3_000),
    ///     settled: Millis(10_000),
    ///     unsettled: Millis(60_000),
    /// };
    /// let mut agent = Agent::new(Incarnation(4), limits).unwrap();
    /// let mut out = Vec::new();
    /// agent.step(Millis(0), AgentInput::Announce(8), &mut out).unwrap();
    /// assert!(out.is_empty());
    /// ```
    ///
    /// # Errors
    ///
    /// A state chart has no transition for the input, which is then ignored.
    pub fn step(
        &mut self,
        now: Millis,
        input: AgentInput,
        out: &mut Vec<AgentOutput>,
    ) -> Result<(), ChartError> {
        match input {
            AgentInput::Connected(entry) => self.credits.join(entry),
            AgentInput::Disconnected(entry) => self.credits.leave(entry),
            AgentInput::Dispatch(dispatch) => self.dispatch(now, dispatch, out)?,
            AgentInput::Ask(dispatches) => self.ask(now, &dispatches, out)?,
            AgentInput::Want(entry, count) => self.credits.want(entry, count),
            AgentInput::GiveBack(entry, count) => self.credits.give_back(entry, count),
            AgentInput::Cancel(job, generation) => {
                let told = self.gate.cancel(now, &job, generation);
                self.withdraw(told, out);
            }
            AgentInput::Recorded(job) => self.gate.recorded(&job),
            AgentInput::Inventory(job, generation) => {
                let tasks = self.gate.inventory(now, &job, generation);
                self.drop_refused();
                out.push(AgentOutput::Inventory(tasks));
            }
            AgentInput::Finished(job, task, status) => {
                self.running = self.running.saturating_sub(1);
                let (entry, verdict) = self.gate.finish(now, &job, task, status)?;
                self.credits.release(entry);
                out.push(AgentOutput::Verdict(entry, verdict));
            }
            AgentInput::Announce(slots) => {
                self.server = self.chart.next(self.server, ServerEvent::Announce)?;
                self.heard = now;
                self.slots = slots;
            }
            AgentInput::Drain => self.server = self.chart.next(self.server, ServerEvent::Drain)?,
            AgentInput::Lease(lease) => self.gate.renew(lease),
            AgentInput::EntryDead(entry) => {
                self.gate.mark_dead(entry);
                self.credits.leave(entry);
            }
            AgentInput::Stop => self.stopping = true,
            AgentInput::Tick => self.tick(now)?,
        }
        self.run(now, out)
    }

    fn tick(&mut self, now: Millis) -> Result<(), ChartError> {
        let silent = now.since(self.heard) > self.limits.heartbeat_timeout;
        if silent && self.server != ServerState::Absent {
            self.server = self.chart.next(self.server, ServerEvent::Lapse)?;
        }
        self.gate
            .prune(now, self.limits.keep_settled, self.limits.keep_unsettled);
        Ok(())
    }

    fn dispatch(
        &mut self,
        now: Millis,
        dispatch: Dispatch,
        out: &mut Vec<AgentOutput>,
    ) -> Result<(), ChartError> {
        let entry = dispatch.entry;
        // Only a new dispatch may use a credit up, so look before taking one.
        let known = self.gate.is_known(&dispatch);
        let credit = !known && self.credits.take(entry);
        let status = match self.gate.offer(now, &dispatch, credit)? {
            Admission::Admitted => {
                self.queue.push_back(dispatch);
                return Ok(());
            }
            Admission::Known(status) => status,
            Admission::Refused(reason) => {
                if credit {
                    self.credits.release(entry);
                }
                TaskStatus::NotRun(reason)
            }
        };
        out.push(AgentOutput::Verdict(entry, self.verdict(&dispatch, status)));
        Ok(())
    }

    fn verdict(&self, dispatch: &Dispatch, status: TaskStatus) -> Verdict {
        Verdict {
            number: dispatch.number,
            job: dispatch.job.clone(),
            task: dispatch.task,
            generation: dispatch.generation,
            agent: self.gate.incarnation(),
            status,
        }
    }

    fn ask(
        &mut self,
        now: Millis,
        dispatches: &[Dispatch],
        out: &mut Vec<AgentOutput>,
    ) -> Result<(), ChartError> {
        for dispatch in dispatches {
            let former = self.gate.recipient(&dispatch.job, dispatch.task);
            let status = self.gate.ask(now, dispatch)?;
            let heir = self.gate.recipient(&dispatch.job, dispatch.task);
            if let (Some(former), Some(heir), false) = (former, heir, status.is_final()) {
                self.credits.transfer(former, heir);
            }
            out.push(AgentOutput::Verdict(
                dispatch.entry,
                self.verdict(dispatch, status),
            ));
        }
        Ok(())
    }

    fn withdraw(&mut self, told: Vec<(Incarnation, Verdict)>, out: &mut Vec<AgentOutput>) {
        for (entry, verdict) in told {
            out.push(AgentOutput::Verdict(entry, verdict));
        }
        self.drop_refused();
    }

    /// Takes tasks that the gate no longer holds as queued out of the queue.
    fn drop_refused(&mut self) {
        let gate = &self.gate;
        let credits = &mut self.credits;
        self.queue.retain(|d| {
            let queued = gate.status(&d.job, d.task) == Some(&TaskStatus::Queued);
            if !queued {
                credits.release(d.entry);
            }
            queued
        });
    }

    /// Starts what has a slot, and spreads the credits that came free.
    fn run(&mut self, now: Millis, out: &mut Vec<AgentOutput>) -> Result<(), ChartError> {
        let open = self.open(now);
        self.gate
            .set_leaving(self.stopping || self.server != ServerState::Ready);
        if !open {
            self.refuse_queue(now, out)?;
        }
        while self.running < self.slots {
            let Some(dispatch) = self.queue.pop_front() else {
                break;
            };
            self.start(now, dispatch, out)?;
        }
        // Slots held by a former incarnation's tasks are not given out.
        let former = self.running.saturating_sub(self.credits.busy());
        self.credits.resize(if open {
            self.slots.saturating_sub(former)
        } else {
            0
        });
        for (entry, grant) in self.credits.distribute() {
            out.push(AgentOutput::ChangeCredits(entry, grant));
        }
        Ok(())
    }

    fn open(&self, now: Millis) -> bool {
        let lease = self.gate.lease();
        let leased = lease.allowed && now < lease.expires_at;
        leased && self.server == ServerState::Ready && !self.stopping
    }

    fn refuse_queue(&mut self, now: Millis, out: &mut Vec<AgentOutput>) -> Result<(), ChartError> {
        while let Some(dispatch) = self.queue.pop_front() {
            self.start(now, dispatch, out)?;
        }
        Ok(())
    }

    fn start(
        &mut self,
        now: Millis,
        dispatch: Dispatch,
        out: &mut Vec<AgentOutput>,
    ) -> Result<(), ChartError> {
        if self.gate.start(now, &dispatch)? {
            self.running += 1;
            out.push(AgentOutput::Start(dispatch));
            return Ok(());
        }
        self.credits.release(dispatch.entry);
        let status = match self.gate.status(&dispatch.job, dispatch.task) {
            Some(status) => status.clone(),
            None => TaskStatus::NotRun(NotRunReason::Withdrawn),
        };
        out.push(AgentOutput::Verdict(
            dispatch.entry,
            self.verdict(&dispatch, status),
        ));
        Ok(())
    }

    /// True when nothing is queued or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.queue.is_empty()
    }

    /// Slots of the backend server, as last announced.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Turns a rule of the gate off, so that a checker can show that it is needed.
    pub fn disable(&mut self, guard: StartGuard) {
        self.gate.disable(guard);
    }

    /// The gate, to be read.
    #[must_use]
    pub fn gate(&self) -> &StartGate {
        &self.gate
    }
}
