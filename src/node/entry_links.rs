//! An agent's links to the entries that the control group lists.

use tokio::sync::mpsc;

use super::address::replica_address;
use super::agent::dispatcher_input;
use super::link::{self, Link, LinkEvent, Origin};
use crate::control::log::ReplicaId;
use crate::core::clock::Millis;
use crate::dispatch::agent::ServerAgentInput;
use crate::dispatch::call_router::LinkId;
use crate::dispatch::dispatcher_link::Owner;
use crate::dispatch::wire::{AcceptorMessage, InitiatorMessage};
use crate::shell::clock::Clock;

/// The link to an entry that the group no longer lists is kept for this long: a new leader does not
/// know all entries at once, and an entry that restarts comes back.
const RETENTION: Millis = Millis(30_000);

struct KnownEntry {
    id: LinkId,
    address: u64,
    link: Link,
    // Incarnation of the entry that answers at this address.
    life: Option<u64>,
    last_listed_at: Millis,
}

/// The links of one agent to the entries.
pub(crate) struct EntryLinks {
    origin: Origin,
    clock: Clock,
    event_tx: mpsc::Sender<LinkEvent>,
    links: Vec<KnownEntry>,
    last_id: u64,
}

impl EntryLinks {
    pub(crate) fn new(origin: Origin, clock: Clock, event_tx: mpsc::Sender<LinkEvent>) -> Self {
        Self {
            origin,
            clock,
            event_tx,
            links: Vec::new(),
            last_id: 0,
        }
    }

    /// Opens links to the listed entries, and drops those of entries that have been missing from
    /// the list for too long.
    pub(crate) fn update(&mut self, now: Millis, addresses: &[u64]) {
        for entry in &mut self.links {
            if addresses.contains(&entry.address) || entry.life.is_some() {
                entry.last_listed_at = now;
            }
        }
        self.links
            .retain(|entry| now.since(entry.last_listed_at) < RETENTION);
        for address in addresses {
            if self.links.iter().any(|entry| entry.address == *address) {
                continue;
            }
            self.last_id += 1;
            let id = LinkId(self.last_id);
            let to = replica_address(ReplicaId(*address));
            let link = link::open(
                id,
                to,
                self.origin.clone(),
                self.clock,
                self.event_tx.clone(),
            );
            self.links.push(KnownEntry {
                id,
                address: *address,
                link,
                life: None,
                last_listed_at: now,
            });
        }
    }

    pub(crate) fn send(&self, life: u64, message: InitiatorMessage) {
        if let Some(entry) = self.links.iter().find(|entry| entry.life == Some(life)) {
            entry.link.send(message);
        }
    }

    pub(crate) fn handle_event(&mut self, event: LinkEvent) -> Option<ServerAgentInput> {
        match event {
            LinkEvent::Connected(_) => None,
            LinkEvent::Disconnected(id) => {
                let life = self.link_to(id)?.life.take()?;
                Some(ServerAgentInput::EntryDisconnected(life))
            }
            LinkEvent::Message(id, AcceptorMessage::Welcome { life, runs }) => {
                self.link_to(id)?.life = Some(life);
                Some(ServerAgentInput::Welcome(life, runs))
            }
            LinkEvent::Message(id, message) => {
                let life = self.link_to(id)?.life?;
                dispatcher_input(Owner::Entry(life), message)
            }
        }
    }

    fn link_to(&mut self, id: LinkId) -> Option<&mut KnownEntry> {
        self.links.iter_mut().find(|entry| entry.id == id)
    }
}
