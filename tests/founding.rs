//! Founding a group of control instances on local ports, some of which are restarted meanwhile.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::Path;
use std::time::Duration;

use fulmardrift::{ControlNode, ControlNodeConfig, DiskId, FounderMark, Millis, ReplicaTimes};
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
/// restarted before all others were up.
#[test]
fn a_founder_that_is_restarted_before_the_group_exists_still_founds_it() {
    let data: Vec<TempDir> = (0..3).map(|_| TempDir::new().unwrap()).collect();
    let seeds = free_addresses(3);
    drop(start(&seeds, 0, data[0].path(), true));
    let (_first, node) = start(&seeds, 0, data[0].path(), false);
    let _second = start(&seeds, 1, data[1].path(), true);
    let _third = start(&seeds, 2, data[2].path(), true);
    assert!(has_leader(&node), "no group was founded");
}

/// Guards against a second group beside the first.
#[test]
fn only_the_disk_and_the_seeds_of_the_first_start_found_a_group() {
    let data = TempDir::new().unwrap();
    let seeds = free_addresses(3);
    let mark = FounderMark {
        disk: DiskId(7),
        seeds: seeds.clone(),
    };
    assert!(!mark.may_found(data.path(), false));
    assert!(mark.may_found(data.path(), true));
    assert!(mark.may_found(data.path(), false));
    let other_disk = FounderMark {
        disk: DiskId(8),
        seeds: seeds.clone(),
    };
    assert!(!other_disk.may_found(data.path(), false));
    let other_seeds = FounderMark {
        disk: DiskId(7),
        seeds: seeds[..2].to_vec(),
    };
    assert!(!other_seeds.may_found(data.path(), false));
    std::fs::write(data.path().join("founder"), b"{").unwrap();
    assert!(!mark.may_found(data.path(), false));
}
