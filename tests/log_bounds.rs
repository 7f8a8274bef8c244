//! The files of a control instance stay small, whatever the size of the changes.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex};

use fulmardrift::{
    Call, CallReply, ClientAction, Command, Control, ControlInput, ControlOutput, Generation,
    Incarnation, JobId, JobKey, JobOutcome, JobSpec, JobStatus, Millis, OperatorConfig, Raft,
    RaftInput, RaftOutput, RaftTiming, Record, Replica, ReplicaId, ReplicaInput, ReplicaOutput,
    ReplicaTimes, RequestId, Storage, TimestampedCommand, Wal, first_disk,
};

use fleet::{config, job, submit};

const TIMES: ReplicaTimes = ReplicaTimes {
    keep: Millis(120_000),
};
const TIMING: RaftTiming = RaftTiming {
    election: Millis(450),
    heartbeat: Millis(90),
    margin: Millis(60),
};
const TICK_MS: u64 = 20;
/// Three eighths of a disk of 128 MB.
const FILES_BOUND: usize = 48 << 20;
const CHANGE_LEN: usize = 700_000;
const SMALL_BOUND: usize = 8 << 20;

/// A disk that notes the most bytes that its files have had together.
#[derive(Clone, Default)]
struct Disk {
    file: Arc<Mutex<Vec<u8>>>,
    peak: Arc<Mutex<usize>>,
}

impl Disk {
    fn note(&self, bytes: usize) {
        let mut peak = self.peak.lock().unwrap();
        *peak = bytes.max(*peak);
    }

    fn peak(&self) -> usize {
        *self.peak.lock().unwrap()
    }
}

impl Storage for Disk {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.file.lock().unwrap().clone())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, len: usize) -> io::Result<()> {
        self.file.lock().unwrap().truncate(len);
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut file = self.file.lock().unwrap();
        file.extend(bytes);
        self.note(file.len());
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut file = self.file.lock().unwrap();
        self.note(file.len() + bytes.len());
        *file = bytes.to_vec();
        Ok(())
    }
}

fn open(disk: &Disk, now: Millis) -> (Wal<Disk>, Raft) {
    let (wal, durable) =
        Wal::open(disk.clone(), first_disk(&[ReplicaId(1)], ReplicaId(1))).unwrap();
    let raft = Raft::new(ReplicaId(1), Vec::new(), TIMING, durable, now, 1);
    (wal, raft.allow_joining(1))
}

/// A control instance that is its whole group, with its log on a disk.
struct Single {
    now: Millis,
    replica: Replica,
    wal: Wal<Disk>,
    disk: Disk,
    writes: VecDeque<(u64, Vec<Record>)>,
    replies: Vec<CallReply>,
}

impl Single {
    fn open(disk: &Disk, now: Millis, bound: usize) -> Self {
        let (wal, raft) = open(disk, now);
        let replica = Replica::new(raft, TIMES).unwrap().with_file_bound(bound);
        let mut single = Self {
            now,
            replica,
            wal,
            disk: disk.clone(),
            writes: VecDeque::new(),
            replies: Vec::new(),
        };
        for _ in 0..500 {
            single.run();
            if single.replica.raft().holds_lease(single.now) {
                return single;
            }
        }
        panic!("no leader");
    }

    fn input(&mut self, input: ReplicaInput) {
        let mut out = Vec::new();
        self.replica.step(self.now, input, &mut out).unwrap();
        self.replica.flush(self.now, &mut out).unwrap();
        for output in out {
            match output {
                ReplicaOutput::Raft(RaftOutput::Write(number, records)) => {
                    self.writes.push_back((number, records));
                }
                ReplicaOutput::Reply(_, reply) => self.replies.push(reply),
                _ => {}
            }
        }
    }

    fn run(&mut self) {
        self.now = Millis(self.now.0 + TICK_MS);
        self.input(ReplicaInput::Tick);
        while let Some((number, records)) = self.writes.pop_front() {
            self.wal.write(&records).unwrap();
            self.input(ReplicaInput::Raft(RaftInput::Synced(number)));
        }
    }

    fn run_for(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.run();
        }
    }

    /// Submits jobs until one is refused, and returns how many were accepted.
    fn fill(&mut self, first: u64, spec: &JobSpec) -> u64 {
        for id in first..first + 200 {
            let reply = self.ask(submit(JobId(id), spec.clone()));
            let peak = self.disk.peak();
            assert!(peak <= SMALL_BOUND, "{peak} bytes at job {id}");
            if reply == CallReply::Done {
                continue;
            }
            let refused = matches!(reply, CallReply::Refused(_));
            assert!(refused, "{reply:?}");
            return id - first;
        }
        panic!("no job was refused");
    }

    fn ask_about(&mut self, id: u64, action: ClientAction) -> CallReply {
        let path = format!("/jobs/{}", JobId(id));
        let host = "desk.example".to_owned();
        self.ask(Call::Client { host, path, action })
    }

    fn ask(&mut self, call: Call) -> CallReply {
        self.replies.clear();
        self.input(ReplicaInput::Call(1, call));
        self.run();
        self.replies.pop().expect("no reply")
    }
}

fn large_config(version: u64) -> OperatorConfig {
    OperatorConfig {
        version,
        queues: Vec::new(),
        unguarded: Vec::new(),
        document: vec![u8::try_from(version % 251).unwrap(); CHANGE_LEN],
    }
}

/// Guards against a log that is replaced only by the number of its entries: some 170 large changes
/// filled the disks of all instances at once, and none could lead any more.
#[test]
fn a_thousand_large_changes_stay_within_the_bound() {
    let disk = Disk::default();
    let mut single = Single::open(&disk, Millis(0), FILES_BOUND);
    for version in 1..=1_000 {
        let call = Call::PutConfig(Some(large_config(version)));
        assert_eq!(single.ask(call), CallReply::Done, "version {version}");
        let peak = single.disk.peak();
        assert!(peak <= FILES_BOUND, "{peak} bytes after {version} changes");
    }
    let mut again = Single::open(&disk, single.now, FILES_BOUND);
    let document = large_config(1_000).document;
    assert_eq!(again.ask(Call::GetConfig), CallReply::Document(document));
}

/// As above, for the instances that serve settings and claims.
#[test]
fn a_hundred_large_claims_stay_within_the_bound() {
    let disk = Disk::default();
    let (mut wal, raft) = open(&disk, Millis(0));
    let mut control = Control::new(raft).unwrap();
    let key = JobKey {
        team: "t".to_owned(),
        id: "k".repeat(CHANGE_LEN),
    };
    for at in 1..=200 {
        let now = Millis(at * TICK_MS);
        let mut out = Vec::new();
        let tick = ControlInput::Tick(now);
        control.step(now, tick, &mut out).unwrap();
        if at > 100 {
            let command = Command::Record {
                key: key.clone(),
                generation: Generation(1),
                owner: Incarnation(1),
                outcome: JobOutcome::Complete,
            };
            let command = TimestampedCommand { at: now, command };
            let propose = ControlInput::Propose(RequestId(at), command);
            control.step(now, propose, &mut out).unwrap();
        }
        let mut next = VecDeque::from(out);
        while let Some(output) = next.pop_front() {
            if let ControlOutput::Raft(RaftOutput::Write(number, records)) = output {
                wal.write(&records).unwrap();
                let mut out = Vec::new();
                let synced = ControlInput::Raft(RaftInput::Synced(number));
                control.step(now, synced, &mut out).unwrap();
                next.extend(out);
            }
        }
        let peak = disk.peak();
        assert!(peak <= FILES_BOUND, "{peak} bytes at {at}");
    }
    assert!(control.raft().committed().0 > 100);
}

/// Fills the room with jobs like `spec`, then makes room by cancelling them.
fn fill_and_make_room(spec: &JobSpec) {
    let disk = Disk::default();
    let mut single = Single::open(&disk, Millis(0), SMALL_BOUND);
    assert_eq!(
        single.ask(Call::PutConfig(Some(config(1)))),
        CallReply::Done
    );
    let accepted = single.fill(1, spec);
    assert!(accepted > 10, "{accepted}");
    // Nothing of the refused change is stored, the leader stays and answers reads.
    let refused = single.ask_about(accepted + 1, ClientAction::Query);
    assert_eq!(refused, CallReply::NoJob);
    let large = single.ask(Call::PutConfig(Some(large_config(2))));
    assert!(matches!(large, CallReply::Refused(_)), "{large:?}");
    let document = config(1).document;
    assert_eq!(single.ask(Call::GetConfig), CallReply::Document(document));
    assert!(single.replica.raft().holds_lease(single.now));
    // All of it comes back after a restart.
    let mut single = Single::open(&disk, single.now, SMALL_BOUND);
    let last = single.ask_about(accepted, ClientAction::Query);
    assert_eq!(last, CallReply::State(JobStatus::Queued));
    assert!(
        single.fill(accepted + 1, spec) <= 2,
        "room came from nowhere"
    );
    // Cancelling needs no new room, and makes some.
    for id in 1..=accepted {
        let cancelled = single.ask_about(id, ClientAction::Cancel);
        assert_eq!(cancelled, CallReply::Done, "job {id}");
    }
    single.run_for(6_000);
    let again = single.fill(accepted + 10, spec);
    assert!(again + 1 >= accepted / 2, "{again} of {accepted}");
}

/// Guards against a leader that stores changes until the disk is full, and then cannot lead.
#[test]
fn a_leader_without_room_refuses_jobs_until_it_has_made_some() {
    let mut spec = job(1, 100, false);
    spec.payload = "p".repeat(100_000);
    fill_and_make_room(&spec);
}

/// Guards against a snapshot that outgrows the entries that it replaces: a short entry may hold
/// many tasks.
#[test]
fn a_job_of_many_tasks_counts_with_its_tasks() {
    fill_and_make_room(&job(50_000, 100, false));
}
