//! The start gate: every task start of an agent passes through it.
//!
//! A task of a job starts at most once in one incarnation of an agent, even if messages are
//! delayed, duplicated or reordered. A refused dispatch stays refused under its dispatch number.

use super::chart::{Chart, ChartError};
use super::clock::Millis;
use super::ids::{DispatchNumber, Generation, Incarnation, JobKey};
use super::table::Table;
use super::task::{
    Admission, Dispatch, Lease, NotRunReason, TaskEvent, TaskState, TaskStatus, Verdict,
};

const TASK_CHART: &str = include_str!("../../charts/task.toml");

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct StartRecord {
    number: DispatchNumber,
    generation: Generation,
    entry: Incarnation,
    status: TaskStatus,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Ledger {
    fence: Generation,
    // Time of the last message or task end that concerned the job.
    last_used_at: Millis,
    // True once the control group has recorded the job's outcome.
    outcome_recorded: bool,
    tasks: Table<u32, StartRecord>,
}

/// A rule of the gate. Each can be disabled, so that a model checker can show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StartGuard {
    /// Refuses dispatches that are addressed to another incarnation of the agent.
    Incarnation,
    /// Refuses dispatches from entries that were declared dead.
    DeadEntry,
    /// Refuses dispatches of an older generation than the newest known one of the job.
    Generation,
    /// Refuses dispatches whose start window has closed.
    Window,
    /// Refuses to start without a valid lease.
    Lease,
    /// Keeps refusals on record, so that a repeated dispatch is refused again.
    Refusals,
    /// Reports a dispatch as possibly run once its ledger entry may have been pruned.
    Memory,
}

/// The ledger of all starts of one agent incarnation, and the rules that decide on new ones.
#[derive(Debug, Clone)]
pub struct StartGate {
    incarnation: Incarnation,
    lease: Lease,
    leaving: bool,
    dead: Vec<Incarnation>,
    jobs: Table<JobKey, Ledger>,
    chart: Chart<TaskState, TaskEvent>,
    // Jobs without activity for longer than this may have been pruned.
    memory: Millis,
    // Rules that are disabled; empty except in a model checker.
    disabled: Vec<StartGuard>,
}

impl StartGate {
    /// Creates a gate with an empty ledger and no lease.
    ///
    /// ```
    /// use fulmardrift::{StartGate, Incarnation};
    /// let gate = StartGate::new(Incarnation(7)).unwrap();
    /// assert_eq!(gate.incarnation(), Incarnation(7));
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if `charts/task.toml` cannot be parsed or is ambiguous.
    pub fn new(incarnation: Incarnation) -> Result<Self, ChartError> {
        Ok(Self {
            incarnation,
            lease: Lease::default(),
            leaving: false,
            dead: Vec::new(),
            jobs: Table::default(),
            chart: Chart::parse(TASK_CHART)?,
            memory: Millis(u64::MAX),
            disabled: Vec::new(),
        })
    }

    /// The agent incarnation whose starts this gate decides.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Adopts a lease. One of an older revision is ignored, and the expiry never moves back.
    ///
    /// ```
    /// use fulmardrift::{StartGate, Incarnation, Lease, Millis, Revision};
    /// let mut gate = StartGate::new(Incarnation(1)).unwrap();
    /// let new = Lease { revision: Revision(2), expires_at: Millis(9), ..Lease::default() };
    /// gate.renew(new);
    /// gate.renew(Lease { revision: Revision(1), expires_at: Millis(99), ..Lease::default() });
    /// assert_eq!(gate.lease(), new);
    /// ```
    pub fn renew(&mut self, lease: Lease) {
        if lease.revision < self.lease.revision {
            return;
        }
        let expires_at = self.lease.expires_at.max(lease.expires_at);
        self.lease = Lease {
            expires_at,
            ..lease
        };
    }

    /// Disables a rule, so that a model checker can show that it is needed.
    pub fn disable(&mut self, guard: StartGuard) {
        self.disabled.push(guard);
    }

    fn is_enabled(&self, guard: StartGuard) -> bool {
        !self.disabled.contains(&guard)
    }

    /// The current lease, which may have expired.
    #[must_use]
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// While `leaving` is true, no task starts: new dispatches are refused when they are offered,
    /// queued ones when they would start.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Refuses from now on to start any task for an entry that was declared dead.
    pub fn mark_dead(&mut self, entry: Incarnation) {
        if let Err(i) = self.dead.binary_search(&entry) {
            self.dead.insert(i, entry);
        }
    }

    /// The first rule that forbids starting `dispatch` at `now`, or `None` if it may start.
    fn refusal_reason(&self, now: Millis, dispatch: &Dispatch) -> Option<NotRunReason> {
        let fence = self
            .jobs
            .get(&dispatch.job)
            .map_or(Generation(0), |l| l.fence);
        if dispatch.agent != self.incarnation && self.is_enabled(StartGuard::Incarnation) {
            Some(NotRunReason::OtherAgent)
        } else if self.is_enabled(StartGuard::DeadEntry)
            && self.dead.binary_search(&dispatch.entry).is_ok()
        {
            Some(NotRunReason::DeadEntry)
        } else if dispatch.generation < fence && self.is_enabled(StartGuard::Generation) {
            Some(NotRunReason::OldGeneration)
        } else if self.leaving {
            Some(NotRunReason::Leaving)
        } else if now > dispatch.stamp + self.lease.window && self.is_enabled(StartGuard::Window) {
            Some(NotRunReason::WindowClosed)
        } else if now >= self.lease.expires_at && self.is_enabled(StartGuard::Lease) {
            Some(NotRunReason::NoLease)
        } else if !self.lease.allowed {
            Some(NotRunReason::Out)
        } else {
            None
        }
    }

    /// Decides on a dispatch and records the decision.
    ///
    /// `credit` tells whether the entry held a slot credit for it. An admitted task is queued;
    /// the backend server may be called only after [`StartGate::start`] has returned true for it.
    ///
    /// # Errors
    ///
    /// Fails if the task chart has no transition for the decision. Nothing is recorded then.
    pub fn offer(
        &mut self,
        now: Millis,
        dispatch: &Dispatch,
        credit: bool,
    ) -> Result<Admission, ChartError> {
        if dispatch.agent != self.incarnation && self.is_enabled(StartGuard::Incarnation) {
            // Nothing is recorded: the dispatch belongs in another incarnation's ledger.
            return Ok(Admission::Refused(NotRunReason::OtherAgent));
        }
        if let Some(status) = self.recorded_status(dispatch) {
            return Ok(Admission::Known(status));
        }
        if self.may_be_pruned(now, dispatch) {
            return Ok(Admission::Known(pruned_status()));
        }
        let refusal = match self.refusal_reason(now, dispatch) {
            None if !credit => Some(NotRunReason::NoCredit),
            other => other,
        };
        if let Some(reason) = refusal {
            self.record_status(now, dispatch, TaskEvent::Refuse, TaskStatus::NotRun(reason))?;
            Ok(Admission::Refused(reason))
        } else {
            self.record_status(now, dispatch, TaskEvent::Queue, TaskStatus::Queued)?;
            Ok(Admission::Admitted)
        }
    }

    /// True if the ledger may already have pruned a start under this dispatch, so that "not run"
    /// would be a guess.
    fn may_be_pruned(&self, now: Millis, dispatch: &Dispatch) -> bool {
        self.is_enabled(StartGuard::Memory) && now.since(dispatch.stamp) > self.memory
    }

    /// True if [`StartGate::offer`] would answer from the ledger.
    #[must_use]
    pub fn is_known(&self, dispatch: &Dispatch) -> bool {
        self.recorded_status(dispatch).is_some()
    }

    /// The recorded status of the task, or `None` if `dispatch` is newer than a recorded refusal.
    fn recorded_status(&self, dispatch: &Dispatch) -> Option<TaskStatus> {
        let record = self.jobs.get(&dispatch.job)?.tasks.get(&dispatch.task)?;
        let is_newer = (dispatch.generation, dispatch.number) > (record.generation, record.number);
        match record.status {
            TaskStatus::NotRun(_) if is_newer || !self.is_enabled(StartGuard::Refusals) => None,
            _ => Some(record.status.clone()),
        }
    }

    fn record_status(
        &mut self,
        now: Millis,
        dispatch: &Dispatch,
        event: TaskEvent,
        status: TaskStatus,
    ) -> Result<(), ChartError> {
        let ledger = self.jobs.or_insert_with(dispatch.job.clone(), || Ledger {
            fence: dispatch.generation,
            last_used_at: now,
            outcome_recorded: false,
            tasks: Table::default(),
        });
        let state = match ledger.tasks.get(&dispatch.task) {
            None => TaskState::Absent,
            Some(record) => record.status.state(),
        };
        self.chart.next(state, event)?;
        ledger.last_used_at = now;
        ledger.fence = ledger.fence.max(dispatch.generation);
        ledger.tasks.insert(
            dispatch.task,
            StartRecord {
                number: dispatch.number,
                generation: dispatch.generation,
                entry: dispatch.entry,
                status,
            },
        );
        Ok(())
    }

    /// Applies the rules to a queued task again, just before it starts.
    ///
    /// Returns true if the start is recorded and the caller must now call the backend server.
    /// Returns false if the task was refused or is not queued.
    ///
    /// # Errors
    ///
    /// Fails if the task chart has no transition from the queued state for the decision.
    pub fn start(&mut self, now: Millis, dispatch: &Dispatch) -> Result<bool, ChartError> {
        if self.state(&dispatch.job, dispatch.task) != TaskState::Queued {
            return Ok(false);
        }
        if let Some(reason) = self.refusal_reason(now, dispatch) {
            self.record_status(now, dispatch, TaskEvent::Refuse, TaskStatus::NotRun(reason))?;
            Ok(false)
        } else {
            self.record_status(now, dispatch, TaskEvent::Start, TaskStatus::Running)?;
            Ok(true)
        }
    }

    fn state(&self, job: &JobKey, task: u32) -> TaskState {
        match self.status(job, task) {
            None => TaskState::Absent,
            Some(status) => status.state(),
        }
    }

    /// The recorded status of a task, or `None` if no dispatch of it was recorded.
    #[must_use]
    pub fn status(&self, job: &JobKey, task: u32) -> Option<&TaskStatus> {
        Some(&self.jobs.get(job)?.tasks.get(&task)?.status)
    }

    /// Records how a running task ended. Returns the verdict and the entry to send it to.
    ///
    /// # Errors
    ///
    /// Fails if the task is not running.
    pub fn finish(
        &mut self,
        now: Millis,
        job: &JobKey,
        task: u32,
        status: TaskStatus,
    ) -> Result<(Incarnation, Verdict), ChartError> {
        let event = match status {
            TaskStatus::Done { .. } => TaskEvent::Finish,
            TaskStatus::NotRun(_) => TaskEvent::Refuse,
            _ => TaskEvent::Fail,
        };
        if self.state(job, task) != TaskState::Running {
            return super::chart::UndefinedSnafu {
                state: "not running",
                event: "finish",
            }
            .fail();
        }
        self.chart.next(self.state(job, task), event)?;
        let agent = self.incarnation;
        let ledger = self.jobs.get_mut(job);
        let Some((last_used_at, record)) =
            ledger.and_then(|l| Some((&mut l.last_used_at, l.tasks.get_mut(&task)?)))
        else {
            return super::chart::UndefinedSnafu {
                state: "absent",
                event: "finish",
            }
            .fail();
        };
        *last_used_at = now;
        record.status = status;
        let verdict = Verdict {
            number: record.number,
            job: job.clone(),
            task,
            generation: record.generation,
            agent,
            status: record.status.clone(),
        };
        Ok((record.entry, verdict))
    }

    /// The entry that will be sent the verdict of a task.
    #[must_use]
    pub fn recipient(&self, job: &JobKey, task: u32) -> Option<Incarnation> {
        Some(self.jobs.get(job)?.tasks.get(&task)?.entry)
    }

    /// Returns the status of a dispatch. One that has not arrived is recorded as withdrawn, so that
    /// it will not start if it arrives later.
    ///
    /// If the query comes from a newer owner of the job, that owner will be sent the task's
    /// verdict.
    ///
    /// # Errors
    ///
    /// Fails if the task chart has no transition for the withdrawal.
    pub fn ask(&mut self, now: Millis, dispatch: &Dispatch) -> Result<TaskStatus, ChartError> {
        if dispatch.agent != self.incarnation {
            return Ok(TaskStatus::NotRun(NotRunReason::OtherAgent));
        }
        let Some(status) = self.recorded_status(dispatch) else {
            if self.may_be_pruned(now, dispatch) {
                return Ok(pruned_status());
            }
            let status = TaskStatus::NotRun(NotRunReason::Withdrawn);
            self.record_status(now, dispatch, TaskEvent::Refuse, status.clone())?;
            return Ok(status);
        };
        if let Some(ledger) = self.jobs.get_mut(&dispatch.job)
            && let Some(record) = ledger.tasks.get_mut(&dispatch.task)
            && dispatch.generation > record.generation
        {
            ledger.fence = ledger.fence.max(dispatch.generation);
            record.generation = dispatch.generation;
            record.number = dispatch.number;
            record.entry = dispatch.entry;
        }
        Ok(status)
    }

    /// Withdraws the queued tasks of a job that were dispatched under `generation` or an older one.
    ///
    /// Returns their verdicts, each with the entry to send it to.
    pub fn cancel(
        &mut self,
        now: Millis,
        job: &JobKey,
        generation: Generation,
    ) -> Vec<(Incarnation, Verdict)> {
        let agent = self.incarnation;
        let Some(ledger) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        ledger.last_used_at = now;
        let mut withdrawn = Vec::new();
        for (task, record) in ledger.tasks.iter_mut() {
            if record.status != TaskStatus::Queued || record.generation > generation {
                continue;
            }
            record.status = TaskStatus::NotRun(NotRunReason::Withdrawn);
            withdrawn.push((
                record.entry,
                Verdict {
                    number: record.number,
                    job: job.clone(),
                    task: *task,
                    generation: record.generation,
                    agent,
                    status: record.status.clone(),
                },
            ));
        }
        withdrawn
    }

    /// Refuses all generations of a job below `generation` from now on, and lists its tasks.
    ///
    /// Queued tasks of an older generation are withdrawn.
    pub fn inventory(&mut self, now: Millis, job: &JobKey, generation: Generation) -> Vec<Verdict> {
        let agent = self.incarnation;
        let ledger = self.jobs.or_insert_with(job.clone(), || Ledger {
            fence: generation,
            last_used_at: now,
            outcome_recorded: false,
            tasks: Table::default(),
        });
        ledger.last_used_at = now;
        ledger.fence = ledger.fence.max(generation);
        let mut tasks = Vec::new();
        for (task, record) in ledger.tasks.iter_mut() {
            if record.status == TaskStatus::Queued && record.generation < generation {
                record.status = TaskStatus::NotRun(NotRunReason::OldGeneration);
            }
            tasks.push(Verdict {
                number: record.number,
                job: job.clone(),
                task: *task,
                generation: record.generation,
                agent,
                status: record.status.clone(),
            });
        }
        tasks
    }

    /// Notes that the control group has recorded the job's outcome, so its results may be pruned
    /// earlier.
    pub fn mark_recorded(&mut self, job: &JobKey) {
        if let Some(ledger) = self.jobs.get_mut(job) {
            ledger.outcome_recorded = true;
        }
    }

    /// Removes jobs without activity for `keep_settled` if their outcome is recorded, for
    /// `keep_unsettled` otherwise. Both are raised to twice the start window, so that no delayed
    /// dispatch of a removed job can still start. Jobs with an unfinished task are kept.
    ///
    /// From the first call on, a dispatch that is not on record and whose stamp is older than the
    /// shorter time is reported as possibly run.
    pub fn prune(&mut self, now: Millis, keep_settled: Millis, keep_unsettled: Millis) {
        let window = self.lease.window;
        self.memory = self
            .memory
            .min(keep_settled.min(keep_unsettled).max(window + window));
        self.jobs.retain(|_, ledger| {
            let age = now.since(ledger.last_used_at);
            let keep = if ledger.outcome_recorded {
                keep_settled
            } else {
                keep_unsettled
            };
            let is_unfinished = ledger.tasks.iter().any(|(_, r)| !r.status.is_final());
            is_unfinished || age <= keep.max(window + window)
        });
    }

    /// Number of jobs in the ledger.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }
}

/// The status reported for a dispatch so old that its start may have been pruned.
fn pruned_status() -> TaskStatus {
    TaskStatus::Failed {
        reason: "no longer on record, it may have run".to_owned(),
        run: Millis(0),
    }
}
