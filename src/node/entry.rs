//! Runs an entry: feeds its call router and executes the commands that it returns.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use rand::RngExt;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use super::address::{listen_address, replica_id};
use super::link::{HEARTBEAT_INTERVAL, LinkEvent, Origin};
use super::links::{ControlLinks, LeaderUpdate};
use super::listen::listen;
use super::pauses::PauseWatch;
use super::sessions::{self, SessionEvent, SessionQueues};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::dispatch::call::{Call, CallReply};
use crate::dispatch::call_router::{CallRouter, CallRouterInput, CallRouterOutput};
use crate::dispatch::late_calls::SentAfter;
use crate::dispatch::times::Times;
use crate::dispatch::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use crate::events;
use crate::shell::clock::{Clock, unix_now};

/// Interval between checks of deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of each event queue.
const EVENT_QUEUE_LEN: usize = 4_096;
/// Interval between log lines that say why the entry is not ready.
const NOT_READY_INTERVAL: Millis = Millis(5_000);
/// Largest number of queued events that are processed before tasks are placed.
const MAX_EVENTS_PER_TURN: usize = 64;

#[derive(Debug)]
enum Event {
    Call(u64, Call, (SentAfter, Millis), oneshot::Sender<CallReply>),
    CallerLeft(u64),
    Session(SessionEvent),
    StopsAt(Millis),
    Seeds(Vec<SocketAddrV4>),
}

/// How long ago a caller can have sent a call.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallAge {
    /// At most.
    pub max: Millis,
    /// At most, unless requests were held up on their way.
    pub usual: Millis,
}

/// Configuration of an entry.
#[derive(Debug, Clone)]
pub struct EntryNodeConfig {
    /// Name of the entry.
    pub name: String,
    /// Address at which agents open their sessions.
    pub address: SocketAddrV4,
    /// Address to listen at and to open sessions from, if it is not the one in `address`.
    pub bind_ip: Option<Ipv4Addr>,
    /// Addresses of control instances to contact first.
    pub seeds: Vec<SocketAddrV4>,
    /// Times of the dispatch protocol.
    pub times: Times,
}

/// A running entry.
#[derive(Debug, Clone)]
pub struct EntryNode {
    tx: mpsc::Sender<Event>,
    clock: Clock,
    next_token: Arc<AtomicU64>,
    // Calls in the router, and callers that wait; a call may still be on its way between the two.
    open_calls: Arc<AtomicUsize>,
    callers: Arc<AtomicUsize>,
    ready: Arc<AtomicBool>,
}

impl EntryNode {
    /// Starts an entry on the current runtime.
    ///
    /// # Errors
    ///
    /// The entry cannot listen on its address.
    pub async fn start(cfg: EntryNodeConfig) -> std::io::Result<Self> {
        let clock = Clock::new();
        let listener = listen(listen_address(cfg.address, cfg.bind_ip)).await?;
        let life = rand::rng().random_range(1..u64::MAX);
        let (link_tx, link_rx) = mpsc::channel(EVENT_QUEUE_LEN);
        let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
        let open_calls = Arc::new(AtomicUsize::new(0));
        let ready = Arc::new(AtomicBool::new(false));
        let origin = Origin {
            initiator: Initiator::Entry(cfg.name.clone(), replica_id(cfg.address).0),
            bind_ip: cfg.bind_ip,
            heartbeat: HEARTBEAT_INTERVAL,
        };
        let actor = Actor {
            links: ControlLinks::new(origin, clock, cfg.seeds, link_tx),
            router: CallRouter::new(life, clock.now(), cfg.times),
            sessions: SessionQueues::default(),
            clock,
            callers: Table::default(),
            open_calls: Arc::clone(&open_calls),
            ready: Arc::clone(&ready),
            readiness_logged_at: clock.now(),
        };
        tokio::spawn(actor.run(rx, link_rx));
        tokio::spawn(sessions::serve(listener, clock, tx.clone(), Event::Session));
        events::STARTED.log(format_args!("entry name={} life={life}", cfg.name));
        cfg.times.log_faults();
        Ok(Self {
            tx,
            clock,
            next_token: Arc::new(AtomicU64::new(1)),
            open_calls,
            callers: Arc::default(),
            ready,
        })
    }

    /// Passes a call to the entry's dispatcher or to the leader, and returns the answer, which
    /// comes within `wait` milliseconds. Dropping the
    /// future withdraws the call: a transient job that no other call waits for is stopped.
    pub async fn call(&self, call: Call, age: CallAge, wait: Millis) -> CallReply {
        let (tx, rx) = oneshot::channel();
        let received_at = self.clock.now();
        let sent = SentAfter {
            surely: received_at - age.max,
            usually: received_at - age.usual,
        };
        let deadline = received_at + wait;
        let token = self.next_token.fetch_add(1, Ordering::Relaxed);
        self.callers.fetch_add(1, Ordering::Relaxed);
        let mut guard = CallGuard {
            tx: &self.tx,
            callers: &self.callers,
            token: Some(token),
        };
        if self
            .tx
            .send(Event::Call(token, call, (sent, deadline), tx))
            .await
            .is_err()
        {
            return CallReply::NotLeader;
        }
        let reply = rx.await.unwrap_or(CallReply::Unknown);
        guard.token = None;
        metrics::counter!("fulmardrift_calls", "reply" => reply.name()).increment(1);
        let elapsed = self.clock.now().since(received_at);
        metrics::histogram!("fulmardrift_call_ms").record(elapsed.as_f64());
        reply
    }

    /// Returns once the entry has ended. None does while its process runs, unless it has failed.
    pub async fn ended(&self) {
        self.tx.closed().await;
    }

    /// Replaces the addresses of control instances that the entry contacts first.
    pub async fn set_seeds(&self, seeds: Vec<SocketAddrV4>) {
        if self.tx.send(Event::Seeds(seeds)).await.is_err() {
            log::debug!("the entry has stopped");
        }
    }

    /// Tells the entry that its process ends in `wait` milliseconds. All calls are answered by then:
    /// jobs that can't end in time are refused as soon as that is known, unless they have begun.
    ///
    /// With a second notice that its process ends, the entry takes no more jobs; calls that are still
    /// open are answered by the time of the first.
    pub async fn stop_within(&self, wait: Millis) {
        let stops_at = self.clock.now() + wait;
        if self.tx.send(Event::StopsAt(stops_at)).await.is_err() {
            log::debug!("the entry has stopped");
        }
    }

    /// Returns the number of calls without an answer.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        let callers = self.callers.load(Ordering::Relaxed);
        callers.max(self.open_calls.load(Ordering::Relaxed))
    }

    /// Returns true while this entry should receive new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

/// Counts a caller, and notifies the call router when the future of the call is dropped before
/// its answer.
struct CallGuard<'a> {
    tx: &'a mpsc::Sender<Event>,
    callers: &'a AtomicUsize,
    token: Option<u64>,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.callers.fetch_sub(1, Ordering::Relaxed);
        if let Some(token) = self.token
            && self.tx.try_send(Event::CallerLeft(token)).is_err()
        {
            log::debug!("call {token} stays open until the next tick");
        }
    }
}

struct Actor {
    links: ControlLinks,
    router: CallRouter,
    sessions: SessionQueues,
    clock: Clock,
    callers: Table<u64, oneshot::Sender<CallReply>>,
    open_calls: Arc<AtomicUsize>,
    ready: Arc<AtomicBool>,
    readiness_logged_at: Millis,
}

impl Actor {
    async fn run(mut self, mut rx: mpsc::Receiver<Event>, mut links: mpsc::Receiver<LinkEvent>) {
        let mut ticker = interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut out = Vec::new();
        let mut pauses = PauseWatch::new(self.clock.now());
        loop {
            let input = tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                Some(event) = links.recv() => self.handle_link_event(event),
                _ = ticker.tick() => Some(CallRouterInput::Tick),
            };
            let now = self.clock.now();
            if let Some(input) = input {
                if matches!(input, CallRouterInput::Tick) {
                    self.withdraw_left(now, &mut out);
                }
                self.router.step(now, input, &mut out);
            }
            let mut handled = 1;
            for _ in 0..MAX_EVENTS_PER_TURN {
                let Ok(event) = rx.try_recv() else {
                    break;
                };
                handled += 1;
                // Read after the event was taken: an earlier time may be older than a heartbeat,
                // and so than the grant that follows from that.
                if let Some(input) = self.handle_event(event) {
                    self.router.step(self.clock.now(), input, &mut out);
                }
            }
            self.router.note_turn(handled, rx.len());
            let flushed_at = self.clock.now();
            // The notice that a caller has left may still wait in the queue.
            if self.router.may_order_late(flushed_at) {
                self.withdraw_left(flushed_at, &mut out);
            }
            self.router.flush(flushed_at, unix_now(), &mut out);
            for output in out.drain(..) {
                self.execute(output);
            }
            self.open_calls.store(self.router.len(), Ordering::Relaxed);
            let ended_at = self.clock.now();
            self.update_readiness(ended_at);
            pauses.end_turn(now, ended_at, |at| self.router.stakes(at));
        }
    }

    /// Logs each change, and, while the entry is not ready, repeatedly what is missing.
    fn update_readiness(&mut self, now: Millis) {
        let readiness = self.router.readiness(now);
        let is_ready = readiness.is_ready();
        let has_changed = self.ready.swap(is_ready, Ordering::Relaxed) != is_ready;
        let is_due = !is_ready && now.since(self.readiness_logged_at) >= NOT_READY_INTERVAL;
        if has_changed || is_due {
            self.readiness_logged_at = now;
            events::READY.log(format_args!("{readiness}"));
        }
    }

    /// Withdraws the calls whose callers have left without a notice.
    fn withdraw_left(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        let callers = self.callers.iter();
        let left = callers.filter(|(_, tx)| tx.is_closed());
        let left: Vec<_> = left.map(|(token, _)| *token).collect();
        for token in left {
            self.callers.remove(&token);
            self.router.step(now, CallRouterInput::Left(token), out);
        }
    }

    fn handle_event(&mut self, event: Event) -> Option<CallRouterInput> {
        match event {
            Event::CallerLeft(token) => {
                self.callers.remove(&token);
                Some(CallRouterInput::Left(token))
            }
            // The notice that a caller has left finds no room in a full queue.
            Event::Call(_, _, _, tx) if tx.is_closed() => None,
            Event::Call(token, call, (sent, deadline), tx) => {
                self.callers.insert(token, tx);
                Some(CallRouterInput::Call {
                    token,
                    call,
                    sent,
                    deadline,
                })
            }
            Event::Session(SessionEvent::Opened(id, tx)) => {
                self.sessions.opened(id, tx);
                None
            }
            Event::Session(SessionEvent::Message(id, message)) => {
                Some(CallRouterInput::Message(id, message))
            }
            Event::Session(SessionEvent::Closed(id)) => {
                self.sessions.closed(id);
                Some(CallRouterInput::Closed(id))
            }
            Event::StopsAt(at) => Some(CallRouterInput::StopsAt(at)),
            Event::Seeds(seeds) => {
                self.links.set_seeds(seeds);
                None
            }
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) -> Option<CallRouterInput> {
        match self.links.handle_event(event) {
            LeaderUpdate::Leader(leader) => {
                let link = leader.map(|(id, _)| id);
                let term = leader.map_or(0, |(_, term)| term.0);
                events::LEADER_FOUND.log(format_args!("known={} term={term}", link.is_some()));
                Some(CallRouterInput::Leader(link))
            }
            LeaderUpdate::Message(_, AcceptorMessage::Reply(token, reply)) => {
                Some(CallRouterInput::Reply(token, reply))
            }
            LeaderUpdate::Message(_, AcceptorMessage::Config(config)) => {
                Some(CallRouterInput::Config(config))
            }
            LeaderUpdate::Message(_, AcceptorMessage::Evacuated(index, data_centres)) => {
                Some(CallRouterInput::Evacuated(index, data_centres))
            }
            LeaderUpdate::Message(_, AcceptorMessage::Entries(entries)) => {
                Some(CallRouterInput::Entries(entries.len()))
            }
            LeaderUpdate::Unchanged | LeaderUpdate::Message(..) => None,
        }
    }

    fn execute(&mut self, output: CallRouterOutput) {
        match output {
            CallRouterOutput::Forward(link, token, call) => {
                self.links.send(link, InitiatorMessage::Call(token, call));
            }
            CallRouterOutput::Message(id, message) => self.sessions.send(id, message),
            CallRouterOutput::Answer(token, reply) => {
                if let Some(tx) = self.callers.remove(&token)
                    && tx.send(reply).is_err()
                {
                    log::debug!("a caller disconnected before its answer");
                }
            }
        }
    }
}
