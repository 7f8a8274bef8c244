//! What log lines say of runs that count as over, of runs that are still out when their job is
//! dropped, and of what is at stake when a process stands still.

use std::fmt;

use super::agent::ServerAgent;
use super::agent_run::AgentRun;
use super::dispatcher::Dispatcher;
use super::dispatcher_link::Owner;
use super::spec::{JobId, RunId, RunOutcome, TaskId};
use super::wire::Denial;
use super::worker::WorkerId;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// Most runs that a log line names.
const MAX_LISTED_RUNS: usize = 10;

/// Why a dispatcher counts a run as over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunProof {
    /// Its end was listed.
    Ended(RunOutcome),
    /// It never started, or no longer runs, as its agent says.
    NotStarted(Denial),
    /// It had started, and its agent's inventory does not list it.
    NotListed,
    /// The agent reports that its backend server's lease has expired, or that another incarnation
    /// has answered.
    Crashed,
    /// Another incarnation of the backend server has answered, or it has left.
    OtherServer,
    /// Nothing came from the agent until its last grant had expired.
    GrantLapsed,
}

/// The last run of a task that counts as over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FormerRun {
    run: RunId,
    worker: WorkerId,
    proof: RunProof,
    over_at: Millis,
    granted_at: Millis,
    heard_at: Millis,
}

/// A job that ended while runs of it were out.
#[derive(Debug)]
pub(crate) struct DroppedJob {
    dropped_at: Millis,
    runs: Vec<(TaskId, RunId)>,
}

/// Jobs that ended while runs of them were out.
pub(crate) type DroppedJobs = Table<JobId, DroppedJob>;

impl Dispatcher {
    /// Keeps why a task's run counts as over, for the log line of its next start.
    pub(crate) fn note_over(
        &mut self,
        now: Millis,
        id: WorkerId,
        key: (TaskId, RunId),
        proof: RunProof,
    ) {
        self.note_gone(now, key);
        let worker = &self.workers[id.0];
        let former = FormerRun {
            run: key.1,
            worker: id,
            proof,
            over_at: now,
            granted_at: worker.last_granted_at,
            heard_at: worker.last_heard_at,
        };
        let job = self.jobs.get_mut(&key.0.job);
        if let Some(live) = job.and_then(|job| job.task_mut(key.0)) {
            live.former = Some(former);
        }
    }

    /// Logs the start of a task that had a run before.
    pub(crate) fn log_restart(
        &self,
        now: Millis,
        task: TaskId,
        run: RunId,
        to: WorkerId,
        former: &FormerRun,
    ) {
        events::STARTED_AGAIN.log(format_args!(
            "task={task} run={} agent={} former_run={} former_agent={} proof={:?} over_ms={} \
             granted_ms={} heard_ms={}",
            run.0,
            self.workers[to.0].agent,
            former.run.0,
            self.workers[former.worker.0].agent,
            former.proof,
            now.since(former.over_at).0,
            former.over_at.since(former.granted_at).0,
            former.over_at.since(former.heard_at).0
        ));
    }

    /// Logs the runs of a job that has ended which are still out, and until when each may run at the
    /// latest.
    pub(crate) fn log_runs_out(&mut self, now: Millis, id: JobId) {
        let mut runs = Vec::new();
        let mut listed = Vec::new();
        let mut latest = Millis(0);
        for worker in &self.workers {
            for ((task, run), _) in worker.runs.iter().filter(|((task, _), _)| task.job == id) {
                latest = latest.max(worker.last_granted_at + self.lapse_time());
                if listed.len() < MAX_LISTED_RUNS {
                    listed.push(format!("{task}/{}@{}", run.0, worker.agent));
                }
                runs.push((*task, *run));
            }
        }
        if runs.is_empty() {
            return;
        }
        events::RUNS_OUT.log(format_args!(
            "job={id} runs={} gone_in_ms={} list={}",
            runs.len(),
            latest.since(now).0,
            listed.join(",")
        ));
        let dropped = DroppedJob {
            dropped_at: now,
            runs,
        };
        self.dropped.insert(id, dropped);
    }

    /// Logs that the last run of a job is gone that was out when the job ended.
    fn note_gone(&mut self, now: Millis, key: (TaskId, RunId)) {
        let id = key.0.job;
        let Some(dropped) = self.dropped.get_mut(&id) else {
            return;
        };
        dropped.runs.retain(|known| *known != key);
        if dropped.runs.is_empty() {
            let after = now.since(dropped.dropped_at).0;
            events::RUNS_GONE.log(format_args!("job={id} after_ms={after}"));
            self.dropped.remove(&id);
        }
    }

    /// What a pause of the process may have cost.
    pub(crate) fn stakes(&self, now: Millis) -> String {
        let runs: usize = self.workers.iter().map(|worker| worker.runs.len()).sum();
        let held = self.workers.iter().filter(|worker| !worker.runs.is_empty());
        let granted = held.map(|worker| now.since(worker.last_granted_at).0).max();
        format!(
            "jobs={} runs={runs} oldest_grant_ms={}",
            self.jobs.len(),
            granted.unwrap_or(0)
        )
    }
}

impl ServerAgent {
    /// Logs how a run ended for this agent, and what allowed it to go on until then.
    pub(crate) fn log_run_over(
        &self,
        now: Millis,
        key: (TaskId, RunId),
        agent_run: &AgentRun,
        how: &dyn fmt::Debug,
    ) {
        let answered = agent_run.answered_at.map(|at| now.since(at).0);
        events::RUN_OVER.log(format_args!(
            "task={} run={} owner={:?} how={how:?} phase={:?} sent_ms={} answered_ms={answered:?} \
             listed_ms={} lease_ms={} grant_ms={}",
            key.0,
            key.1.0,
            agent_run.owner,
            agent_run.phase,
            now.since(agent_run.ordered_at).0,
            now.since(self.last_hold_answered_at).0,
            self.lease_bound().since(now).0,
            self.grant_left(now, agent_run.owner).0
        ));
    }

    /// Logs that all runs are given up.
    pub(crate) fn log_all_over(&self, now: Millis, how: &dyn fmt::Debug) {
        for (key, agent_run) in self.runs.iter() {
            self.log_run_over(now, *key, agent_run, how);
        }
    }

    /// How long the grant of a dispatcher lasts from now on.
    pub(crate) fn grant_left(&self, now: Millis, owner: Owner) -> Millis {
        let dispatcher = self.dispatchers.get(&owner);
        dispatcher.map_or(Millis(0), |dispatcher| {
            dispatcher.grant_expires_at.since(now)
        })
    }

    /// What a pause of the process may have cost.
    pub(crate) fn stakes(&self, now: Millis) -> String {
        let owners = self.runs.iter().map(|(_, agent_run)| agent_run.owner);
        let grant = owners.map(|owner| self.grant_left(now, owner).0).min();
        format!(
            "runs={} lease_ms={} least_grant_ms={}",
            self.runs.len(),
            self.lease_bound().since(now).0,
            grant.unwrap_or(0)
        )
    }
}
