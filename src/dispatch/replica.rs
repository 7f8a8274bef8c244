//! A control instance: the replicated log, the book over it, and, while it leads,
//! the dispatcher.

use std::collections::VecDeque;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};

use super::book::{Book, Change, Entry, Job};
use super::call::{Call, Reply, Want};
use super::dispatcher::{DispatchOutput, Dispatcher, GROUP_GRANT};
use super::guard::{Guards, JobGuard};
use super::routes::{self, Target};
use super::spec::{JobId, JobSpec, Setup, State, Terms};
use super::waiter::{Origin, Waiter, answer, settle};
use super::wire::{Down, Up, Who};
use super::worker::SessionId;
use crate::control::log::{Index, LogEntry, Payload, ReplicaId, Snapshot, Term};
use crate::control::raft::{Raft, RaftInput, RaftOutput};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// Entries after which the log is replaced by a snapshot.
const SNAPSHOT_AFTER: usize = 8_000;
/// Kept beyond the time that callers may ask for an outcome.
const KEEP_MARGIN: Millis = Millis(10_000);
/// What a caller is told to wait when a call was not taken.
const RETRY_AFTER: Millis = Millis(1_000);

/// What a control instance cannot make sense of.
#[derive(Debug, Snafu)]
pub enum ReplicaError {
    /// A committed entry or the snapshot does not decode.
    #[snafu(display("log entry {}: {source}", index.0))]
    Decode {
        /// Where.
        index: Index,
        /// What the decoder found.
        source: postcard::Error,
    },
    /// An entry does not encode.
    #[snafu(display("entry: {source}"))]
    Encode {
        /// What the encoder found.
        source: postcard::Error,
    },
}

/// What reaches a control instance.
#[derive(Debug)]
pub enum ReplicaInput {
    /// For the replicated log.
    Raft(RaftInput),
    /// A message on a session.
    Up(SessionId, Up),
    /// A session is gone.
    Closed(SessionId),
    /// A call that this process received, under its number.
    Call(u64, Call),
    /// Time has passed.
    Tick,
}

/// What a control instance does.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaOutput {
    /// For the replicated log: write or send.
    Raft(RaftOutput),
    /// Send on a session.
    Down(SessionId, Down),
    /// Answer a call of this process.
    Reply(u64, Reply),
}

/// Times that the users' settings give.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaTimes {
    /// How long an outcome is kept.
    pub keep: Millis,
}

/// One control instance.
#[derive(Debug)]
pub struct Replica {
    pub(crate) raft: Raft,
    pub(crate) book: Book,
    pub(crate) times: ReplicaTimes,
    pub(crate) lead: Option<Dispatcher>,
    pub(crate) sessions: Table<SessionId, Who>,
    // Proposals in log order.
    pub(crate) pending: VecDeque<(Index, Waiter)>,
    // Entries for the next batch.
    pub(crate) batch: Vec<(Entry, Waiter)>,
    // What was last told to all sessions.
    pub(crate) told: Option<(bool, Term, Vec<u64>)>,
    pub(crate) raw: Vec<RaftOutput>,
    pub(crate) acts: Vec<DispatchOutput>,
    // What was last told of data centres, configuration and entries.
    pub(crate) told_out: Option<Vec<String>>,
    pub(crate) told_setup: Option<u64>,
    pub(crate) told_entries: Vec<u64>,
    pub(crate) guards: Guards,
}

impl Replica {
    /// An instance over a log as it comes up.
    ///
    /// # Errors
    ///
    /// The snapshot does not decode.
    pub fn new(raft: Raft, times: ReplicaTimes) -> Result<Self, ReplicaError> {
        let book = decode_book(raft.snapshot())?;
        Ok(Self {
            raft,
            book,
            times,
            lead: None,
            sessions: Table::default(),
            pending: VecDeque::new(),
            batch: Vec::new(),
            told: None,
            raw: Vec::new(),
            acts: Vec::new(),
            told_out: None,
            told_setup: None,
            told_entries: Vec::new(),
            guards: Guards::default(),
        })
    }

    /// Turns a rule off, so that a checker can show that it is needed.
    pub fn disable(&mut self, guard: JobGuard) {
        self.guards.disable(guard);
    }

    /// The replicated log.
    #[must_use]
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// True when nothing awaits a commit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.batch.is_empty()
    }

    /// Takes one input at `now` and appends what is to be done to `out`. What it
    /// proposes waits for [`Replica::flush`].
    ///
    /// # Errors
    ///
    /// A committed entry does not decode: the instance must stop.
    pub fn step(
        &mut self,
        now: Millis,
        input: ReplicaInput,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        match input {
            ReplicaInput::Raft(input) => {
                let mut raw = std::mem::take(&mut self.raw);
                self.raft.step(now, input, &mut raw);
                self.raw = raw;
            }
            ReplicaInput::Up(session, up) => self.on_up(now, session, up, out),
            ReplicaInput::Closed(session) => {
                self.sessions.remove(&session);
                if let Some(lead) = &mut self.lead {
                    lead.disconnected(session);
                }
            }
            ReplicaInput::Call(token, call) => self.call(now, Origin::Local(token), call, out),
            ReplicaInput::Tick => self.tick(now),
        }
        self.take_raft(now, out)
    }

    pub(crate) fn tick(&mut self, now: Millis) {
        let mut raw = std::mem::take(&mut self.raw);
        self.raft.step(now, RaftInput::Tick, &mut raw);
        self.raw = raw;
        if self.raft.holds_lease(now)
            && let Some(lead) = &mut self.lead
        {
            let keep = self.times.keep + KEEP_MARGIN;
            lead.tick(now, keep, &mut self.acts);
        }
    }

    /// Ends a turn: tells what changed, starts tasks, proposes what has gathered.
    ///
    /// # Errors
    ///
    /// As for [`Replica::step`].
    pub fn flush(&mut self, now: Millis, out: &mut Vec<ReplicaOutput>) -> Result<(), ReplicaError> {
        self.take_lead(now);
        // News first: an agent must not get an order before what allows it.
        self.tell_status(out);
        self.tell_news(out);
        if self.raft.holds_lease(now)
            && let Some(lead) = &mut self.lead
        {
            lead.place(now, Millis(0), &self.book.out, &mut self.acts);
        }
        self.take_acts(out);
        self.propose(now, out)?;
        self.take_raft(now, out)?;
        self.take_acts(out);
        self.compact(out)
    }

    /// Becomes the dispatcher once all entries of former terms are applied.
    pub(crate) fn take_lead(&mut self, now: Millis) {
        let term = self.raft.term();
        if !self.raft.is_leader() {
            if self.lead.take().is_some() {
                events::LEADER.log(format_args!("leads=false term={}", term.0));
            }
            return;
        }
        if self.lead.is_some() || !self.raft.holds_lease(now) {
            return;
        }
        events::LEADER.log(format_args!("leads=true term={}", term.0));
        let mut lead = Dispatcher::take_over(term, &self.book, now, &self.guards);
        for (session, who) in self.sessions.iter() {
            if let Who::Agent(name) = who {
                let _ = lead.connected(now, name, *session);
            }
        }
        self.lead = Some(lead);
    }

    pub(crate) fn on_up(
        &mut self,
        now: Millis,
        session: SessionId,
        up: Up,
        out: &mut Vec<ReplicaOutput>,
    ) {
        match up {
            Up::Hello(who) => {
                if let (Who::Agent(name), Some(lead)) = (&who, &mut self.lead) {
                    // The group's runs are settled by the agent's inventory.
                    let _ = lead.connected(now, name, session);
                }
                let (leads, term, members) = self.status();
                let down = Down::Status {
                    leads,
                    term,
                    members,
                };
                out.push(ReplicaOutput::Down(session, down));
                self.greet(session, &who, out);
                self.sessions.insert(session, who);
            }
            Up::Beat(at) => {
                let leads = self.raft.holds_lease(now);
                let known = match &mut self.lead {
                    Some(lead) if leads => lead.beat(now, session),
                    _ => false,
                };
                let grant = known.then_some(GROUP_GRANT);
                out.push(ReplicaOutput::Down(session, Down::Beat { at, grant }));
            }
            Up::Call(number, call) => self.call(now, Origin::Session(session, number), call, out),
            Up::Report(report) => {
                if let Some(lead) = &mut self.lead {
                    lead.report(now, Some(&self.book), session, report, &mut self.acts);
                }
            }
            Up::Peer(message) => {
                let mut raw = std::mem::take(&mut self.raw);
                self.raft.step(now, RaftInput::Receive(message), &mut raw);
                self.raw = raw;
            }
        }
    }

    pub(crate) fn call(
        &mut self,
        now: Millis,
        origin: Origin,
        call: Call,
        out: &mut Vec<ReplicaOutput>,
    ) {
        if self.lead.is_none() || !self.raft.holds_lease(now) {
            out.push(answer(origin, Reply::NotLeader));
            return;
        }
        let reply = match call {
            Call::Client { host, path, want } => self.client(origin, &host, &path, want),
            Call::PutSetup(None) => Some(Reply::Invalid("not a valid configuration".to_owned())),
            Call::PutSetup(Some(setup)) => self.put_setup(origin, setup),
            Call::GetSetup => Some(match &self.book.setup {
                Some(setup) => Reply::Document(setup.document.clone()),
                None => Reply::NoSetup,
            }),
            Call::Evacuate(place, is_out) => {
                events::EVACUATE.log(format_args!("data_centre={place} out={is_out}"));
                self.batch
                    .push((Entry::Evacuate(place, is_out), Waiter::Call(origin)));
                None
            }
        };
        if let Some(reply) = reply {
            out.push(answer(origin, reply));
        }
    }

    pub(crate) fn put_setup(&mut self, origin: Origin, setup: Setup) -> Option<Reply> {
        let held = self.book.setup.as_ref();
        if held.is_some_and(|held| held.version > setup.version) {
            return Some(Reply::Done);
        }
        let waiter = Waiter::Setup(origin, setup.version, setup.document.clone());
        self.batch.push((Entry::Setup(setup), waiter));
        None
    }

    pub(crate) fn client(
        &mut self,
        origin: Origin,
        host: &str,
        path: &str,
        want: Want,
    ) -> Option<Reply> {
        let Some(setup) = &self.book.setup else {
            return Some(Reply::NoSetup);
        };
        match (routes::find(setup, host, path), want) {
            (Target::Unknown, _) => Some(Reply::NoQueue),
            (Target::Queue(queue), Want::Look) => {
                let name = queue.terms.clone();
                Some(Reply::Pending(self.count_pending(&name)))
            }
            (Target::Job(_, id), Want::Look) => Some(self.state(id)),
            (Target::Job(_, id), Want::Cancel) => self.cancel(origin, id),
            (Target::Job(queue, id), Want::Submit(Some(spec))) => {
                let terms = queue.terms.clone();
                if self.book.jobs.get(&id).is_some() {
                    return Some(Reply::Done);
                }
                if let Some(what) = &spec.unsupported {
                    events::REFUSED.log(format_args!("job={id} unsupported={what}"));
                    return Some(Reply::Refused(RETRY_AFTER));
                }
                if spec.loose {
                    // An entry without a configuration sent it here.
                    return Some(Reply::NotLeader);
                }
                self.accept(origin, id, terms, spec);
                None
            }
            (_, Want::Submit(_)) => Some(Reply::Invalid("not a job".to_owned())),
            (Target::NotAJob(_), _) | (Target::Queue(_), Want::Cancel) => Some(Reply::NoJob),
        }
    }

    pub(crate) fn accept(&mut self, origin: Origin, id: JobId, terms: Terms, spec: JobSpec) {
        let pending = self.pending.iter_mut().map(|(_, waiter)| waiter);
        let batched = self.batch.iter_mut().map(|(_, waiter)| waiter);
        for waiter in pending.chain(batched) {
            if let Waiter::Accept(known, origins) = waiter
                && *known == id
            {
                origins.push(origin);
                return;
            }
        }
        let entry = Entry::Accept(id, terms, spec);
        self.batch.push((entry, Waiter::Accept(id, vec![origin])));
    }

    pub(crate) fn cancel(&mut self, origin: Origin, id: JobId) -> Option<Reply> {
        match self.book.jobs.get(&id) {
            None => Some(Reply::NoJob),
            Some(Job::Ended(_)) => Some(Reply::Done),
            Some(Job::Open(_)) => {
                events::CANCELLED.log(format_args!("job={id}"));
                self.batch.push((Entry::Cancel(id), Waiter::Call(origin)));
                None
            }
        }
    }

    pub(crate) fn state(&self, id: JobId) -> Reply {
        match self.book.jobs.get(&id) {
            None => Reply::NoJob,
            Some(Job::Ended(state)) => Reply::State(*state),
            Some(Job::Open(_)) => {
                let started = self.lead.as_ref().is_some_and(|l| l.has_started(id));
                Reply::State(if started {
                    State::Running
                } else {
                    State::Queued
                })
            }
        }
    }

    /// Jobs with these terms of which no task has started.
    pub(crate) fn count_pending(&self, terms: &Terms) -> u64 {
        let Some(lead) = &self.lead else {
            return 0;
        };
        lead.count_pending(terms)
    }

    pub(crate) fn propose(
        &mut self,
        now: Millis,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        if self.batch.is_empty() {
            return Ok(());
        }
        let mut commands = Vec::with_capacity(self.batch.len());
        let mut waiters = Vec::with_capacity(self.batch.len());
        for (entry, waiter) in self.batch.drain(..) {
            commands.push(Bytes::from(
                postcard::to_stdvec(&entry).context(EncodeSnafu)?,
            ));
            waiters.push(waiter);
        }
        let mut raw = std::mem::take(&mut self.raw);
        let first = self.raft.propose(now, commands, &mut raw);
        self.raw = raw;
        let Some(first) = first else {
            for waiter in waiters {
                settle(waiter, &Reply::NotLeader, out);
            }
            return Ok(());
        };
        let mut index = first.index;
        for waiter in waiters {
            self.pending.push_back((index, waiter));
            index = index.next();
        }
        Ok(())
    }

    pub(crate) fn take_acts(&mut self, out: &mut Vec<ReplicaOutput>) {
        for act in self.acts.drain(..) {
            match act {
                // Only entries run jobs that are not stored.
                DispatchOutput::Ended(..) => {}
                DispatchOutput::Propose(entry) => self.batch.push((entry, Waiter::Nobody)),
                DispatchOutput::Down(session, down) => out.push(ReplicaOutput::Down(session, down)),
            }
        }
    }

    pub(crate) fn take_raft(
        &mut self,
        now: Millis,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        for output in std::mem::take(&mut self.raw) {
            match output {
                RaftOutput::Commit(entries) => {
                    for entry in entries {
                        self.apply(now, &entry, out)?;
                    }
                }
                RaftOutput::Restore(snapshot) => self.book = decode_book(&snapshot)?,
                other => out.push(ReplicaOutput::Raft(other)),
            }
        }
        if !self.raft.is_leader() {
            for (_, waiter) in self.pending.drain(..) {
                settle(waiter, &Reply::Unknown, out);
            }
        }
        Ok(())
    }

    pub(crate) fn apply(
        &mut self,
        now: Millis,
        entry: &LogEntry,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        let index = entry.position.index;
        self.book.applied = index.0;
        let Payload::Command(command) = &entry.payload else {
            return Ok(());
        };
        let command: Entry = postcard::from_bytes(command).context(DecodeSnafu { index })?;
        let roster = matches!(command, Entry::Enroll(_) | Entry::Dismiss(_));
        let mut changes = Vec::new();
        self.book.apply(command, &mut changes);
        if let Some(lead) = &mut self.lead {
            for change in &changes {
                lead.changed(now, &self.book, change, &mut self.acts);
            }
            if roster {
                lead.enrolled(&self.book);
            }
        }
        while let Some((at, _)) = self.pending.front()
            && *at <= index
        {
            if let Some((at, waiter)) = self.pending.pop_front() {
                let reply = if at == index {
                    self.outcome(&waiter, &changes)
                } else {
                    Reply::Unknown
                };
                settle(waiter, &reply, out);
            }
        }
        Ok(())
    }

    pub(crate) fn outcome(&self, waiter: &Waiter, changes: &[Change]) -> Reply {
        match waiter {
            Waiter::Setup(_, version, document) => {
                let held = self.book.setup.as_ref();
                let same = held.is_some_and(|h| h.version > *version || h.document == *document);
                events::SETUP.log(format_args!("version={version} taken={same}"));
                if same { Reply::Done } else { Reply::Conflict }
            }
            Waiter::Accept(id, _) => {
                let tasks = self
                    .book
                    .open(*id)
                    .map_or(0, |j| j.tasks.iter().map(Vec::len).sum());
                events::ACCEPTED.log(format_args!(
                    "job={id} tasks={tasks} changes={}",
                    changes.len()
                ));
                Reply::Done
            }
            Waiter::Nobody | Waiter::Call(_) => Reply::Done,
        }
    }

    pub(crate) fn compact(&mut self, out: &mut Vec<ReplicaOutput>) -> Result<(), ReplicaError> {
        let applied = Index(self.book.applied);
        if self.raft.backlog() < SNAPSHOT_AFTER || self.raft.committed() != applied {
            return Ok(());
        }
        let data = postcard::to_stdvec(&self.book).context(EncodeSnafu)?;
        events::SNAPSHOT.log(format_args!("index={} bytes={}", applied.0, data.len()));
        let mut raw = Vec::new();
        self.raft.compact(applied, Bytes::from(data), &mut raw);
        out.extend(raw.into_iter().map(ReplicaOutput::Raft));
        Ok(())
    }

    /// The leader, as far as this instance knows.
    pub(crate) fn leader(&self) -> Option<ReplicaId> {
        self.raft.leader()
    }
}

fn decode_book(snapshot: &Snapshot) -> Result<Book, ReplicaError> {
    if snapshot.data.is_empty() {
        return Ok(Book::default());
    }
    let index = snapshot.position.index;
    postcard::from_bytes(&snapshot.data).context(DecodeSnafu { index })
}
