//! Elections.

use super::log::{Index, Payload, Position, ReplicaId, Term, Voter};
use super::message::{Body, ElectionCause};
use super::raft::{Progress, Raft, RaftGuard, RaftOutput, RaftRole};
use crate::core::clock::Millis;
use crate::core::table::Table;

/// A voter's answer to [`Body::PreVote`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct PreVote {
    pub(crate) term: Term,
    pub(crate) granted: bool,
    pub(crate) leaderless: bool,
}

impl Raft {
    /// Asks the voters whether an election could be won, without disturbing them.
    pub(crate) fn pre_stand(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        self.role = RaftRole::PreCandidate;
        self.leader = None;
        self.rest_before_asking(now);
        self.votes = vec![Voter {
            id: self.id,
            disk: self.disk,
        }];
        if let Some(leaderless) = &mut self.leaderless {
            leaderless.clone_from(&self.votes);
        }
        if self.is_quorum(&self.votes) {
            self.stand(now, ElectionCause::Timeout, out);
            return;
        }
        let term = Term(self.term.0 + 1);
        let last = self.log.last();
        for to in self.peers.clone() {
            self.send(to, Body::PreVote { term, last }, out);
        }
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        now: Millis,
        from: ReplicaId,
        term: Term,
        last: Position,
        out: &mut Vec<RaftOutput>,
    ) {
        let able = term > self.term && last >= self.log.last();
        let granted = able && !self.is_led(now);
        let leaderless = able && self.leaderless.is_some();
        let current = self.term;
        self.send(
            from,
            Body::PreVoted {
                term,
                granted,
                current,
                leaderless,
            },
            out,
        );
    }

    /// True while a leader may rely on this replica's support.
    fn is_led(&self, now: Millis) -> bool {
        self.on(RaftGuard::LeaderStickiness)
            && (self.is_leader() || now < self.heard + self.timing.election)
    }

    pub(crate) fn on_pre_voted(
        &mut self,
        now: Millis,
        from: Voter,
        said: PreVote,
        current: Term,
        out: &mut Vec<RaftOutput>,
    ) {
        if current > self.term {
            self.adopt_term(now, current, out);
            return;
        }
        let ours = self.role == RaftRole::PreCandidate && said.term == Term(self.term.0 + 1);
        if !ours {
            return;
        }
        if said.granted && !self.votes.contains(&from) {
            self.votes.push(from);
        }
        if let Some(leaderless) = &mut self.leaderless
            && said.leaderless
            && !leaderless.contains(&from)
        {
            leaderless.push(from);
        }
        if self.is_quorum(&self.votes) {
            self.stand(now, ElectionCause::Timeout, out);
        } else if self
            .leaderless
            .as_ref()
            .is_some_and(|leaderless| self.is_all(leaderless))
        {
            self.stand(now, ElectionCause::Leaderless, out);
        }
    }

    /// Stands for election in a new term.
    pub(crate) fn stand(&mut self, now: Millis, leave: ElectionCause, out: &mut Vec<RaftOutput>) {
        if !self.is_voter() {
            return;
        }
        self.role = RaftRole::Candidate;
        self.leader = None;
        self.rest(now);
        self.term = Term(self.term.0 + 1);
        self.vote = Some(self.id);
        self.votes = Vec::new();
        self.vote_write = self.write_vote(out);
        let (term, last) = (self.term, self.log.last());
        for to in self.peers.clone() {
            self.send_after(self.vote_write, to, Body::Vote { term, last, leave }, out);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Millis,
        from: ReplicaId,
        term: Term,
        last: Position,
        leave: ElectionCause,
        out: &mut Vec<RaftOutput>,
    ) {
        let free = match leave {
            ElectionCause::Timeout => false,
            ElectionCause::Handover => true,
            ElectionCause::Leaderless => self.leaderless.is_some(),
        };
        if term > self.term && self.is_led(now) && !free {
            // Someone cut off comes back; the leader's lease counts on this.
            self.send(
                from,
                Body::Voted {
                    term: self.term,
                    granted: false,
                },
                out,
            );
            return;
        }
        if term > self.term {
            self.adopt_term(now, term, out);
        }
        let free = self.vote.is_none() || self.vote == Some(from);
        let granted = term == self.term && free && last >= self.log.last();
        if granted {
            self.vote = Some(from);
            self.rest(now);
            self.write_vote(out);
        }
        self.send_after(
            self.writes,
            from,
            Body::Voted {
                term: self.term,
                granted,
            },
            out,
        );
    }

    pub(crate) fn on_voted(
        &mut self,
        now: Millis,
        from: Voter,
        term: Term,
        granted: bool,
        out: &mut Vec<RaftOutput>,
    ) {
        if term > self.term {
            self.adopt_term(now, term, out);
            return;
        }
        if self.role != RaftRole::Candidate || term < self.term || !granted {
            return;
        }
        if !self.votes.contains(&from) {
            self.votes.push(from);
        }
        self.count_votes(now, out);
    }

    pub(crate) fn count_votes(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        let mut votes = self.votes.clone();
        if self.synced_write >= self.vote_write {
            votes.push(Voter {
                id: self.id,
                disk: self.disk,
            });
        }
        if self.is_quorum(&votes) {
            self.reign(now, out);
        }
    }

    /// Becomes the leader.
    fn reign(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        self.role = RaftRole::Leader;
        self.leader = Some(self.id);
        self.leaderless = None;
        self.beat = now;
        self.heard = now;
        self.progress = Table::default();
        for peer in self.peers.clone() {
            let progress = Progress::new(self.log.last().index.next(), now);
            self.progress.insert(peer, progress);
        }
        let first = self.append_own(now, vec![Payload::Noop], out);
        self.reign = first.index;
    }

    /// Falls back to following in a newer term.
    pub(crate) fn adopt_term(&mut self, now: Millis, term: Term, out: &mut Vec<RaftOutput>) {
        self.term = term;
        self.vote = None;
        self.write_vote(out);
        self.step_down(now);
    }

    pub(crate) fn step_down(&mut self, now: Millis) {
        self.role = RaftRole::Follower;
        self.leader = None;
        self.rest(now);
    }

    /// A message of a leader came; false when it is of an old term.
    pub(crate) fn follow(
        &mut self,
        now: Millis,
        from: ReplicaId,
        term: Term,
        asked: Millis,
        out: &mut Vec<RaftOutput>,
    ) -> bool {
        if term < self.term {
            let (term, matched) = (self.term, Index(0));
            self.send(
                from,
                Body::Appended {
                    term,
                    accepted: false,
                    matched,
                    asked,
                },
                out,
            );
            return false;
        }
        if term > self.term {
            self.adopt_term(now, term, out);
        }
        self.role = RaftRole::Follower;
        self.leader = Some(from);
        self.leaderless = None;
        self.heard = now;
        self.rest(now);
        true
    }

    /// Hands leadership to the peer that is furthest, or just stops standing.
    pub(crate) fn stop(&mut self, out: &mut Vec<RaftOutput>) {
        self.stopping = true;
        if !self.is_leader() {
            return;
        }
        let (voters, _) = self.log.voters();
        let able = self.progress.iter().filter(|(id, p)| {
            voters
                .iter()
                .any(|v| v.id == **id && Some(v.disk) == p.disk)
        });
        let heir = able.max_by_key(|(_, p)| p.matched).map(|(id, _)| *id);
        if let Some(heir) = heir {
            self.send(heir, Body::Handover { term: self.term }, out);
        }
    }
}
