//! Meeting replicas that are not in the settings.

use super::log::{ReplicaId, Voter};
use super::raft::{Progress, Raft};
use crate::core::clock::Millis;

impl Raft {
    /// Lets replicas join that this one was not told of at its start. Only a
    /// `founder` may take part in the founding of a group.
    #[must_use]
    pub fn allow_joining(mut self, founder: bool) -> Self {
        self.open = true;
        self.founder = founder;
        self
    }

    /// True for a peer that this replica takes messages from.
    pub(crate) fn knows(&mut self, now: Millis, peer: ReplicaId) -> bool {
        if self.peers.contains(&peer) {
            return true;
        }
        if self.open && peer != self.id {
            self.meet(now, peer);
        }
        self.open && peer != self.id
    }

    fn meet(&mut self, now: Millis, peer: ReplicaId) {
        self.peers.push(peer);
        if self.is_leader() {
            let next = self.log.last().index.next();
            self.progress.insert(peer, Progress::new(next, now));
        }
    }

    /// The log may name replicas that this one has not met.
    pub(crate) fn meet_voters(&mut self, now: Millis) {
        if !self.open {
            return;
        }
        let unknown = |v: &&Voter| v.id != self.id && !self.peers.contains(&v.id);
        let met: Vec<_> = self
            .log
            .voters()
            .0
            .iter()
            .filter(unknown)
            .map(|v| v.id)
            .collect();
        for peer in met {
            self.meet(now, peer);
        }
    }

    /// The replicas of the group, or those to be asked while there is none.
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
