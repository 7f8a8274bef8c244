//! An agent's links to the entries that the control group names.

use tokio::sync::mpsc;

use super::address::replica_address;
use super::agent::dispatcher_input;
use super::link::{self, Link, LinkEvent};
use crate::control::log::ReplicaId;
use crate::core::clock::Millis;
use crate::dispatch::agent::ServerAgentInput;
use crate::dispatch::call_router::LinkId;
use crate::dispatch::dispatcher_link::Owner;
use crate::dispatch::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use crate::shell::clock::Clock;

/// An entry that the group no longer names is kept for so long: a new leader does
/// not know all of them at once, and a restarting one comes back.
const KEEP: Millis = Millis(30_000);

struct Row {
    id: LinkId,
    address: u64,
    link: Link,
    // The life that answers there.
    life: Option<u64>,
    named: Millis,
}

/// The links.
pub(crate) struct EntryLinks {
    who: Initiator,
    clock: Clock,
    tell: mpsc::Sender<LinkEvent>,
    rows: Vec<Row>,
    last: u64,
}

impl EntryLinks {
    pub(crate) fn new(who: Initiator, clock: Clock, tell: mpsc::Sender<LinkEvent>) -> Self {
        Self {
            who,
            clock,
            tell,
            rows: Vec::new(),
            last: 0,
        }
    }

    /// Opens links to the entries named, and drops those long gone.
    pub(crate) fn settle(&mut self, now: Millis, addresses: &[u64]) {
        for row in &mut self.rows {
            if addresses.contains(&row.address) || row.life.is_some() {
                row.named = now;
            }
        }
        self.rows.retain(|row| now.since(row.named) < KEEP);
        for address in addresses {
            if self.rows.iter().any(|row| row.address == *address) {
                continue;
            }
            self.last += 1;
            let id = LinkId(self.last);
            let to = replica_address(ReplicaId(*address));
            let link = link::open(id, to, self.who.clone(), self.clock, self.tell.clone());
            self.rows.push(Row {
                id,
                address: *address,
                link,
                life: None,
                named: now,
            });
        }
    }

    pub(crate) fn send(&self, life: u64, up: InitiatorMessage) {
        if let Some(row) = self.rows.iter().find(|row| row.life == Some(life)) {
            row.link.send(up);
        }
    }

    pub(crate) fn take(&mut self, event: LinkEvent) -> Option<ServerAgentInput> {
        match event {
            LinkEvent::Up(_) => None,
            LinkEvent::Down(id) => {
                let life = self.row(id)?.life.take()?;
                Some(ServerAgentInput::EntryDisconnected(life))
            }
            LinkEvent::Message(id, AcceptorMessage::Welcome { life, runs }) => {
                self.row(id)?.life = Some(life);
                Some(ServerAgentInput::Welcome(life, runs))
            }
            LinkEvent::Message(id, down) => {
                let life = self.row(id)?.life?;
                dispatcher_input(Owner::Entry(life), down)
            }
        }
    }

    fn row(&mut self, id: LinkId) -> Option<&mut Row> {
        self.rows.iter_mut().find(|row| row.id == id)
    }
}
