//! An agent's calls to its backend server, and the lease that they extend.

use super::agent::{PendingCall, ServerAgent, ServerAgentOutput};
use super::agent_run::RunPhase;
use super::dispatcher_link::Owner;
use super::guard::JobGuard;
use super::server_call::{CallId, ServerCall, ServerCallKind};
use super::spec::{RunId, TaskId};
use crate::core::clock::Millis;

/// Longest that a look at the backend server waits for an end, while something runs
/// and while nothing does; several fit into one lease, so that a lost call does not
/// cost it.
const HOLD_WAIT: Millis = Millis(100);
const HOLD_IDLE: Millis = Millis(300);
/// The backend server's clock may run so much slow, in percent.
const DRIFT_PERCENT: u64 = 2;
/// Added to a lease before it counts as lapsed: one hop on the same machine.
const LAPSE_MARGIN: Millis = Millis(50);
/// A call without an answer is carried out within this, if at all: seconds, by the
/// users' protocol.
const LATE_WITHIN: Millis = Millis(15_000);

impl ServerAgent {
    pub(crate) fn call_start(
        &mut self,
        now: Millis,
        task: TaskId,
        run: RunId,
        payload: String,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let Some(lease_expires_at) = self.lease_end(now) else {
            return;
        };
        self.raise_lease_bound(now, self.lease_length(now));
        let kind = ServerCallKind::Start {
            task,
            run,
            payload,
            lease_expires_at,
        };
        self.call(PendingCall::Start(task, run), kind, out);
    }

    pub(crate) fn stop(
        &mut self,
        now: Millis,
        key: (TaskId, RunId),
        out: &mut Vec<ServerAgentOutput>,
    ) {
        if let Some(held) = self.runs.get_mut(&key) {
            held.enter(RunPhase::Stopping, now);
            self.call_stop(key.0, key.1, out);
        }
    }

    /// The end of a lease given now, on the backend server's clock; `None` while
    /// no dispatcher's grant lasts or that clock is not known.
    pub(crate) fn lease_end(&self, now: Millis) -> Option<Millis> {
        let (clock, at) = self.server_clock?;
        let length = self.lease_length(now);
        (length > Millis(0)).then(|| clock + now.since(at) + length)
    }

    /// How long a lease given now may last.
    pub(crate) fn lease_length(&self, now: Millis) -> Millis {
        self.times.max_lease.min(self.grant_limit().since(now))
    }

    /// Until when the backend server may be leased. A lease covers all that runs
    /// there, so it ends with the first grant of a dispatcher that has something
    /// here: when that dispatcher is lost, its tasks are started elsewhere after
    /// its grant, whatever becomes of this process.
    fn grant_limit(&self) -> Millis {
        let of_runs = self.runs.iter().map(|(_, held)| held.owner);
        let binding = self.ends.iter().filter(|end| end.binds_lease());
        let owners = of_runs.chain(binding.map(|end| end.owner));
        let granted = |owner: Owner| {
            let dispatcher = self.dispatchers.get(&owner);
            dispatcher.map_or(Millis(0), |dispatcher| dispatcher.grant_expires_at)
        };
        let longest = self
            .dispatchers
            .iter()
            .map(|(_, dispatcher)| dispatcher.grant_expires_at)
            .max();
        let first = owners.map(granted).min();
        match (first, longest) {
            (Some(first), _) if self.guards.on(JobGuard::Lease) => first,
            (_, longest) => longest.unwrap_or(Millis(0)),
        }
    }

    /// Notes that a lease of this length is given now.
    pub(crate) fn raise_lease_bound(&mut self, now: Millis, length: Millis) {
        self.lease_expires_at = self.lease_expires_at.max(now + longest_lease(length));
    }

    /// Stops what a former life of the backend server was asked to start: a new one
    /// knows of no stop before it, and carries such a start out when it comes late.
    pub(crate) fn stop_unanswered(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        self.unanswered_starts
            .retain(|(at, ..)| now.since(*at) < LATE_WITHIN);
        for (_, task, run) in self.unanswered_starts.clone() {
            self.call_stop(task, run, out);
        }
    }

    pub(crate) fn call_stop(&mut self, task: TaskId, run: RunId, out: &mut Vec<ServerAgentOutput>) {
        let kind = ServerCallKind::Stop { task, run };
        self.call(PendingCall::Stop(task, run), kind, out);
    }

    pub(crate) fn call(
        &mut self,
        pending: PendingCall,
        kind: ServerCallKind,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let Some(server) = &self.server else {
            return;
        };
        self.last_call = CallId(self.last_call.0 + 1);
        self.pending.insert(self.last_call, pending);
        out.push(ServerAgentOutput::Call(ServerCall {
            id: self.last_call,
            server: server.id.clone(),
            token: self.term.0.max(self.min_token),
            kind,
        }));
    }

    /// How long a look waits for an end.
    pub(crate) fn hold_wait(&self) -> Millis {
        if self.runs.is_empty() {
            HOLD_IDLE
        } else {
            HOLD_WAIT
        }
    }

    /// Looks at the backend server, and extends its lease while that is allowed.
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
        if lease_expires_at.is_some() {
            self.raise_lease_bound(now, self.lease_length(now));
        }
        self.open_holds += 1;
        self.last_hold_sent_at = now;
        let pending = PendingCall::Hold {
            sent: now,
            life: self.life(),
            term: self.term,
        };
        let kind = ServerCallKind::Hold {
            acknowledged: self.acknowledged_end,
            lease_expires_at,
            max_wait,
        };
        self.call(pending, kind, out);
    }
}

/// How long a lease of this length may last on the agent's clock.
pub(crate) fn longest_lease(length: Millis) -> Millis {
    length + Millis(length.0 * DRIFT_PERCENT / 100) + LAPSE_MARGIN
}
