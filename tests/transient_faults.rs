//! Transient jobs under random faults, in virtual time: processes that pause, restart or lose each
//! other, and callers that submit their jobs again.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;

use std::env;

use fulmardrift::{CallReply, CallRouterInput, JobId, Millis, TimeLimits};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use fleet::{Fleet, job, submit};

/// Each caller submits its job again this long after a lost connection or a missing answer.
const RESUBMIT_AFTER: Millis = Millis(1_300);
/// The same where the users' limits let callers submit sooner.
const RESUBMIT_EARLY: [Millis; 2] = [Millis(500), Millis(200)];
/// Pause after a refusal.
const RETRY_AFTER: Millis = Millis(300);
/// The entry answers this long before the caller gives up.
const RESPONSE_MARGIN: u64 = 60;
const ENTRIES: usize = 3;
const AGENTS: usize = 4;
/// Length of a play, and mean time between faults, in milliseconds.
const PLAY_MS: u64 = 15_000;
const FAULT_INTERVAL_MS: u64 = 400;
const SEEDS: std::ops::Range<u64> = 0..10;
/// Seeds that have failed: an inventory that was older than an order.
const FAILED_SEEDS: [u64; 1] = [51];

/// What ends a fault.
#[derive(Debug, Clone, Copy)]
enum Repair {
    WakeEntry(usize),
    StartEntry(usize),
    WakeAgent(usize),
    Unmute(usize),
    Join(usize, usize),
}

/// A caller and its job.
struct Caller {
    id: JobId,
    work: u64,
    tasks: u32,
    wait: u64,
    /// The entry that it waits for with the incarnation of that, the call's number, and when it gives
    /// up; `None` between calls.
    open: Option<(usize, u64, u64, Millis)>,
    submits_at: Millis,
    is_done: bool,
}

struct Play {
    fleet: Fleet,
    rng: Pcg64Mcg,
    resubmit_after: Millis,
    callers: Vec<Caller>,
    repairs: Vec<(Millis, Repair)>,
    last_token: u64,
}

impl Play {
    fn new(seed: u64, resubmit_after: Millis) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let work = [200, 700, 1_700, 3_600][rng.random_range(0..4)];
        let limits = TimeLimits {
            resend: resubmit_after,
            ..TimeLimits::default()
        };
        let mut fleet = Fleet::with_limits(ENTRIES, AGENTS, work, &[], limits);
        let slow = rng.random_range(0..3);
        for slot in &mut fleet.agents {
            slot.server.slow_clock_percent = slow;
        }
        fleet.run(300);
        let callers = (0..20).map(|number| Caller {
            id: JobId(number + 1),
            work,
            tasks: rng.random_range(1..3),
            wait: work + rng.random_range(300..3_000),
            open: None,
            submits_at: fleet.now + Millis(rng.random_range(0..PLAY_MS / 2)),
            is_done: false,
        });
        let callers = callers.collect();
        Self {
            fleet,
            rng,
            resubmit_after,
            callers,
            repairs: Vec::new(),
            last_token: 0,
        }
    }

    fn run(&mut self) {
        for _ in 0..PLAY_MS {
            self.fleet.run(1);
            self.repair();
            if self.rng.random_range(0..FAULT_INTERVAL_MS) == 0 {
                self.break_something();
            }
            for at in 0..self.callers.len() {
                self.step_caller(at);
            }
        }
    }

    fn step_caller(&mut self, at: usize) {
        let now = self.fleet.now;
        let caller = &mut self.callers[at];
        if caller.is_done {
            return;
        }
        let Some((entry, life, token, gives_up_at)) = caller.open else {
            if now >= caller.submits_at {
                let entry = self.rng.random_range(0..ENTRIES);
                if self.fleet.entries[entry].router.is_none() {
                    return;
                }
                self.last_token += 1;
                let life = self.fleet.entries[entry].life;
                caller.open = Some((entry, life, self.last_token, now + Millis(caller.wait)));
                let call = submit(caller.id, job(caller.tasks, caller.work, true));
                let wait = caller.wait - RESPONSE_MARGIN;
                self.fleet.call(entry, self.last_token, call, wait);
            }
            return;
        };
        let slot = &self.fleet.entries[entry];
        let is_broken =
            slot.router.is_none() || slot.life != life || self.rng.random_range(0..6_000) == 0;
        let submits_at = match self.fleet.answer(entry, token) {
            Some(CallReply::State(_)) => {
                caller.is_done = true;
                return;
            }
            Some(CallReply::Refused(_)) => now + RETRY_AFTER,
            Some(_) => now + self.resubmit_after,
            None if is_broken || now >= gives_up_at => {
                if slot.life == life {
                    self.fleet.router_input(entry, CallRouterInput::Left(token));
                }
                now + self.resubmit_after
            }
            None => return,
        };
        caller.submits_at = submits_at;
        caller.open = None;
    }

    fn break_something(&mut self) {
        let now = self.fleet.now;
        let entry = self.rng.random_range(0..ENTRIES);
        let agent = self.rng.random_range(0..AGENTS);
        let until = now + Millis(self.rng.random_range(100..4_000));
        let is_up = self.fleet.entries[entry].router.is_some();
        let repair = match self.rng.random_range(0..10) {
            0 | 1 if is_up && !self.fleet.entries[entry].frozen => {
                self.fleet.entries[entry].frozen = true;
                Repair::WakeEntry(entry)
            }
            2 if is_up && !self.fleet.entries[entry].frozen => {
                self.fleet.kill_entry(entry);
                Repair::StartEntry(entry)
            }
            3 if !self.fleet.agents[agent].frozen => {
                self.fleet.agents[agent].frozen = true;
                Repair::WakeAgent(agent)
            }
            4 => {
                self.fleet.agents[agent].mute = true;
                Repair::Unmute(agent)
            }
            5 => {
                self.fleet.cut.push((entry, agent));
                Repair::Join(entry, agent)
            }
            6 => {
                self.fleet.cut_to_agent.push((entry, agent));
                Repair::Join(entry, agent)
            }
            7 => {
                self.fleet.cut_to_entry.push((entry, agent));
                Repair::Join(entry, agent)
            }
            8 if !self.fleet.agents[agent].frozen => {
                self.fleet.restart_agent(agent);
                return;
            }
            9 => {
                self.fleet.agents[agent].server.refuses_until = until;
                return;
            }
            _ => return,
        };
        self.repairs.push((until, repair));
    }

    fn repair(&mut self) {
        let now = self.fleet.now;
        let due: Vec<_> = self.repairs.extract_if(.., |(at, _)| now >= *at).collect();
        for (_, repair) in due {
            match repair {
                Repair::WakeEntry(entry) => self.fleet.wake_entry(entry),
                Repair::StartEntry(entry) => self.fleet.start_entry(entry),
                Repair::WakeAgent(agent) => self.fleet.wake(agent),
                Repair::Unmute(agent) => self.fleet.agents[agent].mute = false,
                Repair::Join(entry, agent) => {
                    let pair = (entry, agent);
                    self.fleet.cut.retain(|known| *known != pair);
                    self.fleet.cut_to_agent.retain(|known| *known != pair);
                    self.fleet.cut_to_entry.retain(|known| *known != pair);
                }
            }
        }
    }
}

/// Plays the seeds, or those of `FULMARDRIFT_SEEDS=FROM-TO`.
fn check(resubmit_after: Millis) {
    let given = env::var("FULMARDRIFT_SEEDS").ok();
    let range = given.as_deref().and_then(|text| text.split_once('-'));
    let seeds: Vec<u64> = match range {
        Some((from, to)) => (from.parse().unwrap()..to.parse().unwrap()).collect(),
        None => SEEDS.chain(FAILED_SEEDS).collect(),
    };
    let mut starts = 0;
    let mut done = 0;
    let mut broken = Vec::new();
    for seed in seeds {
        let mut play = Play::new(seed, resubmit_after);
        play.run();
        starts += play.fleet.spans().len();
        done += play.callers.iter().filter(|c| c.is_done).count();
        let overlaps = play.fleet.overlaps();
        if !overlaps.is_empty() {
            broken.push((seed, overlaps));
        }
    }
    println!("{starts} starts, {done} jobs done");
    assert!(done > 0);
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against two runs of a task at a time.
#[test]
fn no_task_runs_twice_at_a_time() {
    check(RESUBMIT_AFTER);
}

/// Guards against two runs of a task at a time where callers submit again before a lost entry's grants
/// of the default length are over.
#[test]
fn no_task_runs_twice_at_a_time_if_callers_submit_again_early() {
    for resubmit_after in RESUBMIT_EARLY {
        check(resubmit_after);
    }
}
