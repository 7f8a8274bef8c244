//! An agent's regular work: what lapses, what is sent again, what is told late.

use super::agent::{ServerAgent, ServerAgentOutput};
use super::agent_run::{AgentRun, RunPhase};
use super::dispatcher_link::Owner;
use super::guard::JobGuard;
use super::spec::{RunId, RunOutcome, TaskId};
use super::wire::AgentReport;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// While something runs, the backend server is looked at so often at least: ends
/// are seen late otherwise when a look gets no answer.
const LOOK_AGAIN: Millis = Millis(40);
/// Pause between stops of a run whose end is not listed yet.
const STOP_RETRY: Millis = Millis(80);
/// Between reports of progress.
const PROGRESS_EVERY: Millis = Millis(200);
/// Between reports of what other dispatchers use.
const OTHERS_EVERY: Millis = Millis(8);
/// A run or an end that no dispatcher claims is given up after this: sessions are
/// opened anew inside it, and the worker can be leased no longer meanwhile.
const CLAIM_WITHIN: Millis = Millis(400);
/// A dispatcher without a session is forgotten so long after its grant.
const FORGET_AFTER: Millis = Millis(3_000);

impl ServerAgent {
    pub(crate) fn tick(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        self.stop_lapsed(now, out);
        if self.server.is_none() {
            return;
        }
        if self.open_holds == 0 && now >= self.next_hold_at {
            let wait = if self.ends.is_empty() {
                self.hold_wait()
            } else {
                Millis(0)
            };
            self.send_hold(now, wait, out);
        }
        self.send_extra_hold(now, out);
        let overdue =
            |held: &AgentRun| held.phase == RunPhase::Stopping && now.since(held.at) >= STOP_RETRY;
        let overdue: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, h)| overdue(h))
            .map(|(k, _)| *k)
            .collect();
        for key in overdue {
            self.stop(now, key, out);
        }
        self.forget_unclaimed(now, out);
        self.report_progress(now, out);
    }

    /// A look that waits for an end may also never be answered; another one that does
    /// not wait tells.
    fn send_extra_hold(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let quiet = now.since(self.last_hold_answered_at.max(self.last_hold_sent_at)) >= LOOK_AGAIN;
        if quiet && self.open_holds > 0 && !self.runs.is_empty() {
            self.send_hold(now, Millis(0), out);
        }
    }

    /// Stops the runs of dispatchers whose grant has lapsed.
    pub(crate) fn stop_lapsed(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let mut stop = Vec::new();
        for (key, held) in self.runs.iter() {
            let dispatcher = self.dispatchers.get(&held.owner);
            let granted = dispatcher.is_some_and(|dispatcher| dispatcher.may_act(now));
            let fresh = held.found && now.since(held.at) < CLAIM_WITHIN;
            let lapsed = !granted && self.guards.on(JobGuard::Grant);
            if lapsed && !fresh && !held.phase.is_stopping() {
                stop.push((*key, held.owner));
            }
        }
        for (key, owner) in stop {
            events::GRANT_LAPSED.log(format_args!(
                "task={} run={} owner={owner:?}",
                key.0, key.1.0
            ));
            self.stop(now, key, out);
        }
        self.dispatchers.retain(|owner, dispatcher| {
            *owner == Owner::Group
                || dispatcher.connected
                || now.since(dispatcher.grant_expires_at) < FORGET_AFTER
        });
    }

    /// When the backend server's lease has run out, nothing can run there any more,
    /// and the ends of stored jobs that are not on record count no longer: their
    /// tasks may have been started elsewhere.
    pub(crate) fn drop_lapsed_runs(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        if now <= self.lease_expires_at {
            return;
        }
        let runs = self.runs.len();
        let void = self.ends.iter().filter(|end| end.binds_lease()).count();
        if runs + void == 0 {
            return;
        }
        events::LEASE_LAPSED.log(format_args!("life={} runs={runs} ends={void}", self.life()));
        self.runs = Table::default();
        for end in &mut self.ends {
            end.recorded |= end.owner == Owner::Group;
        }
        self.listed_under = None;
        for (owner, dispatcher) in self.dispatchers.iter_mut() {
            if dispatcher.has_inventory {
                dispatcher.has_inventory = false;
                let inventory = AgentReport::Inventory {
                    epoch: dispatcher.epoch,
                    server: None,
                    runs: Vec::new(),
                };
                out.push(ServerAgentOutput::Report(*owner, inventory));
            }
        }
    }

    /// Ends of dispatchers that are gone need no record.
    pub(crate) fn forget_unclaimed(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        for end in &mut self.ends {
            let gone = match end.owner {
                Owner::Group => false,
                Owner::Entry(_) => self.dispatchers.get(&end.owner).is_none(),
                Owner::Unclaimed => now.since(end.at) >= CLAIM_WITHIN,
            };
            let lost = end.owner != Owner::Group && end.end.outcome == RunOutcome::Lost;
            end.recorded |= gone || (lost && now.since(end.at) >= FORGET_AFTER);
        }
        self.drop_recorded(now, out);
    }

    pub(crate) fn report_progress(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        if now.since(self.progress_reported_at) < PROGRESS_EVERY {
            return;
        }
        self.progress_reported_at = now;
        let mut by_owner: Table<Owner, Vec<(TaskId, RunId, u32)>> = Table::default();
        for ((task, run), held) in self.runs.iter() {
            if held.phase == RunPhase::Running && now.since(held.at) >= PROGRESS_EVERY {
                let rows = by_owner.or_insert_with(held.owner, Vec::new);
                rows.push((*task, *run, held.percent));
            }
        }
        for (owner, rows) in by_owner.iter() {
            self.report(*owner, AgentReport::Progress(rows.clone()), out);
        }
    }

    /// Tells each dispatcher what the others' runs take.
    pub(crate) fn report_usage(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        if !self.usage_report_due || now.since(self.usage_reported_at) < OTHERS_EVERY {
            return;
        }
        self.usage_report_due = false;
        self.usage_reported_at = now;
        let told: Vec<_> = self
            .dispatchers
            .iter()
            .filter(|(_, b)| b.has_inventory)
            .map(|(o, _)| *o)
            .collect();
        for owner in told {
            self.report_usage_to(owner, out);
        }
    }

    /// Tells one dispatcher what the others' runs take, unless it knows.
    pub(crate) fn report_usage_to(&mut self, owner: Owner, out: &mut Vec<ServerAgentOutput>) {
        let used = self.used(Some(owner));
        if let Some(dispatcher) = self.dispatchers.get_mut(&owner)
            && dispatcher.has_inventory
            && dispatcher.reported_usage != Some(used)
        {
            dispatcher.reported_usage = Some(used);
            out.push(ServerAgentOutput::Report(
                owner,
                AgentReport::OtherUsage(used),
            ));
        }
    }
}
