//! What an agent learns of its worker's pace, and which dispatchers it tells.

use super::agent::{ServerAgent, ServerAgentOutput};
use super::agent_run::AgentRun;
use super::dispatcher_link::Owner;
use super::spec::{RunId, TaskId};
use super::wire::AgentReport;
use crate::core::clock::Millis;
use crate::events;

impl ServerAgent {
    /// Keeps the expected length of the run that the next order of this dispatcher starts. A
    /// dispatcher that sends one also reads reports of the pace; a former version does not.
    pub(crate) fn on_expect(
        &mut self,
        now: Millis,
        owner: Owner,
        key: (TaskId, RunId),
        length: Millis,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let Some(link) = self.dispatchers.get_mut(&owner) else {
            return;
        };
        link.next_expected = Some((key, length));
        if !link.reads_pace {
            link.reads_pace = true;
            self.report_pace(now, out);
        }
    }

    /// Takes the expected length of a run that is started now.
    pub(crate) fn take_expected(&mut self, owner: Owner, key: (TaskId, RunId)) -> Option<Millis> {
        let link = self.dispatchers.get_mut(&owner)?;
        let (expected_key, length) = link.next_expected.take()?;
        (expected_key == key).then_some(length)
    }

    /// Learns from a run that ended with success.
    pub(crate) fn learn_pace(&mut self, now: Millis, agent_run: &AgentRun) {
        if let (Some(expected), Some(answered_at)) = (agent_run.expected, agent_run.answered_at)
            && expected > Millis(0)
        {
            self.pace.record(now, expected, now.since(answered_at));
        }
    }

    /// Reports the pace to the dispatchers to which it is new.
    pub(crate) fn report_pace(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let pace = self.pace.thousandths();
        for (owner, link) in self.dispatchers.iter_mut() {
            if !link.has_inventory || !link.reads_pace {
                continue;
            }
            if let Some(pace) = link.reported_pace.next(now, pace) {
                metrics::gauge!("fulmardrift_worker_pace").set(pace);
                events::PACE.log(format_args!("owner={owner:?} pace={pace}"));
                out.push(ServerAgentOutput::Report(*owner, AgentReport::Pace(pace)));
            }
        }
    }
}
