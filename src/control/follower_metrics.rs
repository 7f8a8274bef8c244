//! Metrics of the log and of the leader's followers.

use metrics::{Label, counter, gauge};

use super::follower::Follower;
use super::log::{LogEntry, ReplicaId};
use super::message::{Body, Message};
use super::raft::Raft;
use crate::core::clock::Millis;

/// Interval at which the gauges are set.
const GAUGE_INTERVAL: Millis = Millis(1_000);
/// Maximum number of replicas with a label of their own; further ones share the label `other`. A
/// label stays until the process ends.
const MAX_LABELS: usize = 16;

/// Sets the metrics, with a bounded number of labels.
#[derive(Debug, Clone, Default)]
pub(crate) struct FollowerMetrics {
    labelled: Vec<ReplicaId>,
    // Followers whose gauges were last set.
    shown: Vec<ReplicaId>,
    set_at: Option<Millis>,
}

impl FollowerMetrics {
    /// Counts the bytes of entries and snapshots in a message to a follower.
    pub(crate) fn count_sent(&mut self, message: &Message) {
        let bytes = match &message.body {
            Body::Append { entries, .. } => entries.iter().map(LogEntry::size).sum(),
            Body::Install { snapshot, .. } => snapshot.data.len(),
            Body::InstallChunk { chunk, .. } => chunk.data.len(),
            _ => 0,
        };
        if bytes > 0 {
            let label = self.label(message.to);
            counter!("fulmardrift_follower_sent_bytes", vec![label]).increment(bytes as u64);
        }
    }

    /// True when the gauges are due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        self.set_at.is_none_or(|at| now.since(at) >= GAUGE_INTERVAL)
    }

    /// Sets the gauges; those of replicas that are no longer followers become 0.
    pub(crate) fn set(&mut self, now: Millis, raft: &Raft, followers: &[Follower]) {
        self.set_at = Some(now);
        gauge!("fulmardrift_log_bytes").set(as_gauge(raft.backlog_bytes() as u64));
        let gone = |id: &&ReplicaId| followers.iter().all(|f| f.id != **id);
        let gone: Vec<ReplicaId> = self.shown.iter().filter(gone).copied().collect();
        for id in gone {
            self.set_follower(id, 0, 0, 0);
        }
        for follower in followers {
            let (id, bytes) = (follower.id, follower.missing_bytes as u64);
            self.set_follower(id, follower.acked.0, follower.missing, bytes);
        }
        self.shown = followers.iter().map(|f| f.id).collect();
    }

    fn set_follower(&mut self, id: ReplicaId, acked: u64, missing: u64, missing_bytes: u64) {
        let labels = vec![self.label(id)];
        gauge!("fulmardrift_follower_acked_index", labels.clone()).set(as_gauge(acked));
        gauge!("fulmardrift_follower_missing_entries", labels.clone()).set(as_gauge(missing));
        gauge!("fulmardrift_follower_missing_bytes", labels).set(as_gauge(missing_bytes));
    }

    fn label(&mut self, id: ReplicaId) -> Label {
        if !self.labelled.contains(&id) && self.labelled.len() < MAX_LABELS {
            self.labelled.push(id);
        }
        let name = if self.labelled.contains(&id) {
            id.0.to_string()
        } else {
            "other".to_owned()
        };
        Label::new("replica", name)
    }
}

fn as_gauge(count: u64) -> f64 {
    Millis(count).as_f64()
}
