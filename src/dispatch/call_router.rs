//! Routes the calls that an entry receives: transient jobs run from this entry, all other calls are
//! forwarded to the leader of the control group.
//!
//! If the leader changes before it has replied, the call is sent again under the same job id. A
//! call without a reply at its deadline is refused, or answered as unknown if it may have run.

use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::call::{Call, CallReply, ClientAction};
use super::dispatcher::{DispatchOutput, Dispatcher, DispatcherId};
use super::guard::JobGuard;
use super::late_calls::{ArrivalGaps, SentAfter, TurnGaps};
use super::load::self_check::SelfCheck;
use super::readiness::Readiness;
use super::routes::{self, Target};
use super::spec::{JobId, JobStatus, OperatorConfig};
use super::times::Times;
use super::wire::{AcceptorMessage, AgentReport, Initiator, InitiatorMessage};
use super::worker::SessionId;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// Delay before a call is sent again after an instance replied that it does not lead, in
/// milliseconds.
const RESEND_AFTER: Millis = Millis(40);
/// Retry delay given to callers whose call is refused for another reason than want of capacity, in
/// milliseconds: another entry can take it, or none can.
pub(super) const RETRY_AFTER: Millis = Millis(1_000);
/// A stopping entry refuses jobs in this last part of its time whose callers would wait for longer, in
/// milliseconds. Before that, new callers may not have learned yet that it is not ready.
const LAST_JOBS: Millis = Millis(3_000);
/// The entry's dispatcher holds no stored jobs, so it has no ended jobs to keep.
const KEEP_NOTHING: Millis = Millis(0);

/// Identifies a link to a control instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Inputs of the call router.
#[derive(Debug)]
pub enum CallRouterInput {
    /// A new call, to be answered before its deadline.
    Call {
        /// Number that identifies the call.
        token: u64,
        /// What it asks.
        call: Call,
        /// When its caller can have sent it.
        sent: SentAfter,
        /// When the call must be answered at the latest.
        deadline: Millis,
    },
    /// The caller of this call has disconnected.
    Left(u64),
    /// The link to the current leader, or `None` if it is not known.
    Leader(Option<LinkId>),
    /// The leader's reply to the forwarded call with this number.
    Reply(u64, CallReply),
    /// The configuration in force.
    Config(Arc<OperatorConfig>),
    /// Index in the log, and the data centres that are evacuated as of that index.
    Evacuated(u64, Vec<String>),
    /// Number of entries, as the group's leader counts them.
    Entries(usize),
    /// A message on an agent's session.
    Message(SessionId, InitiatorMessage),
    /// An agent's session has closed.
    Closed(SessionId),
    /// The entry's process ends at this time.
    StopsAt(Millis),
    /// Periodic tick.
    Tick,
}

/// Actions that the call router requests.
#[derive(Debug, PartialEq)]
pub enum CallRouterOutput {
    /// Send the call with this number to the leader over a link.
    Forward(LinkId, u64, Call),
    /// Answer the caller of the call with this number.
    Answer(u64, CallReply),
    /// Send a message on an agent's session.
    Message(SessionId, AcceptorMessage),
}

#[derive(Debug)]
pub(super) enum CallRoute {
    /// Waits for the end of a transient job that runs from this entry.
    Local(JobId),
    /// Waits for the first configuration.
    Parked(Call),
    /// Waits until its caller would be known to have left.
    Held { call: Call, until: Millis },
    /// Forwarded to the leader. `sent` is the link that it was last sent on, `again` the earliest
    /// time to send it.
    Forward {
        call: Call,
        sent: Option<LinkId>,
        may_have_run: bool,
        again: Millis,
    },
}

#[derive(Debug, Clone, Copy)]
pub(super) struct IncomingCall {
    pub(super) token: u64,
    pub(super) sent: SentAfter,
    pub(super) received_at: Millis,
    pub(super) deadline: Millis,
    /// Its caller is known to wait for it, however old it is.
    pub(super) is_confirmed: bool,
}

#[derive(Debug)]
pub(super) struct OpenCall {
    pub(super) route: CallRoute,
    pub(super) sent: SentAfter,
    pub(super) received_at: Millis,
    pub(super) deadline: Millis,
}

/// Holds the open calls of an entry, and dispatches its transient jobs.
#[derive(Debug)]
pub struct CallRouter {
    life: u64,
    pub(super) times: Times,
    pub(super) open_calls: Table<u64, OpenCall>,
    // No open call has an earlier deadline.
    pub(super) next_deadline: Millis,
    pub(super) leader: Option<LinkId>,
    pub(super) config: Option<Arc<OperatorConfig>>,
    evacuated_index: u64,
    pub(super) evacuated: Vec<String>,
    pub(super) dispatcher: Dispatcher,
    // Calls that wait for each local job.
    pub(super) waiting_calls: Table<JobId, Vec<u64>>,
    // Local jobs that ended recently, with the time of their end.
    pub(super) recent_outcomes: Table<JobId, (Millis, JobStatus)>,
    swept_at: Millis,
    stops_at: Option<Millis>,
    // When the last open calls of a stopping process are answered.
    pub(super) answer_by: Option<Millis>,
    // Number of open calls with the route `Held`.
    pub(super) held_calls: usize,
    pub(super) gaps: TurnGaps,
    pub(super) arrivals: ArrivalGaps,
    pub(super) self_check: SelfCheck,
    pub(super) actions: Vec<DispatchOutput>,
    pub(super) rng: Pcg64Mcg,
}

impl CallRouter {
    /// Creates the router for one incarnation (`life`) of its entry.
    #[must_use]
    pub fn new(life: u64, now: Millis, times: Times) -> Self {
        Self {
            life,
            times,
            open_calls: Table::default(),
            next_deadline: Millis(u64::MAX),
            leader: None,
            config: None,
            evacuated_index: 0,
            evacuated: Vec::new(),
            dispatcher: Dispatcher::new(DispatcherId::Entry(life), times.grant, now),
            waiting_calls: Table::default(),
            recent_outcomes: Table::default(),
            swept_at: now,
            stops_at: None,
            answer_by: None,
            held_calls: 0,
            gaps: TurnGaps::new(now),
            arrivals: ArrivalGaps::new(now),
            self_check: SelfCheck::new(),
            actions: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(life),
        }
    }

    /// Turns a rule off, so that a checker can show that the rule is needed.
    pub fn disable(&mut self, guard: JobGuard) {
        self.dispatcher.guards.disable(guard);
    }

    /// Processes one input at time `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Millis, input: CallRouterInput, out: &mut Vec<CallRouterOutput>) {
        match input {
            CallRouterInput::Call {
                token,
                call,
                sent,
                deadline,
            } => {
                self.note_arrival(now);
                let incoming = IncomingCall {
                    token,
                    sent,
                    received_at: now,
                    deadline,
                    is_confirmed: false,
                };
                if self.ends_too_early(&incoming, &call) {
                    let reply = CallReply::Refused(RETRY_AFTER);
                    out.push(CallRouterOutput::Answer(token, reply));
                    return;
                }
                let incoming = IncomingCall {
                    deadline: self.answer_by.map_or(deadline, |at| deadline.min(at)),
                    ..incoming
                };
                self.on_call(now, incoming, call, out);
            }
            CallRouterInput::StopsAt(at) => self.stop_at(at),
            CallRouterInput::Left(token) => {
                if let Some(open) = self.open_calls.remove(&token) {
                    self.end_hold(now, token, &open, "left");
                    self.remove_waiting_call(now, token, &open);
                }
            }
            CallRouterInput::Leader(link) => {
                if self.leader != link {
                    self.leader = link;
                    for (_, open) in self.open_calls.iter_mut() {
                        if let CallRoute::Forward { sent, .. } = &mut open.route {
                            *sent = None;
                        }
                    }
                    self.forward(now, out);
                }
            }
            CallRouterInput::Reply(token, reply) => self.on_reply(now, token, reply, out),
            CallRouterInput::Config(config) => {
                let current = self.config.as_ref().map(|c| c.version);
                if current.is_none_or(|current| current < config.version) {
                    events::SETUP.log(format_args!("version={} in_force=true", config.version));
                    self.set_wait_limit(&config);
                    self.config = Some(config);
                    self.unpark(now, out);
                }
            }
            CallRouterInput::Evacuated(index, data_centres) => {
                if index >= self.evacuated_index {
                    self.evacuated_index = index;
                    self.evacuated = data_centres;
                }
            }
            CallRouterInput::Message(session, message) => {
                self.on_agent_message(now, session, message, out);
            }
            CallRouterInput::Entries(entries) => self.dispatcher.entries = entries.max(1),
            CallRouterInput::Closed(session) => self.dispatcher.agent_disconnected(session),
            CallRouterInput::Tick => self.tick(now, out),
        }
    }

    /// Ends a batch of inputs: starts tasks, and answers the calls of jobs that ended. `wall_clock`
    /// is the wall-clock time from which run ids are derived.
    pub fn flush(&mut self, now: Millis, wall_clock: Millis, out: &mut Vec<CallRouterOutput>) {
        // A job that has just ended is answered, even if its deadline has passed as well.
        self.execute_actions(now, out);
        // After a pause of the process, this may come before the tick.
        self.expire(now, out);
        if self.end_turn(now, out) {
            let before = self.actions.len();
            self.dispatcher
                .place_jobs(now, wall_clock, &self.evacuated, &mut self.actions);
            self.dispatcher.note_starts(now, &self.actions[before..]);
        }
        self.execute_actions(now, out);
    }

    fn execute_actions(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                DispatchOutput::Message(session, message) => {
                    out.push(CallRouterOutput::Message(session, message));
                }
                DispatchOutput::Ended(id, status) => {
                    self.recent_outcomes.insert(id, (now, status));
                    self.answer_all(id, &CallReply::State(status), out);
                }
                DispatchOutput::GivenUp(id) => self.answer_all(id, &CallReply::Unknown, out),
                // An entry stores nothing.
                DispatchOutput::Propose(_) => {}
            }
        }
    }

    fn answer_all(&mut self, id: JobId, reply: &CallReply, out: &mut Vec<CallRouterOutput>) {
        for token in self.waiting_calls.remove(&id).unwrap_or_default() {
            if self.open_calls.remove(&token).is_some() {
                out.push(CallRouterOutput::Answer(token, reply.clone()));
            }
        }
    }

    pub(super) fn on_call(
        &mut self,
        now: Millis,
        incoming: IncomingCall,
        call: Call,
        out: &mut Vec<CallRouterOutput>,
    ) {
        let token = incoming.token;
        let Some(config) = self.config.clone() else {
            let open = OpenCall {
                route: CallRoute::Parked(call),
                sent: incoming.sent,
                received_at: incoming.received_at,
                deadline: incoming.deadline,
            };
            self.open_call(token, open);
            return;
        };
        let call = match call {
            Call::Client { host, path, action } => {
                match (routes::find(&config, &host, &path), action) {
                    (Target::Unknown, _) => {
                        out.push(CallRouterOutput::Answer(token, CallReply::NoQueue));
                        return;
                    }
                    (Target::Job(queue, id), ClientAction::Submit(Some(spec)))
                        if spec.transient =>
                    {
                        let is_known =
                            self.dispatcher.has_job(id) || self.recent_outcomes.get(&id).is_some();
                        if !is_known && self.must_wait(now, &incoming) {
                            let action = ClientAction::Submit(Some(spec));
                            self.hold_call(now, &incoming, Call::Client { host, path, action });
                            return;
                        }
                        let reply = self.submit(now, incoming, id, &queue.settings, spec);
                        out.extend(reply.map(|reply| CallRouterOutput::Answer(token, reply)));
                        return;
                    }
                    (Target::Job(_, id), ClientAction::Cancel) if self.dispatcher.has_job(id) => {
                        self.cancel_local(now, id);
                        out.push(CallRouterOutput::Answer(token, CallReply::Done));
                        return;
                    }
                    (_, action) => Call::Client { host, path, action },
                }
            }
            other => other,
        };
        let route = CallRoute::Forward {
            call,
            sent: None,
            may_have_run: false,
            again: now,
        };
        let open = OpenCall {
            route,
            sent: incoming.sent,
            received_at: incoming.received_at,
            deadline: incoming.deadline,
        };
        self.open_call(token, open);
        self.forward(now, out);
    }

    /// The entry's process ends at this time: no open call waits for longer. Jobs that can't end by
    /// then, and have not begun, are refused with the next tick.
    fn stop_at(&mut self, at: Millis) {
        self.stops_at = Some(at);
        // A later notice says that nothing is open any more; what has come since is still answered.
        let answer_by = *self.answer_by.get_or_insert(at);
        for (_, open) in self.open_calls.iter_mut() {
            open.deadline = open.deadline.min(answer_by);
        }
        self.next_deadline = self.next_deadline.min(answer_by);
    }

    /// Ends a transient job at its caller's request.
    fn cancel_local(&mut self, now: Millis, id: JobId) {
        events::CANCELLED.log(format_args!("job={id} stored=false"));
        let status = JobStatus::Cancelled;
        self.dispatcher
            .drop_job(now, id, Some(status), &mut self.actions);
        self.actions.push(DispatchOutput::Ended(id, status));
    }

    /// True if a job that is handed in shortly before the entry's process ends might still run then.
    /// Another entry can take it.
    fn ends_too_early(&self, incoming: &IncomingCall, call: &Call) -> bool {
        let is_submit = matches!(
            call,
            Call::Client {
                action: ClientAction::Submit(_),
                ..
            }
        );
        let is_late =
            |at: &Millis| incoming.deadline > *at && incoming.received_at + LAST_JOBS >= *at;
        let Some(at) = self.stops_at.filter(|at| is_submit && is_late(at)) else {
            return false;
        };
        events::REFUSED.log(format_args!(
            "call={} stopping=true stops_in_ms={} wait_ms={}",
            incoming.token,
            at.since(incoming.received_at).0,
            incoming.deadline.since(incoming.received_at).0
        ));
        true
    }

    /// Forwards the calls that the leader does not have. A cancel must not overtake the submission of
    /// its job: the leader would answer that there is no such job, and then accept it.
    fn forward(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        let Some(link) = self.leader else {
            return;
        };
        let mut unsent = Vec::new();
        for (token, open) in self.open_calls.iter_mut() {
            match &mut open.route {
                CallRoute::Parked(call) => unsent.extend(submitted_path(call)),
                CallRoute::Forward {
                    call,
                    sent: sent @ None,
                    may_have_run,
                    again,
                } => {
                    if now < *again {
                        unsent.extend(submitted_path(call));
                    } else if !cancelled_path(call).is_some_and(|path| unsent.contains(&path)) {
                        *sent = Some(link);
                        *may_have_run = true;
                        out.push(CallRouterOutput::Forward(link, *token, call.clone()));
                    }
                }
                CallRoute::Local(_) | CallRoute::Held { .. } | CallRoute::Forward { .. } => {}
            }
        }
    }

    fn on_reply(
        &mut self,
        now: Millis,
        token: u64,
        reply: CallReply,
        out: &mut Vec<CallRouterOutput>,
    ) {
        if matches!(reply, CallReply::NotLeader | CallReply::Unknown) {
            if let Some(open) = self.open_calls.get_mut(&token)
                && let CallRoute::Forward { sent, again, .. } = &mut open.route
            {
                *sent = None;
                *again = now + RESEND_AFTER;
            }
            return;
        }
        if self.open_calls.remove(&token).is_some() {
            out.push(CallRouterOutput::Answer(token, reply));
        }
    }

    fn on_agent_message(
        &mut self,
        now: Millis,
        session: SessionId,
        message: InitiatorMessage,
        out: &mut Vec<CallRouterOutput>,
    ) {
        match message {
            InitiatorMessage::Hello(Initiator::Agent(name)) => {
                let runs = self.dispatcher.agent_connected(now, &name, session);
                let life = self.life;
                out.push(CallRouterOutput::Message(
                    session,
                    AcceptorMessage::Welcome { life, runs },
                ));
            }
            InitiatorMessage::Heartbeat(at) => {
                let known = self.dispatcher.on_heartbeat(now, session, at);
                let grant = known.then_some(self.times.grant);
                out.push(CallRouterOutput::Message(
                    session,
                    AcceptorMessage::HeartbeatAck { at, grant },
                ));
            }
            InitiatorMessage::Report(AgentReport::LateEntries { late, entries }) => {
                self.self_check.note_report(now, late, entries);
            }
            InitiatorMessage::Report(report) => {
                self.dispatcher
                    .on_report(now, None, session, report, &mut self.actions);
            }
            InitiatorMessage::Hello(initiator) => {
                events::BAD_CALL.log(format_args!("session of {initiator:?} at an entry"));
            }
            InitiatorMessage::Call(..) | InitiatorMessage::Peer(_) => {
                events::BAD_CALL.log(format_args!("message for a control instance"));
            }
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        self.check_self(now);
        self.expire(now, out);
        self.dispatcher.update_load(now);
        self.refuse_useless(now, out);
        self.forward(now, out);
        self.dispatcher.tick(now, KEEP_NOTHING, &mut self.actions);
        let keep = self.times.keep_outcome;
        if now.since(self.swept_at) >= keep {
            self.swept_at = now;
            self.recent_outcomes
                .retain(|_, (at, _)| now.since(*at) < keep);
        }
    }

    /// Number of open calls.
    pub(crate) fn len(&self) -> usize {
        self.open_calls.len()
    }

    /// What this entry has of that which it needs to serve new callers.
    pub(crate) fn readiness(&self, now: Millis) -> Readiness {
        Readiness {
            standing: self.self_check.standing(),
            config: self.config.is_some(),
            leader: self.leader.is_some(),
            worker: self.dispatcher.has_open_worker(now, &self.evacuated),
        }
    }

    /// Returns true while this entry can serve new callers.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        self.readiness(now).is_ready()
    }

    /// What a pause of the process may have cost.
    pub(crate) fn stakes(&self, now: Millis) -> String {
        self.dispatcher.stakes(now)
    }
}

/// Host and path of the job that a call hands in.
fn submitted_path(call: &Call) -> Option<(&str, &str)> {
    match call {
        Call::Client {
            host,
            path,
            action: ClientAction::Submit(_),
        } => Some((host, path)),
        _ => None,
    }
}

/// Host and path of the job that a call cancels.
fn cancelled_path(call: &Call) -> Option<(&str, &str)> {
    match call {
        Call::Client {
            host,
            path,
            action: ClientAction::Cancel,
        } => Some((host, path)),
        _ => None,
    }
}
