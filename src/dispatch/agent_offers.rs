//! How an agent gives capacity to the dispatchers that ask for it.

use super::agent::{ServerAgent, ServerAgentOutput};
use super::agent_run::{AgentRun, RunPhase};
use super::dispatcher_link::Owner;
use super::guard::JobGuard;
use super::load::offers::Decision;
use super::load::want::Want;
use super::spec::Resources;
use crate::core::clock::Millis;
use crate::events;

/// Progress from which a run's end is projected, in percent.
const MIN_PERCENT: u32 = 10;
/// A run past its expected end is assumed to end after this part of its time so far.
const OVERTIME_PART: u64 = 8;
/// Shortest time to the assumed end of a run, in milliseconds.
const MIN_LEFT: Millis = Millis(5);
/// A run of unknown length is assumed to take this long, in milliseconds.
const UNKNOWN_LENGTH: Millis = Millis(10_000);

impl ServerAgent {
    /// Handles what a dispatcher asks for.
    pub(crate) fn on_wants(&mut self, now: Millis, owner: Owner, wants: &[Want]) {
        let dispatcher = self.dispatchers.get(&owner);
        if dispatcher.is_some_and(|dispatcher| dispatcher.has_inventory) {
            self.offers.replace(now, owner, wants);
        }
    }

    /// Forgets what dispatchers asked for that may no longer order runs. What is kept until runs end
    /// depends on the time.
    pub(crate) fn drop_lapsed_wants(&mut self, now: Millis) {
        if self.offers.is_idle() {
            return;
        }
        self.offers.set_due();
        for owner in self.offers.owners() {
            if !self.may_order(now, owner) {
                self.offers.forget(owner);
            }
        }
    }

    /// Offers free capacity to those who ask for it, and tells them.
    pub(crate) fn settle_offers(&mut self, now: Millis, out: &mut Vec<ServerAgentOutput>) {
        if self.offers.is_idle() {
            return;
        }
        for owner in self.offers.expire(now) {
            events::OFFER_LAPSED.log(format_args!("life={} owner={owner:?}", self.life()));
            // It may not take the capacity for free any more.
            self.usage_report_due = true;
            self.report_usage_to(owner, out);
        }
        let mut offers = std::mem::take(&mut self.offers);
        let decisions = self.server.as_ref().map(|server| {
            let is_evacuated = self.evacuated.binary_search(&server.data_centre).is_ok();
            let is_open = !server.leaving
                && !is_evacuated
                && !self.crash_log.is_down()
                && self.lease_end(now).is_some();
            let may_order = |owner: Owner| is_open && self.may_order(now, owner);
            let ends = || self.expected_ends(now);
            offers.allocate(now, server.capacity, self.used(None), ends, may_order)
        });
        self.offers = offers;
        for decision in decisions.unwrap_or_default() {
            match decision {
                Decision::Offered(open) => {
                    events::OFFERED.log(format_args!(
                        "life={} owner={:?} cpu={} class={:?} cost={} asked_ms={}",
                        self.life(),
                        open.owner,
                        open.want.need.cpu,
                        open.want.urgency.class,
                        open.want.urgency.cost,
                        now.since(open.asked_at).0
                    ));
                    if let Some(dispatcher) = self.dispatchers.get_mut(&open.owner) {
                        // An entry that was denied lately passes the worker over until it hears.
                        dispatcher.reported_usage = None;
                    }
                    self.report_usage_to(open.owner, out);
                }
                Decision::Kept(open, fits_at) => {
                    events::KEPT.log(format_args!(
                        "life={} owner={:?} cpu={} class={:?} cost={} fits_in_ms={}",
                        self.life(),
                        open.owner,
                        open.want.need.cpu,
                        open.want.urgency.class,
                        open.want.urgency.cost,
                        fits_at.since(now).0
                    ));
                }
            }
        }
    }

    fn may_order(&self, now: Millis, owner: Owner) -> bool {
        self.dispatchers.get(&owner).is_some_and(|dispatcher| {
            dispatcher.has_inventory
                && (dispatcher.may_act(now, self.times.stop_lead)
                    || !self.guards.on(JobGuard::Grant))
        })
    }

    /// What a dispatcher may not use: runs of others, and what is reserved for these.
    pub(crate) fn usage_beside(&self, owner: Owner) -> Resources {
        let mut used = self.used(Some(owner));
        used.add(self.offers.reserved(Some(owner)));
        used
    }

    /// When each run is expected to end, and what it uses.
    fn expected_ends(&self, now: Millis) -> Vec<(Millis, Resources)> {
        let runs = self.runs.iter();
        runs.map(|(_, agent_run)| (expected_end(now, agent_run), agent_run.need))
            .collect()
    }
}

/// When a run is expected to end: by its progress, once that says something, and by its expected
/// length before.
fn expected_end(now: Millis, agent_run: &AgentRun) -> Millis {
    if agent_run.phase.is_stopping() {
        return now + MIN_LEFT;
    }
    let started = agent_run.answered_at.unwrap_or(agent_run.ordered_at);
    let is_projected = agent_run.phase == RunPhase::Running && agent_run.percent >= MIN_PERCENT;
    let total = if is_projected {
        let age = agent_run.listed_at.since(started).0;
        Millis(age * 100 / u64::from(agent_run.percent))
    } else {
        agent_run.expected.unwrap_or(UNKNOWN_LENGTH)
    };
    let overtime = Millis(now.since(started).0 / OVERTIME_PART).max(MIN_LEFT);
    let end = started + total;
    if end > now { end } else { now + overtime }
}
