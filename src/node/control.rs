//! A control instance as a process.

use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::RngExt;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::address::{replica_address, replica_id};
use super::link::{self, Link, LinkEvent};
use super::sessions::{self, Outgoing, SessionEvent};
use crate::control::log::{DiskId, ReplicaId};
use crate::control::message::Message;
use crate::control::raft::{Raft, RaftInput, RaftOutput, RaftTiming};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::dispatch::call::{Call, CallReply};
use crate::dispatch::call_router::LinkId;
use crate::dispatch::replica::{Replica, ReplicaError, ReplicaInput, ReplicaOutput, ReplicaTimes};
use crate::dispatch::wire::{Initiator, InitiatorMessage};
use crate::events;
use crate::shell::clock::Clock;
use crate::store::log_directory::LogDirectory;
use crate::store::wal::{Wal, WalError};
use crate::store::writer::{Batch, start_writer};

/// How often an instance looks at the time.
const TICK: Duration = Duration::from_millis(20);
/// Events waiting for the actor.
const EVENTS: usize = 4_096;
/// Events taken before the actor proposes what they gave.
const TURN: usize = 256;
/// Times of the replicated log: several heartbeats fit into an election's wait, and
/// an election well into a grant.
const TIMING: RaftTiming = RaftTiming {
    election: Millis(450),
    heartbeat: Millis(90),
    margin: Millis(60),
};
/// How long a stopping leader waits for another to take over.
const HANDOVER: u32 = 75;

/// Why a control instance cannot start.
#[derive(Debug, Snafu)]
pub enum ControlStartError {
    /// The data folder cannot be used.
    #[snafu(display("data folder: {source}"))]
    DataFolder {
        /// What the system said.
        source: io::Error,
    },
    /// The log cannot be used.
    #[snafu(display("{source}"))]
    DataLog {
        /// What is wrong.
        source: WalError,
    },
    /// The address for sessions cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// What the system said.
        source: io::Error,
    },
    /// The state in the log cannot be used.
    #[snafu(display("log: {message}"))]
    DataState {
        /// What is wrong.
        message: String,
    },
}

/// Everything a control instance needs to start.
#[derive(Debug, Clone)]
pub struct ControlNodeConfig {
    /// Where other processes open their sessions.
    pub address: SocketAddrV4,
    /// Instances to ask first, this one included or not.
    pub seeds: Vec<SocketAddrV4>,
    /// True at the very first start of the system.
    pub founder: bool,
    /// The data folder.
    pub data: PathBuf,
    /// Times of the users' settings.
    pub times: ReplicaTimes,
}

enum Event {
    Session(SessionEvent),
    Synced(RaftInput),
    Call(Call, oneshot::Sender<CallReply>),
    Stop(oneshot::Sender<()>),
}

/// A running control instance.
#[derive(Debug, Clone)]
pub struct ControlNode {
    tx: mpsc::Sender<Event>,
    leader: Arc<Mutex<Option<SocketAddrV4>>>,
}

impl std::fmt::Debug for Event {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Event")
    }
}

impl ControlNode {
    /// Starts an instance on the current runtime.
    ///
    /// # Errors
    ///
    /// Its data folder, its log or its address cannot be used.
    pub async fn start(cfg: ControlNodeConfig) -> Result<Self, ControlStartError> {
        let clock = Clock::new();
        let began = clock.now();
        let fresh = DiskId(rand::rng().random_range(1..u64::MAX));
        let folder = LogDirectory::open(&cfg.data).context(DataFolderSnafu)?;
        let (wal, durable) = Wal::open(folder, fresh).context(DataLogSnafu)?;
        let opened = clock.now().since(began);
        let address = cfg.address;
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        let own = replica_id(address);
        let known: Vec<ReplicaId> = cfg.seeds.iter().map(|seed| replica_id(*seed)).collect();
        let founder = cfg.founder && known.contains(&own);
        let peers = known.into_iter().filter(|id| *id != own).collect();
        let seed = rand::rng().random();
        let raft = Raft::new(own, peers, TIMING, durable, clock.now(), seed).allow_joining(founder);
        let replica = Replica::new(raft, cfg.times).map_err(|e| ControlStartError::DataState {
            message: e.to_string(),
        })?;
        let (tx, rx) = mpsc::channel(EVENTS);
        let synced = tx.clone();
        let writer = start_writer(wal, move |input| {
            synced.blocking_send(Event::Synced(input)).is_ok()
        });
        tokio::spawn(sessions::serve(listener, clock, tx.clone(), Event::Session));
        let leader = Arc::new(Mutex::new(None));
        let actor = Actor {
            replica,
            clock,
            writer,
            own,
            links: Table::default(),
            link_tx: ignore_links(),
            sessions: Outgoing::default(),
            callers: Table::default(),
            last: 0,
            leader: Arc::clone(&leader),
            stopped: Vec::new(),
        };
        tokio::spawn(actor.run(rx));
        events::STARTED.log(format_args!(
            "control address={address} founder={founder} log_opened_ms={}",
            opened.0
        ));
        Ok(Self { tx, leader })
    }

    /// Puts a call to this instance.
    pub async fn call(&self, call: Call) -> CallReply {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Event::Call(call, tx)).await.is_err() {
            return CallReply::NotLeader;
        }
        rx.await.unwrap_or(CallReply::Unknown)
    }

    /// The leader's address for sessions, as far as this instance knows.
    #[must_use]
    pub fn leader(&self) -> Option<SocketAddrV4> {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands leadership over and finishes what is under way.
    pub async fn stop(&self) {
        events::STOPPING.log(format_args!("control"));
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Event::Stop(tx)).await.is_ok() && rx.await.is_err() {
            log::debug!("the instance stopped by itself");
        }
        events::STOPPED.log(format_args!("control"));
    }
}

/// A sender of link events that nobody needs: peers answer over their own links.
fn ignore_links() -> mpsc::Sender<LinkEvent> {
    let (tx, mut rx) = mpsc::channel(EVENTS);
    tokio::spawn(async move { while rx.recv().await.is_some() {} });
    tx
}

struct Actor {
    replica: Replica,
    clock: Clock,
    writer: std::sync::mpsc::Sender<Batch>,
    own: ReplicaId,
    // Links to the other instances.
    links: Table<ReplicaId, Link>,
    link_tx: mpsc::Sender<LinkEvent>,
    sessions: Outgoing,
    callers: Table<u64, oneshot::Sender<CallReply>>,
    last: u64,
    leader: Arc<Mutex<Option<SocketAddrV4>>>,
    stopped: Vec<oneshot::Sender<()>>,
}

impl Actor {
    async fn run(mut self, mut rx: mpsc::Receiver<Event>) {
        // What is sent on a link that is not up yet is lost: the first election
        // must not wait for that.
        for peer in self.replica.raft().members() {
            if peer != self.own {
                self.link(peer);
            }
        }
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => Some(event),
                    None => return,
                },
                _ = ticker.tick() => None,
            };
            if let Err(error) = self.turn(event, &mut rx) {
                events::CONTROL_FAILED.log(format_args!("{error}"));
                return;
            }
            if self.is_stopped() {
                // Lets the last answers leave.
                sleep(TICK).await;
                for tx in self.stopped.drain(..) {
                    if tx.send(()).is_err() {
                        log::debug!("nobody waits for the stop");
                    }
                }
                return;
            }
        }
    }

    fn is_stopped(&self) -> bool {
        !self.stopped.is_empty() && self.replica.is_idle() && !self.replica.raft().is_leader()
    }

    /// Takes an event, or the passing of time, and all that wait behind it.
    fn turn(
        &mut self,
        first: Option<Event>,
        rx: &mut mpsc::Receiver<Event>,
    ) -> Result<(), ReplicaError> {
        let now = self.clock.now();
        let mut out = Vec::new();
        match first {
            Some(event) => self.take(now, event, &mut out)?,
            None => self.replica.step(now, ReplicaInput::Tick, &mut out)?,
        }
        for _ in 0..TURN {
            let Ok(event) = rx.try_recv() else {
                break;
            };
            self.take(now, event, &mut out)?;
        }
        self.replica.flush(now, &mut out)?;
        for output in out {
            self.put(output);
        }
        let leader = self.replica.leader().map(replica_address);
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
        Ok(())
    }

    fn take(
        &mut self,
        now: Millis,
        event: Event,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        let input = match event {
            Event::Session(SessionEvent::Opened(id, tx)) => {
                self.sessions.opened(id, tx);
                return Ok(());
            }
            Event::Session(SessionEvent::Message(id, up)) => ReplicaInput::Message(id, up),
            Event::Session(SessionEvent::Closed(id)) => {
                self.sessions.closed(id);
                ReplicaInput::Closed(id)
            }
            Event::Synced(input) => ReplicaInput::Raft(input),
            Event::Call(call, tx) => {
                self.last += 1;
                self.callers.insert(self.last, tx);
                ReplicaInput::Call(self.last, call)
            }
            Event::Stop(tx) => {
                self.stopped.push(tx);
                ReplicaInput::Raft(RaftInput::Stop)
            }
        };
        self.replica.step(now, input, out)
    }

    fn put(&mut self, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Raft(RaftOutput::Write(number, records)) => {
                if self.writer.send(Batch { number, records }).is_err() {
                    // The write is never reported as synced.
                    log::debug!("the log's writer is gone");
                }
            }
            ReplicaOutput::Raft(RaftOutput::Send(message)) => self.send_peer(message),
            // Taken by the replica itself.
            ReplicaOutput::Raft(RaftOutput::Commit(_) | RaftOutput::Restore(_)) => {}
            ReplicaOutput::Message(id, down) => self.sessions.send(id, down),
            ReplicaOutput::Reply(token, reply) => {
                if let Some(tx) = self.callers.remove(&token)
                    && tx.send(reply).is_err()
                {
                    log::debug!("a caller left before its answer");
                }
            }
        }
    }

    fn link(&mut self, to: ReplicaId) -> &Link {
        let (own, clock) = (self.own, self.clock);
        let tell = &self.link_tx;
        self.links.or_insert_with(to, || {
            let who = Initiator::Replica(own.0);
            link::open(LinkId(to.0), replica_address(to), who, clock, tell.clone())
        })
    }

    fn send_peer(&mut self, message: Message) {
        self.link(message.to).send(InitiatorMessage::Peer(message));
    }
}

/// Bounds the wait for a stop: the platform ends a process that takes longer.
pub async fn stop_within(node: &ControlNode) {
    let limit = TICK * HANDOVER;
    if tokio::time::timeout(limit, node.stop()).await.is_err() {
        events::STOPPED.log(format_args!("control handover=false"));
    }
}
