//! Calls that may arrive after their callers have given them up and sent them to another entry.
//!
//! The end of such a call's connection follows it on the same path. So its tasks are not ordered
//! before that had time to arrive.

use super::call::Call;
use super::call_router::{CallRoute, CallRouter, CallRouterOutput, IncomingCall, OpenCall};
use super::guard::JobGuard;
use super::times::MAX_GAP;
use crate::core::clock::Millis;
use crate::events;

/// Longest time for which a silence puts calls under suspicion, in milliseconds. A sender whose
/// retransmissions are further apart is not expected back.
const MAX_SUSPICION: Millis = Millis(10_000);
/// How long a late call waits for the end of its connection, in milliseconds: some round trips to
/// a caller, since a lost packet is followed by the end only once it was sent again.
const CONFIRM_WAIT: Millis = Millis(20);
/// Longest further wait of a late call in an entry that pauses again and again, in milliseconds.
const MAX_FURTHER_WAIT: Millis = Millis(100);

/// The times after which a caller has sent a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentAfter {
    /// In any case.
    pub surely: Millis,
    /// Unless requests were held up on their way.
    pub usually: Millis,
}

/// Gaps between the calls of an entry, which show that its callers' requests may have been held up.
#[derive(Debug)]
pub(super) struct ArrivalGaps {
    // `None` before the first call: a new entry has no connections that it kept.
    last_at: Option<Millis>,
    held_up_until: Millis,
}

impl ArrivalGaps {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            last_at: None,
            held_up_until: now,
        }
    }

    /// Notes a call. What was sent during a silence arrives within its length after its end, as
    /// the time between two transmissions doubles.
    fn note(&mut self, now: Millis, limit: Millis) {
        let gap = now.since(self.last_at.unwrap_or(now));
        self.last_at = Some(now);
        if gap > limit {
            self.held_up_until = self.held_up_until.max(now + gap.min(MAX_SUSPICION));
        }
    }
}

/// From when on an entry may order tasks, as far as its own pauses matter.
#[derive(Debug)]
pub(super) struct TurnGaps {
    turn_ended_at: Millis,
    orders_from: Millis,
    late_orders_from: Millis,
}

impl TurnGaps {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            turn_ended_at: now,
            orders_from: now,
            late_orders_from: now,
        }
    }

    /// Notes the end of a turn. After a pause, callers may have left unnoticed: orders wait until
    /// the ends of connections have been read, after a pause of `limit` those of all jobs.
    fn end_turn(&mut self, now: Millis, limit: Millis) {
        let gap = now.since(self.turn_ended_at);
        self.turn_ended_at = now;
        if gap > MAX_GAP {
            self.late_orders_from = now + CONFIRM_WAIT;
        }
        if gap > limit {
            self.orders_from = now + CONFIRM_WAIT;
        }
    }
}

impl CallRouter {
    /// Age from which a call is late.
    fn late_after(&self) -> Millis {
        if !self.dispatcher.guards.on(JobGuard::LateCall) {
            return Millis(u64::MAX);
        }
        self.times.late_age
    }

    /// Time that each new job waits, as its caller may have sent it to an entry that is gone.
    pub(super) fn order_wait(&self) -> Millis {
        if self.dispatcher.guards.on(JobGuard::LateCall) {
            self.times.order_wait
        } else {
            Millis(0)
        }
    }

    /// Notes that a call arrives.
    pub(super) fn note_arrival(&mut self, now: Millis) {
        self.arrivals.note(now, self.times.max_silence);
    }

    /// True if tasks may not be ordered yet for a new job.
    pub(super) fn must_wait(&self, now: Millis, incoming: &IncomingCall) -> bool {
        let waits = self.order_wait() > Millis(0) || self.may_be_late(now, incoming);
        !incoming.is_confirmed && waits
    }

    /// True if the caller may have given this call up before now, by the age that it can have.
    fn may_be_late(&self, now: Millis, incoming: &IncomingCall) -> bool {
        let sent_after = if now < self.arrivals.held_up_until {
            incoming.sent.surely
        } else {
            incoming.sent.usually
        };
        now.since(sent_after) > self.late_after()
    }

    /// Keeps a call until its caller is known to wait for it, and runs of an entry that had it before
    /// are over.
    pub(super) fn hold_call(&mut self, now: Millis, incoming: &IncomingCall, call: Call) {
        let open = OpenCall {
            route: CallRoute::Held {
                call,
                until: (now + CONFIRM_WAIT).max(incoming.received_at + self.order_wait()),
            },
            sent: incoming.sent,
            received_at: incoming.received_at,
            deadline: incoming.deadline,
        };
        self.held_calls += 1;
        self.open_call(incoming.token, open);
    }

    /// True if late calls, or jobs that were kept back after a pause, are about to be ordered. The
    /// ends of callers' connections must be passed on before.
    pub(crate) fn may_order_late(&self, now: Millis) -> bool {
        let was_paused = now.since(self.gaps.orders_from) <= MAX_GAP;
        was_paused || self.has_due_calls(now)
    }

    fn has_due_calls(&self, now: Millis) -> bool {
        self.held_calls > 0
            && self
                .open_calls
                .iter()
                .any(|(_, open)| self.is_due(now, open))
    }

    /// True for a late call whose caller's end had time to arrive.
    fn is_due(&self, now: Millis, open: &OpenCall) -> bool {
        let CallRoute::Held { until, .. } = open.route else {
            return false;
        };
        now >= until.max(self.gaps.late_orders_from) || now >= until + MAX_FURTHER_WAIT
    }

    /// Ends a turn. Returns true if tasks may be ordered now.
    pub(super) fn end_turn(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) -> bool {
        let limit = self.late_after();
        self.gaps.end_turn(now, limit);
        if self.has_due_calls(now) {
            self.release_held(now, out);
        }
        now >= self.gaps.orders_from
    }

    fn release_held(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        let calls = self.open_calls.iter();
        let due = calls.filter(|(_, open)| self.is_due(now, open));
        let due: Vec<_> = due.map(|(token, _)| *token).collect();
        for token in due {
            let Some(open) = self.open_calls.remove(&token) else {
                continue;
            };
            self.end_hold(now, token, &open, "released");
            if let CallRoute::Held { call, .. } = open.route {
                let incoming = IncomingCall {
                    token,
                    sent: open.sent,
                    received_at: open.received_at,
                    deadline: open.deadline,
                    is_confirmed: true,
                };
                self.on_call(now, incoming, call, out);
            }
        }
    }

    /// Notes how the wait of a late call ended; others are left out.
    pub(super) fn end_hold(&mut self, now: Millis, token: u64, open: &OpenCall, outcome: &str) {
        let CallRoute::Held { call, .. } = &open.route else {
            return;
        };
        self.held_calls = self.held_calls.saturating_sub(1);
        let path = match call {
            Call::Client { path, .. } => path,
            _ => "",
        };
        events::LATE_CALL.log(format_args!(
            "call={token} path={path:?} max_age_ms={} waited_ms={} outcome={outcome}",
            open.received_at.since(open.sent.surely).0,
            now.since(open.received_at).0
        ));
    }
}
