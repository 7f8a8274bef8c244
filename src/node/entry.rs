//! An entry as a process: its calls go to the leader.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use super::link::LinkEvent;
use super::links::{Links, News};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::dispatch::call::{Call, Reply};
use crate::dispatch::entry::{Desk, DeskInput, DeskOutput};
use crate::dispatch::wire::{Down, Up, Who};
use crate::events;
use crate::shell::clock::Clock;

/// How often deadlines are looked at.
const TICK: Duration = Duration::from_millis(20);
/// Calls and link events waiting.
const EVENTS: usize = 4_096;

#[derive(Debug)]
enum Event {
    Call(u64, Call, Millis, oneshot::Sender<Reply>),
    Left(u64),
    Seeds(Vec<SocketAddrV4>),
}

/// A running entry.
#[derive(Debug, Clone)]
pub struct EntryNode {
    tx: mpsc::Sender<Event>,
    last: Arc<AtomicU64>,
    open: Arc<AtomicUsize>,
    led: Arc<AtomicUsize>,
}

impl EntryNode {
    /// Starts an entry on the current runtime; `seeds` are addresses of control
    /// instances.
    #[must_use]
    pub fn start(name: &str, seeds: Vec<SocketAddrV4>) -> Self {
        let clock = Clock::new();
        let (link_tx, link_rx) = mpsc::channel(EVENTS);
        let (tx, rx) = mpsc::channel(EVENTS);
        let open = Arc::new(AtomicUsize::new(0));
        let led = Arc::new(AtomicUsize::new(0));
        let actor = Actor {
            links: Links::new(Who::Entry(name.to_owned()), clock, seeds, link_tx),
            desk: Desk::default(),
            clock,
            callers: Table::default(),
            open: Arc::clone(&open),
            led: Arc::clone(&led),
        };
        tokio::spawn(actor.run(rx, link_rx));
        events::STARTED.log(format_args!("entry name={name}"));
        Self {
            tx,
            last: Arc::new(AtomicU64::new(1)),
            open,
            led,
        }
    }

    /// Puts a call to the leader; the answer comes within `wait`.
    pub async fn call(&self, call: Call, wait: Millis) -> Reply {
        let (tx, rx) = oneshot::channel();
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
            return Reply::NotLeader;
        }
        let reply = rx.await.unwrap_or(Reply::Unknown);
        leaving.token = None;
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

    /// True while a leader is known.
    #[must_use]
    pub fn is_led(&self) -> bool {
        self.led.load(Ordering::Relaxed) > 0
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
    desk: Desk,
    clock: Clock,
    callers: Table<u64, oneshot::Sender<Reply>>,
    open: Arc<AtomicUsize>,
    led: Arc<AtomicUsize>,
}

impl Actor {
    async fn run(mut self, mut rx: mpsc::Receiver<Event>, mut links: mpsc::Receiver<LinkEvent>) {
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut out = Vec::new();
        loop {
            // Without open calls there is no deadline to look at.
            let idle = self.desk.len() == 0;
            let input = tokio::select! {
                event = rx.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                Some(event) = links.recv() => self.take_link(event),
                _ = ticker.tick(), if !idle => Some(DeskInput::Tick),
            };
            if let Some(input) = input {
                self.desk.step(self.clock.now(), input, &mut out);
            }
            for output in out.drain(..) {
                self.put(output);
            }
            self.open.store(self.desk.len(), Ordering::Relaxed);
        }
    }

    fn take(&mut self, event: Event) -> Option<DeskInput> {
        match event {
            Event::Left(token) => {
                self.callers.remove(&token);
                Some(DeskInput::Left(token))
            }
            Event::Call(token, call, wait, tx) => {
                self.callers.insert(token, tx);
                Some(DeskInput::Call {
                    token,
                    call,
                    deadline: self.clock.now() + wait,
                })
            }
            Event::Seeds(seeds) => {
                self.links.set_seeds(seeds);
                None
            }
        }
    }

    fn take_link(&mut self, event: LinkEvent) -> Option<DeskInput> {
        match self.links.take(event) {
            News::Quiet => None,
            News::Leader(leader) => {
                let link = leader.map(|(id, _)| id);
                self.led
                    .store(usize::from(link.is_some()), Ordering::Relaxed);
                let term = leader.map_or(0, |(_, term)| term.0);
                events::LEADER_FOUND.log(format_args!("known={} term={term}", link.is_some()));
                Some(DeskInput::Leader(link))
            }
            News::Message(_, Down::Reply(token, reply)) => Some(DeskInput::Reply(token, reply)),
            News::Message(..) => None,
        }
    }

    fn put(&mut self, output: DeskOutput) {
        match output {
            DeskOutput::Send(link, token, call) => self.links.send(link, Up::Call(token, call)),
            DeskOutput::Drop(link, token) => self.links.send(link, Up::Drop(token)),
            DeskOutput::Answer(token, reply) => {
                if let Some(tx) = self.callers.remove(&token)
                    && tx.send(reply).is_err()
                {
                    log::debug!("a caller left before its answer");
                }
            }
        }
    }
}
