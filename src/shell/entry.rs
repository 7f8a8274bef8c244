//! The entry role: the actor that runs [`Entry`], and the handle that its servers use.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tonic::transport::Channel;

use super::clock::Clock;
use super::control_client::ControlClient;
use super::links::{AgentSession, Link};
use super::member::{Membership, MembershipUpdate};
use super::stop::{self, StopSender, StopSignal};
use super::trace::TraceWriter;
use super::{convert, entry_peers, jobs_http};
use crate::control::command::{ProcessRole, Registration};
use crate::control::settings::SettingsTree;
use crate::core::chart::ChartError;
use crate::core::clock::Millis;
use crate::core::entry::Entry;
use crate::core::entry_io::{EntryCounts, EntryInput, EntryLimits, TeamLimits};
use crate::core::ids::{Incarnation, JobKey};
use crate::core::job::{Answer, JobHandle, Submission};
use crate::core::placement::Policy;
use crate::core::table::Table;
use crate::core::task::Dispatch;
use crate::events;
use crate::proto;

/// Interval at which the actor passes a tick to the entry.
const TICK: Duration = Duration::from_millis(20);
/// Capacity of the actor's channel, in calls.
const CALL_QUEUE: usize = 8_192;

/// One attempt to relay a request: its dispatch and the connection to the agent.
#[derive(Debug)]
pub(crate) struct RelayAttempt {
    pub(crate) dispatch: Dispatch,
    pub(crate) channel: Channel,
}

/// A message to the entry's actor.
pub(crate) enum EntryCall {
    Input(EntryInput),
    /// Submits a job or a request. Only a request has a channel of attempts.
    Submit(
        Box<Submission>,
        oneshot::Sender<Answer>,
        Option<mpsc::Sender<RelayAttempt>>,
    ),
    /// Waits for the answer to a job; the second channel receives whether this entry has the job.
    Poll(JobKey, oneshot::Sender<Answer>, oneshot::Sender<bool>),
    LinkUp(Incarnation, Box<AgentSession>),
    LinkDown(Incarnation),
    FromAgent(Incarnation, proto::FromAgent),
    Membership(MembershipUpdate),
    /// Asks whether the entry has no open job.
    Idle(oneshot::Sender<bool>),
    Counts(oneshot::Sender<EntryCounts>),
    /// Asks for the address of another live entry.
    PeerAddress(Incarnation, oneshot::Sender<Option<String>>),
}

/// A handle that sends calls to the entry's actor.
#[derive(Clone)]
pub(crate) struct EntryHandle {
    tx: mpsc::Sender<EntryCall>,
    pub(crate) shared: Arc<SharedState>,
}

/// State that the HTTP and gRPC servers read without a call to the actor.
#[derive(Debug)]
pub(crate) struct SharedState {
    incarnation: AtomicU64,
    issued_ids: AtomicU64,
    pub(crate) draining: AtomicBool,
    tree: std::sync::RwLock<Arc<SettingsTree>>,
    pub(crate) client: ControlClient,
    pub(crate) clock: Clock,
    /// Region and data centre, as `region/data_centre`.
    pub(crate) place: String,
}

impl SharedState {
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation.load(Ordering::Relaxed))
    }

    /// Returns a job id for a submission without an idempotency key. It contains the entry's
    /// incarnation, so that any entry can find the owner.
    pub(crate) fn new_job_id(&self) -> String {
        let number = self.issued_ids.fetch_add(1, Ordering::Relaxed);
        format!("~{}-{number}", self.incarnation().0)
    }

    pub(crate) fn tree(&self) -> Arc<SettingsTree> {
        let tree = self
            .tree
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        Arc::clone(&tree)
    }
}

impl EntryHandle {
    pub(crate) async fn call(&self, call: EntryCall) {
        // A closed channel means that the entry has stopped.
        let _ = self.tx.send(call).await;
    }

    pub(crate) async fn input(&self, input: EntryInput) {
        self.call(EntryCall::Input(input)).await;
    }

    /// Returns a receiver of the job's answer, or `None` when this entry does not have the job.
    pub(crate) async fn poll(&self, key: JobKey) -> Option<oneshot::Receiver<Answer>> {
        let (tx, rx) = oneshot::channel();
        let (known_tx, known_rx) = oneshot::channel();
        self.call(EntryCall::Poll(key, tx, known_tx)).await;
        known_rx.await.ok()?.then_some(rx)
    }

    /// Returns the address of another live entry.
    pub(crate) async fn peer_address(&self, entry: Incarnation) -> Option<String> {
        let (tx, rx) = oneshot::channel();
        self.call(EntryCall::PeerAddress(entry, tx)).await;
        rx.await.ok()?
    }

    pub(crate) async fn counts(&self) -> EntryCounts {
        let (tx, rx) = oneshot::channel();
        self.call(EntryCall::Counts(tx)).await;
        rx.await.unwrap_or_default()
    }
}

/// The parameters of an entry.
pub(crate) struct EntrySetup {
    pub(crate) name: String,
    /// Region and data centre, as `region/data_centre`.
    pub(crate) place: String,
    pub(crate) group: Vec<(u64, String)>,
    pub(crate) callers: TcpListener,
    pub(crate) peers: TcpListener,
    pub(crate) trace: Option<std::path::PathBuf>,
}

/// A running entry.
pub(crate) struct EntryRole {
    pub(crate) handle: EntryHandle,
    stop_sender: StopSender,
    callers: JoinHandle<()>,
}

impl EntryRole {
    pub(crate) fn start(setup: EntrySetup) -> Result<Self, ChartError> {
        let (tx, rx) = mpsc::channel(CALL_QUEUE);
        let clock = Clock::new();
        let shared = Arc::new(SharedState {
            incarnation: AtomicU64::new(0),
            issued_ids: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            tree: std::sync::RwLock::default(),
            client: ControlClient::new(setup.group),
            clock,
            place: setup.place.clone(),
        });
        let handle = EntryHandle {
            tx,
            shared: Arc::clone(&shared),
        };
        let (stop_sender, stop) = stop::channel();
        let address = setup
            .peers
            .local_addr()
            .map(|a| a.to_string())
            .unwrap_or_default();
        let registration = Registration {
            role: ProcessRole::Entry,
            name: setup.name.clone(),
            place: setup.place.clone(),
            address,
            service: String::new(),
        };
        let data_centre = setup
            .place
            .rsplit('/')
            .next()
            .unwrap_or_default()
            .to_owned();
        let actor = Actor {
            entry: Entry::new(Incarnation(0), &data_centre, EntryLimits::default())?,
            clock,
            handle: handle.clone(),
            last_handle: JobHandle(0),
            waiters: Table::default(),
            requests: Table::default(),
            agents: Table::default(),
            peers: Table::default(),
            trace: TraceWriter::open(setup.trace.as_deref()),
        };
        let (updates, mut update_rx) = mpsc::channel(64);
        let membership = Membership {
            client: shared.client.clone(),
            clock,
            registration,
            updates,
        };
        tokio::spawn(membership.run(stop.clone()));
        let actor_handle = handle.clone();
        tokio::spawn(async move {
            while let Some(update) = update_rx.recv().await {
                actor_handle.call(EntryCall::Membership(update)).await;
            }
        });
        tokio::spawn(actor.run(rx, stop.clone()));
        tokio::spawn(entry_peers::serve(
            setup.peers,
            handle.clone(),
            stop.clone(),
        ));
        let callers = tokio::spawn(jobs_http::serve(setup.callers, handle.clone(), stop));
        events::STARTED.log(format_args!("entry name={}", setup.name));
        Ok(Self {
            handle,
            stop_sender,
            callers,
        })
    }

    /// Stops the entry once every open job is answered; new jobs are refused meanwhile.
    pub(crate) async fn stop(self) {
        events::STOPPING.log(format_args!("entry"));
        self.handle.shared.draining.store(true, Ordering::Relaxed);
        self.handle.input(EntryInput::Stop).await;
        loop {
            let (tx, rx) = oneshot::channel();
            self.handle.call(EntryCall::Idle(tx)).await;
            match rx.await {
                Ok(false) => tokio::time::sleep(TICK).await,
                Ok(true) | Err(_) => break,
            }
        }
        self.stop_sender.stop();
        // The HTTP server sends the remaining responses first.
        let _ = self.callers.await;
        events::STOPPED.log(format_args!("entry"));
    }
}

/// A live agent in the directory, and the task that keeps a link to it.
pub(crate) struct KnownAgent {
    pub(crate) address: String,
    pub(crate) service: String,
    pub(crate) name: String,
    /// Region and data centre, as `region/data_centre`.
    pub(crate) place: String,
    pub(crate) session: Option<AgentSession>,
    pub(crate) link_task: Option<JoinHandle<()>>,
}

impl Drop for KnownAgent {
    fn drop(&mut self) {
        if let Some(task) = &self.link_task {
            task.abort();
        }
    }
}

pub(crate) struct Actor {
    pub(crate) entry: Entry,
    pub(crate) clock: Clock,
    pub(crate) handle: EntryHandle,
    pub(crate) last_handle: JobHandle,
    pub(crate) waiters: Table<JobHandle, oneshot::Sender<Answer>>,
    pub(crate) requests: Table<JobHandle, mpsc::Sender<RelayAttempt>>,
    pub(crate) agents: Table<Incarnation, KnownAgent>,
    pub(crate) peers: Table<Incarnation, String>,
    pub(crate) trace: TraceWriter,
}

impl Actor {
    async fn run(mut self, mut rx: mpsc::Receiver<EntryCall>, stop: StopSignal) {
        let mut ticker = tokio::time::interval(TICK);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let stopped = stop.wait();
        tokio::pin!(stopped);
        loop {
            let call = tokio::select! {
                call = rx.recv() => call,
                _ = ticker.tick() => Some(EntryCall::Input(EntryInput::Tick)),
                () = &mut stopped => None,
            };
            match call {
                Some(call) => self.handle_call(call),
                None => return,
            }
        }
    }

    fn handle_call(&mut self, call: EntryCall) {
        match call {
            EntryCall::Input(input) => self.step(input),
            EntryCall::Submit(submission, tx, attempts) => self.submit(*submission, tx, attempts),
            EntryCall::Poll(key, tx, known_tx) => {
                let known = self.entry.has_job(&key);
                let _ = known_tx.send(known);
                if known {
                    let waiter = self.add_waiter(tx);
                    self.step(EntryInput::Poll(waiter, key));
                }
            }
            EntryCall::LinkUp(agent, session) => {
                let (slots, stamp) = (session.slots, session.stamp);
                if let Some(known) = self.agents.get_mut(&agent) {
                    known.session = Some(*session);
                    self.step(EntryInput::Linked(agent, slots, stamp));
                }
            }
            EntryCall::LinkDown(agent) => {
                if let Some(known) = self.agents.get_mut(&agent) {
                    known.session = None;
                    self.step(EntryInput::Unlinked(agent));
                }
            }
            EntryCall::FromAgent(agent, message) => self.handle_agent_message(agent, message),
            EntryCall::Membership(update) => self.apply_membership(update),
            EntryCall::Idle(tx) => {
                let _ = tx.send(self.entry.is_idle());
            }
            EntryCall::Counts(tx) => {
                let _ = tx.send(self.entry.counts());
            }
            EntryCall::PeerAddress(entry, tx) => {
                let _ = tx.send(self.peers.get(&entry).cloned());
            }
        }
    }

    fn add_waiter(&mut self, tx: oneshot::Sender<Answer>) -> JobHandle {
        self.last_handle = JobHandle(self.last_handle.0 + 1);
        self.waiters.insert(self.last_handle, tx);
        self.last_handle
    }

    fn submit(
        &mut self,
        mut submission: Submission,
        tx: oneshot::Sender<Answer>,
        attempts: Option<mpsc::Sender<RelayAttempt>>,
    ) {
        submission.handle = self.add_waiter(tx);
        if let Some(attempts) = attempts {
            self.requests.insert(submission.handle, attempts);
        }
        self.step(EntryInput::Submit(submission));
    }

    fn handle_agent_message(&mut self, agent: Incarnation, message: proto::FromAgent) {
        let stamp = Millis(message.stamp);
        self.step(EntryInput::Credits(agent, message.credits, stamp));
        match message.kind {
            Some(proto::from_agent::Kind::Verdict(verdict)) => {
                self.step(EntryInput::Verdict(convert::verdict_from_proto(verdict)));
            }
            Some(proto::from_agent::Kind::Recall(recall)) => {
                self.step(EntryInput::Recall(agent, recall.count));
            }
            Some(proto::from_agent::Kind::Welcome(_) | proto::from_agent::Kind::Pong(_)) | None => {
            }
        }
    }

    fn apply_membership(&mut self, update: MembershipUpdate) {
        match update {
            MembershipUpdate::Joined(incarnation) => {
                self.handle
                    .shared
                    .incarnation
                    .store(incarnation.0, Ordering::Relaxed);
                // The links were opened under the previous incarnation.
                self.agents = Table::default();
                self.step(EntryInput::Rejoined(incarnation));
            }
            MembershipUpdate::Members(members) => {
                for member in members {
                    self.update_member(member);
                }
            }
            MembershipUpdate::Settings(tree, done) => {
                self.apply_settings(*tree);
                let _ = done.send(());
            }
            MembershipUpdate::Lease(renewed) => self.step(EntryInput::Lease(renewed.expires_at)),
        }
    }

    fn update_member(&mut self, member: proto::Member) {
        let incarnation = Incarnation(member.incarnation);
        let is_agent = member.role() == proto::Role::Agent;
        match (is_agent, member.alive) {
            (true, true) => self.add_agent(incarnation, member),
            (true, false) => {
                self.agents.remove(&incarnation);
                self.step(EntryInput::AgentDead(incarnation));
            }
            (false, true) => {
                self.peers.insert(incarnation, member.address);
            }
            (false, false) => {
                self.peers.remove(&incarnation);
            }
        }
    }

    fn add_agent(&mut self, agent: Incarnation, member: proto::Member) {
        if self.agents.get(&agent).is_some() {
            return;
        }
        let link = Link {
            agent,
            address: member.address.clone(),
            entry: self.handle.shared.incarnation(),
            handle: self.handle.clone(),
            clock: self.clock,
        };
        let known = KnownAgent {
            address: member.address,
            service: member.service,
            name: member.name,
            place: member.data_centre,
            session: None,
            link_task: Some(tokio::spawn(link.run())),
        };
        self.agents.insert(agent, known);
        self.update_open_agents(&[agent]);
    }

    /// Passes each agent's service, data centre and open state to the entry. An agent is open
    /// unless the settings evacuate it.
    fn update_open_agents(&mut self, agents: &[Incarnation]) {
        let tree = self.handle.shared.tree();
        for agent in agents {
            let Some(known) = self.agents.get(agent) else {
                continue;
            };
            let path = format!("{}/{}/{}", known.place, known.service, known.name);
            let data_centre = known
                .place
                .rsplit('/')
                .next()
                .unwrap_or_default()
                .to_owned();
            let input = EntryInput::AgentUp {
                agent: *agent,
                service: known.service.clone(),
                data_centre,
                open: !tree.is_evacuated(&path),
            };
            self.step(input);
        }
    }

    fn apply_settings(&mut self, tree: SettingsTree) {
        let limits = EntryLimits {
            policy: policy_from(&tree),
            stretch: ratio_from_percent(tree.number("", "stretch_percent")),
            max_wait: Millis(tree.number(&self.handle.shared.place, "max_wait_ms")),
            grace: Millis(tree.number("", "grace_ms")),
            retain: Millis(tree.number("", "retain_ms")),
            ..EntryLimits::default()
        };
        let teams = team_limits(&tree, self.peers.len());
        {
            let mut shared = match self.handle.shared.tree.write() {
                Ok(shared) => shared,
                Err(poisoned) => poisoned.into_inner(),
            };
            *shared = Arc::new(tree);
        }
        self.step(EntryInput::Limits(limits));
        self.step(EntryInput::Teams(teams));
        let agents: Vec<Incarnation> = self.agents.iter().map(|(agent, _)| *agent).collect();
        self.update_open_agents(&agents);
    }

    fn step(&mut self, input: EntryInput) {
        let mut out = Vec::new();
        let now = self.clock.now();
        self.trace.write(now, &input, self.entry.is_idle());
        if let Err(error) = self.entry.step(now, input, &mut out) {
            events::UNDEFINED.log(format_args!("entry: {error}"));
        }
        for output in out {
            self.execute(output);
        }
    }
}

fn policy_from(tree: &SettingsTree) -> Policy {
    let name = tree
        .effective("", "policy")
        .map(|e| e.value)
        .unwrap_or_default();
    match name.as_str() {
        "random" => Policy::Random,
        "least-outstanding" => Policy::LeastOutstanding,
        "two-probes" => Policy::TwoProbes,
        _ => Policy::LeastFinish,
    }
}

fn ratio_from_percent(value: u64) -> f64 {
    Millis(value).as_f64() / 100.0
}

/// The limits of each team at one of `entries` entries: its share, and an equal part of its cap,
/// rounded up.
fn team_limits(tree: &SettingsTree, entries: usize) -> Vec<TeamLimits> {
    let entries = u64::try_from(entries.max(1)).unwrap_or(1);
    let mut limits = Vec::new();
    for team in tree.teams() {
        let share = tree.number("", &format!("teams.{team}.share"));
        let cap_key = format!("teams.{team}.cap");
        let cap = tree
            .get("", &cap_key)
            .map(|_| tree.number("", &cap_key).div_ceil(entries));
        limits.push(TeamLimits {
            team,
            share: u32::try_from(share).unwrap_or(u32::MAX),
            cap: cap.map(|cap| u32::try_from(cap).unwrap_or(u32::MAX)),
        });
    }
    limits
}
