//! Founding a group of control instances on local ports, some of which are restarted meanwhile.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::Path;
use std::time::Duration;

use fulmardrift::{
    ControlNode, ControlNodeConfig, DiskId, FounderMark, LogDirectory, Millis, ReplicaId,
    ReplicaTimes, Wal, first_disk,
};
use tempfile::TempDir;
use tokio::runtime::{Builder, Runtime};

/// Number of looks for a leader; a test that runs out of them has failed.
const MAX_LOOKS: u32 = 1_000;
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

fn free_addresses(count: usize) -> Vec<SocketAddrV4> {
    let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let listeners: Vec<TcpListener> = (0..count).map(|_| bind()).collect();
    let address = |listener: &TcpListener| match listener.local_addr().unwrap() {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => panic!("not an IPv4 address"),
    };
    let mut addresses: Vec<_> = listeners.iter().map(address).collect();
    addresses.sort_unstable();
    addresses
}

/// Starts an instance on a runtime of its own; dropping the runtime ends it like a crash.
fn start(seeds: &[SocketAddrV4], at: usize, data: &Path, founder: bool) -> (Runtime, ControlNode) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let cfg = ControlNodeConfig {
        address: seeds[at],
        bind_ip: None,
        seeds: seeds.to_vec(),
        founder,
        tolerated_losses: 1,
        data: data.to_owned(),
        disk: None,
        times: ReplicaTimes {
            keep: Millis(1_000),
        },
    };
    let node = runtime.block_on(ControlNode::start(cfg)).unwrap();
    (runtime, node)
}

fn has_leader(node: &ControlNode) -> bool {
    (0..MAX_LOOKS).any(|_| {
        std::thread::sleep(LOOK_INTERVAL);
        node.leader().is_some()
    })
}

/// Guards against a system that never starts because the instance that founds the group was
/// restarted before all others were up. The third one is away, so that no group is founded without
/// the one that was restarted.
#[test]
fn a_founder_that_is_restarted_before_the_group_exists_still_founds_it() {
    let data: Vec<TempDir> = (0..3).map(|_| TempDir::new().unwrap()).collect();
    let seeds = free_addresses(3);
    drop(start(&seeds, 0, data[0].path(), true));
    let (_first, node) = start(&seeds, 0, data[0].path(), false);
    let _second = start(&seeds, 1, data[1].path(), true);
    assert!(has_leader(&node), "no group was founded");
}

/// Guards against a system that never starts because one of the instances that may found the group
/// does not, though its loss is tolerated.
#[test]
fn a_group_is_founded_without_any_one_of_its_founders() {
    for away in 0..3 {
        let data: Vec<TempDir> = (0..3).map(|_| TempDir::new().unwrap()).collect();
        let seeds = free_addresses(3);
        let up = (0..3).filter(|at| *at != away);
        let nodes: Vec<_> = up
            .map(|at| start(&seeds, at, data[at].path(), true))
            .collect();
        assert!(has_leader(&nodes[0].1), "no group without {away}");
    }
}

/// Guards against an instance that founds a group of its own, or damages the log of another one,
/// because its seeds name other instances.
#[test]
fn an_instance_with_other_seeds_joins_the_group_that_was_founded_without_it() {
    let data: Vec<TempDir> = (0..4).map(|_| TempDir::new().unwrap()).collect();
    let seeds = free_addresses(4);
    let first = [seeds[0], seeds[1], seeds[2]];
    let other = [seeds[0], seeds[1], seeds[3]];
    let (_last, last) = start(&other, 2, data[3].path(), true);
    let (_first, node) = start(&first, 0, data[0].path(), true);
    let _second = start(&first, 1, data[1].path(), true);
    assert!(has_leader(&node), "no group was founded");
    assert!(has_leader(&last), "the other instance found no group");
    assert!([Some(seeds[0]), Some(seeds[1])].contains(&last.leader()));
}

/// The identity of the first disk of founder 1 of these.
fn first_disk_of(founders: [u64; 3]) -> DiskId {
    first_disk(&founders.map(ReplicaId), ReplicaId(1))
}

/// Guards against a second group beside the first.
#[test]
fn only_the_disk_and_the_seeds_of_the_first_start_found_a_group() {
    let data = TempDir::new().unwrap();
    let data = data.path();
    let mark = FounderMark {
        disk: first_disk_of([1, 2, 3]),
    };
    assert!(!mark.is_unused(data, false).unwrap());
    assert!(mark.is_unused(data, true).unwrap());
    assert!(mark.is_unused(data, false).unwrap());
    let other_disk = FounderMark { disk: DiskId(8) };
    assert!(!other_disk.is_unused(data, false).unwrap());
    let other_seeds = FounderMark {
        disk: first_disk_of([1, 2, 4]),
    };
    assert!(!other_seeds.is_unused(data, false).unwrap());
    assert!(!other_seeds.is_unused(data, true).unwrap());
    std::fs::write(data.join("founder"), b"{").unwrap();
    assert!(!mark.is_unused(data, false).unwrap());
    assert!(!mark.is_unused(data, true).unwrap());
}

/// Guards against an identity that is used again after its log is gone.
#[test]
fn a_mark_that_was_taken_back_stays_so() {
    let data = TempDir::new().unwrap();
    let data = data.path();
    let mark = FounderMark {
        disk: first_disk_of([1, 2, 3]),
    };
    assert!(mark.is_unused(data, true).unwrap());
    for _ in 0..2 {
        FounderMark::take_back(data).unwrap();
        assert!(!mark.is_unused(data, false).unwrap());
        assert!(!mark.is_unused(data, true).unwrap());
    }
}

/// The data directory of founder 1 of three, whose processes are killed at given points.
struct Founder {
    data: TempDir,
    seeds: Vec<SocketAddrV4>,
}

impl Founder {
    fn new() -> Self {
        Self {
            data: TempDir::new().unwrap(),
            seeds: free_addresses(3),
        }
    }

    fn first_disk(&self) -> DiskId {
        let id = |address: &SocketAddrV4| {
            let ip = u64::from(u32::from(*address.ip()));
            ReplicaId((ip << u16::BITS) | u64::from(address.port()))
        };
        let founders: Vec<_> = self.seeds.iter().map(id).collect();
        first_disk(&founders, founders[0])
    }

    fn mark(&self) -> FounderMark {
        FounderMark {
            disk: self.first_disk(),
        }
    }

    /// Writes the mark as a process that is killed before it creates the log.
    fn leave_mark(&self) {
        assert!(self.mark().is_unused(self.data.path(), true).unwrap());
    }

    /// Creates the log as a process that is killed before it takes the mark back.
    fn leave_log(&self) {
        let directory = LogDirectory::open(self.data.path()).unwrap();
        Wal::open(directory, self.first_disk()).unwrap();
    }

    /// Runs a process, and returns true if its log has the identity of the first disk.
    fn starts_as_founder(&self, first_start: bool) -> bool {
        drop(start(&self.seeds, 0, self.data.path(), first_start));
        assert!(!self.has("founder"), "the mark was not taken back");
        let directory = LogDirectory::open(self.data.path()).unwrap();
        let (_, durable) = Wal::open(directory, DiskId(1)).unwrap();
        durable.disk == self.first_disk()
    }

    fn has(&self, name: &str) -> bool {
        self.data.path().join(name).exists()
    }

    fn damage_log(&self) {
        let log = self.data.path().join("log");
        let mut bytes = std::fs::read(&log).unwrap();
        // A whole write follows the damaged one.
        bytes.extend_from_within(..);
        bytes[12] ^= 1;
        std::fs::write(&log, &bytes).unwrap();
    }

    fn remove(&self, name: &str) {
        std::fs::remove_file(self.data.path().join(name)).unwrap();
    }
}

/// Guards against a founder that is lost because its process was killed in its first moments.
#[test]
fn a_founder_that_is_killed_at_any_point_of_its_first_start_remains_one() {
    let founder = Founder::new();
    assert!(founder.starts_as_founder(true));
    assert!(founder.starts_as_founder(false));
    let founder = Founder::new();
    founder.leave_mark();
    assert!(founder.starts_as_founder(false));
    let founder = Founder::new();
    founder.leave_mark();
    founder.leave_log();
    assert!(founder.starts_as_founder(false));
    assert!(founder.starts_as_founder(false));
}

/// Guards against a vote with forgotten state: a log with the identity of a first disk is gone, and
/// another one gets the same identity.
#[test]
fn a_disk_whose_log_is_lost_is_no_longer_the_first() {
    for first_start in [false, true] {
        let founder = Founder::new();
        assert!(founder.starts_as_founder(true));
        founder.remove("log");
        assert!(!founder.starts_as_founder(first_start));

        let founder = Founder::new();
        assert!(founder.starts_as_founder(true));
        founder.damage_log();
        assert!(!founder.starts_as_founder(first_start));
        assert!(founder.has("log.damaged"));
        // Killed before the new log existed; later, an operator removes the damaged one.
        founder.remove("log");
        assert!(!founder.starts_as_founder(first_start));
        founder.remove("log");
        founder.remove("log.damaged");
        assert!(!founder.starts_as_founder(first_start));
    }
}

/// Guards against the same where the process was killed between the steps that take the identity
/// from a damaged log.
#[test]
fn a_damaged_log_takes_the_first_identity_with_it_at_any_point() {
    for first_start in [false, true] {
        // The log is damaged before the mark was taken back.
        let founder = Founder::new();
        founder.leave_mark();
        founder.leave_log();
        founder.damage_log();
        assert!(!founder.starts_as_founder(first_start));
        // Killed after the mark was taken back, and before the log was set aside.
        let founder = Founder::new();
        founder.leave_mark();
        founder.leave_log();
        founder.damage_log();
        FounderMark::take_back(founder.data.path()).unwrap();
        assert!(!founder.starts_as_founder(first_start));
        // Killed once the log was set aside.
        let founder = Founder::new();
        founder.leave_mark();
        founder.leave_log();
        FounderMark::take_back(founder.data.path()).unwrap();
        let log = founder.data.path().join("log");
        std::fs::rename(log, founder.data.path().join("log.damaged")).unwrap();
        assert!(!founder.starts_as_founder(first_start));
    }
}

/// Guards against a founder whose disk was lost before the group existed and that counts as one.
#[test]
fn an_empty_disk_is_the_first_one_only_at_the_first_start() {
    assert!(!Founder::new().starts_as_founder(false));
}
