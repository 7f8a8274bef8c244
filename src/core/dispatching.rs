//! Sending an entry's tasks out, and taking in what agents say of them.

use super::chart::ChartError;
use super::clock::Millis;
use super::entry::{Entry, InFlightDispatch};
use super::entry_io::EntryOutput;
use super::fair_queue::FairQueue;
use super::ids::{DispatchNumber, Incarnation};
use super::job::{Answer, Failure, JobHandle, JobKind, JobState, TaskProgress};
use super::placement::{Placement, Policy, Pool};
use super::task::{Dispatch, NotRunReason, TaskStatus, Verdict};

/// Slots that other entries hold are looked for this often.
const SEEK_PAUSE: Millis = Millis(10);

/// A task and where it goes.
#[derive(Debug, Clone, Copy)]
struct Pick {
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

    /// Puts a job's waiting tasks into the queue, the longest first.
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
            // A task that was tried before only waits again when it is not the
            // last try of a request.
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
        // Alone, it takes as long as its longest task, or as all its work.
        let longest = job.waiting.last().map(|i| tasks[*i as usize].declared);
        let longest = longest.map_or(0.0, |declared| pool.fastest(declared));
        let alone = (job.work / f64::from(pool.slots().max(1))).max(longest);
        job.rank = match policy {
            Policy::LeastFinish => job.arrived.0 + to_millis(alone * self.limits.stretch).0,
            _ => job.arrived.0,
        };
        if !job.waiting.is_empty() {
            let queue = self.queues.or_insert_with(service, FairQueue::default);
            queue.insert(&job.key.team, job.rank, handle);
        }
    }

    /// Sends out whatever has a place now, and asks for credits for the rest.
    pub(crate) fn assign(&mut self, now: Millis, out: &mut Vec<EntryOutput>) {
        if now >= self.lease {
            return;
        }
        let services: Vec<String> = self.queues.iter().map(|(s, _)| s.clone()).collect();
        for service in services {
            for pick in self.picks(now, &service, out) {
                self.send(now, &service, pick, out);
            }
        }
    }

    fn picks(&mut self, now: Millis, service: &String, out: &mut Vec<EntryOutput>) -> Vec<Pick> {
        let mut picks = Vec::new();
        let (Some(pool), Some(queue)) = (self.pools.get(service), self.queues.get(service)) else {
            return picks;
        };
        if queue.is_empty() {
            return picks;
        }
        let mut view = pool.view(now, &self.home);
        // When no slot is free, look now and then for those that others hold.
        let seeking = now.since(pool.sought) >= SEEK_PAUSE;
        if view.is_full() && !seeking {
            return picks;
        }
        let bound = self.limits.policy != Policy::LeastFinish;
        let teams = &self.teams;
        let mut cursor = queue.cursor(|team| Self::allowance(teams, team));
        let mut looked = 0;
        // The job being placed, and the expected end of its last task.
        let mut current = None;
        let mut target = 0.0_f64;
        while (seeking || !view.is_full()) && (bound || looked < self.limits.lookahead) {
            let Some((handle, nth)) = cursor.peek() else {
                break;
            };
            let Some(job) = self.jobs.get(&handle) else {
                cursor.pass(0.0, true);
                continue;
            };
            if current != Some(handle) {
                current = Some(handle);
                target = job.target;
            }
            let last = nth + 1 >= job.waiting.len();
            let Some(index) = job
                .waiting
                .len()
                .checked_sub(nth + 1)
                .map(|i| job.waiting[i])
            else {
                cursor.pass(0.0, true);
                continue;
            };
            let task = &job.tasks[index as usize];
            let place = if view.has(&task.pins) {
                view.place_bound(&pool.estimator, task.declared, &task.pins)
            } else {
                view.place(&pool.estimator, task.declared, target)
            };
            if let Placement::Later { finish } = place
                && finish < f64::MAX
            {
                target = target.max(finish);
            }
            if let Placement::Now { agent, run, finish } = place {
                target = target.max(finish);
                picks.push(Pick {
                    handle,
                    task: index,
                    agent,
                    run,
                    finish,
                });
            }
            cursor.pass(pool.estimator.typical(task.declared), last);
            looked += 1;
        }
        if seeking {
            let sought: Vec<(Incarnation, u32)> = view.sought().collect();
            self.seek(now, service, &sought, out);
        }
        picks
    }

    /// Asks agents for slots that others hold.
    fn seek(
        &mut self,
        now: Millis,
        service: &String,
        sought: &[(Incarnation, u32)],
        out: &mut Vec<EntryOutput>,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        pool.sought = now;
        for (agent, count) in sought {
            let Some(server) = pool.servers.get_mut(agent) else {
                continue;
            };
            if server.wanted == 0 {
                server.wanted = *count;
                self.counts.credit_messages += 1;
                out.push(EntryOutput::Want(*agent, *count));
            }
        }
    }

    fn send(&mut self, now: Millis, service: &String, pick: Pick, out: &mut Vec<EntryOutput>) {
        let (Some(job), Some(pool)) =
            (self.jobs.get_mut(&pick.handle), self.pools.get_mut(service))
        else {
            return;
        };
        let Some(server) = pool.servers.get_mut(&pick.agent) else {
            return;
        };
        self.last = DispatchNumber(self.last.0 + 1);
        let number = self.last;
        server.sent(now, number, pick.run);
        let cost = pool
            .estimator
            .typical(job.tasks[pick.task as usize].declared);
        job.target = job.target.max(pick.finish);
        job.tasks[pick.task as usize].progress = TaskProgress::InFlight(number);
        job.waiting.retain(|task| *task != pick.task);
        job.work = (job.work - cost).max(0.0);
        *job.agents.or_insert_with(pick.agent, || 0) += 1;
        let share = Self::allowance(&self.teams, &job.key.team).share;
        if let Some(queue) = self.queues.get_mut(service) {
            queue.charge(&job.key.team, cost / share);
            if job.waiting.is_empty() {
                queue.remove(&job.key.team, job.rank, pick.handle);
            }
        }
        let kind = job.kind;
        self.teams
            .or_insert_with(job.key.team.clone(), Default::default)
            .running += 1;
        let sent = InFlightDispatch {
            handle: pick.handle,
            task: pick.task,
            agent: pick.agent,
            cost,
            stamp: server.stamp,
        };
        self.out.insert(number, sent);
        self.counts.dispatched += 1;
        if let Some(order) = self.order(number, sent) {
            out.push(EntryOutput::Dispatch(pick.handle, kind, order));
        }
    }

    /// The dispatch message for a task that is out.
    pub(crate) fn order(&self, number: DispatchNumber, sent: InFlightDispatch) -> Option<Dispatch> {
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

    pub(crate) fn team_freed(&mut self, handle: JobHandle) {
        if let Some(job) = self.jobs.get(&handle)
            && let Some(team) = self.teams.get_mut(&job.key.team)
        {
            team.running = team.running.saturating_sub(1);
        }
    }

    /// Takes an agent's word in; one that matches nothing out is dropped.
    pub(crate) fn verdict(
        &mut self,
        now: Millis,
        verdict: Verdict,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        let Some(sent) = self.matching(&verdict) else {
            self.counts.strays += 1;
            return Ok(());
        };
        match verdict.status {
            TaskStatus::Queued => Ok(()),
            TaskStatus::Running => {
                if let Some(job) = self.jobs.get_mut(&sent.handle) {
                    job.started = true;
                }
                Ok(())
            }
            TaskStatus::NotRun(reason) => {
                self.take_back(verdict.number, sent, reason, out);
                Ok(())
            }
            status => self.ended(now, verdict.number, sent, status, out),
        }
    }

    fn matching(&self, verdict: &Verdict) -> Option<InFlightDispatch> {
        let sent = *self.out.get(&verdict.number)?;
        let job = self.jobs.get(&sent.handle);
        let same_job =
            job.is_none_or(|j| j.key == verdict.job && j.generation == verdict.generation);
        let same_task = sent.task == verdict.task && sent.agent == verdict.agent;
        (same_job && same_task).then_some(sent)
    }

    /// The dispatch is over, whatever its end.
    fn close(&mut self, number: DispatchNumber, sent: InFlightDispatch) {
        self.out.remove(&number);
        self.team_freed(sent.handle);
        if let Some(server) = self.server(sent.agent) {
            server.over(number);
            server.bound = server.bound.saturating_sub(1);
        }
        if let Some(job) = self.jobs.get_mut(&sent.handle)
            && let Some(count) = job.agents.get_mut(&sent.agent)
        {
            *count = count.saturating_sub(1);
        }
    }

    /// Charges a team what a task took in place of what was expected.
    fn correct(&mut self, sent: InFlightDispatch, took: f64) {
        let Some(job) = self.jobs.get(&sent.handle) else {
            return;
        };
        let share = Self::allowance(&self.teams, &job.key.team).share;
        if let Some(queue) = self.queues.get_mut(&job.service) {
            queue.correct(&job.key.team, sent.cost / share, took / share);
        }
    }

    /// A dispatch was not run: its task waits again.
    fn take_back(
        &mut self,
        number: DispatchNumber,
        sent: InFlightDispatch,
        reason: NotRunReason,
        out: &mut Vec<EntryOutput>,
    ) {
        self.counts.returned += 1;
        self.close(number, sent);
        self.correct(sent, 0.0);
        if let Some(server) = self.server(sent.agent) {
            server.breaker.returned();
            let closed = matches!(
                reason,
                NotRunReason::Out | NotRunReason::Leaving | NotRunReason::NoLease
            );
            if closed && server.credits > 0 {
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

    fn ended(
        &mut self,
        now: Millis,
        number: DispatchNumber,
        sent: InFlightDispatch,
        status: TaskStatus,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        self.close(number, sent);
        if let TaskStatus::Done { run, .. } | TaskStatus::Failed { run, .. } = &status {
            self.correct(sent, run.as_f64());
        }
        self.learn(now, sent, &status);
        let Some(job) = self.jobs.get_mut(&sent.handle) else {
            return Ok(());
        };
        if job.answer.is_some() {
            return Ok(());
        }
        job.started = true;
        match status {
            TaskStatus::Done { body, .. } => {
                job.tasks[sent.task as usize].progress = TaskProgress::Done(body);
                job.done += 1;
                let request = matches!(job.kind, JobKind::Request { .. });
                if job.is_whole() || request {
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

    fn learn(&mut self, now: Millis, sent: InFlightDispatch, status: &TaskStatus) {
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

    /// Takes over one task that the former owner had sent to `agent`.
    pub(crate) fn adopt(
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
                self.last = DispatchNumber(self.last.0 + 1);
                task.progress = TaskProgress::InFlight(self.last);
                job.started = true;
                *job.agents.or_insert_with(agent, || 0) += 1;
                let sent = InFlightDispatch {
                    handle,
                    task: verdict.task,
                    agent,
                    cost: 0.0,
                    stamp,
                };
                self.out.insert(self.last, sent);
                let team = job.key.team.clone();
                self.teams.or_insert_with(team, Default::default).running += 1;
                if let Some(order) = self.order(self.last, sent) {
                    out.push(EntryOutput::Ask(agent, vec![order]));
                }
                Ok(())
            }
            TaskStatus::Done { body, .. } => {
                if !matches!(task.progress, TaskProgress::Done(_)) {
                    task.progress = TaskProgress::Done(body);
                    job.started = true;
                    job.done += 1;
                }
                Ok(())
            }
            TaskStatus::Failed { reason, .. } => {
                job.started = true;
                let failure = Failure::Task {
                    task: verdict.task,
                    reason,
                };
                self.settle(now, handle, Answer::Failed(failure), out)
            }
        }
    }
}

/// A length in whole milliseconds; what is out of range is cut to it.
fn to_millis(ms: f64) -> Millis {
    // The cast saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = ms.max(0.0) as u64;
    Millis(whole)
}
