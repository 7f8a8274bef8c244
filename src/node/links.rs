//! Links to all control instances, and which of them leads.

use std::net::SocketAddrV4;

use tokio::sync::mpsc;

use super::address::replica_address;
use super::link::{self, Link, LinkEvent};
use crate::control::log::{ReplicaId, Term};
use crate::dispatch::call_router::LinkId;
use crate::dispatch::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use crate::shell::clock::Clock;

struct Row {
    id: LinkId,
    address: SocketAddrV4,
    link: Link,
    leads: Option<Term>,
    members: Vec<u64>,
}

/// What a link event means to the process.
#[derive(Debug)]
pub(crate) enum News {
    /// Nothing.
    Quiet,
    /// Another leader, or none, or the same over a new session.
    Leader(Option<(LinkId, Term)>),
    /// A message; from the leader or not.
    Message(LinkId, AcceptorMessage),
}

/// The links of an entry or an agent.
pub(crate) struct Links {
    who: Initiator,
    clock: Clock,
    tell: mpsc::Sender<LinkEvent>,
    seeds: Vec<SocketAddrV4>,
    rows: Vec<Row>,
    last: u64,
    leader: Option<(LinkId, Term)>,
}

impl Links {
    pub(crate) fn new(
        who: Initiator,
        clock: Clock,
        seeds: Vec<SocketAddrV4>,
        tell: mpsc::Sender<LinkEvent>,
    ) -> Self {
        let mut links = Self {
            who,
            clock,
            tell,
            seeds: Vec::new(),
            rows: Vec::new(),
            last: 0,
            leader: None,
        };
        links.set_seeds(seeds);
        links
    }

    /// Takes other seeds; links to instances that nobody names any more end.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
        self.settle();
    }

    pub(crate) fn leader(&self) -> Option<LinkId> {
        self.leader.map(|(id, _)| id)
    }

    pub(crate) fn send(&self, to: LinkId, up: InitiatorMessage) {
        if let Some(row) = self.rows.iter().find(|row| row.id == to) {
            row.link.send(up);
        }
    }

    pub(crate) fn take(&mut self, event: LinkEvent) -> News {
        match event {
            LinkEvent::Up(id) => {
                if let Some(row) = self.row(id) {
                    row.leads = None;
                }
                News::Quiet
            }
            LinkEvent::Down(id) => {
                if let Some(row) = self.row(id) {
                    row.leads = None;
                }
                self.elect()
            }
            LinkEvent::Message(
                id,
                AcceptorMessage::Status {
                    leads,
                    term,
                    members,
                },
            ) => {
                if let Some(row) = self.row(id) {
                    row.leads = leads.then_some(term);
                    row.members = members;
                }
                self.settle();
                self.elect()
            }
            LinkEvent::Message(id, down) => News::Message(id, down),
        }
    }

    fn row(&mut self, id: LinkId) -> Option<&mut Row> {
        self.rows.iter_mut().find(|row| row.id == id)
    }

    /// The leader with the highest term.
    fn elect(&mut self) -> News {
        let leading = self
            .rows
            .iter()
            .filter_map(|row| Some((row.leads?, row.id)));
        let best = leading.max().map(|(term, id)| (id, term));
        if best == self.leader {
            return News::Quiet;
        }
        self.leader = best;
        News::Leader(best)
    }

    /// Opens links to all instances that seeds or members name, and drops others.
    fn settle(&mut self) {
        let mut wanted = self.seeds.clone();
        for row in &self.rows {
            let named = row.members.iter().map(|id| replica_address(ReplicaId(*id)));
            wanted.extend(named);
        }
        wanted.sort_unstable();
        wanted.dedup();
        self.rows.retain(|row| wanted.contains(&row.address));
        for address in wanted {
            if self.rows.iter().any(|row| row.address == address) {
                continue;
            }
            self.last += 1;
            let id = LinkId(self.last);
            let link = link::open(id, address, self.who.clone(), self.clock, self.tell.clone());
            self.rows.push(Row {
                id,
                address,
                link,
                leads: None,
                members: Vec::new(),
            });
        }
    }
}
