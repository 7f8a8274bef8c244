//! Demand of each queue, and the order of its jobs when there are too few resources for all.

use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::dispatch::live::{LiveJob, Outlook};
use crate::dispatch::spec::QueueKey;

/// Time constant with which past arrivals lose their weight, in milliseconds; a burst shows within
/// seconds.
const DECAY_MS: f64 = 8_000.0;
/// Part of a job's value that does not depend on its size; the rest grows with its work relative to
/// the mean of its queue.
const FIXED_VALUE: f64 = 0.3;
/// Costs are divided by this and compared as whole numbers.
const RANK_SCALE: f64 = 16.0;

/// Rank of a waiting job; the lowest starts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    outlook: Outlook,
    cost: u64,
}

#[derive(Debug, Clone, Copy)]
struct QueueDemand {
    updated_at: Millis,
    // Number of jobs and their work in core-milliseconds, both decaying over time.
    jobs: f64,
    work: f64,
}

impl QueueDemand {
    /// Factor by which the demand has decayed since its last update.
    fn decay(&self, now: Millis) -> f64 {
        (-now.since(self.updated_at).as_f64() / DECAY_MS).exp()
    }
}

/// Recent demand by service and priority.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    queues: Table<QueueKey, QueueDemand>,
}

impl Demand {
    /// Adds a new job to the demand of its queue.
    pub(crate) fn record_arrival(&mut self, now: Millis, job: &LiveJob) {
        let empty = QueueDemand {
            updated_at: now,
            jobs: 0.0,
            work: 0.0,
        };
        let queue = self
            .queues
            .or_insert_with(job.definition.settings.key(), || empty);
        let decay = queue.decay(now);
        queue.updated_at = now;
        queue.jobs = queue.jobs * decay + 1.0;
        queue.work = queue.work * decay + job.total_work();
    }

    /// The part of its service's recent work that is a queue's, from 0 to 1; 0 without any work.
    pub(crate) fn share(&self, now: Millis, queue: &QueueKey) -> f64 {
        let (mut own, mut total) = (0.0, 0.0);
        for (key, demand) in self.queues.iter().filter(|((s, _), _)| *s == queue.0) {
            let work = demand.work * demand.decay(now);
            total += work;
            own += if key == queue { work } else { 0.0 };
        }
        if total > 0.0 { own / total } else { 0.0 }
    }

    /// Ranks jobs first that can still be of use, and among those the ones with the most value for
    /// the resources they take. All queues have the same total value, so a job of a queue with few
    /// jobs is worth more.
    pub(crate) fn rank(&self, now: Millis, job: &LiveJob) -> Rank {
        let outlook = job.outlook(now);
        let Some(queue) = self.queues.get(&job.definition.settings.key()) else {
            return Rank { outlook, cost: 0 };
        };
        let mean = (queue.work / queue.jobs.max(1.0)).max(1.0);
        let value = FIXED_VALUE + (1.0 - FIXED_VALUE) * job.total_work() / mean;
        Rank {
            outlook,
            cost: to_integer(job.remaining_work() * queue.jobs.max(1.0) / value / RANK_SCALE),
        }
    }
}

// Costs are positive and far below 2^64.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_integer(cost: f64) -> u64 {
    cost.max(0.0) as u64
}
