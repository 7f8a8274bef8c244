//! Peers that are not configured: replicas that join a group at run time.

use super::log::{ReplicaId, Voter};
use super::progress::Progress;
use super::raft::Raft;
use crate::core::clock::Millis;

impl Raft {
    /// Lets replicas join that are not among the configured peers, until the group has `target`
    /// voters; from then on they replace voters that are gone. This replica and the configured peers
    /// found the group, if it runs with the disk that [`first_disk`](crate::first_disk) names.
    #[must_use]
    pub fn allow_joining(mut self, target: usize) -> Self {
        self.joining_allowed = true;
        self.target_size = target;
        self.join_founders();
        self
    }

    /// True when messages from `peer` are accepted; adds an unknown peer where joining is allowed.
    pub(crate) fn accepts_from(&mut self, now: Millis, peer: ReplicaId) -> bool {
        if self.peers.contains(&peer) {
            return true;
        }
        if self.joining_allowed && peer != self.id {
            self.add_peer(now, peer);
        }
        self.joining_allowed && peer != self.id
    }

    fn add_peer(&mut self, now: Millis, peer: ReplicaId) {
        self.peers.push(peer);
        if self.is_leader() {
            let next = self.log.last().index.next();
            self.progress.insert(peer, Progress::new(next, now));
        }
    }

    /// Adds the voters that the log names and that this replica does not know yet.
    pub(crate) fn add_voters_as_peers(&mut self, now: Millis) {
        if !self.joining_allowed {
            return;
        }
        let unknown = |v: &&Voter| v.id != self.id && !self.peers.contains(&v.id);
        let new_peers: Vec<_> = self
            .log
            .voters()
            .0
            .iter()
            .filter(unknown)
            .map(|v| v.id)
            .collect();
        for peer in new_peers {
            self.add_peer(now, peer);
        }
    }

    /// The voters of the group or, while none are known, all known replicas.
    #[must_use]
    pub fn members(&self) -> Vec<ReplicaId> {
        let voters = self.log.voters().0;
        if voters.is_empty() {
            let mut all = self.peers.clone();
            all.push(self.id);
            all.sort_unstable();
            return all;
        }
        voters.iter().map(|v| v.id).collect()
    }
}
