//! An entry's calls: jobs that need not be stored run from here, all else goes to
//! the control group's leader.
//!
//! A forwarded call is sent again, under the same job id, when the leader changes
//! before it answered. Every call is given up at its deadline.

use std::sync::Arc;

use super::call::{Call, CallReply, ClientAction};
use super::dispatcher::{DispatchOutput, Dispatcher, DispatcherId};
use super::guard::JobGuard;
use super::replicated_state::OpenJob;
use super::routes::{self, Target};
use super::spec::{JobId, JobSpec, JobStatus, OperatorConfig, QueueSettings};
use super::wire::{AcceptorMessage, Initiator, InitiatorMessage};
use super::worker::SessionId;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// A call is sent again so long after a leader said that it does not lead.
const RESEND_AFTER: Millis = Millis(40);
/// What a caller is told to wait when its call was not taken.
const RETRY_AFTER: Millis = Millis(1_000);
/// How long the outcome of a job that is not stored is kept: its caller submits it
/// again a little later when the answer was lost.
const RECENT: Millis = Millis(5_000);
/// How long a call waits for the first configuration: a leader is found within it,
/// unless the control group is down.
const PARKED_FOR: Millis = Millis(900);
/// Percent of a call's time after which a job that has not been started is given
/// up: its caller can still turn elsewhere, and has not waited for half of it.
const GIVE_UP_PERCENT: u64 = 45;
/// Stored jobs' ends are not kept here; nothing to forget.
const NO_KEEP: Millis = Millis(0);

/// A link to a control instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// What reaches the desk.
#[derive(Debug)]
pub enum CallRouterInput {
    /// A new call, to be answered before its deadline.
    Call {
        /// The caller's number.
        token: u64,
        /// What it asks.
        call: Call,
        /// Until when.
        deadline: Millis,
    },
    /// The caller has left.
    Left(u64),
    /// The link to the leader, if there is one.
    Leader(Option<LinkId>),
    /// The leader's answer to a forwarded call.
    Reply(u64, CallReply),
    /// A configuration in force.
    Config(Arc<OperatorConfig>),
    /// Data centres that are out, as of an entry of the log.
    Evacuated(u64, Vec<String>),
    /// A message on an agent's session.
    Message(SessionId, InitiatorMessage),
    /// An agent's session is gone.
    Closed(SessionId),
    /// Time has passed.
    Tick,
}

/// What the desk does.
#[derive(Debug, PartialEq)]
pub enum CallRouterOutput {
    /// Send a call to the leader.
    Forward(LinkId, u64, Call),
    /// Answer a caller.
    Answer(u64, CallReply),
    /// Send to an agent.
    Message(SessionId, AcceptorMessage),
}

#[derive(Debug)]
enum CallRoute {
    /// A job that runs from here.
    Local(JobId),
    /// Until a configuration is known.
    Parked(Call),
    /// To the leader, over the link it was last sent on.
    Forward {
        call: Call,
        sent: Option<LinkId>,
        may_have_run: bool,
        again: Millis,
    },
}

/// Who asks, since when and until when.
#[derive(Debug, Clone, Copy)]
struct IncomingCall {
    token: u64,
    since: Millis,
    deadline: Millis,
}

#[derive(Debug)]
struct OpenCall {
    route: CallRoute,
    since: Millis,
    deadline: Millis,
}

/// An entry's open calls.
#[derive(Debug)]
pub struct CallRouter {
    life: u64,
    open: Table<u64, OpenCall>,
    leader: Option<LinkId>,
    config: Option<Arc<OperatorConfig>>,
    evacuated_index: u64,
    evacuated: Vec<String>,
    dispatcher: Dispatcher,
    // Calls that wait for a local job.
    callers: Table<JobId, Vec<u64>>,
    // Local jobs that ended lately, with the time of that.
    recent: Table<JobId, (Millis, JobStatus)>,
    swept: Millis,
    actions: Vec<DispatchOutput>,
}

impl CallRouter {
    /// A desk in one life of its entry.
    #[must_use]
    pub fn new(life: u64, now: Millis) -> Self {
        Self {
            life,
            open: Table::default(),
            leader: None,
            config: None,
            evacuated_index: 0,
            evacuated: Vec::new(),
            dispatcher: Dispatcher::new(DispatcherId::Entry(life), now),
            callers: Table::default(),
            recent: Table::default(),
            swept: now,
            actions: Vec::new(),
        }
    }

    /// Turns a rule off, so that a checker can show that it is needed.
    pub fn disable(&mut self, guard: JobGuard) {
        self.dispatcher.guards.disable(guard);
    }

    /// Takes one input at `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Millis, input: CallRouterInput, out: &mut Vec<CallRouterOutput>) {
        match input {
            CallRouterInput::Call {
                token,
                call,
                deadline,
            } => {
                let incoming = IncomingCall {
                    token,
                    since: now,
                    deadline,
                };
                self.on_call(now, incoming, call, out);
            }
            CallRouterInput::Left(token) => {
                if let Some(open) = self.open.remove(&token) {
                    self.leave(now, token, &open);
                }
            }
            CallRouterInput::Leader(link) => {
                if self.leader != link {
                    self.leader = link;
                    for (_, open) in self.open.iter_mut() {
                        if let CallRoute::Forward { sent, .. } = &mut open.route {
                            *sent = None;
                        }
                    }
                    self.forward(now, out);
                }
            }
            CallRouterInput::Reply(token, reply) => self.on_reply(now, token, reply, out),
            CallRouterInput::Config(config) => {
                let held = self.config.as_ref().map(|s| s.version);
                if held.is_none_or(|held| held < config.version) {
                    events::SETUP.log(format_args!("version={} in_force=true", config.version));
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
            CallRouterInput::Message(session, up) => self.on_up(now, session, up, out),
            CallRouterInput::Closed(session) => self.dispatcher.disconnected(session),
            CallRouterInput::Tick => self.tick(now, out),
        }
    }

    /// Ends a turn: starts tasks, and answers the jobs that ended.
    pub fn flush(&mut self, now: Millis, wall: Millis, out: &mut Vec<CallRouterOutput>) {
        self.dispatcher
            .place(now, wall, &self.evacuated, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                DispatchOutput::Message(session, down) => {
                    out.push(CallRouterOutput::Message(session, down))
                }
                DispatchOutput::Ended(id, status) => self.answer_all(now, id, status, out),
                // Nothing of an entry is stored.
                DispatchOutput::Propose(_) => {}
            }
        }
    }

    fn answer_all(
        &mut self,
        now: Millis,
        id: JobId,
        status: JobStatus,
        out: &mut Vec<CallRouterOutput>,
    ) {
        self.recent.insert(id, (now, status));
        for token in self.callers.remove(&id).unwrap_or_default() {
            if self.open.remove(&token).is_some() {
                out.push(CallRouterOutput::Answer(token, CallReply::State(status)));
            }
        }
    }

    fn on_call(
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
                since: incoming.since,
                deadline: incoming.deadline,
            };
            self.open.insert(token, open);
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
                        let reply = self.submit(now, incoming, id, &queue.settings, spec);
                        out.extend(reply.map(|reply| CallRouterOutput::Answer(token, reply)));
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
            since: incoming.since,
            deadline: incoming.deadline,
        };
        self.open.insert(token, open);
        self.forward(now, out);
    }

    /// Decides the calls that came before the first configuration.
    fn unpark(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        let parked = self
            .open
            .iter()
            .filter(|(_, o)| matches!(o.route, CallRoute::Parked(_)));
        let parked: Vec<_> = parked.map(|(token, _)| *token).collect();
        for token in parked {
            if let Some(open) = self.open.remove(&token)
                && let CallRoute::Parked(call) = open.route
            {
                let incoming = IncomingCall {
                    token,
                    since: open.since,
                    deadline: open.deadline,
                };
                self.on_call(now, incoming, call, out);
            }
        }
    }

    /// Takes a job that is not stored; its end answers the call.
    fn submit(
        &mut self,
        now: Millis,
        incoming: IncomingCall,
        id: JobId,
        settings: &QueueSettings,
        spec: JobSpec,
    ) -> Option<CallReply> {
        let token = incoming.token;
        if let Some(what) = &spec.unsupported {
            events::REFUSED.log(format_args!("job={id} unsupported={what}"));
            return Some(CallReply::Refused(RETRY_AFTER));
        }
        if let Some((_, status)) = self.recent.get(&id) {
            return Some(CallReply::State(*status));
        }
        if !self.dispatcher.holds(id) {
            let job = OpenJob::new(settings.clone(), spec);
            let tasks: usize = job.tasks.iter().map(Vec::len).sum();
            events::ACCEPTED.log(format_args!(
                "job={id} call={token} tasks={tasks} stored=false wait_ms={}",
                incoming.deadline.since(now).0
            ));
            self.dispatcher.submit(now, incoming.since, id, &job);
        }
        self.callers.or_insert_with(id, Vec::new).push(token);
        let open = OpenCall {
            route: CallRoute::Local(id),
            since: incoming.since,
            deadline: incoming.deadline,
        };
        self.open.insert(token, open);
        None
    }

    /// A call needs no answer any more; a job that nobody waits for is abandoned.
    fn leave(&mut self, now: Millis, token: u64, open: &OpenCall) {
        let CallRoute::Local(id) = open.route else {
            return;
        };
        let Some(tokens) = self.callers.get_mut(&id) else {
            return;
        };
        tokens.retain(|known| *known != token);
        if tokens.is_empty() {
            self.callers.remove(&id);
            self.dispatcher.abandon(now, id, &mut self.actions);
        }
    }

    fn forward(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        let Some(link) = self.leader else {
            return;
        };
        for (token, open) in self.open.iter_mut() {
            if let CallRoute::Forward {
                call,
                sent: sent @ None,
                may_have_run,
                again,
            } = &mut open.route
                && now >= *again
            {
                *sent = Some(link);
                *may_have_run = true;
                out.push(CallRouterOutput::Forward(link, *token, call.clone()));
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
            if let Some(open) = self.open.get_mut(&token)
                && let CallRoute::Forward { sent, again, .. } = &mut open.route
            {
                *sent = None;
                *again = now + RESEND_AFTER;
            }
            return;
        }
        if self.open.remove(&token).is_some() {
            out.push(CallRouterOutput::Answer(token, reply));
        }
    }

    fn on_up(
        &mut self,
        now: Millis,
        session: SessionId,
        up: InitiatorMessage,
        out: &mut Vec<CallRouterOutput>,
    ) {
        match up {
            InitiatorMessage::Hello(Initiator::Agent(name)) => {
                let runs = self.dispatcher.connected(now, &name, session);
                let life = self.life;
                out.push(CallRouterOutput::Message(
                    session,
                    AcceptorMessage::Welcome { life, runs },
                ));
            }
            InitiatorMessage::Heartbeat(at) => {
                let known = self.dispatcher.beat(now, session);
                let grant = known.then_some(DispatcherId::Entry(self.life).grant());
                out.push(CallRouterOutput::Message(
                    session,
                    AcceptorMessage::HeartbeatAck { at, grant },
                ));
            }
            InitiatorMessage::Report(report) => {
                self.dispatcher
                    .report(now, None, session, report, &mut self.actions);
            }
            InitiatorMessage::Hello(who) => {
                events::BAD_CALL.log(format_args!("session of {who:?} at an entry"))
            }
            InitiatorMessage::Call(..) | InitiatorMessage::Peer(_) => {
                events::BAD_CALL.log(format_args!("message for a control instance"));
            }
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        self.expire(now, out);
        self.refuse_hopeless(now, out);
        self.forward(now, out);
        self.dispatcher.tick(now, NO_KEEP, &mut self.actions);
        if now.since(self.swept) >= RECENT {
            self.swept = now;
            self.recent.retain(|_, (at, _)| now.since(*at) < RECENT);
        }
    }

    fn expire(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        let due = self.open.iter().filter(|(_, open)| now >= open.deadline);
        let due: Vec<_> = due.map(|(token, _)| *token).collect();
        for token in due {
            let Some(open) = self.open.remove(&token) else {
                continue;
            };
            let may_have_run = match &open.route {
                CallRoute::Local(id) => self.dispatcher.may_have_run(*id),
                CallRoute::Parked(_) => false,
                CallRoute::Forward { may_have_run, .. } => *may_have_run,
            };
            events::CALL_EXPIRED.log(format_args!(
                "call={token} way={:?} may_have_run={may_have_run} after_ms={} leader={:?}",
                open.route,
                now.since(open.since).0,
                self.leader
            ));
            self.leave(now, token, &open);
            let reply = if may_have_run {
                CallReply::Unknown
            } else {
                CallReply::Refused(RETRY_AFTER)
            };
            out.push(CallRouterOutput::Answer(token, reply));
        }
    }

    /// Gives up what cannot be of use any more, so that the callers know at once:
    /// what has not been started, and under shortage also what has.
    fn refuse_hopeless(&mut self, now: Millis, out: &mut Vec<CallRouterOutput>) {
        let mut hopeless = Vec::new();
        for (token, open) in self.open.iter() {
            let allowed = open.deadline.since(open.since).0;
            let patience = Millis(allowed * GIVE_UP_PERCENT / 100);
            let waited = now.since(open.since);
            let useless = match &open.route {
                CallRoute::Local(id) => {
                    let late = self.dispatcher.is_overdue(now, *id) || waited >= patience;
                    late && !self.dispatcher.may_have_run(*id)
                        || self.dispatcher.is_in_the_way(now, *id)
                }
                CallRoute::Parked(_) => waited >= PARKED_FOR,
                CallRoute::Forward { .. } => false,
            };
            if useless {
                hopeless.push((*token, waited));
            }
        }
        for (token, waited) in hopeless {
            if let Some(open) = self.open.remove(&token) {
                let reply = match open.route {
                    CallRoute::Parked(_) => CallReply::NoConfig,
                    CallRoute::Local(id) if self.dispatcher.may_have_run(id) => CallReply::Unknown,
                    _ => CallReply::Refused(RETRY_AFTER),
                };
                events::REFUSED.log(format_args!(
                    "call={token} way={:?} waited_ms={} reply={reply:?}",
                    open.route, waited.0
                ));
                self.leave(now, token, &open);
                out.push(CallRouterOutput::Answer(token, reply));
            }
        }
    }

    /// Number of calls without an answer.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// True while new callers are served best here: calls can be decided, and there
    /// is a worker to use or a leader to ask.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        let able = self.leader.is_some() || self.dispatcher.has_open_worker(now, &self.evacuated);
        self.config.is_some() && able
    }
}
