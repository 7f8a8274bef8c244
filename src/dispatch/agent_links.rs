//! An agent's sessions with dispatchers, and what it reports on them.

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
            self.offers.forget(Owner::Group);
            return;
        };
        if term < self.term {
            return;
        }
        events::LEADER_FOUND.log(format_args!("term={}", term.0));
        dispatcher.connect(term.0);
        self.offers.forget(Owner::Group);
        self.term = term;
        // The inventory must come from a hold call with the new leader's token: from then on the
        // backend server refuses the calls of former leaders.
        self.send_hold(now, Millis(0), out);
        self.report_inventories(out);
        self.report_early_ends(out);
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
        self.offers.forget(owner);
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

    /// Sends the inventory to each connected dispatcher that lacks it, once the runs at the backend
    /// server are known.
    pub(crate) fn report_inventories(&mut self, out: &mut Vec<ServerAgentOutput>) {
        let mut due = Vec::new();
        for (owner, dispatcher) in self.dispatchers.iter() {
            let is_listed = match owner {
                // Without a backend server there is nothing to list, unless one runs that has not
                // announced itself to this incarnation of the agent yet.
                _ if self.server.is_none() => !self.may_have_unknown_runs,
                Owner::Group => self.listed_under == Some((self.life(), self.term)),
                _ => self
                    .listed_under
                    .is_some_and(|(life, _)| life == self.life()),
            };
            if dispatcher.connected && !dispatcher.has_inventory && is_listed {
                due.push((*owner, dispatcher.epoch));
            }
        }
        for (owner, epoch) in due {
            self.report_inventory(owner, epoch, out);
        }
    }

    /// Sends the group's leader the ends of its runs before the inventory, which must wait until the
    /// backend server has listed all ends: it lists further ones only once these are recorded.
    pub(crate) fn report_early_ends(&mut self, out: &mut Vec<ServerAgentOutput>) {
        let life = self.life();
        let Some(dispatcher) = self.dispatchers.get_mut(&Owner::Group) else {
            return;
        };
        let is_due = dispatcher.connected && !dispatcher.has_inventory;
        if !is_due || self.listed_under.is_some() {
            return;
        }
        let reported = dispatcher.reported_end;
        let own = self.ends.iter().filter(|e| e.owner == Owner::Group);
        let new = own.filter(|e| !e.recorded && e.number > reported);
        let ends: Vec<_> = new.map(|e| (e.number, e.end)).collect();
        if let Some((last, _)) = ends.last() {
            dispatcher.reported_end = *last;
            let report = AgentReport::Ends { life, ends };
            out.push(ServerAgentOutput::Report(Owner::Group, report));
        }
    }

    /// Sends the unrecorded ends, then the inventory: the dispatcher treats a run that is missing
    /// from the inventory as lost unless it already knows its end.
    pub(crate) fn report_inventory(
        &mut self,
        owner: Owner,
        epoch: u64,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        if let Some(dispatcher) = self.dispatchers.get_mut(&owner) {
            dispatcher.has_inventory = true;
        }
        self.report_recent_crashes(owner, out);
        let ends: Vec<_> = self
            .ends
            .iter()
            .filter(|e| e.owner == owner && !e.recorded)
            .map(|e| (e.number, e.end))
            .collect();
        if !ends.is_empty() {
            let life = self.life();
            out.push(ServerAgentOutput::Report(
                owner,
                AgentReport::Ends { life, ends },
            ));
        }
        let own = self
            .runs
            .iter()
            .filter(|(_, agent_run)| agent_run.owner == owner);
        let inventory = AgentReport::Inventory {
            epoch,
            server: self.server.clone(),
            runs: own.map(|(key, _)| *key).collect(),
        };
        out.push(ServerAgentOutput::Report(owner, inventory));
        self.report_if_down(owner, out);
        if self.ejection.is_active() {
            out.push(ServerAgentOutput::Report(owner, AgentReport::Ejected(true)));
        }
        self.usage_report_due = true;
    }
}
