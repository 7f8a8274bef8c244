//! A control group of one replica and simulated workers: each speaks for its agent and its backend
//! server. A change of leaders is a restart of the replica; its disk and the workers keep what they
//! have.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

use fulmardrift::{
    AcceptorMessage, AgentOrder, AgentReport, Call, CallReply, ClientAction, DiskId, Durable,
    Initiator, InitiatorMessage, JobId, JobSpec, JobStatus, Millis, OperatorConfig, Queue,
    QueueSettings, Raft, RaftInput, RaftOutput, RaftTiming, Record, Replica, ReplicaId,
    ReplicaInput, ReplicaOutput, ReplicaTimes, Resources, RunEnd, RunId, RunOutcome, Server,
    SessionId, Step, TaskId, first_disk,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Length of a random play, in milliseconds.
pub const PLAY_MS: u64 = 40_000;
/// No job is handed in and no leader changed in this last part of it.
const CALM_MS: u64 = 12_000;
/// After a change of leaders it takes up to this long until all workers may get work again.
const TAKE_OVER_MS: u64 = 2_000;
const TIMING: RaftTiming = RaftTiming {
    election: Millis(450),
    heartbeat: Millis(90),
    margin: Millis(60),
};
const TIMES: ReplicaTimes = ReplicaTimes {
    keep: Millis(120_000),
};
const SYNC_MS: u64 = 9;
const MEMORY: u32 = 1_000_000;
const ATTEMPTS: u32 = 4;

/// A job of one step, and how its runs end.
#[derive(Debug, Clone)]
pub struct TestJob {
    pub count: u32,
    pub cpu: u32,
    pub work: u64,
    pub label: Option<&'static str>,
    pub max_per_worker: u32,
    /// Number of first runs of each task that fail.
    pub failing_runs: u32,
    /// A worker on which all of its runs fail.
    pub fails_on: Option<usize>,
}

impl TestJob {
    pub fn new(count: u32, cpu: u32, work: u64) -> Self {
        Self {
            count,
            cpu,
            work,
            label: None,
            max_per_worker: 0,
            failing_runs: 0,
            fails_on: None,
        }
    }

    pub fn label(mut self, label: &'static str) -> Self {
        self.label = Some(label);
        self
    }

    pub fn spread(mut self, max_per_worker: u32) -> Self {
        self.max_per_worker = max_per_worker;
        self
    }

    pub fn fails(mut self, failing_runs: u32) -> Self {
        self.failing_runs = failing_runs;
        self
    }

    fn spec(&self) -> JobSpec {
        JobSpec {
            payload: "work".to_owned(),
            steps: vec![Step {
                count: self.count,
                need: self.need(),
                estimate: Millis(self.work),
                after: Vec::new(),
                label: self.label.map(str::to_owned),
                rack: None,
                max_per_worker: self.max_per_worker,
            }],
            transient: false,
            unsupported: None,
        }
    }

    fn need(&self) -> Resources {
        Resources {
            cpu: self.cpu,
            memory: 1,
            gpu: 0,
        }
    }
}

#[derive(Debug)]
struct Run {
    key: (TaskId, RunId),
    cpu: u32,
    ends_at: u64,
    outcome: RunOutcome,
}

/// An agent with its backend server.
#[derive(Debug)]
pub struct FakeWorker {
    cpu: u32,
    label: &'static str,
    /// All runs that start before this time fail, after a tenth of their length.
    pub fails_until: Millis,
    /// Its runs take this many times as long.
    pub slowness: u64,
    pub leaving: bool,
    session: SessionId,
    runs: Vec<Run>,
    last_end: u64,
    /// Ends that are not recorded.
    ends: Vec<(u64, RunEnd)>,
}

impl FakeWorker {
    pub fn new(cpu: u32, label: &'static str) -> Self {
        Self {
            cpu,
            label,
            fails_until: Millis(0),
            slowness: 1,
            leaving: false,
            session: SessionId(0),
            runs: Vec::new(),
            last_end: 0,
            ends: Vec::new(),
        }
    }

    fn used(&self) -> u32 {
        self.runs.iter().map(|run| run.cpu).sum()
    }

    fn server(&self, at: usize) -> Server {
        Server {
            life: 1,
            id: format!("s{at}"),
            service: "desk".to_owned(),
            data_centre: "dc".to_owned(),
            capacity: Resources {
                cpu: self.cpu,
                memory: MEMORY,
                gpu: 0,
            },
            labels: vec![self.label.to_owned()],
            leaving: self.leaving,
        }
    }
}

/// A job that had nothing running for too long.
#[derive(Debug)]
pub struct IdleJob {
    pub job: JobId,
    pub spec: TestJob,
    pub at: Millis,
    pub workers: String,
}

/// What a random play still does.
#[derive(Debug)]
enum Change {
    Submit(JobId, TestJob),
    Leader,
    Leave(usize, bool),
    Fail(usize, u64),
}

pub struct Workers {
    pub now: Millis,
    pub ends: Vec<RunOutcome>,
    slots: Vec<FakeWorker>,
    replica: Replica,
    disk: DiskId,
    records: Vec<Record>,
    unsynced: VecDeque<(u64, u64, Vec<Record>)>,
    changed_at: u64,
    last_session: u64,
    last_token: u64,
    replies: BTreeMap<u64, CallReply>,
    jobs: BTreeMap<JobId, TestJob>,
    idle_since: BTreeMap<JobId, u64>,
    ended_at: BTreeMap<JobId, u64>,
    run_counts: BTreeMap<TaskId, u32>,
    changes: VecDeque<(u64, Change)>,
}

fn config() -> OperatorConfig {
    OperatorConfig {
        version: 1,
        queues: vec![Queue {
            name: "q".to_owned(),
            host: "desk.example".to_owned(),
            prefix: "/jobs/".to_owned(),
            settings: QueueSettings {
                service: "desk".to_owned(),
                priority: 0,
                attempts: ATTEMPTS,
                slack: 1_600,
                target: Millis(60),
            },
        }],
        unguarded: Vec::new(),
        document: b"document".to_vec(),
    }
}

fn new_replica(now: Millis, disk: DiskId, records: &[Record]) -> Replica {
    let durable = Durable {
        disk,
        records: records.to_vec(),
    };
    let raft = Raft::new(ReplicaId(1), Vec::new(), TIMING, durable, now, 1);
    Replica::new(raft, TIMES).unwrap()
}

impl Workers {
    pub fn new(workers: Vec<FakeWorker>) -> Self {
        let disk = first_disk(&[ReplicaId(1)], ReplicaId(1));
        let records = vec![Record::Disk(disk)];
        let mut play = Self {
            now: Millis(1),
            ends: Vec::new(),
            replica: new_replica(Millis(1), disk, &records),
            slots: workers,
            disk,
            records,
            unsynced: VecDeque::new(),
            changed_at: 1,
            last_session: 0,
            last_token: 0,
            replies: BTreeMap::new(),
            jobs: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            ended_at: BTreeMap::new(),
            run_counts: BTreeMap::new(),
            changes: VecDeque::new(),
        };
        play.connect();
        play.run(2_000);
        assert_eq!(play.ask(Call::PutConfig(Some(config()))), CallReply::Done);
        play.run(1_000);
        play
    }

    /// Starts the replica again: it leads in a new term, and knows only what is in its log.
    pub fn change_leader(&mut self) {
        self.unsynced.clear();
        self.replica = new_replica(self.now, self.disk, &self.records);
        self.changed_at = self.now.0;
        self.connect();
    }

    fn connect(&mut self) {
        for at in 0..self.slots.len() {
            self.last_session += 1;
            let session = SessionId(self.last_session);
            self.slots[at].session = session;
            let hello = InitiatorMessage::Hello(Initiator::Agent(format!("agent{at}")));
            self.input(ReplicaInput::Message(session, hello));
        }
    }

    pub fn submit(&mut self, id: JobId, job: TestJob) {
        let action = ClientAction::Submit(Some(job.spec()));
        self.jobs.insert(id, job);
        self.call(id, action);
    }

    fn call(&mut self, id: JobId, action: ClientAction) -> u64 {
        self.last_token += 1;
        let call = Call::Client {
            host: "desk.example".to_owned(),
            path: format!("/jobs/{id}"),
            action,
        };
        self.input(ReplicaInput::Call(self.last_token, call));
        self.last_token
    }

    fn ask(&mut self, call: Call) -> CallReply {
        self.last_token += 1;
        let token = self.last_token;
        self.input(ReplicaInput::Call(token, call));
        self.run(100);
        self.replies[&token].clone()
    }

    /// State of a job; `None` if it is not known.
    pub fn status(&mut self, id: JobId) -> Option<JobStatus> {
        let token = self.call(id, ClientAction::Query);
        match self.replies.remove(&token) {
            Some(CallReply::State(status)) => Some(status),
            _ => None,
        }
    }

    pub fn completed(&mut self) -> usize {
        let ids: Vec<_> = self.jobs.keys().copied().collect();
        let states = ids.into_iter().map(|id| self.status(id));
        states.filter(|s| *s == Some(JobStatus::Completed)).count()
    }

    /// Number of runs in progress that belong to these jobs.
    pub fn runs_of_jobs(&self, ids: Range<u64>) -> usize {
        let runs = self.slots.iter().flat_map(|worker| &worker.runs);
        runs.filter(|run| ids.contains(&run.key.0.job.0)).count()
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = Millis(self.now.0 + 1);
            while let Some((_, number, records)) =
                self.unsynced.pop_front_if(|(due, ..)| *due <= self.now.0)
            {
                self.records.extend(records);
                self.input(ReplicaInput::Raft(RaftInput::Synced(number)));
            }
            for at in 0..self.slots.len() {
                self.end_runs(at);
            }
            if self.now.0.is_multiple_of(20) {
                self.input(ReplicaInput::Tick);
            }
            if self.now.0.is_multiple_of(250) {
                for at in 0..self.slots.len() {
                    let heartbeat = InitiatorMessage::Heartbeat(self.now);
                    self.input(ReplicaInput::Message(self.slots[at].session, heartbeat));
                }
            }
        }
    }

    /// Goes on with a random play.
    pub fn play_on(&mut self, ms: u64) {
        while let Some((_, change)) = self.changes.pop_front_if(|(at, _)| *at <= self.now.0) {
            match change {
                Change::Submit(id, job) => self.submit(id, job),
                Change::Leader => self.change_leader(),
                Change::Leave(at, leaving) => {
                    self.slots[at].leaving = leaving;
                    let server = self.slots[at].server(at);
                    self.report(at, AgentReport::Server(Some(server)));
                }
                Change::Fail(at, until) => self.slots[at].fails_until = Millis(until),
            }
        }
        self.run(ms);
    }

    fn end_runs(&mut self, at: usize) {
        let now = self.now.0;
        let worker = &mut self.slots[at];
        let over: Vec<_> = worker
            .runs
            .extract_if(.., |run| run.ends_at <= now)
            .collect();
        let ends = over.into_iter().map(|run| (run.key, run.outcome));
        self.report_ends(at, ends.collect());
    }

    fn report_ends(&mut self, at: usize, over: Vec<((TaskId, RunId), RunOutcome)>) {
        if over.is_empty() {
            return;
        }
        let worker = &mut self.slots[at];
        let mut ends = Vec::new();
        for ((task, run), outcome) in over {
            worker.last_end += 1;
            ends.push((worker.last_end, RunEnd { task, run, outcome }));
            self.ends.push(outcome);
            self.ended_at.insert(task.job, self.now.0);
        }
        worker.ends.extend_from_slice(&ends);
        self.report(at, AgentReport::Ends { life: 1, ends });
    }

    fn report(&mut self, at: usize, report: AgentReport) {
        let session = self.slots[at].session;
        let report = InitiatorMessage::Report(report);
        self.input(ReplicaInput::Message(session, report));
    }

    fn input(&mut self, input: ReplicaInput) {
        let now = self.now;
        let mut out = Vec::new();
        self.replica.step(now, input, &mut out).unwrap();
        self.replica.flush(now, &mut out).unwrap();
        for output in out {
            match output {
                ReplicaOutput::Raft(RaftOutput::Write(number, records)) => {
                    let due = self.now.0 + SYNC_MS;
                    self.unsynced.push_back((due, number, records));
                }
                ReplicaOutput::Raft(_) => {}
                ReplicaOutput::Reply(token, reply) => {
                    self.replies.insert(token, reply);
                }
                ReplicaOutput::Message(session, message) => {
                    let at = self.slots.iter().position(|w| w.session == session);
                    if let Some(at) = at {
                        self.on_message(at, &message);
                    }
                }
            }
        }
    }

    fn on_message(&mut self, at: usize, message: &AcceptorMessage) {
        match message {
            AcceptorMessage::Status {
                leads: true, term, ..
            } => {
                let worker = &self.slots[at];
                let inventory = AgentReport::Inventory {
                    epoch: term.0,
                    server: Some(worker.server(at)),
                    runs: worker.runs.iter().map(|run| run.key).collect(),
                };
                let ends = worker.ends.clone();
                self.report(at, inventory);
                self.report(at, AgentReport::Ends { life: 1, ends });
            }
            AcceptorMessage::Order(AgentOrder::Start { task, run, .. }) => {
                self.start(at, (*task, *run));
            }
            AcceptorMessage::Order(
                AgentOrder::Stop { task, run }
                | AgentOrder::StopStalled { task, run }
                | AgentOrder::Revoke { task, run },
            ) => {
                let key = (*task, *run);
                self.slots[at].runs.retain(|known| known.key != key);
                self.report_ends(at, vec![(key, RunOutcome::Lost)]);
            }
            AcceptorMessage::Recorded { upto, .. } => {
                self.slots[at].ends.retain(|(number, _)| number > upto);
            }
            _ => {}
        }
    }

    fn start(&mut self, at: usize, key: (TaskId, RunId)) {
        let job = &self.jobs[&key.0.job];
        let count = self.run_counts.entry(key.0).or_insert(0);
        *count += 1;
        let worker = &mut self.slots[at];
        let is_failing = worker.fails_until > self.now;
        let fails = is_failing || *count <= job.failing_runs || job.fails_on == Some(at);
        let work = job.work * worker.slowness;
        let length = if is_failing { work / 10 } else { work };
        let outcome = if fails {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        worker.runs.push(Run {
            key,
            cpu: job.cpu,
            ends_at: self.now.0 + length.max(1),
            outcome,
        });
        self.report(at, AgentReport::Started(key.0, key.1));
    }

    /// The jobs that have had nothing running for at least `limit` while their turn had come and there
    /// was room for a task twice over, with less than half of all room in use.
    pub fn idle_jobs(&mut self, limit: Millis) -> Vec<IdleJob> {
        let now = self.now.0;
        let used: u32 = self.slots.iter().map(FakeWorker::used).sum();
        let total: u32 = self.slots.iter().map(|w| w.cpu).sum();
        let is_calm = now - self.changed_at >= TAKE_OVER_MS && 2 * used < total;
        let mut idle = Vec::new();
        let jobs: Vec<_> = self
            .jobs
            .iter()
            .map(|(id, job)| (*id, job.clone()))
            .collect();
        for (id, job) in jobs {
            let runs = self.runs_of_jobs(id.0..id.0 + 1);
            let is_idle = is_calm && runs == 0 && self.places(&job) >= 2;
            if !is_idle || !self.is_open(id) {
                self.idle_since.remove(&id);
                continue;
            }
            // A short run may have begun and ended since the last look.
            let last_end = self.ended_at.get(&id).copied().unwrap_or_default();
            let since = self.idle_since.entry(id).or_insert(now);
            *since = last_end.max(*since);
            let since = *since;
            if now - since >= limit.0 {
                idle.push(IdleJob {
                    job: id,
                    spec: job,
                    at: self.now,
                    workers: format!("{:?}", self.slots),
                });
            }
        }
        idle
    }

    fn is_open(&mut self, id: JobId) -> bool {
        let status = self.status(id);
        matches!(status, Some(JobStatus::Queued | JobStatus::Running))
    }

    /// For how many tasks of a job of which nothing runs there is room.
    fn places(&self, job: &TestJob) -> u32 {
        let may_run = |worker: &&FakeWorker| {
            !worker.leaving && job.label.is_none_or(|label| label == worker.label)
        };
        let most = match job.max_per_worker {
            0 => u32::MAX,
            most => most,
        };
        let workers = self.slots.iter().filter(may_run);
        workers
            .map(|worker| (worker.cpu.saturating_sub(worker.used()) / job.cpu).min(most))
            .sum()
    }
}

/// A play with random workers, jobs and changes.
pub fn random_play(seed: u64) -> Workers {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(2..7);
    let mut workers = Vec::new();
    for at in 0..count {
        // Both labels are there.
        let label = if at == 0 || at > 1 && rng.random_bool(0.5) {
            "b"
        } else {
            "a"
        };
        let mut worker = FakeWorker::new(rng.random_range(4..33) * 1_000, label);
        worker.slowness = if rng.random_bool(0.2) { 4 } else { 1 };
        workers.push(worker);
    }
    let mut play = Workers::new(workers);
    let from = play.now.0;
    let busy = PLAY_MS - CALM_MS;
    let mut changes = Vec::new();
    for number in 0..rng.random_range(10..80) {
        let job = random_job(&mut rng, count);
        let at = from + rng.random_range(0..busy);
        changes.push((at, Change::Submit(JobId(number), job)));
    }
    for _ in 0..rng.random_range(0..4) {
        changes.push((from + rng.random_range(0..busy), Change::Leader));
    }
    for _ in 0..rng.random_range(0..3) {
        let worker = rng.random_range(0..count);
        let at = from + rng.random_range(0..busy);
        changes.push((at, Change::Leave(worker, true)));
        let back = at + rng.random_range(100..8_000);
        changes.push((back, Change::Leave(worker, false)));
    }
    for _ in 0..rng.random_range(0..3) {
        let worker = rng.random_range(0..count);
        let at = from + rng.random_range(0..busy);
        let until = at + rng.random_range(500..10_000);
        changes.push((at, Change::Fail(worker, until)));
    }
    changes.sort_by_key(|(at, _)| *at);
    play.changes = changes.into();
    play
}

fn random_job(rng: &mut impl Rng, workers: usize) -> TestJob {
    let is_long = rng.random_bool(0.15);
    let work = if is_long {
        rng.random_range(10_000..40_000)
    } else {
        rng.random_range(50..2_000)
    };
    let mut job = TestJob::new(rng.random_range(1..5), rng.random_range(1..7) * 500, work);
    if rng.random_bool(0.3) {
        job.label = Some(if rng.random_bool(0.5) { "a" } else { "b" });
    }
    if rng.random_bool(0.3) {
        job.max_per_worker = 1;
    }
    match rng.random_range(0..10) {
        0 | 1 => job.failing_runs = u32::MAX,
        2 | 3 => job.failing_runs = rng.random_range(1..3),
        4 => job.fails_on = Some(rng.random_range(0..workers)),
        _ => {}
    }
    job
}
