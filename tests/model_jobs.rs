//! Runs transient jobs through random schedules of faults, with the real state machines of entries
//! and agents in virtual time: see docs/spec.md.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;

use fulmardrift::{CallReply, JobGuard, JobId, JobStatus, Millis, RunOutcome};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use fleet::{Fleet, job, submit};

/// A caller that lost its entry submits the job again after this long, in milliseconds.
const RESUBMIT_AFTER: u64 = 1_300;
/// Number of faults in a schedule.
const FAULTS_PER_SCHEDULE: usize = 6;
/// How long each caller waits for its answer, in milliseconds.
const CALLER_TIMEOUT: u64 = 9_000;
const TASKS: u32 = 3;

/// A fault, the end of one, or a pause.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// An entry dies; its callers submit their jobs to the other one.
    Kill(usize),
    /// An entry restarts.
    Start(usize),
    Freeze(usize),
    Wake(usize),
    /// An entry and an agent cannot reach each other.
    Cut(usize, usize),
    HealCuts,
    /// An agent's process restarts.
    Restart(usize),
    /// A backend server crashes and restarts.
    Crash(usize),
    /// An agent's start calls get no answer and are executed after this many milliseconds; `None`
    /// ends that.
    DelayStarts(usize, Option<u64>),
    /// The next hold and stop calls of an agent get no answer.
    LoseCalls(usize),
    /// Time passes without a fault.
    Pause,
}

fn random_fault(rng: &mut Pcg64Mcg) -> Fault {
    let entry = rng.random_range(0..2);
    let agent = rng.random_range(0..2);
    match rng.random_range(0..12) {
        0 => Fault::Kill(entry),
        1 => Fault::Start(entry),
        2 => Fault::Freeze(agent),
        3 => Fault::Wake(agent),
        4 | 5 => Fault::Cut(entry, agent),
        6 => Fault::HealCuts,
        7 => Fault::Restart(agent),
        8 => Fault::Crash(agent),
        9 => Fault::DelayStarts(
            agent,
            [None, Some(150), Some(2_000)][rng.random_range(0..3)],
        ),
        10 => Fault::LoseCalls(agent),
        _ => Fault::Pause,
    }
}

/// The execution of one schedule.
struct Trial {
    fleet: Fleet,
    /// Callers: the job, the entry, the number of the call, and when to submit the job again.
    callers: Vec<(JobId, usize, u64, Option<Millis>)>,
    tokens: u64,
}

impl Trial {
    fn new(work: u64, off: &[JobGuard]) -> Self {
        Self {
            fleet: Fleet::with_disabled(2, 2, work, off),
            callers: Vec::new(),
            tokens: 0,
        }
    }

    fn submit(&mut self, id: JobId, entry: usize) {
        self.tokens += 1;
        let spec = job(TASKS, 300, true);
        self.fleet
            .call(entry, self.tokens, submit(id, spec), CALLER_TIMEOUT);
        self.callers.push((id, entry, self.tokens, None));
    }

    fn apply(&mut self, fault: Fault) {
        let fleet = &mut self.fleet;
        match fault {
            Fault::Kill(entry) => {
                // The callers go to the entry that is left.
                if fleet.entries.iter().all(|e| e.router.is_some()) {
                    fleet.kill_entry(entry);
                    self.schedule_resubmissions(entry);
                }
            }
            Fault::Start(entry) => {
                if fleet.entries[entry].router.is_none() {
                    fleet.start_entry(entry);
                }
            }
            Fault::Freeze(agent) => fleet.agents[agent].frozen = true,
            Fault::Wake(agent) => fleet.wake(agent),
            Fault::Cut(entry, agent) => fleet.cut.push((entry, agent)),
            Fault::HealCuts => fleet.cut.clear(),
            Fault::Restart(agent) => {
                fleet.agents[agent].frozen = false;
                fleet.restart_agent(agent);
            }
            Fault::Crash(agent) => {
                let now = fleet.now;
                fleet.agents[agent].server.crash(now);
            }
            Fault::DelayStarts(agent, delay) => fleet.agents[agent].start_delay = delay.map(Millis),
            Fault::LoseCalls(agent) => fleet.agents[agent].unanswered_calls = 2,
            Fault::Pause => {}
        }
    }

    /// Makes the callers of a killed entry that have no answer submit their jobs again after
    /// [`RESUBMIT_AFTER`].
    fn schedule_resubmissions(&mut self, entry: usize) {
        let at = self.fleet.now + Millis(RESUBMIT_AFTER);
        for (_, known, token, resubmit_at) in &mut self.callers {
            if *known == entry && self.fleet.answer(entry, *token).is_none() {
                *resubmit_at = Some(at);
            }
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.fleet.run(1);
            let now = self.fleet.now;
            let mut due = Vec::new();
            for (id, entry, _, resubmit_at) in &mut self.callers {
                let other = 1 - *entry;
                let other_is_up = self.fleet.entries[other].router.is_some();
                if resubmit_at.is_some_and(|at| at <= now) && other_is_up {
                    *resubmit_at = None;
                    due.push((*id, other));
                }
            }
            for (id, entry) in due {
                self.submit(id, entry);
            }
        }
    }

    /// Returns the first violated invariant, if any.
    fn violation(&self) -> Option<String> {
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
                        let task_spans = spans.iter().filter(|s| s.task.job == *id);
                        task_spans
                            .into_iter()
                            .any(|s| s.task.index == index && s.outcome == Some(RunOutcome::Done))
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

/// Runs the schedule of a seed and returns the invariant that is violated at its end, if any.
fn run_schedule(seed: u64, off: &[JobGuard]) -> Option<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let work = [200, 700, 2_500][rng.random_range(0..3)];
    let mut trial = Trial::new(work, off);
    let mut faults = Vec::new();
    for number in 0..2 {
        trial.submit(JobId(10 + number), 0);
        trial.submit(JobId(20 + number), 1);
    }
    trial.run(rng.random_range(5..200));
    for _ in 0..FAULTS_PER_SCHEDULE {
        let fault = random_fault(&mut rng);
        let pause = rng.random_range(5..900);
        faults.push((fault, pause));
        trial.apply(fault);
        trial.run(pause);
    }
    trial.run(3_000);
    let what = trial.violation()?;
    Some(format!("seed {seed}: {what}\nafter {faults:?}"))
}

/// Returns the violation found by the first of the `seeds` whose schedule has one.
fn first_violation(seeds: u64, off: &[JobGuard]) -> Option<String> {
    (0..seeds).find_map(|seed| run_schedule(seed, off))
}

/// Number of schedules to run with all rules on, from the environment variable
/// `FULMARDRIFT_SCHEDULES`; 1500 if it is not set.
fn schedule_count() -> u64 {
    let set = std::env::var("FULMARDRIFT_SCHEDULES").ok();
    set.and_then(|count| count.parse().ok()).unwrap_or(1_500)
}

#[test]
fn no_schedule_of_faults_violates_an_invariant() {
    assert_eq!(first_violation(schedule_count(), &[]), None);
}

#[test]
fn without_grants_either_two_runs_overlap() {
    // Each of the two rules alone prevents overlaps.
    assert_eq!(first_violation(400, &[JobGuard::Lease]), None);
    assert_eq!(first_violation(400, &[JobGuard::Grant]), None);
    let both = [JobGuard::Lease, JobGuard::Grant];
    assert!(first_violation(4_000, &both).is_some());
}

#[test]
fn without_the_stop_of_unanswered_starts_two_runs_overlap() {
    assert!(first_violation(4_000, &[JobGuard::Revoke]).is_some());
}

#[test]
fn without_the_wait_for_leases_two_runs_overlap() {
    assert!(first_violation(4_000, &[JobGuard::Lapse]).is_some());
}
