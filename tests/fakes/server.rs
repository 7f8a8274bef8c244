//! A fake backend server in virtual time. It enforces leases, fencing tokens and run ids.

#![allow(dead_code)]

use std::collections::BTreeMap;

use fulmardrift::{
    Denial, HoldReply, Millis, Resources, RunId, RunOutcome, ServerCall, ServerCallKind,
    ServerHeartbeat, ServerReply, TaskId,
};

/// Age at which a deadly task's run crashes its backend server, unless a test says otherwise, and
/// how long that is down then.
const CRASH_AGE: Millis = Millis(45);
const DOWN_TIME: Millis = Millis(3_000);

/// Longest list of ends in an answer to a hold call.
const MAX_LISTED_ENDS: usize = 500;

#[derive(Debug, Clone, Copy)]
struct ActiveRun {
    started_at: Millis,
    ends_at: Millis,
}

/// History of one run, for the checks of a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    pub task: TaskId,
    pub run: RunId,
    pub started_at: Millis,
    /// `None` while it runs.
    pub ended_at: Option<Millis>,
    pub outcome: Option<RunOutcome>,
    /// True when the end was acknowledged before the lease expired.
    pub confirmed: bool,
    /// Number of the end in this incarnation, from 1; 0 while it runs.
    end_number: u64,
    /// True when the lease expired after the end.
    lapsed: bool,
}

#[derive(Debug)]
pub struct FakeServer {
    pub id: String,
    /// When this incarnation was started, in milliseconds since the Unix epoch.
    pub started_at: u64,
    pub data_centre: String,
    pub capacity: Resources,
    /// Duration of each run whose payload is not a number of milliseconds.
    pub work: Millis,
    /// Tasks whose runs have another duration.
    pub other_lengths: Vec<(TaskId, Millis)>,
    /// While true, runs make no progress and do not end.
    pub is_hung: bool,
    /// From this time on, runs stay at the progress that they have made, and do not end.
    pub hung_from: Option<Millis>,
    /// Number of the next runs that fail.
    pub failures_to_come: u32,
    /// Tasks that crash the backend server a while after their start.
    pub deadly: Vec<TaskId>,
    /// Age at which they do; at 0 the start call is not answered.
    pub crash_age: Millis,
    /// It never comes back after a crash.
    pub is_lost: bool,
    /// When it is back after a crash; it is down until then.
    down_until: Option<Millis>,
    /// It refuses all connections until then, but runs on.
    pub refuses_until: Millis,
    /// Percentage by which its clock runs slow.
    pub slow_clock_percent: u64,
    /// Number of crashes.
    pub crashes: u32,
    /// When each process ended, whatever the cause.
    pub ended_at: Vec<Millis>,
    pub leaving: bool,
    pub sequence: u64,
    token: u64,
    lease_expires_at: Millis,
    running: BTreeMap<(TaskId, RunId), ActiveRun>,
    /// The highest run id of each task that was started or stopped. No lower one starts.
    highest_runs: BTreeMap<TaskId, RunId>,
    /// Ends that the agent has not acknowledged, with their numbers.
    ends: Vec<(u64, TaskId, RunId, RunOutcome)>,
    last_end_number: u64,
    pub spans: Vec<Span>,
}

impl FakeServer {
    pub fn new(id: &str, data_centre: &str, work: Millis) -> Self {
        Self {
            id: id.to_owned(),
            started_at: 1_000,
            data_centre: data_centre.to_owned(),
            capacity: Resources {
                cpu: 4_000,
                memory: 1_000,
                gpu: 0,
            },
            work,
            other_lengths: Vec::new(),
            is_hung: false,
            hung_from: None,
            failures_to_come: 0,
            deadly: Vec::new(),
            crash_age: CRASH_AGE,
            is_lost: false,
            down_until: None,
            refuses_until: Millis(0),
            slow_clock_percent: 0,
            crashes: 0,
            ended_at: Vec::new(),
            leaving: false,
            sequence: 0,
            token: 0,
            lease_expires_at: Millis(0),
            running: BTreeMap::new(),
            highest_runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end_number: 0,
            spans: Vec::new(),
        }
    }

    pub fn heartbeat(&mut self) -> ServerHeartbeat {
        self.sequence += 1;
        ServerHeartbeat {
            id: self.id.clone(),
            started_at: Some(self.started_at),
            sequence: self.sequence,
            service: "desk".to_owned(),
            data_centre: self.data_centre.clone(),
            capacity: self.capacity,
            labels: vec!["a".to_owned(), "r1-1".to_owned()],
            leaving: self.leaving,
        }
    }

    /// Crashes and restarts as a new incarnation. Its runs are lost.
    pub fn crash(&mut self, now: Millis) {
        let keys: Vec<_> = self.running.keys().copied().collect();
        for key in keys {
            self.finish(now, key, RunOutcome::Lost);
        }
        self.ended_at.push(now);
        self.ends.clear();
        self.last_end_number = 0;
        self.token = 0;
        self.sequence = 0;
        self.highest_runs.clear();
        self.started_at += 10_000;
    }

    pub fn is_down(&self) -> bool {
        self.down_until.is_some()
    }

    /// Crashes if a deadly task has run for long enough, and comes back when it is time.
    fn crash_if_due(&mut self, now: Millis) {
        if !self.is_lost && self.down_until.is_some_and(|until| now >= until) {
            self.down_until = None;
        }
        let kills = |(key, active): (&(TaskId, RunId), &ActiveRun)| {
            self.deadly.contains(&key.0) && now.since(active.started_at) >= self.crash_age
        };
        if self.running.iter().any(kills) {
            self.lose_power(now);
            self.crashes += 1;
        }
    }

    /// Crashes, and is down for a while.
    pub fn lose_power(&mut self, now: Millis) {
        self.crash(now);
        self.down_until = Some(now + DOWN_TIME);
    }

    pub fn run_count(&self) -> usize {
        self.running.len()
    }

    /// Number of ends that the agent has not acknowledged.
    pub fn end_count(&self) -> usize {
        self.ends.len()
    }

    /// Runs up to `count` of the tests' tasks at a time.
    pub fn enlarge(&mut self, count: u32) {
        self.capacity.cpu = 1_000 * count;
        self.capacity.memory = 10 * count;
    }

    fn finish(&mut self, now: Millis, key: (TaskId, RunId), outcome: RunOutcome) {
        self.running.remove(&key);
        self.last_end_number += 1;
        self.ends
            .push((self.last_end_number, key.0, key.1, outcome));
        for span in &mut self.spans {
            if (span.task, span.run) == key && span.ended_at.is_none() {
                span.ended_at = Some(now);
                span.outcome = Some(outcome);
                span.end_number = self.last_end_number;
            }
        }
    }

    /// What its own clock shows at time `at`.
    fn clock(&self, at: Millis) -> Millis {
        at - Millis(at.0 * self.slow_clock_percent / 100)
    }

    pub fn tick(&mut self, now: Millis) {
        self.crash_if_due(now);
        let lapsed = self.clock(now) > self.lease_expires_at;
        for span in self.spans.iter_mut().filter(|s| s.ended_at.is_some()) {
            span.lapsed |= lapsed;
        }
        let runs: Vec<_> = self.running.iter().map(|(k, r)| (*k, *r)).collect();
        for (key, active) in runs {
            let is_over = !self.is_hung && active.ends_at <= self.clock_of_work(now);
            if is_over && self.clock(active.ends_at) <= self.lease_expires_at {
                let outcome = if self.failures_to_come > 0 {
                    self.failures_to_come -= 1;
                    RunOutcome::Failed
                } else {
                    RunOutcome::Done
                };
                self.finish(active.ends_at, key, outcome);
            } else if lapsed {
                self.finish(now, key, RunOutcome::Lost);
            }
        }
    }

    /// The time up to which runs make progress.
    fn clock_of_work(&self, now: Millis) -> Millis {
        self.hung_from.map_or(now, |hung_from| hung_from.min(now))
    }

    /// Executes a call and returns the reply.
    pub fn call(&mut self, now: Millis, call: &ServerCall) -> ServerReply {
        self.tick(now);
        if self.is_down() || now < self.refuses_until {
            return ServerReply::Unreachable;
        }
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
                payload,
                lease_expires_at,
            } => {
                let work = payload.parse().map_or(self.work, Millis);
                let reply = self.start(now, (*task, *run), work, *lease_expires_at);
                self.crash_if_due(now);
                if self.is_down() {
                    return ServerReply::Disconnected;
                }
                reply
            }
            ServerCallKind::Stop { task, run } => {
                self.revoke(*task, *run);
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
                for span in self.spans.iter_mut().filter(|s| s.ended_at.is_some()) {
                    span.confirmed |= span.end_number <= *acknowledged && !span.lapsed;
                }
                if let Some(expires_at) = lease_expires_at {
                    self.lease_expires_at = self.lease_expires_at.max(*expires_at);
                }
                ServerReply::HoldReply(self.hold_reply(now))
            }
        }
    }

    /// Makes sure that neither this run nor an earlier one of the task starts from now on.
    pub fn revoke(&mut self, task: TaskId, run: RunId) {
        let highest = self.highest_runs.entry(task).or_insert(run);
        *highest = (*highest).max(run);
    }

    fn start(
        &mut self,
        now: Millis,
        key: (TaskId, RunId),
        work: Millis,
        expires_at: Millis,
    ) -> ServerReply {
        if self.running.contains_key(&key) {
            return ServerReply::Started {
                clock: self.clock(now),
            };
        }
        if expires_at < self.clock(now) {
            return ServerReply::Denied(Denial::Stale);
        }
        self.lease_expires_at = self.lease_expires_at.max(expires_at);
        if self
            .highest_runs
            .get(&key.0)
            .is_some_and(|highest| key.1 <= *highest)
        {
            return ServerReply::Denied(Denial::Stale);
        }
        self.revoke(key.0, key.1);
        let mut other_lengths = self.other_lengths.iter();
        let other = other_lengths.find(|(task, _)| *task == key.0);
        let active = ActiveRun {
            started_at: now,
            ends_at: now + other.map_or(work, |(_, length)| *length),
        };
        self.running.insert(key, active);
        self.spans.push(Span {
            task: key.0,
            run: key.1,
            started_at: now,
            ended_at: None,
            outcome: None,
            confirmed: false,
            end_number: 0,
            lapsed: false,
        });
        ServerReply::Started {
            clock: self.clock(now),
        }
    }

    fn hold_reply(&self, now: Millis) -> HoldReply {
        let percent = |active: &ActiveRun| {
            let length = active.ends_at.since(active.started_at).0;
            let done = self.clock_of_work(now).since(active.started_at).0 * 100 / length.max(1);
            u32::try_from(if self.is_hung { 0 } else { done.min(99) }).unwrap_or(0)
        };
        HoldReply {
            clock: self.clock(now),
            started_at: Some(self.started_at),
            running: self
                .running
                .iter()
                .map(|((task, run), active)| (*task, *run, percent(active)))
                .collect(),
            ended: self.ends.iter().take(MAX_LISTED_ENDS).copied().collect(),
            may_have_more_ends: self.ends.len() >= MAX_LISTED_ENDS,
        }
    }
}
