//! The start gate: the only place where a task can start.
//!
//! A task of a job starts at most once in one incarnation of an agent, whatever
//! is delayed, repeated or reordered on the way. What the gate has refused once
//! stays refused under that dispatch number.

use super::chart::{Chart, ChartError};
use super::clock::Millis;
use super::ids::{DispatchNumber, Generation, Incarnation, JobKey};
use super::table::Table;
use super::task::{
    Admission, Dispatch, Lease, NotRunReason, TaskEvent, TaskState, TaskStatus, Verdict,
};

const TASK_CHART: &str = include_str!("../../charts/task.toml");

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Record {
    number: DispatchNumber,
    generation: Generation,
    entry: Incarnation,
    status: TaskStatus,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Ledger {
    fence: Generation,
    // When the job was last heard of.
    touched: Millis,
    // True once control has the job's outcome.
    recorded: bool,
    tasks: Table<u32, Record>,
}

/// A rule of the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StartGuard {
    /// Refuse dispatches for another incarnation.
    Incarnation,
    /// Refuse dead entries.
    DeadEntry,
    /// Refuse older generations.
    Generation,
    /// Refuse after the start window.
    Window,
    /// Refuse without a fresh lease.
    Lease,
    /// Remember what was refused.
    Refusals,
    /// Admit that the ledger does not reach back for ever.
    Memory,
}

/// The ledger of all starts of one agent incarnation, and the rules of starting.
#[derive(Debug, Clone)]
pub struct StartGate {
    incarnation: Incarnation,
    lease: Lease,
    leaving: bool,
    dead: Vec<Incarnation>,
    jobs: Table<JobKey, Ledger>,
    chart: Chart<TaskState, TaskEvent>,
    // Jobs untouched for longer than this may have been dropped.
    memory: Millis,
    // Rules turned off; empty outside of a checker.
    off: Vec<StartGuard>,
}

impl StartGate {
    /// A gate with an empty ledger and no lease.
    ///
    /// ```
    /// use fulmardrift::{StartGate, Incarnation};
    /// let gate = StartGate::new(Incarnation(7)).unwrap();
    /// assert_eq!(gate.incarnation(), Incarnation(7));
    /// ```
    ///
    /// # Errors
    ///
    /// `charts/task.toml` is unusable.
    pub fn new(incarnation: Incarnation) -> Result<Self, ChartError> {
        Ok(Self {
            incarnation,
            lease: Lease::default(),
            leaving: false,
            dead: Vec::new(),
            jobs: Table::default(),
            chart: Chart::parse(TASK_CHART)?,
            memory: Millis(u64::MAX),
            off: Vec::new(),
        })
    }

    /// The agent incarnation whose starts this gate decides.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Takes a lease; revisions only go forward, and ends only move out.
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

    /// Turns a rule off, so that a checker can show that it is needed.
    pub fn disable(&mut self, guard: StartGuard) {
        self.off.push(guard);
    }

    fn on(&self, guard: StartGuard) -> bool {
        !self.off.contains(&guard)
    }

    /// The lease in hand, lapsed or not.
    #[must_use]
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// Refuses everything new while `leaving` is true.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Refuses whatever comes from a dead entry.
    pub fn mark_dead(&mut self, entry: Incarnation) {
        if let Err(i) = self.dead.binary_search(&entry) {
            self.dead.insert(i, entry);
        }
    }

    /// Why `dispatch` must not start at `now`, if anything speaks against it.
    fn objection(&self, now: Millis, dispatch: &Dispatch) -> Option<NotRunReason> {
        let fence = self
            .jobs
            .get(&dispatch.job)
            .map_or(Generation(0), |l| l.fence);
        if dispatch.agent != self.incarnation && self.on(StartGuard::Incarnation) {
            Some(NotRunReason::OtherAgent)
        } else if self.on(StartGuard::DeadEntry) && self.dead.binary_search(&dispatch.entry).is_ok()
        {
            Some(NotRunReason::DeadEntry)
        } else if dispatch.generation < fence && self.on(StartGuard::Generation) {
            Some(NotRunReason::OldGeneration)
        } else if self.leaving {
            Some(NotRunReason::Leaving)
        } else if now > dispatch.stamp + self.lease.window && self.on(StartGuard::Window) {
            Some(NotRunReason::WindowClosed)
        } else if now >= self.lease.expires_at && self.on(StartGuard::Lease) {
            Some(NotRunReason::NoLease)
        } else if !self.lease.allowed {
            Some(NotRunReason::Out)
        } else {
            None
        }
    }

    /// Decides on a dispatch and writes the decision down.
    ///
    /// `credit` says whether the entry held a slot credit for it. An admitted
    /// task is queued; [`StartGate::start`] must let it through before the backend
    /// server is called.
    ///
    /// # Errors
    ///
    /// The task's chart has no transition for this: the dispatch is not taken.
    pub fn offer(
        &mut self,
        now: Millis,
        dispatch: &Dispatch,
        credit: bool,
    ) -> Result<Admission, ChartError> {
        if dispatch.agent != self.incarnation && self.on(StartGuard::Incarnation) {
            // Another life's ledger is not this one's to write.
            return Ok(Admission::Refused(NotRunReason::OtherAgent));
        }
        if let Some(known) = self.known(dispatch) {
            return Ok(Admission::Known(known));
        }
        if self.is_forgotten(now, dispatch) {
            return Ok(Admission::Known(forgotten()));
        }
        let objection = match self.objection(now, dispatch) {
            None if !credit => Some(NotRunReason::NoCredit),
            other => other,
        };
        if let Some(reason) = objection {
            self.write(now, dispatch, TaskEvent::Refuse, TaskStatus::NotRun(reason))?;
            Ok(Admission::Refused(reason))
        } else {
            self.write(now, dispatch, TaskEvent::Queue, TaskStatus::Queued)?;
            Ok(Admission::Admitted)
        }
    }

    /// True when a start under this dispatch may have been dropped from the ledger,
    /// so that "not run" would be a guess.
    fn is_forgotten(&self, now: Millis, dispatch: &Dispatch) -> bool {
        self.on(StartGuard::Memory) && now.since(dispatch.stamp) > self.memory
    }

    /// True when [`StartGate::offer`] would answer from the ledger.
    #[must_use]
    pub fn is_known(&self, dispatch: &Dispatch) -> bool {
        self.known(dispatch).is_some()
    }

    /// The fate on record, unless `dispatch` is newer than a refusal.
    fn known(&self, dispatch: &Dispatch) -> Option<TaskStatus> {
        let record = self.jobs.get(&dispatch.job)?.tasks.get(&dispatch.task)?;
        let newer = (dispatch.generation, dispatch.number) > (record.generation, record.number);
        match record.status {
            TaskStatus::NotRun(_) if newer || !self.on(StartGuard::Refusals) => None,
            _ => Some(record.status.clone()),
        }
    }

    fn write(
        &mut self,
        now: Millis,
        dispatch: &Dispatch,
        event: TaskEvent,
        status: TaskStatus,
    ) -> Result<(), ChartError> {
        let ledger = self.jobs.or_insert_with(dispatch.job.clone(), || Ledger {
            fence: dispatch.generation,
            touched: now,
            recorded: false,
            tasks: Table::default(),
        });
        let state = match ledger.tasks.get(&dispatch.task) {
            None => TaskState::Absent,
            Some(record) => record.status.state(),
        };
        self.chart.next(state, event)?;
        ledger.touched = now;
        ledger.fence = ledger.fence.max(dispatch.generation);
        ledger.tasks.insert(
            dispatch.task,
            Record {
                number: dispatch.number,
                generation: dispatch.generation,
                entry: dispatch.entry,
                status,
            },
        );
        Ok(())
    }

    /// Lets a queued task through to the backend server, or refuses it.
    ///
    /// True means: the start is on record, call the backend server now.
    ///
    /// # Errors
    ///
    /// The task is not queued, so the chart has no transition.
    pub fn start(&mut self, now: Millis, dispatch: &Dispatch) -> Result<bool, ChartError> {
        if self.state(&dispatch.job, dispatch.task) != TaskState::Queued {
            return Ok(false);
        }
        if let Some(reason) = self.objection(now, dispatch) {
            self.write(now, dispatch, TaskEvent::Refuse, TaskStatus::NotRun(reason))?;
            Ok(false)
        } else {
            self.write(now, dispatch, TaskEvent::Start, TaskStatus::Running)?;
            Ok(true)
        }
    }

    fn state(&self, job: &JobKey, task: u32) -> TaskState {
        match self.status(job, task) {
            None => TaskState::Absent,
            Some(status) => status.state(),
        }
    }

    /// What is on record for a task.
    #[must_use]
    pub fn status(&self, job: &JobKey, task: u32) -> Option<&TaskStatus> {
        Some(&self.jobs.get(job)?.tasks.get(&task)?.status)
    }

    /// Writes down how a running task ended, and says whom to tell.
    ///
    /// # Errors
    ///
    /// The task is not running.
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
        let Some((touched, record)) =
            ledger.and_then(|l| Some((&mut l.touched, l.tasks.get_mut(&task)?)))
        else {
            return super::chart::UndefinedSnafu {
                state: "absent",
                event: "finish",
            }
            .fail();
        };
        *touched = now;
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

    /// The entry that is told how a task ends.
    #[must_use]
    pub fn recipient(&self, job: &JobKey, task: u32) -> Option<Incarnation> {
        Some(self.jobs.get(job)?.tasks.get(&task)?.entry)
    }

    /// Answers what became of a dispatch; one that never came never will start.
    ///
    /// A newer owner that asks is the one told the end of a running task.
    ///
    /// # Errors
    ///
    /// The chart has no transition for this.
    pub fn ask(&mut self, now: Millis, dispatch: &Dispatch) -> Result<TaskStatus, ChartError> {
        if dispatch.agent != self.incarnation {
            return Ok(TaskStatus::NotRun(NotRunReason::OtherAgent));
        }
        let Some(status) = self.known(dispatch) else {
            if self.is_forgotten(now, dispatch) {
                return Ok(forgotten());
            }
            let status = TaskStatus::NotRun(NotRunReason::Withdrawn);
            self.write(now, dispatch, TaskEvent::Refuse, status.clone())?;
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

    /// Withdraws what has not started of a job, up to a generation.
    ///
    /// Returns the tasks withdrawn, with whom to tell.
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
        ledger.touched = now;
        let mut told = Vec::new();
        for (task, record) in ledger.tasks.iter_mut() {
            if record.status != TaskStatus::Queued || record.generation > generation {
                continue;
            }
            record.status = TaskStatus::NotRun(NotRunReason::Withdrawn);
            told.push((
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
        told
    }

    /// Fences all generations of a job below `generation` and lists its tasks.
    ///
    /// Queued tasks of an older generation are withdrawn by this.
    pub fn inventory(&mut self, now: Millis, job: &JobKey, generation: Generation) -> Vec<Verdict> {
        let agent = self.incarnation;
        let ledger = self.jobs.or_insert_with(job.clone(), || Ledger {
            fence: generation,
            touched: now,
            recorded: false,
            tasks: Table::default(),
        });
        ledger.touched = now;
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

    /// Notes that control has the job's outcome, so its results may be dropped.
    pub fn recorded(&mut self, job: &JobKey) {
        if let Some(ledger) = self.jobs.get_mut(job) {
            ledger.recorded = true;
        }
    }

    /// Drops jobs untouched for so long that no delayed dispatch of them can
    /// pass the start window: `recorded` ones after `short`, others after `long`.
    pub fn prune(&mut self, now: Millis, short: Millis, long: Millis) {
        let window = self.lease.window;
        self.memory = self.memory.min(short.min(long).max(window + window));
        self.jobs.retain(|_, ledger| {
            let age = now.since(ledger.touched);
            let keep = if ledger.recorded { short } else { long };
            let busy = ledger.tasks.iter().any(|(_, r)| !r.status.is_final());
            busy || age <= keep.max(window + window)
        });
    }

    /// Number of jobs on record.
    #[must_use]
    pub fn jobs(&self) -> usize {
        self.jobs.len()
    }
}

/// The fate of a dispatch so old that its start may have been dropped.
fn forgotten() -> TaskStatus {
    TaskStatus::Failed {
        reason: "no longer on record, it may have run".to_owned(),
        run: Millis(0),
    }
}
