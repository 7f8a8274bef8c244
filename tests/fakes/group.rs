//! A control group with a fake network, fake disks and a virtual clock.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};

use fulmardrift::{
    Accepted, Body, ChangeRequest, Command, CommandReply, Control, ControlAnswer, ControlInput,
    ControlOutput, DiskId, Durable, FollowerReport, FollowerWatch, Incarnation, Message, Millis,
    Raft, RaftGuard, RaftInput, RaftOutput, RaftTiming, Record, Rejected, ReplicaId, RequestId,
    Revision, SettingChange, StateMachine, TimestampedCommand, first_disk,
};

pub const TICK: Millis = Millis(20);

pub fn timing() -> RaftTiming {
    RaftTiming {
        election: Millis(600),
        heartbeat: Millis(100),
        margin: Millis(60),
    }
}

/// An instance and its disk; `control` is `None` while the instance is down.
#[derive(Debug, Clone)]
pub struct Instance {
    pub control: Option<Control>,
    pub disk: DiskId,
    /// Records that are durable.
    pub records: Vec<Record>,
    /// Writes that are not yet synced.
    pub unsynced: Vec<(u64, Vec<Record>)>,
    /// False while syncs do not complete.
    pub syncs_complete: bool,
    /// True while the instance is suspended: its clock runs on, but it processes nothing.
    pub suspended: bool,
}

#[derive(Debug, Clone)]
pub struct Group {
    pub now: Millis,
    pub instances: BTreeMap<u64, Instance>,
    pub net: VecDeque<Message>,
    /// Instances that are partitioned from all others.
    pub isolated: Vec<u64>,
    /// Pairs of instances from the first of which nothing reaches the second.
    pub cut: Vec<(u64, u64)>,
    pub answers: BTreeMap<RequestId, ControlAnswer>,
    /// Safety rules that are turned off.
    pub disabled_guards: Vec<RaftGuard>,
    /// Where other instances may join: those that found the group.
    pub founders: Option<Vec<u64>>,
    /// Number of voters that such a group should have; that of its founders when it is created.
    pub target_size: usize,
    /// Whether an empty disk gets the identity of the first one again.
    pub reuses_identity: bool,
    /// Instances whose messages are held back, and those messages.
    pub delayed: Vec<u64>,
    pub late: Vec<Message>,
    /// Instances to which no entry and no snapshot gets through, only other messages.
    pub no_bulk_to: Vec<u64>,
    /// The instances' watches, and what each reported when; empty unless followers are watched.
    pub watches: BTreeMap<u64, FollowerWatch>,
    pub reports: Vec<(Millis, u64, FollowerReport)>,
    last_request_id: u64,
    last_disk: u64,
}

impl Group {
    pub fn new(size: u64) -> Self {
        Self::with_disabled_guards(size, &[])
    }

    /// A group in which some safety rules are turned off.
    pub fn with_disabled_guards(size: u64, disabled_guards: &[RaftGuard]) -> Self {
        Self::build(size, disabled_guards, None)
    }

    /// A group that other instances may join, with its first leader.
    pub fn joinable(size: u64, disabled_guards: &[RaftGuard]) -> Self {
        let mut group = Self::build(size, disabled_guards, Some((1..=size).collect()));
        group.run_until("a leader", |g| g.leader().is_some());
        group
    }

    /// A group that other instances may join, all of whose instances have just started.
    pub fn unfounded(size: u64) -> Self {
        Self::build(size, &[], Some((1..=size).collect()))
    }

    /// A group of this size all of whose instances have just started, the first of which found it.
    pub fn unfounded_by(founders: u64, size: u64, disabled_guards: &[RaftGuard]) -> Self {
        let mut group = Self::build(founders, disabled_guards, Some((1..=founders).collect()));
        group.target_size = usize::try_from(size).unwrap();
        for id in 1..=founders {
            group.start(id);
        }
        for id in founders + 1..=size {
            group.add(id);
        }
        group
    }

    fn build(size: u64, disabled_guards: &[RaftGuard], founders: Option<Vec<u64>>) -> Self {
        let mut group = Self {
            now: Millis(1),
            instances: BTreeMap::new(),
            net: VecDeque::new(),
            isolated: Vec::new(),
            cut: Vec::new(),
            answers: BTreeMap::new(),
            disabled_guards: disabled_guards.to_vec(),
            target_size: founders.as_ref().map_or(0, Vec::len),
            founders,
            reuses_identity: false,
            delayed: Vec::new(),
            late: Vec::new(),
            no_bulk_to: Vec::new(),
            watches: BTreeMap::new(),
            reports: Vec::new(),
            last_request_id: 0,
            last_disk: 100,
        };
        for id in 1..=size {
            let disk = group.first_disk(id);
            group.insert_empty(id, disk);
        }
        for id in 1..=size {
            group.start(id);
        }
        group
    }

    /// A group that has elected its first leader.
    pub fn with_leader(size: u64) -> Self {
        let mut group = Self::new(size);
        group.run_until("a leader", |g| g.leader().is_some());
        group
    }

    fn new_disk(&mut self) -> DiskId {
        self.last_disk += 1;
        DiskId(self.last_disk)
    }

    /// The identity of the first disk of an instance.
    fn first_disk(&mut self, id: u64) -> DiskId {
        let Some(founders) = self.founders.as_ref().filter(|ids| ids.contains(&id)) else {
            return self.new_disk();
        };
        let founders: Vec<_> = founders.iter().copied().map(ReplicaId).collect();
        first_disk(&founders, ReplicaId(id))
    }

    fn insert_empty(&mut self, id: u64, disk: DiskId) {
        let instance = Instance {
            control: None,
            disk,
            records: Vec::new(),
            unsynced: Vec::new(),
            syncs_complete: true,
            suspended: false,
        };
        self.instances.insert(id, instance);
    }

    /// Starts a further instance with an empty disk, where instances may join.
    pub fn add(&mut self, id: u64) {
        let disk = self.new_disk();
        self.insert_empty(id, disk);
        self.start(id);
    }

    /// Kills an instance that never comes back.
    pub fn remove(&mut self, id: u64) {
        self.instances.remove(&id);
    }

    pub fn start(&mut self, id: u64) {
        let known: Vec<u64> = match &self.founders {
            Some(founders) => founders.clone(),
            None => self.instances.keys().copied().collect(),
        };
        let peers = known
            .into_iter()
            .filter(|p| *p != id)
            .map(ReplicaId)
            .collect();
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        let durable = Durable {
            disk: instance.disk,
            records: instance.records.clone(),
        };
        instance.unsynced.clear();
        instance.syncs_complete = true;
        let mut raft = Raft::new(ReplicaId(id), peers, timing(), durable, now, id);
        if self.founders.is_some() {
            raft = raft.allow_joining(self.target_size);
        }
        let mut control = Control::new(raft).unwrap();
        for guard in &self.disabled_guards {
            control.disable(*guard);
        }
        instance.control = Some(control);
        if let Some(watch) = self.watches.get_mut(&id) {
            *watch = FollowerWatch::default();
        }
    }

    /// Lets all instances watch their followers from now on.
    pub fn watch_followers(&mut self) {
        for id in self.instances.keys() {
            self.watches.entry(*id).or_default();
        }
    }

    pub fn kill(&mut self, id: u64) {
        let instance = self.instances.get_mut(&id).unwrap();
        instance.control = None;
        // A crash loses the writes that were not synced.
        instance.unsynced.clear();
    }

    /// Kills the instance when so many of its unsynced writes are on its disk.
    pub fn kill_in_sync(&mut self, id: u64, written: usize) {
        let instance = self.instances.get_mut(&id).unwrap();
        let unsynced = std::mem::take(&mut instance.unsynced);
        for (_, records) in unsynced.into_iter().take(written) {
            store(&mut instance.records, records);
        }
        self.kill(id);
    }

    /// Restarts the instance with an empty disk.
    pub fn lose_disk(&mut self, id: u64) {
        self.wipe(id);
        self.start(id);
    }

    /// Kills the instance and replaces its disk by an empty one.
    pub fn wipe(&mut self, id: u64) {
        self.kill(id);
        let disk = if self.reuses_identity {
            self.first_disk(id)
        } else {
            self.new_disk()
        };
        let instance = self.instances.get_mut(&id).unwrap();
        instance.records.clear();
        instance.disk = disk;
    }

    pub fn control(&self, id: u64) -> &Control {
        self.instances[&id].control.as_ref().unwrap()
    }

    pub fn state_machine(&self, id: u64) -> &StateMachine {
        self.control(id).state_machine()
    }

    fn running(&self) -> Vec<u64> {
        let on = self
            .instances
            .iter()
            .filter(|(_, i)| i.control.is_some() && !i.suspended);
        on.map(|(id, _)| *id).collect()
    }

    /// The instance that may grant leases now, if there is one.
    pub fn leader(&self) -> Option<u64> {
        let now = self.now;
        let leads = |id: &u64| self.control(*id).raft().holds_lease(now);
        self.running().into_iter().find(leads)
    }

    pub fn input(&mut self, id: u64, input: ControlInput) {
        let now = self.now;
        let instance = self.instances.get_mut(&id).unwrap();
        let Some(control) = &mut instance.control else {
            return;
        };
        if let Some(watch) = self.watches.get_mut(&id) {
            match &input {
                ControlInput::Raft(RaftInput::Receive(message)) => watch.heard(now, message),
                ControlInput::Tick(_) => {
                    let reports = watch.tick(now, control.raft());
                    self.reports
                        .extend(reports.into_iter().map(|report| (now, id, report)));
                }
                _ => {}
            }
        }
        let mut out = Vec::new();
        control.step(now, input, &mut out).unwrap();
        for output in out {
            match output {
                ControlOutput::Raft(RaftOutput::Write(number, records)) => {
                    self.instances
                        .get_mut(&id)
                        .unwrap()
                        .unsynced
                        .push((number, records));
                }
                ControlOutput::Raft(RaftOutput::Send(message)) => self.net.push_back(message),
                ControlOutput::Raft(other) => panic!("unexpected output: {other:?}"),
                ControlOutput::Answer(request_id, answer) => {
                    self.answers.insert(request_id, answer);
                }
            }
        }
    }

    /// Syncs the pending writes of an instance and reports them to it as durable.
    pub fn sync(&mut self, id: u64) {
        let instance = self.instances.get_mut(&id).unwrap();
        if !instance.syncs_complete || instance.unsynced.is_empty() || instance.suspended {
            return;
        }
        let mut last = 0;
        for (number, records) in std::mem::take(&mut instance.unsynced) {
            last = number;
            store(&mut instance.records, records);
        }
        self.input(id, ControlInput::Raft(RaftInput::Synced(last)));
    }

    fn is_deliverable(&self, message: &Message) -> bool {
        let ends = [message.from.0, message.to.0];
        if self.cut.contains(&(message.from.0, message.to.0)) {
            return false;
        }
        let up = self.instances.get(&message.to.0);
        let up = up.is_some_and(|i| i.control.is_some() && !i.suspended);
        let is_bulk = match &message.body {
            Body::Append { entries, .. } => !entries.is_empty(),
            Body::Install { .. } => true,
            _ => false,
        };
        let is_blocked = is_bulk && self.no_bulk_to.contains(&message.to.0);
        up && !is_blocked && !ends.iter().any(|end| self.isolated.contains(end))
    }

    /// Runs one tick on every running instance, then delivers and syncs repeatedly, and advances
    /// the clock.
    pub fn run_round(&mut self) {
        for id in self.running() {
            self.input(id, ControlInput::Tick(self.now));
        }
        for _ in 0..6 {
            for id in self.running() {
                self.sync(id);
            }
            for message in std::mem::take(&mut self.net) {
                if self.delayed.contains(&message.from.0) {
                    self.late.push(message);
                } else if self.is_deliverable(&message) {
                    let to = message.to.0;
                    self.input(to, ControlInput::Raft(RaftInput::Receive(message)));
                }
            }
        }
        self.now = self.now + TICK;
    }

    pub fn run_rounds(&mut self, count: u32) {
        for _ in 0..count {
            self.run_round();
        }
    }

    pub fn run_until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        for _ in 0..2_000 {
            if done(self) {
                return;
            }
            self.run_round();
        }
        panic!("not reached: {what}");
    }

    pub fn call(&mut self, id: u64, make: impl FnOnce(RequestId) -> ControlInput) -> RequestId {
        self.last_request_id += 1;
        let request_id = RequestId(self.last_request_id);
        self.input(id, make(request_id));
        request_id
    }

    pub fn propose(&mut self, id: u64, command: Command) -> RequestId {
        let timestamped = TimestampedCommand {
            at: self.now,
            command,
        };
        self.call(id, |request_id| {
            ControlInput::Propose(request_id, timestamped)
        })
    }

    /// Proposes a command to the current leader, again if necessary, until the group has replied.
    pub fn apply(&mut self, command: &Command) -> CommandReply {
        for _ in 0..500 {
            if let Some(leader) = self.leader() {
                let request_id = self.propose(leader, command.clone());
                for _ in 0..50 {
                    self.run_round();
                    if self.answers.contains_key(&request_id) {
                        break;
                    }
                }
                if let Some(ControlAnswer::Reply(reply)) = self.answers.remove(&request_id) {
                    return reply;
                }
            }
            self.run_round();
        }
        panic!("no answer to {command:?}");
    }

    pub fn change(&mut self, request: &ChangeRequest) -> Result<Accepted, Rejected> {
        match self.apply(&Command::Change(request.clone())) {
            CommandReply::Change(result) => result,
            other => panic!("{other:?}"),
        }
    }

    pub fn renew(&mut self, id: u64, incarnation: Incarnation) -> Option<ControlAnswer> {
        let revision = Revision(0);
        let request_id = self.call(id, |request_id| ControlInput::Renew {
            request_id,
            incarnation,
            revision,
        });
        self.answers.remove(&request_id)
    }
}

/// Adds a write to the records on a disk.
fn store(disk: &mut Vec<Record>, records: Vec<Record>) {
    let is_snapshot = |r: &Record| matches!(r, Record::Snapshot(_));
    if let Some(at) = records.iter().rposition(is_snapshot) {
        *disk = records[at..].to_vec();
    } else {
        disk.extend(records);
    }
}

/// A request to change one key.
pub fn change_request(request: &str, path: &str, key: &str, value: &str) -> ChangeRequest {
    ChangeRequest {
        operator: "ana".to_owned(),
        request: request.to_owned(),
        expected: None,
        changes: vec![SettingChange {
            path: path.to_owned(),
            key: key.to_owned(),
            value: Some(value.to_owned()),
        }],
    }
}
