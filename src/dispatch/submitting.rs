//! How an entry takes transient jobs: admission, refusals, and jobs that waited for the configuration.

use super::call::{Call, CallReply, ClientAction};
use super::call_router::{
    CallRoute, CallRouter, CallRouterOutput, IncomingCall, OpenCall, RETRY_AFTER,
};
use super::live::LiveJob;
use super::load::retry_after::{retry_after, spread};
use super::load::want::Urgency;
use super::replicated_state::OpenJob;
use super::routes::{self, Target};
use super::spec::{JobId, JobSpec, JobStatus, QueueSettings};
use crate::core::clock::Millis;
use crate::events;

/// Mean retry delay where the backlog does not tell when capacity is back, in milliseconds: backend
/// servers and the control group restart within seconds.
const RETRY_UNKNOWN: Millis = Millis(2_000);

impl CallRouter {
    /// Routes the calls that arrived before the first configuration, the most urgent jobs first.
    pub(super) fn unpark(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        let parked = self
            .open_calls
            .iter()
            .filter(|(_, o)| matches!(o.route, CallRoute::Parked(_)));
        let mut parked: Vec<_> = parked
            .map(|(token, open)| (self.parked_rank(now, open), *token))
            .collect();
        parked.sort_unstable();
        for (_, token) in parked {
            if let Some(open) = self.open_calls.remove(&token)
                && let CallRoute::Parked(call) = open.route
            {
                let incoming = IncomingCall {
                    token,
                    sent: open.sent,
                    received_at: open.received_at,
                    deadline: open.deadline,
                    is_confirmed: false,
                };
                self.on_call(now, incoming, call, out);
            }
        }
    }

    /// Rank of the job of a parked call; `None` for other calls.
    fn parked_rank(&self, now: Millis, open: &OpenCall) -> Option<Urgency> {
        let config = self.config.as_ref()?;
        let CallRoute::Parked(Call::Client { host, path, action }) = &open.route else {
            return None;
        };
        let ClientAction::Submit(Some(spec)) = action else {
            return None;
        };
        let Target::Job(queue, id) = routes::find(config, host, path) else {
            return None;
        };
        let job = OpenJob::new(queue.settings.clone(), spec.clone());
        let live = self
            .dispatcher
            .new_job(open.received_at, open.deadline, id, &job);
        Some(self.dispatcher.rank(now, id, &live))
    }

    /// Submits a transient job, whose end will answer the call. Returns a reply if the call can be
    /// answered at once.
    pub(super) fn submit(
        &mut self,
        now: Millis,
        incoming: IncomingCall,
        id: JobId,
        settings: &QueueSettings,
        spec: JobSpec,
    ) -> Option<CallReply> {
        let token = incoming.token;
        if let Some(feature) = &spec.unsupported {
            events::REFUSED.log(format_args!("job={id} unsupported={feature}"));
            return Some(CallReply::Refused(RETRY_AFTER));
        }
        if let Some((_, status)) = self.recent_outcomes.get(&id) {
            return Some(CallReply::State(*status));
        }
        if let Some(is_cause) = self.dispatcher.suspects.given_up_as_cause(id) {
            events::REFUSED.log(format_args!(
                "job={id} call={token} given_up=true is_cause={is_cause}"
            ));
            return Some(if is_cause {
                CallReply::State(JobStatus::Failed)
            } else {
                CallReply::Unknown
            });
        }
        if !self.dispatcher.has_job(id)
            && self.dispatcher.is_isolated_and_down(now, &settings.key())
        {
            events::REFUSED.log(format_args!("job={id} call={token} queue_isolated=true"));
            let job = OpenJob::new(settings.clone(), spec);
            let live = self
                .dispatcher
                .new_job(incoming.received_at, incoming.deadline, id, &job);
            self.dispatcher.demand.record_arrival(now, &live);
            return Some(CallReply::Refused(self.retry_unknown()));
        }
        if !self.dispatcher.has_job(id) {
            let job = OpenJob::new(settings.clone(), spec);
            let slow = self.refuse_if_slow(now, &incoming, id, &job);
            if let Some(reply) = slow.or_else(|| self.admit(now, &incoming, id, &job)) {
                return Some(reply);
            }
        }
        self.dispatcher.extend_deadline(id, incoming.deadline);
        self.waiting_calls.or_insert_with(id, Vec::new).push(token);
        let open = OpenCall {
            route: CallRoute::Local(id),
            sent: incoming.sent,
            received_at: incoming.received_at,
            deadline: incoming.deadline,
        };
        self.open_call(token, open);
        None
    }

    /// Adds a job, or returns the reply if it can't be served in useful time.
    fn admit(
        &mut self,
        now: Millis,
        incoming: &IncomingCall,
        id: JobId,
        job: &OpenJob,
    ) -> Option<CallReply> {
        let token = incoming.token;
        let mut live = self
            .dispatcher
            .new_job(incoming.received_at, incoming.deadline, id, job);
        let tasks: usize = job.tasks.iter().map(Vec::len).sum();
        let wait_ms = incoming.deadline.since(now).0;
        let (verdict, wait) = self
            .dispatcher
            .judge_arrival(now, &self.evacuated, id, &mut live);
        if let Some(wait) = wait {
            metrics::histogram!("fulmardrift_expected_wait_ms").record(wait.as_f64());
        }
        let expected = wait.map(|wait| wait.0);
        match verdict {
            // Runs of an earlier submission are out, so that "not run" would not be true.
            _ if live.may_have_run() => {}
            Ok(reason) => {
                metrics::counter!("fulmardrift_admitted", "why" => reason.name()).increment(1);
                events::ACCEPTED.log(format_args!(
                    "job={id} call={token} tasks={tasks} stored=false wait_ms={wait_ms} why={} \
                     expected_wait_ms={expected:?}",
                    reason.name()
                ));
            }
            Err(reason) => {
                metrics::counter!("fulmardrift_refused", "why" => reason.name()).increment(1);
                let after = self.retry_after(now, id, &live);
                events::REFUSED.log(format_args!(
                    "job={id} call={token} tasks={tasks} wait_ms={wait_ms} why={} \
                     expected_wait_ms={expected:?} retry_ms={}",
                    reason.name(),
                    after.0
                ));
                return Some(CallReply::Refused(after));
            }
        }
        self.dispatcher.submit(now, id, live);
        None
    }

    /// When the caller of a job that is refused for want of capacity should come back.
    fn retry_after(&mut self, now: Millis, id: JobId, job: &LiveJob) -> Millis {
        retry_after(self.dispatcher.ahead_of(now, id, job), &mut self.rng)
    }

    /// The same for a job that waits here.
    pub(super) fn retry_after_waiting(&mut self, now: Millis, id: JobId) -> Millis {
        let ahead = self.dispatcher.jobs.get(&id);
        let ahead = ahead.map(|job| self.dispatcher.ahead_of(now, id, job));
        retry_after(ahead.unwrap_or_default(), &mut self.rng)
    }

    /// When a caller should come back if the backlog does not tell.
    pub(super) fn retry_unknown(&mut self) -> Millis {
        spread(RETRY_UNKNOWN, &mut self.rng)
    }

    /// Removes a call from those that wait for its job, and abandons a job without waiting calls.
    pub(super) fn remove_waiting_call(&mut self, now: Millis, token: u64, open: &OpenCall) {
        let CallRoute::Local(id) = open.route else {
            return;
        };
        let Some(tokens) = self.waiting_calls.get_mut(&id) else {
            return;
        };
        tokens.retain(|known| *known != token);
        if tokens.is_empty() {
            self.waiting_calls.remove(&id);
            self.dispatcher.abandon(now, id, &mut self.actions);
        }
    }
}
