//! A control instance: the replicated log, the book over it, and, while it leads,
//! the dispatcher.

use std::collections::VecDeque;

use bytes::Bytes;
use snafu::{ResultExt, Snafu};

use super::book::{Book, Change, Entry, Job, OpenJob};
use super::call::{Call, Reply, Want};
use super::leader::{GRANT, Leader, LeaderOutput};
use super::routes::{self, Target};
use super::spec::{JobId, JobSpec, Setup, State, Terms};
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
/// How long the outcome of a job that is not stored is kept: its caller submits it
/// again a little later when the answer was lost.
const RECENT: Millis = Millis(5_000);
/// What a caller is told to wait when a call was not taken.
const RETRY_AFTER: Millis = Millis(1_000);

/// What a control instance cannot make sense of.
#[derive(Debug, Snafu)]
pub(crate) enum ReplicaError {
    #[snafu(display("log entry {}: {source}", index.0))]
    Decode {
        index: Index,
        source: postcard::Error,
    },
    #[snafu(display("entry: {source}"))]
    Encode { source: postcard::Error },
}

/// Where an answer goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// An entry's session, with its number for the call.
    Session(SessionId, u64),
    /// A call that this process received itself.
    Local(u64),
}

/// What reaches a control instance.
#[derive(Debug)]
pub(crate) enum ReplicaInput {
    Raft(RaftInput),
    Up(SessionId, Up),
    Closed(SessionId),
    Call(u64, Call),
    Tick,
}

/// What a control instance does.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ReplicaOutput {
    Raft(RaftOutput),
    Down(SessionId, Down),
    Reply(u64, Reply),
}

/// Times that the users' settings give.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaTimes {
    /// Longest lease of a backend server.
    pub hold: Millis,
    /// How long an outcome is kept.
    pub keep: Millis,
}

/// What awaits the commit of an entry.
#[derive(Debug)]
enum Waiter {
    Nobody,
    Call(Origin),
    /// A configuration, whose fate is known once it is applied.
    Setup(Origin, u64, Vec<u8>),
    Accept(JobId, Vec<Origin>),
}

/// One control instance.
#[derive(Debug)]
pub(crate) struct Replica {
    raft: Raft,
    book: Book,
    times: ReplicaTimes,
    lead: Option<Leader>,
    sessions: Table<SessionId, Who>,
    // Proposals in log order.
    pending: VecDeque<(Index, Waiter)>,
    // Entries for the next batch.
    batch: Vec<(Entry, Waiter)>,
    // What was last told to all sessions.
    told: Option<(bool, Term, Vec<u64>)>,
    raw: Vec<RaftOutput>,
    acts: Vec<LeaderOutput>,
    // Who waits for the end of a job that is not stored.
    callers: Table<JobId, Vec<Origin>>,
    // Jobs that were not stored and ended lately, with the time of that.
    recent: Table<JobId, (Millis, State)>,
    swept: Millis,
}

impl Replica {
    /// An instance over a log as it comes up.
    pub(crate) fn new(raft: Raft, times: ReplicaTimes) -> Result<Self, ReplicaError> {
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
            callers: Table::default(),
            recent: Table::default(),
            swept: Millis(0),
        })
    }

    pub(crate) fn raft(&self) -> &Raft {
        &self.raft
    }

    /// True when nothing awaits a commit.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.batch.is_empty()
    }

    /// Takes one input at `now` and appends what is to be done to `out`. What it
    /// proposes waits for [`Replica::flush`].
    pub(crate) fn step(
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
                self.leave(
                    now,
                    |origin| matches!(origin, Origin::Session(s, _) if *s == session),
                );
            }
            ReplicaInput::Call(token, call) => self.call(now, Origin::Local(token), call, out),
            ReplicaInput::Tick => self.tick(now),
        }
        self.take_raft(now, out)
    }

    fn tick(&mut self, now: Millis) {
        let mut raw = std::mem::take(&mut self.raw);
        self.raft.step(now, RaftInput::Tick, &mut raw);
        self.raw = raw;
        if self.raft.holds_lease(now)
            && let Some(lead) = &mut self.lead
        {
            let keep = self.times.keep + KEEP_MARGIN;
            lead.tick(now, keep, &mut self.acts);
        }
        if now.since(self.swept) >= RECENT {
            self.swept = now;
            self.recent.retain(|_, (at, _)| now.since(*at) < RECENT);
        }
    }

    /// Ends a turn: starts tasks, proposes what has gathered, tells of changes of
    /// the leadership.
    pub(crate) fn flush(
        &mut self,
        now: Millis,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ReplicaError> {
        self.take_lead(now, out);
        if self.raft.holds_lease(now)
            && let Some(lead) = &mut self.lead
        {
            lead.place(now, &self.book, &mut self.acts);
        }
        self.take_acts(now, out);
        self.propose(now, out)?;
        self.take_raft(now, out)?;
        self.take_acts(now, out);
        self.tell_status(now, out);
        self.compact(out)
    }

    /// Becomes the dispatcher once all entries of former terms are applied.
    fn take_lead(&mut self, now: Millis, out: &mut Vec<ReplicaOutput>) {
        let term = self.raft.term();
        if !self.raft.is_leader() {
            if self.lead.take().is_some() {
                events::LEADER.log(format_args!("leads=false term={}", term.0));
                self.give_up_callers(out);
            }
            return;
        }
        if self.lead.is_some() || !self.raft.holds_lease(now) {
            return;
        }
        events::LEADER.log(format_args!("leads=true term={}", term.0));
        let mut lead = Leader::new(term, self.times.hold, &self.book, now);
        for (session, who) in self.sessions.iter() {
            if let Who::Agent(name) = who {
                lead.connected(now, name, *session);
            }
        }
        self.lead = Some(lead);
    }

    /// Lets the callers of jobs that are not stored ask the next leader.
    fn give_up_callers(&mut self, out: &mut Vec<ReplicaOutput>) {
        for (_, origins) in std::mem::take(&mut self.callers).iter() {
            out.extend(origins.iter().map(|origin| answer(*origin, Reply::Unknown)));
        }
        self.recent = Table::default();
    }

    fn tell_status(&mut self, now: Millis, out: &mut Vec<ReplicaOutput>) {
        let status = self.status(now);
        if self.told.as_ref() == Some(&status) {
            return;
        }
        let (leads, term, members) = status.clone();
        self.told = Some(status);
        for (session, _) in self.sessions.iter() {
            let members = members.clone();
            let down = Down::Status {
                leads,
                term,
                members,
            };
            out.push(ReplicaOutput::Down(*session, down));
        }
    }

    fn status(&self, _now: Millis) -> (bool, Term, Vec<u64>) {
        let members = self.raft.members().iter().map(|id| id.0).collect();
        (self.lead.is_some(), self.raft.term(), members)
    }

    fn on_up(&mut self, now: Millis, session: SessionId, up: Up, out: &mut Vec<ReplicaOutput>) {
        match up {
            Up::Hello(who) => {
                if let (Who::Agent(name), Some(lead)) = (&who, &mut self.lead) {
                    lead.connected(now, name, session);
                }
                self.sessions.insert(session, who);
                let (leads, term, members) = self.status(now);
                let down = Down::Status {
                    leads,
                    term,
                    members,
                };
                out.push(ReplicaOutput::Down(session, down));
            }
            Up::Beat(at) => {
                let leads = self.raft.holds_lease(now);
                let known = match &mut self.lead {
                    Some(lead) if leads => lead.beat(now, session),
                    _ => false,
                };
                let grant = known.then_some(GRANT);
                out.push(ReplicaOutput::Down(session, Down::Beat { at, grant }));
            }
            Up::Call(number, call) => self.call(now, Origin::Session(session, number), call, out),
            Up::Drop(number) => {
                let gone = Origin::Session(session, number);
                self.leave(now, |origin| *origin == gone);
            }
            Up::Report(report) => {
                if let Some(lead) = &mut self.lead {
                    lead.report(now, &self.book, session, report, &mut self.acts);
                }
            }
            Up::Peer(message) => {
                let mut raw = std::mem::take(&mut self.raw);
                self.raft.step(now, RaftInput::Receive(message), &mut raw);
                self.raw = raw;
            }
        }
    }

    fn call(&mut self, now: Millis, origin: Origin, call: Call, out: &mut Vec<ReplicaOutput>) {
        if self.lead.is_none() || !self.raft.holds_lease(now) {
            out.push(answer(origin, Reply::NotLeader));
            return;
        }
        let reply = match call {
            Call::Client { host, path, want } => self.client(now, origin, &host, &path, want),
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

    fn put_setup(&mut self, origin: Origin, setup: Setup) -> Option<Reply> {
        let held = self.book.setup.as_ref();
        if held.is_some_and(|held| held.version > setup.version) {
            return Some(Reply::Done);
        }
        let waiter = Waiter::Setup(origin, setup.version, setup.document.clone());
        self.batch.push((Entry::Setup(setup), waiter));
        None
    }

    fn client(
        &mut self,
        now: Millis,
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
                    return self.submit_loose(now, origin, id, terms, spec);
                }
                self.accept(origin, id, terms, spec);
                None
            }
            (_, Want::Submit(_)) => Some(Reply::Invalid("not a job".to_owned())),
            (Target::NotAJob(_), _) => Some(Reply::NoJob),
            (Target::Queue(_), Want::Cancel) => Some(Reply::NoJob),
        }
    }

    /// Takes a job that is not stored; its end answers the call.
    fn submit_loose(
        &mut self,
        now: Millis,
        origin: Origin,
        id: JobId,
        terms: Terms,
        spec: JobSpec,
    ) -> Option<Reply> {
        if let Some((_, state)) = self.recent.get(&id) {
            return Some(Reply::State(*state));
        }
        let lead = self.lead.as_mut()?;
        self.callers.or_insert_with(id, Vec::new).push(origin);
        if !lead.holds(id) {
            let job = OpenJob::new(terms, spec);
            let tasks: usize = job.tasks.iter().map(Vec::len).sum();
            events::ACCEPTED.log(format_args!("job={id} tasks={tasks} stored=false"));
            lead.submit_loose(now, id, &job);
        }
        None
    }

    /// Some callers have left; jobs that nobody waits for are abandoned.
    fn leave(&mut self, now: Millis, gone: impl Fn(&Origin) -> bool) {
        let mut alone = Vec::new();
        for (id, origins) in self.callers.iter_mut() {
            let before = origins.len();
            origins.retain(|origin| !gone(origin));
            if origins.is_empty() && before > 0 {
                alone.push(*id);
            }
        }
        for id in alone {
            self.callers.remove(&id);
            if let Some(lead) = &mut self.lead {
                lead.abandon(now, id, &mut self.acts);
            }
        }
    }

    fn accept(&mut self, origin: Origin, id: JobId, terms: Terms, spec: JobSpec) {
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

    fn cancel(&mut self, origin: Origin, id: JobId) -> Option<Reply> {
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

    fn state(&self, id: JobId) -> Reply {
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
    fn count_pending(&self, terms: &Terms) -> u64 {
        let Some(lead) = &self.lead else {
            return 0;
        };
        lead.count_pending(terms)
    }

    fn propose(&mut self, now: Millis, out: &mut Vec<ReplicaOutput>) -> Result<(), ReplicaError> {
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

    fn take_acts(&mut self, now: Millis, out: &mut Vec<ReplicaOutput>) {
        for act in std::mem::take(&mut self.acts) {
            match act {
                LeaderOutput::Ended(id, state) => {
                    self.recent.insert(id, (now, state));
                    for origin in self.callers.remove(&id).unwrap_or_default() {
                        out.push(answer(origin, Reply::State(state)));
                    }
                }
                LeaderOutput::Propose(entry) => self.batch.push((entry, Waiter::Nobody)),
                LeaderOutput::Down(session, down) => out.push(ReplicaOutput::Down(session, down)),
            }
        }
    }

    fn take_raft(&mut self, now: Millis, out: &mut Vec<ReplicaOutput>) -> Result<(), ReplicaError> {
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

    fn apply(
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

    fn outcome(&self, waiter: &Waiter, changes: &[Change]) -> Reply {
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

    fn compact(&mut self, out: &mut Vec<ReplicaOutput>) -> Result<(), ReplicaError> {
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

fn settle(waiter: Waiter, reply: &Reply, out: &mut Vec<ReplicaOutput>) {
    match waiter {
        Waiter::Nobody => {}
        Waiter::Call(origin) | Waiter::Setup(origin, ..) => out.push(answer(origin, reply.clone())),
        Waiter::Accept(_, origins) => {
            out.extend(
                origins
                    .into_iter()
                    .map(|origin| answer(origin, reply.clone())),
            );
        }
    }
}

fn answer(origin: Origin, reply: Reply) -> ReplicaOutput {
    match origin {
        Origin::Session(session, number) => {
            ReplicaOutput::Down(session, Down::Reply(number, reply))
        }
        Origin::Local(token) => ReplicaOutput::Reply(token, reply),
    }
}

fn decode_book(snapshot: &Snapshot) -> Result<Book, ReplicaError> {
    if snapshot.data.is_empty() {
        return Ok(Book::default());
    }
    let index = snapshot.position.index;
    postcard::from_bytes(&snapshot.data).context(DecodeSnafu { index })
}
