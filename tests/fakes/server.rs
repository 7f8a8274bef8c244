//! A backend server in virtual time: runs under leases, tokens and run numbers.

#![allow(dead_code)]

use std::collections::BTreeMap;

use fulmardrift::{
    Denial, HoldReply, Millis, Resources, RunId, RunOutcome, ServerCall, ServerCallKind,
    ServerHeartbeat, ServerReply, TaskId,
};

/// A run in progress.
#[derive(Debug, Clone, Copy)]
struct Working {
    since: Millis,
    until_done: Millis,
}

/// What a server has seen of one task, for the checks of a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    pub task: TaskId,
    pub run: RunId,
    pub from: Millis,
    /// `None` while it runs.
    pub to: Option<Millis>,
    pub how: Option<RunOutcome>,
    /// Its end was confirmed, and the lease had not lapsed in between.
    pub confirmed: bool,
    /// Its number among the ends of this life, and the lease lapsed since.
    number: u64,
    lapsed: bool,
}

#[derive(Debug)]
pub struct FakeServer {
    pub id: String,
    pub born: u64,
    pub data_centre: String,
    pub capacity: Resources,
    /// How long each run takes.
    pub work: Millis,
    /// Runs stand still.
    pub hangs: bool,
    /// So many of the next runs fail.
    pub fails: u32,
    pub leaving: bool,
    pub sequence: u64,
    token: u64,
    lease: Millis,
    running: BTreeMap<(TaskId, RunId), Working>,
    highest: BTreeMap<TaskId, RunId>,
    ends: Vec<(u64, TaskId, RunId, RunOutcome)>,
    last_end: u64,
    pub spans: Vec<Span>,
}

impl FakeServer {
    pub fn new(id: &str, data_centre: &str, work: Millis) -> Self {
        Self {
            id: id.to_owned(),
            born: 1_000,
            data_centre: data_centre.to_owned(),
            capacity: Resources {
                cpu: 4_000,
                memory: 1_000,
                gpu: 0,
            },
            work,
            hangs: false,
            fails: 0,
            leaving: false,
            sequence: 0,
            token: 0,
            lease: Millis(0),
            running: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            spans: Vec::new(),
        }
    }

    pub fn beat(&mut self) -> ServerHeartbeat {
        self.sequence += 1;
        ServerHeartbeat {
            id: self.id.clone(),
            started_at: Some(self.born),
            sequence: self.sequence,
            service: "desk".to_owned(),
            data_centre: self.data_centre.clone(),
            capacity: self.capacity,
            labels: vec!["a".to_owned(), "r1-1".to_owned()],
            leaving: self.leaving,
        }
    }

    /// Dies and comes back as another life.
    pub fn crash(&mut self, now: Millis) {
        let keys: Vec<_> = self.running.keys().copied().collect();
        for key in keys {
            self.finish(now, key, RunOutcome::Lost);
        }
        self.ends.clear();
        self.last_end = 0;
        self.token = 0;
        self.sequence = 0;
        self.highest.clear();
        self.born += 10_000;
    }

    pub fn runs(&self) -> usize {
        self.running.len()
    }

    fn finish(&mut self, now: Millis, key: (TaskId, RunId), how: RunOutcome) {
        self.running.remove(&key);
        self.last_end += 1;
        self.ends.push((self.last_end, key.0, key.1, how));
        for span in &mut self.spans {
            if (span.task, span.run) == key && span.to.is_none() {
                span.to = Some(now);
                span.how = Some(how);
                span.number = self.last_end;
            }
        }
    }

    pub fn tick(&mut self, now: Millis) {
        let lapsed = now > self.lease;
        for span in self.spans.iter_mut().filter(|s| s.to.is_some()) {
            span.lapsed |= lapsed;
        }
        let keys: Vec<_> = self.running.iter().map(|(k, w)| (*k, *w)).collect();
        for (key, work) in keys {
            if !self.hangs && work.until_done <= now && work.until_done <= self.lease {
                let how = if self.fails > 0 {
                    self.fails -= 1;
                    RunOutcome::Failed
                } else {
                    RunOutcome::Done
                };
                self.finish(work.until_done, key, how);
            } else if lapsed {
                self.finish(now, key, RunOutcome::Lost);
            }
        }
    }

    /// Answers a call as it arrives.
    pub fn call(&mut self, now: Millis, call: &ServerCall) -> ServerReply {
        self.tick(now);
        if call.server != self.id {
            return ServerReply::OtherInstance;
        }
        if call.token < self.token {
            return ServerReply::Fenced;
        }
        self.token = call.token;
        match &call.kind {
            ServerCallKind::Start {
                task,
                run,
                lease_expires_at,
                ..
            } => self.start(now, (*task, *run), *lease_expires_at),
            ServerCallKind::Stop { task, run } => {
                self.seal(*task, *run);
                if self.running.contains_key(&(*task, *run)) {
                    self.finish(now, (*task, *run), RunOutcome::Lost);
                }
                ServerReply::Stopped
            }
            ServerCallKind::Hold {
                acknowledged,
                lease_expires_at,
                ..
            } => {
                self.ends.retain(|(number, ..)| number > acknowledged);
                for span in self.spans.iter_mut().filter(|s| s.to.is_some()) {
                    span.confirmed |= span.number <= *acknowledged && !span.lapsed;
                }
                if let Some(expires_at) = lease_expires_at {
                    self.lease = self.lease.max(*expires_at);
                }
                ServerReply::HoldReply(self.lists(now))
            }
        }
    }

    fn seal(&mut self, task: TaskId, run: RunId) {
        let highest = self.highest.entry(task).or_insert(run);
        *highest = (*highest).max(run);
    }

    fn start(&mut self, now: Millis, key: (TaskId, RunId), until: Millis) -> ServerReply {
        if self.running.contains_key(&key) {
            return ServerReply::Started { clock: now };
        }
        if until < now {
            return ServerReply::Denied(Denial::Stale);
        }
        self.lease = self.lease.max(until);
        if self
            .highest
            .get(&key.0)
            .is_some_and(|highest| key.1 <= *highest)
        {
            return ServerReply::Denied(Denial::Stale);
        }
        self.seal(key.0, key.1);
        let work = Working {
            since: now,
            until_done: now + self.work,
        };
        self.running.insert(key, work);
        self.spans.push(Span {
            task: key.0,
            run: key.1,
            from: now,
            to: None,
            how: None,
            confirmed: false,
            number: 0,
            lapsed: false,
        });
        ServerReply::Started { clock: now }
    }

    fn lists(&self, now: Millis) -> HoldReply {
        let percent = |w: &Working| {
            let done = now.since(w.since).0 * 100 / self.work.0.max(1);
            u32::try_from(if self.hangs { 0 } else { done.min(99) }).unwrap_or(0)
        };
        HoldReply {
            clock: now,
            started_at: Some(self.born),
            running: self
                .running
                .iter()
                .map(|((task, run), w)| (*task, *run, percent(w)))
                .collect(),
            ended: self.ends.clone(),
        }
    }
}
