//! Demand of each queue, and the order of its jobs when there are too few resources for all.

use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::dispatch::live::{LiveJob, Outlook};
use crate::dispatch::load::want::{Urgency, UrgencyClass};
use crate::dispatch::spec::{JobId, QueueKey};

/// Time constant with which past arrivals lose their weight, in milliseconds; a burst shows within
/// seconds.
const DECAY_MS: f64 = 8_000.0;
/// Part of a job's value that does not depend on its size; the rest grows with its work relative to
/// the mean of its queue. A larger part serves more jobs under shortage, and fewer of the large ones.
const FIXED_VALUE: f64 = 0.15;
/// Costs are multiplied by this and compared as whole numbers.
const COST_SCALE: f64 = 16.0;
/// A job's cost is spread by a factor between 0.5 and 1.5 that its id determines. Without it, jobs
/// that are slightly larger than others of their queue would be served only after all of these.
const SPREAD: f64 = 1.0;
/// One in this many jobs of each queue has no cost, so that no queue starves behind cheaper ones.
const KEPT_PART: u64 = 8;

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

    /// Ranks jobs first that have begun and can still be of use, then those that can end in time,
    /// and among these the ones with the most value for the resources they take. All queues of a
    /// service have the same total value, so a job of a queue with few jobs is worth more; a queue of
    /// priority p counts 1 / (1 + p).
    pub(crate) fn rank(&self, now: Millis, id: JobId, job: &LiveJob) -> Urgency {
        let class = match job.outlook(now) {
            Outlook::Overdue => UrgencyClass::Overdue,
            _ if job.transient && job.may_have_run() => UrgencyClass::Begun,
            Outlook::InTime => UrgencyClass::InTime,
            Outlook::Late => UrgencyClass::Late,
        };
        let key = job.definition.settings.key();
        let hash = spread_hash(id);
        let Some(queue) = self.queues.get(&key) else {
            return Urgency { class, cost: 0 };
        };
        if hash.is_multiple_of(KEPT_PART) {
            return Urgency { class, cost: 0 };
        }
        let of_service = self.queues.iter().filter(|((s, _), _)| *s == key.0);
        let all: f64 = of_service.map(|(_, d)| d.jobs * d.decay(now)).sum();
        let share = queue.jobs * queue.decay(now) / all.max(f64::MIN_POSITIVE);
        let mean = (queue.work / queue.jobs.max(f64::MIN_POSITIVE)).max(1.0);
        let size_value = FIXED_VALUE + (1.0 - FIXED_VALUE) * job.total_work() / mean;
        let value = size_value / (1.0 + f64::from(key.1));
        let spread = 1.0 - SPREAD / 2.0 + SPREAD * fraction(hash);
        let cost = to_integer(job.remaining_work() * share / value * spread * COST_SCALE);
        Urgency { class, cost }
    }
}

/// A hash of a job's id (the finalizer of `SplitMix64`), as callers may number their jobs in turn.
fn spread_hash(id: JobId) -> u64 {
    let mut hash = id.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The upper bits of a hash as a number from 0 to 1.
fn fraction(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

// Costs are positive and far below 2^64.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_integer(cost: f64) -> u64 {
    cost.max(0.0) as u64
}
