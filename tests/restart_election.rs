//! Elections after a restart of all instances of a control group, one of which never comes back.

#[path = "fakes/session.rs"]
mod session;
#[path = "fakes/timed_disk.rs"]
mod timed_disk;
#[path = "fakes/timed_group.rs"]
mod timed_group;

use fulmardrift::Millis;
use timed_group::TimedGroup;

const SIZE: u64 = 5;
const QUORUM: usize = 3;
/// Longest time between the start of the last member of a quorum and a leader that may act.
const LEADER_LIMIT: Millis = Millis(100);
/// How long all instances are down.
const DOWN: Millis = Millis(700);

/// Kills all instances, and starts all but `absent` with `gap` between them, the former leader as
/// the number `turn`. Returns how long after the start of the last member of a quorum a leader was
/// there.
fn restart_all(absent_follower: usize, turn: usize, gap: Millis) -> Millis {
    let mut group = TimedGroup::new(SIZE);
    assert!(group.change(1_000, Millis(4_000)), "{}", group.describe());
    let former = group.leader().unwrap();
    for id in 1..=SIZE {
        group.kill(id);
    }
    group.run(DOWN);
    let mut order: Vec<u64> = (1..=SIZE).filter(|id| *id != former).collect();
    order.remove(absent_follower);
    order.insert(turn, former);
    let mut quorum_at = group.now;
    for (at, id) in order.iter().enumerate() {
        if at < QUORUM {
            quorum_at = group.now;
        }
        group.start(*id);
        group.run_until(gap, |g| g.leader().is_some());
    }
    let has_leader = group.run_until(Millis(3_000), |g| g.leader().is_some());
    assert!(has_leader, "{}", group.describe());
    let took = group.now.since(quorum_at);
    assert!(group.change(1_000, Millis(4_000)), "{}", group.describe());
    took
}

/// Guards against a wait of a whole election timeout for a lease that cannot exist: one voter that
/// stays away kept the others from an election in which all voters report that they restarted.
#[test]
fn a_restarted_leader_leads_again_at_once_though_one_voter_is_absent() {
    let mut slow = Vec::new();
    for absent in 0..4 {
        for turn in 0..QUORUM {
            for gap in [0, 1, 20, 37, 150, 400] {
                let took = restart_all(absent, turn, Millis(gap));
                if took > LEADER_LIMIT {
                    slow.push((absent, turn, gap, took.0));
                }
            }
        }
    }
    assert!(slow.is_empty(), "absent, turn, gap, took: {slow:?}");
}
