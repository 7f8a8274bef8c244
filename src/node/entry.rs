//! An entry as a process.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use rand::RngExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use super::address::replica_id;
use super::link::LinkEvent;
use super::links::{Links, News};
use super::sessions::{self, Outgoing, SessionEvent};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::dispatch::call::{Call, CallReply};
use crate::dispatch::call_router::{CallRouter, CallRouterInput, CallRouterOutput};
use crate::dispatch::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use crate::events;
use crate::shell::clock::{Clock, unix_now};

/// How often deadlines are looked at.
const TICK: Duration = Duration::from_millis(20);
/// Calls and link events waiting.
const EVENTS: usize = 4_096;
/// Events taken before tasks are placed.
const TURN: usize = 64;

#[derive(Debug)]
enum Event {
    Call(u64, Call, Millis, oneshot::Sender<CallReply>),
    Left(u64),
    Session(SessionEvent),
    Seeds(Vec<SocketAddrV4>),
}

/// Everything an entry needs to start.
#[derive(Debug, Clone)]
pub struct EntryNodeConfig {
    /// Its name.
    pub name: String,
    /// Where agents open their sessions.
    pub address: SocketAddrV4,
    /// Control instances to ask first.
    pub seeds: Vec<SocketAddrV4>,
}

/// A running entry.
#[derive(Debug, Clone)]
pub struct EntryNode {
    tx: mpsc::Sender<Event>,
    clock: Clock,
    last: Arc<AtomicU64>,
    open: Arc<AtomicUsize>,
    ready: Arc<AtomicBool>,
}

impl EntryNode {
    /// Starts an entry on the current runtime.
    ///
    /// # Errors
    ///
    /// Its address cannot be listened on.
    pub async fn start(cfg: EntryNodeConfig) -> std::io::Result<Self> {
        let clock = Clock::new();
        let listener = TcpListener::bind(cfg.address).await?;
        let life = rand::rng().random_range(1..u64::MAX);
        let (link_tx, link_rx) = mpsc::channel(EVENTS);
        let (tx, rx) = mpsc::channel(EVENTS);
        let open = Arc::new(AtomicUsize::new(0));
        let ready = Arc::new(AtomicBool::new(false));
        let actor = Actor {
            links: Links::new(
                Initiator::Entry(cfg.name.clone(), replica_id(cfg.address).0),
                clock,
                cfg.seeds,
                link_tx,
            ),
            router: CallRouter::new(life, clock.now()),
            sessions: Outgoing::default(),
            clock,
            callers: Table::default(),
            open: Arc::clone(&open),
            ready: Arc::clone(&ready),
        };
        tokio::spawn(actor.run(rx, link_rx));
        tokio::spawn(sessions::serve(listener, clock, tx.clone(), Event::Session));
        events::STARTED.log(format_args!("entry name={} life={life}", cfg.name));
        Ok(Self {
            tx,
            clock,
            last: Arc::new(AtomicU64::new(1)),
            open,
            ready,
        })
    }

    /// Puts a call to the leader; the answer comes within `wait`.
    pub async fn call(&self, call: Call, wait: Millis) -> CallReply {
        let (tx, rx) = oneshot::channel();
        let asked = self.clock.now();
        let token = self.last.fetch_add(1, Ordering::Relaxed);
        let mut leaving = Leaving {
            tx: &self.tx,
            token: Some(token),
        };
        if self
            .tx
            .send(Event::Call(token, call, wait, tx))
            .await
            .is_err()
        {
            return CallReply::NotLeader;
        }
        let reply = rx.await.unwrap_or(CallReply::Unknown);
        leaving.token = None;
        metrics :: counter ! ( "fulmardrift_calls" , "reply" => reply . name ( ) ).increment(1);
        let took = self.clock.now().since(asked);
        metrics::histogram!("fulmardrift_call_ms").record(took.as_f64());
        reply
    }

    /// Takes other seeds.
    pub async fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        if self.tx.send(Event::Seeds(seeds)).await.is_err() {
            log::debug!("the entry has stopped");
        }
    }

    /// Number of calls without an answer.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// True while new callers are served best here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

/// Tells the desk when the future of a call is dropped before its answer.
struct Leaving<'a> {
    tx: &'a mpsc::Sender<Event>,
    token: Option<u64>,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if let Some(token) = self.token
            && self.tx.try_send(Event::Left(token)).is_err()
        {
            log::debug!("call {token} stays open until its deadline");
        }
    }
}

struct Actor {
    links: Links,
    router: CallRouter,
    sessions: Outgoing,
    clock: Clock,
    callers: Table<u64, oneshot::Sender<CallReply>>,
    open: Arc<AtomicUsize>,
    ready: Arc<AtomicBool>,
}

impl Actor {
    async fn run(mut self, mut rx: mpsc::Receiver<Event>, mut links: mpsc::Receiver<LinkEvent>) {
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut out = Vec::new();
        loop {
            let input = tokio::select! { event = rx . recv ( ) => match event { Some ( event ) => self . take ( event ) , None => return , } , Some ( event ) = links . recv ( ) => self . take_link ( event ) , _ = ticker . tick ( ) => Some ( CallRouterInput :: Tick ) , };
            let now = self.clock.now();
            if let Some(input) = input {
                self.router.step(now, input, &mut out);
            }
            for _ in 0..TURN {
                let Ok(event) = rx.try_recv() else {
                    break;
                };
                if let Some(input) = self.take(event) {
                    self.router.step(now, input, &mut out);
                }
            }
            self.router.flush(now, unix_now(), &mut out);
            for output in out.drain(..) {
                self.put(output);
            }
            self.open.store(self.router.len(), Ordering::Relaxed);
            self.note_ready();
        }
    }

    fn note_ready(&self) {
        let ready = self.router.is_ready(self.clock.now());
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            events::READY.log(format_args!("ready={ready}"));
        }
    }

    fn take(&mut self, event: Event) -> Option<CallRouterInput> {
        match event {
            Event::Left(token) => {
                self.callers.remove(&token);
                Some(CallRouterInput::Left(token))
            }
            Event::Call(token, call, wait, tx) => {
                self.callers.insert(token, tx);
                Some(CallRouterInput::Call {
                    token,
                    call,
                    deadline: self.clock.now() + wait,
                })
            }
            Event::Session(SessionEvent::Opened(id, tx)) => {
                self.sessions.opened(id, tx);
                None
            }
            Event::Session(SessionEvent::Message(id, up)) => Some(CallRouterInput::Message(id, up)),
            Event::Session(SessionEvent::Closed(id)) => {
                self.sessions.closed(id);
                Some(CallRouterInput::Closed(id))
            }
            Event::Seeds(seeds) => {
                self.links.set_seeds(seeds);
                None
            }
        }
    }

    fn take_link(&mut self, event: LinkEvent) -> Option<CallRouterInput> {
        match self.links.take(event) {
            News::Leader(leader) => {
                let link = leader.map(|(id, _)| id);
                let term = leader.map_or(0, |(_, term)| term.0);
                events::LEADER_FOUND.log(format_args!("known={} term={term}", link.is_some()));
                Some(CallRouterInput::Leader(link))
            }
            News::Message(_, AcceptorMessage::Reply(token, reply)) => {
                Some(CallRouterInput::Reply(token, reply))
            }
            News::Message(_, AcceptorMessage::Config(config)) => {
                Some(CallRouterInput::Config(config))
            }
            News::Message(_, AcceptorMessage::Evacuated(index, data_centres)) => {
                Some(CallRouterInput::Evacuated(index, data_centres))
            }
            News::Quiet | News::Message(..) => None,
        }
    }

    fn put(&mut self, output: CallRouterOutput) {
        match output {
            CallRouterOutput::Forward(link, token, call) => {
                self.links.send(link, InitiatorMessage::Call(token, call))
            }
            CallRouterOutput::Message(id, down) => self.sessions.send(id, down),
            CallRouterOutput::Answer(token, reply) => {
                if let Some(tx) = self.callers.remove(&token)
                    && tx.send(reply).is_err()
                {
                    log::debug!("a caller left before its answer");
                }
            }
        }
    }
}
