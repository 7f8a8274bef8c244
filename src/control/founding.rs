//! Founding a group.
//!
//! The replicas that the settings name at the first start are its first voters. Their first disks
//! have identities that each of them can compute, so each knows the first configuration without a
//! message, and a majority of them elects the first leader, whose first entry names these voters. A
//! replica that is away is a voter that does not answer; one that has lost its first disk gets a
//! random identity and joins like a newcomer. Two groups cannot arise while each of these identities
//! is used by one disk only: see [`FounderMark`](crate::FounderMark).
//!
//! Where replicas cannot join, nothing tells a first start from the loss of a disk. There a group is
//! founded only when every configured replica is empty and has confirmed this to the current disk
//! of the founding replica.

use sha2::{Digest, Sha256};

use super::log::{DiskId, Index, LogEntry, Payload, Position, ReplicaId, Term, Voter, list_voters};
use super::message::{Body, Message};
use super::raft::{Raft, RaftOutput};
use crate::core::clock::Millis;
use crate::events;

/// Starts the hashed text, so that no other hash of the same ids has the same value.
const HASH_CONTEXT: &[u8] = b"fulmardrift first disk";

/// The identity of the first disk of the founder `id`, if `founders` found the group. Other founders
/// give other identities, so that a replica that was told others is no voter of this group.
///
/// ```
/// use fulmardrift::{ReplicaId, first_disk};
/// let [a, b, c] = [1, 2, 3].map(ReplicaId);
/// assert_eq!(first_disk(&[a, b], a), first_disk(&[b, a], a));
/// assert_ne!(first_disk(&[a, b], a), first_disk(&[a, b], b));
/// assert_ne!(first_disk(&[a, b], a), first_disk(&[a, c], a));
/// ```
#[must_use]
pub fn first_disk(founders: &[ReplicaId], id: ReplicaId) -> DiskId {
    let mut sorted = founders.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    let mut hasher = Sha256::new();
    hasher.update(HASH_CONTEXT);
    for founder in sorted {
        hasher.update(founder.0.to_le_bytes());
    }
    hasher.update(id.0.to_le_bytes());
    let hash = hasher.finalize();
    let number = hash
        .iter()
        .take(size_of::<u64>())
        .fold(0, |number, byte| (number << u8::BITS) | u64::from(*byte));
    DiskId(number.max(1))
}

/// The voters of a group that has just been founded.
pub(crate) fn first_voters(founders: &[ReplicaId]) -> Vec<Voter> {
    let mut ids = founders.to_vec();
    ids.sort_unstable();
    ids.dedup();
    let voter = |id| Voter {
        id,
        disk: first_disk(founders, id),
    };
    ids.into_iter().map(voter).collect()
}

impl Raft {
    /// Makes this replica one of the first voters, if it runs with the first disk of a founder.
    pub(crate) fn join_founders(&mut self) {
        let mut founders = self.peers.clone();
        founders.push(self.id);
        self.founder = self.disk == first_disk(&founders, self.id);
        if self.founder && self.log.is_empty() {
            self.log.snapshot.voters = first_voters(&founders);
        }
    }

    /// True if this replica may found the group, or has founded it.
    #[must_use]
    pub fn is_founder(&self) -> bool {
        self.founder
    }

    /// The first entry of a leader: it names the voters if the log is empty.
    pub(crate) fn first_payload(&self) -> Payload {
        if !self.log.is_empty() {
            return Payload::Noop;
        }
        let voters = self.log.voters().0.to_vec();
        self.log_founding(&voters);
        Payload::Voters(voters)
    }

    fn log_founding(&self, voters: &[Voter]) {
        events::FOUNDED.log(format_args!(
            "term={} disk={:x} voters={}",
            self.term.0,
            self.disk.0,
            list_voters(voters)
        ));
    }

    /// Regular work of a replica with an empty log: announces itself to all peers.
    pub(crate) fn empty_replica_tick(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        if now < self.last_heartbeat_at + self.timing.heartbeat {
            return;
        }
        self.last_heartbeat_at = now;
        for to in self.peers.clone() {
            let known_disk = self.empty_peers.get(&to).copied();
            self.send(
                to,
                Body::Hello {
                    empty: true,
                    known_disk,
                },
                out,
            );
        }
        self.try_found_group(out);
    }

    pub(crate) fn on_hello(
        &mut self,
        now: Millis,
        from: Voter,
        empty: bool,
        known_disk: Option<DiskId>,
        out: &mut Vec<RaftOutput>,
    ) {
        if !self.log.is_empty() {
            if empty {
                self.empty_peers.insert(from.id, from.disk);
            }
            self.answer_hello(from, empty, out);
            self.relay_hello(now, from, empty, out);
            return;
        }
        if !empty {
            // The group exists; its leader will send this replica the log.
            self.empty_peers.remove(&from.id);
            return;
        }
        self.empty_peers.insert(from.id, from.disk);
        if self.joining_allowed || known_disk != Some(self.disk) {
            return;
        }
        self.confirm_empty_peer(from);
        self.try_found_group(out);
    }

    /// Passes an announcement on to the leader, which the sender may not know. Only a leader heard
    /// from lately gets it, so that it is not passed around.
    fn relay_hello(&self, now: Millis, from: Voter, empty: bool, out: &mut Vec<RaftOutput>) {
        let Some(leader) = self.leader.filter(|leader| *leader != from.id) else {
            return;
        };
        let is_current = now < self.last_heard_at + self.timing.heartbeat + self.timing.heartbeat;
        if self.is_leader() || !is_current {
            return;
        }
        out.push(RaftOutput::Send(Message {
            from: from.id,
            disk: from.disk,
            to: leader,
            body: Body::Hello {
                empty,
                known_disk: None,
            },
        }));
    }

    fn answer_hello(&self, from: Voter, empty: bool, out: &mut Vec<RaftOutput>) {
        if !empty {
            return;
        }
        let first_index = Index(1);
        let first = self.log.get(first_index).map(|e| &e.payload);
        if !self.joining_allowed
            && let Some(Payload::Voters(voters)) = first
            && voters.contains(&from)
        {
            // The peer missed the message that founded the group.
            self.send(
                from.id,
                Body::FoundGroup {
                    voters: voters.clone(),
                },
                out,
            );
            return;
        }
        self.send(
            from.id,
            Body::Hello {
                empty: false,
                known_disk: Some(from.disk),
            },
            out,
        );
    }

    /// Records that an empty peer knows this replica's current disk.
    fn confirm_empty_peer(&mut self, from: Voter) {
        if !self.confirmations.contains(&from) {
            self.confirmations.retain(|v| v.id != from.id);
            self.confirmations.push(from);
        }
    }

    /// Founds a group that nobody joins, if this replica has the lowest id and all others are known to
    /// be empty.
    fn try_found_group(&mut self, out: &mut Vec<RaftOutput>) {
        if self.joining_allowed {
            return;
        }
        let is_lowest = self.peers.iter().all(|peer| *peer > self.id);
        let all_empty = self.peers.iter().all(|peer| {
            let confirmed =
                |v: &Voter| v.id == *peer && self.empty_peers.get(peer) == Some(&v.disk);
            self.confirmations.iter().any(confirmed)
        });
        if !is_lowest || !all_empty {
            return;
        }
        let mut voters = self.confirmations.clone();
        voters.push(Voter {
            id: self.id,
            disk: self.disk,
        });
        voters.sort_unstable();
        self.confirmations.clear();
        for to in self.peers.clone() {
            self.send(
                to,
                Body::FoundGroup {
                    voters: voters.clone(),
                },
                out,
            );
        }
        self.write_first_entry(voters, out);
    }

    pub(crate) fn on_found_group(&mut self, voters: Vec<Voter>, out: &mut Vec<RaftOutput>) {
        let own = Voter {
            id: self.id,
            disk: self.disk,
        };
        // Where replicas may join, only former versions send this.
        if !self.joining_allowed && self.log.is_empty() && voters.contains(&own) {
            self.write_first_entry(voters, out);
        }
    }

    /// Writes the first log entry, which is the same on every replica that founds the group.
    fn write_first_entry(&mut self, voters: Vec<Voter>, out: &mut Vec<RaftOutput>) {
        self.log_founding(&voters);
        self.confirmations.clear();
        self.term = self.term.max(Term(1));
        self.write_vote(out);
        let position = Position {
            term: Term(1),
            index: Index(1),
        };
        self.append(
            vec![LogEntry {
                position,
                payload: Payload::Voters(voters),
            }],
            out,
        );
    }
}
