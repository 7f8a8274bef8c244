//! A control group whose links, processors and disks take their time, in virtual time.

#![allow(dead_code)]

use std::collections::BTreeMap;

use fulmardrift::{
    Call, CallReply, ClientAction, DiskId, JobId, JobSpec, JobStatus, Millis, OperatorConfig,
    Queue, QueueSettings, Raft, RaftGuard, RaftInput, RaftOutput, RaftTiming, Replica, ReplicaId,
    ReplicaInput, ReplicaOutput, ReplicaTimes, Resources, SessionId, Step, first_disk,
};

use super::session::{NODE_SESSIONS, Parcel, Piece, Session, SessionRules};
use super::timed_disk::{DISK_SIZE, OldFile, TimedDisk};

const TIMES: ReplicaTimes = ReplicaTimes {
    keep: Millis(120_000),
};
const TIMING: RaftTiming = RaftTiming {
    election: Millis(450),
    heartbeat: Millis(90),
    margin: Millis(60),
};
const TICK_MS: u64 = 20;
/// Bytes that a process on half a core reads in a millisecond, and bytes that it decodes: together,
/// receiving and decoding go at 20 MB/s.
const READ_RATE: usize = 40_000;
const DECODE_RATE: usize = 40_000;
/// Time of a processor in a millisecond, in microseconds.
const STEP_US: i64 = 1_000;
/// Largest size of all files of an instance, in bytes: three eighths of its disk.
pub const FILE_BOUND: usize = DISK_SIZE / 8 * 3;
/// Host of the queue.
const HOST: &str = "desk.example";
/// How long an operator waits for the reply to a change before sending it again.
const CALL_TIMEOUT: Millis = Millis(1_000);
/// The session on which a replica gets the messages of its peers.
const PEER_SESSION: SessionId = SessionId(90);

/// An instance with its disk; `replica` is `None` while it is down.
#[derive(Debug)]
pub struct Instance {
    pub replica: Option<Replica>,
    pub disk: TimedDisk,
    /// When it last started.
    pub started_at: Millis,
    tick_at: Millis,
    // Processor time that is left of this step; negative while a message is being decoded.
    spare_us: i64,
}

/// Rules of a group, which a test may change for a checker to find.
#[derive(Debug, Clone)]
pub struct GroupRules {
    pub sessions: SessionRules,
    pub old_file: OldFile,
    /// Rules of the replicated log that are turned off.
    pub disabled: Vec<RaftGuard>,
    /// Losses at a time that the group tolerates, for the voters that it needs before a change.
    pub tolerated_losses: usize,
}

impl Default for GroupRules {
    fn default() -> Self {
        Self {
            sessions: NODE_SESSIONS,
            old_file: OldFile::KeptUntilSynced,
            disabled: Vec::new(),
            tolerated_losses: 0,
        }
    }
}

/// A control group that instances may join.
pub struct TimedGroup {
    pub now: Millis,
    pub instances: BTreeMap<u64, Instance>,
    /// Instances that no other can reach.
    pub isolated: Vec<u64>,
    /// Version of the last change that was acknowledged.
    pub acknowledged: u64,
    /// The last time at which an instance might act as the leader.
    pub led_at: Millis,
    /// Instances that stopped, as they could not read what they got or stored.
    pub broken: Vec<String>,
    /// Jobs that were accepted.
    pub jobs: Vec<JobId>,
    sessions: Vec<Session>,
    size: u64,
    founders: Vec<u64>,
    rules: GroupRules,
    replies: BTreeMap<u64, CallReply>,
    last_token: u64,
    last_disk: u64,
    last_version: u64,
}

impl TimedGroup {
    /// A group with its first leader.
    pub fn new(size: u64) -> Self {
        Self::with_rules(size, GroupRules::default())
    }

    /// A group with other rules, and its first leader.
    pub fn with_rules(size: u64, rules: GroupRules) -> Self {
        let mut group = Self::unfounded_by(size, size, rules);
        group.run(Millis(3_000));
        assert!(group.leader().is_some(), "no first leader");
        group
    }

    /// A group of this size all of whose instances have just started, the first of which found it.
    pub fn unfounded_by(founders: u64, size: u64, rules: GroupRules) -> Self {
        let mut group = Self {
            now: Millis(1),
            instances: BTreeMap::new(),
            isolated: Vec::new(),
            acknowledged: 0,
            led_at: Millis(0),
            broken: Vec::new(),
            jobs: Vec::new(),
            sessions: Vec::new(),
            size,
            founders: (1..=founders).collect(),
            rules,
            replies: BTreeMap::new(),
            last_token: 0,
            last_disk: 100,
            last_version: 0,
        };
        let first: Vec<ReplicaId> = (1..=founders).map(ReplicaId).collect();
        for id in &first {
            group.insert(id.0, first_disk(&first, *id));
        }
        for id in founders + 1..=size {
            group.last_disk += 1;
            group.insert(id, DiskId(group.last_disk));
        }
        for id in 1..=size {
            group.start(id);
        }
        group
    }

    fn insert(&mut self, id: u64, disk: DiskId) {
        let instance = Instance {
            replica: None,
            disk: TimedDisk::new(disk, self.rules.old_file),
            started_at: self.now,
            tick_at: self.now,
            spare_us: 0,
        };
        self.instances.insert(id, instance);
    }

    /// Starts a further instance with an empty disk.
    pub fn add(&mut self, id: u64) {
        self.last_disk += 1;
        self.insert(id, DiskId(self.last_disk));
        // Settings files are kept up to date with the instances that are there.
        self.founders = self.instances.keys().copied().collect();
        self.start(id);
    }

    /// Kills an instance that never comes back.
    pub fn remove(&mut self, id: u64) {
        self.kill(id);
        self.instances.remove(&id);
    }

    pub fn start(&mut self, id: u64) {
        let others = self.founders.iter().filter(|other| **other != id);
        let peers: Vec<ReplicaId> = others.copied().map(ReplicaId).collect();
        let now = self.now;
        let instance = self.instances.get_mut(&id).unwrap();
        let durable = instance.disk.durable();
        let seed = id + now.0;
        let mut raft = Raft::new(ReplicaId(id), peers.clone(), TIMING, durable, now, seed)
            .allow_joining(usize::try_from(self.size).unwrap());
        for guard in &self.rules.disabled {
            raft.disable(*guard);
        }
        instance.started_at = now;
        instance.tick_at = now;
        instance.spare_us = 0;
        match Replica::new(raft, TIMES) {
            Ok(replica) => {
                let replica = replica
                    .with_file_bound(FILE_BOUND)
                    .with_tolerated_losses(self.rules.tolerated_losses);
                instance.replica = Some(replica);
            }
            Err(error) => self.broken.push(format!("{id}: {error}")),
        }
        for peer in peers {
            self.session_at(id, peer.0);
        }
    }

    /// Kills a process; what its disk had not synced is lost.
    pub fn kill(&mut self, id: u64) {
        let instance = self.instances.get_mut(&id).unwrap();
        instance.replica = None;
        instance.disk.crash();
        self.drop_sessions(id);
    }

    /// Takes the power of a machine; so many percent of an unsynced write are on its disk.
    pub fn lose_power(&mut self, id: u64, percent: usize) {
        self.instances
            .get_mut(&id)
            .unwrap()
            .disk
            .lose_power(percent);
        self.kill(id);
    }

    /// Replaces the disk of an instance by an empty one.
    pub fn wipe(&mut self, id: u64) {
        self.kill(id);
        self.last_disk += 1;
        let instance = self.instances.get_mut(&id).unwrap();
        instance.disk = TimedDisk::new(DiskId(self.last_disk), self.rules.old_file);
    }

    /// Number of instances that write a snapshot now.
    pub fn snapshot_writers(&self) -> usize {
        let disks = self.instances.values().map(|i| &i.disk);
        disks.filter(|disk| disk.writes_snapshot()).count()
    }

    /// Lets other files take what is free on the disk of an instance.
    pub fn fill_disk(&mut self, id: u64) {
        let disk = &mut self.instances.get_mut(&id).unwrap().disk;
        disk.taken = DISK_SIZE - disk.file_len;
    }

    pub fn free_disk(&mut self, id: u64) {
        self.instances.get_mut(&id).unwrap().disk.taken = 0;
    }

    /// Closes all sessions of an instance; they open again a moment later.
    pub fn drop_sessions(&mut self, id: u64) {
        let now = self.now;
        let of_instance = |s: &&mut Session| s.end(id).is_some();
        for session in self.sessions.iter_mut().filter(of_instance) {
            session.close(now);
        }
    }

    /// How often the sessions from one instance to another closed for silence.
    pub fn silences(&self, initiator: u64, acceptor: u64) -> u32 {
        let found = |s: &&Session| s.is_between(initiator, acceptor);
        self.sessions.iter().find(found).map_or(0, |s| s.silences)
    }

    fn session_at(&mut self, initiator: u64, acceptor: u64) -> usize {
        let found = |s: &Session| s.is_between(initiator, acceptor);
        self.sessions.iter().position(found).unwrap_or_else(|| {
            let session = Session::new(initiator, acceptor, self.rules.sessions);
            self.sessions.push(session);
            self.sessions.len() - 1
        })
    }

    pub fn raft(&self, id: u64) -> Option<&Raft> {
        Some(self.instances.get(&id)?.replica.as_ref()?.raft())
    }

    pub fn running(&self) -> Vec<u64> {
        let up = |(id, i): (&u64, &Instance)| i.replica.is_some().then_some(*id);
        self.instances.iter().filter_map(up).collect()
    }

    /// The instance that may act as the leader now.
    pub fn leader(&self) -> Option<u64> {
        let leads = |id: &u64| self.raft(*id).is_some_and(|r| r.holds_lease(self.now));
        self.running().into_iter().find(leads)
    }

    /// True if the leader's log names this instance with its current disk as a voter.
    pub fn is_voter(&self, id: u64) -> bool {
        let disk = self.instances[&id].disk.id;
        let Some(raft) = self.leader().and_then(|leader| self.raft(leader)) else {
            return false;
        };
        let mut voters = raft.voters().iter();
        voters.any(|v| (v.id.0, v.disk) == (id, disk))
    }

    /// Runs the group for this long.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.run_step();
        }
    }

    /// Runs until the condition holds, for at most this long; returns true if it holds.
    pub fn run_until(&mut self, limit: Millis, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end && !done(self) {
            self.run_step();
        }
        done(self)
    }

    fn run_step(&mut self) {
        self.now = self.now + Millis(1);
        self.run_sessions();
        for id in self.running() {
            self.run_disk(id);
            self.run_processor(id);
        }
        if self.leader().is_some() {
            self.led_at = self.now;
        }
    }

    fn run_sessions(&mut self) {
        let up = self.running();
        let mut opened = Vec::new();
        for session in &mut self.sessions {
            let ends = [session.initiator, session.acceptor];
            let both_run = ends.iter().all(|end| up.contains(end));
            let is_cut = ends.iter().any(|end| self.isolated.contains(end));
            let was_open = session.is_open;
            session.run(self.now, both_run, is_cut);
            if session.is_open && !was_open {
                opened.push(ends);
            }
        }
        for [initiator, acceptor] in opened {
            self.connected(initiator, acceptor);
            self.connected(acceptor, initiator);
        }
    }

    /// Tells an instance that a session with a peer has opened.
    fn connected(&mut self, id: u64, peer: u64) {
        let input = RaftInput::Connected(ReplicaId(peer));
        self.input(id, ReplicaInput::Raft(input));
    }

    fn run_disk(&mut self, id: u64) {
        let now = self.now;
        // A write that has just ended may let the next one begin.
        for _ in 0..2 {
            let instance = self.instances.get_mut(&id).unwrap();
            if let Some(input) = instance.disk.run(now) {
                self.input(id, ReplicaInput::Raft(input));
            }
        }
    }

    fn run_processor(&mut self, id: u64) {
        let now = self.now;
        let instance = self.instances.get_mut(&id).unwrap();
        instance.spare_us = (instance.spare_us + STEP_US).min(STEP_US);
        if instance.spare_us <= 0 {
            return;
        }
        if now >= instance.tick_at {
            instance.tick_at = now + Millis(TICK_MS);
            self.input(id, ReplicaInput::Tick);
        }
        while self.read_sessions(id) {}
    }

    /// Reads a piece from each session of an instance; returns false when nothing is there, or the
    /// processor's time is used up.
    fn read_sessions(&mut self, id: u64) -> bool {
        let mut has_read = false;
        for at in 0..self.sessions.len() {
            if self.instances[&id].spare_us <= 0 {
                return false;
            }
            let session = &mut self.sessions[at];
            let piece = session.end(id).and_then(|end| session.read(self.now, end));
            if let Some(piece) = piece {
                has_read = true;
                self.take_piece(id, at, piece);
            }
        }
        has_read
    }

    fn take_piece(&mut self, id: u64, session: usize, piece: Piece) {
        let mut cost = time_us(piece.len, READ_RATE);
        if let Some((_, len)) = &piece.message {
            cost += time_us(*len, DECODE_RATE);
        }
        self.instances.get_mut(&id).unwrap().spare_us -= cost;
        match piece.message {
            Some((Parcel::Peer(message), _)) => {
                self.input(id, ReplicaInput::Raft(RaftInput::Receive(*message)));
            }
            Some((Parcel::Heartbeat, _)) => self.sessions[session].acknowledge(),
            Some((Parcel::HeartbeatAck, _)) | None => {}
        }
    }

    fn input(&mut self, id: u64, input: ReplicaInput) {
        let now = self.now;
        let instance = self.instances.get_mut(&id).unwrap();
        let Some(replica) = &mut instance.replica else {
            return;
        };
        let mut out = Vec::new();
        let stepped = replica.step(now, input, &mut out);
        if let Err(error) = stepped.and_then(|()| replica.flush(now, &mut out)) {
            self.broken.push(format!("{id}: {error}"));
            return self.kill(id);
        }
        for output in out {
            self.handle_output(id, output);
        }
    }

    fn handle_output(&mut self, id: u64, output: ReplicaOutput) {
        match output {
            ReplicaOutput::Raft(RaftOutput::Write(number, records)) => {
                let instance = self.instances.get_mut(&id).unwrap();
                instance.disk.write(number, records);
            }
            ReplicaOutput::Raft(RaftOutput::Send(message)) => {
                let at = self.session_at(id, message.to.0);
                self.sessions[at].send(self.now, message);
            }
            ReplicaOutput::Reply(token, reply) => {
                self.replies.insert(token, reply);
            }
            ReplicaOutput::Raft(_) | ReplicaOutput::Message(PEER_SESSION, _) => {}
            other @ ReplicaOutput::Message(..) => panic!("unexpected output: {other:?}"),
        }
    }

    fn call(&mut self, id: u64, call: Call) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        self.input(id, ReplicaInput::Call(token, call));
        token
    }

    /// Sends a call to the leader until it is done, for at most `limit`; returns true if it was.
    fn repeat(&mut self, call: &Call, limit: Millis) -> bool {
        let end = self.now + limit;
        while self.now < end {
            let sent = self.leader().map(|leader| self.call(leader, call.clone()));
            match sent {
                Some(token) if self.wait_for(token) => return true,
                _ => self.run(Millis(20)),
            }
        }
        false
    }

    fn wait_for(&mut self, token: u64) -> bool {
        let end = self.now + CALL_TIMEOUT;
        while self.now < end {
            if let Some(reply) = self.replies.remove(&token) {
                return reply == CallReply::Done;
            }
            self.run_step();
        }
        false
    }

    /// Sends a change, a configuration of this many bytes, until it is acknowledged.
    pub fn change(&mut self, bytes: usize, limit: Millis) -> bool {
        // A change that was not acknowledged may come into force yet.
        self.last_version += 1;
        let config = large_config(self.last_version, bytes);
        let is_done = self.repeat(&Call::PutConfig(Some(config)), limit);
        if is_done {
            self.acknowledged = self.last_version;
        }
        is_done
    }

    /// Sends a change and does not wait for its reply.
    pub fn send_change(&mut self, bytes: usize) {
        self.last_version += 1;
        let config = large_config(self.last_version, bytes);
        if let Some(leader) = self.leader() {
            self.call(leader, Call::PutConfig(Some(config)));
        }
    }

    /// Submits a job that no backend server can run, with a payload of this many bytes.
    pub fn submit(&mut self, id: JobId, bytes: usize, limit: Millis) -> bool {
        let spec = large_job(bytes);
        let is_done = self.repeat(&job_call(id, ClientAction::Submit(Some(spec))), limit);
        if is_done {
            self.jobs.push(id);
        }
        is_done
    }

    /// The jobs that were accepted and that the leader does not know.
    pub fn missing_jobs(&mut self) -> Vec<JobId> {
        let Some(leader) = self.leader() else {
            return self.jobs.clone();
        };
        let mut missing = self.jobs.clone();
        missing.retain(|id| {
            let token = self.call(leader, job_call(*id, ClientAction::Query));
            self.replies.remove(&token) != Some(CallReply::State(JobStatus::Queued))
        });
        missing
    }

    /// Version of the configuration in force at the leader.
    pub fn version_in_force(&mut self) -> Option<u64> {
        let leader = self.leader()?;
        let token = self.call(leader, Call::GetConfig);
        match self.replies.remove(&token)? {
            CallReply::Document(document) => document_version(&document),
            CallReply::NoConfig => Some(0),
            _ => None,
        }
    }

    /// One line for each instance, for the message of a failed test.
    pub fn describe(&self) -> String {
        let (now, acknowledged) = (self.now.0, self.acknowledged);
        let mut lines = vec![format!("at {now} ms, acknowledged {acknowledged}")];
        for (id, instance) in &self.instances {
            lines.push(format!("{id}: {}", self.describe_instance(*id, instance)));
        }
        for session in self.sessions.iter().filter(|s| s.silences > 0) {
            let (from, to, count) = (session.initiator, session.acceptor, session.silences);
            lines.push(format!(
                "{from} to {to}: {count} sessions closed for silence"
            ));
        }
        lines.join("\n")
    }

    fn describe_instance(&self, id: u64, instance: &Instance) -> String {
        let Some(raft) = self.raft(id) else {
            return "down".to_owned();
        };
        let voters: Vec<String> = raft.voters().iter().map(|v| v.id.0.to_string()).collect();
        format!(
            "up for {} ms, {:?} in term {}, log_end={} committed={} file={} voters={}",
            self.now.since(instance.started_at).0,
            raft.role(),
            raft.term().0,
            raft.last().index.0,
            raft.committed().0,
            instance.disk.file_len,
            voters.join(","),
        )
    }
}

fn time_us(bytes: usize, rate: usize) -> i64 {
    i64::try_from(bytes * 1_000 / rate).unwrap()
}

/// A configuration whose document has this length and begins with its version.
fn large_config(version: u64, bytes: usize) -> OperatorConfig {
    let mut document = version.to_le_bytes().to_vec();
    document.resize(bytes, 0);
    let queue = Queue {
        name: "q".to_owned(),
        host: HOST.to_owned(),
        prefix: "/jobs/".to_owned(),
        settings: QueueSettings {
            service: "desk".to_owned(),
            priority: 0,
            attempts: 3,
            slack: 1_600,
            target: Millis(60),
        },
    };
    OperatorConfig {
        version,
        queues: vec![queue],
        unguarded: Vec::new(),
        document,
    }
}

/// A job whose payload has this length.
fn large_job(bytes: usize) -> JobSpec {
    let step = Step {
        count: 1,
        need: Resources {
            cpu: 1_000,
            memory: 10,
            gpu: 0,
        },
        estimate: Millis(100),
        after: Vec::new(),
        label: None,
        rack: None,
        max_per_worker: 0,
    };
    // No two parts of the payload are equal.
    let numbers = (0..bytes / 8).map(|n| format!("{n:08}"));
    JobSpec {
        payload: numbers.collect(),
        steps: vec![step],
        transient: false,
        unsupported: None,
    }
}

fn job_call(id: JobId, action: ClientAction) -> Call {
    Call::Client {
        host: HOST.to_owned(),
        path: format!("/jobs/{id}"),
        action,
    }
}

fn document_version(document: &[u8]) -> Option<u64> {
    let first = document.first_chunk()?;
    Some(u64::from_le_bytes(*first))
}
