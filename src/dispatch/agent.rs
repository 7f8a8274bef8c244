//! The agent beside a backend server: carries out the orders of dispatchers, keeps
//! the backend server's lease alive, and reports every end until it is on record.
//!
//! Dispatchers are the control group's leader and the entries. Each grants the
//! agent the right to act for it for a short time; when that lapses, its runs are
//! stopped.

use super::agent_calls::longest_lease;
use super::agent_run::{AgentRun, RetainedEnd, RunPhase};
use super::dispatcher_link::{DispatcherLink, Owner};
use super::guard::{Guards, JobGuard};
use super::server_call::{CallId, ServerCall, ServerHeartbeat, ServerReply};
use super::spec::{Resources, RunId, TaskId};
use super::wire::{AgentOrder, AgentReport, Denial, Server};
use crate::control::log::Term;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// What reaches an agent.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerAgentInput {
    /// The backend server announces itself.
    Heartbeat(ServerHeartbeat),
    /// The backend server with this id leaves now.
    ServerLeft(String),
    /// A session with the group's leader is up, or gone.
    Leader(Option<Term>),
    /// A session with an entry is up, which believes these runs to be here.
    Welcome(u64, Vec<(TaskId, RunId)>),
    /// The session with an entry is gone.
    EntryDisconnected(u64),
    /// The agent may act for a dispatcher until then.
    Granted(Owner, Millis),
    /// A dispatcher's order.
    Order(Owner, AgentOrder),
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
    Evacuated(u64, Vec<String>),
    /// The backend server answered a call, or did not.
    Replied(CallId, ServerReply),
    /// Time has passed.
    Tick,
}

/// What an agent does.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerAgentOutput {
    /// Call the backend server.
    Call(ServerCall),
    /// Report to a dispatcher.
    Report(Owner, AgentReport),
}

/// How long things may take, by the users' settings.
#[derive(Debug, Clone, Copy)]
pub struct AgentTimes {
    /// Longest lease of the backend server.
    pub max_lease: Millis,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum PendingCall {
    Start(TaskId, RunId),
    Stop(TaskId, RunId),
    Hold { sent: Millis, life: u64, term: Term },
}

/// One agent.
#[derive(Debug)]
pub struct ServerAgent {
    pub(crate) times: AgentTimes,
    pub(crate) server: Option<Server>,
    pub(crate) sequence: u64,
    // The backend server's next life, while starts may still reach it that were
    // meant for this one.
    pub(crate) next_server: Option<ServerHeartbeat>,
    // Starts without an answer, with the time of each: they may still arrive.
    pub(crate) unanswered_starts: Vec<(Millis, TaskId, RunId)>,
    // The latest leader's term, and the least token that the backend server takes.
    pub(crate) term: Term,
    pub(crate) min_token: u64,
    // The life of the backend server that has been looked at, and the term then.
    pub(crate) listed_under: Option<(u64, Term)>,
    pub(crate) dispatchers: Table<Owner, DispatcherLink>,
    // Data centres that are out.
    pub(crate) evacuated_index: u64,
    pub(crate) evacuated: Vec<String>,
    // The backend server's clock at a time of the own clock.
    pub(crate) server_clock: Option<(Millis, Millis)>,
    // Until when the backend server's lease may last, by the own clock.
    pub(crate) lease_expires_at: Millis,
    pub(crate) runs: Table<(TaskId, RunId), AgentRun>,
    pub(crate) ends: Vec<RetainedEnd>,
    pub(crate) last_known_end: u64,
    pub(crate) acknowledged_end: u64,
    pub(crate) pending: Table<CallId, PendingCall>,
    pub(crate) last_call: CallId,
    pub(crate) open_holds: u32,
    pub(crate) next_hold_at: Millis,
    // When the latest look was sent, when one was answered last, and when the
    // newest of those answered was sent.
    pub(crate) last_hold_sent_at: Millis,
    pub(crate) last_hold_answered_at: Millis,
    pub(crate) listed_as_of: Millis,
    pub(crate) progress_reported_at: Millis,
    pub(crate) usage_reported_at: Millis,
    pub(crate) usage_report_due: bool,
    // Until when an earlier life of this agent may have left runs with a lease, at
    // a backend server that has not announced itself yet.
    pub(crate) unknown_runs_until: Option<Millis>,
    pub(crate) may_have_unknown_runs: bool,
    pub(crate) guards: Guards,
}

impl ServerAgent {
    /// An agent that has not heard of anyone yet.
    #[must_use]
    pub fn new(times: AgentTimes) -> Self {
        Self {
            times,
            server: None,
            sequence: 0,
            next_server: None,
            unanswered_starts: Vec::new(),
            term: Term(0),
            min_token: 0,
            listed_under: None,
            dispatchers: Table::default(),
            evacuated_index: 0,
            evacuated: Vec::new(),
            server_clock: None,
            lease_expires_at: Millis(0),
            runs: Table::default(),
            ends: Vec::new(),
            last_known_end: 0,
            acknowledged_end: 0,
            pending: Table::default(),
            last_call: CallId(0),
            open_holds: 0,
            next_hold_at: Millis(0),
            last_hold_sent_at: Millis(0),
            last_hold_answered_at: Millis(0),
            listed_as_of: Millis(0),
            progress_reported_at: Millis(0),
            usage_reported_at: Millis(0),
            usage_report_due: false,
            unknown_runs_until: None,
            may_have_unknown_runs: true,
            guards: Guards::default(),
        }
    }

    /// Turns a rule off, so that a checker can show that it is needed.
    pub fn disable(&mut self, guard: JobGuard) {
        self.guards.disable(guard);
    }

    /// Takes one input at `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Millis, input: ServerAgentInput, out: &mut Vec<ServerAgentOutput>) {
        // A process that was suspended wakes with a lease that has run out.
        self.drop_lapsed_runs(now, out);
        self.update_unknown_runs(now, out);
        match input {
            ServerAgentInput::Heartbeat(beat) => self.on_heartbeat(now, beat, out),
            ServerAgentInput::ServerLeft(id) => {
                if self.server.as_ref().is_some_and(|s| s.id == id) {
                    self.lose_server("left", out);
                }
            }
            ServerAgentInput::Leader(term) => self.on_leader(now, term, out),
            ServerAgentInput::Welcome(life, runs) => self.on_welcome(now, life, &runs, out),
            ServerAgentInput::EntryDisconnected(life) => {
                if let Some(dispatcher) = self.dispatchers.get_mut(&Owner::Entry(life)) {
                    dispatcher.disconnect();
                }
            }
            ServerAgentInput::Granted(owner, until) => {
                if let Some(dispatcher) = self.dispatchers.get_mut(&owner) {
                    dispatcher.grant_expires_at = dispatcher.grant_expires_at.max(until);
                }
            }
            ServerAgentInput::Order(owner, order) => self.on_order(now, owner, order, out),
            ServerAgentInput::Recorded { owner, life, upto } => {
                self.on_recorded(now, owner, life, upto, out);
            }
            ServerAgentInput::Evacuated(index, data_centres) => {
                if index >= self.evacuated_index {
                    self.evacuated_index = index;
                    self.evacuated = data_centres;
                }
            }
            ServerAgentInput::Replied(id, reply) => self.on_reply(now, id, reply, out),
            ServerAgentInput::Tick => self.tick(now, out),
        }
        self.report_usage(now, out);
    }

    fn update_unknown_runs(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let lease = longest_lease(self.times.max_lease);
        let until = *self.unknown_runs_until.get_or_insert(now + lease);
        if self.may_have_unknown_runs && now >= until {
            self.may_have_unknown_runs = false;
            self.report_inventories(out);
        }
    }

    pub(crate) fn life(&self) -> u64 {
        self.server.as_ref().map_or(0, |s| s.life)
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        now: Millis,
        beat: ServerHeartbeat,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let life = beat.started_at.unwrap_or(1).max(1);
        if let Some(known) = &self.server {
            let same = life == known.life && known.id == beat.id;
            if life < known.life || (same && beat.sequence <= self.sequence) {
                return;
            }
            if !same && known.id == beat.id && !self.has_revoked(now, &[], out) {
                self.next_server = Some(beat);
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
            data_centre: beat.data_centre,
            capacity: beat.capacity,
            labels: beat.labels,
            leaving: beat.leaving,
        };
        if self.server.as_ref() == Some(&server) {
            return;
        }
        events::SERVER.log(format_args!(
            "server={} life={life} service={} data_centre={} leaving={} cpu={}",
            server.id, server.service, server.data_centre, server.leaving, server.capacity.cpu
        ));
        let fresh = self.server.replace(server.clone()).is_none();
        if fresh {
            // They were told that there is none.
            for (_, dispatcher) in self.dispatchers.iter_mut() {
                dispatcher.has_inventory = false;
            }
            self.send_hold(now, Millis(0), out);
            self.stop_unanswered(now, out);
        } else {
            self.report_to_informed(&AgentReport::Server(Some(server)), out);
        }
    }

    /// The backend server of this life is gone, and with it all that ran there.
    pub(crate) fn lose_server(&mut self, why: &str, out: &mut Vec<ServerAgentOutput>) {
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
        self.last_known_end = 0;
        self.acknowledged_end = 0;
        self.sequence = 0;
        self.min_token = 0;
        self.server_clock = None;
        self.listed_under = None;
        self.report_to_informed(&AgentReport::Server(None), out);
        for (_, dispatcher) in self.dispatchers.iter_mut() {
            dispatcher.has_inventory = false;
        }
    }

    /// True when no start that was meant for the present life of the backend server
    /// can run in its next one, which has the same name. Starts that the present
    /// life has not listed are stopped there first: a run that was stopped is never
    /// started later.
    pub(crate) fn has_revoked(
        &mut self,
        now: Millis,
        running: &[(TaskId, RunId)],
        out: &mut Vec<ServerAgentOutput>,
    ) -> bool {
        let mut open = Vec::new();
        for (key, held) in self.runs.iter().filter(|(_, held)| !held.listed) {
            if held.phase != RunPhase::Stopped || running.contains(key) {
                open.push((*key, held.phase));
            }
        }
        for (key, phase) in &open {
            if *phase != RunPhase::Stopping {
                self.stop(now, *key, out);
            }
        }
        open.is_empty()
    }

    /// Reports to all dispatchers that have the agent's inventory.
    pub(crate) fn report_to_informed(
        &self,
        report: &AgentReport,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        for (owner, _) in self
            .dispatchers
            .iter()
            .filter(|(_, dispatcher)| dispatcher.has_inventory)
        {
            out.push(ServerAgentOutput::Report(*owner, report.clone()));
        }
    }

    pub(crate) fn on_leader(
        &mut self,
        now: Millis,
        term: Option<Term>,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let dispatcher = self
            .dispatchers
            .or_insert_with(Owner::Group, DispatcherLink::default);
        let Some(term) = term else {
            dispatcher.disconnect();
            return;
        };
        if term < self.term {
            return;
        }
        events::LEADER_FOUND.log(format_args!("term={}", term.0));
        dispatcher.connect(term.0);
        self.term = term;
        // Its runs are listed under its own token, which fences former leaders.
        self.send_hold(now, Millis(0), out);
        self.report_inventories(out);
    }

    pub(crate) fn on_welcome(
        &mut self,
        now: Millis,
        life: u64,
        claimed: &[(TaskId, RunId)],
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let owner = Owner::Entry(life);
        let dispatcher = self
            .dispatchers
            .or_insert_with(owner, DispatcherLink::default);
        dispatcher.connect(life);
        dispatcher.expected_runs = claimed.to_vec();
        events::ENTRY_FOUND.log(format_args!("life={life} claimed={}", claimed.len()));
        self.assign_unclaimed();
        if self.listed_under.is_none() {
            self.send_hold(now, Millis(0), out);
        }
        self.report_inventories(out);
    }

    /// Gives runs and ends that an earlier life of this agent left to whoever
    /// claims them.
    pub(crate) fn assign_unclaimed(&mut self) {
        for (owner, dispatcher) in self.dispatchers.iter() {
            for key in &dispatcher.expected_runs {
                if let Some(held) = self.runs.get_mut(key)
                    && held.owner == Owner::Unclaimed
                {
                    held.owner = *owner;
                }
                let same = |end: &&mut RetainedEnd| (end.end.task, end.end.run) == *key;
                for end in self.ends.iter_mut().filter(same) {
                    if end.owner == Owner::Unclaimed {
                        end.owner = *owner;
                    }
                }
            }
        }
    }

    /// Gives everything to the dispatchers that can have it and have not.
    pub(crate) fn report_inventories(&mut self, out: &mut Vec<ServerAgentOutput>) {
        let mut due = Vec::new();
        for (owner, dispatcher) in self.dispatchers.iter() {
            let looked = match owner {
                // Without a backend server there is nothing to look at, unless it
                // just has not announced itself to this life of the agent.
                _ if self.server.is_none() => !self.may_have_unknown_runs,
                Owner::Group => self.listed_under == Some((self.life(), self.term)),
                _ => self
                    .listed_under
                    .is_some_and(|(life, _)| life == self.life()),
            };
            if dispatcher.connected && !dispatcher.has_inventory && looked {
                due.push((*owner, dispatcher.epoch));
            }
        }
        for (owner, epoch) in due {
            self.report_inventory(owner, epoch, out);
        }
    }

    /// Tells ends first: whatever is not in the inventory counts as over otherwise.
    pub(crate) fn report_inventory(
        &mut self,
        owner: Owner,
        epoch: u64,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        if let Some(dispatcher) = self.dispatchers.get_mut(&owner) {
            dispatcher.has_inventory = true;
        }
        let ends: Vec<_> = self
            .ends
            .iter()
            .filter(|e| e.owner == owner && !e.recorded)
            .map(|e| (e.number, e.end))
            .collect();
        if !ends.is_empty() {
            let life = self.life();
            out.push(ServerAgentOutput::Report(
                owner,
                AgentReport::Ends { life, ends },
            ));
        }
        let own = self.runs.iter().filter(|(_, held)| held.owner == owner);
        let inventory = AgentReport::Inventory {
            epoch,
            server: self.server.clone(),
            runs: own.map(|(key, _)| *key).collect(),
        };
        out.push(ServerAgentOutput::Report(owner, inventory));
        self.usage_report_due = true;
    }

    pub(crate) fn on_order(
        &mut self,
        now: Millis,
        owner: Owner,
        order: AgentOrder,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        match order {
            AgentOrder::Start {
                life,
                task,
                run,
                need,
                payload,
            } => {
                if let Some(reason) = self.denial(now, owner, life, need) {
                    events::START_DENIED.log(format_args!(
                        "task={task} run={} owner={owner:?} by=agent reason={reason:?} life={life} \
                         used_cpu={} need_cpu={}",
                        run.0,
                        self.used(None).cpu,
                        need.cpu
                    ));
                    let report = AgentReport::NotStarted { task, run, reason };
                    out.push(ServerAgentOutput::Report(owner, report));
                    if reason == Denial::Room {
                        // The dispatcher chose by an older report.
                        self.report_usage_to(owner, out);
                    }
                    return;
                }
                self.runs
                    .insert((task, run), AgentRun::starting(owner, need, now));
                self.usage_report_due = true;
                self.call_start(now, task, run, payload, out);
            }
            AgentOrder::Revoke { task, run } => {
                let unknown = || AgentRun::starting(owner, Resources::default(), now);
                self.runs.or_insert_with((task, run), unknown);
                self.stop(now, (task, run), out);
            }
            AgentOrder::Stop { task, run } => self.stop(now, (task, run), out),
        }
    }

    /// Why a run may not start here and now, if so.
    pub(crate) fn denial(
        &self,
        now: Millis,
        owner: Owner,
        life: u64,
        need: Resources,
    ) -> Option<Denial> {
        let told = self.dispatchers.get(&owner).is_some_and(|b| {
            b.has_inventory && (b.may_act(now) || !self.guards.on(JobGuard::Grant))
        });
        let server = self
            .server
            .as_ref()
            .filter(|s| s.life == life && !s.leaving);
        let Some(server) = server else {
            return Some(Denial::Closed);
        };
        let is_evacuated = self.evacuated.binary_search(&server.data_centre).is_ok();
        if !told || is_evacuated || self.lease_end(now).is_none() {
            return Some(Denial::Closed);
        }
        let fits = server.capacity.fits(self.used(None), need);
        (!fits).then_some(Denial::Room)
    }

    /// What all runs take, or those of all others than one dispatcher.
    pub(crate) fn used(&self, except: Option<Owner>) -> Resources {
        let mut used = Resources::default();
        for (_, held) in self.runs.iter() {
            if Some(held.owner) != except {
                used.add(held.need);
            }
        }
        used
    }

    pub(crate) fn on_recorded(
        &mut self,
        now: Millis,
        owner: Owner,
        life: u64,
        upto: u64,
        out: &mut Vec<ServerAgentOutput>,
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
    pub(crate) fn drop_recorded(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let done = self.ends.iter().take_while(|end| end.recorded).count();
        let Some(last) = done.checked_sub(1) else {
            return;
        };
        self.acknowledged_end = self.ends[last].number;
        self.ends.drain(..done);
        if self.ends.is_empty() && self.open_holds == 0 {
            self.send_hold(now, self.hold_wait(), out);
        }
    }

    pub(crate) fn report(
        &self,
        owner: Owner,
        report: AgentReport,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        // What is not told now is in the next inventory.
        if self
            .dispatchers
            .get(&owner)
            .is_some_and(|dispatcher| dispatcher.has_inventory)
        {
            out.push(ServerAgentOutput::Report(owner, report));
        }
    }
}
