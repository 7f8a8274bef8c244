//! Founding a group, and changing its voters after a disk was lost or a replica joined.
//!
//! A replica with an empty log starts no election, and its vote does not count unless the log of
//! the candidate names its disk. A group is founded only when every configured replica is empty
//! and has confirmed this to the current disk of the founding replica. In an existing group a
//! replica with a new disk first catches up. Then one log entry removes its former disk from the
//! voters and a second one adds the new disk, so that the majorities before and after each step
//! overlap.

use super::log::{DiskId, Index, LogEntry, Payload, Position, Term, Voter};
use super::message::Body;
use super::raft::{Raft, RaftOutput};
use crate::core::clock::Millis;

/// A replica has caught up when it lacks at most this many entries.
const MAX_CATCH_UP_LAG: u64 = 64;
/// Maximum number of voters; each further one slows down commits.
const MAX_VOTERS: usize = 5;
/// A joining replica may replace a voter that was silent for longer than this; a restart takes
/// less.
const SILENT_AFTER: Millis = Millis(12_000);

impl Raft {
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
        from: Voter,
        empty: bool,
        known_disk: Option<DiskId>,
        out: &mut Vec<RaftOutput>,
    ) {
        if !self.log.is_empty() {
            self.answer_hello(from, empty, out);
            return;
        }
        if !empty {
            // The group exists; its leader will send this replica the log.
            self.empty_peers.remove(&from.id);
            return;
        }
        self.empty_peers.insert(from.id, from.disk);
        if known_disk != Some(self.disk) {
            return;
        }
        self.confirm_empty_peer(from);
        self.try_found_group(out);
    }

    fn answer_hello(&self, from: Voter, empty: bool, out: &mut Vec<RaftOutput>) {
        if !empty {
            return;
        }
        let first_index = Index(1);
        let first = self.log.get(first_index).map(|e| &e.payload);
        if let Some(Payload::Voters(voters)) = first
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

    /// Records that an empty peer knows this replica's current disk. The confirmations are kept in
    /// `votes`, which an empty replica does not need for elections.
    fn confirm_empty_peer(&mut self, from: Voter) {
        if !self.votes.contains(&from) {
            self.votes.retain(|v| v.id != from.id);
            self.votes.push(from);
        }
    }

    /// Founds the group if this replica has the lowest id and all others are known to be empty.
    fn try_found_group(&mut self, out: &mut Vec<RaftOutput>) {
        if !self.founder {
            return;
        }
        let is_lowest = self.peers.iter().all(|peer| *peer > self.id);
        let all_empty = self.peers.iter().all(|peer| {
            let confirmed =
                |v: &Voter| v.id == *peer && self.empty_peers.get(peer) == Some(&v.disk);
            self.votes.iter().any(confirmed)
        });
        if !is_lowest || !all_empty {
            return;
        }
        let mut voters = self.votes.clone();
        voters.push(Voter {
            id: self.id,
            disk: self.disk,
        });
        voters.sort_unstable();
        self.votes.clear();
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
        if self.log.is_empty() && voters.contains(&own) {
            self.write_first_entry(voters, out);
        }
    }

    /// Writes the first log entry, which is the same on every replica that founds the group.
    fn write_first_entry(&mut self, voters: Vec<Voter>, out: &mut Vec<RaftOutput>) {
        self.votes.clear();
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

    /// Proposes the next change of the voters for a replica that has caught up with a new disk.
    pub(crate) fn update_voters(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        let (voters, changed_at) = self.log.voters();
        if changed_at > self.commit_index || self.commit_index < self.term_start || self.stopping {
            // Only one change at a time, and only after an entry of the current term is committed.
            return;
        }
        let last = self.log.last().index.0;
        let newcomers = self.progress.iter().filter_map(|(id, p)| {
            let voter = Voter {
                id: *id,
                disk: p.disk?,
            };
            let caught_up = p.matched.0 > 0 && p.matched.0 + MAX_CATCH_UP_LAG >= last;
            (caught_up && !voters.contains(&voter)).then_some(voter)
        });
        let proposal = newcomers
            .into_iter()
            .find_map(|newcomer| self.next_voters(now, newcomer));
        let Some(voters) = proposal else {
            return;
        };
        self.append_own(now, vec![Payload::Voters(voters)], out);
    }

    /// The voters after the next step towards adding `newcomer`. The first step removes its own
    /// former disk or a voter that has been silent for too long; the next one adds it.
    fn next_voters(&self, now: Millis, newcomer: Voter) -> Option<Vec<Voter>> {
        let (voters, _) = self.log.voters();
        let mut next = voters.to_vec();
        next.retain(|v| v.id != newcomer.id);
        if next.len() < voters.len() {
            return Some(next);
        }
        if let Some(silent) = self.silent_voter(now) {
            next.retain(|v| *v != silent);
            return Some(next);
        }
        if next.len() >= MAX_VOTERS {
            return None;
        }
        next.push(newcomer);
        next.sort_unstable();
        Some(next)
    }

    /// A voter that has been silent for longer than [`SILENT_AFTER`], where replicas may join.
    fn silent_voter(&self, now: Millis) -> Option<Voter> {
        let voters = self.log.voters().0.iter();
        voters.copied().find(|voter| {
            let progress = self.progress.get(&voter.id);
            let last_heard_at = progress
                .and_then(|p| p.echoed_time)
                .unwrap_or(self.last_heard_at);
            voter.id != self.id && self.joining_allowed && now.since(last_heard_at) > SILENT_AFTER
        })
    }
}
