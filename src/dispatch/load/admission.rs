//! Admission: whether a transient job that finds no free capacity can be expected to end in time to
//! be of use.
//!
//! Work is counted in core-milliseconds as declared. All figures are those of one entry and one
//! service.

use std::collections::VecDeque;

use super::want::Urgency;
use crate::core::clock::Millis;

/// Time constant with which past starts lose their weight, in milliseconds: longer than the usual
/// tasks, and shorter than the swings of the load.
const START_DECAY_MS: f64 = 1_000.0;
/// Waiting time before starts are judged by, in milliseconds. After a start of the entry, agents
/// connect one after the other.
const MIN_EVIDENCE_MS: f64 = 250.0;
/// Arrivals within this time count, in milliseconds. A shorter one takes single wide jobs for a
/// change of the load.
const ARRIVAL_WINDOW: Millis = Millis(2_000);
/// Most arrivals that are kept; beyond that the window is shorter.
const MAX_ARRIVALS: usize = 512;
/// Part of the recent time in which work must have waited for an overload. Below capacity work waits
/// at times as well, since an entry learns late of capacity that others have freed.
const OVERLOAD_PART: f64 = 0.75;
/// Sizes of this many recent jobs of a queue are kept, to tell its largest ones.
const MAX_SIZES: usize = 100;
/// Parts of a queue's jobs, in percent, that are smaller than the largest tenth, and than those and
/// the next-largest fifth.
const SIZE_LIMITS: [usize; 2] = [90, 70];
/// Time constant with which past decisions lose their weight, in milliseconds.
const SHARE_DECAY_MS: f64 = 8_000.0;
/// Jobs of a size are admitted at this part of their queue's rate at least. Some of them are
/// refused later, and half is promised.
const SIZE_SHARE: f64 = 0.7;
/// Jobs of a queue are admitted at this part of the service's rate at least.
const QUEUE_SHARE: f64 = 0.25;
/// Decisions after which a share is judged by.
const MIN_DECISIONS: f64 = 4.0;

/// Work by rank, with running totals.
#[derive(Debug, Default)]
struct RankedWork {
    // By rank; each row has the work up to and with it.
    rows: Vec<(Urgency, f64)>,
}

impl RankedWork {
    fn new(mut rows: Vec<(Urgency, f64)>) -> Self {
        rows.sort_unstable_by_key(|(rank, _)| *rank);
        let mut total = 0.0;
        for (_, work) in &mut rows {
            total += *work;
            *work = total;
        }
        Self { rows }
    }

    /// Work of a rank lower than `rank`.
    fn before(&self, rank: Urgency) -> f64 {
        let at = self.rows.partition_point(|(other, _)| *other < rank);
        at.checked_sub(1).map_or(0.0, |last| self.rows[last].1)
    }

    fn total(&self) -> f64 {
        self.rows.last().map_or(0.0, |(_, total)| *total)
    }
}

/// When the tasks of a job that find no capacity now can be expected to start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Expectation {
    /// Until the last of them starts.
    pub(crate) wait: Millis,
    /// More work arrives than is started.
    pub(crate) overloaded: bool,
}

/// What a job must meet, in the entry's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct JobTimes {
    /// Expected time from its start to its end, if its tasks start together, and the shortest: that
    /// on the fastest worker.
    pub(crate) run: Millis,
    pub(crate) shortest: Millis,
    /// End of its objective.
    pub(crate) objective: Millis,
    /// When its caller must be answered.
    pub(crate) deadline: Millis,
}

/// Why a job was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admitted {
    /// Its tasks fit on free capacity.
    Fits,
    /// No recent starts to judge by.
    Unmeasured,
    /// It is expected to end in useful time.
    Expected,
    /// Too few jobs of its queue or size were admitted lately.
    Share,
}

/// Why a job was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refused {
    /// Its run alone takes longer than its caller waits.
    RunTooLong,
    /// It is expected to end after its objective, and more work arrives than is started.
    AfterObjective,
    /// It is expected to end after its caller's deadline.
    AfterDeadline,
}

impl Admitted {
    /// Name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Fits => "fits",
            Self::Unmeasured => "unmeasured",
            Self::Expected => "expected",
            Self::Share => "share",
        }
    }
}

impl Refused {
    /// Name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RunTooLong => "run-too-long",
            Self::AfterObjective => "after-objective",
            Self::AfterDeadline => "after-deadline",
        }
    }
}

/// Returns why a job can't be of use, or `None` if it can.
pub(crate) fn refusal(
    now: Millis,
    times: JobTimes,
    expected: Option<Expectation>,
) -> Option<Refused> {
    if now + times.shortest > times.deadline {
        return Some(Refused::RunTooLong);
    }
    let expected = expected?;
    let end = now + expected.wait + times.run;
    if end > times.deadline {
        Some(Refused::AfterDeadline)
    } else if expected.overloaded && end > times.objective {
        Some(Refused::AfterObjective)
    } else {
        None
    }
}

/// Starts, arrivals and waiting work of one service at one entry.
#[derive(Debug)]
pub(crate) struct ServiceLoad {
    updated_at: Millis,
    // Work started while other work waited, and for how long some waited; both decay.
    started: f64,
    waited_ms: f64,
    arrivals: VecDeque<Arrival>,
    // What has arrived within the window, what of it was admitted, and what waits, as of the latest
    // update.
    arrived: f64,
    admitted: RankedWork,
    waiting: RankedWork,
    // Since the latest update: jobs that were admitted, and work that was started.
    added: Vec<(Urgency, f64)>,
    started_since: f64,
    // Cores that this entry's runs hold, and cores of all workers.
    held: f64,
    capacity: f64,
}

/// Work that arrived.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Millis,
    rank: Urgency,
    work: f64,
    admitted: bool,
}

impl ServiceLoad {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            updated_at: now,
            started: 0.0,
            waited_ms: 0.0,
            arrivals: VecDeque::new(),
            arrived: 0.0,
            admitted: RankedWork::default(),
            waiting: RankedWork::default(),
            added: Vec::new(),
            started_since: 0.0,
            held: 0.0,
            capacity: 0.0,
        }
    }

    /// Notes a job that arrived, and whether it was admitted.
    pub(crate) fn record_arrival(&mut self, at: Millis, rank: Urgency, work: f64, admitted: bool) {
        if self.arrivals.len() >= MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(Arrival {
            at,
            rank,
            work,
            admitted,
        });
    }

    /// Notes that a job waits here from now on.
    pub(crate) fn record_waiting(&mut self, rank: Urgency, work: f64) {
        self.added.push((rank, work));
    }

    /// Notes work that was ordered. The first of it, which found free capacity, does not count.
    pub(crate) fn record_start(&mut self, work: f64) {
        self.started_since += work;
        if self.waiting.total() > 0.0 {
            self.started += work;
        }
    }

    /// Notes that ordered work was denied for want of capacity.
    pub(crate) fn record_denied(&mut self, work: f64) {
        self.started = (self.started - work).max(0.0);
        self.started_since -= work;
    }

    /// Replaces what is known of the work that waits, and of the cores that this entry's runs hold
    /// and all workers have.
    pub(crate) fn update(
        &mut self,
        now: Millis,
        waiting: Vec<(Urgency, f64)>,
        held: f64,
        capacity: f64,
    ) {
        let elapsed = now.since(self.updated_at).as_f64();
        let decay = (-elapsed / START_DECAY_MS).exp();
        self.updated_at = now;
        self.started *= decay;
        self.waited_ms *= decay;
        if self.waiting.total() > 0.0 {
            self.waited_ms += elapsed;
        }
        while let Some(arrival) = self.arrivals.front()
            && now.since(arrival.at) > ARRIVAL_WINDOW
        {
            self.arrivals.pop_front();
        }
        self.arrived = self.arrivals.iter().map(|arrival| arrival.work).sum();
        let admitted = self.arrivals.iter().filter(|arrival| arrival.admitted);
        let rows = admitted.map(|arrival| (arrival.rank, arrival.work));
        self.admitted = RankedWork::new(rows.collect());
        self.waiting = RankedWork::new(waiting);
        self.added.clear();
        self.started_since = 0.0;
        self.held = held;
        self.capacity = capacity;
    }

    /// Work that waits here and comes before this rank.
    pub(crate) fn work_before(&self, rank: Urgency) -> f64 {
        let added = self.added.iter().filter(|(other, _)| *other < rank);
        let added: f64 = added.map(|(_, work)| work).sum();
        (self.waiting.before(rank) + added - self.started_since).max(0.0)
    }

    /// Cores' worth of work that is started here while some waits, or `None` without recent starts.
    /// What this entry's runs hold counts like an observation of the shortest time that is judged
    /// by: so much comes free as they end.
    pub(crate) fn start_rate(&self) -> Option<f64> {
        let is_known = self.waited_ms >= MIN_EVIDENCE_MS && self.started + self.held > 0.0;
        is_known.then(|| {
            (self.started + self.held * MIN_EVIDENCE_MS) / (self.waited_ms + MIN_EVIDENCE_MS)
        })
    }

    /// True while more work arrives here than is started.
    pub(crate) fn is_overloaded(&self, rate: f64) -> bool {
        let arrivals = self.arrived / self.window_ms();
        arrivals >= rate && self.waited_ms >= START_DECAY_MS * OVERLOAD_PART
    }

    /// Cores' worth of work that is admitted here and comes before this rank. What is refused
    /// overtakes nothing.
    pub(crate) fn arrival_rate_before(&self, rank: Urgency) -> f64 {
        self.admitted.before(rank) / self.window_ms()
    }

    /// Cores' worth of work that can start of a job that has begun: its tasks come first at all
    /// workers.
    pub(crate) fn begun_rate(&self, rate: f64) -> f64 {
        rate.max(self.capacity)
    }

    fn window_ms(&self) -> f64 {
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        let oldest = self.arrivals.front().filter(|_| is_full);
        let window = oldest.map_or(ARRIVAL_WINDOW, |arrival| self.updated_at.since(arrival.at));
        window.as_f64().max(1.0)
    }

    /// When `work` of a job of this rank, which finds no capacity now, can be expected to have
    /// started; `None` without recent starts to judge by.
    pub(crate) fn expect(&self, rank: Urgency, work: f64) -> Option<Expectation> {
        let rate = self.start_rate()?;
        // Later arrivals overtake as well. To count them at their rate makes an entry with many
        // callers refuse more than others, and so ask for and get less than its share.
        Some(Expectation {
            wait: to_millis(self.work_before(rank) / rate + work / self.begun_rate(rate)),
            overloaded: self.is_overloaded(rate),
        })
    }
}

/// Numbers of jobs, decaying over time.
#[derive(Debug, Clone, Copy, Default)]
struct Decisions {
    updated_at: Millis,
    offered: f64,
    admitted: f64,
}

impl Decisions {
    fn note(&mut self, now: Millis, admitted: bool) {
        let decay = (-now.since(self.updated_at).as_f64() / SHARE_DECAY_MS).exp();
        self.updated_at = now;
        self.offered = self.offered * decay + 1.0;
        self.admitted = self.admitted * decay + f64::from(u8::from(admitted));
    }

    /// A waiting job that had been admitted is refused after all.
    fn withdraw(&mut self) {
        self.admitted = (self.admitted - 1.0).max(0.0);
    }

    /// Part of the jobs that was admitted, counting the one at hand as refused.
    fn share(&self) -> Option<f64> {
        (self.offered >= MIN_DECISIONS).then(|| self.admitted / (self.offered + 1.0))
    }
}

/// What was admitted of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceShares {
    all: Decisions,
}

/// What was admitted of one queue, by size of the jobs.
#[derive(Debug, Default)]
pub(crate) struct QueueShares {
    all: Decisions,
    sizes: [Decisions; 3],
    recent: VecDeque<f64>,
}

impl QueueShares {
    /// Class of a job of this much work: 0 for the largest tenth, 1 for the next-largest fifth.
    pub(crate) fn size_class(&self, work: f64) -> usize {
        let smaller = self.recent.iter().filter(|other| **other < work).count();
        let is_above = |limit: &usize| smaller * 100 >= limit * self.recent.len().max(1);
        let class = SIZE_LIMITS.iter().position(is_above);
        class.unwrap_or(SIZE_LIMITS.len())
    }

    /// Notes the size of a job that arrived.
    pub(crate) fn record_size(&mut self, work: f64) {
        if self.recent.len() >= MAX_SIZES {
            self.recent.pop_front();
        }
        self.recent.push_back(work);
    }

    /// True if fewer jobs of this queue, or of this size, were admitted than is their share.
    pub(crate) fn is_short(&self, class: usize, service: &ServiceShares) -> bool {
        let is_below =
            |own: &Decisions, whole: &Decisions, part: f64| match (own.share(), whole.share()) {
                (Some(own), Some(whole)) => own < whole * part,
                _ => false,
            };
        is_below(&self.all, &service.all, QUEUE_SHARE)
            || is_below(&self.sizes[class], &self.all, SIZE_SHARE)
    }

    /// Notes what was decided on a job.
    pub(crate) fn note(
        &mut self,
        now: Millis,
        class: usize,
        admitted: bool,
        service: &mut ServiceShares,
    ) {
        service.all.note(now, admitted);
        self.all.note(now, admitted);
        self.sizes[class].note(now, admitted);
    }

    /// Notes that a job which had been admitted was refused.
    pub(crate) fn withdraw(&mut self, class: usize, service: &mut ServiceShares) {
        service.all.withdraw();
        self.all.withdraw();
        self.sizes[class].withdraw();
    }
}

// Waits are positive; longer ones than a caller's patience need not be exact.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn to_millis(ms: f64) -> Millis {
    Millis(ms.clamp(0.0, 1e9) as u64)
}
