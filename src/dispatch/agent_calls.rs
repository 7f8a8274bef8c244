//! An agent's calls to its backend server, and the length of the lease that they extend.

use std::sync::Arc;

use super::agent::{PendingCall, ServerAgent, ServerAgentOutput};
use super::agent_run::{EndList, RunPhase};
use super::dispatcher_link::Owner;
use super::guard::JobGuard;
use super::server_call::{CallId, ServerCall, ServerCallKind, ServerReply};
use super::spec::{RunId, TaskId};
use super::times::{self, CLOCK_DRIFT_PERCENT, LEASE_MARGIN};
use crate::core::clock::Millis;

/// Longest time that a hold call waits for an end while nothing runs.
const HOLD_WAIT_IDLE: Millis = Millis(300);
/// Added to the longest wait of a hold call, in milliseconds.
const HOLD_MARGIN: Millis = Millis(50);
/// A call without an answer is executed within this time or not at all. The users' protocol speaks
/// of seconds.
pub(crate) const MAX_CALL_DELAY: Millis = Millis(15_000);

impl ServerAgent {
    pub(crate) fn call_start(
        &mut self,
        now: Millis,
        task: TaskId,
        run: RunId,
        payload: Arc<str>,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let Some(lease_expires_at) = self.lease_end(now) else {
            return;
        };
        let bound = now + max_lease_duration(self.lease_length(now));
        let kind = ServerCallKind::Start {
            task,
            run,
            payload,
            lease_expires_at,
        };
        self.call_with_lease(now, bound, PendingCall::Start(task, run), kind, out);
    }

    pub(crate) fn stop(
        &mut self,
        now: Millis,
        key: (TaskId, RunId),
        out: &mut Vec<ServerAgentOutput>,
    ) {
        if let Some(agent_run) = self.runs.get_mut(&key) {
            agent_run.enter(RunPhase::Stopping, now);
            self.call_stop(now, key.0, key.1, out);
        }
    }

    /// Returns when a lease given now would expire, on the backend server's clock; `None` while no
    /// dispatcher's grant lasts or that clock is not known.
    pub(crate) fn lease_end(&self, now: Millis) -> Option<Millis> {
        let (clock, at) = self.server_clock?;
        let length = self.lease_length(now);
        (length > Millis(0)).then(|| clock + min_elapsed(now.since(at)) + length)
    }

    /// Returns how long a lease given now may last; zero if none may be given.
    pub(crate) fn lease_length(&self, now: Millis) -> Millis {
        self.times.lease.min(self.grant_limit().since(now))
    }

    /// Returns the time, on the agent's clock, that the lease must not outlast. A lease covers
    /// everything that runs at the backend server, so it ends with the earliest grant among the
    /// dispatchers that have runs or unrecorded ends here. If contact with such a dispatcher is
    /// lost, it starts its tasks elsewhere after its grant, whatever happens to this process.
    fn grant_limit(&self) -> Millis {
        let run_owners = self.runs.iter().map(|(_, agent_run)| agent_run.owner);
        let limiting_ends = self.ends.iter().filter(|end| end.limits_lease());
        let owners = run_owners.chain(limiting_ends.map(|end| end.owner));
        // Ends that are not listed yet may be those of stored jobs' tasks.
        let has_unknown_ends = self.end_list == EndList::Cut && self.listed_under.is_none();
        let owners = owners.chain(has_unknown_ends.then_some(Owner::Group));
        let grant_expiry = |owner: Owner| {
            let dispatcher = self.dispatchers.get(&owner);
            dispatcher.map_or(Millis(0), |dispatcher| dispatcher.grant_expires_at)
        };
        let latest = self
            .dispatchers
            .iter()
            .map(|(_, dispatcher)| dispatcher.grant_expires_at)
            .max();
        let earliest = owners.map(grant_expiry).min();
        match (earliest, latest) {
            (Some(earliest), _) if self.guards.on(JobGuard::Lease) => earliest,
            (_, latest) => latest.unwrap_or(Millis(0)),
        }
    }

    /// The latest time, by the agent's clock, at which the backend server's lease may still be
    /// valid.
    pub(crate) fn lease_bound(&self) -> Millis {
        let open = self.open_leases.iter().map(|(_, bound)| *bound).max();
        self.lease_expires_at.max(open.unwrap_or(Millis(0)))
    }

    /// A call that would have extended the lease has ended. The lease is as before if the backend
    /// server did not get the call.
    pub(crate) fn settle_lease(&mut self, id: CallId, reply: &ServerReply) {
        let bound = self.open_leases.remove(&id);
        if *reply != ServerReply::Unreachable {
            self.lease_expires_at = self.lease_expires_at.max(bound.unwrap_or(Millis(0)));
        }
    }

    /// Makes a call that extends the lease until `bound` at the latest, by the agent's clock.
    fn call_with_lease(
        &mut self,
        now: Millis,
        bound: Millis,
        pending: PendingCall,
        kind: ServerCallKind,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        if self.server.is_some() {
            self.call(now, pending, kind, out);
            self.open_leases.insert(self.last_call, bound);
        }
    }

    /// Stops the runs whose start got no answer from a former incarnation of the backend server.
    /// The new incarnation does not know of earlier stops and would execute such a start when it
    /// arrives late.
    pub(crate) fn stop_unanswered(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        self.forget_old_starts(now);
        for (_, task, run) in self.unanswered_starts.clone() {
            self.call_stop(now, task, run, out);
        }
    }

    /// Forgets the starts without an answer that can't be executed any more.
    pub(crate) fn forget_old_starts(&mut self, now: Millis) {
        self.unanswered_starts
            .retain(|(at, ..)| now.since(*at) < MAX_CALL_DELAY);
    }

    pub(crate) fn call_stop(
        &mut self,
        now: Millis,
        task: TaskId,
        run: RunId,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let kind = ServerCallKind::Stop { task, run };
        self.call(now, PendingCall::Stop(task, run), kind, out);
    }

    pub(crate) fn call(
        &mut self,
        now: Millis,
        pending: PendingCall,
        kind: ServerCallKind,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let Some(server) = &self.server else {
            return;
        };
        self.last_call = CallId(self.last_call.0 + 1);
        self.pending.insert(self.last_call, pending);
        let late = self.answer_times.wait();
        let (max_wait, late) = match &kind {
            ServerCallKind::Hold { max_wait, .. } => (*max_wait, late.max(HOLD_MARGIN)),
            ServerCallKind::Start { .. } | ServerCallKind::Stop { .. } => (Millis(0), late),
        };
        self.answer_times.sent(now + max_wait, self.last_call);
        out.push(ServerAgentOutput::Call(ServerCall {
            id: self.last_call,
            server: server.id.clone(),
            token: self.term.0.max(self.min_token),
            wait: max_wait + late,
            kind,
        }));
    }

    /// Returns how long a hold call may wait for an end.
    pub(crate) fn hold_wait(&self) -> Millis {
        if self.runs.is_empty() {
            HOLD_WAIT_IDLE
        } else {
            self.times.hold_wait
        }
    }

    /// Sends a hold call, which also extends the lease while a grant allows that.
    pub(crate) fn send_hold(
        &mut self,
        now: Millis,
        max_wait: Millis,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        if self.server.is_none() {
            return;
        }
        let lease_expires_at = self.lease_end(now);
        self.open_holds += 1;
        self.last_hold_sent_at = now;
        let pending = PendingCall::Hold {
            sent_at: now,
            life: self.life(),
            term: self.term,
        };
        let kind = ServerCallKind::Hold {
            acknowledged: self.acknowledged_end,
            lease_expires_at,
            max_wait,
        };
        if lease_expires_at.is_some() {
            let bound = now + max_lease_duration(self.lease_length(now));
            self.call_with_lease(now, bound, pending, kind, out);
        } else {
            self.call(now, pending, kind, out);
        }
    }
}

/// Returns the shortest time that may have passed on the backend server's clock in `age` of the agent's.
fn min_elapsed(age: Millis) -> Millis {
    age - Millis((age.0 * CLOCK_DRIFT_PERCENT).div_ceil(100))
}

/// Returns the longest time, on the agent's clock, that a lease of this length may last.
pub(crate) fn max_lease_duration(length: Millis) -> Millis {
    times::max_duration(length) + LEASE_MARGIN
}
