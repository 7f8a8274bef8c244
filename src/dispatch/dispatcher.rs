//! Dispatching: decides on which worker each task starts, and tracks its runs until they end.
//!
//! The leader of the control group dispatches the stored jobs; each entry dispatches the transient
//! jobs of its callers.

use super::admitting::LoadState;
use super::asking::Asked;
use super::bulkhead::Bulkheads;
use super::guard::{Guards, JobGuard};
use super::live::{LiveJob, TaskPhase};
use super::load::demand::Demand;
use super::load::want::Urgency;
use super::placing::MissedTask;
use super::replicated_state::{
    Job, OpenJob, ReplicatedState, RunEnd, StateChange, StateCommand, TaskRecord,
};
use super::reports::{order_stop, send_recorded};
use super::run_trace::{DroppedJobs, RunProof};
use super::spec::{JobId, JobStatus, Queue};
use super::suspects::Suspects;
use super::times::{self, GROUP_GRANT};
use super::wire::AcceptorMessage;
use super::worker::{SessionId, Worker, WorkerId};
use crate::control::log::Term;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// Run ids per millisecond of an entry's wall clock.
pub(crate) const RUNS_PER_MS: u64 = 1_024;
/// Added to an entry's run ids after one of them was refused as too low: the clock of another entry
/// is ahead, by less than an hour.
pub(crate) const RUN_SKIP: u64 = 3_600_000 * RUNS_PER_MS;
/// How often waiting jobs are ranked again, in milliseconds.
const RANK_INTERVAL: Millis = Millis(40);
/// How often runs are checked for being slow, in milliseconds.
const SLOW_CHECK_INTERVAL: Millis = Millis(100);
/// An agent that has been gone for this long, in milliseconds, is dismissed, so that a new
/// leader no longer waits for it at a takeover.
const DISMISS_AFTER: Millis = Millis(60_000);

/// Actions that a dispatcher requests.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum DispatchOutput {
    Propose(StateCommand),
    Message(SessionId, AcceptorMessage),
    /// A transient job has ended.
    Ended(JobId, JobStatus),
    /// A transient job is not run any more, though it may be good.
    GivenUp(JobId),
}

/// Identifies a dispatcher and decides how its runs are numbered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DispatcherId {
    /// The leader of the control group in a term.
    Group(Term),
    /// An entry, by its incarnation number.
    Entry(u64),
}

impl DispatcherId {
    /// Number that an agent's inventory must carry to be accepted.
    pub(crate) fn epoch(self) -> u64 {
        match self {
            Self::Group(term) => term.0,
            Self::Entry(life) => life,
        }
    }
}

/// Dispatcher of one leader for one term, or of one incarnation of an entry.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(crate) id: DispatcherId,
    // How long an agent may act for this dispatcher after it sent its heartbeat.
    pub(crate) grant: Millis,
    pub(crate) workers: Vec<Worker>,
    pub(crate) by_agent: Table<String, WorkerId>,
    pub(crate) by_session: Table<SessionId, WorkerId>,
    pub(crate) jobs: Table<JobId, LiveJob>,
    // Jobs with tasks to start, most urgent first.
    pub(crate) waiting: Vec<(Urgency, JobId)>,
    // The last waiting job that was looked at.
    pub(crate) last_looked: Option<(Urgency, JobId)>,
    // Tasks that found no worker in the present pass.
    pub(crate) missed: Vec<MissedTask>,
    // What agents are asked for on behalf of waiting tasks.
    pub(crate) asked: Asked,
    // True if a waiting task may find a worker that it did not find in the last pass.
    pub(crate) may_place: bool,
    // When the first worker that reported no free resources is tried again.
    pub(crate) retry_at: Option<Millis>,
    // Agents known to former leaders whose inventory is still missing. After `await_deadline` they
    // are considered empty.
    pub(crate) awaited: Vec<String>,
    pub(crate) await_deadline: Millis,
    // Ended jobs, ordered by the time of their end.
    pub(crate) ended: Vec<(Millis, JobId)>,
    // Mean ratio of measured to estimated duration, by service and priority of the queue.
    pub(crate) duration_ratios: Table<(String, u32), f64>,
    pub(crate) demand: Demand,
    pub(crate) load: LoadState,
    // Number of entries, as the group's leader counts them.
    pub(crate) entries: usize,
    pub(crate) suspects: Suspects,
    pub(crate) bulkheads: Bulkheads,
    // Latest run id of an entry; for the leader of the group, the part of it below the term.
    pub(crate) last_run: u64,
    pub(crate) ranked_at: Millis,
    pub(crate) slow_checked_at: Millis,
    pub(crate) dropped: DroppedJobs,
    pub(crate) guards: Guards,
}

impl Dispatcher {
    /// Creates a dispatcher without jobs.
    pub(crate) fn new(id: DispatcherId, grant: Millis, now: Millis) -> Self {
        Self {
            id,
            grant,
            workers: Vec::new(),
            by_agent: Table::default(),
            by_session: Table::default(),
            jobs: Table::default(),
            waiting: Vec::new(),
            last_looked: None,
            missed: Vec::new(),
            asked: Asked::new(id),
            may_place: false,
            retry_at: None,
            awaited: Vec::new(),
            await_deadline: now,
            ended: Vec::new(),
            duration_ratios: Table::default(),
            demand: Demand::default(),
            load: LoadState::default(),
            entries: 1,
            suspects: Suspects::default(),
            bulkheads: Bulkheads::default(),
            last_run: 0,
            ranked_at: now,
            slow_checked_at: now,
            dropped: DroppedJobs::default(),
            guards: Guards::default(),
        }
    }

    /// Creates the dispatcher of a new leader, which takes over all stored jobs.
    pub(crate) fn take_over(
        term: Term,
        state: &ReplicatedState,
        now: Millis,
        guards: &Guards,
    ) -> Self {
        let mut new = Self::new(DispatcherId::Group(term), GROUP_GRANT, now);
        new.guards = guards.clone();
        new.awaited.clone_from(&state.agents);
        new.await_deadline = now + new.lapse_time();
        for (id, job) in state.jobs.iter() {
            match job {
                Job::Open(job) => {
                    let live = LiveJob::new(job, now, TaskPhase::Unknown, false);
                    new.jobs.insert(*id, live);
                }
                Job::Ended(_) => new.ended.push((now, *id)),
            }
        }
        events::TAKE_OVER.log(format_args!(
            "term={} open={} awaited={}",
            term.0,
            new.jobs.len(),
            new.awaited.len()
        ));
        new.release_unknown_tasks(now);
        new
    }

    /// Time since the last grant, in milliseconds, after which a worker is certain to run nothing
    /// for this dispatcher.
    pub(crate) fn lapse_time(&self) -> Millis {
        if !self.guards.on(JobGuard::Lapse) {
            return Millis(0);
        }
        times::lapse_time(self.grant)
    }

    /// Makes tasks of unknown state startable once no agent can still hold a run of them: all
    /// inventories have arrived, or the deadline for them has passed.
    pub(crate) fn release_unknown_tasks(&mut self, now: Millis) {
        if !self.awaited.is_empty() && now < self.await_deadline {
            return;
        }
        if !self.awaited.is_empty() {
            events::NOT_HEARD.log(format_args!("agents={:?} lapsed=true", self.awaited));
            self.awaited.clear();
        }
        let mut released = Vec::new();
        for (id, job) in self.jobs.iter_mut() {
            let mut any = false;
            for task in job.tasks.iter_mut().flatten() {
                if task.phase == TaskPhase::Unknown {
                    task.phase = TaskPhase::Ready;
                    any = true;
                }
            }
            if any {
                released.push(*id);
            }
        }
        for id in released {
            self.enqueue(now, id);
        }
    }

    pub(crate) fn enqueue(&mut self, now: Millis, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        self.may_place = true;
        if self.waiting.iter().any(|(_, known)| *known == id) {
            return;
        }
        let row = (self.rank(now, id, job), id);
        let at = self.waiting.partition_point(|other| *other <= row);
        self.waiting.insert(at, row);
    }

    /// Number of stored jobs of a queue of which no task has started.
    pub(crate) fn count_pending(&self, state: &ReplicatedState, queue: &Queue) -> u64 {
        let is_of_queue =
            |id: JobId, job: &LiveJob| state.is_of_queue(id, &job.definition.settings, queue);
        let waiting = self.jobs.iter().filter(|(_, job)| !job.started);
        waiting.filter(|(id, job)| is_of_queue(**id, job)).count() as u64
    }

    /// Returns true once a task of the job has started, as far as this dispatcher knows.
    pub(crate) fn has_started(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|j| j.started)
    }

    /// Handles a change to the replicated state.
    pub(crate) fn apply_change(
        &mut self,
        now: Millis,
        state: &ReplicatedState,
        change: &StateChange,
        out: &mut Vec<DispatchOutput>,
    ) {
        match change {
            StateChange::Accepted(id) => {
                if let Some(job) = state.open_job(*id) {
                    self.jobs
                        .insert(*id, LiveJob::new(job, now, TaskPhase::Ready, false));
                    self.enqueue(now, *id);
                }
            }
            StateChange::TaskEnded(end) => self.on_recorded(now, state, end, out),
            StateChange::TaskCrashed(task) => self.on_crash_recorded(now, *task),
            StateChange::Ended(id, status) => self.on_ended(now, *id, *status, out),
        }
    }

    pub(crate) fn on_recorded(
        &mut self,
        now: Millis,
        state: &ReplicatedState,
        end: &RunEnd,
        out: &mut Vec<DispatchOutput>,
    ) {
        for worker in &mut self.workers {
            if worker.mark_recorded(end) {
                send_recorded(worker, out);
            }
        }
        let job = state.open_job(end.task.job);
        let record = job.and_then(|job| job.task(end.task));
        let done = record.is_none_or(|task| task.done);
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        if let Some(task) = job.task_mut(end.task) {
            task.failure_pending = false;
            task.failures = record.map_or(0, TaskRecord::failures);
            if done {
                task.phase = TaskPhase::Done;
            } else if task.phase == TaskPhase::Recording {
                task.phase = TaskPhase::Ready;
            }
        }
        if job.has_ready() {
            self.enqueue(now, end.task.job);
        }
    }

    pub(crate) fn on_ended(
        &mut self,
        now: Millis,
        id: JobId,
        status: JobStatus,
        out: &mut Vec<DispatchOutput>,
    ) {
        self.ended.push((now, id));
        self.drop_job(now, id, Some(status), out);
    }

    /// Removes a job and stops its remaining runs.
    pub(crate) fn drop_job(
        &mut self,
        now: Millis,
        id: JobId,
        status: Option<JobStatus>,
        out: &mut Vec<DispatchOutput>,
    ) {
        self.waiting.retain(|(_, known)| *known != id);
        let job = self.jobs.remove(&id);
        if let (Some(job), Some(JobStatus::Completed)) = (&job, status) {
            self.acquit(id, job, out);
        }
        let age = job.map_or(Millis(0), |j| now.since(j.received_at));
        events::JOB_ENDED.log(format_args!("job={id} state={status:?} after_ms={}", age.0));
        for worker in &mut self.workers {
            for ((task, run), placed) in worker.runs.iter_mut() {
                if task.job == id && !placed.stopping {
                    placed.stopping = true;
                    order_stop(worker.session, (*task, *run), out);
                }
            }
        }
        self.log_runs_out(now, id);
    }

    /// Adds a transient job.
    pub(crate) fn submit(&mut self, now: Millis, id: JobId, live: LiveJob) {
        self.jobs.insert(id, live);
        self.enqueue(now, id);
    }

    /// The view of a transient job that is handed in. Its tasks wait for runs of an earlier
    /// submission that are still being stopped.
    pub(crate) fn new_job(
        &self,
        received_at: Millis,
        deadline: Millis,
        id: JobId,
        job: &OpenJob,
    ) -> LiveJob {
        let mut live = LiveJob::new(job, received_at, TaskPhase::Ready, true);
        live.deadline = deadline;
        for (at, worker) in self.workers.iter().enumerate() {
            for ((task, run), _) in worker.runs.iter() {
                if task.job == id
                    && let Some(known) = live.task_mut(*task)
                {
                    known.phase = TaskPhase::Assigned(WorkerId(at));
                    known.run = *run;
                }
            }
        }
        live
    }

    /// Ends a transient job as failed.
    pub(crate) fn fail_job(&mut self, now: Millis, id: JobId, out: &mut Vec<DispatchOutput>) {
        self.drop_job(now, id, Some(JobStatus::Failed), out);
        out.push(DispatchOutput::Ended(id, JobStatus::Failed));
    }

    /// Drops a transient job that no caller waits for any more.
    pub(crate) fn abandon(&mut self, now: Millis, id: JobId, out: &mut Vec<DispatchOutput>) {
        if self.jobs.get(&id).is_some_and(|j| j.transient) {
            self.drop_job(now, id, None, out);
        }
    }

    /// Returns false only if no task of the job can have started.
    pub(crate) fn may_have_run(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(LiveJob::may_have_run)
    }

    /// Returns true while the job is open here.
    pub(crate) fn has_job(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some()
    }

    /// Periodic work: handles silent workers and slow runs, ranks waiting jobs, and forgets jobs
    /// that ended more than `keep` ago.
    pub(crate) fn tick(&mut self, now: Millis, keep: Millis, out: &mut Vec<DispatchOutput>) {
        // Pauses of workers end, and data centres are taken back in.
        self.may_place = true;
        self.bulkheads.due = true;
        if !self.awaited.is_empty() {
            self.release_unknown_tasks(now);
        }
        let lapse = self.lapse_time();
        for at in 0..self.workers.len() {
            self.workers[at].apply_first_usage(now);
            let worker = &self.workers[at];
            let silent = now.since(worker.last_granted_at) > lapse;
            if silent && !worker.runs.is_empty() {
                self.lose_all_runs(now, WorkerId(at), RunProof::GrantLapsed);
            }
            let worker = &mut self.workers[at];
            let gone =
                now.since(worker.last_granted_at) > DISMISS_AFTER && worker.session.is_none();
            if gone && worker.enrolled && matches!(self.id, DispatcherId::Group(_)) {
                worker.enrolled = false;
                out.push(DispatchOutput::Propose(StateCommand::Dismiss(
                    worker.agent.clone(),
                )));
            }
        }
        if now.since(self.slow_checked_at) >= SLOW_CHECK_INTERVAL {
            self.slow_checked_at = now;
            self.move_slow(now, out);
        }
        if now.since(self.ranked_at) >= RANK_INTERVAL {
            self.ranked_at = now;
            self.rank_all(now);
        }
        self.forget_ended(now, keep, out);
    }

    pub(crate) fn rank_all(&mut self, now: Millis) {
        let mut rows: Vec<_> = std::mem::take(&mut self.waiting);
        for (rank, id) in &mut rows {
            if let Some(job) = self.jobs.get(id) {
                *rank = self.demand.rank(now, *id, job);
            }
        }
        rows.sort_unstable();
        self.waiting = rows;
        self.put_shares_first();
    }

    /// Puts the jobs first that were admitted for the share of their queue or size.
    fn put_shares_first(&mut self) {
        let Some((first, _)) = self.waiting.first().copied() else {
            return;
        };
        let mut any = false;
        for (rank, id) in &mut self.waiting {
            if self.jobs.get(id).is_some_and(LiveJob::is_due_share) {
                *rank = first;
                any = true;
            }
        }
        if any {
            self.waiting.sort_unstable();
        }
    }

    pub(crate) fn forget_ended(
        &mut self,
        now: Millis,
        keep: Millis,
        out: &mut Vec<DispatchOutput>,
    ) {
        let old = self.ended.partition_point(|(at, _)| now.since(*at) > keep);
        if old > 0 {
            let ids = self.ended.drain(..old).map(|(_, id)| id).collect();
            out.push(DispatchOutput::Propose(StateCommand::Forget(ids)));
        }
    }
}
