//! Answers of an entry's jobs: settling a job and delivering its answer.

use super::chart::ChartError;
use super::clock::Millis;
use super::entry::Entry;
use super::entry_io::EntryOutput;
use super::job::{Answer, Failure, Job, JobEvent, JobHandle, JobState, Refusal};

impl Entry {
    /// Settles a job with `answer`. A job that already has one is left unchanged.
    ///
    /// The answer to a claimed job is withheld while the entry's lease has expired, because another
    /// entry may have taken the job over.
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
        job.settled_at = now;
        let withheld = job.is_keyed() && owned && now >= self.lease_expires_at;
        for (agent, count) in job.agents.iter().filter(|(_, count)| **count > 0) {
            debug_assert!(*count > 0);
            out.push(EntryOutput::Cancel(*agent, job.key.clone(), job.generation));
        }
        if let Some(queue) = self.queues.get_mut(&job.service) {
            queue.remove(&job.key.team, job.rank, handle);
        }
        if withheld {
            self.withheld.push(handle);
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

    pub(crate) fn release_withheld(&mut self, now: Millis, out: &mut Vec<EntryOutput>) {
        if now >= self.lease_expires_at {
            return;
        }
        for handle in std::mem::take(&mut self.withheld) {
            self.deliver(handle, true, out);
        }
    }
}

/// The answer to a job that is abandoned: `refusal` only if no task can have run, else `failure`.
pub(crate) fn abandoned_answer(job: &Job, refusal: Refusal, failure: Failure) -> Answer {
    if job.state == JobState::Claiming {
        // An earlier submission under the same key may have run elsewhere.
        return Answer::Failed(Failure::NoClaim);
    }
    let unsure = matches!(job.state, JobState::Attached | JobState::Recovering);
    if job.may_have_started || unsure || job.agents.iter().any(|(_, count)| *count > 0) {
        Answer::Failed(failure)
    } else {
        Answer::Refused(refusal, None)
    }
}
