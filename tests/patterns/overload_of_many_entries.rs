//! More load than the backend servers can carry, at many entries.

use fulmardrift::{CallReply, JobId, JobStatus, Millis};

use crate::fleet::{Fleet, job, submit};

const ENTRIES: usize = 10;
const AGENTS: usize = 20;
const WORK_MS: u64 = 200;
const TASKS: u32 = 2;
const WAIT_MS: u64 = 1_500;
const OVERLOAD_MS: u64 = 5_000;
/// Time after the load has fallen from which all jobs are served.
const RECOVERY_MS: u64 = 5_000;
/// Jobs a second that fill all backend servers, with four places at each.
const FULL_RATE: u64 = AGENTS as u64 * 4 * 1_000 / WORK_MS / TASKS as u64;
const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);

/// Callers that send jobs to entries drawn with a fixed seed.
struct Callers {
    fleet: Fleet,
    random: u64,
    /// Entry of each job, from number 1, and when it was sent.
    sent: Vec<(usize, Millis)>,
}

impl Callers {
    fn new(seed: u64) -> Self {
        Self {
            fleet: Fleet::new(ENTRIES, AGENTS, WORK_MS),
            random: seed,
            sent: Vec::new(),
        }
    }

    /// Sends `rate` jobs a second for a while.
    fn send(&mut self, rate: u64, ms: u64) {
        for at in 0..ms {
            for _ in at * rate / 1_000..(at + 1) * rate / 1_000 {
                // Knuth's generator; its high bits are the better ones.
                self.random = self.random.wrapping_mul(6_364_136_223_846_793_005);
                self.random = self.random.wrapping_add(1_442_695_040_888_963_407);
                let entry = usize::try_from(self.random >> 33).unwrap() % ENTRIES;
                self.sent.push((entry, self.fleet.now));
                let id = self.sent.len() as u64;
                let call = submit(JobId(id), job(TASKS, WORK_MS, true));
                self.fleet.call(entry, id, call, WAIT_MS);
            }
            self.fleet.run(1);
        }
    }

    /// Jobs sent in a period, and those of them that were served.
    fn served(&self, from: Millis, until: Millis) -> (usize, usize) {
        let jobs = (1..).zip(&self.sent);
        let sent: Vec<_> = jobs
            .filter(|(_, (_, at))| (from..until).contains(at))
            .collect();
        let is_served = |(id, (entry, _)): &&(u64, &(usize, Millis))| {
            self.fleet.answer(*entry, *id) == Some(&COMPLETED)
        };
        (sent.len(), sent.iter().filter(is_served).count())
    }
}

/// Guards against entries that all order for the same place, are denied and order elsewhere, so that
/// most of the work above full load is denials.
#[test]
fn few_orders_are_denied_above_full_load_and_all_is_served_soon_after() {
    for seed in 1..=3 {
        let mut callers = Callers::new(seed);
        callers.send(FULL_RATE * 3 / 2, OVERLOAD_MS);
        let fleet = &callers.fleet;
        let (orders, denied) = (fleet.start_orders, fleet.denied_for_room);
        let fallen = fleet.now;
        callers.send(FULL_RATE / 2, RECOVERY_MS + 2_000);
        let until = callers.fleet.now;
        callers.fleet.run(WAIT_MS);
        assert!(denied * 10 < orders, "seed {seed}: {denied} of {orders}");
        let (sent, served) = callers.served(fallen + Millis(RECOVERY_MS), until);
        assert_eq!(served, sent, "seed {seed}");
        assert_eq!(callers.fleet.overlaps(), []);
    }
}

/// Guards against room that is offered to nobody because it is smaller than the largest run that is
/// held: jobs of other entries, which were last told of a full backend server, waited until that run
/// ended.
#[test]
fn free_room_beside_a_large_run_is_offered() {
    let sized = |cpu: u32| {
        let mut spec = job(1, WORK_MS, true);
        spec.steps[0].need.cpu = cpu;
        spec
    };
    let mut fleet = Fleet::new(3, 1, 60_000);
    fleet.call(0, 1, submit(JobId(1), sized(2_500)), 60_000);
    fleet.run(100);
    fleet.agents[0].server.work = Millis(WORK_MS);
    for id in 2..=4 {
        fleet.call(1, id, submit(JobId(id), sized(500)), WAIT_MS);
    }
    fleet.run(WORK_MS + 10);
    fleet.call(2, 5, submit(JobId(5), sized(1_500)), WAIT_MS);
    fleet.run(WORK_MS + 400);
    assert_eq!(fleet.answer(2, 5), Some(&COMPLETED));
}
