//! Times of the dispatch protocol that rest on each other, derived from the users' limits.
//!
//! A caller may send its job to another entry while runs of the former one last. The grants are so
//! short that these are over by then. Where they can't be, new jobs wait for the rest of that time.

use crate::core::clock::Millis;
use crate::events;

/// Percentage by which a backend server's clock may run slow.
pub(crate) const CLOCK_DRIFT_PERCENT: u64 = 2;
/// How long an agent may act for the group after it sent its heartbeat, in milliseconds; long
/// enough for an election.
pub(crate) const GROUP_GRANT: Millis = Millis(1_500);
/// Longest grant of an entry: what it ran is started elsewhere after this time.
const MAX_GRANT: Millis = Millis(800);
/// Added to a grant before a silent worker is considered empty, in milliseconds: covers network
/// hops and the interval at which a backend server checks its clock.
const LAPSE_MARGIN: Millis = Millis(250);
/// Added to a lease before it is considered expired: the time of one call on the same machine.
pub(crate) const LEASE_MARGIN: Millis = Millis(50);
/// Youngest age at which a call is late, if the grants leave room for it: paths and turns of an
/// entry that take less are usual.
const LATE_AGE: Millis = Millis(234);
/// Longest pause of an entry that goes unnoticed, in milliseconds. It ticks every 20 ms.
pub(crate) const MAX_GAP: Millis = Millis(40);
/// Time between the first try of a stop call and the end of the second retry.
const STOP_RETRIES: Millis = Millis(150);
/// Time for an order to stop a job's runs to reach their agents, repeated once.
const STOP_ORDER: Millis = Millis(250);
/// Longest and shortest time between two heartbeats of an agent to an entry.
const MAX_HEARTBEAT: Millis = Millis(250);
const MIN_HEARTBEAT: Millis = Millis(50);
/// Time from a heartbeat to its answer: two hops and one turn of an entry.
const ANSWER_TIME: Millis = Millis(60);
/// Longest lease given at a time. What is lost with a backend server starts elsewhere only when it
/// has expired; an agent that is away for longer loses its runs.
const MAX_LEASE: Millis = Millis(300);
/// A shorter lease is lost with a single answer that takes its time.
const MIN_LEASE: Millis = Millis(150);
/// Hold calls that fit into a lease, so that it survives the loss of one.
const HOLDS_PER_LEASE: u64 = 3;
/// Shortest wait of a hold call, so that short leases do not make a call of each turn.
const MIN_HOLD_WAIT: Millis = Millis(10);
/// Shortest and longest time for which the outcome of a transient job is kept.
const MIN_KEEP: Millis = Millis(5_000);
const MAX_KEEP: Millis = Millis(60_000);

/// What the users' settings say of times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeLimits {
    /// A caller without an answer sends its job again this long later at the earliest.
    pub resend: Millis,
    /// Longest lease that a backend server may get at a time.
    pub max_lease: Millis,
    /// A backend server stops a run within this time.
    pub stop: Millis,
}

impl Default for TimeLimits {
    fn default() -> Self {
        Self {
            resend: Millis(1_300),
            max_lease: Millis(1_000),
            stop: Millis(50),
        }
    }
}

/// Times of the dispatch protocol. All processes need the same limits: an agent's heartbeats have to
/// fit the grants of its entries, and an entry's `order_wait` the grants of the other entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// Time between two heartbeats of an agent to an entry.
    pub heartbeat: Millis,
    /// How long an agent may act for an entry after it sent its heartbeat.
    pub grant: Millis,
    /// The runs of a dispatcher are stopped this long before its grant ends: time for a stop call
    /// with two retries. The backend server's lease ends with the earliest grant, so it can only be
    /// extended for the other dispatchers once those runs are gone.
    pub stop_lead: Millis,
    /// Age from which a call is late: by the time its caller can have sent it elsewhere, runs that
    /// are ordered later may not have ended, even if its end is noticed.
    pub late_age: Millis,
    /// Silence of all callers after which their requests may have been held up: held up for less,
    /// a request is followed by its caller's end in time.
    pub max_silence: Millis,
    /// How long each new job waits before it is ordered; zero if grants end before callers send
    /// their jobs again.
    pub order_wait: Millis,
    /// How long the outcome of a transient job is kept. A caller that lost the answer sends the job
    /// again, and gets the kept outcome.
    pub keep_outcome: Millis,
    /// Longest lease that the backend server may have from any earlier life of its agent.
    pub max_lease: Millis,
    /// Longest lease given at a time.
    pub lease: Millis,
    /// Longest time that a hold call waits for an end while something runs.
    pub hold_wait: Millis,
}

impl Times {
    /// Derives the times from the users' limits.
    ///
    /// ```
    /// use fulmardrift::{Millis, TimeLimits, Times};
    /// let times = Times::new(TimeLimits::default());
    /// assert_eq!(times.grant, Millis(800));
    /// assert_eq!(times.order_wait, Millis(0));
    /// ```
    #[must_use]
    pub fn new(limits: TimeLimits) -> Self {
        let stop_lead = limits.stop + STOP_RETRIES;
        let min_grant = stop_lead + ANSWER_TIME + MIN_HEARTBEAT + MIN_HEARTBEAT;
        let available = limits.resend - LAPSE_MARGIN - LATE_AGE;
        let grant = Millis(available.0.saturating_mul(100) / (100 + CLOCK_DRIFT_PERCENT));
        let grant = grant.min(MAX_GRANT).max(min_grant);
        let lapse = lapse_time(grant);
        let runs_end = max_duration(grant) + LEASE_MARGIN + limits.stop;
        let heartbeat = Millis((grant - stop_lead - ANSWER_TIME).0 / 2);
        let lease = limits.max_lease.min(MAX_LEASE);
        Self {
            heartbeat: heartbeat.min(MAX_HEARTBEAT),
            grant,
            stop_lead,
            late_age: (limits.resend - lapse).max(MAX_GAP),
            max_silence: limits.resend - limits.stop - STOP_ORDER,
            order_wait: runs_end + MAX_GAP - limits.resend,
            keep_outcome: (limits.resend + limits.resend).clamp(MIN_KEEP, MAX_KEEP),
            max_lease: limits.max_lease,
            lease,
            hold_wait: Millis(lease.0 / HOLDS_PER_LEASE).max(MIN_HOLD_WAIT),
        }
    }

    /// Logs what can't hold for the limits that the times were derived from.
    pub(crate) fn log_faults(&self) {
        if self.order_wait > Millis(0) {
            events::TIMES_UNFIT.log(format_args!(
                "order_wait_ms={} grant_ms={} why=\"callers send jobs again before runs of a lost \
                 entry are over\"",
                self.order_wait.0, self.grant.0
            ));
        }
        if self.lease < MIN_LEASE {
            events::TIMES_UNFIT.log(format_args!(
                "lease_ms={} why=\"runs are lost with one late answer of their backend server\"",
                self.lease.0
            ));
        }
    }
}

impl Default for Times {
    fn default() -> Self {
        Self::new(TimeLimits::default())
    }
}

/// Time since a grant was given after which its holder is certain to run nothing under it.
pub(crate) fn lapse_time(grant: Millis) -> Millis {
    max_duration(grant) + LAPSE_MARGIN
}

/// Longest time that this length by a backend server's clock may last.
pub(crate) fn max_duration(length: Millis) -> Millis {
    length + Millis(length.0.saturating_mul(CLOCK_DRIFT_PERCENT) / 100)
}
