//! What the leader knows of an agent, its backend server and its worker.

use super::replicated_state::RunEnd;
use super::spec::{Resources, RunId, TaskId};
use super::wire::Server;
use crate::core::clock::Millis;
use crate::core::table::Table;

/// A worker's number within one leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerId(pub(crate) usize);

/// A session's number within one control instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Weight of the latest run in a worker's learned pace.
const PACE_WEIGHT: f64 = 0.15;
/// Bounds of a single run's weight: one odd run must not hide a worker.
const PACE_BOUNDS: (f64, f64) = (0.25, 6.0);
/// Failures in a row after which a worker is left alone.
const TRIP_AFTER: u32 = 3;
/// First and longest time that a tripped worker is left alone.
const TRIP_FIRST: Millis = Millis(500);
const TRIP_LONGEST: Millis = Millis(4_000);
/// A worker that said that it has no room is asked again after this, or when it
/// reports what others use.
const FULL_FOR: Millis = Millis(30);
/// A worker is given nothing new when it has not been heard for so long; several
/// heartbeats fit in.
const QUIET_AFTER: Millis = Millis(700);

/// A run that takes room on a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PlacedRun {
    pub(crate) need: Resources,
    /// When it was ordered, or first seen.
    pub(crate) ordered: Millis,
    /// When the agent said that it had started.
    pub(crate) started: Option<Millis>,
    /// Expected duration on this worker.
    pub(crate) expected: Millis,
    /// The caller's estimate times what its queue taught.
    pub(crate) nominal: Millis,
    /// The latest report of its progress in percent, with the time of that.
    pub(crate) progress: Option<(u32, Millis)>,
    pub(crate) stopping: bool,
}

/// A worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) agent: String,
    pub(crate) session: Option<SessionId>,
    /// The agent has given its inventory over the current session.
    pub(crate) ready: bool,
    /// The log names the agent, so that a later leader waits for it.
    pub(crate) enrolled: bool,
    pub(crate) server: Option<Server>,
    /// What this dispatcher's runs take, and what those of others do.
    pub(crate) used: Resources,
    pub(crate) others: Resources,
    pub(crate) runs: Table<(TaskId, RunId), PlacedRun>,
    /// When the agent was last heard.
    pub(crate) heard: Millis,
    /// When it was last granted the right to act.
    pub(crate) granted: Millis,
    /// Duration against the average worker's; below 1 is fast.
    pub(crate) pace: f64,
    // It said that it has no room; until when that is believed.
    full: Millis,
    // Failures in a row, and until when the worker is left alone for them.
    failures: u32,
    shunned: Millis,
    // Highest end taken, and those whose record is on its way.
    reported: u64,
    recording: Vec<(u64, TaskId, RunId)>,
}

impl Worker {
    pub(crate) fn new(agent: &str, now: Millis) -> Self {
        Self {
            agent: agent.to_owned(),
            session: None,
            ready: false,
            enrolled: false,
            server: None,
            used: Resources::default(),
            others: Resources::default(),
            runs: Table::default(),
            heard: now,
            granted: now,
            pace: 1.0,
            full: Millis(0),
            failures: 0,
            shunned: Millis(0),
            reported: 0,
            recording: Vec::new(),
        }
    }

    /// The backend server, when it can be given new work.
    pub(crate) fn open(&self, now: Millis) -> Option<&Server> {
        let able = self.ready && self.enrolled && self.is_heard(now);
        let server = self.server.as_ref()?;
        (able && !server.leaving && now >= self.shunned && now >= self.full).then_some(server)
    }

    /// True while its agent has a session and was heard lately.
    pub(crate) fn is_heard(&self, now: Millis) -> bool {
        self.session.is_some() && now.since(self.heard) < QUIET_AFTER
    }

    pub(crate) fn life(&self) -> u64 {
        self.server.as_ref().map_or(0, |s| s.life)
    }

    /// Takes another life of the backend server over: its numbers start anew.
    pub(crate) fn set_server(&mut self, server: Option<Server>) {
        let life = server.as_ref().map_or(0, |s| s.life);
        if life != self.life() {
            self.reported = 0;
            self.recording.clear();
            self.failures = 0;
            self.shunned = Millis(0);
        }
        self.server = server;
    }

    pub(crate) fn put(&mut self, key: (TaskId, RunId), placed: PlacedRun) {
        if self.runs.insert(key, placed).is_none() {
            self.used.add(placed.need);
        }
    }

    pub(crate) fn take(&mut self, key: (TaskId, RunId)) -> Option<PlacedRun> {
        let placed = self.runs.remove(&key)?;
        self.used.remove(placed.need);
        Some(placed)
    }

    /// Tasks of a step that hold room here.
    pub(crate) fn of_step(&self, task: TaskId) -> usize {
        let same = |t: &TaskId| t.job == task.job && t.step == task.step;
        self.runs.iter().filter(|((t, _), _)| same(t)).count()
    }

    /// Learns from a run that succeeded.
    pub(crate) fn succeeded(&mut self, now: Millis, placed: &PlacedRun) {
        self.failures = 0;
        let Some(started) = placed.started else {
            return;
        };
        let nominal = placed.nominal.as_f64().max(1.0);
        let ratio = now.since(started).as_f64() / nominal;
        let ratio = ratio.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.pace += (ratio - self.pace) * PACE_WEIGHT;
    }

    /// It had no room for an order, or is closed for now.
    pub(crate) fn is_full(&mut self, now: Millis) {
        self.full = now + FULL_FOR;
    }

    /// It told what other dispatchers' runs take.
    pub(crate) fn set_others(&mut self, others: Resources) {
        self.others = others;
        self.full = Millis(0);
    }

    /// Notes a failure; after some in a row the worker is left alone for a while.
    pub(crate) fn failed(&mut self, now: Millis) {
        self.failures += 1;
        let Some(beyond) = self.failures.checked_sub(TRIP_AFTER) else {
            return;
        };
        let pause = Millis(TRIP_FIRST.0 << beyond.min(4)).min(TRIP_LONGEST);
        self.shunned = now + pause;
    }

    /// True when the end with this number has not been taken yet.
    pub(crate) fn is_new_end(&self, number: u64) -> bool {
        number > self.reported
    }

    pub(crate) fn note_end(&mut self, number: u64) {
        self.reported = self.reported.max(number);
    }

    pub(crate) fn await_record(&mut self, number: u64, end: &RunEnd) {
        self.recording.push((number, end.task, end.run));
    }

    /// Notes that an end is on record; true when it was awaited here.
    pub(crate) fn recorded(&mut self, end: &RunEnd) -> bool {
        let before = self.recording.len();
        self.recording
            .retain(|(_, task, run)| (*task, *run) != (end.task, end.run));
        before != self.recording.len()
    }

    /// Takes all ends as recorded.
    pub(crate) fn forget_records(&mut self) {
        self.recording.clear();
    }

    /// All ends up to this number need no reporting any more.
    pub(crate) fn recorded_upto(&self) -> u64 {
        match self.recording.first() {
            Some((number, _, _)) => number - 1,
            None => self.reported,
        }
    }
}
