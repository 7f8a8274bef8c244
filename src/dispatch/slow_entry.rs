//! What an entry does about its own slowness: it is not ready, and refuses what it can't serve in
//! time.

use super::call::CallReply;
use super::call_router::{CallRouter, IncomingCall};
use super::live::{LiveJob, Outlook, TaskPhase};
use super::load::self_check::Reach;
use super::replicated_state::OpenJob;
use super::spec::{JobId, OperatorConfig};
use crate::core::clock::Millis;
use crate::events;

/// An agent that was not heard for this long, in milliseconds, is gone, and says nothing of a cut.
const GONE_AFTER: Millis = Millis(10_000);
/// A job waits for this many turns of the entry: with its call, and with the end of its last run.
const TURNS_PER_JOB: u64 = 2;

impl CallRouter {
    /// Notes a turn of the entry's main loop that handled this many events, and how many wait.
    pub fn note_turn(&mut self, handled: usize, waiting: usize) {
        self.self_check.note_turn(handled, waiting);
    }

    /// Derives the limit for waits from the queue with the shortest one.
    pub(super) fn set_wait_limit(&mut self, config: &OperatorConfig) {
        let targets = config.queues.iter().map(|queue| queue.settings.target);
        self.self_check.set_limit(targets.min().unwrap_or_default());
    }

    /// Judges whether this entry keeps up.
    pub(super) fn check_self(&mut self, now: Millis) {
        let workers = self.dispatcher.workers.iter();
        let known = workers
            .filter(|w| w.server.is_some() && now.since(w.last_heard_at) < GONE_AFTER)
            .map(|w| w.is_responsive(now));
        let (mut agents, mut silent) = (0, 0);
        for is_responsive in known {
            agents += 1;
            silent += usize::from(!is_responsive);
        }
        let reach = Reach {
            agents,
            silent,
            leader: self.leader.is_some(),
        };
        let has_changed = self.self_check.tick(now, reach);
        let delay = self.self_check.delay();
        metrics::gauge!("fulmardrift_entry_delay_ms").set(delay.as_f64());
        if has_changed {
            events::ENTRY_SLOW.log(format_args!(
                "standing={:?} delay_ms={} agents={agents} silent={silent} open_calls={}",
                self.self_check.standing(),
                delay.0,
                self.open_calls.len()
            ));
        }
    }

    /// Refuses a new job, of which nothing has run, if this entry is slow and would serve it late.
    pub(super) fn refuse_if_slow(
        &mut self,
        now: Millis,
        incoming: &IncomingCall,
        id: JobId,
        job: &OpenJob,
    ) -> Option<CallReply> {
        if self.self_check.standing().is_able() {
            return None;
        }
        let delay = Millis(self.self_check.delay().0 * TURNS_PER_JOB);
        let live = LiveJob::new(job, incoming.received_at, TaskPhase::Ready, true);
        if live.outlook(now + delay) == Outlook::InTime {
            return None;
        }
        events::REFUSED.log(format_args!(
            "job={id} call={} slow_entry=true delay_ms={}",
            incoming.token, delay.0
        ));
        Some(CallReply::Refused(self.retry_unknown()))
    }
}
