//! Which sets of replicas decide: majorities of the voters, and voters without a leader.

use super::log::{DiskId, Voter};
use super::raft::{Raft, RaftGuard};

impl Raft {
    pub(crate) fn is_voter(&self) -> bool {
        let (voters, _) = self.log.voters();
        voters.contains(&Voter {
            id: self.id,
            disk: self.disk,
        })
    }

    /// True once the log held so many voters in a committed entry, as far back as its snapshot.
    #[must_use]
    pub fn has_had_voters(&self, count: usize) -> bool {
        self.log.most_voters(self.commit_index) >= count
            || !self.is_enabled(RaftGuard::EnoughVoters)
    }

    /// True when `disk` is the one that the log names for this voter.
    pub(crate) fn is_configured_disk(&self, voter: Voter, disk: Option<DiskId>) -> bool {
        disk == Some(voter.disk) || (disk.is_some() && !self.is_enabled(RaftGuard::DiskIdentity))
    }

    /// The number of voters in the latest configuration, and how many of them are in `given`.
    fn count_configured(&self, given: &[Voter]) -> (usize, usize) {
        let (voters, _) = self.log.voters();
        let is_given = |v: &&Voter| {
            let same_replica = given.iter().filter(|g| g.id == v.id);
            same_replica
                .into_iter()
                .any(|g| self.is_configured_disk(**v, Some(g.disk)))
        };
        (voters.len(), voters.iter().filter(is_given).count())
    }

    /// True when `given` contains a majority of the voters in the latest configuration.
    pub(crate) fn is_quorum(&self, given: &[Voter]) -> bool {
        let (voters, count) = self.count_configured(given);
        count * 2 > voters || (count > 0 && !self.is_enabled(RaftGuard::Quorum))
    }

    /// True when none of the latest configuration's voters can hold a lease: each is in `given`,
    /// which have heard from no leader since they started, or has started with another, empty disk.
    pub(crate) fn is_leaderless(&self, given: &[Voter]) -> bool {
        let (voters, _) = self.log.voters();
        let mut known = given.to_vec();
        for voter in voters {
            let empty_disk = self.empty_peers.get(&voter.id);
            if empty_disk.is_some_and(|disk| *disk != voter.disk) {
                known.push(*voter);
            }
        }
        let (voters, count) = self.count_configured(&known);
        count == voters || (!self.is_enabled(RaftGuard::AllLeaderless) && self.is_quorum(given))
    }
}
