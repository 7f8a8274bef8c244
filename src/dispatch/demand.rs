//! What each queue asks for, and how its jobs are put in order when there is not
//! room for all.

use super::live::{LiveJob, Outlook};
use super::spec::QueueSettings;
use crate::core::clock::Millis;
use crate::core::table::Table;

/// Arrivals older than this hardly count: a burst shows within seconds.
const MEMORY_MS: f64 = 8_000.0;
/// Part of a job's worth that does not depend on its size; the rest grows with its
/// work against the mean of its queue.
const FIXED_WORTH: f64 = 0.3;
/// Ranks are compared as whole numbers of this fraction.
const RANK_SCALE: f64 = 16.0;

/// How urgent a job is; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    outlook: Outlook,
    cost: u64,
}

#[derive(Debug, Clone, Copy)]
struct QueueDemand {
    at: Millis,
    // Jobs and their work, fading.
    jobs: f64,
    work: f64,
}

/// The queues' demand.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    queues: Table<(String, u32), QueueDemand>,
}

impl Demand {
    /// Notes a job that arrives.
    pub(crate) fn arrived(&mut self, now: Millis, job: &LiveJob) {
        let fresh = QueueDemand {
            at: now,
            jobs: 0.0,
            work: 0.0,
        };
        let queue = self
            .queues
            .or_insert_with(key(&job.definition.settings), || fresh);
        let fade = (-now.since(queue.at).as_f64() / MEMORY_MS).exp();
        queue.at = now;
        queue.jobs = queue.jobs * fade + 1.0;
        queue.work = queue.work * fade + job.work();
    }

    /// Puts jobs that can still be of use first, and among those the ones that give
    /// the most for the room they take. Queues count as equally valuable as a whole,
    /// so a job of a queue with few jobs is worth more.
    pub(crate) fn rank(&self, now: Millis, job: &LiveJob) -> Rank {
        let outlook = job.outlook(now);
        let Some(queue) = self.queues.get(&key(&job.definition.settings)) else {
            return Rank { outlook, cost: 0 };
        };
        let mean = (queue.work / queue.jobs.max(1.0)).max(1.0);
        let worth = FIXED_WORTH + (1.0 - FIXED_WORTH) * job.work() / mean;
        Rank {
            outlook,
            cost: whole(job.left() * queue.jobs.max(1.0) / worth / RANK_SCALE),
        }
    }
}

fn key(settings: &QueueSettings) -> (String, u32) {
    (settings.service.clone(), settings.priority)
}

// Costs are positive and far below 2^64.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(cost: f64) -> u64 {
    cost.max(0.0) as u64
}
