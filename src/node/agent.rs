//! Runs an agent: feeds its state machine and executes the commands that it returns.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::entry_links::EntryLinks;
use super::link::{HEARTBEAT_INTERVAL, LinkEvent, Origin};
use super::links::{ControlLinks, LeaderUpdate};
use super::pauses::PauseWatch;
use crate::dispatch::agent::{ServerAgent, ServerAgentInput, ServerAgentOutput};
use crate::dispatch::dispatcher_link::Owner;
use crate::dispatch::server_call::{CallId, ServerCall, ServerHeartbeat, ServerReply};
use crate::dispatch::times::Times;
use crate::dispatch::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use crate::events;
use crate::shell::clock::Clock;

/// Interval between an agent's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of each event queue.
const EVENT_QUEUE_LEN: usize = 4_096;

#[derive(Debug)]
enum Event {
    Input(ServerAgentInput),
    Seeds(Vec<SocketAddrV4>),
}

/// A running agent.
#[derive(Debug, Clone)]
pub struct AgentNode {
    tx: mpsc::Sender<Event>,
}

impl AgentNode {
    /// Starts an agent on the current runtime. The receiver yields its calls to the backend server;
    /// each must be answered with [`AgentNode::replied`]. Sessions are opened from the address
    /// `bind_ip`, if there is one.
    #[must_use]
    pub fn start(
        name: &str,
        seeds: Vec<SocketAddrV4>,
        bind_ip: Option<Ipv4Addr>,
        times: Times,
    ) -> (Self, mpsc::Receiver<ServerCall>) {
        let clock = Clock::new();
        let (link_tx, link_rx) = mpsc::channel(EVENT_QUEUE_LEN);
        let (entry_tx, entry_rx) = mpsc::channel(EVENT_QUEUE_LEN);
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
        let (call_tx, call_rx) = mpsc::channel(EVENT_QUEUE_LEN);
        let origin = Origin {
            initiator: Initiator::Agent(name.to_owned()),
            bind_ip,
            heartbeat: HEARTBEAT_INTERVAL,
        };
        let to_entries = Origin {
            heartbeat: Duration::from_millis(times.heartbeat.0),
            ..origin.clone()
        };
        let actor = Actor {
            agent: ServerAgent::new(times),
            links: ControlLinks::new(origin, clock, seeds, link_tx),
            entries: EntryLinks::new(to_entries, clock, entry_tx),
            clock,
            calls: call_tx,
        };
        tokio::spawn(actor.run(rx, link_rx, entry_rx));
        events::STARTED.log(format_args!("agent name={name}"));
        times.log_faults();
        (Self { tx }, call_rx)
    }

    async fn input(&self, input: ServerAgentInput) {
        if self.tx.send(Event::Input(input)).await.is_err() {
            log::debug!("the agent has stopped");
        }
    }

    /// Passes an announcement of the backend server to the agent.
    pub async fn heartbeat(&self, heartbeat: ServerHeartbeat) {
        self.input(ServerAgentInput::Heartbeat(heartbeat)).await;
    }

    /// Reports that the backend server with this id is shutting down.
    pub async fn server_left(&self, id: String) {
        self.input(ServerAgentInput::ServerLeft(id)).await;
    }

    /// Passes the backend server's answer to a call to the agent; [`ServerReply::NoAnswer`] if there
    /// was none.
    pub async fn replied(&self, id: CallId, reply: ServerReply) {
        self.input(ServerAgentInput::Replied(id, reply)).await;
    }

    /// Returns once the agent has ended. None does while its process runs, unless it has failed.
    pub async fn ended(&self) {
        self.tx.closed().await;
    }

    /// Replaces the addresses of control instances that the agent contacts first.
    pub async fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        if self.tx.send(Event::Seeds(seeds)).await.is_err() {
            log::debug!("the agent has stopped");
        }
    }
}

struct Actor {
    agent: ServerAgent,
    links: ControlLinks,
    entries: EntryLinks,
    clock: Clock,
    calls: mpsc::Sender<ServerCall>,
}

impl Actor {
    async fn run(
        mut self,
        mut rx: mpsc::Receiver<Event>,
        mut links: mpsc::Receiver<LinkEvent>,
        mut entries: mpsc::Receiver<LinkEvent>,
    ) {
        let mut ticker = interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut out = Vec::new();
        let mut pauses = PauseWatch::new(self.clock.now());
        loop {
            let input = tokio::select! {
                event = rx.recv() => match event {
                    Some(Event::Input(input)) => Some(input),
                    Some(Event::Seeds(seeds)) => {
                        self.links.set_seeds(seeds);
                        None
                    }
                    None => return,
                },
                Some(event) = links.recv() => self.handle_link_event(event),
                Some(event) = entries.recv() => self.entries.handle_event(event),
                _ = ticker.tick() => Some(ServerAgentInput::Tick),
            };
            let now = self.clock.now();
            if let Some(input) = input {
                self.agent.step(now, input, &mut out);
            }
            for output in out.drain(..) {
                self.execute(output).await;
            }
            pauses.end_turn(now, self.clock.now(), |at| self.agent.stakes(at));
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) -> Option<ServerAgentInput> {
        match self.links.handle_event(event) {
            LeaderUpdate::Unchanged => None,
            LeaderUpdate::Leader(None) => Some(ServerAgentInput::Leader(None)),
            LeaderUpdate::Leader(Some((_, term))) => Some(ServerAgentInput::Leader(Some(term))),
            // Messages of other replicas than the leader are ignored.
            LeaderUpdate::Message(id, _) if self.links.leader() != Some(id) => None,
            LeaderUpdate::Message(_, message) => match message {
                AcceptorMessage::Entries(addresses) => {
                    self.entries.update(self.clock.now(), &addresses);
                    None
                }
                AcceptorMessage::Evacuated(index, data_centres) => {
                    Some(ServerAgentInput::Evacuated(index, data_centres))
                }
                other => dispatcher_input(Owner::Group, other),
            },
        }
    }

    async fn execute(&mut self, output: ServerAgentOutput) {
        match output {
            ServerAgentOutput::Call(call) => {
                if self.calls.send(call).await.is_err() {
                    log::debug!("the receiver of calls to the backend server has closed");
                }
            }
            ServerAgentOutput::Report(Owner::Group, report) => {
                if let Some(leader) = self.links.leader() {
                    self.links.send(leader, InitiatorMessage::Report(report));
                }
            }
            ServerAgentOutput::Report(Owner::Entry(life), report) => {
                self.entries.send(life, InitiatorMessage::Report(report));
            }
            // The entry that the run belongs to is not known yet.
            ServerAgentOutput::Report(Owner::Unclaimed, _) => {}
        }
    }
}

/// Converts a dispatcher's message to an input of the agent; `None` if the agent ignores it.
pub(crate) fn dispatcher_input(owner: Owner, message: AcceptorMessage) -> Option<ServerAgentInput> {
    match message {
        AcceptorMessage::HeartbeatAck { at, grant } => {
            grant.map(|grant| ServerAgentInput::Granted(owner, at + grant))
        }
        AcceptorMessage::Order(order) => Some(ServerAgentInput::Order(owner, order)),
        AcceptorMessage::Recorded { life, upto } => {
            Some(ServerAgentInput::Recorded { owner, life, upto })
        }
        _ => None,
    }
}
