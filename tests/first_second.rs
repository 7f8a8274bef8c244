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

/// After the last fault, a group that can serve has a leader within this time.
const FIRST_LEADER: Millis = Millis(5_000);
const FOUNDERS: u64 = 3;
/// Faults in a play of the first seconds.
const FAULTS: u32 = 6;

/// What becomes of one founder for the rest of a play.
#[derive(Debug, Clone, Copy)]
enum LastFault {
    Away,
    DiskLost,
    Frozen,
    Muted,
    Deafened,
    CutFromOne,
}

const LAST_FAULTS: [LastFault; 6] = [
    LastFault::Away,
    LastFault::DiskLost,
    LastFault::Frozen,
    LastFault::Muted,
    LastFault::Deafened,
    LastFault::CutFromOne,
];

/// A fault that passes: a crash, some of it in the midst of a sync, a freeze or a cut.
fn passing_fault(group: &mut Group, rng: &mut Pcg64Mcg, size: u64) {
    let id = rng.random_range(1..=size);
    let other = rng.random_range(1..=size);
    match rng.random_range(0..6) {
        0 => group.kill(id),
        1 => group.kill_in_sync(id, rng.random_range(0..3)),
        2 => group.instances.get_mut(&id).unwrap().syncs_complete = false,
        3 => group.instances.get_mut(&id).unwrap().suspended = true,
        4 => group.cut.push((id, other)),
        _ => group.isolated = vec![id],
    }
    group.run_rounds(rng.random_range(0..20));
}

/// Ends all faults. Instances that are down start again.
fn end_faults(group: &mut Group, size: u64) {
    group.cut.clear();
    group.isolated.clear();
    for id in 1..=size {
        let instance = group.instances.get_mut(&id).unwrap();
        instance.suspended = false;
        instance.syncs_complete = true;
        if instance.control.is_none() {
            group.start(id);
        }
    }
}

fn apply_last(group: &mut Group, id: u64, fault: LastFault, size: u64) {
    let others = (1..=size).filter(|other| *other != id);
    match fault {
        LastFault::Away => group.kill(id),
        LastFault::DiskLost => group.lose_disk(id),
        LastFault::Frozen => group.instances.get_mut(&id).unwrap().suspended = true,
        LastFault::Muted => group.cut = others.map(|other| (id, other)).collect(),
        LastFault::Deafened => group.cut = others.map(|other| (other, id)).collect(),
        LastFault::CutFromOne => group.cut = vec![(id, id % FOUNDERS + 1)],
    }
}

fn play_first_seconds(seed: u64, size: u64, last: LastFault) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut group = Group::unfounded_by(FOUNDERS, size, &[]);
    group.run_rounds(rng.random_range(0..10));
    for _ in 0..rng.random_range(0..FAULTS) {
        passing_fault(&mut group, &mut rng, size);
        if rng.random() {
            end_faults(&mut group, size);
        }
    }
    end_faults(&mut group, size);
    let id = rng.random_range(1..=FOUNDERS);
    apply_last(&mut group, id, last, size);
    let end = group.now + FIRST_LEADER;
    while group.leader().is_none() && group.now < end {
        group.run_round();
    }
    let case = format!("seed {seed}: {last:?} {id} of {size}");
    assert!(group.leader().is_some(), "{case}: no leader");
    let request = change_request("request", "r1", "max_tasks", "7");
    assert!(group.change(&request).is_ok(), "{case}");
    end_faults(&mut group, size);
    let rounds = Millis(6_000).0 / TICK.0;
    group.run_rounds(u32::try_from(rounds).unwrap());
    for id in 1..=size {
        let settings = group.state_machine(id).settings();
        assert_eq!(settings.number("r1", "max_tasks"), 7, "{case}: {id}");
    }
}

/// Guards against a system that never starts because a founder is away, frozen, cut off one way or
/// has lost its disk, whatever happened before that.
#[test]
fn a_group_with_one_founder_out_of_order_serves_after_any_first_seconds() {
    for seed in 0..SEEDS / 5 {
        for last in LAST_FAULTS {
            play_first_seconds(seed, 3, last);
            play_first_seconds(seed, 5, last);
        }
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

/// Guards against a system that never starts because two of the three instances that found a group
/// of five lose their disks before the other two vote, though so many losses are tolerated.
#[test]
fn a_group_of_five_that_loses_two_founders_disks_serves() {
    for rounds in 0..FIRST_ROUNDS {
        let mut group = Group::unfounded_by(3, 5, &[]);
        group.run_rounds(rounds);
        for id in 1..=5 {
            group.kill(id);
        }
        group.wipe(1);
        group.wipe(2);
        for id in 1..=5 {
            group.start(id);
        }
        let end = group.now + RECOVERY;
        while group.leader().is_none() && group.now < end {
            group.run_round();
        }
        assert!(group.leader().is_some(), "no leader after {rounds} rounds");
    }
}
