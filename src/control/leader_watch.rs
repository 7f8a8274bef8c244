//! Reports that a replica hears from no leader. A group without one does nothing else that a log
//! would show.

use super::log::{DiskId, ReplicaId, list_voters};
use super::raft::Raft;
use crate::core::clock::Millis;
use crate::events;

/// Silence after which the first report is due; longer than an election.
const FIRST_REPORT_AFTER: Millis = Millis(3_000);
/// Interval between further reports.
const REPORT_INTERVAL: Millis = Millis(5_000);
/// Maximum number of replicas in each list of a report.
const MAX_LISTED: usize = 9;

/// Why a voter's vote does not count for a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingVote {
    /// It gave none: it is down, cannot be reached or refuses.
    NotGiven,
    /// The replica runs with this disk, which is not the one that the log names, so its vote does
    /// not count.
    OtherDisk(DiskId),
}

/// The votes of one election, as far as they are known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VoteCount {
    /// Voters whose votes count.
    pub given: Vec<ReplicaId>,
    /// All other voters.
    pub missing: Vec<(ReplicaId, MissingVote)>,
}

impl VoteCount {
    fn list_given(&self) -> String {
        join(self.given.iter().map(|id| id.0.to_string()))
    }

    fn list_missing(&self) -> String {
        join(self.missing.iter().map(|(id, why)| match why {
            MissingVote::NotGiven => format!("{}:not-given", id.0),
            MissingVote::OtherDisk(disk) => format!("{}:disk-{:x}", id.0, disk.0),
        }))
    }
}

fn join(names: impl Iterator<Item = String>) -> String {
    names.take(MAX_LISTED).collect::<Vec<_>>().join(",")
}

/// Decides when a replica that hears from no leader reports it.
///
/// ```
/// use fulmardrift::{DiskId, Durable, LeaderWatch, Millis, Raft, RaftTiming, ReplicaId};
/// let timing = RaftTiming {
///     election: Millis(500),
///     heartbeat: Millis(100),
///     margin: Millis(50),
/// };
/// let durable = Durable { disk: DiskId(1), records: Vec::new() };
/// let raft = Raft::new(ReplicaId(1), vec![ReplicaId(2)], timing, durable, Millis(0), 1);
/// let mut watch = LeaderWatch::default();
/// assert!(!watch.tick(Millis(2_000), &raft));
/// assert!(watch.tick(Millis(3_000), &raft));
/// assert!(!watch.tick(Millis(4_000), &raft));
/// ```
#[derive(Debug, Default)]
pub struct LeaderWatch {
    // When the last report of the present silence was made.
    reported_at: Option<Millis>,
    // The election with the most votes since then.
    best: VoteCount,
    // The votes in the last report.
    reported: VoteCount,
}

impl LeaderWatch {
    /// Logs that the replica hears from no leader, if a report is due. Returns true if it was.
    pub fn tick(&mut self, now: Millis, raft: &Raft) -> bool {
        let silence = now.since(raft.last_heard_at);
        if raft.leader().is_some() {
            self.best = VoteCount::default();
        } else {
            self.count_votes(raft);
        }
        if raft.is_leader() || silence < FIRST_REPORT_AFTER {
            self.reported_at = None;
            return false;
        }
        let is_due = self
            .reported_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if is_due {
            self.reported_at = Some(now);
            self.reported = std::mem::take(&mut self.best);
            self.log_report(silence, raft);
        }
        is_due
    }

    /// The votes that the last report named: those of the election with the most votes.
    #[must_use]
    pub fn votes(&self) -> &VoteCount {
        &self.reported
    }

    fn count_votes(&mut self, raft: &Raft) {
        let count = raft.vote_count();
        let voters = self.best.given.len() + self.best.missing.len();
        let is_same_group = count.given.len() + count.missing.len() == voters;
        if !is_same_group || count.given.len() >= self.best.given.len() {
            self.best = count;
        }
    }

    fn log_report(&mut self, silence: Millis, raft: &Raft) {
        let voters = raft.voters();
        events::NO_LEADER.log(format_args!(
            "silent_ms={} term={} role={:?} founder={} votes_valid={} needed={} log_end={} missing={} \
             given={} voters={}",
            silence.0,
            raft.term().0,
            raft.role(),
            raft.is_founder(),
            self.reported.given.len(),
            voters.len() / 2 + 1,
            raft.last().index.0,
            self.reported.list_missing(),
            self.reported.list_given(),
            list_voters(&voters[..voters.len().min(MAX_LISTED)])
        ));
    }
}
