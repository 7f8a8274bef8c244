//! Dispatch of an entry's tasks, and processing of the agents' verdicts.

use super::chart::ChartError;
use super::clock::Millis;
use super::entry::{Entry, InFlightDispatch};
use super::entry_io::EntryOutput;
use super::fair_queue::FairQueue;
use super::ids::{DispatchNumber, Incarnation};
use super::job::{Answer, Failure, JobHandle, JobKind, JobState, TaskProgress};
use super::placement::{Placement, Policy, Pool};
use super::task::{Dispatch, NotRunReason, TaskStatus, Verdict};

/// Minimum interval between requests for slots that other entries hold.
const SEEK_INTERVAL: Millis = Millis(10);

/// A task and the agent chosen for it, with its expected run time and finish in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Assignment {
    handle: JobHandle,
    task: u32,
    agent: Incarnation,
    run: f64,
    finish: f64,
}

impl Entry {
    /// Expected wait of a new submission, from the work queued for its service.
    pub(crate) fn expected_wait(&self, service: &str) -> Millis {
        let service = service.to_owned();
        let (Some(pool), Some(queue)) = (self.pools.get(&service), self.queues.get(&service))
        else {
            return Millis(0);
        };
        let slots = pool.slots();
        if slots == 0 {
            return Millis(0);
        }
        let work: f64 = queue
            .handles()
            .filter_map(|h| self.jobs.get(&h))
            .map(|j| j.work)
            .sum();
        to_millis(work / f64::from(slots))
    }

    /// Queues a job's waiting tasks, the longest first.
    pub(crate) fn enqueue(&mut self, handle: JobHandle) {
        let policy = self.limits.policy;
        let Some(job) = self.jobs.get(&handle) else {
            return;
        };
        let service = job.service.clone();
        let count = job.tasks.len();
        let draws: Vec<usize> = match policy {
            Policy::LeastFinish | Policy::LeastOutstanding => Vec::new(),
            Policy::Random | Policy::TwoProbes => {
                (0..2 * count).map(|_| self.draw(usize::MAX)).collect()
            }
        };
        let pool = self.pools.or_insert_with(service.clone(), Pool::default);
        let Some(job) = self.jobs.get_mut(&handle) else {
            return;
        };
        let mut draws = draws.into_iter();
        job.waiting.clear();
        job.work = 0.0;
        for (i, task) in job.tasks.iter_mut().enumerate() {
            if task.progress != TaskProgress::Waiting {
                continue;
            }
            // Each retry of a request is a further task; only the last one is queued.
            if i + 1 < count && matches!(job.kind, JobKind::Request { .. }) {
                continue;
            }
            task.pins = pool.bind(policy, |below| draws.next().unwrap_or(0) % below);
            job.work += pool.estimator.typical(task.declared);
            job.waiting.push(u32::try_from(i).unwrap_or(u32::MAX));
        }
        let tasks = &job.tasks;
        let length = |i: &u32| pool.estimator.typical(tasks[*i as usize].declared);
        job.waiting
            .sort_by(|a, b| length(a).total_cmp(&length(b)).then(b.cmp(a)));
        // Alone on all slots, the job takes as long as its longest task or as its work spread over
        // the slots, whichever is longer.
        let longest = job.waiting.last().map(|i| tasks[*i as usize].declared);
        let longest = longest.map_or(0.0, |declared| pool.fastest(declared));
        let alone = (job.work / f64::from(pool.slots().max(1))).max(longest);
        job.rank = match policy {
            Policy::LeastFinish => job.arrived_at.0 + to_millis(alone * self.limits.stretch).0,
            _ => job.arrived_at.0,
        };
        if !job.waiting.is_empty() {
            let queue = self.queues.or_insert_with(service, FairQueue::default);
            queue.insert(&job.key.team, job.rank, handle);
        }
    }

    /// Dispatches the tasks that can be placed now, and requests credits for others.
    pub(crate) fn dispatch_waiting(&mut self, now: Millis, out: &mut Vec<EntryOutput>) {
        if now >= self.lease_expires_at {
            return;
        }
        let services: Vec<String> = self.queues.iter().map(|(s, _)| s.clone()).collect();
        for service in services {
            for assignment in self.plan_assignments(now, &service, out) {
                self.send_dispatch(now, &service, assignment, out);
            }
        }
    }

    fn plan_assignments(
        &mut self,
        now: Millis,
        service: &String,
        out: &mut Vec<EntryOutput>,
    ) -> Vec<Assignment> {
        let mut assignments = Vec::new();
        let (Some(pool), Some(queue)) = (self.pools.get(service), self.queues.get(service)) else {
            return assignments;
        };
        if queue.is_empty() {
            return assignments;
        }
        let mut view = pool.view(now, &self.data_centre);
        // While no slot is free, those that other entries hold are sought at intervals.
        let seeking = now.since(pool.last_sought_at) >= SEEK_INTERVAL;
        if view.is_full() && !seeking {
            return assignments;
        }
        let is_baseline = self.limits.policy != Policy::LeastFinish;
        let teams = &self.teams;
        let mut cursor = queue.cursor(|team| Self::allowance(teams, team));
        let mut examined = 0;
        // The job being placed, and the expected end of the task of it that ends last.
        let mut current = None;
        let mut target = 0.0_f64;
        while (seeking || !view.is_full()) && (is_baseline || examined < self.limits.lookahead) {
            let Some((handle, passed)) = cursor.peek() else {
                break;
            };
            let Some(job) = self.jobs.get(&handle) else {
                cursor.advance(0.0, true);
                continue;
            };
            if current != Some(handle) {
                current = Some(handle);
                target = job.expected_end;
            }
            let last = passed + 1 >= job.waiting.len();
            let Some(index) = job
                .waiting
                .len()
                .checked_sub(passed + 1)
                .map(|i| job.waiting[i])
            else {
                cursor.advance(0.0, true);
                continue;
            };
            let task = &job.tasks[index as usize];
            let placement = if view.has_any(&task.pins) {
                view.place_bound(&pool.estimator, task.declared, &task.pins)
            } else {
                view.place(&pool.estimator, task.declared, target)
            };
            if let Placement::Later { finish } = placement
                && finish < f64::MAX
            {
                target = target.max(finish);
            }
            if let Placement::Now { agent, run, finish } = placement {
                target = target.max(finish);
                assignments.push(Assignment {
                    handle,
                    task: index,
                    agent,
                    run,
                    finish,
                });
            }
            cursor.advance(pool.estimator.typical(task.declared), last);
            examined += 1;
        }
        if seeking {
            let sought: Vec<(Incarnation, u32)> = view.sought_slots().collect();
            self.request_credits(now, service, &sought, out);
        }
        assignments
    }

    /// Reports waiting tasks to agents with slots that other entries hold.
    fn request_credits(
        &mut self,
        now: Millis,
        service: &String,
        sought: &[(Incarnation, u32)],
        out: &mut Vec<EntryOutput>,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        pool.last_sought_at = now;
        for (agent, count) in sought {
            let Some(server) = pool.servers.get_mut(agent) else {
                continue;
            };
            if server.reported_waiting == 0 {
                server.reported_waiting = *count;
                self.counts.credit_messages += 1;
                out.push(EntryOutput::Want(*agent, *count));
            }
        }
    }

    fn send_dispatch(
        &mut self,
        now: Millis,
        service: &String,
        assignment: Assignment,
        out: &mut Vec<EntryOutput>,
    ) {
        let (Some(job), Some(pool)) = (
            self.jobs.get_mut(&assignment.handle),
            self.pools.get_mut(service),
        ) else {
            return;
        };
        let Some(server) = pool.servers.get_mut(&assignment.agent) else {
            return;
        };
        self.last_number = DispatchNumber(self.last_number.0 + 1);
        let number = self.last_number;
        server.add_dispatch(now, number, assignment.run);
        let cost = pool
            .estimator
            .typical(job.tasks[assignment.task as usize].declared);
        job.expected_end = job.expected_end.max(assignment.finish);
        job.tasks[assignment.task as usize].progress = TaskProgress::InFlight(number);
        job.waiting.retain(|task| *task != assignment.task);
        job.work = (job.work - cost).max(0.0);
        *job.agents.or_insert_with(assignment.agent, || 0) += 1;
        let share = Self::allowance(&self.teams, &job.key.team).share;
        if let Some(queue) = self.queues.get_mut(service) {
            queue.charge(&job.key.team, cost / share);
            if job.waiting.is_empty() {
                queue.remove(&job.key.team, job.rank, assignment.handle);
            }
        }
        let kind = job.kind;
        self.teams
            .or_insert_with(job.key.team.clone(), Default::default)
            .running += 1;
        let sent = InFlightDispatch {
            handle: assignment.handle,
            task: assignment.task,
            agent: assignment.agent,
            cost,
            stamp: server.stamp,
        };
        self.in_flight.insert(number, sent);
        self.counts.dispatched += 1;
        if let Some(dispatch) = self.dispatch_message(number, sent) {
            out.push(EntryOutput::Dispatch(assignment.handle, kind, dispatch));
        }
    }

    /// The message for a dispatch, or `None` if its job was removed.
    pub(crate) fn dispatch_message(
        &self,
        number: DispatchNumber,
        sent: InFlightDispatch,
    ) -> Option<Dispatch> {
        let job = self.jobs.get(&sent.handle)?;
        let payload = job.tasks.get(sent.task as usize).map(|t| t.payload.clone());
        Some(Dispatch {
            number,
            job: job.key.clone(),
            task: sent.task,
            generation: job.generation,
            entry: self.incarnation,
            agent: sent.agent,
            stamp: sent.stamp,
            payload: payload.unwrap_or_default(),
        })
    }

    pub(crate) fn release_team_slot(&mut self, handle: JobHandle) {
        if let Some(job) = self.jobs.get(&handle)
            && let Some(team) = self.teams.get_mut(&job.key.team)
        {
            team.running = team.running.saturating_sub(1);
        }
    }

    /// Processes an agent's verdict. One that matches no dispatch is dropped.
    pub(crate) fn handle_verdict(
        &mut self,
        now: Millis,
        verdict: Verdict,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        let Some(sent) = self.find_dispatch(&verdict) else {
            self.counts.strays += 1;
            return Ok(());
        };
        match verdict.status {
            TaskStatus::Queued => Ok(()),
            TaskStatus::Running => {
                if let Some(job) = self.jobs.get_mut(&sent.handle) {
                    job.may_have_started = true;
                }
                Ok(())
            }
            TaskStatus::NotRun(reason) => {
                self.requeue(verdict.number, sent, reason, out);
                Ok(())
            }
            status => self.finish_task(now, verdict.number, sent, status, out),
        }
    }

    fn find_dispatch(&self, verdict: &Verdict) -> Option<InFlightDispatch> {
        let sent = *self.in_flight.get(&verdict.number)?;
        let job = self.jobs.get(&sent.handle);
        let same_job =
            job.is_none_or(|j| j.key == verdict.job && j.generation == verdict.generation);
        let same_task = sent.task == verdict.task && sent.agent == verdict.agent;
        (same_job && same_task).then_some(sent)
    }

    /// Removes a dispatch that has a final verdict.
    fn remove_dispatch(&mut self, number: DispatchNumber, sent: InFlightDispatch) {
        self.in_flight.remove(&number);
        self.release_team_slot(sent.handle);
        if let Some(server) = self.server(sent.agent) {
            server.remove_dispatch(number);
            server.bound = server.bound.saturating_sub(1);
        }
        if let Some(job) = self.jobs.get_mut(&sent.handle)
            && let Some(count) = job.agents.get_mut(&sent.agent)
        {
            *count = count.saturating_sub(1);
        }
    }

    /// Replaces the expected run time that was charged to the team by the actual one.
    fn reconcile_cost(&mut self, sent: InFlightDispatch, took: f64) {
        let Some(job) = self.jobs.get(&sent.handle) else {
            return;
        };
        let share = Self::allowance(&self.teams, &job.key.team).share;
        if let Some(queue) = self.queues.get_mut(&job.service) {
            queue.reconcile(&job.key.team, sent.cost / share, took / share);
        }
    }

    /// Returns the task of a dispatch that was not run to the queue.
    fn requeue(
        &mut self,
        number: DispatchNumber,
        sent: InFlightDispatch,
        reason: NotRunReason,
        out: &mut Vec<EntryOutput>,
    ) {
        self.counts.returned += 1;
        self.remove_dispatch(number, sent);
        self.reconcile_cost(sent, 0.0);
        if let Some(server) = self.server(sent.agent) {
            server.breaker.returned();
            let accepts_no_work = matches!(
                reason,
                NotRunReason::Out | NotRunReason::Leaving | NotRunReason::NoLease
            );
            if accepts_no_work && server.credits > 0 {
                out.push(EntryOutput::GiveBack(sent.agent, server.credits));
                server.credits = 0;
            }
        }
        let Some(job) = self.jobs.get_mut(&sent.handle) else {
            return;
        };
        if job.answer.is_some() || job.state != JobState::Running {
            return;
        }
        job.tasks[sent.task as usize].progress = TaskProgress::Waiting;
        let service = job.service.clone();
        let (team, rank) = (job.key.team.clone(), job.rank);
        if let Some(queue) = self.queues.get_mut(&service) {
            queue.remove(&team, rank, sent.handle);
        }
        self.enqueue(sent.handle);
    }

    fn finish_task(
        &mut self,
        now: Millis,
        number: DispatchNumber,
        sent: InFlightDispatch,
        status: TaskStatus,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        self.remove_dispatch(number, sent);
        if let TaskStatus::Done { run, .. } | TaskStatus::Failed { run, .. } = &status {
            self.reconcile_cost(sent, run.as_f64());
        }
        self.update_estimates(now, sent, &status);
        let Some(job) = self.jobs.get_mut(&sent.handle) else {
            return Ok(());
        };
        if job.answer.is_some() {
            return Ok(());
        }
        job.may_have_started = true;
        match status {
            TaskStatus::Done { body, .. } => {
                job.tasks[sent.task as usize].progress = TaskProgress::Done(body);
                job.done += 1;
                let request = matches!(job.kind, JobKind::Request { .. });
                if job.is_complete() || request {
                    let answer = Answer::Complete(job.results());
                    return self.settle(now, sent.handle, answer, out);
                }
                Ok(())
            }
            TaskStatus::Failed { reason, .. } => {
                if self.retry(now, sent.handle) {
                    return Ok(());
                }
                let failure = Failure::Task {
                    task: sent.task,
                    reason,
                };
                self.settle(now, sent.handle, Answer::Failed(failure), out)
            }
            TaskStatus::NotRun(_) | TaskStatus::Queued | TaskStatus::Running => Ok(()),
        }
    }

    fn update_estimates(&mut self, now: Millis, sent: InFlightDispatch, status: &TaskStatus) {
        let Some(job) = self.jobs.get(&sent.handle) else {
            return;
        };
        let declared = job.tasks.get(sent.task as usize).and_then(|t| t.declared);
        let Some(pool) = self.pools.get_mut(&job.service) else {
            return;
        };
        match status {
            TaskStatus::Done { run, .. } => {
                pool.estimator.learn(sent.agent, declared, *run);
                if let Some(server) = pool.servers.get_mut(&sent.agent) {
                    server.breaker.succeeded();
                }
            }
            TaskStatus::Failed { .. } => {
                if let Some(server) = pool.servers.get_mut(&sent.agent) {
                    server.breaker.failed(now);
                }
            }
            TaskStatus::NotRun(_) | TaskStatus::Queued | TaskStatus::Running => {}
        }
    }

    /// Adopts a task that a former owner of the job had sent to `agent`.
    pub(crate) fn adopt_task(
        &mut self,
        now: Millis,
        handle: JobHandle,
        agent: Incarnation,
        verdict: Verdict,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        let Some(job) = self.jobs.get_mut(&handle) else {
            return Ok(());
        };
        let Some(task) = job.tasks.get_mut(verdict.task as usize) else {
            return Ok(());
        };
        job.agents.or_insert_with(agent, || 0);
        match verdict.status {
            TaskStatus::NotRun(_) => Ok(()),
            TaskStatus::Queued | TaskStatus::Running => {
                let servers = self.pools.get(&job.service).map(|pool| &pool.servers);
                let server = servers.and_then(|servers| servers.get(&agent));
                let stamp = server.map_or(Millis(0), |server| server.stamp);
                self.last_number = DispatchNumber(self.last_number.0 + 1);
                task.progress = TaskProgress::InFlight(self.last_number);
                job.may_have_started = true;
                *job.agents.or_insert_with(agent, || 0) += 1;
                let sent = InFlightDispatch {
                    handle,
                    task: verdict.task,
                    agent,
                    cost: 0.0,
                    stamp,
                };
                self.in_flight.insert(self.last_number, sent);
                let team = job.key.team.clone();
                self.teams.or_insert_with(team, Default::default).running += 1;
                if let Some(dispatch) = self.dispatch_message(self.last_number, sent) {
                    // The query makes the agent send the task's verdict to this entry.
                    out.push(EntryOutput::Ask(agent, vec![dispatch]));
                }
                Ok(())
            }
            TaskStatus::Done { body, .. } => {
                if !matches!(task.progress, TaskProgress::Done(_)) {
                    task.progress = TaskProgress::Done(body);
                    job.may_have_started = true;
                    job.done += 1;
                }
                Ok(())
            }
            TaskStatus::Failed { reason, .. } => {
                job.may_have_started = true;
                let failure = Failure::Task {
                    task: verdict.task,
                    reason,
                };
                self.settle(now, handle, Answer::Failed(failure), out)
            }
        }
    }
}

/// Converts to whole milliseconds. Values out of range are clamped.
fn to_millis(ms: f64) -> Millis {
    // The cast saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = ms.max(0.0) as u64;
    Millis(whole)
}
