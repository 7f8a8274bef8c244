//! How a dispatcher handles its agents: sessions, heartbeats, inventories and reports.

use super::dispatcher::{DispatchOutput, Dispatcher, DispatcherId, RUN_SKIP};
use super::live::{LiveJob, TaskPhase};
use super::load::pace;
use super::replicated_state::{ReplicatedState, StateCommand};
use super::run_trace::RunProof;
use super::spec::{JobId, Resources, RunId, TaskId};
use super::wire::{AcceptorMessage, AgentOrder, AgentReport, Denial, Server};
use super::worker::{PlacedRun, SessionId, Worker, WorkerId};
use crate::core::clock::Millis;
use crate::events;

impl Dispatcher {
    /// Handles a new session of an agent. Returns the runs that the agent should hold.
    pub(crate) fn agent_connected(
        &mut self,
        now: Millis,
        agent: &str,
        session: SessionId,
    ) -> Vec<(TaskId, RunId)> {
        let id = self.worker_id(now, agent);
        let worker = &mut self.workers[id.0];
        // Sessions are numbered as they are accepted: the agent has given this one up.
        if let Some(newer) = worker.session.filter(|newer| *newer > session) {
            log::info!(
                "agent={agent} late greeting: session={} newer={}",
                session.0,
                newer.0
            );
            return Vec::new();
        }
        if let Some(former) = worker.session.replace(session) {
            self.by_session.remove(&former);
        }
        self.by_session.insert(session, id);
        worker.has_inventory = false;
        worker.heartbeat_at = None;
        worker.last_heard_at = now;
        worker.last_granted_at = now;
        // Only the group's agents must be in the log, for the next leader to wait for them.
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

    /// Handles the end of an agent's session.
    pub(crate) fn agent_disconnected(&mut self, session: SessionId) {
        if let Some(id) = self.by_session.remove(&session) {
            let worker = &mut self.workers[id.0];
            worker.session = None;
            worker.has_inventory = false;
            events::AGENT_LOST.log(format_args!(
                "agent={} runs={} granted={}",
                worker.agent,
                worker.runs.len(),
                worker.last_granted_at.0
            ));
        }
    }

    /// Handles an agent's heartbeat, sent at `at` of the agent's clock. Returns true if the agent's
    /// grant may be renewed. That of an awaited agent must run out by the deadline, as its runs
    /// count as ended then; its inventory renews the grant.
    pub(crate) fn on_heartbeat(&mut self, now: Millis, session: SessionId, at: Millis) -> bool {
        let Some(id) = self.by_session.get(&session).copied() else {
            return false;
        };
        let worker = &mut self.workers[id.0];
        worker.last_heard_at = now;
        if self.awaited.binary_search(&worker.agent).is_ok() {
            worker.heartbeat_at = Some(at);
            return false;
        }
        worker.last_granted_at = now;
        true
    }

    /// Grants an agent whose inventory was awaited the time that its latest heartbeat asked for.
    fn grant_awaited(&mut self, now: Millis, id: WorkerId, out: &mut Vec<DispatchOutput>) {
        let grant = Some(self.grant);
        let worker = &mut self.workers[id.0];
        if let (Some(at), Some(session)) = (worker.heartbeat_at.take(), worker.session) {
            worker.last_granted_at = now;
            let ack = AcceptorMessage::HeartbeatAck { at, grant };
            out.push(DispatchOutput::Message(session, ack));
        }
    }

    /// Handles a report from an agent. `state` is `None` for an entry's dispatcher.
    pub(crate) fn on_report(
        &mut self,
        now: Millis,
        state: Option<&ReplicatedState>,
        session: SessionId,
        report: AgentReport,
        out: &mut Vec<DispatchOutput>,
    ) {
        let Some(id) = self.by_session.get(&session).copied() else {
            return;
        };
        self.workers[id.0].last_heard_at = now;
        match report {
            AgentReport::Inventory {
                epoch,
                server,
                runs,
            } => {
                if epoch == self.id.epoch() {
                    self.on_inventory(now, state, id, server, &runs, out);
                }
            }
            AgentReport::Server(server) => {
                if server.as_ref().map_or(0, |s| s.life) != self.workers[id.0].life() {
                    let runs = self.workers[id.0].runs.iter();
                    let keys = runs.map(|(key, _)| *key).collect();
                    self.revoke_or_lose(now, id, keys, RunProof::OtherServer, out);
                }
                self.workers[id.0].set_server(server);
                self.may_place = true;
            }
            AgentReport::Started(task, run) => self.on_started(now, id, (task, run)),
            AgentReport::NotStarted { task, run, reason } => {
                self.on_not_started(now, id, (task, run), reason);
            }
            AgentReport::Ends { life, ends } => self.on_ends(now, id, life, &ends, out),
            AgentReport::OtherUsage(used) => {
                self.may_place |= self.workers[id.0].set_other_usage(now, used);
            }
            AgentReport::Ejected(ejected) => {
                self.workers[id.0].ejected = ejected;
                self.may_place = true;
            }
            AgentReport::Crashed {
                life,
                runs,
                unanswered,
            } => {
                self.workers[id.0].record_crash(now, life);
                self.on_crashed(now, state, id, &runs, &unanswered, out);
            }
            AgentReport::Blamed(evidence) => self.on_evidence(now, id, evidence),
            AgentReport::Unreachable {
                life,
                runs,
                unanswered,
            } => {
                self.workers[id.0].record_crash(now, life);
                self.on_unreachable(now, id, &runs, &unanswered, out);
            }
            AgentReport::Pace(pace) => {
                events::PACE_KNOWN.log(format_args!(
                    "agent={} pace={pace} former={:.3}",
                    self.workers[id.0].agent, self.workers[id.0].pace
                ));
                self.workers[id.0].pace = pace::from_thousandths(pace);
            }
            // Only an entry watches itself; its call router takes the report.
            AgentReport::LateEntries { .. } => {}
            AgentReport::Progress(rows) => {
                for (task, run, percent) in rows {
                    if let Some(placed) = self.workers[id.0].runs.get_mut(&(task, run)) {
                        placed.record_progress(now, percent);
                    }
                }
                self.move_stalled(now, id, out);
            }
        }
    }

    pub(crate) fn on_inventory(
        &mut self,
        now: Millis,
        state: Option<&ReplicatedState>,
        id: WorkerId,
        server: Option<Server>,
        runs: &[(TaskId, RunId)],
        out: &mut Vec<DispatchOutput>,
    ) {
        let agent = &self.workers[id.0].agent;
        let assumed = server
            .as_ref()
            .map(|server| self.assumed_usage(agent, server));
        let is_entry = matches!(self.id, DispatcherId::Entry(_));
        let worker = &mut self.workers[id.0];
        worker.set_server(server);
        worker.has_inventory = true;
        if is_entry {
            worker.assume_usage(assumed.unwrap_or_default());
        }
        // A report follows if it still is.
        worker.ejected = false;
        self.asked.resend(id);
        self.may_place = true;
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
        self.revoke_or_lose(now, id, gone, RunProof::NotListed, out);
        for key in runs {
            self.adopt_run(now, id, *key, out);
        }
        self.ask_for_pace(id, out);
        if state.is_some_and(|state| state.agents.binary_search(&agent).is_ok()) {
            self.workers[id.0].enrolled = true;
        } else if matches!(self.id, DispatcherId::Group(_)) {
            out.push(DispatchOutput::Propose(StateCommand::Enroll(agent.clone())));
        }
        if let Ok(at) = self.awaited.binary_search(&agent) {
            self.awaited.remove(at);
            self.grant_awaited(now, id, out);
            if self.awaited.is_empty() {
                self.release_unknown_tasks(now);
            }
        }
    }

    /// Tells an agent that reports of its pace are understood here; it answers with the pace.
    fn ask_for_pace(&self, id: WorkerId, out: &mut Vec<DispatchOutput>) {
        let Some(session) = self.workers[id.0].session else {
            return;
        };
        let no_run = AgentOrder::Expect {
            task: TaskId {
                job: JobId(0),
                step: 0,
                index: 0,
            },
            run: RunId(0),
            length: Millis(0),
        };
        out.push(DispatchOutput::Message(
            session,
            AcceptorMessage::Order(no_run),
        ));
    }

    /// Updates which agents the log names.
    pub(crate) fn update_enrolled(&mut self, state: &ReplicatedState) {
        for worker in &mut self.workers {
            worker.enrolled = state.agents.binary_search(&worker.agent).is_ok();
        }
        self.may_place = true;
    }

    /// Adds a run that an agent lists and this dispatcher does not hold, usually one that a former
    /// leader ordered. If its task does not need the run, the run is stopped. A run that should be
    /// stopping already is stopped again, as the order may have been lost with a session.
    pub(crate) fn adopt_run(
        &mut self,
        now: Millis,
        id: WorkerId,
        (task, run): (TaskId, RunId),
        out: &mut Vec<DispatchOutput>,
    ) {
        let worker = &self.workers[id.0];
        if let Some(placed) = worker.runs.get(&(task, run)) {
            if placed.stopping {
                order_stop(worker.session, (task, run), out);
            }
            return;
        }
        let job = self.jobs.get(&task.job);
        let need = job.map_or(Resources::default(), |j| j.need(task));
        let estimate = job.map_or(Millis(0), |j| j.estimate(task));
        let mut adopted = false;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.started = true;
            if let Some(live) = job.task_mut(task)
                && live.phase == TaskPhase::Unknown
            {
                live.phase = TaskPhase::Assigned(id);
                live.run = run;
                adopted = true;
            }
        }
        let placed = PlacedRun {
            need,
            ordered_at: now,
            started_at: None,
            expected: estimate,
            nominal: estimate,
            progress: None,
            advanced_at: None,
            stopping: !adopted,
            suspect: false,
        };
        let worker = &mut self.workers[id.0];
        worker.add_run((task, run), placed);
        if !adopted {
            order_stop(worker.session, (task, run), out);
        }
    }

    /// Handles runs that the agent does not hold any more, by its latest report. The agent may not
    /// have seen all orders when it sent that, so runs that may still start are revoked.
    fn revoke_or_lose(
        &mut self,
        now: Millis,
        id: WorkerId,
        keys: Vec<(TaskId, RunId)>,
        proof: RunProof,
        out: &mut Vec<DispatchOutput>,
    ) {
        for key in keys {
            if !self.revoke_run(id, key, out) {
                self.lose_run(now, id, key, proof);
            }
        }
    }

    /// Revokes a run that was not reported as started. An agent that has restarted does not know of
    /// an unanswered start, which may still reach the backend server. An order that crosses the
    /// agent's report may still be carried out, whatever that says of the backend server. Returns
    /// true if the run is being revoked; it is kept until the agent answers.
    fn revoke_run(
        &mut self,
        id: WorkerId,
        key: (TaskId, RunId),
        out: &mut Vec<DispatchOutput>,
    ) -> bool {
        let worker = &mut self.workers[id.0];
        let Some(session) = worker.session else {
            return false;
        };
        let Some(placed) = worker.runs.get_mut(&key) else {
            return false;
        };
        if placed.started_at.is_some() {
            return false;
        }
        placed.stopping = true;
        if let Some(job) = self.jobs.get_mut(&key.0.job) {
            // It may have run: the agent's answer says only that it can start no more.
            job.has_lost_run = true;
        }
        let (task, run) = key;
        let order = AgentOrder::Revoke { task, run };
        out.push(DispatchOutput::Message(
            session,
            AcceptorMessage::Order(order),
        ));
        true
    }

    /// Handles the loss of a run, either with its worker or because the agent no longer knows of
    /// it.
    pub(crate) fn lose_run(
        &mut self,
        now: Millis,
        id: WorkerId,
        key: (TaskId, RunId),
        proof: RunProof,
    ) {
        if let Some(job) = self.jobs.get_mut(&key.0.job) {
            job.has_lost_run = true;
        }
        self.release_run(now, id, key, proof);
    }

    /// Frees the resources of a run that ended or never started. Its task can be started again,
    /// unless the end of a run is being recorded.
    pub(crate) fn release_run(
        &mut self,
        now: Millis,
        id: WorkerId,
        (task, run): (TaskId, RunId),
        proof: RunProof,
    ) {
        self.workers[id.0].remove_run((task, run));
        self.note_over(now, id, (task, run), proof);
        self.may_place = true;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(live) = job.task_mut(task)
            && live.phase == TaskPhase::Assigned(id)
            && live.run == run
        {
            live.phase = TaskPhase::Ready;
            self.enqueue(now, task.job);
        }
    }

    /// Handles a worker on which nothing runs any more: all its runs are lost.
    pub(crate) fn lose_all_runs(&mut self, now: Millis, id: WorkerId, proof: RunProof) {
        let keys: Vec<_> = self.workers[id.0]
            .runs
            .iter()
            .map(|(key, _)| *key)
            .collect();
        if !keys.is_empty() {
            let worker = &self.workers[id.0];
            events::WORKER_EMPTY.log(format_args!(
                "agent={} runs={} proof={proof:?} granted_ms={} heard_ms={}",
                worker.agent,
                keys.len(),
                now.since(worker.last_granted_at).0,
                now.since(worker.last_heard_at).0
            ));
        }
        for key in keys {
            self.lose_run(now, id, key, proof);
        }
    }

    pub(crate) fn on_started(&mut self, now: Millis, id: WorkerId, key: (TaskId, RunId)) {
        if let Some(placed) = self.workers[id.0].runs.get_mut(&key) {
            placed.started_at.get_or_insert(now);
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
        if reason == Denial::Stale && matches!(self.id, DispatcherId::Entry(_)) {
            // A leader's ids hold its term, so the next one is above those of all former leaders.
            self.last_run = self.last_run.max(key.1.0) + RUN_SKIP;
        }
        match reason {
            Denial::Unwell => self.workers[id.0].record_failure(now),
            Denial::Room => {
                self.note_denied(now, key.0);
                self.pass_over(now, id);
                self.release_run(now, id, key, RunProof::NotStarted(reason));
                return;
            }
            // The agent may not have learned yet what this dispatcher already knows.
            Denial::Closed => self.pass_over(now, id),
            Denial::Stale => {}
        }
        if let Some(live) = self
            .jobs
            .get_mut(&key.0.job)
            .and_then(|j| j.task_mut(key.0))
        {
            live.avoid = Some(id);
        }
        self.release_run(now, id, key, RunProof::NotStarted(reason));
    }

    /// Passes over a worker that denied an order, until it may have room again.
    fn pass_over(&mut self, now: Millis, id: WorkerId) {
        let until = self.workers[id.0].mark_full(now);
        self.retry_at = Some(self.retry_at.map_or(until, |known| known.min(until)));
    }

    pub(crate) fn duration_ratio(&self, job: &LiveJob) -> f64 {
        let key = job.definition.settings.key();
        self.duration_ratios.get(&key).copied().unwrap_or(1.0)
    }
}

/// Orders an agent to stop a run. Without a session, the order follows the next inventory.
pub(crate) fn order_stop(
    session: Option<SessionId>,
    (task, run): (TaskId, RunId),
    out: &mut Vec<DispatchOutput>,
) {
    if let Some(session) = session {
        let order = AcceptorMessage::Order(AgentOrder::Stop { task, run });
        out.push(DispatchOutput::Message(session, order));
    }
}

pub(crate) fn send_recorded(worker: &Worker, out: &mut Vec<DispatchOutput>) {
    if let Some(session) = worker.session {
        let message = AcceptorMessage::Recorded {
            life: worker.life(),
            upto: worker.recorded_up_to(),
        };
        out.push(DispatchOutput::Message(session, message));
    }
}

/// A backend server of which only the incarnation number is known.
pub(crate) fn server_with_life(life: u64) -> Server {
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
