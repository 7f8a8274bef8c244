//! A control group over a fake network and fake disks, in virtual time.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};

use fulmardrift::{
    Accepted, ChangeRequest, Command, CommandReply, Control, ControlAnswer, ControlInput,
    ControlOutput, DiskId, Durable, Incarnation, Message, Millis, Raft, RaftGuard, RaftInput,
    RaftOutput, RaftTiming, Record, Rejected, ReplicaId, RequestId, Revision, SettingChange,
    StateMachine, TimestampedCommand,
};

pub const TICK: Millis = Millis(20);

pub fn timing() -> RaftTiming {
    RaftTiming {
        election: Millis(600),
        heartbeat: Millis(100),
        margin: Millis(60),
    }
}

/// One instance: running or not, with its disk.
#[derive(Debug, Clone)]
pub struct Instance {
    pub control: Option<Control>,
    pub disk: DiskId,
    /// What is durable.
    pub records: Vec<Record>,
    /// Written and not yet synced.
    pub unsynced: Vec<(u64, Vec<Record>)>,
    /// False while syncs do not return.
    pub syncs: bool,
    /// Its clock runs on, but it does nothing.
    pub frozen: bool,
}

#[derive(Debug, Clone)]
pub struct Group {
    pub now: Millis,
    pub instances: BTreeMap<u64, Instance>,
    pub net: VecDeque<Message>,
    /// Instances that reach nobody and are reached by nobody.
    pub cut: Vec<u64>,
    pub answers: BTreeMap<RequestId, ControlAnswer>,
    /// Rules that are turned off.
    pub off: Vec<RaftGuard>,
    tokens: u64,
    disks: u64,
}

impl Group {
    pub fn new(size: u64) -> Self {
        Self::without(size, &[])
    }

    /// A group in which some rules are turned off.
    pub fn without(size: u64, off: &[RaftGuard]) -> Self {
        let mut group = Self {
            now: Millis(1),
            instances: BTreeMap::new(),
            net: VecDeque::new(),
            cut: Vec::new(),
            answers: BTreeMap::new(),
            off: off.to_vec(),
            tokens: 0,
            disks: 100,
        };
        for id in 1..=size {
            group.disks += 1;
            let instance = Instance {
                control: None,
                disk: DiskId(group.disks),
                records: Vec::new(),
                unsynced: Vec::new(),
                syncs: true,
                frozen: false,
            };
            group.instances.insert(id, instance);
        }
        for id in 1..=size {
            group.start(id);
        }
        group
    }

    /// A group that has elected its first leader.
    pub fn ready(size: u64) -> Self {
        let mut group = Self::new(size);
        group.until("a leader", |g| g.leader().is_some());
        group
    }

    pub fn start(&mut self, id: u64) {
        let peers = self
            .instances
            .keys()
            .filter(|p| **p != id)
            .map(|p| ReplicaId(*p))
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
        instance.syncs = true;
        let raft = Raft::new(ReplicaId(id), peers, timing(), durable, now, id);
        let mut control = Control::new(raft).unwrap();
        for guard in &self.off {
            control.disable(*guard);
        }
        instance.control = Some(control);
    }

    pub fn kill(&mut self, id: u64) {
        let instance = self.instances.get_mut(&id).unwrap();
        instance.control = None;
        // What was not synced is gone.
        instance.unsynced.clear();
    }

    /// The instance comes back with an empty disk.
    pub fn lose_disk(&mut self, id: u64) {
        self.kill(id);
        self.disks += 1;
        let instance = self.instances.get_mut(&id).unwrap();
        instance.records.clear();
        instance.disk = DiskId(self.disks);
        self.start(id);
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
            .filter(|(_, i)| i.control.is_some() && !i.frozen);
        on.map(|(id, _)| *id).collect()
    }

    /// The instance that may give leases now, if there is one.
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
                ControlOutput::Raft(other) => panic!("not for outside: {other:?}"),
                ControlOutput::Answer(token, answer) => {
                    self.answers.insert(token, answer);
                }
            }
        }
    }

    /// Makes what is written durable and reports it.
    pub fn sync(&mut self, id: u64) {
        let instance = self.instances.get_mut(&id).unwrap();
        if !instance.syncs || instance.unsynced.is_empty() || instance.frozen {
            return;
        }
        let mut last = 0;
        for (number, records) in std::mem::take(&mut instance.unsynced) {
            last = number;
            if let Some(at) = records
                .iter()
                .rposition(|r| matches!(r, Record::Snapshot(_)))
            {
                instance.records = records[at..].to_vec();
            } else {
                instance.records.extend(records);
            }
        }
        self.input(id, ControlInput::Raft(RaftInput::Synced(last)));
    }

    fn reaches(&self, message: &Message) -> bool {
        let ends = [message.from.0, message.to.0];
        let up = self.instances.get(&message.to.0);
        let up = up.is_some_and(|i| i.control.is_some() && !i.frozen);
        up && !ends.iter().any(|end| self.cut.contains(end))
    }

    /// Delivers everything, syncs everything, and lets a tick pass.
    pub fn round(&mut self) {
        for id in self.running() {
            self.input(id, ControlInput::Tick(self.now));
        }
        for _ in 0..6 {
            for id in self.running() {
                self.sync(id);
            }
            for message in std::mem::take(&mut self.net) {
                if self.reaches(&message) {
                    let to = message.to.0;
                    self.input(to, ControlInput::Raft(RaftInput::Receive(message)));
                }
            }
        }
        self.now = self.now + TICK;
    }

    pub fn rounds(&mut self, count: u32) {
        for _ in 0..count {
            self.round();
        }
    }

    pub fn until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        for _ in 0..2_000 {
            if done(self) {
                return;
            }
            self.round();
        }
        panic!("never: {what}");
    }

    pub fn call(&mut self, id: u64, make: impl FnOnce(RequestId) -> ControlInput) -> RequestId {
        self.tokens += 1;
        let token = RequestId(self.tokens);
        self.input(id, make(token));
        token
    }

    pub fn propose(&mut self, id: u64, command: Command) -> RequestId {
        let stamped = TimestampedCommand {
            at: self.now,
            command,
        };
        self.call(id, |token| ControlInput::Propose(token, stamped))
    }

    /// Proposes to whoever leads until the group has answered.
    pub fn apply(&mut self, command: &Command) -> CommandReply {
        for _ in 0..500 {
            if let Some(leader) = self.leader() {
                let token = self.propose(leader, command.clone());
                for _ in 0..50 {
                    self.round();
                    if self.answers.contains_key(&token) {
                        break;
                    }
                }
                if let Some(ControlAnswer::Reply(reply)) = self.answers.remove(&token) {
                    return reply;
                }
            }
            self.round();
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
        let token = self.call(id, |request_id| ControlInput::Renew {
            request_id,
            incarnation,
            revision,
        });
        self.answers.remove(&token)
    }
}

/// A change of one key.
pub fn set(request: &str, path: &str, key: &str, value: &str) -> ChangeRequest {
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
