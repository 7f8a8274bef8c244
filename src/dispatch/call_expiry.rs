//! How a call router ends calls that were not answered in time, and those that can't be of use.

use super::call::{Call, CallReply, ClientAction};
use super::call_router::{CallRoute, CallRouter, CallRouterOutput, OpenCall};
use super::load::admission::Refused;
use super::spec::JobId;
use crate::core::clock::Millis;
use crate::events;

/// How long a call waits for the first configuration, in milliseconds. A leader is found within
/// this time unless the control group is down.
const MAX_PARKED: Millis = Millis(900);
/// A transient job that has not started is refused after this percentage of the time until its
/// deadline. Less than half, so that its caller still has time to submit it elsewhere.
const GIVE_UP_PERCENT: u64 = 45;

impl CallRouter {
    /// Adds an open call.
    pub(super) fn open_call(&mut self, token: u64, open: OpenCall) {
        self.next_deadline = self.next_deadline.min(open.deadline);
        self.open_calls.insert(token, open);
    }

    /// Answers the calls whose deadline has passed.
    pub(super) fn expire(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        if now < self.next_deadline {
            return;
        }
        let open_calls = self.open_calls.iter();
        let expired = open_calls.filter(|(_, open)| now >= open.deadline);
        let expired: Vec<_> = expired.map(|(token, _)| *token).collect();
        for token in expired {
            let Some(open) = self.open_calls.remove(&token) else {
                continue;
            };
            let may_have_run = match &open.route {
                CallRoute::Local(id) => self.dispatcher.may_have_run(*id),
                CallRoute::Parked(_) | CallRoute::Held { .. } => false,
                CallRoute::Forward { may_have_run, .. } => *may_have_run,
            };
            events::CALL_EXPIRED.log(format_args!(
                "call={token} way={:?} may_have_run={may_have_run} after_ms={} leader={:?}",
                open.route,
                now.since(open.received_at).0,
                self.leader
            ));
            let reply = if may_have_run {
                CallReply::Unknown
            } else {
                CallReply::Refused(self.retry_after_of(now, &open))
            };
            self.end_hold(now, token, &open, "expired");
            self.remove_waiting_call(now, token, &open);
            out.push(CallRouterOutput::Answer(token, reply));
        }
        let deadlines = self.open_calls.iter().map(|(_, open)| open.deadline);
        self.next_deadline = deadlines.min().unwrap_or(Millis(u64::MAX));
    }

    /// True if a waiting job can't end any more before this process does.
    fn outlasts_process(&self, now: Millis, id: JobId) -> bool {
        let at = self.answer_by;
        at.is_some_and(|at| self.dispatcher.outlasts(now, id, at))
    }

    fn retry_after_of(&mut self, now: Millis, open: &OpenCall) -> Millis {
        match open.route {
            CallRoute::Local(id) => self.retry_after_waiting(now, id),
            CallRoute::Parked(_) | CallRoute::Held { .. } | CallRoute::Forward { .. } => {
                self.retry_unknown()
            }
        }
    }

    /// Refuses local jobs that can no longer be expected to end in time to be of use, so that their
    /// callers learn it at once: those that have not started, and, while useful jobs wait for
    /// resources, also those that have. Also refuses calls that waited too long for the first
    /// configuration.
    pub(super) fn refuse_useless(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        let mut refused = Vec::new();
        for (token, open) in self.open_calls.iter() {
            let allowed = open.deadline.since(open.received_at).0;
            // Each new job waits for `order_wait` before its tasks may be ordered.
            let give_up_after = Millis(allowed * GIVE_UP_PERCENT / 100) + self.order_wait();
            let waited = now.since(open.received_at);
            let reason = match &open.route {
                CallRoute::Local(id) if self.dispatcher.may_have_run(*id) => self
                    .dispatcher
                    .blocks_useful_jobs(now, *id)
                    .then_some("begun-too-late"),
                CallRoute::Local(id) if self.outlasts_process(now, *id) => Some("stopping"),
                CallRoute::Local(_) if waited >= give_up_after => Some("not-offered"),
                CallRoute::Local(id) => {
                    let refusal = self.dispatcher.waiting_refusal(now, *id);
                    refusal.map(Refused::name)
                }
                CallRoute::Parked(call) => {
                    let limit = if is_transient(call) {
                        MAX_PARKED.min(give_up_after)
                    } else {
                        MAX_PARKED
                    };
                    (waited >= limit).then_some("no-configuration")
                }
                CallRoute::Held { .. } => (waited >= give_up_after).then_some("late-call"),
                CallRoute::Forward { .. } => None,
            };
            if let Some(reason) = reason {
                refused.push((*token, waited, reason));
            }
        }
        for (token, waited, reason) in refused {
            if let Some(open) = self.open_calls.remove(&token) {
                let reply = match open.route {
                    CallRoute::Parked(_) => CallReply::NoConfig,
                    CallRoute::Local(id) if self.dispatcher.may_have_run(id) => CallReply::Unknown,
                    CallRoute::Local(id) => {
                        let after = self.retry_after_waiting(now, id);
                        self.dispatcher.record_withdrawn(now, id);
                        CallReply::Refused(after)
                    }
                    _ => CallReply::Refused(self.retry_after_of(now, &open)),
                };
                metrics::counter!("fulmardrift_refused", "why" => reason).increment(1);
                events::REFUSED.log(format_args!(
                    "call={token} way={:?} why={reason} waited_ms={} reply={reply:?}",
                    open.route, waited.0
                ));
                self.end_hold(now, token, &open, "refused");
                self.remove_waiting_call(now, token, &open);
                out.push(CallRouterOutput::Answer(token, reply));
            }
        }
    }
}

/// True for a job that is not stored. Its caller may send it elsewhere when it is refused.
fn is_transient(call: &Call) -> bool {
    let Call::Client { action, .. } = call else {
        return false;
    };
    matches!(action, ClientAction::Submit(Some(spec)) if spec.transient)
}
