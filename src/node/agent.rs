//! An agent as a process.

use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use super::entry_links::EntryLinks;
use super::link::LinkEvent;
use super::links::{Links, News};
use crate::dispatch::agent::{AgentTimes, ServerAgent, ServerAgentInput, ServerAgentOutput};
use crate::dispatch::dispatcher_link::Owner;
use crate::dispatch::server_call::{CallId, ServerCall, ServerHeartbeat, ServerReply};
use crate::dispatch::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use crate::events;
use crate::shell::clock::Clock;

/// How often an agent looks at the time.
const TICK: Duration = Duration::from_millis(20);
/// Events waiting.
const EVENTS: usize = 4_096;

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
    /// Starts an agent on the current runtime. Calls to the backend server come
    /// out of the receiver; each is to be answered with [`AgentNode::replied`].
    #[must_use]
    pub fn start(
        name: &str,
        seeds: Vec<SocketAddrV4>,
        times: AgentTimes,
    ) -> (Self, mpsc::Receiver<ServerCall>) {
        let clock = Clock::new();
        let (link_tx, link_rx) = mpsc::channel(EVENTS);
        let (entry_tx, entry_rx) = mpsc::channel(EVENTS);
        let (tx, rx) = mpsc::channel(EVENTS);
        let (call_tx, call_rx) = mpsc::channel(EVENTS);
        let actor = Actor {
            agent: ServerAgent::new(times),
            links: Links::new(Initiator::Agent(name.to_owned()), clock, seeds, link_tx),
            entries: EntryLinks::new(Initiator::Agent(name.to_owned()), clock, entry_tx),
            clock,
            calls: call_tx,
        };
        tokio::spawn(actor.run(rx, link_rx, entry_rx));
        events::STARTED.log(format_args!("agent name={name}"));
        (Self { tx }, call_rx)
    }

    async fn input(&self, input: ServerAgentInput) {
        if self.tx.send(Event::Input(input)).await.is_err() {
            log::debug!("the agent has stopped");
        }
    }

    /// The backend server announces itself.
    pub async fn heartbeat(&self, heartbeat: ServerHeartbeat) {
        self.input(ServerAgentInput::Heartbeat(heartbeat)).await;
    }

    /// The backend server with this id leaves now.
    pub async fn server_left(&self, id: String) {
        self.input(ServerAgentInput::ServerLeft(id)).await;
    }

    /// The backend server answered a call, or did not.
    pub async fn replied(&self, id: CallId, reply: ServerReply) {
        self.input(ServerAgentInput::Replied(id, reply)).await;
    }

    /// Takes other seeds.
    pub async fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        if self.tx.send(Event::Seeds(seeds)).await.is_err() {
            log::debug!("the agent has stopped");
        }
    }
}

struct Actor {
    agent: ServerAgent,
    links: Links,
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
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut out = Vec::new();
        loop {
            let input = tokio::select! { event = rx . recv ( ) => match event { Some ( Event :: Input ( input ) ) => Some ( input ) , Some ( Event :: Seeds ( seeds ) ) => { self . links . set_seeds ( seeds ) ; None } None => return , } , Some ( event ) = links . recv ( ) => self . take_link ( event ) , Some ( event ) = entries . recv ( ) => self . entries . take ( event ) , _ = ticker . tick ( ) => Some ( ServerAgentInput :: Tick ) , };
            if let Some(input) = input {
                self.agent.step(self.clock.now(), input, &mut out);
            }
            for output in out.drain(..) {
                self.put(output).await;
            }
        }
    }

    fn take_link(&mut self, event: LinkEvent) -> Option<ServerAgentInput> {
        match self.links.take(event) {
            News::Quiet => None,
            News::Leader(None) => Some(ServerAgentInput::Leader(None)),
            News::Leader(Some((_, term))) => Some(ServerAgentInput::Leader(Some(term))),
            // Only the leader's word counts.
            News::Message(id, _) if self.links.leader() != Some(id) => None,
            News::Message(_, down) => match down {
                AcceptorMessage::Entries(addresses) => {
                    self.entries.settle(self.clock.now(), &addresses);
                    None
                }
                AcceptorMessage::Evacuated(index, data_centres) => {
                    Some(ServerAgentInput::Evacuated(index, data_centres))
                }
                other => dispatcher_input(Owner::Group, other),
            },
        }
    }

    async fn put(&mut self, output: ServerAgentOutput) {
        match output {
            ServerAgentOutput::Call(call) => {
                if self.calls.send(call).await.is_err() {
                    log::debug!("nobody takes calls to the backend server");
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
            // Nobody is there to be told.
            ServerAgentOutput::Report(Owner::Unclaimed, _) => {}
        }
    }
}

/// What a dispatcher's message means to the agent.
pub(crate) fn dispatcher_input(owner: Owner, down: AcceptorMessage) -> Option<ServerAgentInput> {
    match down {
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
