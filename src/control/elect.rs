//! Leader elections: pre-vote, vote and change of role.

use super::log::{Index, Position, ReplicaId, Term, Voter};
use super::message::{Body, ElectionCause};
use super::progress::Progress;
use super::raft::{DiskHealth, Raft, RaftGuard, RaftOutput, RaftRole};
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
    /// Asks the voters whether this replica could win an election, without changing their state.
    pub(crate) fn start_pre_vote(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        self.role = RaftRole::PreCandidate;
        self.pre_vote_at = now;
        self.leader = None;
        self.reset_pre_vote_timer(now);
        self.votes = vec![Voter {
            id: self.id,
            disk: self.disk,
        }];
        if let Some(leaderless) = &mut self.leaderless_voters {
            leaderless.clone_from(&self.votes);
        }
        if self.is_quorum(&self.votes) {
            self.start_election(now, ElectionCause::Timeout, out);
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
        let eligible = term > self.term && last >= self.log.last() && self.yields(now, from, last);
        let granted = eligible && !self.must_wait(now, from);
        let leaderless = eligible && self.leaderless_voters.is_some();
        let current_term = self.term;
        self.send(
            from,
            Body::PreVoted {
                term,
                granted,
                current_term,
                leaderless,
            },
            out,
        );
    }

    /// False while this replica asks for pre-votes itself and has the better claim: of two that ask
    /// at the same moment only one becomes a candidate, or they would divide the votes. The replica
    /// that its vote names may have led, and gets the votes of the others sooner.
    fn yields(&self, now: Millis, from: ReplicaId, last: Position) -> bool {
        let asks = self.role == RaftRole::PreCandidate
            && now.since(self.pre_vote_at) < self.timing.heartbeat;
        !asks || self.vote == Some(from) || (last, from) > (self.log.last(), self.id)
    }

    /// True while a leader's lease may rely on this replica not voting for another candidate.
    fn supports_leader(&self, now: Millis) -> bool {
        self.is_enabled(RaftGuard::LeaderStickiness)
            && (self.is_leader() || now < self.last_heard_at + self.timing.election)
    }

    /// True while another replica than `from` may hold a lease that relies on this one. A lease can
    /// rely only on voters whose durable vote of its term names the leader, and a leader that asks
    /// for votes of a later term has given up its lease.
    fn must_wait(&self, now: Millis, from: ReplicaId) -> bool {
        let is_named = self.vote == Some(from)
            || (!self.is_enabled(RaftGuard::NamedCandidate) && self.leaderless_voters.is_some());
        self.supports_leader(now) && !is_named
    }

    /// True if the vote of the current term is this replica's own.
    pub(crate) fn voted_for_itself(&self) -> bool {
        self.vote == Some(self.id)
    }

    /// Asks a peer again for its vote or pre-vote: what was sent before its session opened, and its
    /// answer, may be lost.
    pub(crate) fn repeat_request(&mut self, peer: ReplicaId, out: &mut Vec<RaftOutput>) {
        if !self.peers.contains(&peer) {
            return;
        }
        let last = self.log.last();
        match self.role {
            RaftRole::PreCandidate => {
                let term = Term(self.term.0 + 1);
                self.send(peer, Body::PreVote { term, last }, out);
            }
            RaftRole::Candidate => {
                let (term, cause) = (self.term, self.election_cause);
                self.send_after(self.vote_write, peer, Body::Vote { term, last, cause }, out);
            }
            RaftRole::Follower | RaftRole::Leader => {}
        }
    }

    pub(crate) fn on_pre_voted(
        &mut self,
        now: Millis,
        from: Voter,
        answer: PreVote,
        current_term: Term,
        out: &mut Vec<RaftOutput>,
    ) {
        if current_term > self.term {
            self.adopt_term(now, current_term, out);
            return;
        }
        let is_expected =
            self.role == RaftRole::PreCandidate && answer.term == Term(self.term.0 + 1);
        if !is_expected {
            return;
        }
        if answer.granted && !self.votes.contains(&from) {
            self.votes.push(from);
        }
        if let Some(leaderless) = &mut self.leaderless_voters
            && answer.leaderless
            && !leaderless.contains(&from)
        {
            leaderless.push(from);
        }
        if self.is_quorum(&self.votes) {
            self.start_election(now, ElectionCause::Timeout, out);
        } else if self
            .leaderless_voters
            .as_ref()
            .is_some_and(|leaderless| self.is_leaderless(leaderless))
        {
            self.start_election(now, ElectionCause::Leaderless, out);
        }
    }

    /// Starts an election in a new term.
    pub(crate) fn start_election(
        &mut self,
        now: Millis,
        cause: ElectionCause,
        out: &mut Vec<RaftOutput>,
    ) {
        if !self.is_voter() {
            return;
        }
        self.role = RaftRole::Candidate;
        self.election_cause = cause;
        self.leader = None;
        self.reset_election_timer(now);
        self.term = Term(self.term.0 + 1);
        self.vote = Some(self.id);
        self.votes = Vec::new();
        self.vote_write = self.write_vote(out);
        let (term, last) = (self.term, self.log.last());
        for to in self.peers.clone() {
            self.send_after(self.vote_write, to, Body::Vote { term, last, cause }, out);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Millis,
        from: ReplicaId,
        term: Term,
        last: Position,
        cause: ElectionCause,
        out: &mut Vec<RaftOutput>,
    ) {
        let skips_wait = match cause {
            ElectionCause::Timeout => false,
            ElectionCause::Handover => true,
            ElectionCause::Leaderless => self.leaderless_voters.is_some(),
        };
        if self.must_wait(now, from) && !skips_wait {
            // A candidate that was partitioned must not depose the leader, whose lease relies on
            // this refusal. The term may be this replica's own, learnt from a late answer.
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
        let is_new = term > self.term;
        if is_new {
            self.enter_term(now, term, None);
        }
        let may_vote = self.vote.is_none() || self.vote == Some(from);
        let granted = term == self.term && may_vote && last >= self.log.last();
        if granted {
            self.vote = Some(from);
            self.reset_election_timer(now);
        }
        if granted || is_new {
            self.write_vote(out);
        }
        self.send_after(
            self.last_write,
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
            self.become_leader(now, out);
        }
    }

    /// Becomes the leader and appends the first entry of the new term.
    fn become_leader(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        self.role = RaftRole::Leader;
        self.leader = Some(self.id);
        self.leaderless_voters = None;
        self.partial = None;
        self.last_heartbeat_at = now;
        self.last_heard_at = now;
        self.progress = Table::default();
        for peer in self.peers.clone() {
            let progress = Progress::new(self.log.last().index.next(), now);
            self.progress.insert(peer, progress);
        }
        let payload = self.first_payload();
        let first = self.append_own(now, vec![payload], out);
        self.term_start = first.index;
    }

    /// Becomes a follower in a newer term.
    pub(crate) fn adopt_term(&mut self, now: Millis, term: Term, out: &mut Vec<RaftOutput>) {
        self.enter_term(now, term, None);
        self.write_vote(out);
    }

    /// Becomes a follower in a newer term. The caller writes the vote.
    fn enter_term(&mut self, now: Millis, term: Term, vote: Option<ReplicaId>) {
        self.term = term;
        self.vote = vote;
        self.step_down(now);
    }

    pub(crate) fn step_down(&mut self, now: Millis) {
        self.role = RaftRole::Follower;
        self.drop_unneeded_entries();
        self.leader = None;
        self.reset_election_timer(now);
    }

    /// Accepts `from` as the leader after a message from it; returns false when its term is old.
    pub(crate) fn follow(
        &mut self,
        now: Millis,
        from: ReplicaId,
        term: Term,
        leader_time: Millis,
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
                    leader_time,
                },
                out,
            );
            return false;
        }
        // A vote for another candidate of this term no longer counts: the leader has a majority.
        let names_leader = self.vote == Some(from) || !self.is_enabled(RaftGuard::FollowerVote);
        if term > self.term {
            let vote = self.is_enabled(RaftGuard::FollowerVote).then_some(from);
            self.enter_term(now, term, vote);
            self.write_vote(out);
        } else if !names_leader {
            self.vote = Some(from);
            self.write_vote(out);
        }
        self.role = RaftRole::Follower;
        self.leader = Some(from);
        self.former_leader = Some((from, now));
        self.leaderless_voters = None;
        self.last_heard_at = now;
        self.reset_election_timer(now);
        true
    }

    /// Starts no further election and accepts no further proposal. A leader hands leadership over.
    pub(crate) fn stop(&mut self, out: &mut Vec<RaftOutput>) {
        self.stopping = true;
        if self.is_leader() {
            self.hand_over(out);
        }
    }

    /// Gives leadership up until a write is synced again: a leader that cannot write may go on for
    /// long, as its followers hear from it.
    pub(crate) fn on_disk_failed(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        self.disk_health = DiskHealth::Failed;
        if self.is_leader() {
            self.hand_over(out);
            self.step_down(now);
        }
    }

    /// True if this replica may ask for votes.
    pub(crate) fn may_lead(&self) -> bool {
        !self.stopping && self.disk_health == DiskHealth::Writable
    }

    /// Asks the voter whose log is furthest ahead to take over.
    fn hand_over(&self, out: &mut Vec<RaftOutput>) {
        let (voters, _) = self.log.voters();
        let eligible = self.progress.iter().filter(|(id, p)| {
            voters
                .iter()
                .any(|v| v.id == **id && Some(v.disk) == p.disk)
        });
        let successor = eligible.max_by_key(|(_, p)| p.matched).map(|(id, _)| *id);
        if let Some(successor) = successor {
            self.send(successor, Body::Handover { term: self.term }, out);
        }
    }
}
