//! The agent of one backend server. It executes the orders of dispatchers, renews the backend
//! server's lease, and reports the end of each run until the dispatcher has recorded it.
//!
//! Dispatchers are the control group's leader and the entries. Each of them grants the agent the
//! right to act on its behalf for a short time. When a grant expires, the agent stops the runs of
//! that dispatcher.
//!
//! The agent learns of runs and ends through hold calls. A hold call lists what runs at the backend
//! server and what has ended there, and extends the lease. `life` is the incarnation number of a
//! backend server or an entry; it changes with each restart.

use super::agent_calls::max_lease_duration;
use super::agent_crashes::{CrashLog, Loss};
use super::agent_run::{AgentRun, EndList, RetainedEnd, RunPhase};
use super::answer_times::AnswerTimes;
use super::dispatcher_link::{DispatcherLink, Owner};
use super::ejection::Ejection;
use super::guard::{Guards, JobGuard};
use super::load::offers::Offers;
use super::load::pace::WorkerPace;
use super::server_call::{CallId, ServerCall, ServerHeartbeat, ServerReply};
use super::spec::{Resources, RunId, TaskId};
use super::times::Times;
use super::wire::{AgentOrder, AgentReport, Denial, Server};
use crate::control::log::Term;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// An event that the agent processes.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerAgentInput {
    /// An announcement of the backend server.
    Heartbeat(ServerHeartbeat),
    /// The backend server with this id is shutting down.
    ServerLeft(String),
    /// The session with the group's leader of this term is open; `None` when it has closed.
    Leader(Option<Term>),
    /// A session with an entry is open: the entry's incarnation, and the runs that it believes the
    /// agent to hold for it.
    Welcome(u64, Vec<(TaskId, RunId)>),
    /// The session with the entry of this incarnation has closed.
    EntryDisconnected(u64),
    /// A dispatcher's grant now lasts until this time of the agent's clock.
    Granted(Owner, Millis),
    /// An order of a dispatcher.
    Order(Owner, AgentOrder),
    /// A dispatcher has recorded its runs' ends up to a number and needs no more reports of them.
    Recorded {
        /// The dispatcher.
        owner: Owner,
        /// The incarnation of the backend server that numbered the ends.
        life: u64,
        /// Number of the last recorded end.
        upto: u64,
    },
    /// The evacuated data centres, sorted, as of this index of the replicated log.
    Evacuated(u64, Vec<String>),
    /// The backend server's answer to a call, or that there was none.
    Replied(CallId, ServerReply),
    /// Triggers timeouts and periodic work.
    Tick,
}

/// A command that the agent returns to its caller, to be executed in order.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerAgentOutput {
    /// Send a call to the backend server.
    Call(ServerCall),
    /// Send a report to a dispatcher.
    Report(Owner, AgentReport),
}

/// A call to the backend server that has no answer yet.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PendingCall {
    Start(TaskId, RunId),
    Stop(TaskId, RunId),
    Hold {
        sent_at: Millis,
        life: u64,
        term: Term,
    },
}

/// Longest list of tasks in a log line.
const MAX_LISTED_TASKS: usize = 40;

/// The tasks of some runs, as a log line names them.
pub(crate) fn list_tasks(runs: impl Iterator<Item = (TaskId, RunId)>) -> String {
    let tasks: Vec<String> = runs
        .take(MAX_LISTED_TASKS)
        .map(|(task, _)| task.to_string())
        .collect();
    tasks.join(",")
}

/// The state machine of one agent; it does no input or output of its own.
#[derive(Debug)]
pub struct ServerAgent {
    pub(crate) times: Times,
    pub(crate) server: Option<Server>,
    // Sequence number of the backend server's latest announcement.
    pub(crate) sequence: u64,
    // The backend server said that it ends now, and still had runs then.
    pub(crate) has_left: bool,
    // The latest announcement of another incarnation, with its arrival. It is held back until a call
    // shows that the present one has ended, and while a start that was meant for that one may still
    // reach it.
    pub(crate) next_server: Option<(Millis, ServerHeartbeat)>,
    // Starts without an answer, with the time at which each was given up. They may still arrive.
    pub(crate) unanswered_starts: Vec<(Millis, TaskId, RunId)>,
    // The latest leader's term, and the lowest fencing token that the backend server accepts.
    pub(crate) term: Term,
    pub(crate) min_token: u64,
    // The incarnation of the backend server that last answered a hold call, and the highest term
    // under which it did; `None` until one answer had all ends that waited there, as runs that this
    // agent does not know may be among the rest.
    pub(crate) listed_under: Option<(u64, Term)>,
    pub(crate) end_list: EndList,
    pub(crate) dispatchers: Table<Owner, DispatcherLink>,
    // The evacuated data centres, and the index of the replicated log at which they were set.
    pub(crate) evacuated_index: u64,
    pub(crate) evacuated: Vec<String>,
    // A reading of the backend server's clock, with the time of the agent's clock at that moment.
    pub(crate) server_clock: Option<(Millis, Millis)>,
    // Latest time, by the agent's clock, at which a lease from the calls that have ended may still
    // be valid, and the same for each open call.
    pub(crate) lease_expires_at: Millis,
    pub(crate) open_leases: Table<CallId, Millis>,
    pub(crate) runs: Table<(TaskId, RunId), AgentRun>,
    pub(crate) ends: Vec<RetainedEnd>,
    // The highest numbers of the ends that the agent knows, and of those that the backend server
    // may forget.
    pub(crate) last_known_end: u64,
    pub(crate) acknowledged_end: u64,
    // The last call that was made before the agent learned of the newest end. An answer to it, or to
    // an earlier call, may still list that run as running.
    pub(crate) end_call: CallId,
    pub(crate) pending: Table<CallId, PendingCall>,
    pub(crate) last_call: CallId,
    pub(crate) open_holds: u32,
    pub(crate) next_hold_at: Millis,
    // When the latest hold call was sent, when one was last answered, and when the newest of the
    // answered ones was sent.
    pub(crate) last_hold_sent_at: Millis,
    pub(crate) last_hold_answered_at: Millis,
    pub(crate) listed_as_of: Millis,
    pub(crate) progress_reported_at: Millis,
    pub(crate) usage_reported_at: Millis,
    pub(crate) usage_report_due: bool,
    // The least number of free places since the last round of usage reports.
    pub(crate) least_free: usize,
    // The dispatchers that were last told in their turn that the others use less, and more.
    pub(crate) last_offered: Option<Owner>,
    // What all runs used after the last input, and when that changed.
    pub(crate) last_used: Resources,
    pub(crate) usage_changed_at: Millis,
    pub(crate) last_informed: Option<Owner>,
    // What dispatchers ask for, and what is reserved for them.
    pub(crate) offers: Offers,
    pub(crate) answer_times: AnswerTimes,
    pub(crate) ejection: Ejection,
    pub(crate) pace: WorkerPace,
    pub(crate) crash_log: CrashLog,
    // An earlier incarnation of this agent may have left runs at a backend server that has not
    // announced itself yet. Their lease has expired at this time at the latest.
    pub(crate) unknown_runs_until: Option<Millis>,
    pub(crate) may_have_unknown_runs: bool,
    pub(crate) guards: Guards,
}

impl ServerAgent {
    /// Creates an agent that knows neither a backend server nor a dispatcher.
    #[must_use]
    pub fn new(times: Times) -> Self {
        Self {
            times,
            server: None,
            sequence: 0,
            has_left: false,
            next_server: None,
            unanswered_starts: Vec::new(),
            term: Term(0),
            min_token: 0,
            listed_under: None,
            end_list: EndList::Complete,
            dispatchers: Table::default(),
            evacuated_index: 0,
            evacuated: Vec::new(),
            server_clock: None,
            lease_expires_at: Millis(0),
            open_leases: Table::default(),
            runs: Table::default(),
            ends: Vec::new(),
            last_known_end: 0,
            acknowledged_end: 0,
            end_call: CallId(0),
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
            least_free: 0,
            last_offered: None,
            last_used: Resources::default(),
            usage_changed_at: Millis(0),
            last_informed: None,
            offers: Offers::default(),
            answer_times: AnswerTimes::new(),
            ejection: Ejection::default(),
            pace: WorkerPace::default(),
            crash_log: CrashLog::default(),
            unknown_runs_until: None,
            may_have_unknown_runs: true,
            guards: Guards::default(),
        }
    }

    /// Disables a safety rule, so that a model checker can show that the rule is needed.
    pub fn disable(&mut self, guard: JobGuard) {
        self.guards.disable(guard);
    }

    /// Processes one input at time `now` and appends the resulting commands to `out`.
    pub fn step(&mut self, now: Millis, input: ServerAgentInput, out: &mut Vec<ServerAgentOutput>) {
        // After a suspension of the process, the lease may have expired already.
        self.drop_lapsed_runs(now, out);
        self.update_unknown_runs(now, out);
        match input {
            ServerAgentInput::Heartbeat(heartbeat) => self.on_heartbeat(now, heartbeat, out),
            ServerAgentInput::ServerLeft(id) => self.on_server_left(now, &id, out),
            ServerAgentInput::Leader(term) => self.on_leader(now, term, out),
            ServerAgentInput::Welcome(life, runs) => self.on_welcome(now, life, &runs, out),
            ServerAgentInput::EntryDisconnected(life) => {
                if let Some(dispatcher) = self.dispatchers.get_mut(&Owner::Entry(life)) {
                    dispatcher.disconnect();
                }
                self.offers.forget(Owner::Entry(life));
            }
            ServerAgentInput::Granted(owner, until) => {
                if let Some(dispatcher) = self.dispatchers.get_mut(&owner) {
                    dispatcher.grant_expires_at = dispatcher.grant_expires_at.max(until);
                }
                self.note_echo(now, owner, until, out);
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
        self.note_usage(now);
        self.settle_offers(now, out);
        self.report_usage(now, out);
    }

    fn update_unknown_runs(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let lease = max_lease_duration(self.times.max_lease);
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
        heartbeat: ServerHeartbeat,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        // 0 means that there is no backend server, so 1 stands for an unknown start time.
        let life = heartbeat.started_at.unwrap_or(1).max(1);
        if let Some(known) = &self.server {
            let same = life == known.life && known.id == heartbeat.id;
            let is_former = known.id == heartbeat.id && life < known.life;
            if is_former || (same && heartbeat.sequence <= self.sequence) {
                return;
            }
            if !same {
                // Anyone may announce another one. Only an answer shows which of them runs.
                self.next_server = Some((now, heartbeat));
                self.send_hold(now, Millis(0), out);
                return;
            }
        }
        self.sequence = heartbeat.sequence;
        self.has_left &= heartbeat.leaving;
        let server = Server {
            life,
            id: heartbeat.id,
            service: heartbeat.service,
            data_centre: heartbeat.data_centre,
            capacity: heartbeat.capacity,
            labels: heartbeat.labels,
            leaving: heartbeat.leaving,
        };
        if self.server.as_ref() == Some(&server) {
            return;
        }
        events::SERVER.log(format_args!(
            "server={} life={life} service={} data_centre={} leaving={} cpu={}",
            server.id, server.service, server.data_centre, server.leaving, server.capacity.cpu
        ));
        let is_new = self.server.replace(server.clone()).is_none();
        if is_new {
            // The inventories sent so far say that there is no backend server.
            for (_, dispatcher) in self.dispatchers.iter_mut() {
                dispatcher.has_inventory = false;
            }
            self.send_hold(now, Millis(0), out);
            self.stop_unanswered(now, out);
        } else {
            self.report_to_informed(&AgentReport::Server(Some(server)), out);
        }
    }

    /// Handles the notice that a backend server ends now. It may run on for a while, or the notice is
    /// a late one of its former incarnation, so its runs count until they end or the lease expires.
    fn on_server_left(&mut self, now: Millis, id: &str, out: &mut Vec<ServerAgentOutput>) {
        let Some(server) = self.server.as_mut().filter(|s| s.id == id) else {
            return;
        };
        if self.runs.is_empty() {
            self.discard_server(now, Loss::Left, out);
            return;
        }
        server.leaving = true;
        let server = server.clone();
        self.has_left = true;
        events::SERVER_LEFT.log(format_args!(
            "server={} life={} runs={}",
            server.id,
            server.life,
            self.runs.len()
        ));
        self.report_to_informed(&AgentReport::Server(Some(server)), out);
    }

    /// Discards the present incarnation of the backend server with all of its runs and ends.
    pub(crate) fn discard_server(
        &mut self,
        now: Millis,
        why: Loss,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        if why != Loss::Left {
            self.report_crash(now, out);
        }
        let Some(server) = self.server.take() else {
            return;
        };
        events::SERVER_LOST.log(format_args!(
            "server={} life={} runs={} why={why:?} tasks={}",
            server.id,
            server.life,
            self.runs.len(),
            list_tasks(self.held_runs())
        ));
        self.log_all_over(now, &why);
        self.runs = Table::default();
        // Answers to open hold calls say nothing of the next one.
        for (_, pending) in self.pending.iter_mut() {
            if let PendingCall::Hold { life, .. } = pending {
                *life = 0;
            }
        }
        self.ends.clear();
        self.last_known_end = 0;
        self.acknowledged_end = 0;
        self.sequence = 0;
        self.has_left = false;
        self.min_token = 0;
        self.server_clock = None;
        self.listed_under = None;
        self.end_list = EndList::Complete;
        self.ejection = Ejection::default();
        self.answer_times = AnswerTimes::new();
        self.offers = Offers::default();
        self.report_to_informed(&AgentReport::Server(None), out);
        for (_, dispatcher) in self.dispatchers.iter_mut() {
            dispatcher.has_inventory = false;
            dispatcher.reported_end = 0;
        }
    }

    /// Stops the starts that the present incarnation of the backend server has not listed, since
    /// the next one has the same id and would execute them if they arrived late. A run that was
    /// stopped is never started later. Returns true once none is left that could still start.
    pub(crate) fn revoke_unlisted_starts(
        &mut self,
        now: Millis,
        running: &[(TaskId, RunId)],
        out: &mut Vec<ServerAgentOutput>,
    ) -> bool {
        let mut may_start = Vec::new();
        for (key, agent_run) in self.runs.iter().filter(|(_, agent_run)| !agent_run.listed) {
            if agent_run.phase != RunPhase::Stopped || running.contains(key) {
                may_start.push((*key, agent_run.phase));
            }
        }
        for (key, phase) in &may_start {
            if *phase != RunPhase::Stopping {
                self.stop(now, *key, out);
            }
        }
        may_start.is_empty()
    }

    /// Assigns the runs and ends that an earlier incarnation of this agent left behind to the
    /// dispatchers that expect them.
    pub(crate) fn assign_inherited(&mut self) {
        let run_owners = self.runs.iter().map(|(_, agent_run)| agent_run.owner);
        let mut owners = run_owners.chain(self.ends.iter().map(|end| end.owner));
        if !owners.any(|owner| owner == Owner::Unclaimed) {
            return;
        }
        drop(owners);
        for (owner, dispatcher) in self.dispatchers.iter() {
            for key in &dispatcher.expected_runs {
                if let Some(agent_run) = self.runs.get_mut(key)
                    && agent_run.owner == Owner::Unclaimed
                {
                    agent_run.owner = *owner;
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
                if let Some(reason) = self.denial_reason(now, owner, life, need) {
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
                        // The dispatcher placed the run by an outdated usage report.
                        self.report_usage_to(owner, out);
                    }
                    return;
                }
                let mut agent_run = AgentRun::starting(owner, need, now);
                agent_run.expected = self.take_expected(owner, (task, run));
                self.runs.insert((task, run), agent_run);
                self.offers.use_offer(owner, need);
                self.usage_report_due = true;
                self.call_start(now, task, run, payload, out);
            }
            AgentOrder::Revoke { task, run } if self.can_no_longer_start(now, (task, run)) => {
                let reason = Denial::Closed;
                let report = AgentReport::NotStarted { task, run, reason };
                out.push(ServerAgentOutput::Report(owner, report));
            }
            AgentOrder::Revoke { task, run } => {
                let unknown = || AgentRun::starting(owner, Resources::default(), now);
                self.runs.or_insert_with((task, run), unknown);
                self.stop(now, (task, run), out);
            }
            AgentOrder::Stop { task, run } => self.stop(now, (task, run), out),
            AgentOrder::StopStalled { task, run } => {
                let is_ejected = self.ejection.record_stall(now, task.job);
                if is_ejected && self.guards.on(JobGuard::Ejection) {
                    self.report_ejection(true, out);
                }
                self.stop(now, (task, run), out);
            }
            AgentOrder::Blame(evidence) => self.pass_evidence(now, evidence, out),
            AgentOrder::Want(wants) => self.on_wants(now, owner, &wants),
            AgentOrder::Expect { task, run, length } => {
                self.on_expect(now, owner, (task, run), length, out);
            }
        }
    }

    /// True for a run that the agent does not hold and that no start call of earlier can begin: there
    /// is no backend server, or the lease of such calls has expired.
    fn can_no_longer_start(&self, now: Millis, key: (TaskId, RunId)) -> bool {
        let has_no_lease = self.server.is_none() || now > self.lease_bound();
        has_no_lease && self.runs.get(&key).is_none()
    }

    /// Returns why a run may not start now, or `None` if it may.
    pub(crate) fn denial_reason(
        &self,
        now: Millis,
        owner: Owner,
        life: u64,
        need: Resources,
    ) -> Option<Denial> {
        let is_allowed = self.dispatchers.get(&owner).is_some_and(|dispatcher| {
            dispatcher.has_inventory
                && (dispatcher.may_act(now, self.times.stop_lead)
                    || !self.guards.on(JobGuard::Grant))
        });
        let server = self
            .server
            .as_ref()
            .filter(|s| s.life == life && !s.leaving);
        let Some(server) = server else {
            return Some(Denial::Closed);
        };
        let is_evacuated = self.evacuated.binary_search(&server.data_centre).is_ok();
        let is_down = self.crash_log.is_down();
        if !is_allowed || is_evacuated || is_down || self.lease_end(now).is_none() {
            return Some(Denial::Closed);
        }
        let mut used = self.used(None);
        used.add(self.offers.reserved(Some(owner)));
        let fits = server.capacity.fits(used, need);
        (!fits).then_some(Denial::Room)
    }

    /// Sums up the resources of all runs, except those of one dispatcher if it is given.
    pub(crate) fn used(&self, except: Option<Owner>) -> Resources {
        let mut used = Resources::default();
        for (_, agent_run) in self.runs.iter() {
            if Some(agent_run.owner) != except {
                used.add(agent_run.need);
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

    /// Advances the number up to which the backend server may forget its ends, and drops those that
    /// are recorded. Ends that an entry has not recorded in time hold up no others: they are kept
    /// here for a while, and lost if this agent ends.
    pub(crate) fn drop_recorded(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let is_done = |end: &&RetainedEnd| end.recorded || end.may_be_confirmed(now);
        let done = self.ends.iter().take_while(is_done).count();
        let leading = &self.ends[..done];
        let confirmed = if self.end_list == EndList::Cut {
            leading.last()
        } else {
            // Nothing waits behind the ends after the last recorded one.
            leading.iter().rfind(|end| end.recorded)
        };
        let Some(last) = confirmed.map(|end| end.number) else {
            return;
        };
        let had_unconfirmed = self.has_unconfirmed_ends();
        self.acknowledged_end = self.acknowledged_end.max(last);
        self.ends.retain(|end| !end.recorded || end.number > last);
        if had_unconfirmed && !self.has_unconfirmed_ends() && self.open_holds == 0 {
            self.send_hold(now, self.hold_wait(), out);
        }
    }

    /// True while the backend server lists ends that the agent has already got.
    pub(crate) fn has_unconfirmed_ends(&self) -> bool {
        let last = self.ends.last();
        last.is_some_and(|end| end.number > self.acknowledged_end)
    }
}
