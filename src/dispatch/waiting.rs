//! Orders that wait at an agent until there is room.
//!
//! Dispatchers compete for a worker and see it a hop late. An order that comes a
//! moment too early waits here, and the most urgent one of all dispatchers is
//! started as soon as a run ends.

use super::agent::{Agent, AgentOutput};
use super::boss::Owner;
use super::demand::Rank;
use super::held::{Held, Phase};
use super::spec::{Resources, Run, TaskId};
use super::wire::{Denial, Report};
use crate::core::clock::Millis;
use crate::events;

/// Longest wait for room: a task of the shortest kind takes about as long, so that
/// another worker can still be tried in time.
const WAIT_FOR: Millis = Millis(40);
/// Orders that may wait at a time.
const MOST: usize = 64;

/// An order to start a run.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) owner: Owner,
    pub(crate) since: Millis,
    /// The life of the backend server that is meant.
    pub(crate) life: u64,
    pub(crate) key: (TaskId, Run),
    pub(crate) need: Resources,
    pub(crate) rank: Rank,
    pub(crate) payload: String,
}

impl Agent {
    /// Starts a run, lets it wait for room, or denies it.
    pub(crate) fn on_start(&mut self, now: Millis, order: Waiting, out: &mut Vec<AgentOutput>) {
        match self.denial(now, order.owner, order.life, order.need) {
            None => self.start(now, order, out),
            Some(Denial::Room) if self.waiting.len() < MOST => self.wait(now, order),
            Some(reason) => self.deny(now, &order, reason, out),
        }
    }

    fn start(&mut self, now: Millis, order: Waiting, out: &mut Vec<AgentOutput>) {
        let held = Held::starting(order.owner, order.need, now);
        self.runs.insert(order.key, held);
        self.others_due = true;
        self.call_start(now, order.key.0, order.key.1, order.payload, out);
    }

    fn wait(&mut self, now: Millis, order: Waiting) {
        let mut held = Held::starting(order.owner, order.need, now);
        held.phase = Phase::Waiting;
        self.runs.insert(order.key, held);
        let at = self.waiting.partition_point(|w| w.rank <= order.rank);
        self.waiting.insert(at, order);
    }

    /// An order that has not led to a start.
    pub(crate) fn deny(
        &mut self,
        now: Millis,
        order: &Waiting,
        reason: Denial,
        out: &mut Vec<AgentOutput>,
    ) {
        let (task, run) = order.key;
        let owner = order.owner;
        events::START_DENIED.log(format_args!(
            "task={task} run={} owner={owner:?} by=agent reason={reason:?} life={} waited_ms={} \
             used_cpu={} need_cpu={}",
            run.0,
            order.life,
            now.since(order.since).0,
            self.used(None).cpu,
            order.need.cpu
        ));
        let report = Report::NotStarted { task, run, reason };
        out.push(AgentOutput::Report(owner, report));
        if reason == Denial::Room {
            // The dispatcher chose by an older report.
            self.tell_others_to(owner, out);
        }
    }

    /// Takes an order off that waits.
    pub(crate) fn take_waiting(&mut self, key: (TaskId, Run)) -> Option<Waiting> {
        let at = self.waiting.iter().position(|w| w.key == key)?;
        self.runs.remove(&key);
        Some(self.waiting.remove(at))
    }

    /// Starts the orders for which there is room now, and gives up those that have
    /// waited for too long.
    pub(crate) fn start_waiting(&mut self, now: Millis, out: &mut Vec<AgentOutput>) {
        let mut at = 0;
        while let Some(order) = self.waiting.get(at) {
            let reason = self.denial(now, order.owner, order.life, order.need);
            let over = now.since(order.since) >= WAIT_FOR;
            if reason == Some(Denial::Room) && !over {
                at += 1;
                continue;
            }
            let order = self.waiting.remove(at);
            self.runs.remove(&order.key);
            match reason {
                None => self.start(now, order, out),
                Some(reason) => self.deny(now, &order, reason, out),
            }
        }
    }
}
