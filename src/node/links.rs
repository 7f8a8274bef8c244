//! The links of an entry or an agent to all control instances, and which of them is the leader.

use std::net::SocketAddrV4;

use tokio::sync::mpsc;

use super::address::replica_address;
use super::link::{self, Link, LinkEvent, Origin};
use crate::control::log::{ReplicaId, Term};
use crate::dispatch::call_router::LinkId;
use crate::dispatch::wire::{AcceptorMessage, InitiatorMessage};
use crate::shell::clock::Clock;

struct InstanceLink {
    id: LinkId,
    address: SocketAddrV4,
    link: Link,
    // The term in which the instance leads by its latest status; `None` if it does not lead.
    leads: Option<Term>,
    members: Vec<u64>,
}

/// The effect of a link event on the process.
#[derive(Debug)]
pub(crate) enum LeaderUpdate {
    /// The leader is the same, and there is no message.
    Unchanged,
    /// The leader changed, is unknown, or was reached over a new session.
    Leader(Option<(LinkId, Term)>),
    /// A message, from the leader or from another instance.
    Message(LinkId, AcceptorMessage),
}

/// The links of one process to the control instances.
pub(crate) struct ControlLinks {
    origin: Origin,
    clock: Clock,
    event_tx: mpsc::Sender<LinkEvent>,
    seeds: Vec<SocketAddrV4>,
    links: Vec<InstanceLink>,
    last_id: u64,
    leader: Option<(LinkId, Term)>,
}

impl ControlLinks {
    pub(crate) fn new(
        origin: Origin,
        clock: Clock,
        seeds: Vec<SocketAddrV4>,
        event_tx: mpsc::Sender<LinkEvent>,
    ) -> Self {
        let mut links = Self {
            origin,
            clock,
            event_tx,
            seeds: Vec::new(),
            links: Vec::new(),
            last_id: 0,
            leader: None,
        };
        links.set_seeds(seeds);
        links
    }

    /// Replaces the seeds, and closes links to instances that neither a seed nor a member list
    /// names.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
        self.update_links();
    }

    pub(crate) fn leader(&self) -> Option<LinkId> {
        self.leader.map(|(id, _)| id)
    }

    pub(crate) fn send(&self, to: LinkId, message: InitiatorMessage) {
        if let Some(instance) = self.links.iter().find(|instance| instance.id == to) {
            instance.link.send(message);
        }
    }

    pub(crate) fn handle_event(&mut self, event: LinkEvent) -> LeaderUpdate {
        match event {
            LinkEvent::Connected(id) => {
                if let Some(instance) = self.link_to(id) {
                    instance.leads = None;
                }
                LeaderUpdate::Unchanged
            }
            LinkEvent::Disconnected(id) => {
                if let Some(instance) = self.link_to(id) {
                    instance.leads = None;
                }
                self.update_leader()
            }
            LinkEvent::Message(
                id,
                AcceptorMessage::Status {
                    leads,
                    term,
                    members,
                },
            ) => {
                if let Some(instance) = self.link_to(id) {
                    instance.leads = leads.then_some(term);
                    instance.members = members;
                }
                self.update_links();
                self.update_leader()
            }
            LinkEvent::Message(id, message) => LeaderUpdate::Message(id, message),
        }
    }

    fn link_to(&mut self, id: LinkId) -> Option<&mut InstanceLink> {
        self.links.iter_mut().find(|instance| instance.id == id)
    }

    /// Determines the leader: the instance that claims to lead in the highest term.
    fn update_leader(&mut self) -> LeaderUpdate {
        let leaders = self
            .links
            .iter()
            .filter_map(|instance| Some((instance.leads?, instance.id)));
        let leader = leaders.max().map(|(term, id)| (id, term));
        if leader == self.leader {
            return LeaderUpdate::Unchanged;
        }
        self.leader = leader;
        LeaderUpdate::Leader(leader)
    }

    /// Opens links to all instances that the seeds or the member lists name, and drops the others.
    fn update_links(&mut self) {
        let mut addresses = self.seeds.clone();
        for instance in &self.links {
            let members = instance
                .members
                .iter()
                .map(|id| replica_address(ReplicaId(*id)));
            addresses.extend(members);
        }
        addresses.sort_unstable();
        addresses.dedup();
        self.links
            .retain(|instance| addresses.contains(&instance.address));
        for address in addresses {
            if self
                .links
                .iter()
                .any(|instance| instance.address == address)
            {
                continue;
            }
            self.last_id += 1;
            let id = LinkId(self.last_id);
            let link = link::open(
                id,
                address,
                self.origin.clone(),
                self.clock,
                self.event_tx.clone(),
            );
            self.links.push(InstanceLink {
                id,
                address,
                link,
                leads: None,
                members: Vec::new(),
            });
        }
    }
}
