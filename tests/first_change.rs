//! The first change of a group of five that three instances found: it is acknowledged only once the
//! group outlives the loss of two disks.

#[path = "fakes/session.rs"]
mod session;
#[path = "fakes/timed_disk.rs"]
mod timed_disk;
#[path = "fakes/timed_group.rs"]
mod timed_group;

use fulmardrift::{Millis, RaftGuard};
use timed_group::{GroupRules, TimedGroup};

const FOUNDERS: u64 = 3;
const SIZE: u64 = 5;
const LOSSES: usize = 2;
/// How long operators wait for the first change to be acknowledged.
const FIRST_CHANGE: Millis = Millis(5_000);
/// Time within which a change that is held back is accepted, sent once.
const ANSWER_LIMIT: Millis = Millis(1_500);
/// After this long, a group serves again.
const RECOVERY: Millis = Millis(15_000);
/// How long an instance that has lost its disk is down.
const DOWN: Millis = Millis(1_000);

fn start_group(disabled: &[RaftGuard]) -> TimedGroup {
    let rules = GroupRules {
        disabled: disabled.to_vec(),
        tolerated_losses: LOSSES,
        ..GroupRules::default()
    };
    TimedGroup::unfounded_by(FOUNDERS, SIZE, rules)
}

/// Sends the first change until it is acknowledged, and takes the disks of two founders right after
/// that: of the leader, if it is one, and of the one that comes `turn` founders later. Returns the
/// version in force after the recovery.
fn lose_disks_after_first_change(turn: u64, disabled: &[RaftGuard]) -> Option<u64> {
    let mut group = start_group(disabled);
    assert!(group.change(1_000, FIRST_CHANGE), "{}", group.describe());
    let leader = group.leader().filter(|id| *id <= FOUNDERS).unwrap_or(1);
    let lost = [leader, (leader - 1 + turn) % FOUNDERS + 1];
    for id in lost {
        group.wipe(id);
    }
    group.run(DOWN);
    for id in lost {
        group.start(id);
    }
    group.run_until(RECOVERY, |g| g.leader().is_some());
    group.version_in_force()
}

/// Guards against a change that is acknowledged while the loss of two disks still ends the group.
#[test]
fn the_first_change_survives_the_loss_of_two_founders_disks() {
    for turn in 1..FOUNDERS {
        assert_eq!(lose_disks_after_first_change(turn, &[]), Some(1));
    }
}

/// Guards against a first change that has to be sent again, as its sender waits for longer than the
/// group needs for its voters.
#[test]
fn a_change_that_comes_before_the_voters_is_held_back() {
    let mut group = start_group(&[]);
    assert!(group.run_until(FIRST_CHANGE, |g| g.leader().is_some()));
    let has_voters = |g: &TimedGroup| (1..=SIZE).all(|id| g.is_voter(id));
    assert!(!has_voters(&group), "{}", group.describe());
    group.send_change(1_000);
    assert_eq!(group.version_in_force(), Some(0));
    let end = group.now + ANSWER_LIMIT;
    while group.now < end && group.version_in_force() != Some(1) {
        group.run(Millis(20));
    }
    assert_eq!(group.version_in_force(), Some(1), "{}", group.describe());
    assert!(has_voters(&group), "{}", group.describe());
}

/// Mutant: a change is acknowledged by a group that has not had its voters yet.
#[test]
fn without_the_wait_for_voters_the_first_change_is_lost() {
    let early = [RaftGuard::EnoughVoters];
    let lost = |turn| lose_disks_after_first_change(turn, &early) != Some(1);
    assert!((1..FOUNDERS).any(lost));
}

/// Guards against changes that a machine which never comes back holds up for ever.
#[test]
fn machines_that_never_come_back_block_no_change_once_the_group_had_its_voters() {
    let mut group = start_group(&[]);
    let has_voters = |g: &TimedGroup| (1..=SIZE).all(|id| g.is_voter(id));
    assert!(
        group.run_until(FIRST_CHANGE, has_voters),
        "{}",
        group.describe()
    );
    // The newcomer takes the place of one of them, and is gone as well: three voters are left.
    group.remove(4);
    group.add(6);
    group.run_until(Millis(5_000), |g| g.leader().is_some() && !g.is_voter(5));
    group.remove(5);
    group.remove(6);
    group.run(Millis(6_000));
    assert!(group.change(1_000, FIRST_CHANGE), "{}", group.describe());
    for id in 1..=FOUNDERS {
        group.kill(id);
        group.start(id);
    }
    assert!(group.change(1_000, FIRST_CHANGE), "{}", group.describe());
}
