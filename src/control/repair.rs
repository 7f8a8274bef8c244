//! Changing the voters after a disk was lost or a replica joined.
//!
//! In an existing group a replica with a new disk first catches up. Then one log entry removes its
//! former disk from the voters and a second one adds the new disk, so that the majorities before and
//! after each step overlap. A silent voter makes place for another replica in the same way. The
//! number of voters does not exceed the target size.

use super::log::{Index, Payload, ReplicaId, Voter};
use super::message::Body;
use super::progress::{FollowerState, LOWEST_RATE, Progress};
use super::raft::{Raft, RaftGuard, RaftOutput};
use crate::core::clock::Millis;

/// A replica has caught up when it lacks at most this many entries.
const MAX_CATCH_UP_LAG: u64 = 64;
/// And when those entries have at most this many bytes, or are one entry: a second of the slowest
/// link.
const MAX_CATCH_UP_BYTES: usize = LOWEST_RATE * 1_000;
/// A replica that has caught up may replace a voter that was silent for longer than this. Short, as
/// the group bears no second loss meanwhile; a voter replaced in error joins again as a newcomer.
const SILENT_AFTER: Millis = Millis(2_000);

impl Raft {
    /// Proposes the next change of the voters, one at a time.
    pub(crate) fn update_voters(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        let (_, changed_at) = self.log.voters();
        if changed_at > self.commit_index || self.commit_index < self.term_start || self.stopping {
            // Only one change at a time, and only after an entry of the current term is committed.
            return;
        }
        if let Some(voters) = self.next_voters(now) {
            self.append_own(now, vec![Payload::Voters(voters)], out);
        }
    }

    /// The voters after the next change, if one is due. A voter is replaced in two changes, first
    /// out, then in. The voters that remain are no worse off in between: the majority of an odd
    /// number of voters, one of them gone, is as many replicas as that of the others alone.
    fn next_voters(&self, now: Millis) -> Option<Vec<Voter>> {
        let (voters, _) = self.log.voters();
        let newcomers = self.newcomers(now);
        let former_disk = |v: &&Voter| newcomers.iter().any(|newcomer| newcomer.id == v.id);
        let removed = voters
            .iter()
            .find(former_disk)
            .copied()
            .or_else(|| self.dispensable_voter(now, !newcomers.is_empty()));
        let mut next = voters.to_vec();
        if let Some(removed) = removed {
            next.retain(|v| *v != removed);
            return Some(next);
        }
        let room = if self.is_enabled(RaftGuard::TargetSize) {
            self.target_size
        } else {
            usize::MAX
        };
        let newcomer = newcomers.first().filter(|_| voters.len() < room)?;
        next.push(*newcomer);
        next.sort_unstable();
        Some(next)
    }

    /// True if a follower takes entries in order and lacks few of them.
    fn has_caught_up(&self, progress: &Progress) -> bool {
        let next = progress.matched.next();
        let lag = self.log.last().index.0.saturating_sub(progress.matched.0);
        progress.state == FollowerState::Replicate
            && progress.matched > Index(0)
            && lag <= MAX_CATCH_UP_LAG
            && (lag <= 1 || self.log.bytes_from(next) <= MAX_CATCH_UP_BYTES)
    }

    /// Replicas that have caught up, answer, and do not vote with their current disk.
    fn newcomers(&self, now: Millis) -> Vec<Voter> {
        let (voters, _) = self.log.voters();
        let mut newcomers = Vec::new();
        for (id, progress) in self.progress.iter() {
            let Some(disk) = progress.disk else {
                continue;
            };
            let voter = Voter { id: *id, disk };
            let caught_up = self.has_caught_up(progress);
            let answers = !self.is_enabled(RaftGuard::LiveNewcomer)
                || progress
                    .echoed_time
                    .is_some_and(|at| now.since(at) <= self.timing.election);
            if caught_up && answers && !voters.contains(&voter) {
                newcomers.push(voter);
            }
        }
        newcomers
    }

    /// The voter to remove, if the group is better off without it: a silent one when a newcomer can
    /// take its place or when the number of voters is even, and any one above the target size.
    fn dispensable_voter(&self, now: Millis, replaceable: bool) -> Option<Voter> {
        if !self.is_enabled(RaftGuard::TargetSize) {
            return None;
        }
        let (voters, _) = self.log.voters();
        let silent = self.silent_voter(now);
        if voters.len() > self.target_size {
            return silent.or_else(|| self.last_other_voter());
        }
        let majority = self.target_size / 2 + 1;
        let even = voters.len().is_multiple_of(2);
        silent.filter(|_| voters.len() > majority && (even || replaceable))
    }

    /// A voter that has not answered, or has stored nothing of what it lacks, for longer than
    /// [`SILENT_AFTER`].
    fn silent_voter(&self, now: Millis) -> Option<Voter> {
        let voters = self.log.voters().0.iter();
        voters
            .copied()
            .find(|voter| voter.id != self.id && self.is_silent(now, voter.id))
    }

    fn is_silent(&self, now: Millis, id: ReplicaId) -> bool {
        let progress = self.progress.get(&id);
        if let Some(progress) = progress
            && let Some(answered_at) = progress.echoed_time
        {
            // A replica whose disk takes nothing answers heartbeats all the same.
            return now.since(answered_at.min(progress.advanced_at)) > SILENT_AFTER;
        }
        // It has not answered this leader, which may have started just now.
        let led_for = now.since(self.last_heard_at);
        let heartbeats = self.timing.heartbeat + self.timing.heartbeat;
        match self.former_leader {
            Some((former, heard_at)) if former == id => {
                led_for > heartbeats && now.since(heard_at) > SILENT_AFTER
            }
            _ => led_for > SILENT_AFTER,
        }
    }

    /// The voter with the highest id other than this replica.
    fn last_other_voter(&self) -> Option<Voter> {
        let voters = self.log.voters().0.iter();
        voters.copied().rfind(|voter| voter.id != self.id)
    }

    /// Announces a replica that has a log and does not vote, when it hears from no leader: a leader
    /// that started later may not know it.
    pub(crate) fn announce_non_voter(&mut self, now: Millis, out: &mut Vec<RaftOutput>) {
        let silence = now.since(self.last_heard_at.max(self.last_heartbeat_at));
        if silence < self.timing.election {
            return;
        }
        self.last_heartbeat_at = now;
        for to in self.peers.clone() {
            let body = Body::Hello {
                empty: false,
                known_disk: None,
            };
            self.send(to, body, out);
        }
    }
}
