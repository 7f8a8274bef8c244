//! How an entry's jobs come to their answers.

use super::chart::ChartError;
use super::clock::Millis;
use super::entry::Entry;
use super::entry_io::EntryOutput;
use super::job::{Answer, Failure, Job, JobEvent, JobHandle, JobState, Refusal};

impl Entry {
    /// Gives a job its answer.
    pub(crate) fn settle(
        &mut self,
        now: Millis,
        handle: JobHandle,
        answer: Answer,
        out: &mut Vec<EntryOutput>,
    ) -> Result<(), ChartError> {
        let Some(job) = self.jobs.get_mut(&handle) else {
            return Ok(());
        };
        if job.answer.is_some() {
            return Ok(());
        }
        let event = match &answer {
            Answer::Complete(_) | Answer::Relayed { .. } => JobEvent::Complete,
            Answer::Failed(_) => JobEvent::Fail,
            Answer::Refused(..) => JobEvent::Refuse,
        };
        let owned = !matches!(job.state, JobState::Attached | JobState::Claiming);
        job.state = self.chart.next(job.state, event)?;
        job.answer = Some(answer);
        job.settled = now;
        let held = job.is_keyed() && owned && now >= self.lease;
        for (agent, count) in job.agents.iter().filter(|(_, count)| **count > 0) {
            debug_assert!(*count > 0);
            out.push(EntryOutput::Cancel(*agent, job.key.clone(), job.generation));
        }
        if let Some(queue) = self.queues.get_mut(&job.service) {
            queue.remove(&job.key.team, job.rank, handle);
        }
        if held {
            self.held.push(handle);
        } else {
            self.deliver(handle, owned, out);
        }
        Ok(())
    }

    pub(crate) fn deliver(&mut self, handle: JobHandle, owned: bool, out: &mut Vec<EntryOutput>) {
        let Some(job) = self.jobs.get_mut(&handle) else {
            return;
        };
        let Some(answer) = job.answer.clone() else {
            return;
        };
        if owned && job.is_keyed() {
            out.push(EntryOutput::Record {
                key: job.key.clone(),
                generation: job.generation,
                outcome: job.state,
                agents: job.agents.iter().map(|(agent, _)| *agent).collect(),
            });
        }
        for waiter in job.waiters.drain(..) {
            out.push(EntryOutput::Answer(waiter, answer.clone()));
        }
        job.tasks = Vec::new();
        job.waiting = Vec::new();
    }

    pub(crate) fn release_held(&mut self, now: Millis, out: &mut Vec<EntryOutput>) {
        if now >= self.lease {
            return;
        }
        for handle in std::mem::take(&mut self.held) {
            self.deliver(handle, true, out);
        }
    }
}

/// The answer to a job that is given up: refused only when nothing can have run.
pub(crate) fn give_up(job: &Job, refusal: Refusal, failure: Failure) -> Answer {
    if job.state == JobState::Claiming {
        // Nobody knows yet whose job it is.
        return Answer::Failed(Failure::NoClaim);
    }
    let unsure = matches!(job.state, JobState::Attached | JobState::Recovering);
    if job.started || unsure || job.agents.iter().any(|(_, count)| *count > 0) {
        Answer::Failed(failure)
    } else {
        Answer::Refused(refusal, None)
    }
}
