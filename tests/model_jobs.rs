//! Schedules of faults around loose jobs, with the real decisions: see docs/spec.md.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;

use fulmardrift::{CallReply, JobGuard, JobId, JobStatus, Millis, RunOutcome};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use fleet::{Fleet, job, submit};

/// A caller that lost its entry submits again so much later.
const RESEND: u64 = 1_300;
/// Faults of a schedule.
const FAULTS: usize = 6;
/// How long each caller waits.
const PATIENCE: u64 = 9_000;
const TASKS: u32 = 3;

/// What happens next.
#[derive(Debug, Clone, Copy)]
enum Act {
    /// An entry dies; its callers turn to the other one.
    Kill(usize),
    /// An entry starts again.
    Start(usize),
    Freeze(usize),
    Wake(usize),
    /// An entry and an agent lose each other.
    Cut(usize, usize),
    Heal,
    /// An agent's process starts again.
    Restart(usize),
    /// A backend server dies and comes back.
    Crash(usize),
    /// Starts at an agent get no answer and are carried out later, or no more so.
    Late(usize, Option<u64>),
    /// The next looks of an agent get no answer.
    Deaf(usize),
    /// Nothing but time.
    Pause,
}

fn draw(rng: &mut Pcg64Mcg) -> Act {
    let entry = rng.random_range(0..2);
    let agent = rng.random_range(0..2);
    match rng.random_range(0..12) {
        0 => Act::Kill(entry),
        1 => Act::Start(entry),
        2 => Act::Freeze(agent),
        3 => Act::Wake(agent),
        4 | 5 => Act::Cut(entry, agent),
        6 => Act::Heal,
        7 => Act::Restart(agent),
        8 => Act::Crash(agent),
        9 => Act::Late(
            agent,
            [None, Some(150), Some(2_000)][rng.random_range(0..3)],
        ),
        10 => Act::Deaf(agent),
        _ => Act::Pause,
    }
}

/// A run of one schedule.
struct Trial {
    fleet: Fleet,
    /// Callers: job, entry, call, and when it is submitted again.
    callers: Vec<(JobId, usize, u64, Option<Millis>)>,
    tokens: u64,
}

impl Trial {
    fn new(work: u64, off: &[JobGuard]) -> Self {
        Self {
            fleet: Fleet::without(2, 2, work, off),
            callers: Vec::new(),
            tokens: 0,
        }
    }

    fn submit(&mut self, id: JobId, entry: usize) {
        self.tokens += 1;
        let spec = job(TASKS, 300, true);
        self.fleet
            .call(entry, self.tokens, submit(id, spec), PATIENCE);
        self.callers.push((id, entry, self.tokens, None));
    }

    fn act(&mut self, act: Act) {
        let fleet = &mut self.fleet;
        match act {
            Act::Kill(entry) => {
                // A client turns to the entry that is left.
                if fleet.entries.iter().all(|e| e.router.is_some()) {
                    fleet.kill_entry(entry);
                    self.turn_away(entry);
                }
            }
            Act::Start(entry) => {
                if fleet.entries[entry].router.is_none() {
                    fleet.start_entry(entry);
                }
            }
            Act::Freeze(agent) => fleet.agents[agent].frozen = true,
            Act::Wake(agent) => fleet.wake(agent),
            Act::Cut(entry, agent) => fleet.cut.push((entry, agent)),
            Act::Heal => fleet.cut.clear(),
            Act::Restart(agent) => {
                fleet.agents[agent].frozen = false;
                fleet.restart_agent(agent);
            }
            Act::Crash(agent) => {
                let now = fleet.now;
                fleet.agents[agent].server.crash(now);
            }
            Act::Late(agent, delay) => fleet.agents[agent].late = delay.map(Millis),
            Act::Deaf(agent) => fleet.agents[agent].lost_looks = 2,
            Act::Pause => {}
        }
    }

    /// Callers of a killed entry submit again a little later, unless they have
    /// their answer.
    fn turn_away(&mut self, entry: usize) {
        let at = self.fleet.now + Millis(RESEND);
        for (_, known, token, again) in &mut self.callers {
            if *known == entry && self.fleet.answer(entry, *token).is_none() {
                *again = Some(at);
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.fleet.run(1);
            let now = self.fleet.now;
            let mut due = Vec::new();
            for (id, entry, _, again) in &mut self.callers {
                let other = 1 - *entry;
                let up = self.fleet.entries[other].router.is_some();
                if again.is_some_and(|at| at <= now) && up {
                    *again = None;
                    due.push((*id, other));
                }
            }
            for (id, entry) in due {
                self.submit(id, entry);
            }
        }
    }

    /// What is wrong, if anything.
    fn broken(&self) -> Option<String> {
        if let Some(pair) = self.fleet.overlaps().first() {
            return Some(format!("two runs at a time: {pair:?}"));
        }
        let spans = self.fleet.spans();
        for (id, entry, token, _) in &self.callers {
            let answer = self.fleet.answer(*entry, *token);
            let mut tries = self.callers.iter().filter(|(known, ..)| known == id);
            let alone = tries.all(|(_, _, known, _)| known == token);
            let ran = spans.iter().any(|span| span.task.job == *id);
            match answer {
                Some(CallReply::Refused(_)) if ran && alone => {
                    return Some(format!("{id} was refused as not run, and ran"));
                }
                Some(CallReply::State(JobStatus::Completed)) => {
                    let ended = |index: u32| {
                        let of = spans.iter().filter(|s| s.task.job == *id);
                        of.into_iter()
                            .any(|s| s.task.index == index && s.how == Some(RunOutcome::Done))
                    };
                    if !(0..TASKS).all(ended) {
                        return Some(format!("{id} was completed in part"));
                    }
                }
                _ => {}
            }
        }
        None
    }
}

/// Runs the schedule of a seed; what is wrong at its end, if anything.
fn schedule(seed: u64, off: &[JobGuard]) -> Option<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let work = [200, 700, 2_500][rng.random_range(0..3)];
    let mut trial = Trial::new(work, off);
    let mut acts = Vec::new();
    for number in 0..2 {
        trial.submit(JobId(10 + number), 0);
        trial.submit(JobId(20 + number), 1);
    }
    trial.run(rng.random_range(5..200));
    for _ in 0..FAULTS {
        let act = draw(&mut rng);
        let pause = rng.random_range(5..900);
        acts.push((act, pause));
        trial.act(act);
        trial.run(pause);
    }
    trial.run(3_000);
    let what = trial.broken()?;
    Some(format!("seed {seed}: {what}\nafter {acts:?}"))
}

/// The first schedule among `seeds` that breaks an invariant.
fn first_broken(seeds: u64, off: &[JobGuard]) -> Option<String> {
    (0..seeds).find_map(|seed| schedule(seed, off))
}

/// Schedules that are run without a rule turned off; more by hand.
fn schedules() -> u64 {
    let set = std::env::var("FULMARDRIFT_SCHEDULES").ok();
    set.and_then(|count| count.parse().ok()).unwrap_or(1_500)
}

#[test]
fn no_schedule_of_faults_breaks_a_promise() {
    assert_eq!(first_broken(schedules(), &[]), None);
}

#[test]
fn without_grants_either_two_runs_overlap() {
    // Each alone is covered by the other.
    assert_eq!(first_broken(400, &[JobGuard::Lease]), None);
    assert_eq!(first_broken(400, &[JobGuard::Grant]), None);
    let both = [JobGuard::Lease, JobGuard::Grant];
    assert!(first_broken(4_000, &both).is_some());
}

#[test]
fn without_the_stop_of_unanswered_starts_two_runs_overlap() {
    assert!(first_broken(4_000, &[JobGuard::Revoke]).is_some());
}

#[test]
fn without_the_wait_for_leases_two_runs_overlap() {
    assert!(first_broken(4_000, &[JobGuard::Lapse]).is_some());
}
