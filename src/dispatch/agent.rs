//! The agent beside a backend server: carries out the leader's orders, keeps the
//! backend server's lease alive, and reports every end until it is on record.

use super::book::End;
use super::spec::{Ending, Resources, Run, TaskId};
use super::wire::{Denial, Order, Report, Server};
use crate::control::log::Term;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// Longest that a look at the backend server waits for an end; several fit into
/// one lease, so that a lost call does not cost it.
const HOLD_WAIT: Millis = Millis(300);
/// Pause between looks while ends wait to be recorded: they are listed again at
/// once in each answer.
const HOLD_PAUSE: Millis = Millis(6);
/// Pause after a look that failed.
const HOLD_RETRY: Millis = Millis(100);
/// Pause between stops of a run whose end is not listed yet.
const STOP_RETRY: Millis = Millis(150);
/// Between reports of progress.
const PROGRESS_EVERY: Millis = Millis(400);
/// The backend server's clock may run so much slow, in percent.
const DRIFT_PERCENT: u64 = 2;
/// Added to a lease before it counts as lapsed: one hop on the same machine.
const LAPSE_MARGIN: Millis = Millis(50);

/// A call's number, rising within one life of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A call to the backend server, which must be the one named by `server`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerCall {
    /// Its number.
    pub id: CallId,
    /// The id of the backend server that is meant.
    pub server: String,
    /// The leader's term; older terms are refused.
    pub token: u64,
    /// What to do.
    pub kind: ServerCallKind,
}

/// What a call to the backend server asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerCallKind {
    /// Start a run, under a lease until `until` on the backend server's clock.
    Start {
        /// The task.
        task: TaskId,
        /// Its run.
        run: Run,
        /// The job's payload.
        payload: String,
        /// End of the lease.
        until: Millis,
    },
    /// Stop a run.
    Stop {
        /// The task.
        task: TaskId,
        /// Its run.
        run: Run,
    },
    /// List runs and ends, and extend the lease.
    Hold {
        /// Ends up to this number may be forgotten.
        seen: u64,
        /// End of the lease; `None` leaves it.
        until: Option<Millis>,
        /// How long to wait for an end.
        wait: Millis,
    },
}

/// The backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerReply {
    /// A start was taken.
    Started {
        /// Its clock.
        clock: Millis,
    },
    /// A start was refused; nothing has run.
    Denied(Denial),
    /// A stop was taken.
    Stopped,
    /// The lists.
    Held(Lists),
    /// The backend server has another id by now.
    OtherLife,
    /// No answer: it may have been carried out, or may be yet.
    Silent,
}

/// What the backend server lists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Lists {
    /// Its clock.
    pub clock: Millis,
    /// When it was started, in milliseconds since the Unix epoch.
    pub born: Option<u64>,
    /// Runs with their progress in percent.
    pub running: Vec<(TaskId, Run, u32)>,
    /// Ends with their numbers.
    pub ended: Vec<(u64, TaskId, Run, Ending)>,
}

/// What a backend server announces of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Beat {
    /// Its id.
    pub id: String,
    /// When it was started, in milliseconds since the Unix epoch.
    pub born: Option<u64>,
    /// Rises with each announcement.
    pub sequence: u64,
    /// The service.
    pub service: String,
    /// Its data centre.
    pub place: String,
    /// What its worker has.
    pub capacity: Resources,
    /// The worker's labels.
    pub labels: Vec<String>,
    /// True when it leaves soon.
    pub leaving: bool,
}

/// What reaches an agent.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum AgentInput {
    Beat(Beat),
    /// The backend server with this id leaves now.
    Left(String),
    /// A session with a leader is up.
    Leader(Term),
    /// The session with the leader is gone.
    NoLeader,
    /// The agent may act until then.
    Granted(Millis),
    Order(Order),
    Recorded {
        life: u64,
        upto: u64,
    },
    Replied(CallId, ServerReply),
    Tick,
}

/// What an agent does.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum AgentOutput {
    Call(ServerCall),
    Report(Report),
}

/// How long things may take, by the users' settings.
#[derive(Debug, Clone, Copy)]
pub struct AgentTimes {
    /// Longest lease of the backend server.
    pub hold: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The start is on its way.
    Starting,
    Running,
    /// The start got no answer.
    Doubt,
    /// The run must end; the stop is on its way.
    Stopping,
    /// The stop was answered.
    Stopped,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    phase: Phase,
    // When the phase began.
    at: Millis,
    percent: u32,
    // True when the start never was answered with yes.
    doubted: bool,
}

#[derive(Debug, Clone, Copy)]
enum Pending {
    Start(TaskId, Run),
    Stop(TaskId, Run),
    Hold {
        sent: Millis,
        life: u64,
        term: Term,
        extends: bool,
    },
}

/// One agent.
#[derive(Debug)]
pub(crate) struct Agent {
    times: AgentTimes,
    server: Option<Server>,
    sequence: u64,
    term: Term,
    // A session with the leader is up.
    linked: bool,
    // The leader has this agent's inventory.
    told: bool,
    granted: Millis,
    // The backend server's clock at a time of the own clock.
    clock: Option<(Millis, Millis)>,
    // Until when the backend server's lease may last, by the own clock.
    leased: Millis,
    runs: Table<(TaskId, Run), Held>,
    ends: Vec<(u64, End)>,
    known_end: u64,
    seen: u64,
    pending: Table<CallId, Pending>,
    last_call: CallId,
    holding: u32,
    next_hold: Millis,
    progress: Millis,
}

impl Agent {
    pub(crate) fn new(times: AgentTimes) -> Self {
        Self {
            times,
            server: None,
            sequence: 0,
            term: Term(0),
            linked: false,
            told: false,
            granted: Millis(0),
            clock: None,
            leased: Millis(0),
            runs: Table::default(),
            ends: Vec::new(),
            known_end: 0,
            seen: 0,
            pending: Table::default(),
            last_call: CallId(0),
            holding: 0,
            next_hold: Millis(0),
            progress: Millis(0),
        }
    }

    /// Takes one input at `now` and appends what is to be done to `out`.
    pub(crate) fn step(&mut self, now: Millis, input: AgentInput, out: &mut Vec<AgentOutput>) {
        match input {
            AgentInput::Beat(beat) => self.on_beat(now, beat, out),
            AgentInput::Left(id) => {
                if self.server.as_ref().is_some_and(|s| s.id == id) {
                    self.lose_server("left", out);
                }
            }
            AgentInput::Leader(term) => self.on_leader(now, term, out),
            AgentInput::NoLeader => {
                self.linked = false;
                self.told = false;
            }
            AgentInput::Granted(until) => self.granted = self.granted.max(until),
            AgentInput::Order(order) => self.on_order(now, order, out),
            AgentInput::Recorded { life, upto } => self.on_recorded(now, life, upto, out),
            AgentInput::Replied(id, reply) => self.on_reply(now, id, reply, out),
            AgentInput::Tick => self.tick(now, out),
        }
    }

    fn life(&self) -> u64 {
        self.server.as_ref().map_or(0, |s| s.life)
    }

    fn on_beat(&mut self, now: Millis, beat: Beat, out: &mut Vec<AgentOutput>) {
        let life = beat.born.unwrap_or(1).max(1);
        if let Some(known) = &self.server {
            let late = life < known.life;
            let repeated =
                life == known.life && known.id == beat.id && beat.sequence <= self.sequence;
            if late || repeated {
                return;
            }
        }
        let other = self
            .server
            .as_ref()
            .is_some_and(|s| s.life != life || s.id != beat.id);
        if other {
            self.lose_server("replaced", out);
        }
        self.sequence = beat.sequence;
        let server = Server {
            life,
            id: beat.id,
            service: beat.service,
            place: beat.place,
            capacity: beat.capacity,
            labels: beat.labels,
            leaving: beat.leaving,
        };
        if self.server.as_ref() == Some(&server) {
            return;
        }
        let fresh = self.server.is_none();
        events::SERVER.log(format_args!(
            "server={} life={life} service={} place={} leaving={} cpu={}",
            server.id, server.service, server.place, server.leaving, server.capacity.cpu
        ));
        self.server = Some(server.clone());
        if fresh {
            self.told = false;
            self.look(now, Millis(0), out);
        } else if self.told {
            out.push(AgentOutput::Report(Report::Server(Some(server))));
        }
    }

    /// The backend server of this life is gone, and with it all that ran there.
    fn lose_server(&mut self, why: &str, out: &mut Vec<AgentOutput>) {
        let Some(server) = self.server.take() else {
            return;
        };
        events::SERVER_LOST.log(format_args!(
            "server={} life={} runs={} why={why}",
            server.id,
            server.life,
            self.runs.len()
        ));
        self.runs = Table::default();
        self.ends.clear();
        self.known_end = 0;
        self.seen = 0;
        self.sequence = 0;
        self.clock = None;
        if self.told {
            out.push(AgentOutput::Report(Report::Server(None)));
        }
    }

    fn on_leader(&mut self, now: Millis, term: Term, out: &mut Vec<AgentOutput>) {
        if term < self.term {
            return;
        }
        events::LEADER_FOUND.log(format_args!("term={}", term.0));
        self.term = term;
        self.linked = true;
        self.told = false;
        if self.server.is_some() {
            self.look(now, Millis(0), out);
        } else {
            self.tell(out);
        }
    }

    /// Gives the leader everything this agent knows: ends first, since whatever is
    /// not in the inventory counts as ended otherwise.
    fn tell(&mut self, out: &mut Vec<AgentOutput>) {
        if !self.linked {
            return;
        }
        self.told = true;
        if !self.ends.is_empty() {
            let ends = self.ends.clone();
            out.push(AgentOutput::Report(Report::Ends {
                life: self.life(),
                ends,
            }));
        }
        out.push(AgentOutput::Report(Report::Inventory {
            term: self.term,
            server: self.server.clone(),
            runs: self.runs.iter().map(|(key, _)| *key).collect(),
        }));
    }

    fn on_order(&mut self, now: Millis, order: Order, out: &mut Vec<AgentOutput>) {
        match order {
            Order::Start {
                life,
                task,
                run,
                payload,
            } => self.start(now, life, (task, run), payload, out),
            Order::Stop { task, run } => {
                if let Some(held) = self.runs.get_mut(&(task, run)) {
                    held.phase = Phase::Stopping;
                    held.at = now;
                    self.call_stop(task, run, out);
                }
            }
        }
    }

    fn start(
        &mut self,
        now: Millis,
        life: u64,
        (task, run): (TaskId, Run),
        payload: String,
        out: &mut Vec<AgentOutput>,
    ) {
        let usable = self
            .server
            .as_ref()
            .is_some_and(|s| s.life == life && !s.leaving);
        let until = self.lease_end(now);
        let (true, Some(until)) = (usable && self.told, until) else {
            events::START_DENIED.log(format_args!(
                "task={task} run={} usable={usable} granted_until={} now={}",
                run.0, self.granted.0, now.0
            ));
            let reason = Denial::Closed;
            out.push(AgentOutput::Report(Report::NotStarted {
                task,
                run,
                reason,
            }));
            return;
        };
        let held = Held {
            phase: Phase::Starting,
            at: now,
            percent: 0,
            doubted: true,
        };
        self.runs.insert((task, run), held);
        self.note_lease(now);
        let kind = ServerCallKind::Start {
            task,
            run,
            payload,
            until,
        };
        self.call(Pending::Start(task, run), kind, out);
    }

    /// The end of a lease given now, on the backend server's clock; `None` while
    /// the leader's grant does not last or that clock is not known.
    fn lease_end(&self, now: Millis) -> Option<Millis> {
        let (clock, at) = self.clock?;
        let length = self.times.hold.min(self.granted.since(now));
        if length == Millis(0) {
            return None;
        }
        Some(clock + now.since(at) + length)
    }

    fn note_lease(&mut self, now: Millis) {
        let hold = self.times.hold.0;
        let longest = Millis(hold + hold * DRIFT_PERCENT / 100) + LAPSE_MARGIN;
        self.leased = self.leased.max(now + longest);
    }

    fn call_stop(&mut self, task: TaskId, run: Run, out: &mut Vec<AgentOutput>) {
        self.call(
            Pending::Stop(task, run),
            ServerCallKind::Stop { task, run },
            out,
        );
    }

    fn call(&mut self, pending: Pending, kind: ServerCallKind, out: &mut Vec<AgentOutput>) {
        let Some(server) = &self.server else {
            return;
        };
        self.last_call = CallId(self.last_call.0 + 1);
        self.pending.insert(self.last_call, pending);
        out.push(AgentOutput::Call(ServerCall {
            id: self.last_call,
            server: server.id.clone(),
            token: self.term.0,
            kind,
        }));
    }

    /// Looks at the backend server, and extends its lease while that is allowed.
    fn look(&mut self, now: Millis, wait: Millis, out: &mut Vec<AgentOutput>) {
        if self.server.is_none() {
            return;
        }
        let until = self.lease_end(now);
        if until.is_some() {
            self.note_lease(now);
        }
        self.holding += 1;
        let pending = Pending::Hold {
            sent: now,
            life: self.life(),
            term: self.term,
            extends: until.is_some(),
        };
        let kind = ServerCallKind::Hold {
            seen: self.seen,
            until,
            wait,
        };
        self.call(pending, kind, out);
    }

    fn on_recorded(&mut self, now: Millis, life: u64, upto: u64, out: &mut Vec<AgentOutput>) {
        if life != self.life() || upto <= self.seen {
            return;
        }
        self.seen = upto;
        self.ends.retain(|(number, _)| *number > upto);
        if self.ends.is_empty() && self.holding == 0 {
            self.look(now, HOLD_WAIT, out);
        }
    }

    fn on_reply(
        &mut self,
        now: Millis,
        id: CallId,
        reply: ServerReply,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        match pending {
            Pending::Start(task, run) => self.on_start_reply(now, (task, run), &reply, out),
            Pending::Stop(task, run) => {
                if let Some(held) = self.runs.get_mut(&(task, run))
                    && reply == ServerReply::Stopped
                {
                    held.phase = Phase::Stopped;
                    held.at = now;
                }
            }
            Pending::Hold {
                sent,
                life,
                term,
                extends,
            } => {
                self.holding = self.holding.saturating_sub(1);
                if life == self.life() {
                    self.on_held(now, sent, term, extends, reply, out);
                }
            }
        }
    }

    fn on_start_reply(
        &mut self,
        now: Millis,
        key: (TaskId, Run),
        reply: &ServerReply,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(held) = self.runs.get_mut(&key) else {
            return;
        };
        let (task, run) = key;
        match reply {
            ServerReply::Started { .. } => {
                held.doubted = false;
                if held.phase == Phase::Starting {
                    held.phase = Phase::Running;
                    held.at = now;
                }
                self.report(Report::Started(task, run), out);
            }
            ServerReply::Denied(reason) => {
                let reason = *reason;
                self.runs.remove(&key);
                events::START_DENIED.log(format_args!(
                    "task={task} run={} by=server reason={reason:?}",
                    run.0
                ));
                self.report(Report::NotStarted { task, run, reason }, out);
            }
            ServerReply::OtherLife => {
                self.runs.remove(&key);
                let reason = Denial::Closed;
                self.report(Report::NotStarted { task, run, reason }, out);
            }
            ServerReply::Silent | ServerReply::Stopped | ServerReply::Held(_) => {
                events::START_UNANSWERED.log(format_args!("task={task} run={}", run.0));
                if held.phase == Phase::Starting {
                    held.phase = Phase::Doubt;
                    held.at = now;
                }
                self.look(now, Millis(0), out);
            }
        }
    }

    fn report(&self, report: Report, out: &mut Vec<AgentOutput>) {
        // What is not told now is in the next inventory.
        if self.told {
            out.push(AgentOutput::Report(report));
        }
    }

    fn on_held(
        &mut self,
        now: Millis,
        sent: Millis,
        term: Term,
        extends: bool,
        reply: ServerReply,
        out: &mut Vec<AgentOutput>,
    ) {
        let ServerReply::Held(lists) = reply else {
            self.next_hold = now + HOLD_RETRY;
            return;
        };
        if lists
            .born
            .is_some_and(|born| born != self.life() && self.life() > 1)
        {
            self.lose_server("another life answered", out);
            return;
        }
        self.clock = Some((lists.clock, now));
        let news = self.take_ends(&lists.ended, out);
        self.take_running(now, sent, &lists.running, out);
        if !self.told && self.linked && term == self.term {
            self.tell(out);
        }
        let busy = !self.ends.is_empty();
        self.next_hold = if busy { now + HOLD_PAUSE } else { now };
        if (!busy || news || !extends) && self.holding == 0 && !busy {
            self.look(now, HOLD_WAIT, out);
        }
    }

    /// Takes new ends; true when there were any.
    fn take_ends(
        &mut self,
        ended: &[(u64, TaskId, Run, Ending)],
        out: &mut Vec<AgentOutput>,
    ) -> bool {
        let mut news = Vec::new();
        for (number, task, run, how) in ended {
            if *number <= self.known_end {
                continue;
            }
            self.known_end = *number;
            self.runs.remove(&(*task, *run));
            let end = End {
                task: *task,
                run: *run,
                how: *how,
            };
            news.push((*number, end));
        }
        if news.is_empty() {
            return false;
        }
        self.ends.extend_from_slice(&news);
        let life = self.life();
        self.report(Report::Ends { life, ends: news }, out);
        true
    }

    fn take_running(
        &mut self,
        now: Millis,
        sent: Millis,
        running: &[(TaskId, Run, u32)],
        out: &mut Vec<AgentOutput>,
    ) {
        let mut started = Vec::new();
        for (task, run, percent) in running {
            let fresh = Held {
                phase: Phase::Running,
                at: now,
                percent: *percent,
                doubted: false,
            };
            let held = self.runs.or_insert_with((*task, *run), || fresh);
            held.percent = *percent;
            held.doubted = false;
            if matches!(held.phase, Phase::Starting | Phase::Doubt) {
                held.phase = Phase::Running;
                started.push((*task, *run));
            }
        }
        for (task, run) in started {
            self.report(Report::Started(task, run), out);
        }
        self.take_missing(sent, running, out);
    }

    /// Settles the runs that a look, begun at `sent`, did not list.
    fn take_missing(
        &mut self,
        sent: Millis,
        running: &[(TaskId, Run, u32)],
        out: &mut Vec<AgentOutput>,
    ) {
        let mut seal = Vec::new();
        let mut never = Vec::new();
        for (key, held) in self.runs.iter() {
            let listed = running.iter().any(|(task, run, _)| (*task, *run) == *key);
            if listed || held.at >= sent {
                continue;
            }
            match held.phase {
                Phase::Doubt => seal.push(*key),
                Phase::Running | Phase::Stopped => never.push(*key),
                Phase::Starting | Phase::Stopping => {}
            }
        }
        for key in seal {
            // It may still arrive; a stopped run is refused when it does.
            if let Some(held) = self.runs.get_mut(&key) {
                held.phase = Phase::Stopping;
                held.at = sent;
            }
            self.call_stop(key.0, key.1, out);
        }
        for (task, run) in never {
            self.runs.remove(&(task, run));
            let reason = Denial::Unwell;
            events::START_DENIED.log(format_args!(
                "task={task} run={} by=agent reason=not-listed",
                run.0
            ));
            self.report(Report::NotStarted { task, run, reason }, out);
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<AgentOutput>) {
        if self.server.is_none() {
            return;
        }
        if !self.runs.is_empty() && now > self.leased {
            // Nothing can run there any more; its ends are listed when it answers.
            events::LEASE_LAPSED.log(format_args!(
                "life={} runs={}",
                self.life(),
                self.runs.len()
            ));
            self.runs = Table::default();
            self.told = false;
            if self.linked {
                out.push(AgentOutput::Report(Report::Inventory {
                    term: self.term,
                    server: None,
                    runs: Vec::new(),
                }));
            }
        }
        if self.holding == 0 && now >= self.next_hold {
            let wait = if self.ends.is_empty() && self.told {
                HOLD_WAIT
            } else {
                Millis(0)
            };
            self.look(now, wait, out);
        }
        let overdue = self
            .runs
            .iter()
            .filter(|(_, h)| h.phase == Phase::Stopping && now.since(h.at) >= STOP_RETRY);
        let overdue: Vec<_> = overdue.map(|(key, _)| *key).collect();
        for key in overdue {
            if let Some(held) = self.runs.get_mut(&key) {
                held.at = now;
            }
            self.call_stop(key.0, key.1, out);
        }
        self.tell_progress(now, out);
    }

    fn tell_progress(&mut self, now: Millis, out: &mut Vec<AgentOutput>) {
        if now.since(self.progress) < PROGRESS_EVERY {
            return;
        }
        self.progress = now;
        let rows: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, h)| h.phase == Phase::Running && now.since(h.at) >= PROGRESS_EVERY)
            .map(|((task, run), h)| (*task, *run, h.percent))
            .collect();
        if !rows.is_empty() {
            self.report(Report::Progress(rows), out);
        }
    }
}
