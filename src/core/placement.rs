//! Where a task goes: the backend servers of one service, and the choice among
//! them.

use serde::{Deserialize, Serialize};

use super::breaker::Breaker;
use super::clock::Millis;
use super::estimate::Estimator;
use super::ids::{DispatchNumber, Incarnation};
use super::table::Table;

/// How places are chosen. All but the first are there to be measured against.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Least expected finish; a slow slot stays idle when waiting ends sooner.
    #[default]
    LeastFinish,
    /// Each task bound on arrival to a backend server drawn at random.
    Random,
    /// Each task bound on arrival to the one with the fewest tasks.
    LeastOutstanding,
    /// Two drawn at random; the first with a free slot gets the task.
    TwoProbes,
}

/// Expected end of a task that is out.
#[derive(Debug, Clone, Copy)]
struct Stay {
    since: Millis,
    end: f64,
}

/// A backend server as an entry sees it through its agent.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolMember {
    pub(crate) data_centre: String,
    pub(crate) slots: u32,
    pub(crate) credits: u32,
    pub(crate) linked: bool,
    // False while settings take it out.
    pub(crate) open: bool,
    // The agent's clock, as last told.
    pub(crate) stamp: Millis,
    // What the agent was last told is wanted.
    pub(crate) wanted: u32,
    pub(crate) breaker: Breaker,
    // Tasks bound here by a baseline policy.
    pub(crate) bound: u32,
    stays: Table<DispatchNumber, Stay>,
}

impl PoolMember {
    /// Forgets what a former incarnation of this entry had there.
    pub(crate) fn reset(&mut self) {
        self.linked = false;
        self.credits = 0;
        self.wanted = 0;
        self.bound = 0;
        self.breaker.returned();
        self.stays = Table::default();
    }

    fn usable(&self, now: Millis, panic: bool) -> bool {
        self.linked && self.open && self.credits > 0 && (panic || self.breaker.allows(now))
    }

    pub(crate) fn sent(&mut self, now: Millis, number: DispatchNumber, run: f64) {
        self.credits = self.credits.saturating_sub(1);
        self.breaker.sent();
        self.stays.insert(
            number,
            Stay {
                since: now,
                end: now.as_f64() + run,
            },
        );
    }

    fn busy(&self) -> u32 {
        u32::try_from(self.stays.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn over(&mut self, number: DispatchNumber) {
        self.stays.remove(&number);
    }

    /// Expected ends of the tasks out, soonest first; one overdue is expected to
    /// take half of its age longer.
    fn ends(&self, now: Millis) -> Vec<f64> {
        let late = |s: &Stay| now.as_f64() + now.since(s.since).as_f64() / 2.0;
        let end = |s: &Stay| if s.end > now.as_f64() { s.end } else { late(s) };
        let mut ends: Vec<f64> = self.stays.iter().map(|(_, s)| end(s)).collect();
        ends.sort_by(f64::total_cmp);
        ends
    }
}

/// The backend servers of one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    pub(crate) servers: Table<Incarnation, PoolMember>,
    pub(crate) estimator: Estimator,
    // When credits were last looked for.
    pub(crate) sought: Millis,
}

/// One backend server while tasks are being placed.
#[derive(Debug)]
struct Candidate {
    agent: Incarnation,
    free: u32,
    // Slots that other entries hold or use.
    hidden: u32,
    // Tasks that would go there if a slot came free at once.
    useful: u32,
    ends: Vec<f64>,
    // Added to the expected finish, to prefer the own data centre.
    handicap: f64,
}

/// All backend servers while tasks are being placed.
#[derive(Debug)]
pub(crate) struct View {
    now: f64,
    free: u32,
    candidates: Vec<Candidate>,
}

/// Where a task goes, or that it waits; with its expected end.
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

/// One place for one task.
#[derive(Debug, Clone, Copy)]
struct Choice {
    // Index of the candidate.
    at: usize,
    run: f64,
    finish: f64,
}

/// Cost of another data centre in the comparison of finish times, in milliseconds.
const REMOTE_MS: f64 = 3.0;
/// A task counts as in time on a slower slot when so many times its expected run
/// time still fits: expectations are rough.
const SLACK: f64 = 1.5;

impl Pool {
    /// What can be placed at `now`.
    pub(crate) fn view(&self, now: Millis, home: &str) -> View {
        // When most look broken, the tasks are to blame, not the servers.
        let suspects = self
            .servers
            .iter()
            .filter(|(_, s)| !s.breaker.is_closed())
            .count();
        let panic = suspects * 2 > self.servers.len();
        let mut free = 0;
        for (_, server) in self.servers.iter() {
            if server.usable(now, panic) {
                free += server.credits;
            }
        }
        let live = self.servers.iter().filter(|(_, s)| s.linked && s.open);
        let healthy = live.filter(|(_, s)| panic || s.breaker.allows(now));
        let candidates = healthy.map(|(agent, s)| Candidate {
            agent: *agent,
            // An open breaker lets a single trial through.
            free: if panic || s.breaker.is_closed() {
                s.credits
            } else {
                s.credits.min(1)
            },
            hidden: s.slots.saturating_sub(s.credits + s.busy()),
            useful: 0,
            ends: s.ends(now),
            handicap: if s.data_centre == home {
                0.0
            } else {
                REMOTE_MS
            },
        });
        View {
            now: now.as_f64(),
            free,
            candidates: candidates.collect(),
        }
    }

    /// Slots of all backend servers that take work.
    pub(crate) fn slots(&self) -> u32 {
        let open = self.servers.iter().filter(|(_, s)| s.open);
        open.map(|(_, s)| s.slots).sum()
    }

    /// Expected run time in milliseconds where it is least.
    pub(crate) fn fastest(&self, declared: Option<Millis>) -> f64 {
        let open = self.servers.iter().filter(|(_, s)| s.open);
        let runs = open.map(|(agent, _)| self.estimator.expect(*agent, declared));
        runs.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Binds a task on arrival, as the baseline policies do.
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

impl View {
    pub(crate) fn is_full(&self) -> bool {
        self.free == 0
    }

    /// Puts a task where it is expected to finish first, now or after waiting;
    /// or, when it has time until `target`, on the slowest free slot that makes
    /// it, so that the fast ones stay free for the tasks that jobs wait for.
    pub(crate) fn place(
        &mut self,
        estimator: &Estimator,
        declared: Option<Millis>,
        target: f64,
    ) -> Placement {
        let now = self.now;
        let mut best: Option<Choice> = None;
        let mut spare: Option<Choice> = None;
        for (i, c) in self.candidates.iter().enumerate() {
            let start = if c.free > 0 {
                now
            } else {
                c.ends.first().copied().unwrap_or(f64::MAX)
            };
            let run = estimator.expect(c.agent, declared);
            let option = Choice {
                at: i,
                run,
                finish: start + run + c.handicap,
            };
            if best.is_none_or(|b| option.finish < b.finish) {
                best = Some(option);
            }
            let in_time = c.free > 0 && now + run * SLACK + c.handicap <= target;
            if in_time && spare.is_none_or(|s| option.run > s.run) {
                spare = Some(option);
            }
        }
        if let Some(Choice { at, run, finish }) = spare {
            return self.take(at, run, finish);
        }
        let Some(Choice { at, run, finish }) = best else {
            return Placement::Later { finish: f64::MAX };
        };
        let chosen = &mut self.candidates[at];
        if chosen.free > 0 {
            return self.take(at, run, finish);
        }
        if let Some(sought) = self.seek(estimator, declared, finish) {
            return sought;
        }
        let chosen = &mut self.candidates[at];
        // The slot that comes free first is spoken for until this task ends.
        if !chosen.ends.is_empty() {
            chosen.ends.remove(0);
            let at = chosen.ends.partition_point(|end| *end < finish);
            chosen.ends.insert(at, finish);
        }
        Placement::Later { finish }
    }

    /// Puts a task bound to `pins` on the first of them with a free slot.
    pub(crate) fn place_bound(
        &mut self,
        estimator: &Estimator,
        declared: Option<Millis>,
        pins: &[Incarnation],
    ) -> Placement {
        let fits = |c: &Candidate| c.free > 0 && pins.contains(&c.agent);
        let Some(i) = self.candidates.iter().position(fits) else {
            let held = |c: &&mut Candidate| c.hidden > 0 && pins.contains(&c.agent);
            if let Some(chosen) = self.candidates.iter_mut().find(held) {
                chosen.hidden -= 1;
                chosen.useful += 1;
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

    /// A slot held by another entry that would do better than waiting.
    fn seek(
        &mut self,
        estimator: &Estimator,
        declared: Option<Millis>,
        wait: f64,
    ) -> Option<Placement> {
        let mut best: Option<Choice> = None;
        for (i, c) in self.candidates.iter().enumerate() {
            let run = estimator.expect(c.agent, declared);
            let finish = self.now + run + c.handicap;
            let better = best.is_none_or(|b| finish < b.finish) && finish < wait;
            if c.hidden > 0 && better {
                best = Some(Choice { at: i, run, finish });
            }
        }
        let Choice { at, finish, .. } = best?;
        let chosen = &mut self.candidates[at];
        chosen.hidden -= 1;
        chosen.useful += 1;
        Some(Placement::Later { finish })
    }

    /// Agents whose slots others hold, with the number of tasks that would go
    /// there.
    pub(crate) fn sought(&self) -> impl Iterator<Item = (Incarnation, u32)> {
        let useful = self.candidates.iter().filter(|c| c.useful > 0);
        useful.map(|c| (c.agent, c.useful))
    }

    pub(crate) fn has(&self, pins: &[Incarnation]) -> bool {
        self.candidates.iter().any(|c| pins.contains(&c.agent))
    }
}
