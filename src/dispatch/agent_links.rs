//! An agent's sessions with dispatchers: connection, inventories and reports.

use super::agent::{ServerAgent, ServerAgentOutput};
use super::dispatcher_link::{DispatcherLink, Owner};
use super::spec::{RunId, TaskId};
use super::wire::AgentReport;
use crate::control::log::Term;
use crate::core::clock::Millis;
use crate::events;

impl ServerAgent {
    /// Sends a report to all dispatchers that have the agent's inventory.
    pub(crate) fn report_to_informed(
        &self,
        report: &AgentReport,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        for (owner, _) in self
            .dispatchers
            .iter()
            .filter(|(_, dispatcher)| dispatcher.has_inventory)
        {
            out.push(ServerAgentOutput::Report(*owner, report.clone()));
        }
    }

    pub(crate) fn on_leader(
        &mut self,
        now: Millis,
        term: Option<Term>,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let dispatcher = self
            .dispatchers
            .or_insert_with(Owner::Group, DispatcherLink::default);
        let Some(term) = term else {
            dispatcher.disconnect();
            return;
        };
        if term < self.term {
            return;
        }
        events::LEADER_FOUND.log(format_args!("term={}", term.0));
        dispatcher.connect(term.0);
        self.term = term;
        // The inventory must come from a hold call with the new leader's token: from then on the
        // backend server refuses the calls of former leaders.
        self.send_hold(now, Millis(0), out);
        self.report_inventories(out);
    }

    pub(crate) fn on_welcome(
        &mut self,
        now: Millis,
        life: u64,
        expected_runs: &[(TaskId, RunId)],
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let owner = Owner::Entry(life);
        let dispatcher = self
            .dispatchers
            .or_insert_with(owner, DispatcherLink::default);
        dispatcher.connect(life);
        dispatcher.expected_runs = expected_runs.to_vec();
        events::ENTRY_FOUND.log(format_args!("life={life} claimed={}", expected_runs.len()));
        self.assign_inherited();
        if self.listed_under.is_none() {
            self.send_hold(now, Millis(0), out);
        }
        self.report_inventories(out);
    }

    pub(crate) fn report(
        &self,
        owner: Owner,
        report: AgentReport,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        // Without an inventory there is nothing to add to; the next one includes this.
        if self
            .dispatchers
            .get(&owner)
            .is_some_and(|dispatcher| dispatcher.has_inventory)
        {
            out.push(ServerAgentOutput::Report(owner, report));
        }
    }
}
