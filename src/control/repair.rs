//! Founding a group, and bringing back a replica whose disk was lost.
//!
//! A replica with an empty log never votes itself into anything: a group is
//! founded only when every configured replica is empty and says so to the disk
//! that asks. In a group that exists, a replica with a new disk first catches up;
//! then the log takes its former disk out, and in a second step the new one in,
//! so that each step's majorities overlap.

use super::log::{DiskId, Index, LogEntry, Payload, Position, Term, Voter};
use super::message::Body;
use super::raft::{Raft, RaftOutput};
use crate::core::clock::Millis;

/// A replica counts as caught up when it lacks no more entries than this.
const CAUGHT_UP: u64 = 64;
/// A group is not made larger than this: each further voter slows a commit.
const MOST_VOTERS: usize = 5;
/// A voter silent for so long makes place for a newcomer; a restart is shorter.
const SILENT_AFTER: Millis = Millis(12_000);

impl Raft {
    /// An empty replica's regular work.
    pub(crate) fn greet(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        if now < self.beat + self.timing.heartbeat {
            return;
        }
        self.beat = now;
        for to in self.peers.clone() {
            let echo = self.greeted.get(&to).copied();
            self.send(to, Body::Hello { empty: true, echo }, out);
        }
        self.found(out);
    }

    pub(crate) fn on_hello(
        &mut self,
        from: Voter,
        empty: bool,
        echo: Option<DiskId>,
        out: &mut Vec<RaftOutput>,
    ) {
        if !self.log.is_empty() {
            self.answer_hello(from, empty, out);
            return;
        }
        if !empty {
            // The group exists; its leader will bring this replica up.
            self.greeted.remove(&from.id);
            return;
        }
        self.greeted.insert(from.id, from.disk);
        if echo != Some(self.disk) {
            return;
        }
        self.echoed(from);
        self.found(out);
    }

    fn answer_hello(&self, from: Voter, empty: bool, out: &mut Vec<RaftOutput>) {
        if !empty {
            return;
        }
        let founding = Index(1);
        let first = self.log.get(founding).map(|e| &e.payload);
        if let Some(Payload::Voters(voters)) = first
            && voters.contains(&from)
        {
            // It missed the founding.
            self.send(
                from.id,
                Body::Found {
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
                echo: Some(from.disk),
            },
            out,
        );
    }

    /// Notes that an empty peer knows this replica's own disk.
    fn echoed(&mut self, from: Voter) {
        if !self.votes.contains(&from) {
            self.votes.retain(|v| v.id != from.id);
            self.votes.push(from);
        }
    }

    /// The lowest replica founds the group once all others are known to be empty.
    fn found(&mut self, out: &mut Vec<RaftOutput>) {
        if !self.founder {
            return;
        }
        let lowest = self.peers.iter().all(|peer| *peer > self.id);
        let all = self.peers.iter().all(|peer| {
            let current = |v: &Voter| v.id == *peer && self.greeted.get(peer) == Some(&v.disk);
            self.votes.iter().any(current)
        });
        if !lowest || !all {
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
                Body::Found {
                    voters: voters.clone(),
                },
                out,
            );
        }
        self.start_log(voters, out);
    }

    pub(crate) fn on_found(&mut self, voters: Vec<Voter>, out: &mut Vec<RaftOutput>) {
        let own = Voter {
            id: self.id,
            disk: self.disk,
        };
        if self.log.is_empty() && voters.contains(&own) {
            self.start_log(voters, out);
        }
    }

    /// Writes the first entry, which is the same on every founding replica.
    fn start_log(&mut self, voters: Vec<Voter>, out: &mut Vec<RaftOutput>) {
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

    /// Replaces the disk of a replica that has caught up with a new one.
    pub(crate) fn repair(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        let (voters, changed) = self.log.voters();
        if changed > self.commit || self.commit < self.reign || self.stopping {
            // One change at a time, and only from a settled state.
            return;
        }
        let last = self.log.last().index.0;
        let newcomers = self.progress.iter().filter_map(|(id, p)| {
            let voter = Voter {
                id: *id,
                disk: p.disk?,
            };
            let near = p.matched.0 > 0 && p.matched.0 + CAUGHT_UP >= last;
            (near && !voters.contains(&voter)).then_some(voter)
        });
        let changed = newcomers
            .into_iter()
            .find_map(|newcomer| self.with_newcomer(now, newcomer));
        let Some(voters) = changed else {
            return;
        };
        self.append_own(now, vec![Payload::Voters(voters)], out);
    }

    /// The voters after the next step towards taking a newcomer in: first its own
    /// former disk goes, or a voter that has long been silent, then it comes.
    fn with_newcomer(&self, now: Millis, newcomer: Voter) -> Option<Vec<Voter>> {
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
        if next.len() >= MOST_VOTERS {
            return None;
        }
        next.push(newcomer);
        next.sort_unstable();
        Some(next)
    }

    /// A voter that nobody has heard for long.
    fn silent_voter(&self, now: Millis) -> Option<Voter> {
        let voters = self.log.voters().0.iter();
        voters.copied().find(|voter| {
            let progress = self.progress.get(&voter.id);
            let heard = progress.and_then(|p| p.echoed).unwrap_or(self.heard);
            voter.id != self.id && self.open && now.since(heard) > SILENT_AFTER
        })
    }
}
