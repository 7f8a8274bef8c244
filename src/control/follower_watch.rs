//! Reports of replicas that lack part of the log: by the leader for each follower, and by a
//! follower for itself.

use super::follower::{Ack, Follower};
use super::follower_metrics::FollowerMetrics;
use super::log::{DiskId, Index, ReplicaId, Term};
use super::message::{Body, Message};
use super::raft::Raft;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// A replica counts as reachable this long after its last message.
const HEARD_WITHIN: Millis = Millis(2_000);
/// A replica that lacks entries, or a voter that is silent, is reported after this long.
const FIRST_REPORT_AFTER: Millis = Millis(3_000);
/// Interval between further reports about a replica.
const REPORT_INTERVAL: Millis = Millis(5_000);
/// A replica is behind when it lacks entries that were committed this long ago.
const GOAL_INTERVAL: Millis = Millis(1_000);
/// A replica that does not vote is no longer watched after this long without a message.
const FORGET_AFTER: Millis = Millis(10_000);

/// What a watch found out and logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerReport {
    /// A replica that the leader hears from lacks committed entries.
    Behind {
        /// The replica.
        follower: Follower,
        /// How long it has been behind.
        behind: Millis,
        /// Time since its acknowledged index last grew.
        stalled: Millis,
        /// Bytes of the log per second that it acknowledged since the last report.
        bytes_per_s: u64,
    },
    /// A replica has caught up that was empty, or that was reported.
    CaughtUp {
        /// The replica.
        follower: Follower,
        /// Bytes that it lacked when this began.
        bytes: usize,
        /// Time since it was first seen empty, behind or silent.
        after: Millis,
    },
    /// The leader hears nothing from a voter.
    VoterSilent {
        /// The voter.
        follower: Follower,
        /// Time since its last message, or since the leader's election if there was none.
        silent: Millis,
    },
    /// This replica is not the leader, and its own log is empty or lacks committed entries.
    OwnLogBehind {
        /// Index of the last entry in the log.
        log_end: Index,
        /// Index of the last entry that is durable.
        synced: Index,
        /// Commit index by the leader's last message.
        commit: Index,
        /// The leader, if known.
        leader: Option<ReplicaId>,
        /// How long this has been so.
        behind: Millis,
    },
}

/// The commit index of one to two [`GOAL_INTERVAL`]s ago.
#[derive(Debug, Clone, Default)]
struct Goal {
    sampled_at: Millis,
    newer: Index,
    older: Index,
}

impl Goal {
    fn new(now: Millis, commit: Index) -> Self {
        Self {
            sampled_at: now,
            newer: commit,
            older: commit,
        }
    }

    fn sample(&mut self, now: Millis, commit: Index) {
        if now.since(self.sampled_at) >= GOAL_INTERVAL {
            self.sampled_at = now;
            self.older = self.newer;
            self.newer = commit;
        }
    }
}

/// The last messages of a replica.
#[derive(Debug, Clone)]
struct Heard {
    at: Millis,
    disk: DiskId,
    // Since when its log was known to be empty, and the last sign of that: an announcement, or a
    // new disk.
    empty: Option<(Millis, Millis)>,
    // The commit index that it last named as the leader.
    commit: Index,
}

/// What the leader's watch remembers about a follower.
#[derive(Debug, Clone)]
struct Watched {
    disk: Option<DiskId>,
    acked: Index,
    advanced_at: Millis,
    // Since when it has been heard and behind.
    behind_since: Option<Millis>,
    // Since when it was first empty, behind or silent, until it has caught up.
    since: Option<Millis>,
    // Bytes that it lacked then.
    first_missing: usize,
    // Whether its catching up is logged.
    announced: bool,
    // Whether it has caught up before.
    followed: bool,
    reported_at: Option<Millis>,
    // Time and acknowledged index from which the rate of the next report counts.
    rate_from: (Millis, Index),
}

impl Watched {
    fn new(now: Millis, disk: Option<DiskId>) -> Self {
        Self {
            disk,
            acked: Index(0),
            advanced_at: now,
            behind_since: None,
            since: None,
            first_missing: 0,
            announced: false,
            followed: false,
            reported_at: None,
            rate_from: (now, Index(0)),
        }
    }

    fn is_due(&self, now: Millis) -> bool {
        self.reported_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL)
    }

    fn begin(&mut self, since: Millis, raft: &Raft) {
        if self.since.is_none() {
            self.since = Some(since);
            self.first_missing = raft.bytes_after(self.acked);
        }
    }
}

/// Decides when a replica reports that a follower's log or its own is behind.
///
/// Nothing is reported while every voter answers and follows.
///
/// ```
/// use fulmardrift::{
///     DiskId, Durable, FollowerReport, FollowerWatch, Index, Millis, Raft, RaftTiming, ReplicaId,
/// };
/// let timing = RaftTiming {
///     election: Millis(500),
///     heartbeat: Millis(100),
///     margin: Millis(50),
/// };
/// let durable = Durable { disk: DiskId(1), records: Vec::new() };
/// let raft = Raft::new(ReplicaId(1), vec![ReplicaId(2)], timing, durable, Millis(0), 1);
/// let mut watch = FollowerWatch::default();
/// assert!(watch.tick(Millis(0), &raft).is_empty());
/// let reports = watch.tick(Millis(3_000), &raft);
/// assert!(matches!(reports[..], [FollowerReport::OwnLogBehind { log_end: Index(0), .. }]));
/// assert!(watch.tick(Millis(4_000), &raft).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct FollowerWatch {
    heard: Table<ReplicaId, Heard>,
    // The term in which this replica leads, and since when.
    led: Option<(Term, Millis)>,
    goal: Goal,
    followers: Table<ReplicaId, Watched>,
    own_behind_since: Option<Millis>,
    own_reported_at: Option<Millis>,
    metrics: FollowerMetrics,
}

impl FollowerWatch {
    /// Notes a message that has arrived.
    pub fn heard(&mut self, now: Millis, message: &Message) {
        let fresh = || Heard {
            at: now,
            disk: message.disk,
            empty: None,
            commit: Index(0),
        };
        let heard = self.heard.or_insert_with(message.from, fresh);
        if heard.disk != message.disk {
            *heard = fresh();
            heard.empty = Some((now, now));
        }
        heard.at = now;
        match &message.body {
            Body::Hello { empty: true, .. } => {
                let since = heard.empty.map_or(now, |(since, _)| since);
                heard.empty = Some((since, now));
            }
            Body::Append { commit, .. } => heard.commit = *commit,
            _ => {}
        }
    }

    /// Counts a message that is sent.
    pub fn sent(&mut self, message: &Message) {
        self.metrics.count_sent(message);
    }

    /// Logs the reports that are due, and returns them. Sets the metrics.
    pub fn tick(&mut self, now: Millis, raft: &Raft) -> Vec<FollowerReport> {
        let is_voter = |id: ReplicaId| raft.voters().iter().any(|v| v.id == id);
        self.heard
            .retain(|id, heard| now.since(heard.at) <= FORGET_AFTER || is_voter(*id));
        let led_term = raft.is_leader().then(|| raft.term());
        if self.led.map(|(term, _)| term) != led_term {
            self.led = led_term.map(|term| (term, now));
            self.goal = Goal::new(now, raft.committed());
            self.followers = Table::default();
            self.own_behind_since = None;
            self.own_reported_at = None;
        }
        let reports = match self.led {
            Some((_, led_since)) => self.watch_followers(now, led_since, raft),
            None => self.watch_own_log(now, raft).into_iter().collect(),
        };
        for report in &reports {
            report.log(raft);
        }
        if self.metrics.is_due(now) {
            self.metrics.set(now, raft, &raft.followers(now));
        }
        reports
    }

    fn watch_followers(
        &mut self,
        now: Millis,
        led_since: Millis,
        raft: &Raft,
    ) -> Vec<FollowerReport> {
        self.goal.sample(now, raft.committed());
        let mut reports = Vec::new();
        for (id, ack) in raft.acks() {
            let is_voter = raft.voters().iter().any(|v| v.id == id);
            if !is_voter && self.heard.get(&id).is_none() {
                self.followers.remove(&id);
                continue;
            }
            reports.extend(self.watch_follower(now, led_since, raft, id, ack));
        }
        reports
    }

    fn watch_follower(
        &mut self,
        now: Millis,
        led_since: Millis,
        raft: &Raft,
        id: ReplicaId,
        mut ack: Ack,
    ) -> Option<FollowerReport> {
        let heard = self.heard.get(&id);
        let disk = heard.map(|h| h.disk).or(ack.disk);
        if ack.disk != disk {
            // What a former disk has acknowledged does not count.
            ack.disk = disk;
            ack.index = Index(0);
        }
        let acked = ack.index;
        let silent = now.since(heard.map_or(led_since, |h| h.at));
        let empty = heard.and_then(|h| h.empty);
        let empty_since = empty.filter(|(_, last)| *last >= led_since);
        let watched = self
            .followers
            .or_insert_with(id, || Watched::new(now, disk));
        if watched.disk != disk {
            *watched = Watched::new(now, disk);
        }
        if let Some((since, _)) = empty_since
            && !watched.followed
        {
            watched.begin(since, raft);
            watched.announced = true;
        }
        if acked > watched.acked {
            watched.acked = acked;
            watched.advanced_at = now;
        }
        let follower = || Follower::new(raft, id, &ack);
        if silent > HEARD_WITHIN {
            watched.behind_since = None;
            return watched.report_silence(now, silent, raft, follower);
        }
        if acked > Index(0) && acked >= self.goal.older {
            return watched.end(now, follower);
        }
        if watched.behind_since.is_none() {
            watched.behind_since = Some(now);
            watched.rate_from = (now, acked);
        }
        watched.begin(now, raft);
        watched.report_lag(now, raft, follower)
    }

    fn watch_own_log(&mut self, now: Millis, raft: &Raft) -> Option<FollowerReport> {
        let leader = raft.leader();
        let heard = leader.and_then(|id| self.heard.get(&id));
        let commit = heard.map_or(Index(0), |h| h.commit).max(raft.committed());
        self.goal.sample(now, commit);
        let synced = raft.synced_index;
        let lacks_entries = leader.is_some() && synced < self.goal.older;
        if !raft.log.is_empty() && !lacks_entries {
            self.own_behind_since = None;
            self.own_reported_at = None;
            return None;
        }
        let behind = now.since(*self.own_behind_since.get_or_insert(now));
        let is_due = self
            .own_reported_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if behind < FIRST_REPORT_AFTER || !is_due {
            return None;
        }
        self.own_reported_at = Some(now);
        Some(FollowerReport::OwnLogBehind {
            log_end: raft.last().index,
            synced,
            commit,
            leader,
            behind,
        })
    }
}

impl Watched {
    fn report_silence(
        &mut self,
        now: Millis,
        silent: Millis,
        raft: &Raft,
        follower: impl Fn() -> Follower,
    ) -> Option<FollowerReport> {
        if silent < FIRST_REPORT_AFTER || !self.is_due(now) {
            return None;
        }
        let follower = follower();
        if !follower.is_voter {
            return None;
        }
        self.begin(now - silent, raft);
        self.announced = true;
        self.reported_at = Some(now);
        Some(FollowerReport::VoterSilent { follower, silent })
    }

    fn report_lag(
        &mut self,
        now: Millis,
        raft: &Raft,
        follower: impl Fn() -> Follower,
    ) -> Option<FollowerReport> {
        let behind = now.since(self.behind_since?);
        if behind < FIRST_REPORT_AFTER || !self.is_due(now) {
            return None;
        }
        let (rate_since, from) = self.rate_from;
        let gained = raft
            .bytes_after(from)
            .saturating_sub(raft.bytes_after(self.acked));
        let elapsed = now.since(rate_since).0.max(1);
        self.rate_from = (now, self.acked);
        self.announced = true;
        self.reported_at = Some(now);
        Some(FollowerReport::Behind {
            follower: follower(),
            behind,
            stalled: now.since(self.advanced_at),
            bytes_per_s: gained as u64 * 1_000 / elapsed,
        })
    }

    /// Ends the watch of a replica that has caught up.
    fn end(&mut self, now: Millis, follower: impl Fn() -> Follower) -> Option<FollowerReport> {
        let since = self.since.take();
        let announced = std::mem::take(&mut self.announced);
        self.followed = true;
        self.behind_since = None;
        self.reported_at = None;
        since
            .filter(|_| announced)
            .map(|since| FollowerReport::CaughtUp {
                follower: follower(),
                bytes: self.first_missing,
                after: now.since(since),
            })
    }
}

impl FollowerReport {
    fn log(&self, raft: &Raft) {
        match self {
            Self::Behind {
                follower,
                behind,
                stalled,
                bytes_per_s,
            } => events::FOLLOWER_BEHIND.log(format_args!(
                "{follower} behind_ms={} stalled_ms={} bytes_per_s={bytes_per_s}",
                behind.0, stalled.0
            )),
            Self::CaughtUp {
                follower,
                bytes,
                after,
            } => events::CAUGHT_UP.log(format_args!(
                "{follower} bytes={bytes} after_ms={}",
                after.0
            )),
            Self::VoterSilent { follower, silent } => {
                events::VOTER_SILENT.log(format_args!("{follower} heard_ms={}", silent.0));
            }
            Self::OwnLogBehind {
                log_end,
                synced,
                commit,
                leader,
                behind,
            } => {
                let leader = leader.map_or_else(|| "none".to_owned(), |id| id.0.to_string());
                events::LOG_BEHIND.log(format_args!(
                    "log_end={} synced={} commit={} behind_ms={} term={} leader={leader} disk={:x}",
                    log_end.0,
                    synced.0,
                    commit.0,
                    behind.0,
                    raft.term().0,
                    raft.disk().0
                ));
            }
        }
    }
}
