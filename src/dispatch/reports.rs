//! A dispatcher's agents: their sessions, inventories and reports.

use super::dispatcher::{DispatchOutput, Dispatcher, DispatcherId, RUN_LEAP};
use super::guard::JobGuard;
use super::live::{LiveJob, TaskPhase};
use super::replicated_state::{ReplicatedState, RunEnd, StateCommand};
use super::spec::{Resources, RunId, RunOutcome, TaskId};
use super::wire::{AcceptorMessage, AgentOrder, AgentReport, Denial, Server};
use super::worker::{PlacedRun, SessionId, Worker, WorkerId};
use crate::core::clock::Millis;
use crate::events;

/// Weight of the latest run in a queue's learned ratio of duration to estimate.
const RATIO_WEIGHT: f64 = 0.05;

impl Dispatcher {
    /// An agent's session is up; returns the runs that it should hold.
    pub(crate) fn connected(
        &mut self,
        now: Millis,
        agent: &str,
        session: SessionId,
    ) -> Vec<(TaskId, RunId)> {
        let id = self.worker_id(now, agent);
        let worker = &mut self.workers[id.0];
        worker.session = Some(session);
        worker.ready = false;
        worker.heard = now;
        worker.granted = now;
        // Only a later leader of the group must know whom to wait for.
        worker.enrolled |= matches!(self.id, DispatcherId::Entry(_));
        worker.runs.iter().map(|(key, _)| *key).collect()
    }

    pub(crate) fn worker_id(&mut self, now: Millis, agent: &str) -> WorkerId {
        if let Some(id) = self.by_agent.get(&agent.to_owned()) {
            return *id;
        }
        let id = WorkerId(self.workers.len());
        self.workers.push(Worker::new(agent, now));
        self.by_agent.insert(agent.to_owned(), id);
        id
    }

    pub(crate) fn by_session(&mut self, session: SessionId) -> Option<WorkerId> {
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
        state: Option<&ReplicatedState>,
        session: SessionId,
        report: AgentReport,
        out: &mut Vec<DispatchOutput>,
    ) {
        let Some(id) = self.by_session(session) else {
            return;
        };
        self.workers[id.0].heard = now;
        match report {
            AgentReport::Inventory {
                epoch,
                server,
                runs,
            } => {
                if epoch == self.id.epoch() {
                    self.take_inventory(now, state, id, server, &runs, out);
                }
            }
            AgentReport::Server(server) => {
                if server.as_ref().map_or(0, |s| s.life) != self.workers[id.0].life() {
                    self.empty(now, id);
                }
                self.workers[id.0].set_server(server);
            }
            AgentReport::Started(task, run) => self.on_started(now, id, (task, run)),
            AgentReport::NotStarted { task, run, reason } => {
                self.on_not_started(now, id, (task, run), reason);
            }
            AgentReport::Ends { life, ends } => self.on_ends(now, id, life, &ends, out),
            AgentReport::OtherUsage(used) => self.workers[id.0].set_others(used),
            AgentReport::Progress(rows) => {
                for (task, run, percent) in rows {
                    if let Some(placed) = self.workers[id.0].runs.get_mut(&(task, run)) {
                        placed.progress = Some((percent, now));
                    }
                }
            }
        }
    }

    pub(crate) fn take_inventory(
        &mut self,
        now: Millis,
        state: Option<&ReplicatedState>,
        id: WorkerId,
        server: Option<Server>,
        runs: &[(TaskId, RunId)],
        out: &mut Vec<DispatchOutput>,
    ) {
        let worker = &mut self.workers[id.0];
        worker.set_server(server);
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
            if !self.revoke(id, key, out) {
                self.lose(now, id, key);
            }
        }
        for key in runs {
            self.adopt(now, id, *key, out);
        }
        if state.is_some_and(|state| state.agents.binary_search(&agent).is_ok()) {
            self.workers[id.0].enrolled = true;
        } else if matches!(self.id, DispatcherId::Group(_)) {
            out.push(DispatchOutput::Propose(StateCommand::Enroll(agent.clone())));
        }
        if let Ok(at) = self.awaited.binary_search(&agent) {
            self.awaited.remove(at);
            if self.awaited.is_empty() {
                self.settle_awaited(now);
            }
        }
    }

    /// Agents that the log names from now on.
    pub(crate) fn enrolled(&mut self, state: &ReplicatedState) {
        for worker in &mut self.workers {
            worker.enrolled = state.agents.binary_search(&worker.agent).is_ok();
        }
    }

    /// Takes up a run that an agent lists: one that a former leader ordered, or an
    /// own one.
    pub(crate) fn adopt(
        &mut self,
        now: Millis,
        id: WorkerId,
        (task, run): (TaskId, RunId),
        out: &mut Vec<DispatchOutput>,
    ) {
        if self.workers[id.0].runs.get(&(task, run)).is_some() {
            return;
        }
        let job = self.jobs.get(&task.job);
        let need = job.map_or(Resources::default(), |j| j.need(task));
        let estimate = job.map_or(Millis(0), |j| j.estimate(task));
        let mut wanted = false;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.started = true;
            if let Some(live) = job.task_mut(task)
                && live.phase == TaskPhase::Unknown
            {
                live.phase = TaskPhase::On(id);
                live.run = run;
                wanted = true;
            }
        }
        let placed = PlacedRun {
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
            out.push(DispatchOutput::Message(
                session,
                AcceptorMessage::Order(AgentOrder::Stop { task, run }),
            ));
        }
    }

    /// An agent that started anew does not know of a start without an answer, which
    /// may still arrive; true when it has to be prevented first.
    fn revoke(
        &mut self,
        id: WorkerId,
        key: (TaskId, RunId),
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        let worker = &mut self.workers[id.0];
        let (Some(session), true) = (worker.session, worker.server.is_some()) else {
            return false;
        };
        let Some(placed) = worker.runs.get_mut(&key) else {
            return false;
        };
        if placed.started.is_some() {
            return false;
        }
        placed.stopping = true;
        let (task, run) = key;
        let order = AgentOrder::Revoke { task, run };
        out.push(DispatchOutput::Message(
            session,
            AcceptorMessage::Order(order),
        ));
        true
    }

    /// A run is gone with its worker, or with what the agent knew of it.
    fn lose(&mut self, now: Millis, id: WorkerId, key: (TaskId, RunId)) {
        if let Some(job) = self.jobs.get_mut(&key.0.job) {
            job.has_lost_run = true;
        }
        self.release(now, id, key);
    }

    /// A run is over or never was: its room is free, and its task can be started
    /// again unless its end is being recorded.
    pub(crate) fn release(&mut self, now: Millis, id: WorkerId, (task, run): (TaskId, RunId)) {
        self.workers[id.0].take((task, run));
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(live) = job.task_mut(task)
            && live.phase == TaskPhase::On(id)
            && live.run == run
        {
            live.phase = TaskPhase::Ready;
            self.queue(now, task.job);
        }
    }

    /// Nothing runs on this worker any more.
    pub(crate) fn empty(&mut self, now: Millis, id: WorkerId) {
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
            self.lose(now, id, key);
        }
    }

    pub(crate) fn on_started(&mut self, now: Millis, id: WorkerId, key: (TaskId, RunId)) {
        if let Some(placed) = self.workers[id.0].runs.get_mut(&key) {
            placed.started.get_or_insert(now);
        }
        if let Some(job) = self.jobs.get_mut(&key.0.job) {
            job.started = true;
        }
    }

    pub(crate) fn on_not_started(
        &mut self,
        now: Millis,
        id: WorkerId,
        key: (TaskId, RunId),
        reason: Denial,
    ) {
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
            // It may be told soon what this dispatcher knows already.
            Denial::Closed => self.workers[id.0].is_full(now),
            Denial::Stale => {}
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

    pub(crate) fn on_ends(
        &mut self,
        now: Millis,
        id: WorkerId,
        life: u64,
        ends: &[(u64, RunEnd)],
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
        if !self.guards.on(JobGuard::Record) {
            self.workers[id.0].forget_records();
        }
        if record.is_empty() || !self.guards.on(JobGuard::Record) {
            send_recorded(&self.workers[id.0], out);
        }
        if !record.is_empty() {
            out.push(DispatchOutput::Propose(StateCommand::Ends(record)));
        }
    }

    /// Takes an end; true when it must be recorded before it is forgotten.
    pub(crate) fn take_end(
        &mut self,
        now: Millis,
        id: WorkerId,
        end: &RunEnd,
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        let key = (end.task, end.run);
        let placed = self.workers[id.0].take(key);
        if let Some(placed) = &placed {
            match end.outcome {
                RunOutcome::Done => self.learn(now, id, end.task, placed),
                RunOutcome::Failed => self.workers[id.0].failed(now),
                RunOutcome::Lost => {}
            }
        }
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return false;
        };
        let transient = job.transient;
        let Some(live) = job.task_mut(end.task) else {
            return false;
        };
        let current = live.phase == TaskPhase::On(id) && live.run == end.run;
        let over = matches!(live.phase, TaskPhase::Recording | TaskPhase::Done);
        // An end that a stored job's task comes to counts even when its worker was
        // given up meanwhile.
        let counts = !transient && end.outcome != RunOutcome::Lost;
        if !current && live.phase != TaskPhase::Unknown && !counts {
            return false;
        }
        if end.outcome != RunOutcome::Done {
            events::RUN_ENDED.log(format_args!(
                "task={} run={} agent={} how={:?}",
                end.task, end.run.0, self.workers[id.0].agent, end.outcome
            ));
            live.avoid = Some(id);
        }
        match end.outcome {
            RunOutcome::Done if transient => live.phase = TaskPhase::Done,
            RunOutcome::Failed if transient => {
                live.fails += 1;
                live.phase = TaskPhase::Ready;
            }
            // Another run of it ended already, or goes on elsewhere.
            RunOutcome::Done | RunOutcome::Failed if over => {}
            RunOutcome::Failed if !current && matches!(live.phase, TaskPhase::On(_)) => {}
            RunOutcome::Done | RunOutcome::Failed => live.phase = TaskPhase::Recording,
            RunOutcome::Lost if current => live.phase = TaskPhase::Ready,
            RunOutcome::Lost => {}
        }
        job.started = true;
        let recorded = !transient && end.outcome != RunOutcome::Lost;
        if transient && let Some(status) = job.outcome() {
            self.drop_job(now, end.task.job, Some(status), out);
            out.push(DispatchOutput::Ended(end.task.job, status));
        } else if !recorded {
            self.queue(now, end.task.job);
        }
        recorded
    }

    pub(crate) fn learn(&mut self, now: Millis, id: WorkerId, task: TaskId, placed: &PlacedRun) {
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
        let key = (
            job.definition.settings.service.clone(),
            job.definition.settings.priority,
        );
        let ratio = self.duration_ratios.or_insert_with(key, || 1.0);
        *ratio += (seen.clamp(0.2, 5.0) - *ratio) * RATIO_WEIGHT;
    }

    pub(crate) fn duration_ratio(&self, job: &LiveJob) -> f64 {
        let key = (
            job.definition.settings.service.clone(),
            job.definition.settings.priority,
        );
        self.duration_ratios.get(&key).copied().unwrap_or(1.0)
    }
}

pub(crate) fn send_recorded(worker: &Worker, out: &mut Vec<DispatchOutput>) {
    if let Some(session) = worker.session {
        let down = AcceptorMessage::Recorded {
            life: worker.life(),
            upto: worker.recorded_upto(),
        };
        out.push(DispatchOutput::Message(session, down));
    }
}

/// A backend server of which only the life is known.
fn unnamed(life: u64) -> Server {
    Server {
        life,
        id: String::new(),
        service: String::new(),
        data_centre: String::new(),
        capacity: Resources::default(),
        labels: Vec::new(),
        leaving: true,
    }
}
