//! A dispatcher's view of an agent with its backend server and worker.

use super::load::pace;
use super::replicated_state::RunEnd;
use super::spec::{QueueKey, Resources, RunId, TaskId};
use super::wire::Server;
use crate::core::clock::Millis;
use crate::core::table::Table;

/// Index of a worker in its dispatcher's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerId(pub(crate) usize);

/// Identifies a session within one control instance or entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Weight of the latest run in a worker's pace, between two reports of its agent.
const PACE_WEIGHT: f64 = 0.1;
/// A run that takes at most this much longer than expected, as a part of that, is on time: declared
/// times are off by up to 0.4.
const ON_TIME: f64 = 0.7;
/// Number of consecutive failures after which a worker is paused.
const MAX_FAILURES: u32 = 3;
/// First and longest pause of a failing worker, in milliseconds; each further failure doubles it.
const FIRST_PAUSE: Millis = Millis(500);
const MAX_PAUSE: Millis = Millis(4_000);
/// Longest trial of a failing worker, in milliseconds, and longest wait for runs before that: a run that
/// has lasted for so long shows that the worker does not fail at once what it starts.
const MAX_TRIAL: Millis = Millis(1_000);
/// How long a worker that reported no free resources is passed over, in milliseconds, unless it
/// reports other dispatchers' usage before.
const FULL_FOR: Millis = Millis(30);
/// A worker gets no new runs after this long without a message, in milliseconds; several heartbeats
/// fit in.
const UNRESPONSIVE_AFTER: Millis = Millis(700);

/// A run that holds resources on a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PlacedRun {
    pub(crate) need: Resources,
    /// When the run was ordered, or first seen in an inventory.
    pub(crate) ordered_at: Millis,
    /// When the agent reported that it had started.
    pub(crate) started_at: Option<Millis>,
    /// Expected duration on this worker.
    pub(crate) expected: Millis,
    /// Expected duration on an average worker: the caller's estimate times the queue's duration
    /// ratio.
    pub(crate) nominal: Millis,
    /// Latest reported progress in percent, and when it was reported.
    pub(crate) progress: Option<(u32, Millis)>,
    /// When a report last showed more progress than the one before.
    pub(crate) advanced_at: Option<Millis>,
    pub(crate) stopping: bool,
    /// Its task was suspected of a crash when it was ordered.
    pub(crate) suspect: bool,
}

impl PlacedRun {
    /// Stores a report of the run's progress in percent.
    pub(crate) fn record_progress(&mut self, now: Millis, percent: u32) {
        let former = self.progress.map_or(0, |(former, _)| former);
        if percent > former {
            self.advanced_at = Some(now);
        }
        self.progress = Some((percent, now));
    }
}

/// A run that shows whether a failing worker goes on failing.
#[derive(Debug)]
struct Trial {
    run: (TaskId, RunId),
    until: Millis,
}

/// Where the figure of what other dispatchers use comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UsageSource {
    /// The agent has reported nothing yet.
    Assumed,
    /// Still assumed; what the agent first reported counts from this time on.
    First(Millis, Resources),
    /// The agent's latest report.
    Reported,
}

/// A worker, known by the name of its agent.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) agent: String,
    pub(crate) session: Option<SessionId>,
    /// The agent has sent its inventory over the current session.
    pub(crate) has_inventory: bool,
    /// The log names the agent, so that a later leader waits for its inventory.
    pub(crate) enrolled: bool,
    pub(crate) server: Option<Server>,
    /// Resources used by this dispatcher's runs, and by those of other dispatchers.
    pub(crate) used: Resources,
    pub(crate) other_usage: Resources,
    usage_source: UsageSource,
    pub(crate) runs: Table<(TaskId, RunId), PlacedRun>,
    /// Number of runs here whose tasks are suspected of a crash.
    pub(crate) suspects: u32,
    /// When the last message from the agent arrived.
    pub(crate) last_heard_at: Millis,
    /// When the agent's grant was last renewed.
    pub(crate) last_granted_at: Millis,
    /// The agent's clock at its latest heartbeat on this session that renewed no grant.
    pub(crate) heartbeat_at: Option<Millis>,
    /// Mean ratio of a run's duration here to that on an average worker; below 1 is faster.
    pub(crate) pace: f64,
    /// When a run last ended here in about its expected time.
    pub(crate) on_time_at: Option<Millis>,
    // The worker reported that it has no free resources; it is passed over until this time.
    full_until: Millis,
    /// Runs stand still there, as its agent reported.
    pub(crate) ejected: bool,
    /// The incarnation of the backend server that crashed or cannot be reached.
    pub(crate) ended_life: Option<u64>,
    /// When a backend server here last crashed.
    pub(crate) crashed_at: Option<Millis>,
    /// The isolated queue that it is kept for.
    pub(crate) kept_for: Option<QueueKey>,
    // Consecutive failures, when the last of them was, the end of the pause that followed from them,
    // and the first run since.
    failures_in_a_row: u32,
    failed_at: Millis,
    paused_until: Millis,
    trial: Option<Trial>,
    // Highest number among the ends received, and the ends whose record is not yet committed.
    last_end_number: u64,
    unrecorded: Vec<(u64, TaskId, RunId)>,
}

impl Worker {
    pub(crate) fn new(agent: &str, now: Millis) -> Self {
        Self {
            agent: agent.to_owned(),
            session: None,
            has_inventory: false,
            enrolled: false,
            server: None,
            used: Resources::default(),
            other_usage: Resources::default(),
            usage_source: UsageSource::Assumed,
            runs: Table::default(),
            suspects: 0,
            last_heard_at: now,
            last_granted_at: now,
            heartbeat_at: None,
            pace: 1.0,
            on_time_at: None,
            full_until: Millis(0),
            ejected: false,
            ended_life: None,
            crashed_at: None,
            kept_for: None,
            failures_in_a_row: 0,
            failed_at: Millis(0),
            paused_until: Millis(0),
            trial: None,
            last_end_number: 0,
            unrecorded: Vec::new(),
        }
    }

    /// The backend server, if it accepts new runs.
    pub(crate) fn available_server(&self, now: Millis) -> Option<&Server> {
        self.able_server(now).filter(|_| now >= self.full_until)
    }

    /// The backend server, if it accepts new runs once it has free resources.
    pub(crate) fn able_server(&self, now: Millis) -> Option<&Server> {
        self.open_server(now).filter(|_| now >= self.paused_until)
    }

    /// The backend server, if it could run something, even if it fails what it starts.
    pub(crate) fn open_server(&self, now: Millis) -> Option<&Server> {
        let open =
            self.has_inventory && self.enrolled && !self.is_down() && self.is_responsive(now);
        let server = self.server.as_ref()?;
        (open && !server.leaving).then_some(server)
    }

    /// Returns true if the agent has a session and a message arrived recently.
    pub(crate) fn is_responsive(&self, now: Millis) -> bool {
        self.session.is_some() && now.since(self.last_heard_at) < UNRESPONSIVE_AFTER
    }

    /// Returns true from a crash of the backend server on, until another incarnation takes its place,
    /// or while it cannot be reached.
    pub(crate) fn is_down(&self) -> bool {
        self.ended_life == Some(self.life())
    }

    /// Notes that an incarnation of the backend server has crashed; the same crash may be reported
    /// again, and one of a former incarnation to an entry that has just connected.
    pub(crate) fn record_crash(&mut self, now: Millis, life: u64) {
        if self.ended_life != Some(life) && life == self.life() {
            self.crashed_at = Some(now);
        }
        self.ended_life = Some(life);
    }

    /// True if a backend server here crashed at most this long ago.
    pub(crate) fn crashed_within(&self, now: Millis, time: Millis) -> bool {
        self.crashed_at.is_some_and(|at| now.since(at) < time)
    }

    pub(crate) fn life(&self) -> u64 {
        self.server.as_ref().map_or(0, |s| s.life)
    }

    /// Replaces the backend server. Another incarnation numbers its ends from the start.
    pub(crate) fn set_server(&mut self, server: Option<Server>) {
        let life = server.as_ref().map_or(0, |s| s.life);
        if life != self.life() {
            self.last_end_number = 0;
            self.unrecorded.clear();
            self.record_success();
            self.paused_until = Millis(0);
            self.ejected = false;
        }
        // An agent reports a crash again after this, if the process is still gone.
        self.ended_life = None;
        self.server = server;
    }

    pub(crate) fn add_run(&mut self, key: (TaskId, RunId), placed: PlacedRun) {
        if self.runs.insert(key, placed).is_none() {
            self.used.add(placed.need);
            self.suspects += u32::from(placed.suspect);
        }
    }

    pub(crate) fn remove_run(&mut self, key: (TaskId, RunId)) -> Option<PlacedRun> {
        let placed = self.runs.remove(&key)?;
        self.trial.take_if(|trial| trial.run == key);
        self.used.remove(placed.need);
        self.suspects -= u32::from(placed.suspect);
        Some(placed)
    }

    /// True if a run of another job here is suspected of a crash.
    pub(crate) fn has_suspect_beside(&self, task: TaskId) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|((other, _), placed)| placed.suspect && other.job != task.job)
    }

    /// Number of runs here that belong to the same step as `task`.
    pub(crate) fn count_of_step(&self, task: TaskId) -> usize {
        let same = |t: &TaskId| t.job == task.job && t.step == task.step;
        self.runs.iter().filter(|((t, _), _)| same(t)).count()
    }

    /// Notes a run that succeeded.
    pub(crate) fn record_success(&mut self) {
        self.failures_in_a_row = 0;
        self.trial = None;
    }

    /// Updates the pace from the deviation of a run that succeeded.
    pub(crate) fn record_deviation(&mut self, now: Millis, deviation: f64) {
        self.pace = pace::correct(self.pace, deviation, PACE_WEIGHT);
        if deviation <= ON_TIME {
            self.on_time_at = Some(now);
        }
    }

    /// True if a run ended on time here at most this long ago.
    pub(crate) fn was_on_time_within(&self, now: Millis, time: Millis) -> bool {
        self.on_time_at.is_some_and(|at| now.since(at) <= time)
    }

    /// The worker had no free resources for an order, or may not start runs for now. Returns when
    /// it may be tried again.
    pub(crate) fn mark_full(&mut self, now: Millis) -> Millis {
        self.full_until = now + FULL_FOR;
        self.full_until
    }

    /// When the worker may be tried again, if it is passed over for having no free resources.
    pub(crate) fn full_until(&self, now: Millis) -> Option<Millis> {
        (self.full_until > now).then_some(self.full_until)
    }

    /// Stores what other dispatchers' runs use, as the agent reported it. Returns true if more may
    /// fit than before.
    ///
    /// A first report of less than was assumed counts a while later: it comes before the first
    /// orders of the other entries, and goes to all of them.
    pub(crate) fn set_other_usage(&mut self, now: Millis, usage: Resources) -> bool {
        if self.usage_source == UsageSource::Assumed && self.other_usage.exceeds(usage) {
            self.usage_source = UsageSource::First(now + FULL_FOR, usage);
            return false;
        }
        self.usage_source = UsageSource::Reported;
        let was_full = self.full_until > Millis(0);
        let former = std::mem::replace(&mut self.other_usage, usage);
        self.full_until = Millis(0);
        was_full || former.exceeds(usage)
    }

    /// Sets what other dispatchers are assumed to use, unless the agent has reported it.
    pub(crate) fn assume_usage(&mut self, usage: Resources) {
        if self.usage_source == UsageSource::Assumed {
            self.other_usage = usage;
        }
    }

    /// Applies an agent's first report once it is due.
    pub(crate) fn apply_first_usage(&mut self, now: Millis) {
        if let UsageSource::First(at, usage) = self.usage_source
            && now >= at
        {
            self.set_other_usage(now, usage);
        }
    }

    /// Counts a failure, and pauses the worker after several consecutive ones.
    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.trial = None;
        self.failed_at = now;
        self.failures_in_a_row += 1;
        let Some(beyond) = self.failures_in_a_row.checked_sub(MAX_FAILURES) else {
            return;
        };
        let pause = Millis(FIRST_PAUSE.0 << beyond.min(4)).min(MAX_PAUSE);
        self.paused_until = now + pause;
    }

    /// True if the last run that ended here failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures_in_a_row > 0
    }

    /// Makes a run that was just ordered the trial of a failing worker. Runs that were ordered before
    /// the failure do not show whether the worker goes on failing.
    pub(crate) fn start_trial(&mut self, now: Millis, run: (TaskId, RunId)) {
        if self.is_failing() && self.trial.is_none() {
            let until = now + MAX_TRIAL;
            self.trial = Some(Trial { run, until });
        }
    }

    /// True while a failing worker gets no other run: during its trial, and before that while it may be
    /// about to fail what it had when it failed last. A worker that fails all at once would else take
    /// all the work that waits.
    pub(crate) fn is_on_trial(&self, now: Millis) -> bool {
        if let Some(trial) = &self.trial {
            return now < trial.until;
        }
        let has_failed_lately = now.since(self.failed_at) < MAX_TRIAL;
        self.is_failing() && has_failed_lately && !self.runs.is_empty()
    }

    /// Returns true if no end with this number or a higher one has been received.
    pub(crate) fn is_new_end(&self, number: u64) -> bool {
        number > self.last_end_number
    }

    pub(crate) fn note_end_number(&mut self, number: u64) {
        self.last_end_number = self.last_end_number.max(number);
    }

    pub(crate) fn add_unrecorded(&mut self, number: u64, end: &RunEnd) {
        self.unrecorded.push((number, end.task, end.run));
    }

    /// Notes that an end is recorded. Returns true if that end was reported by this worker.
    pub(crate) fn mark_recorded(&mut self, end: &RunEnd) -> bool {
        let before = self.unrecorded.len();
        self.unrecorded
            .retain(|(_, task, run)| (*task, *run) != (end.task, end.run));
        before != self.unrecorded.len()
    }

    /// Treats all ends as recorded.
    pub(crate) fn clear_unrecorded(&mut self) {
        self.unrecorded.clear();
    }

    /// All ends up to this number need no further reports.
    pub(crate) fn recorded_up_to(&self) -> u64 {
        match self.unrecorded.first() {
            Some((number, _, _)) => number - 1,
            None => self.last_end_number,
        }
    }
}
