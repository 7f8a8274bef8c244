//! An accepted change is in force everywhere and never reverts, whatever fails.

#[path = "fakes/group.rs"]
mod group;

use fulmardrift::{
    Accepted, ChangeRequest, Command, CommandReply, ControlAnswer, JobOutcome, ProcessRole,
    RaftGuard, Registration, Rejected, Revision,
};
use group::{Group, set};

fn tasks(n: u64) -> ChangeRequest {
    set(&format!("request-{n}"), "r1", "max_tasks", &n.to_string())
}

fn in_force(group: &Group, id: u64) -> u64 {
    group.state_machine(id).settings().number("r1", "max_tasks")
}

fn others(group: &Group, id: u64) -> Vec<u64> {
    group
        .instances
        .keys()
        .copied()
        .filter(|i| *i != id)
        .collect()
}

fn entry() -> Command {
    let joining = Registration {
        role: ProcessRole::Entry,
        name: "entry".to_owned(),
        place: "r1/dc1".to_owned(),
        address: "a".to_owned(),
        service: String::new(),
    };
    Command::Join("join-1".to_owned(), joining)
}

#[test]
fn a_group_is_founded_only_by_all_of_its_instances() {
    let mut group = Group::new(3);
    group.kill(3);
    group.rounds(200);
    assert!(group.leader().is_none(), "two of three founded a group");
    group.start(3);
    group.until("a leader", |g| g.leader().is_some());
    assert_eq!(group.control(1).raft().voters().len(), 3);
}

#[test]
fn one_instance_alone_is_a_group() {
    let mut group = Group::ready(1);
    assert_eq!(
        group.change(&tasks(7)),
        Ok(Accepted {
            revision: Revision(1)
        })
    );
    assert_eq!(in_force(&group, 1), 7);
}

#[test]
fn changes_survive_a_killed_leader_and_a_restart_of_all() {
    let mut group = Group::ready(3);
    for n in 1..=300 {
        assert!(group.change(&tasks(n)).is_ok());
        if n % 100 == 0 {
            let leader = group.leader().unwrap();
            group.kill(leader);
            group.until("a new leader", |g| g.leader().is_some_and(|l| l != leader));
            group.start(leader);
        }
    }
    for id in 1..=3 {
        group.kill(id);
    }
    for id in 1..=3 {
        group.start(id);
    }
    group.until("a leader", |g| g.leader().is_some());
    group.rounds(20);
    for id in 1..=3 {
        assert_eq!(in_force(&group, id), 300);
        assert_eq!(group.state_machine(id).revision(), Revision(300));
        assert_eq!(group.state_machine(id).audit().len(), 300);
    }
}

#[test]
fn a_leader_cut_off_gives_no_lease_and_accepts_nothing() {
    let mut group = Group::ready(3);
    let CommandReply::Joined(entry) = group.apply(&entry()) else {
        panic!()
    };
    let old = group.leader().unwrap();
    group.cut = vec![old];
    let token = group.propose(old, Command::Change(tasks(5)));
    group.until("a new leader", |g| g.leader().is_some_and(|l| l != old));
    // From here on another may have changed things; the old one must know.
    assert!(matches!(
        group.renew(old, entry),
        Some(ControlAnswer::NotLeader(_))
    ));
    assert!(!matches!(
        group.answers.get(&token),
        Some(ControlAnswer::Reply(_))
    ));
    let change = set("other", "r1/dc1", "out", "true");
    assert!(group.change(&change).is_ok());
    // Cut off for long while changes go on elsewhere, then back.
    for n in 10..40 {
        assert!(group.change(&tasks(n)).is_ok());
    }
    group.rounds(3_000);
    assert!(!group.control(old).raft().holds_lease(group.now));
    group.cut.clear();
    group.rounds(200);
    for id in 1..=3 {
        assert!(
            group.state_machine(id).settings().is_evacuated("r1/dc1"),
            "instance {id} reverted"
        );
        assert_eq!(in_force(&group, id), 39);
    }
}

#[test]
fn an_instance_that_comes_back_does_not_unseat_the_leader() {
    let mut group = Group::ready(3);
    let leader = group.leader().unwrap();
    let cut = others(&group, leader)[0];
    let term = group.control(leader).raft().term();
    group.cut = vec![cut];
    group.rounds(500);
    group.cut.clear();
    group.rounds(100);
    assert_eq!(group.leader(), Some(leader));
    assert_eq!(group.control(leader).raft().term(), term);
}

#[test]
fn a_frozen_leader_woken_gives_no_lease() {
    let mut group = Group::ready(3);
    let CommandReply::Joined(entry) = group.apply(&entry()) else {
        panic!()
    };
    let old = group.leader().unwrap();
    group.instances.get_mut(&old).unwrap().frozen = true;
    group.until("a new leader", |g| g.leader().is_some_and(|l| l != old));
    assert!(group.change(&tasks(5)).is_ok());
    group.instances.get_mut(&old).unwrap().frozen = false;
    assert!(matches!(
        group.renew(old, entry),
        Some(ControlAnswer::NotLeader(_))
    ));
    group.rounds(50);
    assert_eq!(in_force(&group, old), 5);
}

#[test]
fn a_lost_disk_counts_for_nothing_until_the_log_says_so() {
    let mut group = Group::ready(3);
    assert!(group.change(&tasks(5)).is_ok());
    let leader = group.leader().unwrap();
    let [lost, other] = others(&group, leader)[..] else {
        panic!()
    };
    // With the other cut off, the leader and the empty disk are no quorum.
    group.cut = vec![other];
    group.lose_disk(lost);
    let token = group.propose(leader, Command::Change(tasks(6)));
    group.rounds(300);
    assert!(!matches!(
        group.answers.get(&token),
        Some(ControlAnswer::Reply(_))
    ));
    assert!(group.leader().is_none());
    group.cut.clear();
    group.until("three voters with the new disk", |g| {
        let disk = g.instances[&lost].disk;
        g.leader().is_some_and(|l| {
            let voters = g.control(l).raft().voters();
            voters.len() == 3 && voters.iter().any(|v| v.disk == disk)
        })
    });
    assert!(group.change(&tasks(7)).is_ok());
}

#[test]
fn a_second_instance_lost_right_after_a_repair_loses_nothing() {
    for second in 0..2 {
        let mut group = Group::ready(3);
        for n in 1..=20 {
            assert!(group.change(&tasks(n)).is_ok());
        }
        let leader = group.leader().unwrap();
        let lost = others(&group, leader)[0];
        group.lose_disk(lost);
        group.until("repaired", |g| {
            let disk = g.instances[&lost].disk;
            g.leader().is_some_and(|l| {
                let raft = g.control(l).raft();
                raft.voters().iter().any(|v| v.disk == disk)
                    && raft.committed() == raft.last().index
            })
        });
        // At once another disk is lost: the leader's, or the third one's.
        let next = if second == 0 {
            leader
        } else {
            others(&group, leader)[1]
        };
        group.lose_disk(next);
        group.until("a leader", |g| g.leader().is_some());
        assert!(group.change(&tasks(21)).is_ok());
        group.until("all have it", |g| (1..=3).all(|id| in_force(g, id) == 21));
        for id in 1..=3 {
            assert_eq!(
                group.state_machine(id).revision(),
                Revision(21),
                "second={second}"
            );
        }
    }
}

#[test]
fn two_lost_disks_at_once_stop_the_group_and_invent_nothing() {
    let mut group = Group::ready(3);
    assert!(group.change(&tasks(5)).is_ok());
    group.lose_disk(1);
    group.lose_disk(2);
    group.rounds(500);
    assert!(
        group.leader().is_none(),
        "one survivor and two empty disks went on"
    );
}

#[test]
fn of_two_operators_with_equal_numbers_one_wins_and_the_other_learns_who() {
    let mut group = Group::ready(3);
    assert!(group.change(&tasks(5)).is_ok());
    let leader = group.leader().unwrap();
    let race = |operator: &str, value: &str| ChangeRequest {
        operator: operator.to_owned(),
        expected: Some(Revision(1)),
        ..set(operator, "r1", "max_tasks", value)
    };
    let a = group.propose(leader, Command::Change(race("ana", "6")));
    let b = group.propose(leader, Command::Change(race("boris", "7")));
    group.rounds(20);
    let reply = |token| group.answers.get(token).cloned();
    let won = CommandReply::Change(Ok(Accepted {
        revision: Revision(2),
    }));
    let stale = Rejected::Stale {
        revision: Revision(2),
        operator: "ana".to_owned(),
    };
    assert_eq!(reply(&a), Some(ControlAnswer::Reply(won)));
    assert_eq!(
        reply(&b),
        Some(ControlAnswer::Reply(CommandReply::Change(Err(stale))))
    );
    let audit = group.state_machine(leader).audit();
    let last = audit.last().unwrap();
    assert_eq!(
        (last.operator.as_str(), last.refused.is_empty()),
        ("boris", false)
    );
    assert_eq!(in_force(&group, leader), 6);
}

#[test]
fn a_resend_after_a_lost_answer_gets_the_first_one() {
    let mut group = Group::ready(3);
    let request = ChangeRequest {
        expected: Some(Revision(0)),
        ..tasks(5)
    };
    let first = group.change(&request);
    let leader = group.leader().unwrap();
    group.kill(leader);
    group.until("a new leader", |g| g.leader().is_some_and(|l| l != leader));
    assert!(group.change(&tasks(9)).is_ok());
    assert_eq!(group.change(&request), first);
    assert_eq!(
        in_force(&group, group.leader().unwrap()),
        9,
        "the resend reverted a change"
    );
}

#[test]
fn a_change_is_all_or_nothing_and_says_what_is_wrong() {
    let mut group = Group::ready(1);
    let mut request = tasks(5);
    request
        .changes
        .extend(set("x", "r1", "max_tasks", "0").changes);
    let Err(Rejected::Invalid(error)) = group.change(&request) else {
        panic!()
    };
    let text = error.to_string();
    for part in ["max_tasks", "r1", "\"0\"", "1 to 100000"] {
        assert!(text.contains(part), "{part} is not in {text}");
    }
    assert_eq!(in_force(&group, 1), 640);
    assert_eq!(group.state_machine(1).revision(), Revision(0));
}

#[test]
fn a_failed_sync_acknowledges_nothing() {
    let mut group = Group::ready(3);
    let leader = group.leader().unwrap();
    for id in 1..=3 {
        group.instances.get_mut(&id).unwrap().syncs = false;
    }
    let token = group.propose(leader, Command::Change(tasks(5)));
    group.rounds(20);
    assert!(!group.answers.contains_key(&token));
    for id in 1..=3 {
        group.kill(id);
        group.start(id);
    }
    group.until("a leader", |g| g.leader().is_some());
    assert_eq!(in_force(&group, 1), 640);
}

#[test]
fn a_planned_stop_hands_the_lead_over_at_once() {
    let mut group = Group::ready(3);
    let old = group.leader().unwrap();
    let token = group.propose(old, Command::Change(tasks(5)));
    group.input(
        old,
        fulmardrift::ControlInput::Raft(fulmardrift::RaftInput::Stop),
    );
    let before = group.now;
    group.until("a new leader", |g| g.leader().is_some_and(|l| l != old));
    // Without waiting for an election to come due.
    assert!(group.now.since(before) < group::timing().election);
    assert!(!group.control(old).raft().is_leader());
    let _ = token;
    assert!(group.change(&tasks(5)).is_ok());
}

#[test]
fn a_lagging_instance_is_brought_up_by_a_snapshot() {
    let mut group = Group::ready(3);
    let leader = group.leader().unwrap();
    let lagging = others(&group, leader)[0];
    group.cut = vec![lagging];
    let claims = 21_000;
    for n in 0..claims {
        let record = Command::Record {
            key: fulmardrift::JobKey {
                team: "t".to_owned(),
                id: n.to_string(),
            },
            generation: fulmardrift::Generation(1),
            owner: fulmardrift::Incarnation(1),
            outcome: JobOutcome::Complete,
        };
        group.propose(leader, record);
        if n % 500 == 0 {
            group.round();
        }
    }
    assert!(group.change(&tasks(5)).is_ok());
    assert!(
        group.control(leader).raft().backlog() < 20_000,
        "no snapshot was taken"
    );
    group.cut.clear();
    group.until("caught up", |g| in_force(g, lagging) == 5);
    group.kill(lagging);
    group.start(lagging);
    group.rounds(50);
    assert_eq!(in_force(&group, lagging), 5);
}

#[test]
fn a_process_that_stops_renewing_is_declared_dead_after_its_lease() {
    let mut group = Group::ready(3);
    let CommandReply::Joined(entry) = group.apply(&entry()) else {
        panic!()
    };
    let joined = group.now;
    let alive = |g: &Group| {
        let leader = g.leader()?;
        Some(g.state_machine(leader).processes().get(&entry)?.alive)
    };
    // A leader that takes over must give it a whole lease more.
    group.rounds(100);
    let leader = group.leader().unwrap();
    group.kill(leader);
    group.until("a new leader", |g| g.leader().is_some_and(|l| l != leader));
    let taken = group.now;
    group.until("dead", |g| alive(g) == Some(false));
    assert!(
        group.now.since(taken) >= fulmardrift::Millis(3_000),
        "joined at {joined:?}"
    );
    let leader = group.leader().unwrap();
    let answer = group.renew(leader, entry);
    assert!(
        matches!(
            answer,
            Some(ControlAnswer::LeaderConfirmed { alive: false, .. })
        ),
        "{answer:?}"
    );
}

#[test]
fn a_take_out_while_the_leader_changes_is_kept_or_was_never_accepted() {
    for rounds in 0..12 {
        let mut group = Group::ready(3);
        let leader = group.leader().unwrap();
        let out = set("out", "r1/dc1", "out", "true");
        let token = group.propose(leader, Command::Change(out.clone()));
        for _ in 0..rounds {
            if let Some(message) = group.net.pop_front() {
                let to = message.to.0;
                let receive = fulmardrift::RaftInput::Receive(message);
                group.input(to, fulmardrift::ControlInput::Raft(receive));
                group.sync(to);
                group.sync(leader);
            }
        }
        let accepted = matches!(group.answers.get(&token), Some(ControlAnswer::Reply(_)));
        group.net.clear();
        group.kill(leader);
        group.until("a new leader", |g| g.leader().is_some_and(|l| l != leader));
        let new = group.leader().unwrap();
        let is_out = group.state_machine(new).settings().is_evacuated("r1/dc1");
        assert!(
            is_out || !accepted,
            "accepted and lost after {rounds} deliveries"
        );
        assert!(group.change(&out).is_ok());
        assert!(
            group
                .state_machine(group.leader().unwrap())
                .settings()
                .is_evacuated("r1/dc1")
        );
    }
}

/// Instances that give leases at the moment.
fn lease_holders(group: &Group) -> usize {
    let holds = |id: &&u64| {
        let instance = &group.instances[*id];
        let control = instance.control.as_ref();
        control.is_some_and(|c| c.raft().holds_lease(group.now))
    };
    group.instances.keys().filter(holds).count()
}

/// Most holders of leases at a time while all but the leader, which is cut off,
/// start anew.
fn most_after_restart_of_others(size: u64, off: &[RaftGuard]) -> usize {
    let mut group = Group::without(size, off);
    group.until("a leader", |g| g.leader().is_some());
    group.rounds(10);
    let leader = group.leader().unwrap();
    group.cut = vec![leader];
    for id in others(&group, leader) {
        group.kill(id);
        group.start(id);
    }
    let mut most = 0;
    for _ in 0..100 {
        group.round();
        most = most.max(lease_holders(&group));
    }
    assert!(group.leader().is_some(), "nobody took over");
    most
}

#[test]
fn when_all_start_anew_nobody_waits_for_a_lease_that_is_gone() {
    for size in [3, 5] {
        let mut group = Group::ready(size);
        assert!(group.change(&tasks(5)).is_ok());
        for id in 1..=size {
            group.kill(id);
        }
        for id in 1..=size {
            group.start(id);
        }
        let began = group.now;
        group.until("a leader", |g| g.leader().is_some());
        let waited = group.now.since(began);
        assert!(waited < group::timing().election, "{waited:?} of {size}");
        group.rounds(20);
        assert_eq!(in_force(&group, 1), 5);
    }
}

#[test]
fn a_restarted_majority_waits_for_the_lease_of_a_leader_that_is_cut_off() {
    for size in [3, 5] {
        assert_eq!(most_after_restart_of_others(size, &[]), 1, "of {size}");
        let mutant = [RaftGuard::AllLeaderless];
        assert_eq!(
            most_after_restart_of_others(size, &mutant),
            2,
            "the rule does not matter among {size}"
        );
    }
}
