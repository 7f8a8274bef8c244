//! Runs a control instance: feeds its replica and executes the commands that it returns.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::RngExt;
use snafu::{ResultExt, Snafu};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::address::{listen_address, replica_address, replica_id};
use super::disk::{NewDisk, OpenLog, file_bound, open_log};
use super::link::{self, HEARTBEAT_INTERVAL, Link, LinkEvent, Origin};
use super::listen::listen;
use super::sessions::{self, SessionEvent, SessionQueues};
use crate::control::founding::first_disk;
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
use crate::store::wal::WalError;
use crate::store::writer::{Batch, start_writer};

/// Interval between an instance's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the event queue.
const EVENT_QUEUE_LEN: usize = 4_096;
/// Largest number of queued events that the actor processes before it proposes the resulting
/// commands.
const MAX_EVENTS_PER_TURN: usize = 256;
/// Timing of the replicated log. Several heartbeats fit into an election timeout, and an election
/// fits well into a grant.
const TIMING: RaftTiming = RaftTiming {
    election: Millis(450),
    heartbeat: Millis(90),
    margin: Millis(60),
};
/// How long a stop may take, in ticks: a stopping leader waits for another replica to take over.
const MAX_STOP_TICKS: u32 = 75;

/// Why a control instance cannot start.
#[derive(Debug, Snafu)]
pub enum ControlStartError {
    /// The data directory or the log cannot be used.
    #[snafu(display("{source}"))]
    DataLog {
        /// The reason.
        source: WalError,
    },
    /// The instance cannot listen on its address for sessions.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The I/O error.
        source: io::Error,
    },
    /// The state in the log cannot be restored.
    #[snafu(display("log: {message}"))]
    DataState {
        /// The reason.
        message: String,
    },
}

/// Configuration of a control instance.
#[derive(Debug, Clone)]
pub struct ControlNodeConfig {
    /// Address at which other processes open their sessions.
    pub address: SocketAddrV4,
    /// Address to listen at and to open sessions from, if it is not the one in `address`.
    pub bind_ip: Option<Ipv4Addr>,
    /// Addresses of instances to contact first; may include this one.
    pub seeds: Vec<SocketAddrV4>,
    /// True at the very first start of the system; ignored unless `seeds` includes this instance.
    /// It is kept in the data directory, as the instance may be restarted before its log exists.
    pub founder: bool,
    /// Number of instances that may be lost, with their disks, at the same time.
    pub tolerated_losses: usize,
    /// The data directory.
    pub data: PathBuf,
    /// Size of the disk that holds it, in bytes; `None` to ask the operating system.
    pub disk: Option<u64>,
    /// Time limits from the users' settings.
    pub times: ReplicaTimes,
}

enum Event {
    Session(SessionEvent),
    Synced(RaftInput),
    Link(LinkEvent),
    Call(Call, oneshot::Sender<CallReply>),
    Stop(oneshot::Sender<()>),
}

/// A running control instance.
#[derive(Debug, Clone)]
pub struct ControlNode {
    tx: mpsc::Sender<Event>,
    clock: Clock,
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
    /// The data directory, the log or the address cannot be used.
    pub async fn start(cfg: ControlNodeConfig) -> Result<Self, ControlStartError> {
        let clock = Clock::new();
        let open_started_at = clock.now();
        let own_id = replica_id(cfg.address);
        let seed_ids: Vec<ReplicaId> = cfg.seeds.iter().map(|seed| replica_id(*seed)).collect();
        let new_disk = NewDisk {
            random: DiskId(rand::rng().random_range(1..u64::MAX)),
            first: seed_ids
                .contains(&own_id)
                .then(|| first_disk(&seed_ids, own_id)),
            is_first_start: cfg.founder,
        };
        // Before the process waits for its address, as it may be killed meanwhile.
        let opened = open_log(&cfg.data, new_disk).await;
        let OpenLog { wal, durable } = opened.context(DataLogSnafu)?;
        let open_duration = clock.now().since(open_started_at);
        let address = listen_address(cfg.address, cfg.bind_ip);
        let listener = listen(address).await.context(ListenSnafu { address })?;
        let peers = seed_ids.into_iter().filter(|id| *id != own_id).collect();
        let seed = rand::rng().random();
        let target_size = cfg.seeds.len().max(2 * cfg.tolerated_losses + 1);
        let raft =
            Raft::new(own_id, peers, TIMING, durable, clock.now(), seed).allow_joining(target_size);
        let founder = raft.is_founder();
        let bound = file_bound(cfg.disk, &cfg.data);
        let replica = Replica::new(raft, cfg.times).map_err(|e| ControlStartError::DataState {
            message: e.to_string(),
        })?;
        let replica = replica
            .with_file_bound(bound)
            .with_tolerated_losses(cfg.tolerated_losses);
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
        let sync_tx = tx.clone();
        let writer = start_writer(wal, move |input| {
            sync_tx.blocking_send(Event::Synced(input)).is_ok()
        });
        tokio::spawn(sessions::serve(listener, clock, tx.clone(), Event::Session));
        let leader = Arc::new(Mutex::new(None));
        let actor = Actor {
            replica,
            clock,
            writer,
            own_id,
            bind_ip: cfg.bind_ip,
            links: Table::default(),
            link_tx: forward_links(tx.downgrade()),
            sessions: SessionQueues::default(),
            callers: Table::default(),
            last_token: 0,
            leader: Arc::clone(&leader),
            stop_waiters: Vec::new(),
        };
        tokio::spawn(actor.run(rx));
        events::STARTED.log(format_args!(
            "control address={} founder={founder} log_opened_ms={} file_bound={bound}",
            cfg.address, open_duration.0
        ));
        Ok(Self { tx, clock, leader })
    }

    /// Passes a call to this instance and waits for its answer. Returns [`CallReply::NotLeader`] if
    /// the instance has stopped, and [`CallReply::Unknown`] if it stops before it has answered.
    pub async fn call(&self, call: Call) -> CallReply {
        let (name, received_at) = (call.to_string(), self.clock.now());
        let reply = self.pass_call(call).await;
        let leader = self.leader().map(|address| address.to_string());
        events::OPERATOR_CALL.log(format_args!(
            "{name} outcome={} took_ms={} leader={}",
            reply.name(),
            self.clock.now().since(received_at).0,
            leader.as_deref().unwrap_or("none")
        ));
        reply
    }

    async fn pass_call(&self, call: Call) -> CallReply {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Event::Call(call, tx)).await.is_err() {
            return CallReply::NotLeader;
        }
        rx.await.unwrap_or(CallReply::Unknown)
    }

    /// Returns the leader's address for sessions, if this instance knows it.
    #[must_use]
    pub fn leader(&self) -> Option<SocketAddrV4> {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns once the instance has stopped, or has failed.
    pub async fn ended(&self) {
        self.tx.closed().await;
    }

    /// Stops the instance: hands leadership over and completes the open calls. There is no time
    /// limit; [`stop_within`] sets one.
    pub async fn stop(&self) {
        events::STOPPING.log(format_args!("control"));
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Event::Stop(tx)).await.is_ok() && rx.await.is_err() {
            log::debug!("the instance had already stopped");
        }
        events::STOPPED.log(format_args!("control"));
    }
}

/// Returns a sender of link events that passes on which links have opened. The others are discarded:
/// peers answer over their own links. It keeps no instance running.
fn forward_links(event_tx: mpsc::WeakSender<Event>) -> mpsc::Sender<LinkEvent> {
    let (tx, mut rx) = mpsc::channel(EVENT_QUEUE_LEN);
    tokio::spawn(async move {
        while let Some(event) = rx.recv().await {
            if !matches!(event, LinkEvent::Connected(_)) {
                continue;
            }
            let Some(event_tx) = event_tx.upgrade() else {
                continue;
            };
            if event_tx.send(Event::Link(event)).await.is_err() {
                log::debug!("the instance has stopped");
            }
        }
    });
    tx
}

struct Actor {
    replica: Replica,
    clock: Clock,
    writer: std::sync::mpsc::Sender<Batch>,
    own_id: ReplicaId,
    bind_ip: Option<Ipv4Addr>,
    // Links to the other instances.
    links: Table<ReplicaId, Link>,
    link_tx: mpsc::Sender<LinkEvent>,
    sessions: SessionQueues,
    callers: Table<u64, oneshot::Sender<CallReply>>,
    last_token: u64,
    leader: Arc<Mutex<Option<SocketAddrV4>>>,
    stop_waiters: Vec<oneshot::Sender<()>>,
}

impl Actor {
    async fn run(mut self, mut rx: mpsc::Receiver<Event>) {
        // A message sent before its link is connected is lost. Opening the links now keeps this
        // from delaying the first election.
        for peer in self.replica.raft().members() {
            if peer != self.own_id {
                self.link(peer);
            }
        }
        let mut ticker = interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => Some(event),
                    None => return,
                },
                _ = ticker.tick() => None,
            };
            if let Err(error) = self.process_events(event, &mut rx) {
                events::CONTROL_FAILED.log(format_args!("{error}"));
                return;
            }
            if self.may_stop() {
                // Leaves time to send the last answers.
                sleep(TICK_INTERVAL).await;
                for tx in self.stop_waiters.drain(..) {
                    if tx.send(()).is_err() {
                        log::debug!("the caller of the stop is gone");
                    }
                }
                return;
            }
        }
    }

    fn may_stop(&self) -> bool {
        !self.stop_waiters.is_empty() && self.replica.is_idle() && !self.replica.raft().is_leader()
    }

    /// Processes an event, or a tick if there is none, and the events that are queued behind it.
    fn process_events(
        &mut self,
        first: Option<Event>,
        rx: &mut mpsc::Receiver<Event>,
    ) -> Result<(), ReplicaError> {
        let now = self.clock.now();
        let mut out = Vec::new();
        match first {
            Some(event) => self.handle_event(now, event, &mut out)?,
            None => self.replica.step(now, ReplicaInput::Tick, &mut out)?,
        }
        for _ in 0..MAX_EVENTS_PER_TURN {
            let Ok(event) = rx.try_recv() else {
                break;
            };
            self.handle_event(now, event, &mut out)?;
        }
        self.replica.flush(now, &mut out)?;
        for output in out {
            self.execute(output);
        }
        let leader = self.replica.leader().map(replica_address);
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner) = leader;
        Ok(())
    }

    fn handle_event(
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
            Event::Session(SessionEvent::Message(id, message)) => {
                if let InitiatorMessage::Hello(Initiator::Replica(peer)) = &message
                    && let Some(link) = self.links.get(&ReplicaId(*peer))
                {
                    link.connect_now();
                }
                ReplicaInput::Message(id, message)
            }
            Event::Link(LinkEvent::Connected(link)) => {
                ReplicaInput::Raft(RaftInput::Connected(ReplicaId(link.0)))
            }
            Event::Link(_) => return Ok(()),
            Event::Session(SessionEvent::Closed(id)) => {
                self.sessions.closed(id);
                ReplicaInput::Closed(id)
            }
            Event::Synced(input) => ReplicaInput::Raft(input),
            Event::Call(call, tx) => {
                self.last_token += 1;
                self.callers.insert(self.last_token, tx);
                ReplicaInput::Call(self.last_token, call)
            }
            Event::Stop(tx) => {
                self.stop_waiters.push(tx);
                ReplicaInput::Raft(RaftInput::Stop)
            }
        };
        self.replica.step(now, input, out)
    }

    fn execute(&mut self, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Raft(RaftOutput::Write(number, records)) => {
                if self.writer.send(Batch { number, records }).is_err() {
                    // The replica never learns that the write is on disk.
                    log::debug!("the log's writer is gone");
                }
            }
            ReplicaOutput::Raft(RaftOutput::Send(message)) => self.send_peer(message),
            // The replica processes these itself.
            ReplicaOutput::Raft(RaftOutput::Commit(_) | RaftOutput::Restore(_)) => {}
            ReplicaOutput::Message(id, message) => self.sessions.send(id, message),
            ReplicaOutput::Reply(token, reply) => {
                if let Some(tx) = self.callers.remove(&token)
                    && tx.send(reply).is_err()
                {
                    log::debug!("a caller disconnected before its answer");
                }
            }
        }
    }

    fn link(&mut self, to: ReplicaId) -> &Link {
        let (own_id, bind_ip, clock) = (self.own_id, self.bind_ip, self.clock);
        let event_tx = &self.link_tx;
        self.links.or_insert_with(to, || {
            let origin = Origin {
                initiator: Initiator::Replica(own_id.0),
                bind_ip,
                heartbeat: HEARTBEAT_INTERVAL,
            };
            link::open(
                LinkId(to.0),
                replica_address(to),
                origin,
                clock,
                event_tx.clone(),
            )
        })
    }

    fn send_peer(&mut self, message: Message) {
        self.link(message.to).send(InitiatorMessage::Peer(message));
    }
}

/// Stops an instance, but waits at most 1.5 s: the platform kills a process that takes longer.
pub async fn stop_within(node: &ControlNode) {
    let limit = TICK_INTERVAL * MAX_STOP_TICKS;
    if tokio::time::timeout(limit, node.stop()).await.is_err() {
        events::STOPPED.log(format_args!("control handover=false"));
    }
}
