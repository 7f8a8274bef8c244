//! Ownership of jobs: claims, the takeover of a dead entry's jobs, and a new incarnation of this
//! entry.

use bytes::Bytes;

use super::answers::abandoned_answer;
use super::chart::ChartError;
use super::clock::Millis;
use super::entry::Entry;
use super::entry_io::{ClaimResult, EntryOutput};
use super::ids::Incarnation;
use super::job::{Answer, Failure, JobEvent, JobHandle, JobState, Refusal, TaskProgress};
use super::table::Table;
use super::task::Verdict;

impl Entry {
    pub(crate) fn handle_claim(
        &mut self,
        now: Millis,
        handle: JobHandle,
        result: ClaimResult,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        let Some(job) = self.jobs.get_mut(&handle) else {
            return Ok(());
        };
        if job.answer.is_some() {
            return Ok(());
        }
        match result {
            ClaimResult::Granted(generation) => {
                job.state = self.chart.next(job.state, JobEvent::Granted)?;
                job.generation = generation;
                self.enqueue(handle);
            }
            ClaimResult::Attached => {
                job.state = self.chart.next(job.state, JobEvent::Attached)?;
                out.push(EntryOutput::Attach(handle, job.key.clone()));
            }
            ClaimResult::Conflict => {
                let answer = Answer::Refused(Refusal::KeyConflict, None);
                self.settle(now, handle, answer, out)?;
            }
            ClaimResult::Unknown => {
                let answer = Answer::Failed(Failure::NoClaim);
                self.settle(now, handle, answer, out)?;
            }
            ClaimResult::TakenOver {
                generation,
                agents,
                lost,
                settled,
                age,
            } => {
                job.state = self.chart.next(job.state, JobEvent::TakenOver)?;
                job.generation = generation;
                if settled == Some(false) {
                    let answer = Answer::Failed(Failure::ResultsGone);
                    return self.settle(now, handle, answer, out);
                }
                if lost && settled.is_none() {
                    let answer = Answer::Failed(Failure::Unaccounted);
                    return self.settle(now, handle, answer, out);
                }
                // No task may start of a complete job, or of one so old that agents may have
                // pruned their starts of it.
                job.must_not_start = settled.is_some() || age > self.limits.memory;
                for agent in &agents {
                    let key = job.key.clone();
                    out.push(EntryOutput::Inventory(handle, *agent, key, generation));
                }
                job.awaited_inventories = agents;
                job.awaited_inventories.sort_unstable();
                self.finish_recovery(now, handle, out)?;
            }
        }
        Ok(())
    }

    pub(crate) fn handle_inventory(
        &mut self,
        now: Millis,
        handle: JobHandle,
        agent: Incarnation,
        tasks: Option<Vec<Verdict>>,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        let Some(job) = self.jobs.get_mut(&handle) else {
            return Ok(());
        };
        let Ok(i) = job.awaited_inventories.binary_search(&agent) else {
            return Ok(());
        };
        job.awaited_inventories.remove(i);
        let Some(tasks) = tasks else {
            return self.settle(now, handle, Answer::Failed(Failure::Unaccounted), out);
        };
        for verdict in tasks {
            self.adopt_task(now, handle, agent, verdict, out)?;
        }
        self.finish_recovery(now, handle, out)
    }

    /// Continues a taken-over job once the inventories of all agents have arrived.
    pub(crate) fn finish_recovery(
        &mut self,
        now: Millis,
        handle: JobHandle,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        let Some(job) = self.jobs.get_mut(&handle) else {
            return Ok(());
        };
        if job.state != JobState::Recovering || !job.awaited_inventories.is_empty() {
            return Ok(());
        }
        if job.is_complete() {
            let answer = Answer::Complete(job.results());
            return self.settle(now, handle, answer, out);
        }
        if job.must_not_start {
            return self.settle(now, handle, Answer::Failed(Failure::ResultsGone), out);
        }
        job.state = self.chart.next(job.state, JobEvent::Granted)?;
        self.enqueue(handle);
        Ok(())
    }

    pub(crate) fn handle_relayed(
        &mut self,
        now: Millis,
        handle: JobHandle,
        status: u16,
        body: Bytes,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        match self.jobs.get(&handle) {
            Some(job) if job.state == JobState::Attached => {
                self.settle(now, handle, Answer::Relayed { status, body }, out)
            }
            _ => Ok(()),
        }
    }

    pub(crate) fn handle_reclaim(
        &mut self,
        handle: JobHandle,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        let Some(job) = self.jobs.get_mut(&handle) else {
            return Ok(());
        };
        let Some(digest) = job.digest.clone() else {
            return Ok(());
        };
        if job.answer.is_some() {
            return Ok(());
        }
        job.state = self.chart.next(job.state, JobEvent::Reclaim)?;
        out.push(EntryOutput::Claim(handle, job.key.clone(), digest));
        Ok(())
    }

    /// Adopts a new incarnation. All dispatches belong to the former one, so jobs with a caller's
    /// key are claimed again, and all others fail or are refused.
    pub(crate) fn handle_rejoined(
        &mut self,
        now: Millis,
        incarnation: Incarnation,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        self.incarnation = incarnation;
        self.lease_expires_at = Millis(0);
        self.in_flight = Table::default();
        self.queues = Table::default();
        for (_, pool) in self.pools.iter_mut() {
            for (_, server) in pool.servers.iter_mut() {
                server.reset();
            }
        }
        for (_, team) in self.teams.iter_mut() {
            team.running = 0;
        }
        for handle in std::mem::take(&mut self.withheld) {
            if let Some(job) = self.jobs.get_mut(&handle) {
                job.answer = None;
                job.state = JobState::Running;
            }
        }
        let open = self.jobs.iter().filter(|(_, job)| job.answer.is_none());
        let open: Vec<JobHandle> = open.map(|(handle, _)| *handle).collect();
        for handle in open {
            let Some(job) = self.jobs.get_mut(&handle) else {
                continue;
            };
            if !job.is_keyed() {
                let answer = abandoned_answer(job, Refusal::Stopping, Failure::OwnerLost);
                self.settle(now, handle, answer, out)?;
                continue;
            }
            for task in &mut job.tasks {
                task.progress = TaskProgress::Waiting;
            }
            job.done = 0;
            job.waiting.clear();
            job.agents = Table::default();
            job.awaited_inventories.clear();
            match job.state {
                JobState::Claiming => {}
                _ => self.handle_reclaim(handle, out)?,
            }
        }
        Ok(())
    }
}
