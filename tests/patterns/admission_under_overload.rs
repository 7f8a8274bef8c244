//! Callers that compete for too little capacity: what is refused, when, and what is served.

use fulmardrift::{CallReply, JobId, JobStatus, Millis};

use crate::fleet::{Fleet, job, submit};

const ENTRIES: usize = 10;
const AGENTS: usize = 20;
const WORK_MS: u64 = 200;
const WAIT_MS: u64 = 1_500;
/// The queue's slack and target give each job this time.
const OBJECTIVE_MS: u64 = WORK_MS * 16 / 10 + 60;
/// Time in which the entries learn the rate of starts.
const START_MS: u64 = 1_500;
/// Tasks a second that fill all backend servers, with four places at each.
const FULL_RATE: u64 = AGENTS as u64 * 4 * 1_000 / WORK_MS;
const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);

#[derive(Debug)]
struct Sent {
    entry: usize,
    tasks: u32,
    at: Millis,
    answer: Option<(Millis, CallReply)>,
}

impl Sent {
    fn is_served(&self) -> bool {
        matches!(&self.answer, Some((_, COMPLETED)))
    }

    /// Time until it was refused.
    fn refused_after(&self) -> Option<Millis> {
        match &self.answer {
            Some((at, CallReply::Refused(_))) => Some(at.since(self.at)),
            _ => None,
        }
    }

    /// The time after which its caller was asked to come back.
    fn retry(&self) -> Option<Millis> {
        match &self.answer {
            Some((_, CallReply::Refused(after))) => Some(*after),
            _ => None,
        }
    }
}

/// Callers that send jobs to entries drawn with a fixed seed.
struct Callers {
    fleet: Fleet,
    random: u64,
    /// Jobs from number 1.
    jobs: Vec<Sent>,
    /// Tasks that are due to be sent, in thousandths.
    due: i64,
    seen: Vec<usize>,
}

impl Callers {
    fn new(seed: u64, entries: usize) -> Self {
        Self {
            fleet: Fleet::new(entries, AGENTS, WORK_MS),
            random: seed,
            jobs: Vec::new(),
            due: 0,
            seen: vec![0; entries],
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        // Knuth's generator; its high bits are the better ones.
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = self.random.wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(self.random >> 33).unwrap() % below
    }

    /// Sends jobs of `sizes`, drawn at random, with `rate` tasks a second.
    fn send(&mut self, rate: u64, ms: u64, sizes: &[u32]) {
        for _ in 0..ms {
            self.due += i64::try_from(rate).unwrap();
            while self.due > 0 {
                let tasks = sizes[self.draw(sizes.len())];
                let entry = self.draw(self.seen.len());
                self.due -= i64::from(tasks) * 1_000;
                self.submit(entry, tasks, WAIT_MS);
            }
            self.run(1);
        }
    }

    fn submit(&mut self, entry: usize, tasks: u32, wait: u64) {
        let at = self.fleet.now;
        self.jobs.push(Sent {
            entry,
            tasks,
            at,
            answer: None,
        });
        let id = self.jobs.len() as u64;
        let call = submit(JobId(id), job(tasks, WORK_MS, true));
        self.fleet.call(entry, id, call, wait);
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.fleet.run(1);
            for (slot, seen) in self.fleet.entries.iter().zip(&mut self.seen) {
                for (token, reply) in &slot.answers[*seen..] {
                    let at = usize::try_from(*token).unwrap() - 1;
                    self.jobs[at].answer = Some((self.fleet.now, reply.clone()));
                }
                *seen = slot.answers.len();
            }
        }
    }

    /// Jobs that were sent from then on.
    fn since(&self, from: Millis) -> Vec<&Sent> {
        self.jobs.iter().filter(|job| job.at >= from).collect()
    }
}

fn count(jobs: &[&Sent], is_counted: impl Fn(&Sent) -> bool) -> usize {
    jobs.iter().filter(|job| is_counted(job)).count()
}

/// Guards against jobs that are held for most of their callers' time and then refused, or started in
/// part, while more work arrives than can be started.
#[test]
fn above_capacity_refusals_come_early_and_the_capacity_serves_the_others() {
    for seed in 1..=3 {
        let mut callers = Callers::new(seed, ENTRIES);
        callers.send(FULL_RATE * 3 / 2, START_MS, &[1, 2, 4]);
        let from = callers.fleet.now;
        callers.send(FULL_RATE * 3 / 2, 4_000, &[1, 2, 4]);
        callers.run(2 * WAIT_MS);
        let jobs = callers.since(from);
        let refused = count(&jobs, |j| j.refused_after().is_some());
        let early = count(&jobs, |j| {
            j.refused_after()
                .is_some_and(|after| after.0 <= OBJECTIVE_MS / 4)
        });
        let held = count(&jobs, |j| {
            j.refused_after().is_some_and(|after| after.0 > WAIT_MS / 2)
        });
        let unknown = count(&jobs, |j| {
            matches!(&j.answer, Some((_, CallReply::Unknown)) | None)
        });
        let in_time = count(&jobs, |j| {
            j.is_served()
                && j.answer
                    .as_ref()
                    .is_some_and(|(at, _)| at.since(j.at).0 <= OBJECTIVE_MS)
        });
        let served = count(&jobs, Sent::is_served);
        assert!(
            early * 2 > refused,
            "seed {seed}: {early} early of {refused}"
        );
        assert_eq!(
            held, 0,
            "seed {seed}: refused after half of the caller's time"
        );
        assert!(
            unknown * 100 <= jobs.len(),
            "seed {seed}: {unknown} unknown"
        );
        // Two thirds of the work fit, less a tenth.
        assert!(
            in_time * 10 >= jobs.len() * 6,
            "seed {seed}: {in_time} in time"
        );
        assert!(served >= in_time, "seed {seed}: {served} served");
    }
}

/// Guards against refusals where all jobs can be served: by the usual swings of random arrivals.
#[test]
fn below_capacity_nothing_is_refused() {
    for (seed, part) in [(1, 60), (2, 75), (3, 85)] {
        let mut callers = Callers::new(seed, ENTRIES);
        callers.send(FULL_RATE * part / 100, 6_000, &[1, 2, 4]);
        callers.run(2 * WAIT_MS);
        let jobs = callers.since(Millis(0));
        let served = count(&jobs, Sent::is_served);
        assert_eq!(served, jobs.len(), "seed {seed}, {part}% of the capacity");
    }
}

/// Guards against large jobs that are refused throughout, as small ones come before them.
#[test]
fn large_jobs_keep_a_share_above_capacity() {
    const SIZES: [u32; 10] = [1, 1, 1, 1, 2, 2, 2, 4, 6, 16];
    for seed in 1..=3 {
        let mut callers = Callers::new(seed, 3);
        callers.send(FULL_RATE * 3 / 2, START_MS, &SIZES);
        let from = callers.fleet.now;
        callers.send(FULL_RATE * 3 / 2, 8_000, &SIZES);
        callers.run(2 * WAIT_MS);
        let jobs = callers.since(from);
        let rate = |is_in: fn(u32) -> bool| {
            let of_size: Vec<_> = jobs.iter().copied().filter(|j| is_in(j.tasks)).collect();
            (count(&of_size, Sent::is_served), of_size.len())
        };
        let (all_served, all) = rate(|_| true);
        for (served, sent) in [rate(|n| n == 16), rate(|n| (4..16).contains(&n))] {
            assert!(
                served * all * 2 >= all_served * sent,
                "seed {seed}: {served} of {sent}, of all sizes {all_served} of {all}"
            );
        }
    }
}

/// Guards against a constant `Retry-After`, with which all that were refused come back at once.
#[test]
fn retry_after_grows_with_the_backlog_and_is_spread() {
    let mut callers = Callers::new(1, ENTRIES);
    callers.send(FULL_RATE * 3 / 2, 8_000, &[1, 2, 4]);
    let seconds = |jobs: &[Sent]| -> Vec<u64> {
        let retries = jobs.iter().filter_map(Sent::retry);
        retries.map(|r| r.0.div_ceil(1_000)).collect()
    };
    let mean = |all: &[u64]| all.iter().sum::<u64>() / all.len() as u64;
    let quarter = callers.jobs.len() / 4;
    let (first, last) = (&callers.jobs[..quarter], &callers.jobs[3 * quarter..]);
    let (first, mut last) = (seconds(first), seconds(last));
    assert!(first.is_empty() || mean(&first) < mean(&last));
    last.sort_unstable();
    last.dedup();
    assert!(last.len() >= 4, "{last:?}");
}

/// Guards against work on a job whose caller can't get an answer any more, as its remaining time is
/// shorter than usual.
#[test]
fn a_job_whose_run_takes_longer_than_its_caller_waits_is_refused_at_once() {
    let mut callers = Callers::new(1, 1);
    callers.submit(0, 1, WORK_MS / 2);
    callers.run(1);
    assert!(
        callers.jobs[0]
            .refused_after()
            .is_some_and(|t| t <= Millis(1))
    );
    assert_eq!(callers.fleet.start_orders, 0);
    callers.submit(0, 1, WORK_MS + 20);
    callers.run(WORK_MS + 20);
    assert!(callers.jobs[1].is_served());
    assert_eq!(callers.jobs[1].entry, 0);
}
