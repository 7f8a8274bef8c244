//! An entry's watch of itself: whether it keeps up, or its callers are better off elsewhere.

use std::collections::VecDeque;

use crate::core::clock::Millis;

/// Usual time between two ticks, in milliseconds.
const TICK: Millis = Millis(20);
/// Time over which ticks are judged, in milliseconds.
const WINDOW: Millis = Millis(1_000);
/// Part of the window in which events must have waited for too long, in percent; half of it is enough
/// for an entry that has come back lately.
const SLOW_PERCENT: u64 = 50;
/// A single pause ends before anything can be done about it: it takes several late ticks.
const MIN_LATE_TICKS: usize = 2;
/// Lower bound of the limit for waits: shorter ones are usual.
const MIN_LIMIT: Millis = Millis(40);
/// Reports of agents count for this long, in milliseconds.
const REPORT_AGE: Millis = Millis(2_000);
/// Largest number of reports that are kept.
const MAX_REPORTS: usize = 64;
/// An entry stays when more than one in this many entries is late: the service as a whole is
/// overloaded then.
const LATE_PART: u32 = 4;
/// An entry is cut off if more than this percentage of its agents do not answer: a data centre that
/// is lost is less.
const SILENT_PERCENT: usize = 75;
/// Fewer agents say nothing of a cut.
const MIN_AGENTS: usize = 3;
/// Time for which most agents must be silent, in milliseconds.
const CUT_TIME: Millis = Millis(300);
/// Time without delays after which an entry comes back at first, and at most, in milliseconds. It
/// doubles when the entry leaves again within `TRIAL_FACTOR` times as long after it came back, so
/// that calm time away stays below an eighth.
const FIRST_HOLD: Millis = Millis(1_000);
const MAX_HOLD: Millis = Millis(8_000);
const TRIAL_FACTOR: u64 = 10;

/// Whether an entry takes new callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    Serving,
    /// It is not ready. The times of the last sign of trouble, and without one until it comes back.
    Away {
        trouble_at: Millis,
        hold: Millis,
    },
    /// It is ready again, on trial until this time.
    Returning {
        until: Millis,
        hold: Millis,
    },
}

impl Standing {
    /// True while the entry takes new callers.
    pub(crate) fn is_able(self) -> bool {
        !matches!(self, Self::Away { .. })
    }
}

/// The agents that an entry has heard lately, and what else it reaches.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reach {
    pub(crate) agents: usize,
    /// Those of them that do not answer.
    pub(crate) silent: usize,
    pub(crate) leader: bool,
}

impl Reach {
    /// True if most agents are silent. If all are and the leader is not, it is the agents that are
    /// gone.
    fn is_cut_off(self) -> bool {
        let most = self.silent * 100 > self.agents * SILENT_PERCENT;
        self.agents >= MIN_AGENTS && most && (!self.leader || self.silent < self.agents)
    }
}

/// A tick: when it came, the time since the one before, and whether events waited too long then.
#[derive(Debug, Clone, Copy)]
struct CheckedTick {
    at: Millis,
    gap: Millis,
    is_late: bool,
}

/// What an agent reported of the entries connected to it: how many are late, and how many there are.
#[derive(Debug, Clone, Copy)]
struct LateReport {
    at: Millis,
    late: u32,
    entries: u32,
}

/// Judges whether an entry keeps up.
#[derive(Debug)]
pub(crate) struct SelfCheck {
    standing: Standing,
    limit: Millis,
    ticked_at: Option<Millis>,
    ticks: VecDeque<CheckedTick>,
    reports: VecDeque<LateReport>,
    // Events handled since the last tick, and those that waited after the last turn.
    handled: usize,
    waiting: usize,
    delay: Millis,
    cut_since: Option<Millis>,
}

impl SelfCheck {
    pub(crate) fn new() -> Self {
        Self {
            standing: Standing::Serving,
            limit: MIN_LIMIT,
            ticked_at: None,
            ticks: VecDeque::new(),
            reports: VecDeque::new(),
            handled: 0,
            waiting: 0,
            delay: Millis(0),
            cut_since: None,
        }
    }

    /// Sets how long an event may wait: the part of the shortest objective that is not work.
    pub(crate) fn set_limit(&mut self, target: Millis) {
        self.limit = target.max(MIN_LIMIT);
    }

    /// Notes a turn that handled this many events and left others waiting.
    pub(crate) fn note_turn(&mut self, handled: usize, waiting: usize) {
        self.handled += handled;
        self.waiting = waiting;
    }

    /// Notes an agent's report of late entries.
    pub(crate) fn note_report(&mut self, now: Millis, late: u32, entries: u32) {
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back(LateReport {
            at: now,
            late,
            entries,
        });
    }

    /// Judges the time since the last tick. Returns true if the standing has changed.
    pub(crate) fn tick(&mut self, now: Millis, reach: Reach) -> bool {
        let gap = self.ticked_at.map_or(TICK, |at| now.since(at));
        self.ticked_at = Some(now);
        // An event that comes at any time within a late tick waits for half of it on average.
        let late = Millis((gap - TICK).0 / 2);
        self.delay = late.max(self.queue_wait(gap));
        self.handled = 0;
        let is_late = self.delay > self.limit;
        self.ticks.push_back(CheckedTick {
            at: now,
            gap,
            is_late,
        });
        while self
            .ticks
            .front()
            .is_some_and(|tick| now.since(tick.at) >= WINDOW)
        {
            self.ticks.pop_front();
        }
        while self
            .reports
            .front()
            .is_some_and(|report| now.since(report.at) >= REPORT_AGE)
        {
            self.reports.pop_front();
        }
        let is_cut_off = self.is_cut_off(now, reach);
        let former = self.standing;
        self.standing = self.judge(now, is_late || is_cut_off, is_cut_off);
        std::mem::discriminant(&former) != std::mem::discriminant(&self.standing)
    }

    fn judge(&self, now: Millis, is_trouble: bool, is_cut_off: bool) -> Standing {
        let away = |hold| Standing::Away {
            trouble_at: now,
            hold,
        };
        match self.standing {
            Standing::Serving if is_cut_off || self.is_slow(SLOW_PERCENT) => away(FIRST_HOLD),
            Standing::Serving => Standing::Serving,
            Standing::Away { hold, .. } if is_trouble => away(hold),
            Standing::Away { trouble_at, hold } if now.since(trouble_at) >= hold => {
                Standing::Returning {
                    until: now + Millis(hold.0 * TRIAL_FACTOR),
                    hold,
                }
            }
            Standing::Returning { hold, .. } if is_cut_off || self.is_slow(SLOW_PERCENT / 2) => {
                away(Millis(hold.0 * 2).min(MAX_HOLD))
            }
            Standing::Returning { until, .. } if now >= until => Standing::Serving,
            Standing::Away { .. } | Standing::Returning { .. } => self.standing,
        }
    }

    /// Time until the events that wait now are handled, at the rate since the last tick.
    fn queue_wait(&self, gap: Millis) -> Millis {
        let waiting = u64::try_from(self.waiting).unwrap_or(u64::MAX);
        let handled = u64::try_from(self.handled).unwrap_or(u64::MAX).max(1);
        Millis(waiting.saturating_mul(gap.0) / handled)
    }

    fn is_cut_off(&mut self, now: Millis, reach: Reach) -> bool {
        if !reach.is_cut_off() {
            self.cut_since = None;
            return false;
        }
        now.since(*self.cut_since.get_or_insert(now)) >= CUT_TIME
    }

    /// True if events have waited for too long lately, and most other entries keep up.
    fn is_slow(&self, percent: u64) -> bool {
        let late = self.ticks.iter().filter(|tick| tick.is_late);
        let late_time: u64 = late.clone().map(|tick| tick.gap.0).sum();
        let is_long = late_time * 100 >= WINDOW.0 * percent;
        is_long && late.count() >= MIN_LATE_TICKS && self.others_keep_up()
    }

    /// True if agents say that this entry is late and few others are. Without other entries, callers
    /// have nowhere to go.
    fn others_keep_up(&self) -> bool {
        let late: u32 = self.reports.iter().map(|report| report.late).sum();
        let entries: u32 = self.reports.iter().map(|report| report.entries).sum();
        let reports = u32::try_from(self.reports.len()).unwrap_or(u32::MAX);
        reports > 0 && entries > reports && (late <= reports || late * LATE_PART <= entries)
    }

    pub(crate) fn standing(&self) -> Standing {
        self.standing
    }

    /// Mean time that an event has waited since the last tick.
    pub(crate) fn delay(&self) -> Millis {
        self.delay
    }
}
