//! An agent's periodic work: expired grants and leases, retries, and delayed reports.

use super::agent::{ServerAgent, ServerAgentOutput};
use super::agent_crashes::Loss;
use super::agent_run::{AgentRun, RunPhase};
use super::dispatcher_link::{DispatcherLink, Owner};
use super::guard::JobGuard;
use super::load::offers::Offers;
use super::spec::{Resources, RunId, RunOutcome, TaskId};
use super::wire::AgentReport;
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;

/// While something runs, another hold call is sent after this long without a sent or answered one.
/// Without it, the agent would learn of ends late when a hold call gets no answer.
const EXTRA_HOLD_AFTER: Millis = Millis(40);
/// Pause between stop calls for a run whose end is not listed yet.
const STOP_RETRY: Millis = Millis(80);
/// Interval between progress reports, and the age from which a run is in them: most runs are over by
/// then, and one that stands still shows soon.
const PROGRESS_INTERVAL: Millis = Millis(100);
/// Shortest interval between rounds of reports of what other dispatchers use. A round has at most one
/// report for each millisecond since the last. If there are more dispatchers, they take turns: an
/// agent's reports are then bounded however many there are. A round offers a free place to one of
/// them only, and the next one to another, unless it has been taken by then.
const USAGE_INTERVAL: Millis = Millis(8);
/// Free room is offered to all dispatchers when no run has started or ended for this long, in
/// milliseconds; under load, it is taken sooner.
const UNCLAIMED_AFTER: Millis = Millis(100);
/// An inherited run or end is abandoned if no dispatcher has claimed it after this long.
/// Dispatchers reopen their sessions within that time; until then the worker's lease cannot be
/// extended.
const CLAIM_TIMEOUT: Millis = Millis(400);
/// A dispatcher without a session is forgotten this long after its grant expired.
const FORGET_AFTER: Millis = Millis(3_000);

impl ServerAgent {
    pub(crate) fn tick(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        self.stop_lapsed(now, out);
        self.drop_lapsed_wants(now);
        self.crash_log.tick(now);
        if self.has_left && self.runs.is_empty() {
            self.discard_server(now, Loss::Left, out);
        }
        if self.server.is_none() {
            return;
        }
        if self.open_holds == 0 && now >= self.next_hold_at {
            let max_wait = if self.has_unconfirmed_ends() {
                Millis(0)
            } else {
                self.hold_wait()
            };
            self.send_hold(now, max_wait, out);
        }
        self.send_extra_hold(now, out);
        let overdue = |agent_run: &AgentRun| {
            agent_run.phase == RunPhase::Stopping && now.since(agent_run.changed_at) >= STOP_RETRY
        };
        let overdue: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, agent_run)| overdue(agent_run))
            .map(|(key, _)| *key)
            .collect();
        for key in overdue {
            self.stop(now, key, out);
        }
        self.release_unclaimed_ends(now, out);
        if self.ejection.end_if_over(now) {
            self.report_ejection(false, out);
        }
        self.report_progress(now, out);
        self.report_pace(now, out);
    }

    /// Reports to all dispatchers whether the worker should get new runs.
    pub(crate) fn report_ejection(&self, ejected: bool, out: &mut Vec<ServerAgentOutput>) {
        events::EJECTED.log(format_args!(
            "life={} ejected={ejected} runs={}",
            self.life(),
            self.runs.len()
        ));
        self.report_to_informed(&AgentReport::Ejected(ejected), out);
    }

    /// Sends a hold call that does not wait for an end, in case the open one is never answered.
    fn send_extra_hold(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let is_overdue =
            now.since(self.last_hold_answered_at.max(self.last_hold_sent_at)) >= EXTRA_HOLD_AFTER;
        if is_overdue && self.open_holds > 0 && !self.runs.is_empty() {
            self.send_hold(now, Millis(0), out);
        }
    }

    /// Stops the runs of dispatchers whose grant is about to expire or has expired, and forgets
    /// dispatchers that are gone.
    pub(crate) fn stop_lapsed(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let mut stop = Vec::new();
        for (key, agent_run) in self.runs.iter() {
            let dispatcher = self.dispatchers.get(&agent_run.owner);
            let may_act =
                dispatcher.is_some_and(|dispatcher| dispatcher.may_act(now, self.times.stop_lead));
            let may_be_claimed =
                agent_run.inherited && now.since(agent_run.changed_at) < CLAIM_TIMEOUT;
            let lapsed = !may_act && self.guards.on(JobGuard::Grant);
            if lapsed && !may_be_claimed && !agent_run.phase.is_stopping() {
                stop.push((*key, agent_run.owner));
            }
        }
        for (key, owner) in stop {
            events::GRANT_LAPSED.log(format_args!(
                "task={} run={} owner={owner:?} grant_ms={} lease_ms={}",
                key.0,
                key.1.0,
                self.grant_left(now, owner).0,
                self.lease_bound().since(now).0
            ));
            self.stop(now, key, out);
        }
        self.dispatchers.retain(|owner, dispatcher| {
            *owner == Owner::Group
                || dispatcher.connected
                || now.since(dispatcher.grant_expires_at) < FORGET_AFTER
        });
    }

    /// Drops all runs once the backend server's lease has expired, since nothing can run there any
    /// more. Unrecorded ends of stored jobs' tasks no longer count either: those tasks may have
    /// been started elsewhere.
    pub(crate) fn drop_lapsed_runs(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        if now <= self.lease_bound() {
            return;
        }
        if self.crash_log.is_down() {
            self.drop_crashed_runs(now, out);
            return;
        }
        let runs = self.runs.len();
        let void_ends = self.ends.iter().filter(|end| end.limits_lease()).count();
        if runs + void_ends == 0 {
            return;
        }
        events::LEASE_LAPSED.log(format_args!(
            "life={} runs={runs} ends={void_ends}",
            self.life()
        ));
        self.log_all_over(now, &"LeaseLapsed");
        self.runs = Table::default();
        self.offers = Offers::default();
        self.void_ends();
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

    /// Ends of stored jobs' tasks no longer count once the lease has expired.
    pub(crate) fn void_ends(&mut self) {
        for end in &mut self.ends {
            end.recorded |= end.owner == Owner::Group;
        }
    }

    /// Marks the ends as recorded that no dispatcher will record any more.
    pub(crate) fn release_unclaimed_ends(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        for end in &mut self.ends {
            let gone = match end.owner {
                Owner::Group => false,
                Owner::Entry(_) => self.dispatchers.get(&end.owner).is_none(),
                Owner::Unclaimed => now.since(end.received_at) >= CLAIM_TIMEOUT,
            };
            let lost = end.owner != Owner::Group && end.end.outcome == RunOutcome::Lost;
            end.recorded |= gone || (lost && now.since(end.received_at) >= FORGET_AFTER);
        }
        self.drop_recorded(now, out);
    }

    pub(crate) fn report_progress(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        // Without a newer list of runs, each run would seem to stand still.
        let is_listed = self.listed_as_of > self.progress_reported_at;
        if now.since(self.progress_reported_at) < PROGRESS_INTERVAL || !is_listed {
            return;
        }
        self.progress_reported_at = now;
        let mut by_owner: Table<Owner, Vec<(TaskId, RunId, u32)>> = Table::default();
        for ((task, run), agent_run) in self.runs.iter() {
            // A run that was not listed has ended: its progress is not known, rather than none.
            if agent_run.phase == RunPhase::Running
                && agent_run.listed_as_of >= self.listed_as_of
                && now.since(agent_run.changed_at) >= PROGRESS_INTERVAL
            {
                let rows = by_owner.or_insert_with(agent_run.owner, Vec::new);
                rows.push((*task, *run, agent_run.percent));
            }
        }
        for (owner, rows) in by_owner.iter() {
            self.report(*owner, AgentReport::Progress(rows.clone()), out);
        }
    }

    /// Reports to the dispatchers whose turn it is what the others' runs use.
    pub(crate) fn report_usage(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        let elapsed = now.since(self.usage_reported_at);
        if !self.usage_report_due || elapsed < USAGE_INTERVAL {
            return;
        }
        let max_reports = usize::try_from(elapsed.0).unwrap_or(usize::MAX);
        self.usage_reported_at = now;
        let outdated = self.dispatchers_to_inform();
        let due = outdated.len();
        let (mut offered, mut informed): (Vec<_>, Vec<_>) = outdated
            .into_iter()
            .partition(|owner| self.frees_room(*owner));
        rotate_after(&mut offered, self.last_offered);
        rotate_after(&mut informed, self.last_informed);
        // A place that has come free since the last round is left to the dispatcher whose run ended
        // there: it learns that first and may have ordered already. Room that nobody takes is
        // offered to all.
        let places = self.free_places(due);
        let offers = std::mem::replace(&mut self.least_free, places);
        let is_unclaimed = now.since(self.usage_changed_at) >= UNCLAIMED_AFTER;
        let offers = match (is_unclaimed, self.offers.is_idle()) {
            (true, _) => due,
            (false, true) => offers,
            // Those who ask are offered it.
            (false, false) => 0,
        };
        offered.truncate(offers.min(max_reports));
        informed.truncate(max_reports - offered.len());
        self.usage_report_due = due > offered.len() + informed.len();
        self.last_offered = offered.last().copied().or(self.last_offered);
        self.last_informed = informed.last().copied().or(self.last_informed);
        for owner in offered.into_iter().chain(informed) {
            self.report_usage_to(owner, out);
        }
    }

    /// Updates what the next round of reports goes by: when the usage last changed, and the least
    /// number of free places since the last round.
    pub(crate) fn note_usage(&mut self, now: Millis) {
        let used = self.used(None);
        if used != self.last_used {
            self.last_used = used;
            self.usage_changed_at = now;
            self.offers.set_due();
        }
        if self.least_free > 0 {
            self.least_free = self.free_places(self.least_free);
        }
    }

    /// Number of further runs, up to `limit`, for which there is room, if each needs as much as the
    /// smallest that is held.
    fn free_places(&self, limit: usize) -> usize {
        let needs = self.runs.iter().map(|(_, agent_run)| agent_run.need);
        let smallest = needs
            .filter(|need| *need != Resources::default())
            .min_by_key(|need| need.cpu);
        let (Some(need), Some(server)) = (smallest, &self.server) else {
            return limit;
        };
        let mut used = self.used(None);
        let mut places = 0;
        while places < limit && server.capacity.fits(used, need) {
            used.add(need);
            places += 1;
        }
        places
    }

    /// True if a dispatcher was last told of more usage by others than there is now.
    fn frees_room(&self, owner: Owner) -> bool {
        let reported = self.dispatchers.get(&owner).and_then(|d| d.reported_usage);
        reported.is_some_and(|reported| reported.exceeds(self.usage_beside(owner)))
    }

    /// Dispatchers that last heard of another usage than the present one, in order.
    fn dispatchers_to_inform(&self) -> Vec<Owner> {
        let is_outdated = |owner: Owner, dispatcher: &DispatcherLink| {
            dispatcher.has_inventory && dispatcher.reported_usage != Some(self.usage_beside(owner))
        };
        let dispatchers = self.dispatchers.iter();
        dispatchers
            .filter(|(owner, dispatcher)| is_outdated(**owner, dispatcher))
            .map(|(owner, _)| *owner)
            .collect()
    }

    /// Reports to one dispatcher what the others' runs use, unless it has that figure already.
    pub(crate) fn report_usage_to(&mut self, owner: Owner, out: &mut Vec<ServerAgentOutput>) {
        let used = self.usage_beside(owner);
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

/// Has the first owner after `last` come first; `owners` are in order.
fn rotate_after(owners: &mut [Owner], last: Option<Owner>) {
    let next = owners.partition_point(|owner| Some(*owner) <= last);
    owners.rotate_left(next);
}
