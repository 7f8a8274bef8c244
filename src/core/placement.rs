//! The backend servers of one service, and the choice of one for each task.

use serde::{Deserialize, Serialize};

use super::breaker::Breaker;
use super::clock::Millis;
use super::estimate::Estimator;
use super::ids::{DispatchNumber, Incarnation};
use super::table::Table;

/// How a backend server is chosen for a task. All policies but the first are baselines for
/// comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The earliest expected finish. A slow slot stays free if waiting for a faster one ends
    /// sooner.
    #[default]
    LeastFinish,
    /// Binds each task on arrival to a random backend server.
    Random,
    /// Binds each task on arrival to the backend server with the fewest tasks bound to it.
    LeastOutstanding,
    /// Binds each task on arrival to two random backend servers; the first of them with a free slot
    /// gets it.
    TwoProbes,
}

/// When a dispatched task was sent and is expected to end; `end` is in milliseconds.
#[derive(Debug, Clone, Copy)]
struct ExpectedRun {
    sent_at: Millis,
    end: f64,
}

/// A backend server of a pool, as an entry knows it through its agent.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolMember {
    pub(crate) data_centre: String,
    pub(crate) slots: u32,
    pub(crate) credits: u32,
    pub(crate) linked: bool,
    // False while the settings evacuate it.
    pub(crate) open: bool,
    // The latest time of the agent's clock that was received.
    pub(crate) stamp: Millis,
    // Number of waiting tasks last reported to the agent, less the credits received since.
    pub(crate) reported_waiting: u32,
    pub(crate) breaker: Breaker,
    // Tasks that a baseline policy bound to it.
    pub(crate) bound: u32,
    in_flight: Table<DispatchNumber, ExpectedRun>,
}

impl PoolMember {
    /// Clears the link, the credits and the dispatches of a former incarnation of this entry.
    pub(crate) fn reset(&mut self) {
        self.linked = false;
        self.credits = 0;
        self.reported_waiting = 0;
        self.bound = 0;
        self.breaker.returned();
        self.in_flight = Table::default();
    }

    fn usable(&self, now: Millis, panic_mode: bool) -> bool {
        self.linked && self.open && self.credits > 0 && (panic_mode || self.breaker.allows(now))
    }

    pub(crate) fn add_dispatch(&mut self, now: Millis, number: DispatchNumber, run: f64) {
        self.credits = self.credits.saturating_sub(1);
        self.breaker.sent();
        self.in_flight.insert(
            number,
            ExpectedRun {
                sent_at: now,
                end: now.as_f64() + run,
            },
        );
    }

    fn busy(&self) -> u32 {
        u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn remove_dispatch(&mut self, number: DispatchNumber) {
        self.in_flight.remove(&number);
    }

    /// Expected ends of the dispatched tasks, earliest first. An overdue task is expected to take
    /// half of its age longer.
    fn ends(&self, now: Millis) -> Vec<f64> {
        let late = |s: &ExpectedRun| now.as_f64() + now.since(s.sent_at).as_f64() / 2.0;
        let end = |s: &ExpectedRun| if s.end > now.as_f64() { s.end } else { late(s) };
        let mut ends: Vec<f64> = self.in_flight.iter().map(|(_, s)| end(s)).collect();
        ends.sort_by(f64::total_cmp);
        ends
    }
}

/// The backend servers of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    pub(crate) servers: Table<Incarnation, PoolMember>,
    pub(crate) estimator: Estimator,
    // When agents were last asked for credits that other entries hold.
    pub(crate) last_sought_at: Millis,
}

/// A backend server during one placement round.
#[derive(Debug)]
struct Candidate {
    agent: Incarnation,
    free: u32,
    // Slots that other entries hold or use.
    held_elsewhere: u32,
    // Tasks that would be placed there if one of those slots became free now.
    wanted_slots: u32,
    // Expected ends of this entry's dispatches there, earliest first; in milliseconds.
    ends: Vec<f64>,
    // Added to the expected finish, to prefer the entry's own data centre; in milliseconds.
    remote_penalty: f64,
}

/// The usable backend servers of a pool during one placement round.
#[derive(Debug)]
pub(crate) struct PlacementView {
    now: f64,
    free: u32,
    candidates: Vec<Candidate>,
}

/// The decision on one task: its backend server, or that it waits. Times are in milliseconds;
/// `finish` is `f64::MAX` when it cannot be estimated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Placement {
    Now {
        agent: Incarnation,
        run: f64,
        finish: f64,
    },
    Later {
        finish: f64,
    },
}

/// One candidate for one task.
#[derive(Debug, Clone, Copy)]
struct Choice {
    // Index of the candidate.
    index: usize,
    run: f64,
    finish: f64,
}

/// Added to the expected finish on a backend server in another data centre, in milliseconds.
const REMOTE_PENALTY_MS: f64 = 3.0;
/// A slower slot is in time for a task if this multiple of the expected run time fits, because
/// the estimates are rough.
const RUN_TIME_MARGIN: f64 = 1.5;

impl Pool {
    /// The state of the pool for a placement round at `now`. `data_centre` is the entry's own.
    pub(crate) fn view(&self, now: Millis, data_centre: &str) -> PlacementView {
        // If more than half of the breakers are open, the tasks are the likely cause and not the
        // servers, so the breakers are ignored.
        let suspects = self
            .servers
            .iter()
            .filter(|(_, s)| !s.breaker.is_closed())
            .count();
        let panic_mode = suspects * 2 > self.servers.len();
        let mut free = 0;
        for (_, server) in self.servers.iter() {
            if server.usable(now, panic_mode) {
                free += server.credits;
            }
        }
        let live = self.servers.iter().filter(|(_, s)| s.linked && s.open);
        let healthy = live.filter(|(_, s)| panic_mode || s.breaker.allows(now));
        let candidates = healthy.map(|(agent, s)| Candidate {
            agent: *agent,
            // An open breaker allows a single trial.
            free: if panic_mode || s.breaker.is_closed() {
                s.credits
            } else {
                s.credits.min(1)
            },
            held_elsewhere: s.slots.saturating_sub(s.credits + s.busy()),
            wanted_slots: 0,
            ends: s.ends(now),
            remote_penalty: if s.data_centre == data_centre {
                0.0
            } else {
                REMOTE_PENALTY_MS
            },
        });
        PlacementView {
            now: now.as_f64(),
            free,
            candidates: candidates.collect(),
        }
    }

    /// Number of slots of all backend servers in use.
    pub(crate) fn slots(&self) -> u32 {
        let open = self.servers.iter().filter(|(_, s)| s.open);
        open.map(|(_, s)| s.slots).sum()
    }

    /// Expected run time in milliseconds on the fastest backend server.
    pub(crate) fn fastest(&self, declared: Option<Millis>) -> f64 {
        let open = self.servers.iter().filter(|(_, s)| s.open);
        let runs = open.map(|(agent, _)| self.estimator.expect(*agent, declared));
        runs.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Binds a task on arrival for a baseline policy. `draw` returns a random index below its
    /// argument.
    pub(crate) fn bind(
        &mut self,
        policy: Policy,
        mut draw: impl FnMut(usize) -> usize,
    ) -> Vec<Incarnation> {
        let open = self.servers.iter().filter(|(_, s)| s.open && s.linked);
        let agents: Vec<Incarnation> = open.map(|(agent, _)| *agent).collect();
        if agents.is_empty() {
            return Vec::new();
        }
        let pins = match policy {
            Policy::LeastFinish => return Vec::new(),
            Policy::Random => vec![agents[draw(agents.len())]],
            Policy::TwoProbes => vec![agents[draw(agents.len())], agents[draw(agents.len())]],
            Policy::LeastOutstanding => {
                let bound = |a: &Incarnation| self.servers.get(a).map_or(0, |s| s.bound);
                let least = agents.iter().min_by_key(|a| (bound(a), **a));
                least.copied().into_iter().collect()
            }
        };
        if let Some(server) = pins.first().and_then(|a| self.servers.get_mut(a)) {
            server.bound += 1;
        }
        pins
    }
}

impl PlacementView {
    pub(crate) fn is_full(&self) -> bool {
        self.free == 0
    }

    /// Places a task on the slowest free slot on which it is expected to finish by `target`, so
    /// that fast slots stay free for the tasks that decide when their job ends. Without such a
    /// slot, it places the task where it is expected to finish first, now or after waiting.
    pub(crate) fn place(
        &mut self,
        estimator: &Estimator,
        declared: Option<Millis>,
        target: f64,
    ) -> Placement {
        let now = self.now;
        let mut best: Option<Choice> = None;
        let mut slowest_in_time: Option<Choice> = None;
        for (i, c) in self.candidates.iter().enumerate() {
            let start = if c.free > 0 {
                now
            } else {
                c.ends.first().copied().unwrap_or(f64::MAX)
            };
            let run = estimator.expect(c.agent, declared);
            let option = Choice {
                index: i,
                run,
                finish: start + run + c.remote_penalty,
            };
            if best.is_none_or(|b| option.finish < b.finish) {
                best = Some(option);
            }
            let in_time = c.free > 0 && now + run * RUN_TIME_MARGIN + c.remote_penalty <= target;
            if in_time && slowest_in_time.is_none_or(|s| option.run > s.run) {
                slowest_in_time = Some(option);
            }
        }
        if let Some(Choice { index, run, finish }) = slowest_in_time {
            return self.take(index, run, finish);
        }
        let Some(Choice { index, run, finish }) = best else {
            return Placement::Later { finish: f64::MAX };
        };
        let chosen = &mut self.candidates[index];
        if chosen.free > 0 {
            return self.take(index, run, finish);
        }
        if let Some(sought) = self.seek_elsewhere(estimator, declared, finish) {
            return sought;
        }
        let chosen = &mut self.candidates[index];
        // The slot that becomes free first is reserved until this task ends.
        if !chosen.ends.is_empty() {
            chosen.ends.remove(0);
            let at = chosen.ends.partition_point(|end| *end < finish);
            chosen.ends.insert(at, finish);
        }
        Placement::Later { finish }
    }

    /// Places a task bound to `pins` on the first of them with a free slot.
    pub(crate) fn place_bound(
        &mut self,
        estimator: &Estimator,
        declared: Option<Millis>,
        pins: &[Incarnation],
    ) -> Placement {
        let fits = |c: &Candidate| c.free > 0 && pins.contains(&c.agent);
        let Some(i) = self.candidates.iter().position(fits) else {
            let held = |c: &&mut Candidate| c.held_elsewhere > 0 && pins.contains(&c.agent);
            if let Some(chosen) = self.candidates.iter_mut().find(held) {
                chosen.held_elsewhere -= 1;
                chosen.wanted_slots += 1;
            }
            return Placement::Later { finish: f64::MAX };
        };
        let run = estimator.expect(self.candidates[i].agent, declared);
        self.take(i, run, self.now + run)
    }

    fn take(&mut self, i: usize, run: f64, finish: f64) -> Placement {
        let chosen = &mut self.candidates[i];
        chosen.free -= 1;
        self.free -= 1;
        let end = self.now + run;
        let at = chosen.ends.partition_point(|e| *e < end);
        chosen.ends.insert(at, end);
        Placement::Now {
            agent: chosen.agent,
            run,
            finish,
        }
    }

    /// Notes a slot held by another entry on which the task would finish before `wait`. Returns
    /// `None` if there is none.
    fn seek_elsewhere(
        &mut self,
        estimator: &Estimator,
        declared: Option<Millis>,
        wait: f64,
    ) -> Option<Placement> {
        let mut best: Option<Choice> = None;
        for (i, c) in self.candidates.iter().enumerate() {
            let run = estimator.expect(c.agent, declared);
            let finish = self.now + run + c.remote_penalty;
            let better = best.is_none_or(|b| finish < b.finish) && finish < wait;
            if c.held_elsewhere > 0 && better {
                best = Some(Choice {
                    index: i,
                    run,
                    finish,
                });
            }
        }
        let Choice { index, finish, .. } = best?;
        let chosen = &mut self.candidates[index];
        chosen.held_elsewhere -= 1;
        chosen.wanted_slots += 1;
        Some(Placement::Later { finish })
    }

    /// Agents with slots that other entries hold, and the number of tasks that would be placed
    /// there.
    pub(crate) fn sought_slots(&self) -> impl Iterator<Item = (Incarnation, u32)> {
        let wanting = self.candidates.iter().filter(|c| c.wanted_slots > 0);
        wanting.map(|c| (c.agent, c.wanted_slots))
    }

    pub(crate) fn has_any(&self, pins: &[Incarnation]) -> bool {
        self.candidates.iter().any(|c| pins.contains(&c.agent))
    }
}
