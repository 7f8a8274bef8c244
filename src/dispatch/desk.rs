//! An entry's calls: jobs that need not be stored run from here, all else goes to
//! the control group's leader.
//!
//! A forwarded call is sent again, under the same job id, when the leader changes
//! before it answered. Every call is given up at its deadline.

use std::sync::Arc;

use super::book::OpenJob;
use super::call::{Call, Reply, Want};
use super::dispatcher::{DispatchOutput, Dispatcher, Reign};
use super::guard::JobGuard;
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
pub enum DeskInput {
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
    Reply(u64, Reply),
    /// A configuration in force.
    Setup(Arc<Setup>),
    /// Data centres that are out, as of an entry of the log.
    Out(u64, Vec<String>),
    /// A message on an agent's session.
    Up(SessionId, Up),
    /// An agent's session is gone.
    Closed(SessionId),
    /// Time has passed.
    Tick,
}

/// What the desk does.
#[derive(Debug, PartialEq)]
pub enum DeskOutput {
    /// Send a call to the leader.
    Send(LinkId, u64, Call),
    /// Answer a caller.
    Answer(u64, Reply),
    /// Send to an agent.
    Down(SessionId, Down),
}

#[derive(Debug)]
enum Way {
    /// A job that runs from here.
    Local(JobId),
    /// Until a configuration is known.
    Parked(Call),
    /// To the leader, over the link it was last sent on.
    Forward {
        call: Call,
        sent: Option<LinkId>,
        risked: bool,
        again: Millis,
    },
}

/// Who asks, since when and until when.
#[derive(Debug, Clone, Copy)]
struct Asked {
    token: u64,
    since: Millis,
    deadline: Millis,
}

#[derive(Debug)]
struct Open {
    way: Way,
    since: Millis,
    deadline: Millis,
}

/// An entry's open calls.
#[derive(Debug)]
pub struct Desk {
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
    /// A desk in one life of its entry.
    #[must_use]
    pub fn new(life: u64, now: Millis) -> Self {
        Self {
            life,
            open: Table::default(),
            leader: None,
            setup: None,
            out_index: 0,
            out: Vec::new(),
            dispatcher: Dispatcher::new(Reign::Entry(life), now),
            callers: Table::default(),
            recent: Table::default(),
            swept: now,
            acts: Vec::new(),
        }
    }

    /// Turns a rule off, so that a checker can show that it is needed.
    pub fn disable(&mut self, guard: JobGuard) {
        self.dispatcher.guards.disable(guard);
    }

    /// Takes one input at `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Millis, input: DeskInput, out: &mut Vec<DeskOutput>) {
        match input {
            DeskInput::Call {
                token,
                call,
                deadline,
            } => {
                let asked = Asked {
                    token,
                    since: now,
                    deadline,
                };
                self.on_call(now, asked, call, out);
            }
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
                    self.unpark(now, out);
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
    pub fn flush(&mut self, now: Millis, wall: Millis, out: &mut Vec<DeskOutput>) {
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

    fn on_call(&mut self, now: Millis, asked: Asked, call: Call, out: &mut Vec<DeskOutput>) {
        let token = asked.token;
        let Some(setup) = self.setup.clone() else {
            let open = Open {
                way: Way::Parked(call),
                since: asked.since,
                deadline: asked.deadline,
            };
            self.open.insert(token, open);
            return;
        };
        let call = match call {
            Call::Client { host, path, want } => match (routes::find(&setup, &host, &path), want) {
                (Target::Unknown, _) => {
                    out.push(DeskOutput::Answer(token, Reply::NoQueue));
                    return;
                }
                (Target::Job(queue, id), Want::Submit(Some(spec))) if spec.loose => {
                    let reply = self.submit(now, asked, id, &queue.terms, spec);
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
            since: asked.since,
            deadline: asked.deadline,
        };
        self.open.insert(token, open);
        self.forward(now, out);
    }

    /// Decides the calls that came before the first configuration.
    fn unpark(&mut self, now: Millis, out: &mut Vec<DeskOutput>) {
        let parked = self
            .open
            .iter()
            .filter(|(_, o)| matches!(o.way, Way::Parked(_)));
        let parked: Vec<_> = parked.map(|(token, _)| *token).collect();
        for token in parked {
            if let Some(open) = self.open.remove(&token)
                && let Way::Parked(call) = open.way
            {
                let asked = Asked {
                    token,
                    since: open.since,
                    deadline: open.deadline,
                };
                self.on_call(now, asked, call, out);
            }
        }
    }

    /// Takes a job that is not stored; its end answers the call.
    fn submit(
        &mut self,
        now: Millis,
        asked: Asked,
        id: JobId,
        terms: &Terms,
        spec: JobSpec,
    ) -> Option<Reply> {
        let token = asked.token;
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
                asked.deadline.since(now).0
            ));
            self.dispatcher.submit(now, asked.since, id, &job);
        }
        self.callers.or_insert_with(id, Vec::new).push(token);
        let open = Open {
            way: Way::Local(id),
            since: asked.since,
            deadline: asked.deadline,
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
                Way::Local(id) => self.dispatcher.may_have_run(*id),
                Way::Parked(_) => false,
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

    /// Gives up what cannot be of use any more, so that the callers know at once:
    /// what has not been started, and under shortage also what has.
    fn refuse_hopeless(&mut self, now: Millis, out: &mut Vec<DeskOutput>) {
        let mut hopeless = Vec::new();
        for (token, open) in self.open.iter() {
            let allowed = open.deadline.since(open.since).0;
            let patience = Millis(allowed * GIVE_UP_PERCENT / 100);
            let waited = now.since(open.since);
            let useless = match &open.way {
                Way::Local(id) => {
                    let late = self.dispatcher.is_overdue(now, *id) || waited >= patience;
                    late && !self.dispatcher.may_have_run(*id)
                        || self.dispatcher.is_in_the_way(now, *id)
                }
                Way::Parked(_) => waited >= PARKED_FOR,
                Way::Forward { .. } => false,
            };
            if useless {
                hopeless.push((*token, waited));
            }
        }
        for (token, waited) in hopeless {
            if let Some(open) = self.open.remove(&token) {
                let reply = match open.way {
                    Way::Parked(_) => Reply::NoSetup,
                    Way::Local(id) if self.dispatcher.may_have_run(id) => Reply::Unknown,
                    _ => Reply::Refused(RETRY_AFTER),
                };
                events::REFUSED.log(format_args!(
                    "call={token} way={:?} waited_ms={} reply={reply:?}",
                    open.way, waited.0
                ));
                self.leave(now, token, &open);
                out.push(DeskOutput::Answer(token, reply));
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
        let able = self.leader.is_some() || self.dispatcher.has_open_worker(now, &self.out);
        self.setup.is_some() && able
    }
}
