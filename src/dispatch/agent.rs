//! The agent beside a backend server: carries out the orders of dispatchers, keeps
//! the backend server's lease alive, and reports every end until it is on record.
//!
//! Dispatchers are the control group's leader and the entries. Each grants the
//! agent the right to act for it for a short time; when that lapses, its runs are
//! stopped.

use super::book::End;
use super::boss::{Boss, Owner};
use super::held::{Held, HeldEnd, Phase};
use super::server_call::{Beat, CallId, Lists, ServerCall, ServerCallKind, ServerReply};
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
const PROGRESS_EVERY: Millis = Millis(200);
/// Between reports of what other dispatchers use.
const OTHERS_EVERY: Millis = Millis(8);
/// The backend server's clock may run so much slow, in percent.
const DRIFT_PERCENT: u64 = 2;
/// Added to a lease before it counts as lapsed: one hop on the same machine.
const LAPSE_MARGIN: Millis = Millis(50);
/// A run or an end that no dispatcher claims is given up after this: sessions are
/// opened anew well inside it.
const CLAIM_WITHIN: Millis = Millis(1_000);
/// A dispatcher without a session is forgotten so long after its grant.
const FORGET_AFTER: Millis = Millis(3_000);

/// What reaches an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentInput {
    /// The backend server announces itself.
    Beat(Beat),
    /// The backend server with this id leaves now.
    Left(String),
    /// A session with the group's leader is up, or gone.
    Leader(Option<Term>),
    /// A session with an entry is up, which believes these runs to be here.
    Welcome(u64, Vec<(TaskId, Run)>),
    /// The session with an entry is gone.
    EntryGone(u64),
    /// The agent may act for a dispatcher until then.
    Granted(Owner, Millis),
    /// A dispatcher's order.
    Order(Owner, Order),
    /// A dispatcher needs no more reports of its ends up to this number.
    Recorded {
        /// The dispatcher.
        owner: Owner,
        /// The backend server's life.
        life: u64,
        /// The highest number.
        upto: u64,
    },
    /// Data centres that are out, as of this entry of the log.
    Out(u64, Vec<String>),
    /// The backend server answered a call, or did not.
    Replied(CallId, ServerReply),
    /// Time has passed.
    Tick,
}

/// What an agent does.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentOutput {
    /// Call the backend server.
    Call(ServerCall),
    /// Report to a dispatcher.
    Report(Owner, Report),
}

/// How long things may take, by the users' settings.
#[derive(Debug, Clone, Copy)]
pub struct AgentTimes {
    /// Longest lease of the backend server.
    pub hold: Millis,
}

#[derive(Debug, Clone, Copy)]
enum Pending {
    Start(TaskId, Run),
    Stop(TaskId, Run),
    Hold { sent: Millis, life: u64, term: Term },
}

/// One agent.
#[derive(Debug)]
pub struct Agent {
    times: AgentTimes,
    server: Option<Server>,
    sequence: u64,
    // The latest leader's term, and the least token that the backend server takes.
    term: Term,
    floor: u64,
    // The life of the backend server that has been looked at, and the term then.
    looked: Option<(u64, Term)>,
    bosses: Table<Owner, Boss>,
    // Data centres that are out.
    out_index: u64,
    out: Vec<String>,
    // The backend server's clock at a time of the own clock.
    clock: Option<(Millis, Millis)>,
    // Until when the backend server's lease may last, by the own clock.
    leased: Millis,
    runs: Table<(TaskId, Run), Held>,
    ends: Vec<HeldEnd>,
    known_end: u64,
    seen: u64,
    pending: Table<CallId, Pending>,
    last_call: CallId,
    holding: u32,
    next_hold: Millis,
    progress: Millis,
    others_told: Millis,
    others_due: bool,
}

impl Agent {
    /// An agent that has not heard of anyone yet.
    #[must_use]
    pub fn new(times: AgentTimes) -> Self {
        Self {
            times,
            server: None,
            sequence: 0,
            term: Term(0),
            floor: 0,
            looked: None,
            bosses: Table::default(),
            out_index: 0,
            out: Vec::new(),
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
            others_told: Millis(0),
            others_due: false,
        }
    }

    /// Takes one input at `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Millis, input: AgentInput, out: &mut Vec<AgentOutput>) {
        match input {
            AgentInput::Beat(beat) => self.on_beat(now, beat, out),
            AgentInput::Left(id) => {
                if self.server.as_ref().is_some_and(|s| s.id == id) {
                    self.lose_server("left", out);
                }
            }
            AgentInput::Leader(term) => self.on_leader(now, term, out),
            AgentInput::Welcome(life, runs) => self.on_welcome(now, life, &runs, out),
            AgentInput::EntryGone(life) => {
                if let Some(boss) = self.bosses.get_mut(&Owner::Entry(life)) {
                    boss.disconnect();
                }
            }
            AgentInput::Granted(owner, until) => {
                if let Some(boss) = self.bosses.get_mut(&owner) {
                    boss.granted = boss.granted.max(until);
                }
            }
            AgentInput::Order(owner, order) => self.on_order(now, owner, order, out),
            AgentInput::Recorded { owner, life, upto } => {
                self.on_recorded(now, owner, life, upto, out);
            }
            AgentInput::Out(index, places) => {
                if index >= self.out_index {
                    self.out_index = index;
                    self.out = places;
                }
            }
            AgentInput::Replied(id, reply) => self.on_reply(now, id, reply, out),
            AgentInput::Tick => self.tick(now, out),
        }
        self.tell_others(now, out);
    }

    fn life(&self) -> u64 {
        self.server.as_ref().map_or(0, |s| s.life)
    }

    fn on_beat(&mut self, now: Millis, beat: Beat, out: &mut Vec<AgentOutput>) {
        let life = beat.born.unwrap_or(1).max(1);
        if let Some(known) = &self.server {
            let same = life == known.life && known.id == beat.id;
            if life < known.life || (same && beat.sequence <= self.sequence) {
                return;
            }
            if !same {
                self.lose_server("replaced", out);
            }
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
        events::SERVER.log(format_args!(
            "server={} life={life} service={} data_centre={} leaving={} cpu={}",
            server.id, server.service, server.place, server.leaving, server.capacity.cpu
        ));
        let fresh = self.server.replace(server.clone()).is_none();
        if fresh {
            // They were told that there is none.
            for (_, boss) in self.bosses.iter_mut() {
                boss.told = false;
            }
            self.look(now, Millis(0), out);
        } else {
            self.tell_told(&Report::Server(Some(server)), out);
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
        self.floor = 0;
        self.clock = None;
        self.looked = None;
        self.tell_told(&Report::Server(None), out);
        for (_, boss) in self.bosses.iter_mut() {
            boss.told = false;
        }
    }

    /// Reports to all dispatchers that have the agent's inventory.
    fn tell_told(&self, report: &Report, out: &mut Vec<AgentOutput>) {
        for (owner, _) in self.bosses.iter().filter(|(_, boss)| boss.told) {
            out.push(AgentOutput::Report(*owner, report.clone()));
        }
    }

    fn on_leader(&mut self, now: Millis, term: Option<Term>, out: &mut Vec<AgentOutput>) {
        let boss = self.bosses.or_insert_with(Owner::Group, Boss::default);
        let Some(term) = term else {
            boss.disconnect();
            return;
        };
        if term < self.term {
            return;
        }
        events::LEADER_FOUND.log(format_args!("term={}", term.0));
        boss.connect(term.0);
        self.term = term;
        // Its runs are listed under its own token, which fences former leaders.
        self.look(now, Millis(0), out);
        self.tell_all(out);
    }

    fn on_welcome(
        &mut self,
        now: Millis,
        life: u64,
        claimed: &[(TaskId, Run)],
        out: &mut Vec<AgentOutput>,
    ) {
        let owner = Owner::Entry(life);
        let boss = self.bosses.or_insert_with(owner, Boss::default);
        boss.connect(life);
        boss.claims = claimed.to_vec();
        events::ENTRY_FOUND.log(format_args!("life={life} claimed={}", claimed.len()));
        self.settle_claims();
        if self.looked.is_none() {
            self.look(now, Millis(0), out);
        }
        self.tell_all(out);
    }

    /// Gives runs and ends that an earlier life of this agent left to whoever
    /// claims them.
    fn settle_claims(&mut self) {
        for (owner, boss) in self.bosses.iter() {
            for key in &boss.claims {
                if let Some(held) = self.runs.get_mut(key)
                    && held.owner == Owner::Unclaimed
                {
                    held.owner = *owner;
                }
                let same = |end: &&mut HeldEnd| (end.end.task, end.end.run) == *key;
                for end in self.ends.iter_mut().filter(same) {
                    if end.owner == Owner::Unclaimed {
                        end.owner = *owner;
                    }
                }
            }
        }
    }

    /// Gives everything to the dispatchers that can have it and have not.
    fn tell_all(&mut self, out: &mut Vec<AgentOutput>) {
        let mut due = Vec::new();
        for (owner, boss) in self.bosses.iter() {
            let looked = match owner {
                // Without a backend server there is nothing to look at.
                _ if self.server.is_none() => true,
                Owner::Group => self.looked == Some((self.life(), self.term)),
                _ => self.looked.is_some_and(|(life, _)| life == self.life()),
            };
            if boss.linked && !boss.told && looked {
                due.push((*owner, boss.epoch));
            }
        }
        for (owner, epoch) in due {
            self.tell(owner, epoch, out);
        }
    }

    /// Tells ends first: whatever is not in the inventory counts as over otherwise.
    fn tell(&mut self, owner: Owner, epoch: u64, out: &mut Vec<AgentOutput>) {
        if let Some(boss) = self.bosses.get_mut(&owner) {
            boss.told = true;
        }
        let ends: Vec<_> = self
            .ends
            .iter()
            .filter(|e| e.owner == owner && !e.recorded)
            .map(|e| (e.number, e.end))
            .collect();
        if !ends.is_empty() {
            let life = self.life();
            out.push(AgentOutput::Report(owner, Report::Ends { life, ends }));
        }
        let own = self.runs.iter().filter(|(_, held)| held.owner == owner);
        let inventory = Report::Inventory {
            epoch,
            server: self.server.clone(),
            runs: own.map(|(key, _)| *key).collect(),
        };
        out.push(AgentOutput::Report(owner, inventory));
        self.others_due = true;
    }

    fn on_order(&mut self, now: Millis, owner: Owner, order: Order, out: &mut Vec<AgentOutput>) {
        match order {
            Order::Start {
                life,
                task,
                run,
                need,
                payload,
            } => {
                if let Some(reason) = self.denial(now, owner, life, need) {
                    events::START_DENIED.log(format_args!(
                        "task={task} run={} owner={owner:?} by=agent reason={reason:?} life={life}",
                        run.0
                    ));
                    let report = Report::NotStarted { task, run, reason };
                    out.push(AgentOutput::Report(owner, report));
                    self.others_due = true;
                    return;
                }
                self.runs
                    .insert((task, run), Held::starting(owner, need, now));
                self.others_due = true;
                self.call_start(now, task, run, payload, out);
            }
            Order::Stop { task, run } => self.stop(now, (task, run), out),
        }
    }

    /// Why a run may not start here and now, if so.
    fn denial(&self, now: Millis, owner: Owner, life: u64, need: Resources) -> Option<Denial> {
        let told = self
            .bosses
            .get(&owner)
            .is_some_and(|b| b.told && now < b.granted);
        let server = self
            .server
            .as_ref()
            .filter(|s| s.life == life && !s.leaving);
        let Some(server) = server else {
            return Some(Denial::Closed);
        };
        let is_out = self.out.binary_search(&server.place).is_ok();
        if !told || is_out || self.lease_end(now).is_none() {
            return Some(Denial::Closed);
        }
        let fits = server.capacity.fits(self.used(None), need);
        (!fits).then_some(Denial::Room)
    }

    /// What all runs take, or those of all others than one dispatcher.
    fn used(&self, except: Option<Owner>) -> Resources {
        let mut used = Resources::default();
        for (_, held) in self.runs.iter() {
            if Some(held.owner) != except {
                used.add(held.need);
            }
        }
        used
    }

    fn call_start(
        &mut self,
        now: Millis,
        task: TaskId,
        run: Run,
        payload: String,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(until) = self.lease_end(now) else {
            return;
        };
        self.note_lease(now);
        let kind = ServerCallKind::Start {
            task,
            run,
            payload,
            until,
        };
        self.call(Pending::Start(task, run), kind, out);
    }

    fn stop(&mut self, now: Millis, key: (TaskId, Run), out: &mut Vec<AgentOutput>) {
        if let Some(held) = self.runs.get_mut(&key) {
            held.enter(Phase::Stopping, now);
            self.call_stop(key.0, key.1, out);
        }
    }

    /// The end of a lease given now, on the backend server's clock; `None` while
    /// no dispatcher's grant lasts or that clock is not known.
    fn lease_end(&self, now: Millis) -> Option<Millis> {
        let (clock, at) = self.clock?;
        let granted = self.bosses.iter().map(|(_, boss)| boss.granted).max()?;
        let length = self.times.hold.min(granted.since(now));
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
        let kind = ServerCallKind::Stop { task, run };
        self.call(Pending::Stop(task, run), kind, out);
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
            token: self.term.0.max(self.floor),
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
        };
        let kind = ServerCallKind::Hold {
            seen: self.seen,
            until,
            wait,
        };
        self.call(pending, kind, out);
    }

    fn on_recorded(
        &mut self,
        now: Millis,
        owner: Owner,
        life: u64,
        upto: u64,
        out: &mut Vec<AgentOutput>,
    ) {
        if life != self.life() {
            return;
        }
        for end in &mut self.ends {
            end.recorded |= end.owner == owner && end.number <= upto;
        }
        self.drop_recorded(now, out);
    }

    /// Moves the mark up to which the backend server may forget ends.
    fn drop_recorded(&mut self, now: Millis, out: &mut Vec<AgentOutput>) {
        let done = self.ends.iter().take_while(|end| end.recorded).count();
        let Some(last) = done.checked_sub(1) else {
            return;
        };
        self.seen = self.ends[last].number;
        self.ends.drain(..done);
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
        if reply == ServerReply::Fenced {
            self.floor = self.term.0.max(self.floor) + 1;
            events::FENCED.log(format_args!("term={} floor={}", self.term.0, self.floor));
        }
        match pending {
            Pending::Start(task, run) => self.on_start_reply(now, (task, run), &reply, out),
            Pending::Stop(task, run) => {
                if let Some(held) = self.runs.get_mut(&(task, run))
                    && reply == ServerReply::Stopped
                {
                    held.enter(Phase::Stopped, now);
                }
            }
            Pending::Hold { sent, life, term } => {
                self.holding = self.holding.saturating_sub(1);
                if life == self.life() {
                    self.on_held(now, sent, term, reply, out);
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
        let owner = held.owner;
        match reply {
            ServerReply::Started { .. } => {
                if held.phase == Phase::Starting {
                    held.enter(Phase::Running, now);
                }
                self.report(owner, Report::Started(key.0, key.1), out);
            }
            ServerReply::Denied(reason) => self.not_started(key, *reason, "server", out),
            ServerReply::OtherLife | ServerReply::Fenced => {
                self.not_started(key, Denial::Closed, "server", out);
            }
            ServerReply::Silent | ServerReply::Stopped | ServerReply::Held(_) => {
                events::START_UNANSWERED.log(format_args!("task={} run={}", key.0, key.1.0));
                if held.phase == Phase::Starting {
                    held.enter(Phase::Doubt, now);
                }
                self.look(now, Millis(0), out);
            }
        }
    }

    /// A run is not here and never will be.
    fn not_started(
        &mut self,
        key: (TaskId, Run),
        reason: Denial,
        by: &str,
        out: &mut Vec<AgentOutput>,
    ) {
        let Some(held) = self.runs.remove(&key) else {
            return;
        };
        self.others_due = true;
        let (task, run) = key;
        events::START_DENIED.log(format_args!(
            "task={task} run={} owner={:?} by={by} reason={reason:?} phase={:?}",
            run.0, held.owner, held.phase
        ));
        self.report(held.owner, Report::NotStarted { task, run, reason }, out);
    }

    fn report(&self, owner: Owner, report: Report, out: &mut Vec<AgentOutput>) {
        // What is not told now is in the next inventory.
        if self.bosses.get(&owner).is_some_and(|boss| boss.told) {
            out.push(AgentOutput::Report(owner, report));
        }
    }

    fn on_held(
        &mut self,
        now: Millis,
        sent: Millis,
        term: Term,
        reply: ServerReply,
        out: &mut Vec<AgentOutput>,
    ) {
        let ServerReply::Held(lists) = reply else {
            self.next_hold = now + HOLD_RETRY;
            return;
        };
        let life = self.life();
        if lists.born.is_some_and(|born| born != life && life > 1) {
            self.lose_server("another life answered", out);
            return;
        }
        self.clock = Some((lists.clock, now));
        let before = match self.looked {
            Some((_, term)) => term,
            None => {
                // What an earlier life of this agent started may have a whole lease.
                self.note_lease(now);
                Term(0)
            }
        };
        self.looked = Some((life, term.max(before)));
        self.take_ends(now, &lists, out);
        self.take_running(now, sent, &lists, out);
        self.settle_claims();
        self.tell_all(out);
        if !self.ends.is_empty() {
            self.next_hold = now + HOLD_PAUSE;
        } else if self.holding == 0 {
            self.look(now, HOLD_WAIT, out);
        }
    }

    fn take_ends(&mut self, now: Millis, lists: &Lists, out: &mut Vec<AgentOutput>) {
        let life = self.life();
        let first = self.ends.len();
        for (number, task, run, how) in &lists.ended {
            if *number <= self.known_end {
                continue;
            }
            self.known_end = *number;
            let held = self.runs.remove(&(*task, *run));
            self.ends.push(HeldEnd {
                number: *number,
                end: End {
                    task: *task,
                    run: *run,
                    how: *how,
                },
                owner: held.map_or(Owner::of_unknown(*run), |held| held.owner),
                at: now,
                recorded: false,
            });
        }
        self.others_due |= first < self.ends.len();
        let mut by_owner: Table<Owner, Vec<(u64, End)>> = Table::default();
        for end in &self.ends[first..] {
            let rows = by_owner.or_insert_with(end.owner, Vec::new);
            rows.push((end.number, end.end));
        }
        for (owner, ends) in by_owner.iter() {
            let ends = ends.clone();
            self.report(*owner, Report::Ends { life, ends }, out);
        }
    }

    fn take_running(
        &mut self,
        now: Millis,
        sent: Millis,
        lists: &Lists,
        out: &mut Vec<AgentOutput>,
    ) {
        let mut started = Vec::new();
        for (task, run, percent) in &lists.running {
            let key = (*task, *run);
            let held = self.runs.or_insert_with(key, || Held::found(*run, now));
            held.percent = *percent;
            if matches!(held.phase, Phase::Starting | Phase::Doubt) {
                held.enter(Phase::Running, now);
                started.push((key, held.owner));
            }
        }
        for ((task, run), owner) in started {
            self.report(owner, Report::Started(task, run), out);
        }
        self.take_missing(now, sent, lists, out);
    }

    /// Settles the runs that a look, begun at `sent`, did not list.
    fn take_missing(
        &mut self,
        now: Millis,
        sent: Millis,
        lists: &Lists,
        out: &mut Vec<AgentOutput>,
    ) {
        let mut seal = Vec::new();
        let mut never = Vec::new();
        for (key, held) in self.runs.iter() {
            let listed = lists
                .running
                .iter()
                .any(|(task, run, _)| (*task, *run) == *key);
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
            self.stop(now, key, out);
        }
        for key in never {
            self.not_started(key, Denial::Unwell, "agent", out);
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<AgentOutput>) {
        self.stop_lapsed(now, out);
        if self.server.is_none() {
            return;
        }
        self.give_up_lapsed(now, out);
        if self.holding == 0 && now >= self.next_hold {
            let wait = if self.ends.is_empty() {
                HOLD_WAIT
            } else {
                Millis(0)
            };
            self.look(now, wait, out);
        }
        let overdue =
            |held: &Held| held.phase == Phase::Stopping && now.since(held.at) >= STOP_RETRY;
        let overdue: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, h)| overdue(h))
            .map(|(k, _)| *k)
            .collect();
        for key in overdue {
            self.stop(now, key, out);
        }
        self.forget_unclaimed(now, out);
        self.tell_progress(now, out);
    }

    /// Stops the runs of dispatchers whose grant has lapsed.
    fn stop_lapsed(&mut self, now: Millis, out: &mut Vec<AgentOutput>) {
        let mut stop = Vec::new();
        for (key, held) in self.runs.iter() {
            let granted = self
                .bosses
                .get(&held.owner)
                .map_or(Millis(0), |b| b.granted);
            let fresh = held.found && now.since(held.at) < CLAIM_WITHIN;
            if now >= granted && !fresh && !held.phase.is_stopping() {
                stop.push((*key, held.owner));
            }
        }
        for (key, owner) in stop {
            events::GRANT_LAPSED.log(format_args!(
                "task={} run={} owner={owner:?}",
                key.0, key.1.0
            ));
            self.stop(now, key, out);
        }
        self.bosses.retain(|owner, boss| {
            *owner == Owner::Group || boss.linked || now.since(boss.granted) < FORGET_AFTER
        });
    }

    /// When the backend server's lease has run out without an answer, nothing can
    /// run there any more; ends are listed when it answers again.
    fn give_up_lapsed(&mut self, now: Millis, out: &mut Vec<AgentOutput>) {
        if self.runs.is_empty() || now <= self.leased {
            return;
        }
        let runs = self.runs.len();
        events::LEASE_LAPSED.log(format_args!("life={} runs={runs}", self.life()));
        self.runs = Table::default();
        self.looked = None;
        for (owner, boss) in self.bosses.iter_mut() {
            if boss.told {
                boss.told = false;
                let inventory = Report::Inventory {
                    epoch: boss.epoch,
                    server: None,
                    runs: Vec::new(),
                };
                out.push(AgentOutput::Report(*owner, inventory));
            }
        }
    }

    /// Ends of dispatchers that are gone need no record.
    fn forget_unclaimed(&mut self, now: Millis, out: &mut Vec<AgentOutput>) {
        for end in &mut self.ends {
            let gone = match end.owner {
                Owner::Group => false,
                Owner::Entry(_) => self.bosses.get(&end.owner).is_none(),
                Owner::Unclaimed => now.since(end.at) >= CLAIM_WITHIN,
            };
            let lost = end.owner != Owner::Group && end.end.how == Ending::Lost;
            end.recorded |= gone || (lost && now.since(end.at) >= FORGET_AFTER);
        }
        self.drop_recorded(now, out);
    }

    fn tell_progress(&mut self, now: Millis, out: &mut Vec<AgentOutput>) {
        if now.since(self.progress) < PROGRESS_EVERY {
            return;
        }
        self.progress = now;
        let mut by_owner: Table<Owner, Vec<(TaskId, Run, u32)>> = Table::default();
        for ((task, run), held) in self.runs.iter() {
            if held.phase == Phase::Running && now.since(held.at) >= PROGRESS_EVERY {
                let rows = by_owner.or_insert_with(held.owner, Vec::new);
                rows.push((*task, *run, held.percent));
            }
        }
        for (owner, rows) in by_owner.iter() {
            self.report(*owner, Report::Progress(rows.clone()), out);
        }
    }

    /// Tells each dispatcher what the others' runs take.
    fn tell_others(&mut self, now: Millis, out: &mut Vec<AgentOutput>) {
        if !self.others_due || now.since(self.others_told) < OTHERS_EVERY {
            return;
        }
        self.others_due = false;
        self.others_told = now;
        let told: Vec<_> = self
            .bosses
            .iter()
            .filter(|(_, b)| b.told)
            .map(|(o, _)| *o)
            .collect();
        for owner in told {
            let used = self.used(Some(owner));
            if let Some(boss) = self.bosses.get_mut(&owner)
                && boss.others != Some(used)
            {
                boss.others = Some(used);
                out.push(AgentOutput::Report(owner, Report::Others(used)));
            }
        }
    }
}
