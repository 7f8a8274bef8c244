//! Entries that compete for too few workers: what is served follows from urgency, not from the entry.

use std::sync::Arc;

use fulmardrift::{
    Call, CallReply, CallRouterInput, ClientAction, JobId, JobSpec, JobStatus, Millis,
    OperatorConfig,
};

use crate::fleet::{Fleet, config, job, submit};

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);
const WAIT_MS: u64 = 1_500;

/// A queue of each priority: tasks per job, run time, and jobs per second for each core that is to
/// be loaded.
const TASKS: [u32; 3] = [8, 2, 4];
const RUN_MS: [u64; 3] = [51, 170, 760];
/// Jobs of each queue per second, in thousandths for each core of the load: a sixth, a half and
/// a third of it.
const RATES: [u64; 3] = [408, 1_470, 110];

/// Three queues, of the priorities 0 to 2.
fn three_queues() -> OperatorConfig {
    let mut config = config(2);
    let queue = config.queues.remove(0);
    for priority in 0..3 {
        let mut queue = queue.clone();
        queue.name = format!("q{priority}");
        queue.prefix = format!("/q{priority}/");
        queue.settings.priority = priority;
        config.queues.push(queue);
    }
    config
}

fn submit_to(priority: usize, id: u64, spec: JobSpec) -> Call {
    Call::Client {
        host: "desk.example".to_owned(),
        path: format!("/q{priority}/{}", JobId(id)),
        action: ClientAction::Submit(Some(spec)),
    }
}

/// A job whose tasks take `ms` milliseconds.
fn timed_job(count: u32, ms: u64) -> JobSpec {
    let mut spec = job(count, ms, true);
    spec.payload = ms.to_string();
    spec
}

#[derive(Clone, Copy)]
struct Sent {
    entry: usize,
    priority: usize,
    tasks: u32,
    at: Millis,
}

/// Callers that send jobs to entries drawn with a fixed seed.
struct Callers {
    fleet: Fleet,
    random: u64,
    /// Cumulated shares of the entries.
    shares: Vec<u64>,
    /// The jobs, from number 1.
    sent: Vec<Sent>,
}

impl Callers {
    fn new(seed: u64, agents: usize, work: u64, shares: &[u64]) -> Self {
        let mut fleet = Fleet::new(shares.len(), agents, work);
        for entry in 0..shares.len() {
            fleet.router_input(entry, CallRouterInput::Config(Arc::new(three_queues())));
        }
        let mut total = 0;
        let cumulate = |share: &u64| {
            total += share;
            total
        };
        Self {
            fleet,
            random: seed,
            shares: shares.iter().map(cumulate).collect(),
            sent: Vec::new(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        // Knuth's generator; its high bits are the better ones.
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = self.random.wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below
    }

    fn send(&mut self, priority: usize, tasks: u32, ms: u64) {
        let drawn = self.draw(*self.shares.last().unwrap());
        let entry = self.shares.partition_point(|upto| *upto <= drawn);
        let at = self.fleet.now;
        self.sent.push(Sent {
            entry,
            priority,
            tasks,
            at,
        });
        let id = self.sent.len() as u64;
        let call = submit_to(priority, id, timed_job(tasks, ms));
        self.fleet.call(entry, id, call, WAIT_MS);
    }

    /// Sends jobs of all queues, of a quarter to four times the usual size, for `ms` milliseconds.
    fn send_mix(&mut self, cores: u64, ms: u64) {
        for at in 0..ms {
            for priority in 0..3 {
                let rate = RATES[priority] * cores;
                for _ in at * rate / 1_000_000..(at + 1) * rate / 1_000_000 {
                    let usual = TASKS[priority];
                    // The mean is as usual: half are small, a tenth is large.
                    let tasks = match self.draw(10) {
                        0 => usual * 3,
                        1 | 2 => usual * 3 / 2,
                        3 | 4 => usual,
                        _ => (usual / 2).max(1),
                    };
                    self.send(priority, tasks, RUN_MS[priority]);
                }
            }
            self.fleet.run(1);
        }
    }

    /// Number of jobs among those chosen, and the percentage of them that was served.
    fn served(&self, chosen: impl Fn(&Sent) -> bool) -> (u64, u64) {
        let (mut all, mut served) = (0, 0);
        for (id, sent) in (1..).zip(&self.sent).filter(|(_, sent)| chosen(sent)) {
            all += 1;
            let answer = self.fleet.answer(sent.entry, id);
            served += u64::from(answer == Some(&COMPLETED));
        }
        (all, served * 100 / all.max(1))
    }
}

/// Guards against entries that serve fewer of their jobs because they have more or fewer of them than
/// others: an agent that offers capacity to entries in turn gives each the same amount.
#[test]
fn entries_with_very_different_shares_of_the_load_are_served_alike() {
    const AGENTS: usize = 10;
    const RUN: u64 = 200;
    let mut worst = Vec::new();
    for seed in 1..=3 {
        let mut callers = Callers::new(seed, AGENTS, RUN, &[1, 2, 3, 5, 8, 13]);
        // One and a half times what four slots an agent can do.
        let rate = AGENTS as u64 * 4 * 1_000 / RUN / 2 * 3 / 2;
        for at in 0..8_000 {
            for _ in at * rate / 1_000..(at + 1) * rate / 1_000 {
                callers.send(0, 2, RUN);
            }
            callers.fleet.run(1);
        }
        callers.fleet.run(WAIT_MS);
        let start = callers.sent[0].at + Millis(1_000);
        let parts: Vec<_> = (0..6)
            .map(|entry| callers.served(|sent| sent.entry == entry && sent.at >= start))
            .collect();
        let (_, all) = callers.served(|sent| sent.at >= start);
        println!("seed {seed}: {all} of 100, by entry {parts:?}");
        let far = parts.iter().map(|(_, part)| part.abs_diff(all)).max();
        worst.push((far.unwrap(), seed, all, parts));
        assert_eq!(callers.fleet.overlaps(), []);
    }
    // Three standard deviations of the smallest entry, which has some 45 jobs.
    assert!(worst.iter().all(|(far, ..)| *far <= 20), "{worst:?}");
}

/// Guards against a wide job of the first priority that waits behind long jobs of other entries.
#[test]
fn a_wide_urgent_job_starts_within_one_run_time_of_a_full_fleet() {
    const AGENTS: usize = 4;
    const RUN: u64 = 320;
    let mut callers = Callers::new(1, AGENTS, RUN, &[1, 1, 1]);
    // At first a run every 20 ms, so that one of the 16 slots comes free every 20 ms.
    for at in 0..1_500 {
        if at % 20 == 0 || at > 400 && at % 20 == 10 {
            callers.send(2, 1, RUN);
        }
        callers.fleet.run(1);
    }
    let sent_at = callers.fleet.now;
    callers.send(0, 16, 200);
    let wide = JobId(callers.sent.len() as u64);
    for at in 0..RUN {
        if at % 10 == 0 {
            callers.send(2, 1, RUN);
        }
        callers.fleet.run(1);
    }
    let spans = callers.fleet.spans();
    let started = spans.iter().filter(|span| span.task.job == wide).count();
    assert_eq!(started, 16, "in {} ms", callers.fleet.now.since(sent_at).0);
}

/// Guards against queues, and large jobs of a queue, that get nothing while others are cheaper.
#[test]
fn every_queue_and_size_keeps_a_share_of_a_full_service() {
    const AGENTS: usize = 12;
    let mut callers = Callers::new(1, AGENTS, 100, &[1, 2, 4]);
    let cores = AGENTS as u64 * 4 * 3 / 2;
    callers.send_mix(cores, 8_000);
    callers.fleet.run(WAIT_MS);
    for (priority, usual) in TASKS.into_iter().enumerate() {
        let of_queue = |sent: &Sent| sent.priority == priority;
        let (count, all) = callers.served(of_queue);
        let (_, large) = callers.served(|s| of_queue(s) && s.tasks == usual * 3);
        let (_, next) = callers.served(|s| of_queue(s) && s.tasks == usual * 3 / 2);
        println!("priority {priority}: {all} of 100 of {count}, large {large}, next {next}");
        // One in eight jobs of each queue is ranked first.
        assert!(all >= 12, "priority {priority}: {all}");
        assert!(large * 2 >= all, "priority {priority}: {large} of {all}");
        assert!(next * 2 >= all, "priority {priority}: {next} of {all}");
    }
}

/// Guards against messages that grow with entries times agents instead of with the tasks that wait.
#[test]
fn what_entries_ask_is_bounded() {
    const MS: u64 = 1_000;
    let (entries, agents) = (3, 20);
    let mut callers = Callers::new(1, agents, 200, &[1, 1, 1]);
    // All slots are taken for as long as the test lasts.
    for _ in 0..agents * 4 {
        callers.send(0, 1, WAIT_MS - 50);
    }
    callers.fleet.run(100);
    let before = callers.fleet.want_messages;
    callers.send(0, 1, 100);
    callers.fleet.run(100);
    let for_one = callers.fleet.want_messages - before;
    assert!((1..=4).contains(&for_one), "{for_one}");
    for _ in 0..1_000 {
        callers.send(0, 1, 100);
    }
    let before = callers.fleet.want_messages;
    callers.fleet.run(MS);
    let bound = MS / 20 * entries * agents as u64;
    let sent = callers.fleet.want_messages - before;
    assert!(sent <= bound, "{sent} of {bound}");
}

/// Guards against capacity that is kept for an entry that has gone.
#[test]
fn what_an_entry_that_has_gone_had_asked_for_is_forgotten() {
    let mut fleet = Fleet::new(3, 1, 300);
    fleet.call(0, 1, submit(JobId(1), timed_job(4, 300)), WAIT_MS);
    fleet.run(50);
    // The whole worker, and it is asked first.
    let mut whole = timed_job(1, 300);
    whole.steps[0].need.cpu = 4_000;
    fleet.call(1, 2, submit(JobId(2), whole), WAIT_MS);
    fleet.run(50);
    fleet.kill_entry(1);
    fleet.call(2, 3, submit(JobId(3), timed_job(4, 300)), WAIT_MS);
    fleet.run(230);
    assert_eq!(fleet.agents[0].server.run_count(), 4);
    fleet.run(300);
    assert_eq!(fleet.answer(2, 3), Some(&COMPLETED));
}

/// Guards against capacity that stays reserved for an entry that does not use it.
#[test]
fn an_offer_that_is_not_used_lapses() {
    let mut fleet = Fleet::new(3, 1, 300);
    fleet.call(0, 1, submit(JobId(1), timed_job(4, 300)), WAIT_MS);
    fleet.run(50);
    fleet.call(1, 2, submit(JobId(2), timed_job(4, 300)), WAIT_MS);
    fleet.run(50);
    // The entry hears of no offer.
    fleet.cut_to_entry.push((1, 0));
    fleet.call(2, 3, submit(JobId(3), timed_job(4, 300)), WAIT_MS);
    fleet.run(230);
    // Offers last for less than two turns of an agent.
    fleet.run(40);
    assert_eq!(fleet.agents[0].server.run_count(), 4);
    fleet.run(310);
    assert_eq!(fleet.answer(2, 3), Some(&COMPLETED));
}
