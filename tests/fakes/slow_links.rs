//! Replicas of a log whose links carry a limited number of bytes and lose their connections, in
//! virtual time.

#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use fulmardrift::{
    Body, DiskId, Durable, Message, Millis, Raft, RaftInput, RaftOutput, RaftTiming, Record,
    ReplicaId, first_disk,
};

pub const TIMING: RaftTiming = RaftTiming {
    election: Millis(600),
    heartbeat: Millis(100),
    margin: Millis(60),
};
/// Time that a message takes on a link without bulk, in milliseconds.
const LATENCY: Millis = Millis(2);
/// Duration of a disk sync, in milliseconds.
const SYNC: Millis = Millis(5);
/// Messages of fewer bytes overtake longer ones.
const URGENT_BYTES: usize = 32 << 10;

#[derive(Debug, Clone, Copy)]
pub struct LinkSpec {
    /// Bytes per millisecond.
    pub rate: usize,
    /// Interval at which each connection is lost, with all that is on it.
    pub lost_every: Option<Millis>,
}

/// One direction of a link: messages with their lengths, and when they arrive.
#[derive(Debug, Default)]
struct Link {
    urgent: VecDeque<(Millis, Message)>,
    bulk: VecDeque<(Millis, usize, Message)>,
    busy_until: Millis,
}

impl Link {
    fn in_flight(&self) -> usize {
        self.bulk.iter().map(|(_, bytes, _)| bytes).sum()
    }

    /// Removes the messages that have arrived.
    fn arrived(&mut self, now: Millis) -> Vec<Message> {
        let mut arrived = Vec::new();
        while self.urgent.front().is_some_and(|(due, _)| *due <= now) {
            arrived.extend(self.urgent.pop_front().map(|(_, m)| m));
        }
        while self.bulk.front().is_some_and(|(due, ..)| *due <= now) {
            arrived.extend(self.bulk.pop_front().map(|(.., m)| m));
        }
        arrived
    }
}

#[derive(Debug)]
pub struct Machine {
    pub raft: Raft,
    pub disk: DiskId,
    pub records: Vec<Record>,
    unsynced: VecDeque<(Millis, u64, Vec<Record>)>,
    /// False while writes do not succeed, as on a full disk.
    pub disk_works: bool,
    /// The data of the snapshots that were restored.
    pub restored: Vec<Bytes>,
}

#[derive(Debug)]
pub struct Cluster {
    pub now: Millis,
    pub machines: BTreeMap<u64, Machine>,
    links: BTreeMap<(u64, u64), Link>,
    spec: LinkSpec,
    /// Machines to which links carry another number of bytes per millisecond.
    pub rates: BTreeMap<u64, usize>,
    /// Proposes this entry at this interval.
    pub every: Option<(Millis, Bytes)>,
    /// Replaces the log by a snapshot with this data once it has this many bytes.
    pub compact_at: Option<(usize, Bytes)>,
    pub longest_message: usize,
    pub most_in_flight: usize,
    pub lost_connections: u32,
    sent: BTreeMap<u64, usize>,
    founders: Vec<u64>,
}

impl Cluster {
    fn new(spec: LinkSpec, founders: &[u64]) -> Self {
        let mut cluster = Self {
            now: Millis(1),
            machines: BTreeMap::new(),
            links: BTreeMap::new(),
            spec,
            rates: BTreeMap::new(),
            every: None,
            compact_at: None,
            longest_message: 0,
            most_in_flight: 0,
            lost_connections: 0,
            sent: BTreeMap::new(),
            founders: founders.to_vec(),
        };
        for id in founders {
            cluster.add(*id);
        }
        cluster.run_until(Millis(5_000), |c| {
            let leads = |m: &Machine| m.raft.holds_lease(c.now);
            c.machines.values().any(leads)
        });
        cluster.run(500);
        cluster
    }

    /// A leader that is the only voter.
    pub fn alone(spec: LinkSpec) -> Self {
        Self::new(spec, &[1])
    }

    pub fn of_three(spec: LinkSpec) -> Self {
        Self::new(spec, &[1, 2, 3])
    }

    /// Starts a machine with an empty disk.
    pub fn add(&mut self, id: u64) {
        let disk = if self.founders.contains(&id) {
            let founders: Vec<_> = self.founders.iter().copied().map(ReplicaId).collect();
            first_disk(&founders, ReplicaId(id))
        } else {
            DiskId(100 + id)
        };
        let raft = self.raft(id, disk, Vec::new());
        let machine = Machine {
            raft,
            disk,
            records: vec![Record::Disk(disk)],
            unsynced: VecDeque::new(),
            disk_works: true,
            restored: Vec::new(),
        };
        self.machines.insert(id, machine);
    }

    /// Kills a machine's process and starts it again with what it had synced.
    pub fn restart(&mut self, id: u64) {
        self.disconnect(id);
        let (disk, records) = {
            let machine = &self.machines[&id];
            (machine.disk, machine.records.clone())
        };
        let raft = self.raft(id, disk, records);
        let machine = self.machines.get_mut(&id).unwrap();
        machine.raft = raft;
        machine.unsynced.clear();
    }

    fn raft(&self, id: u64, disk: DiskId, records: Vec<Record>) -> Raft {
        let peers = self.founders.iter().filter(|peer| **peer != id);
        let peers = peers.map(|peer| ReplicaId(*peer)).collect();
        let durable = Durable { disk, records };
        Raft::new(ReplicaId(id), peers, TIMING, durable, self.now, id).allow_joining(3)
    }

    /// Drops all that is on the links of a machine.
    pub fn disconnect(&mut self, id: u64) {
        for (ends, link) in &mut self.links {
            if ends.0 == id || ends.1 == id {
                *link = Link::default();
            }
        }
        self.lost_connections += 1;
    }

    pub fn leader_id(&self) -> u64 {
        let leads = |m: &Machine| m.raft.is_leader();
        let leaders = self.machines.iter().filter(|(_, m)| leads(m));
        *leaders
            .max_by_key(|(_, m)| m.raft.term())
            .expect("no leader")
            .0
    }

    pub fn leader(&self) -> &Raft {
        &self.machines[&self.leader_id()].raft
    }

    pub fn raft_of(&self, id: u64) -> &Raft {
        &self.machines[&id].raft
    }

    /// True if the leader's log names this machine as a voter.
    pub fn votes(&self, id: u64) -> bool {
        let leaders = self.machines.values().filter(|m| m.raft.is_leader());
        leaders
            .max_by_key(|m| m.raft.term())
            .is_some_and(|m| m.raft.voters().iter().any(|v| v.id == ReplicaId(id)))
    }

    pub fn sent_to(&self, id: u64) -> usize {
        self.sent.get(&id).copied().unwrap_or(0)
    }

    pub fn propose(&mut self, command: Bytes) {
        let id = self.leader_id();
        let now = self.now;
        let mut out = Vec::new();
        let raft = &mut self.machines.get_mut(&id).unwrap().raft;
        raft.propose(now, vec![command], &mut out);
        self.handle(id, out);
    }

    /// Replaces the leader's log by a snapshot.
    pub fn compact(&mut self, id: u64, data: Bytes) {
        let mut out = Vec::new();
        let raft = &mut self.machines.get_mut(&id).unwrap().raft;
        let index = raft.committed();
        raft.compact(index, data, &mut out);
        self.handle(id, out);
    }

    pub fn input(&mut self, id: u64, input: RaftInput) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        let mut out = Vec::new();
        machine.raft.step(now, input, &mut out);
        self.handle(id, out);
    }

    fn handle(&mut self, id: u64, out: Vec<RaftOutput>) {
        for output in out {
            let machine = self.machines.get_mut(&id).unwrap();
            match output {
                RaftOutput::Write(number, records) => {
                    let due = self.now + SYNC;
                    machine.unsynced.push_back((due, number, records));
                }
                RaftOutput::Send(message) => self.send(message),
                RaftOutput::Restore(snapshot) => machine.restored.push(snapshot.data),
                RaftOutput::Commit(_) => {}
            }
        }
    }

    fn send(&mut self, message: Message) {
        let bytes = postcard::to_stdvec(&message).unwrap().len();
        let (from, to) = (message.from.0, message.to.0);
        self.longest_message = self.longest_message.max(bytes);
        if !matches!(message.body, Body::Appended { .. }) {
            *self.sent.entry(to).or_default() += bytes;
        }
        let link = self.links.entry((from, to)).or_default();
        if bytes < URGENT_BYTES {
            link.urgent.push_back((self.now + LATENCY, message));
            return;
        }
        let start = link.busy_until.max(self.now);
        let rate = self.rates.get(&to).copied().unwrap_or(self.spec.rate);
        link.busy_until = start + Millis((bytes / rate) as u64);
        let due = link.busy_until + LATENCY;
        link.bulk.push_back((due, bytes, message));
        self.most_in_flight = self.most_in_flight.max(link.in_flight());
    }

    fn sync(&mut self, id: u64) {
        let now = self.now;
        let machine = self.machines.get_mut(&id).unwrap();
        let mut last = None;
        while machine.disk_works
            && machine
                .unsynced
                .front()
                .is_some_and(|(due, ..)| *due <= now)
        {
            let Some((_, number, records)) = machine.unsynced.pop_front() else {
                break;
            };
            last = Some(number);
            for record in records {
                if matches!(record, Record::Snapshot(_)) {
                    machine.records.clear();
                }
                machine.records.push(record);
            }
        }
        if let Some(number) = last {
            self.input(id, RaftInput::Synced(number));
        }
    }

    fn lose_connections(&mut self) {
        let Some(interval) = self.spec.lost_every else {
            return;
        };
        if self.now.0.is_multiple_of(interval.0) {
            let newcomers = self.machines.keys().copied().filter(|id| *id > 1);
            for id in newcomers.collect::<Vec<_>>() {
                self.disconnect(id);
            }
        }
    }

    fn make_changes(&mut self) {
        if let Some((interval, entry)) = self.every.clone()
            && self.now.0.is_multiple_of(interval.0)
            && self.machines.values().any(|m| m.raft.is_leader())
        {
            self.propose(entry);
        }
        if let Some((bytes, data)) = self.compact_at.clone() {
            let is_due = |m: &&Machine| m.raft.backlog_bytes() >= bytes;
            let due = self.machines.iter().filter(|(_, m)| is_due(m));
            let due: Vec<u64> = due.map(|(id, _)| *id).collect();
            for id in due {
                self.compact(id, data.clone());
            }
        }
    }

    /// Runs for this many milliseconds.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now + Millis(1);
            self.lose_connections();
            self.make_changes();
            let ids: Vec<u64> = self.machines.keys().copied().collect();
            for id in ids {
                self.sync(id);
                if self.now.0.is_multiple_of(10) {
                    self.input(id, RaftInput::Tick);
                }
            }
            let mut arrived = Vec::new();
            for link in self.links.values_mut() {
                arrived.extend(link.arrived(self.now));
            }
            for message in arrived {
                self.input(message.to.0, RaftInput::Receive(message));
            }
        }
    }

    pub fn run_until(&mut self, limit: Millis, done: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !done(self) {
            assert!(self.now < end, "not reached after {} ms", limit.0);
            self.run(1);
        }
    }
}
