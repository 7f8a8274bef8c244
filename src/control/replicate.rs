//! Replication of entries from the leader to its followers, and the commit index.

use super::log::{Index, LogEntry, Position, ReplicaId, Snapshot, Voter};
use super::message::Body;
use super::progress::Progress;
use super::raft::{Raft, RaftGuard, RaftOutput};
use super::transfer::PartialSnapshot;
use crate::core::clock::Millis;

impl Raft {
    /// Regular work of a leader: steps down when it has lost its quorum, sends heartbeats, repeats
    /// lost batches and updates the voters.
    pub(crate) fn leader_tick(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        let quorum_timeout = Millis(self.timing.election.0 * 2);
        if now > self.quorum_confirmed_at(now) + quorum_timeout
            && now > self.last_heard_at + quorum_timeout
        {
            // No quorum has confirmed this leader for two election timeouts; another may have taken
            // over.
            self.step_down(now);
            return;
        }
        if now < self.last_heartbeat_at + self.timing.heartbeat {
            return;
        }
        self.last_heartbeat_at = now;
        let last = self.log.last().index;
        for (_, progress) in self.progress.iter_mut() {
            progress.expire(now, self.timing.heartbeat);
            if progress.matched >= last {
                progress.advanced_at = now;
            }
        }
        self.drop_unneeded_entries();
        for to in self.peers.clone() {
            self.send_heartbeat(now, to, out);
            self.send_entries(now, to, out);
        }
        self.update_voters(now, out);
    }

    pub(crate) fn send_to_followers(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        for to in self.peers.clone() {
            self.send_entries(now, to, out);
        }
    }

    /// Sends a message without entries, which the follower can accept before what is in flight.
    fn send_heartbeat(&mut self, now: Millis, to: ReplicaId, out: &mut Vec<RaftOutput>) {
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let index = progress.heartbeat_index();
        let prev = match self.log.kept_term(index) {
            Some(term) => Position { term, index },
            // Every log starts with this position.
            None => Position::default(),
        };
        self.send_append(now, to, prev, Vec::new(), out);
    }

    /// Sends the entries or the snapshot that a follower lacks, as far as the limits allow.
    pub(crate) fn send_entries(&mut self, now: Millis, to: ReplicaId, out: &mut Vec<RaftOutput>) {
        let last = self.log.last().index;
        while let Some(progress) = self.progress.get_mut(&to)
            && progress.next <= last
            && let Some(limit) = progress.batch_limit()
        {
            let next = progress.next;
            let prev = Index(next.0 - 1);
            let Some(term) = self.log.kept_term(prev) else {
                progress.send_snapshot(now, self.log.snapshot.clone());
                break;
            };
            let entries = self.log.slice_within(next, limit);
            let bytes = entries.iter().map(LogEntry::size).sum();
            if !progress.admits(bytes) {
                return;
            }
            progress.sent(now, Index(prev.0 + entries.len() as u64), bytes);
            let prev = Position { term, index: prev };
            self.send_append(now, to, prev, entries, out);
        }
        self.send_chunks(now, to, out);
    }

    fn send_append(
        &self,
        now: Millis,
        to: ReplicaId,
        prev: Position,
        entries: Vec<LogEntry>,
        out: &mut Vec<RaftOutput>,
    ) {
        let body = Body::Append {
            term: self.term,
            prev,
            entries,
            commit: self.commit_index,
            leader_time: now,
        };
        self.send(to, body, out);
    }

    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        prev: Position,
        entries: &[LogEntry],
        commit: Index,
        leader_time: Millis,
        out: &mut Vec<RaftOutput>,
    ) {
        let term = self.term;
        let covered = self.log.snapshot.position;
        let skipped = covered.index.0.saturating_sub(prev.index.0);
        let skipped = usize::try_from(skipped).map_or(entries.len(), |n| n.min(entries.len()));
        // Everything up to the snapshot is committed, so it equals the leader's log.
        let (prev, entries) = if prev.index < covered.index {
            (covered, &entries[skipped..])
        } else {
            (prev, entries)
        };
        if self.log.term(prev.index) != Some(prev.term) {
            let matched = self.log.last().index.next().min(prev.index);
            self.acknowledge(
                from,
                Body::Appended {
                    term,
                    accepted: false,
                    matched,
                    leader_time,
                },
                out,
            );
            return;
        }
        let matched = Index(prev.index.0 + entries.len() as u64);
        let is_known = |e: &LogEntry| self.log.term(e.position.index) == Some(e.position.term);
        let skip = entries.iter().take_while(|e| is_known(e)).count();
        let mut write = self.last_write;
        if skip < entries.len() {
            write = self.append(entries[skip..].to_vec(), out);
        } else if matched <= self.synced_index {
            // What is reported is durable already, so that a heartbeat's answer waits for no bulk.
            write = self.term_write;
        }
        let body = Body::Appended {
            term,
            accepted: true,
            matched,
            leader_time,
        };
        self.send_after(write, from, body, out);
        self.commit_to(commit.min(matched), out);
    }

    pub(crate) fn on_install(
        &mut self,
        from: ReplicaId,
        snapshot: Snapshot,
        leader_time: Millis,
        out: &mut Vec<RaftOutput>,
    ) {
        let term = self.term;
        let matched = snapshot.position.index;
        if matched <= self.commit_index {
            self.confirm_committed(from, leader_time, out);
            return;
        }
        self.partial = None;
        self.log.install(snapshot.clone());
        self.commit_index = matched;
        self.unsynced_appends.clear();
        let write = self.write_snapshot(snapshot.clone(), out);
        self.unsynced_appends.push((write, self.log.last().index));
        out.push(RaftOutput::Restore(snapshot));
        let body = Body::Appended {
            term,
            accepted: true,
            matched,
            leader_time,
        };
        self.send_after(write, from, body, out);
    }

    /// Notes that a follower has answered a message of this term.
    pub(crate) fn heard_from(
        &mut self,
        now: Millis,
        from: Voter,
        leader_time: Millis,
    ) -> Option<&mut Progress> {
        let last = self.log.last().index;
        let progress = self.progress.get_mut(&from.id)?;
        if progress.disk != Some(from.disk) {
            progress.change_disk(now, from.disk, last);
        }
        progress.echoed_time = progress.echoed_time.max(Some(leader_time));
        Some(progress)
    }

    pub(crate) fn on_appended(
        &mut self,
        now: Millis,
        from: Voter,
        accepted: bool,
        matched: Index,
        leader_time: Millis,
        out: &mut Vec<RaftOutput>,
    ) {
        let last = self.log.last().index;
        let Some(progress) = self.heard_from(now, from, leader_time) else {
            return;
        };
        if accepted {
            progress.accepted(now, matched.min(last));
        } else {
            let hint = Index(matched.0.clamp(1, last.0 + 1));
            progress.refused(now, hint, leader_time);
        }
        self.advance_commit(now, out);
        self.send_entries(now, from.id, out);
    }

    /// Commits the entries that a quorum has made durable.
    pub(crate) fn advance_commit(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        let mut durable = Vec::new();
        for voter in self.log.voters().0 {
            durable.push(self.durable_index(*voter));
        }
        let agreed = if self.is_enabled(RaftGuard::Quorum) {
            quorum_value(durable)
        } else {
            self.synced_index
        };
        if agreed > self.commit_index && self.log.term(agreed) == Some(self.term) {
            self.commit_to(agreed, out);
            // Followers learn the commit index from the next batch or heartbeat.
            self.send_to_followers(now, out);
        }
    }

    fn durable_index(&self, voter: Voter) -> Index {
        if voter
            == (Voter {
                id: self.id,
                disk: self.disk,
            })
        {
            return self.synced_index;
        }
        match self.progress.get(&voter.id) {
            Some(p) if self.is_configured_disk(voter, p.disk) => p.matched,
            _ => Index(0),
        }
    }

    /// Time of the latest message that a quorum has answered, by the leader's own clock.
    pub(crate) fn quorum_confirmed_at(&self, now: Millis) -> Millis {
        let mut times = Vec::new();
        for voter in self.log.voters().0 {
            if *voter
                == (Voter {
                    id: self.id,
                    disk: self.disk,
                })
            {
                times.push(now);
                continue;
            }
            let echoed = match self.progress.get(&voter.id) {
                Some(p) if self.is_configured_disk(*voter, p.disk) => p.echoed_time,
                _ => None,
            };
            times.push(echoed.unwrap_or_default());
        }
        quorum_value(times)
    }

    pub(crate) fn commit_to(&mut self, index: Index, out: &mut Vec<RaftOutput>) {
        if index <= self.commit_index {
            return;
        }
        let count = usize::try_from(index.0 - self.commit_index.0).unwrap_or(usize::MAX);
        let entries = self.log.slice(self.commit_index.next(), count).to_vec();
        let Some(last) = entries.last() else {
            return;
        };
        self.commit_index = last.position.index;
        let is_done = |part: &mut PartialSnapshot| part.index() <= index;
        self.partial.take_if(is_done);
        out.push(RaftOutput::Commit(entries));
    }
}

/// Returns the highest value that a majority of `values` has reached.
fn quorum_value<T: Ord + Copy + Default>(mut values: Vec<T>) -> T {
    values.sort_unstable();
    let majority = values.len() / 2 + 1;
    match values.len().checked_sub(majority) {
        Some(i) => values.get(i).copied().unwrap_or_default(),
        None => T::default(),
    }
}
