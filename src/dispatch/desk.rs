//! An entry's calls: jobs that need not be stored run from here, all else goes to
//! the control group's leader.
//!
//! A forwarded call is sent again, under the same job id, when the leader changes
//! before it answered. Every call is given up at its deadline.

use std::sync::Arc;

use super::book::OpenJob;
use super::call::{Call, Reply, Want};
use super::dispatcher::{DispatchOutput, Dispatcher, Reign};
use super::routes::{self, Target};
use super::spec::{JobId, JobSpec, Setup, State, Terms};
use super::wire::{Down, Up, Who};
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
/// Stored jobs' ends are not kept here; nothing to forget.
const NO_KEEP: Millis = Millis(0);

/// A link to a control instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkId(pub(crate) u64);

/// What reaches the desk.
#[derive(Debug)]
pub(crate) enum DeskInput {
    /// A new call, to be answered before its deadline.
    Call {
        token: u64,
        call: Call,
        deadline: Millis,
    },
    /// The caller has left.
    Left(u64),
    /// The link to the leader, if there is one.
    Leader(Option<LinkId>),
    Reply(u64, Reply),
    Setup(Arc<Setup>),
    /// Data centres that are out, as of an entry of the log.
    Out(u64, Vec<String>),
    /// An agent's session.
    Up(SessionId, Up),
    Closed(SessionId),
    Tick,
}

/// What the desk does.
#[derive(Debug, PartialEq)]
pub(crate) enum DeskOutput {
    Send(LinkId, u64, Call),
    Answer(u64, Reply),
    Down(SessionId, Down),
}

#[derive(Debug)]
enum Way {
    /// A job that runs from here.
    Local(JobId),
    /// To the leader, over the link it was last sent on.
    Forward {
        call: Call,
        sent: Option<LinkId>,
        risked: bool,
        again: Millis,
    },
}

#[derive(Debug)]
struct Open {
    way: Way,
    since: Millis,
    deadline: Millis,
}

/// An entry's open calls.
#[derive(Debug)]
pub(crate) struct Desk {
    life: u64,
    open: Table<u64, Open>,
    leader: Option<LinkId>,
    setup: Option<Arc<Setup>>,
    out_index: u64,
    out: Vec<String>,
    dispatcher: Dispatcher,
    // Calls that wait for a local job.
    callers: Table<JobId, Vec<u64>>,
    // Local jobs that ended lately, with the time of that.
    recent: Table<JobId, (Millis, State)>,
    swept: Millis,
    acts: Vec<DispatchOutput>,
}

impl Desk {
    /// A desk in one life of its entry; `hold` is the longest lease of a backend
    /// server.
    pub(crate) fn new(life: u64, hold: Millis, now: Millis) -> Self {
        Self {
            life,
            open: Table::default(),
            leader: None,
            setup: None,
            out_index: 0,
            out: Vec::new(),
            dispatcher: Dispatcher::new(Reign::Entry(life), hold, now),
            callers: Table::default(),
            recent: Table::default(),
            swept: now,
            acts: Vec::new(),
        }
    }

    /// Takes one input at `now` and appends what is to be done to `out`.
    pub(crate) fn step(&mut self, now: Millis, input: DeskInput, out: &mut Vec<DeskOutput>) {
        match input {
            DeskInput::Call {
                token,
                call,
                deadline,
            } => self.on_call(now, token, call, deadline, out),
            DeskInput::Left(token) => {
                if let Some(open) = self.open.remove(&token) {
                    self.leave(now, token, &open);
                }
            }
            DeskInput::Leader(link) => {
                if self.leader != link {
                    self.leader = link;
                    for (_, open) in self.open.iter_mut() {
                        if let Way::Forward { sent, .. } = &mut open.way {
                            *sent = None;
                        }
                    }
                    self.forward(now, out);
                }
            }
            DeskInput::Reply(token, reply) => self.on_reply(now, token, reply, out),
            DeskInput::Setup(setup) => {
                let held = self.setup.as_ref().map(|s| s.version);
                if held.is_none_or(|held| held < setup.version) {
                    events::SETUP.log(format_args!("version={} in_force=true", setup.version));
                    self.setup = Some(setup);
                }
            }
            DeskInput::Out(index, places) => {
                if index >= self.out_index {
                    self.out_index = index;
                    self.out = places;
                }
            }
            DeskInput::Up(session, up) => self.on_up(now, session, up, out),
            DeskInput::Closed(session) => self.dispatcher.disconnected(session),
            DeskInput::Tick => self.tick(now, out),
        }
    }

    /// Ends a turn: starts tasks, and answers the jobs that ended.
    pub(crate) fn flush(&mut self, now: Millis, wall: Millis, out: &mut Vec<DeskOutput>) {
        self.dispatcher.place(now, wall, &self.out, &mut self.acts);
        for act in std::mem::take(&mut self.acts) {
            match act {
                DispatchOutput::Down(session, down) => out.push(DeskOutput::Down(session, down)),
                DispatchOutput::Ended(id, state) => self.answer_all(now, id, state, out),
                // Nothing of an entry is stored.
                DispatchOutput::Propose(_) => {}
            }
        }
    }

    fn answer_all(&mut self, now: Millis, id: JobId, state: State, out: &mut Vec<DeskOutput>) {
        self.recent.insert(id, (now, state));
        for token in self.callers.remove(&id).unwrap_or_default() {
            if self.open.remove(&token).is_some() {
                out.push(DeskOutput::Answer(token, Reply::State(state)));
            }
        }
    }

    fn on_call(
        &mut self,
        now: Millis,
        token: u64,
        call: Call,
        deadline: Millis,
        out: &mut Vec<DeskOutput>,
    ) {
        let Some(setup) = self.setup.clone() else {
            out.push(DeskOutput::Answer(token, Reply::NoSetup));
            return;
        };
        let call = match call {
            Call::Client { host, path, want } => match (routes::find(&setup, &host, &path), want) {
                (Target::Unknown, _) => {
                    out.push(DeskOutput::Answer(token, Reply::NoQueue));
                    return;
                }
                (Target::Job(queue, id), Want::Submit(Some(spec))) if spec.loose => {
                    let reply = self.submit(now, token, deadline, id, &queue.terms, spec);
                    out.extend(reply.map(|reply| DeskOutput::Answer(token, reply)));
                    return;
                }
                (_, want) => Call::Client { host, path, want },
            },
            other => other,
        };
        let way = Way::Forward {
            call,
            sent: None,
            risked: false,
            again: now,
        };
        let open = Open {
            way,
            since: now,
            deadline,
        };
        self.open.insert(token, open);
        self.forward(now, out);
    }

    /// Takes a job that is not stored; its end answers the call.
    fn submit(
        &mut self,
        now: Millis,
        token: u64,
        deadline: Millis,
        id: JobId,
        terms: &Terms,
        spec: JobSpec,
    ) -> Option<Reply> {
        if let Some(what) = &spec.unsupported {
            events::REFUSED.log(format_args!("job={id} unsupported={what}"));
            return Some(Reply::Refused(RETRY_AFTER));
        }
        if let Some((_, state)) = self.recent.get(&id) {
            return Some(Reply::State(*state));
        }
        if !self.dispatcher.holds(id) {
            let job = OpenJob::new(terms.clone(), spec);
            let tasks: usize = job.tasks.iter().map(Vec::len).sum();
            events::ACCEPTED.log(format_args!(
                "job={id} call={token} tasks={tasks} stored=false wait_ms={}",
                deadline.since(now).0
            ));
            self.dispatcher.submit(now, id, &job);
        }
        self.callers.or_insert_with(id, Vec::new).push(token);
        let open = Open {
            way: Way::Local(id),
            since: now,
            deadline,
        };
        self.open.insert(token, open);
        None
    }

    /// A call needs no answer any more; a job that nobody waits for is abandoned.
    fn leave(&mut self, now: Millis, token: u64, open: &Open) {
        let Way::Local(id) = open.way else {
            return;
        };
        let Some(tokens) = self.callers.get_mut(&id) else {
            return;
        };
        tokens.retain(|known| *known != token);
        if tokens.is_empty() {
            self.callers.remove(&id);
            self.dispatcher.abandon(now, id, &mut self.acts);
        }
    }

    fn forward(&mut self, now: Millis, out: &mut Vec<DeskOutput>) {
        let Some(link) = self.leader else {
            return;
        };
        for (token, open) in self.open.iter_mut() {
            if let Way::Forward {
                call,
                sent: sent @ None,
                risked,
                again,
            } = &mut open.way
                && now >= *again
            {
                *sent = Some(link);
                *risked = true;
                out.push(DeskOutput::Send(link, *token, call.clone()));
            }
        }
    }

    fn on_reply(&mut self, now: Millis, token: u64, reply: Reply, out: &mut Vec<DeskOutput>) {
        if matches!(reply, Reply::NotLeader | Reply::Unknown) {
            if let Some(open) = self.open.get_mut(&token)
                && let Way::Forward { sent, again, .. } = &mut open.way
            {
                *sent = None;
                *again = now + RESEND_AFTER;
            }
            return;
        }
        if self.open.remove(&token).is_some() {
            out.push(DeskOutput::Answer(token, reply));
        }
    }

    fn on_up(&mut self, now: Millis, session: SessionId, up: Up, out: &mut Vec<DeskOutput>) {
        match up {
            Up::Hello(Who::Agent(name)) => {
                let runs = self.dispatcher.connected(now, &name, session);
                let life = self.life;
                out.push(DeskOutput::Down(session, Down::Welcome { life, runs }));
            }
            Up::Beat(at) => {
                let known = self.dispatcher.beat(now, session);
                let grant = known.then_some(Reign::Entry(self.life).grant());
                out.push(DeskOutput::Down(session, Down::Beat { at, grant }));
            }
            Up::Report(report) => {
                self.dispatcher
                    .report(now, None, session, report, &mut self.acts);
            }
            Up::Hello(who) => events::BAD_CALL.log(format_args!("session of {who:?} at an entry")),
            Up::Call(..) | Up::Peer(_) => {
                events::BAD_CALL.log(format_args!("message for a control instance"));
            }
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<DeskOutput>) {
        self.expire(now, out);
        self.refuse_hopeless(now, out);
        self.forward(now, out);
        self.dispatcher.tick(now, NO_KEEP, &mut self.acts);
        if now.since(self.swept) >= RECENT {
            self.swept = now;
            self.recent.retain(|_, (at, _)| now.since(*at) < RECENT);
        }
    }

    fn expire(&mut self, now: Millis, out: &mut Vec<DeskOutput>) {
        let due = self.open.iter().filter(|(_, open)| now >= open.deadline);
        let due: Vec<_> = due.map(|(token, _)| *token).collect();
        for token in due {
            let Some(open) = self.open.remove(&token) else {
                continue;
            };
            let risked = match &open.way {
                Way::Local(id) => self.dispatcher.has_ordered(*id),
                Way::Forward { risked, .. } => *risked,
            };
            events::CALL_EXPIRED.log(format_args!(
                "call={token} way={:?} may_have_run={risked} after_ms={} leader={:?}",
                open.way,
                now.since(open.since).0,
                self.leader
            ));
            self.leave(now, token, &open);
            let reply = if risked {
                Reply::Unknown
            } else {
                Reply::Refused(RETRY_AFTER)
            };
            out.push(DeskOutput::Answer(token, reply));
        }
    }

    /// Refuses the local jobs that have not been started and cannot be of use any
    /// more, so that their callers know at once.
    fn refuse_hopeless(&mut self, now: Millis, out: &mut Vec<DeskOutput>) {
        let mut hopeless = Vec::new();
        for (token, open) in self.open.iter() {
            let Way::Local(id) = open.way else {
                continue;
            };
            let half = Millis(open.deadline.since(open.since).0 / 2);
            let waited = now.since(open.since);
            let useless = self.dispatcher.is_overdue(now, id) || waited >= half;
            if useless && !self.dispatcher.has_ordered(id) {
                hopeless.push((*token, id, waited));
            }
        }
        for (token, id, waited) in hopeless {
            if let Some(open) = self.open.remove(&token) {
                events::REFUSED.log(format_args!(
                    "job={id} call={token} why=no-room waited_ms={}",
                    waited.0
                ));
                self.leave(now, token, &open);
                out.push(DeskOutput::Answer(token, Reply::Refused(RETRY_AFTER)));
            }
        }
    }

    /// Number of calls without an answer.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// True once calls can be decided.
    pub(crate) fn is_ready(&self) -> bool {
        self.setup.is_some()
    }
}
