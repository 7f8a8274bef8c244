//! An agent, which controls the starts on one backend server with a start gate, credits and a
//! short queue.

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
    /// It has not announced itself, or its heartbeats stopped.
    Absent,
    /// It accepts tasks.
    Ready,
    /// It finishes its tasks and accepts no new ones.
    Draining,
}

/// Events of `charts/backend-server.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerEvent {
    /// A heartbeat of the backend server.
    Announce,
    /// It announced that it is leaving, or operators drain it.
    Drain,
    /// Its heartbeats stopped.
    Lapse,
}

/// Time limits of an agent.
#[derive(Debug, Clone, Copy)]
pub struct AgentLimits {
    /// A backend server without a heartbeat for longer than this is absent.
    pub heartbeat_timeout: Millis,
    /// How long results of settled jobs are kept after the job's last activity, at least twice the
    /// start window.
    pub keep_settled: Millis,
    /// The same for results of jobs without a recorded outcome.
    pub keep_unsettled: Millis,
}

/// An input of an agent.
#[derive(Debug, Clone)]
pub enum AgentInput {
    /// An entry opened a link.
    Connected(Incarnation),
    /// An entry's link was closed.
    Disconnected(Incarnation),
    /// A request to start a task.
    Dispatch(Dispatch),
    /// A query for the status of these dispatches.
    Ask(Vec<Dispatch>),
    /// The entry has this many tasks waiting beyond its credits.
    Want(Incarnation, u32),
    /// The entry returns unused credits.
    GiveBack(Incarnation, u32),
    /// A request to withdraw the job's queued tasks, up to this generation.
    Cancel(JobKey, Generation),
    /// The control group has recorded the outcome of the job.
    Recorded(JobKey),
    /// A request to refuse older generations and to list the job's tasks.
    Inventory(JobKey, Generation),
    /// A running task ended with this status.
    Finished(JobKey, u32, TaskStatus),
    /// A heartbeat of the backend server, with its number of slots.
    Announce(u32),
    /// The backend server is leaving.
    Drain,
    /// A lease from the control group.
    Lease(Lease),
    /// The control group declared an entry dead.
    EntryDead(Incarnation),
    /// The agent is stopping.
    Stop,
    /// Regular call to check the heartbeats and to prune old results.
    Tick,
}

/// An action for an agent to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgentOutput {
    /// Call the backend server now; the start is recorded. The caller must report the end of the
    /// task with [`AgentInput::Finished`].
    Start(Dispatch),
    /// Send a verdict to an entry.
    Verdict(Incarnation, Verdict),
    /// Send a change of its credits to an entry.
    ChangeCredits(Incarnation, CreditChange),
    /// The answer to [`AgentInput::Inventory`].
    Inventory(Vec<Verdict>),
}

/// The state machine of an agent.
#[derive(Debug, Clone)]
pub struct Agent {
    gate: StartGate,
    credits: Credits,
    queue: VecDeque<Dispatch>,
    running: u32,
    slots: u32,
    server: ServerState,
    chart: Chart<ServerState, ServerEvent>,
    last_heartbeat_at: Millis,
    stopping: bool,
    limits: AgentLimits,
}

impl Agent {
    /// Creates an agent whose backend server has not announced itself yet.
    ///
    /// # Errors
    ///
    /// Fails if a state chart cannot be parsed or is ambiguous.
    pub fn new(incarnation: Incarnation, limits: AgentLimits) -> Result<Self, ChartError> {
        Ok(Self {
            gate: StartGate::new(incarnation)?,
            credits: Credits::default(),
            queue: VecDeque::new(),
            running: 0,
            slots: 0,
            server: ServerState::Absent,
            chart: Chart::parse(SERVER_CHART)?,
            last_heartbeat_at: Millis(0),
            stopping: false,
            limits,
        })
    }

    /// An agent for the same backend server under a new incarnation, after the control group
    /// declared the former one dead. Tasks that still run keep their slots; no entry waits for
    /// them.
    ///
    /// # Errors
    ///
    /// Fails if a state chart cannot be parsed or is ambiguous.
    pub fn with_incarnation(&self, incarnation: Incarnation) -> Result<Self, ChartError> {
        let renewed = Self::new(incarnation, self.limits)?;
        Ok(Self {
            running: self.running,
            slots: self.slots,
            server: self.server,
            last_heartbeat_at: self.last_heartbeat_at,
            stopping: self.stopping,
            ..renewed
        })
    }

    /// Processes one input at `now` and appends the resulting actions to `out`.
    ///
    /// ```
    /// use fulmardrift::{Agent, AgentInput, AgentLimits, Incarnation, Millis};
    /// let limits = AgentLimits {
    ///     heartbeat_timeout: Millis(3_000),
    ///     keep_settled: Millis(10_000),
    ///     keep_unsettled: Millis(60_000),
    /// };
    /// let mut agent = Agent::new(Incarnation(4), limits).unwrap();
    /// let mut out = Vec::new();
    /// agent.step(Millis(0), AgentInput::Announce(8), &mut out).unwrap();
    /// assert!(out.is_empty());
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if a state chart has no transition for the input, which is then ignored.
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
            AgentInput::Want(entry, count) => self.credits.set_wanted(entry, count),
            AgentInput::GiveBack(entry, count) => self.credits.give_back(entry, count),
            AgentInput::Cancel(job, generation) => {
                let withdrawn = self.gate.cancel(now, &job, generation);
                self.withdraw(withdrawn, out);
            }
            AgentInput::Recorded(job) => self.gate.mark_recorded(&job),
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
                self.last_heartbeat_at = now;
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
        self.start_queued(now, out)
    }

    fn tick(&mut self, now: Millis) -> Result<(), ChartError> {
        let silent = now.since(self.last_heartbeat_at) > self.limits.heartbeat_timeout;
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
        // Only a new dispatch may use a credit, so the ledger is checked first.
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
            let successor = self.gate.recipient(&dispatch.job, dispatch.task);
            if let (Some(former), Some(successor), false) = (former, successor, status.is_final()) {
                self.credits.transfer(former, successor);
            }
            out.push(AgentOutput::Verdict(
                dispatch.entry,
                self.verdict(dispatch, status),
            ));
        }
        Ok(())
    }

    fn withdraw(&mut self, withdrawn: Vec<(Incarnation, Verdict)>, out: &mut Vec<AgentOutput>) {
        for (entry, verdict) in withdrawn {
            out.push(AgentOutput::Verdict(entry, verdict));
        }
        self.drop_refused();
    }

    /// Removes the tasks from the queue that are no longer queued in the gate's ledger.
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

    /// Starts queued tasks while slots are free, and gives out free credits. Refuses all queued
    /// tasks while the agent accepts no work.
    fn start_queued(&mut self, now: Millis, out: &mut Vec<AgentOutput>) -> Result<(), ChartError> {
        let accepts_work = self.accepts_work(now);
        self.gate
            .set_leaving(self.stopping || self.server != ServerState::Ready);
        if !accepts_work {
            self.refuse_queue(now, out)?;
        }
        while self.running < self.slots {
            let Some(dispatch) = self.queue.pop_front() else {
                break;
            };
            self.start(now, dispatch, out)?;
        }
        // Slots that tasks of a former incarnation still use are not given out.
        let former_tasks = self.running.saturating_sub(self.credits.busy());
        self.credits.resize(if accepts_work {
            self.slots.saturating_sub(former_tasks)
        } else {
            0
        });
        for (entry, change) in self.credits.distribute() {
            out.push(AgentOutput::ChangeCredits(entry, change));
        }
        Ok(())
    }

    fn accepts_work(&self, now: Millis) -> bool {
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

    /// True if no task is queued or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.queue.is_empty()
    }

    /// Number of slots that the backend server last announced.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Disables a rule of the gate, so that a model checker can show that it is needed.
    pub fn disable(&mut self, guard: StartGuard) {
        self.gate.disable(guard);
    }

    /// The agent's start gate.
    #[must_use]
    pub fn gate(&self) -> &StartGate {
        &self.gate
    }
}
