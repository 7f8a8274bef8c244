//! The agent role: the actor that runs [`Agent`] and the gRPC service that entries call.

use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::agent_rpc::serve_rpc;
use super::announce::{self, Announcement};
use super::backend::BackendClient;
use super::clock::Clock;
use super::control_client::ControlClient;
use super::convert;
use super::member::{Membership, MembershipUpdate, RenewedLease};
use super::stop::{self, StopSender, StopSignal};
use crate::control::command::{ProcessRole, Registration};
use crate::control::settings::SettingsTree;
use crate::core::agent::{Agent, AgentInput, AgentLimits, AgentOutput};
use crate::core::clock::Millis;
use crate::core::credit::CreditChange;
use crate::core::ids::{Generation, Incarnation, JobKey};
use crate::core::table::Table;
use crate::core::task::{Dispatch, Lease, TaskStatus, Verdict};
use crate::events;
use crate::proto;

/// Interval at which the actor passes a tick to the agent.
const TICK: Duration = Duration::from_millis(50);
/// Capacity of the actor's channel, in calls.
const CALL_QUEUE: usize = 4_096;
/// Messages that may wait for one entry; the link is dropped when its queue is full.
pub(crate) const LINK_QUEUE: usize = 4_096;
const LIMITS: AgentLimits = AgentLimits {
    heartbeat_timeout: Millis(3_000),
    keep_settled: Millis(10_000),
    keep_unsettled: Millis(120_000),
};

/// A message to the agent's actor.
pub(crate) enum AgentCall {
    Input(AgentInput),
    /// An entry opened a link; `link` tells it from an earlier link of the same entry.
    Opened {
        entry: Incarnation,
        link: u64,
        tx: mpsc::Sender<proto::FromAgent>,
    },
    Closed {
        entry: Incarnation,
        link: u64,
    },
    Ping {
        entry: Incarnation,
        number: u64,
    },
    /// Dispatches a request; the channel receives true when it may be forwarded to the backend
    /// server, false when it was not run.
    Relay(Dispatch, oneshot::Sender<bool>),
    /// Asks for the tasks of a job; from then on dispatches of older generations are refused.
    Inventory(
        JobKey,
        Generation,
        oneshot::Sender<(Incarnation, Vec<Verdict>)>,
    ),
    Announcement(Announcement),
    Membership(MembershipUpdate),
    /// Asks whether the agent has no work left.
    Idle(oneshot::Sender<bool>),
}

/// A handle that sends calls to the agent's actor.
#[derive(Clone)]
pub(crate) struct AgentHandle {
    tx: mpsc::Sender<AgentCall>,
}

impl AgentHandle {
    pub(crate) async fn call(&self, call: AgentCall) {
        // A closed channel means that the agent has stopped.
        let _ = self.tx.send(call).await;
    }

    pub(crate) async fn input(&self, input: AgentInput) {
        self.call(AgentCall::Input(input)).await;
    }

    /// Reports that a started task has ended, and logs a failure.
    pub(crate) async fn report_finished(&self, dispatch: &Dispatch, status: TaskStatus) {
        if let TaskStatus::Failed { reason, .. } = &status {
            let (job, task) = (&dispatch.job, dispatch.task);
            events::TASK_FAILED.log(format_args!("job={job} task={task} {reason}"));
        }
        let job = dispatch.job.clone();
        self.input(AgentInput::Finished(job, dispatch.task, status))
            .await;
    }
}

/// The parameters of an agent.
pub(crate) struct AgentSetup {
    pub(crate) name: String,
    /// Region and data centre, as `region/data_centre`.
    pub(crate) place: String,
    pub(crate) group: Vec<(u64, String)>,
    pub(crate) peers: TcpListener,
    pub(crate) announce: TcpListener,
}

/// A running agent.
pub(crate) struct AgentRole {
    handle: AgentHandle,
    stop_sender: StopSender,
}

impl AgentRole {
    pub(crate) fn start(setup: AgentSetup) -> std::io::Result<Self> {
        let address = setup.peers.local_addr()?.to_string();
        let (tx, rx) = mpsc::channel(CALL_QUEUE);
        let handle = AgentHandle { tx };
        let (stop_sender, stop) = stop::channel();
        let clock = Clock::new();
        let backend = BackendClient::new();
        let actor = Actor {
            agent: None,
            clock,
            handle: handle.clone(),
            backend: backend.clone(),
            registration: Registration {
                role: ProcessRole::Agent,
                name: setup.name.clone(),
                place: setup.place.clone(),
                address,
                service: String::new(),
            },
            client: ControlClient::new(setup.group),
            tree: SettingsTree::default(),
            links: Table::default(),
            relays: Vec::new(),
            stop: stop.clone(),
            join_started: false,
            slots: 0,
        };
        tokio::spawn(actor.run(rx, stop.clone()));
        tokio::spawn(serve_rpc(
            setup.peers,
            handle.clone(),
            backend,
            stop.clone(),
        ));
        tokio::spawn(announce::serve(setup.announce, handle.clone(), stop));
        events::STARTED.log(format_args!("agent name={}", setup.name));
        Ok(Self {
            handle,
            stop_sender,
        })
    }

    /// Stops the agent once it is idle: no new task starts, tasks under way finish and their
    /// verdicts are sent to the entries.
    pub(crate) async fn stop(self) {
        events::STOPPING.log(format_args!("agent"));
        self.handle.input(AgentInput::Stop).await;
        loop {
            let (tx, rx) = oneshot::channel();
            self.handle.call(AgentCall::Idle(tx)).await;
            match rx.await {
                Ok(false) => tokio::time::sleep(TICK).await,
                Ok(true) | Err(_) => break,
            }
        }
        // Leave time for the last verdicts to be sent.
        tokio::time::sleep(TICK * 2).await;
        self.stop_sender.stop();
        tokio::time::sleep(TICK * 2).await;
        events::STOPPED.log(format_args!("agent"));
    }
}

struct EntryLink {
    number: u64,
    tx: mpsc::Sender<proto::FromAgent>,
}

/// A request that waits for the agent to start or reject its dispatch.
struct PendingRelay {
    dispatch: Dispatch,
    tx: oneshot::Sender<bool>,
}

struct Actor {
    agent: Option<Agent>,
    clock: Clock,
    handle: AgentHandle,
    backend: BackendClient,
    registration: Registration,
    client: ControlClient,
    tree: SettingsTree,
    links: Table<Incarnation, EntryLink>,
    relays: Vec<PendingRelay>,
    stop: StopSignal,
    join_started: bool,
    // As last announced. Kept here since `agent` is `None` until the process has joined.
    slots: u32,
}

impl Actor {
    async fn run(mut self, mut rx: mpsc::Receiver<AgentCall>, stop: StopSignal) {
        let mut ticker = tokio::time::interval(TICK);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let stopped = stop.wait();
        tokio::pin!(stopped);
        loop {
            let call = tokio::select! {
                call = rx.recv() => call,
                _ = ticker.tick() => Some(AgentCall::Input(AgentInput::Tick)),
                () = &mut stopped => None,
            };
            match call {
                Some(call) => self.handle_call(call),
                None => return,
            }
        }
    }

    fn handle_call(&mut self, call: AgentCall) {
        match call {
            AgentCall::Input(input) => self.step(input),
            AgentCall::Opened { entry, link, tx } => self.link_opened(entry, link, tx),
            AgentCall::Closed { entry, link } => {
                if self.links.get(&entry).is_some_and(|l| l.number == link) {
                    self.links.remove(&entry);
                    self.step(AgentInput::Disconnected(entry));
                }
            }
            AgentCall::Ping { entry, number } => {
                let pong = proto::Pong { number };
                self.send(entry, 0, Some(proto::from_agent::Kind::Pong(pong)));
            }
            AgentCall::Relay(dispatch, tx) => {
                self.relays.retain(|relay| !relay.tx.is_closed());
                self.relays.push(PendingRelay {
                    dispatch: dispatch.clone(),
                    tx,
                });
                self.step(AgentInput::Dispatch(dispatch));
            }
            AgentCall::Inventory(job, generation, tx) => self.inventory(job, generation, tx),
            AgentCall::Announcement(announcement) => self.apply_announcement(announcement),
            AgentCall::Membership(update) => self.apply_membership(update),
            AgentCall::Idle(tx) => {
                let idle = self.agent.as_ref().is_none_or(Agent::is_idle);
                let _ = tx.send(idle);
            }
        }
    }

    fn apply_announcement(&mut self, announcement: Announcement) {
        self.backend
            .set_address(announcement.address, announcement.connections);
        if !self.join_started {
            // The service to join for is known only from the first announcement.
            self.join_started = true;
            self.registration.service.clone_from(&announcement.service);
            events::ANNOUNCED.log(format_args!("service={}", announcement.service));
            self.join();
        }
        if announcement.slots != self.slots {
            self.slots = announcement.slots;
            // Entries receive the number of slots when they open a link, so drop all links.
            self.links = Table::default();
        }
        self.step(AgentInput::Announce(self.slots));
    }

    fn join(&self) {
        let (tx, mut rx) = mpsc::channel(64);
        let membership = Membership {
            client: self.client.clone(),
            clock: self.clock,
            registration: self.registration.clone(),
            updates: tx,
        };
        let handle = self.handle.clone();
        tokio::spawn(membership.run(self.stop.clone()));
        tokio::spawn(async move {
            while let Some(update) = rx.recv().await {
                handle.call(AgentCall::Membership(update)).await;
            }
        });
    }

    fn apply_membership(&mut self, update: MembershipUpdate) {
        match update {
            MembershipUpdate::Joined(incarnation) => {
                let agent = match &self.agent {
                    Some(previous) => previous.with_incarnation(incarnation),
                    None => Agent::new(incarnation, LIMITS),
                };
                match agent {
                    Ok(agent) => self.agent = Some(agent),
                    Err(error) => events::UNDEFINED.log(format_args!("agent: {error}")),
                }
                self.links = Table::default();
                self.relays.clear();
                self.step(AgentInput::Announce(self.slots));
            }
            MembershipUpdate::Members(members) => {
                for member in members.iter().filter(|m| !m.alive) {
                    let entry = Incarnation(member.incarnation);
                    self.links.remove(&entry);
                    self.step(AgentInput::EntryDead(entry));
                }
            }
            MembershipUpdate::Settings(tree, done) => {
                self.tree = *tree;
                if let Some(agent) = &self.agent {
                    // The settings apply at once, not only from the next lease on.
                    let lease = agent.gate().lease();
                    let renewed = RenewedLease {
                        revision: lease.revision,
                        expires_at: lease.expires_at,
                    };
                    self.apply_lease(renewed);
                }
                let _ = done.send(());
            }
            MembershipUpdate::Lease(renewed) => self.apply_lease(renewed),
        }
    }

    fn apply_lease(&mut self, renewed: RenewedLease) {
        let path = format!(
            "{}/{}/{}",
            self.registration.place, self.registration.service, self.registration.name
        );
        let lease = Lease {
            revision: renewed.revision,
            expires_at: renewed.expires_at,
            allowed: !self.tree.is_evacuated(&path),
            window: Millis(self.tree.number("", "start_window_ms")),
        };
        self.step(AgentInput::Lease(lease));
    }

    /// Stores a new link and sends the welcome message over it. Without an incarnation there is
    /// nothing to welcome with: the link is dropped and the entry retries.
    fn link_opened(&mut self, entry: Incarnation, link: u64, tx: mpsc::Sender<proto::FromAgent>) {
        let Some(agent) = &self.agent else {
            return;
        };
        let welcome = proto::Welcome {
            agent: agent.gate().incarnation().0,
            stamp: self.clock.now().0,
            service: self.registration.service.clone(),
            slots: agent.slots(),
        };
        self.links.insert(entry, EntryLink { number: link, tx });
        self.send(entry, 0, Some(proto::from_agent::Kind::Welcome(welcome)));
        self.step(AgentInput::Connected(entry));
    }

    fn inventory(
        &mut self,
        job: JobKey,
        generation: Generation,
        tx: oneshot::Sender<(Incarnation, Vec<Verdict>)>,
    ) {
        let Some(agent) = &mut self.agent else {
            return;
        };
        let incarnation = agent.gate().incarnation();
        let mut out = Vec::new();
        let input = AgentInput::Inventory(job, generation);
        if let Err(error) = agent.step(self.clock.now(), input, &mut out) {
            events::UNDEFINED.log(format_args!("agent: {error}"));
        }
        let inventory_at = out
            .iter()
            .position(|o| matches!(o, AgentOutput::Inventory(_)));
        if let Some(i) = inventory_at
            && let AgentOutput::Inventory(tasks) = out.remove(i)
        {
            let _ = tx.send((incarnation, tasks));
        }
        self.execute(out);
    }

    fn step(&mut self, input: AgentInput) {
        let Some(agent) = &mut self.agent else {
            return;
        };
        let mut out = Vec::new();
        if let Err(error) = agent.step(self.clock.now(), input, &mut out) {
            events::UNDEFINED.log(format_args!("agent: {error}"));
        }
        self.execute(out);
    }

    fn execute(&mut self, out: Vec<AgentOutput>) {
        // Credits are sent along with a verdict to the same entry where there is one.
        let mut credits: Table<Incarnation, u32> = Table::default();
        for output in &out {
            if let AgentOutput::ChangeCredits(entry, CreditChange::Give(count)) = output {
                *credits.or_insert_with(*entry, || 0) += count;
            }
        }
        for output in out {
            match output {
                AgentOutput::Start(dispatch) => self.start(dispatch),
                AgentOutput::Verdict(entry, verdict) => {
                    self.reject_relay(&verdict);
                    let count = credits.remove(&entry).unwrap_or(0);
                    let verdict =
                        proto::from_agent::Kind::Verdict(convert::verdict_to_proto(verdict));
                    self.send(entry, count, Some(verdict));
                }
                AgentOutput::ChangeCredits(entry, CreditChange::Recall(count)) => {
                    let recall = proto::from_agent::Kind::Recall(proto::Recall { count });
                    self.send(entry, 0, Some(recall));
                }
                AgentOutput::ChangeCredits(..) | AgentOutput::Inventory(_) => {}
            }
        }
        let remaining: Vec<(Incarnation, u32)> = credits.iter().map(|(e, n)| (*e, *n)).collect();
        for (entry, count) in remaining {
            self.send(entry, count, None);
        }
    }

    fn start(&mut self, dispatch: Dispatch) {
        let is_same_dispatch = |relay: &PendingRelay| {
            (relay.dispatch.entry, relay.dispatch.number) == (dispatch.entry, dispatch.number)
        };
        if let Some(i) = self.relays.iter().position(is_same_dispatch) {
            let relay = self.relays.swap_remove(i);
            if relay.tx.send(true).is_err() {
                // The caller disconnected between the dispatch and the start.
                let status = TaskStatus::Failed {
                    reason: "the caller disconnected".to_owned(),
                    run: Millis(0),
                };
                let handle = self.handle.clone();
                tokio::spawn(async move { handle.report_finished(&dispatch, status).await });
            }
            return;
        }
        let (backend, handle) = (self.backend.clone(), self.handle.clone());
        tokio::spawn(async move {
            let status = backend.run_task(&dispatch).await;
            handle.report_finished(&dispatch, status).await;
        });
    }

    /// Ends the relay of a request whose dispatch was not run.
    fn reject_relay(&mut self, verdict: &Verdict) {
        if !matches!(verdict.status, TaskStatus::NotRun(_)) {
            return;
        }
        let is_same_dispatch = |relay: &PendingRelay| {
            relay.dispatch.number == verdict.number && relay.dispatch.job == verdict.job
        };
        if let Some(i) = self.relays.iter().position(is_same_dispatch) {
            let _ = self.relays.swap_remove(i).tx.send(false);
        }
    }

    fn send(&mut self, entry: Incarnation, credits: u32, kind: Option<proto::from_agent::Kind>) {
        let Some(link) = self.links.get(&entry) else {
            return;
        };
        let message = proto::FromAgent {
            stamp: self.clock.now().0,
            credits,
            kind,
        };
        if link.tx.try_send(message).is_err() {
            // The entry does not keep up. It opens a new link and asks about its dispatches.
            self.links.remove(&entry);
            let handle = self.handle.clone();
            tokio::spawn(async move { handle.input(AgentInput::Disconnected(entry)).await });
        }
    }
}
