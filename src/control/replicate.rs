//! Replication: the leader's entries to its followers, and commitment.

use super::log::{Index, LogEntry, Position, ReplicaId, Snapshot, Voter};
use super::message::Body;
use super::raft::{Raft, RaftGuard, RaftOutput};
use crate::core::clock::Millis;

/// Most entries in one message.
const BATCH: usize = 512;
/// Most batches on the way to one follower.
const FLYING: u32 = 4;
/// A follower that answers nothing for so many heartbeats is sent to anew.
const RESEND_BEATS: u64 = 4;

impl Raft {
    /// The leader's regular work.
    pub(crate) fn lead(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        let patience = Millis(self.timing.election.0 * 2);
        if now > self.confirmed(now) + patience && now > self.heard + patience {
            // No quorum for long: another may lead by now.
            self.step_down(now);
            return;
        }
        if now < self.beat + self.timing.heartbeat {
            return;
        }
        self.beat = now;
        let resend = Millis(self.timing.heartbeat.0 * RESEND_BEATS);
        for (_, progress) in self.progress.iter_mut() {
            if progress.flying > 0 && now.since(progress.sent) >= resend {
                progress.flying = 0;
                progress.next = progress.matched.next();
            }
        }
        for to in self.peers.clone() {
            self.send_entries(now, to, true, out);
        }
        self.repair(now, out);
    }

    pub(crate) fn send_all(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        for to in self.peers.clone() {
            self.send_entries(now, to, false, out);
        }
    }

    /// Sends what a follower lacks; a heartbeat goes out even when it lacks nothing.
    fn send_entries(&mut self, now: Millis, to: ReplicaId, beat: bool, out: &mut Vec<RaftOutput>) {
        let last = self.log.last().index;
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let (next, flying) = (progress.next, progress.flying);
        let lacks = next <= last && flying < FLYING;
        if !lacks && !beat {
            return;
        }
        let prev = Index(next.0 - 1);
        let Some(prev_term) = self.log.term(prev) else {
            self.send_snapshot(now, to, out);
            return;
        };
        let count = if lacks { BATCH } else { 0 };
        let entries = self.log.slice(next, count).to_vec();
        let sent = entries.len() as u64;
        let body = Body::Append {
            term: self.term,
            prev: Position {
                term: prev_term,
                index: prev,
            },
            entries,
            commit: self.commit,
            asked: now,
        };
        if let Some(progress) = self.progress.get_mut(&to)
            && sent > 0
        {
            progress.next = Index(next.0 + sent);
            progress.flying += 1;
            progress.sent = now;
        }
        self.send(to, body, out);
    }

    fn send_snapshot(&mut self, now: Millis, to: ReplicaId, out: &mut Vec<RaftOutput>) {
        let snapshot = self.log.snapshot.clone();
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        if progress.flying > 0 {
            return;
        }
        progress.flying = 1;
        progress.sent = now;
        progress.next = snapshot.position.index.next();
        self.send(
            to,
            Body::Install {
                term: self.term,
                snapshot,
                asked: now,
            },
            out,
        );
    }

    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        prev: Position,
        entries: &[LogEntry],
        commit: Index,
        asked: Millis,
        out: &mut Vec<RaftOutput>,
    ) {
        let term = self.term;
        if prev.index < self.log.snapshot.position.index {
            // All of it up to the snapshot is committed here already.
            let matched = self.log.snapshot.position.index;
            self.send(
                from,
                Body::Appended {
                    term,
                    accepted: false,
                    matched: matched.next(),
                    asked,
                },
                out,
            );
            return;
        }
        if self.log.term(prev.index) != Some(prev.term) {
            let matched = self.log.last().index.next().min(prev.index);
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
            return;
        }
        let matched = Index(prev.index.0 + entries.len() as u64);
        let known = |e: &LogEntry| self.log.term(e.position.index) == Some(e.position.term);
        let skip = entries.iter().take_while(|e| known(e)).count();
        let mut write = self.writes;
        if skip < entries.len() {
            write = self.append(entries[skip..].to_vec(), out);
        }
        let body = Body::Appended {
            term,
            accepted: true,
            matched,
            asked,
        };
        self.send_after(write, from, body, out);
        self.commit_to(commit.min(matched), out);
    }

    pub(crate) fn on_install(
        &mut self,
        from: ReplicaId,
        snapshot: Snapshot,
        asked: Millis,
        out: &mut Vec<RaftOutput>,
    ) {
        let term = self.term;
        let matched = snapshot.position.index;
        if matched <= self.commit {
            self.send(
                from,
                Body::Appended {
                    term,
                    accepted: true,
                    matched: self.commit,
                    asked,
                },
                out,
            );
            return;
        }
        self.log.install(snapshot.clone());
        self.commit = matched;
        self.unsynced.clear();
        let write = self.write_snapshot(snapshot.clone(), out);
        self.unsynced.push((write, self.log.last().index));
        out.push(RaftOutput::Restore(snapshot));
        let body = Body::Appended {
            term,
            accepted: true,
            matched,
            asked,
        };
        self.send_after(write, from, body, out);
    }

    pub(crate) fn on_appended(
        &mut self,
        now: Millis,
        from: Voter,
        accepted: bool,
        matched: Index,
        asked: Millis,
        out: &mut Vec<RaftOutput>,
    ) {
        let last = self.log.last().index;
        let Some(progress) = self.progress.get_mut(&from.id) else {
            return;
        };
        if progress.disk != Some(from.disk) {
            // Another disk: what the former one had says nothing.
            progress.disk = Some(from.disk);
            progress.matched = Index(0);
            progress.echoed = None;
        }
        progress.echoed = progress.echoed.max(Some(asked));
        progress.flying = progress.flying.saturating_sub(1);
        if accepted {
            progress.matched = progress.matched.max(matched.min(last));
            progress.next = progress.next.max(progress.matched.next());
        } else {
            progress.flying = 0;
            progress.next = Index(matched.0.clamp(1, last.0 + 1)).max(progress.matched.next());
        }
        self.advance(now, out);
        self.send_entries(now, from.id, false, out);
    }

    /// Commits what a quorum has on disk.
    pub(crate) fn advance(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        let mut reached = Vec::new();
        for voter in self.log.voters().0 {
            reached.push(self.durable_at(*voter));
        }
        let agreed = if self.on(RaftGuard::Quorum) {
            quorum_value(reached)
        } else {
            self.synced
        };
        if agreed > self.commit && self.log.term(agreed) == Some(self.term) {
            self.commit_to(agreed, out);
            // Followers learn of it with the next batch or heartbeat.
            self.send_all(now, out);
        }
    }

    fn durable_at(&self, voter: Voter) -> Index {
        if voter
            == (Voter {
                id: self.id,
                disk: self.disk,
            })
        {
            return self.synced;
        }
        match self.progress.get(&voter.id) {
            Some(p) if self.is_named(voter, p.disk) => p.matched,
            _ => Index(0),
        }
    }

    /// When a quorum last confirmed this leader, by its own clock.
    pub(crate) fn confirmed(&self, now: Millis) -> Millis {
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
                Some(p) if self.is_named(*voter, p.disk) => p.echoed,
                _ => None,
            };
            times.push(echoed.unwrap_or_default());
        }
        quorum_value(times)
    }

    pub(crate) fn commit_to(&mut self, index: Index, out: &mut Vec<RaftOutput>) {
        if index <= self.commit {
            return;
        }
        let count = usize::try_from(index.0 - self.commit.0).unwrap_or(usize::MAX);
        let entries = self.log.slice(self.commit.next(), count).to_vec();
        let Some(last) = entries.last() else {
            return;
        };
        self.commit = last.position.index;
        out.push(RaftOutput::Commit(entries));
    }
}

/// The highest value that a majority has reached.
fn quorum_value<T: Ord + Copy + Default>(mut values: Vec<T>) -> T {
    values.sort_unstable();
    let majority = values.len() / 2 + 1;
    match values.len().checked_sub(majority) {
        Some(i) => values.get(i).copied().unwrap_or_default(),
        None => T::default(),
    }
}
