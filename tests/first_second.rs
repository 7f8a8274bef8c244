//! Control groups that are killed, or lose disks, before, while and after they are founded.

#[path = "fakes/group.rs"]
mod group;

use fulmardrift::Millis;
use group::{Group, TICK, change_request};
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 1_000;
/// After this long, a group serves again.
const RECOVERY: Millis = Millis(15_000);
/// Rounds of the first second.
const FIRST_ROUNDS: u32 = 50;

/// Kills all instances in the first second, some of them in the midst of a sync, and takes the disks
/// of `lost` of them.
fn play(seed: u64, size: u64, lost: usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut group = Group::unfounded(size);
    // A group is founded within a few rounds.
    let rounds = *[3, 8, FIRST_ROUNDS].choose(&mut rng).unwrap();
    group.run_rounds(rng.random_range(0..rounds));
    for id in 1..=size {
        group.instances.get_mut(&id).unwrap().syncs_complete = rng.random_bool(0.5);
    }
    group.run_rounds(rng.random_range(0..3));
    for id in 1..=size {
        group.kill(id);
    }
    if rng.random() {
        group.net.clear();
    }
    for id in (1..=size).sample(&mut rng, lost) {
        group.wipe(id);
    }
    for id in 1..=size {
        group.run_rounds(rng.random_range(0..10));
        group.start(id);
    }
    let end = group.now + RECOVERY;
    while group.leader().is_none() && group.now < end {
        group.run_round();
    }
    assert!(
        group.leader().is_some(),
        "seed {seed}: no leader of {size}, {lost} disks lost"
    );
    let request = change_request("request", "r1", "max_tasks", "7");
    assert!(group.change(&request).is_ok(), "seed {seed}");
    // Instances that the founding missed take part as well.
    let rounds = Millis(6_000).0 / TICK.0;
    group.run_rounds(u32::try_from(rounds).unwrap());
    for id in 1..=size {
        let settings = group.state_machine(id).settings();
        assert_eq!(settings.number("r1", "max_tasks"), 7, "seed {seed}: {id}");
    }
}

#[test]
fn a_group_whose_processes_are_killed_in_the_first_second_serves() {
    for seed in 0..SEEDS {
        play(seed, 3, 0);
        play(seed, 5, 0);
    }
}

/// Guards against a system that never starts because the instance that was to found the group lost
/// its disk before that.
#[test]
fn a_group_that_loses_disks_in_the_first_second_serves() {
    for seed in 0..SEEDS {
        play(seed, 3, 1);
        play(seed, 5, 1);
        play(seed, 5, 2);
    }
}

/// Guards against a system that never starts because one of the instances that may found the group
/// does not, though its loss is tolerated.
#[test]
fn a_group_of_which_one_instance_never_starts_serves() {
    for missing in 1..=3 {
        let mut group = Group::unfounded(3);
        group.kill(missing);
        let end = group.now + RECOVERY;
        while group.leader().is_none() && group.now < end {
            group.run_round();
        }
        assert!(group.leader().is_some(), "no leader without {missing}");
        let request = change_request("request", "r1", "max_tasks", "7");
        assert!(group.change(&request).is_ok(), "without {missing}");
    }
}
