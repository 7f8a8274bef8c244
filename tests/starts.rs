//! Entries and agents with simulated messages: each task starts at most once, and each answer is
//! complete or states why it is not.

mod fakes;

use fakes::{SERVICE, World, key, submission};
use fulmardrift::{
    AgentInput, Answer, ChangeRequest, Command, EntryInput, Failure, Generation, Incarnation,
    JobKind, JobState, Millis, NotRunReason, Refusal, SettingChange, TaskStatus,
};

fn entries(world: &World) -> (Incarnation, Incarnation) {
    let all: Vec<Incarnation> = world.entries.keys().copied().collect();
    (all[0], all[1])
}

fn agents(world: &World) -> Vec<Incarnation> {
    world.agents.keys().copied().collect()
}

fn is_complete(answer: Option<&Answer>, tasks: usize) -> bool {
    matches!(answer, Some(Answer::Complete(results)) if results.len() == tasks)
}

#[test]
fn a_job_is_answered_completely_and_in_task_order() {
    let mut world = World::new(1, 3, 2, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let handle = world.submit(entry, submission(&key("a"), true, 20));
    world.settle();
    let Some(Answer::Complete(results)) = world.answer(entry, handle) else {
        panic!("{:?}", world.answer(entry, handle));
    };
    let names: Vec<String> = results
        .iter()
        .map(|r| String::from_utf8(r.to_vec()).unwrap())
        .collect();
    let expected: Vec<String> = (0..20).map(|i| i.to_string()).collect();
    assert_eq!(names, expected);
    assert_eq!((world.most_starts(), world.total_starts()), (1, 20));
}

#[test]
fn nothing_starts_before_the_claim_is_granted() {
    let mut world = World::new(1, 1, 2, &[]);
    let entry = *world.entries.keys().next().unwrap();
    world.submit(entry, submission(&key("a"), true, 2));
    assert_eq!(
        world.messages.len(),
        1,
        "expected only the claim: {:?}",
        world.messages
    );
    assert_eq!(world.total_starts(), 0);
}

#[test]
fn resubmission_attaches_before_during_and_after_the_run() {
    for steps in 0..8 {
        for other in [false, true] {
            let mut world = World::new(2, 2, 1, &[]);
            let (first, second) = entries(&world);
            let again = if other { second } else { first };
            let a = world.submit(first, submission(&key("a"), true, 3));
            for _ in 0..steps {
                if !world.messages.is_empty() {
                    world.deliver(0);
                }
            }
            let b = world.submit(again, submission(&key("a"), true, 3));
            world.settle();
            let (a, b) = (world.answer(first, a), world.answer(again, b));
            let is_answered = |x: Option<&Answer>| {
                is_complete(x, 3) || matches!(x, Some(Answer::Relayed { status: 200, .. }))
            };
            assert!(
                is_answered(a) && is_answered(b),
                "after {steps} steps, other={other}: {a:?} {b:?}"
            );
            assert_eq!((world.most_starts(), world.total_starts()), (1, 3));
        }
    }
}

#[test]
fn same_key_with_another_payload_is_refused_at_both_entries() {
    let mut world = World::new(2, 1, 1, &[]);
    let (first, second) = entries(&world);
    world.submit(first, submission(&key("a"), true, 1));
    world.settle();
    for entry in [first, second] {
        let mut other = submission(&key("a"), true, 1);
        other.digest = Some(vec![2]);
        let handle = world.submit(entry, other);
        world.settle();
        let refused = Answer::Refused(Refusal::KeyConflict, None);
        assert_eq!(world.answer(entry, handle), Some(&refused));
    }
    assert_eq!(world.total_starts(), 1);
}

/// The owner crashes or freezes after `steps` deliveries, and the other entry takes over.
fn owner_lost(steps: usize, frozen: bool) {
    let mut world = World::new(2, 2, 1, &[]);
    let (owner, successor) = entries(&world);
    let before = world.submit(owner, submission(&key("a"), true, 3));
    for step in 0..steps {
        if !world.messages.is_empty() {
            world.deliver(step % world.messages.len());
        } else if !world.running.is_empty() {
            world.finish(0);
        }
    }
    let answered = world.answer(owner, before).is_some();
    if frozen {
        world.frozen.push(owner);
    } else {
        world.entries.remove(&owner);
    }
    let handle = world.submit(successor, submission(&key("a"), true, 3));
    world.declare_dead(owner);
    world.settle();
    let answer = world.answer(successor, handle).cloned();
    let is_answered = matches!(&answer, Some(Answer::Complete(r)) if r.len() == 3)
        || matches!(answer, Some(Answer::Relayed { .. }));
    assert!(
        is_answered,
        "steps={steps} frozen={frozen}: {answer:?} {:?}",
        world.entries[&successor]
    );
    if frozen {
        // The resumed owner must neither start nor answer anything.
        let starts = world.total_starts();
        world.frozen.clear();
        world.entry_input(owner, EntryInput::Tick);
        world.settle();
        assert_eq!(world.total_starts(), starts);
        assert_eq!(
            world.answer(owner, before).is_some(),
            answered,
            "answered after its lease expired"
        );
    }
    assert_eq!(
        (world.most_starts(), world.total_starts()),
        (1, 3),
        "steps={steps}"
    );
}

#[test]
fn an_owner_killed_at_each_step_is_taken_over() {
    for steps in 0..24 {
        owner_lost(steps, false);
    }
}

#[test]
fn an_owner_resumed_after_its_lease_expired_does_nothing() {
    for steps in 0..24 {
        owner_lost(steps, true);
    }
}

#[test]
fn an_agent_lost_with_a_running_task_fails_the_job_and_restarts_nothing() {
    let mut world = World::new(1, 2, 2, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let handle = world.submit(entry, submission(&key("a"), true, 4));
    while !world.messages.is_empty() {
        world.deliver(0);
    }
    let lost = agents(&world)[0];
    assert!(world.running.iter().any(|d| d.agent == lost));
    world.kill_agent(lost);
    world.settle();
    let answer = world.answer(entry, handle);
    assert!(
        matches!(answer, Some(Answer::Failed(Failure::AgentLost { .. }))),
        "{answer:?}"
    );
    assert_eq!(world.most_starts(), 1);
}

#[test]
fn an_agent_lost_together_with_the_owner_fails_the_job() {
    let mut world = World::new(2, 2, 2, &[]);
    let (owner, successor) = entries(&world);
    world.submit(owner, submission(&key("a"), true, 4));
    while !world.messages.is_empty() {
        world.deliver(0);
    }
    world.entries.remove(&owner);
    world.kill_agent(agents(&world)[0]);
    world.declare_dead(owner);
    let handle = world.submit(successor, submission(&key("a"), true, 4));
    world.settle();
    let answer = world.answer(successor, handle);
    assert_eq!(answer, Some(&Answer::Failed(Failure::Unaccounted)));
    assert_eq!(world.most_starts(), 1);
}

#[test]
fn a_second_agent_is_tried_only_after_a_not_run_verdict() {
    let mut world = World::new(1, 2, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    world.submit(entry, submission(&key("a"), true, 1));
    world.deliver(0);
    world.deliver(0);
    assert_eq!(
        world.messages.len(),
        1,
        "expected one dispatch: {:?}",
        world.messages
    );
    // The start window closes without a verdict from the first agent.
    world.now = Millis(60_000);
    for agent in agents(&world) {
        world.renew_agent_lease(agent);
    }
    world.renew_entry_lease(entry);
    world.entry_input(entry, EntryInput::Tick);
    assert_eq!(
        world.messages.len(),
        1,
        "dispatched elsewhere without a verdict"
    );
    // The late dispatch is refused, and only then is the task sent to the other agent.
    world.settle();
    assert_eq!((world.most_starts(), world.total_starts()), (1, 1));
}

#[test]
fn a_dispatch_delivered_twice_or_late_starts_once() {
    let mut world = World::new(1, 1, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    world.submit(entry, submission(&key("a"), true, 1));
    world.deliver(0);
    world.deliver(0);
    let copy = world.messages[0].clone();
    world.settle();
    world.messages.push(copy.clone());
    world.settle();
    world.now = Millis(1_000_000);
    world.messages.push(copy);
    world.settle();
    assert_eq!(world.total_starts(), 1);
}

#[test]
fn dispatches_of_a_replaced_link_are_queried() {
    // Either the dispatch or the verdict was lost with the old connection.
    for lose_verdict in [false, true] {
        let mut world = World::new(1, 1, 1, &[]);
        let entry = *world.entries.keys().next().unwrap();
        let handle = world.submit(entry, submission(&key("a"), true, 1));
        world.deliver(0);
        world.deliver(0);
        if lose_verdict {
            world.deliver(0);
            world.finish(0);
        }
        world.messages.clear();
        world.link(entry, agents(&world)[0]);
        world.settle();
        assert!(is_complete(world.answer(entry, handle), 1));
        assert_eq!(world.total_starts(), 1, "lose_verdict={lose_verdict}");
    }
}

#[test]
fn a_verdict_with_a_wrong_job_is_dropped_and_counted() {
    let mut world = World::new(1, 1, 2, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let a = world.submit(entry, submission(&key("a"), false, 1));
    let b = world.submit(entry, submission(&key("b"), false, 1));
    while !world.messages.is_empty() {
        world.deliver(0);
    }
    world.finish(0);
    let fakes::Message::Verdict(to, verdict) = world.messages.remove(0) else {
        panic!("{:?}", world.messages);
    };
    let mut crossed = verdict.clone();
    crossed.job = key("b");
    world.messages.push(fakes::Message::Verdict(to, crossed));
    world.deliver(0);
    assert!(world.answer(entry, a).is_none() && world.answer(entry, b).is_none());
    assert_eq!(world.entries[&entry].counts().strays, 1);
    world.messages.push(fakes::Message::Verdict(to, verdict));
    world.settle();
    assert!(is_complete(world.answer(entry, a), 1) && is_complete(world.answer(entry, b), 1));
}

#[test]
fn no_task_starts_without_a_valid_lease() {
    let mut world = World::new(1, 1, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let handle = world.submit(entry, submission(&key("a"), false, 1));
    // The agent is cut off without notice, and its lease expires before the dispatch arrives.
    world.now = world.now + fakes::LEASE_DURATION;
    world.deliver(0);
    assert_eq!(world.total_starts(), 0);
    world.renew_agent_lease(agents(&world)[0]);
    world.renew_entry_lease(entry);
    world.settle();
    assert!(
        is_complete(world.answer(entry, handle), 1),
        "the job waits and does not fail"
    );
}

#[test]
fn no_task_starts_in_an_evacuated_data_centre_and_queued_ones_move() {
    let mut world = World::new(1, 2, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let handle = world.submit(entry, submission(&key("a"), false, 4));
    let evacuated = agents(&world)[0];
    while !world.messages.is_empty() {
        world.deliver(0);
    }
    let lease = fulmardrift::Lease {
        revision: fulmardrift::Revision(1),
        expires_at: world.now + fakes::LEASE_DURATION,
        allowed: false,
        window: fakes::START_WINDOW,
    };
    world.agent_input(evacuated, AgentInput::Lease(lease));
    let running_there = |w: &World| w.running.iter().filter(|d| d.agent == evacuated).count();
    assert_eq!(running_there(&world), 1, "a running task finishes");
    while !world.running.is_empty() {
        world.finish(0);
        while !world.messages.is_empty() {
            world.deliver(0);
        }
        assert_eq!(
            running_there(&world),
            0,
            "started in the evacuated data centre"
        );
    }
    assert!(is_complete(world.answer(entry, handle), 4));
    // A late lease of an older revision does not undo the evacuation.
    let stale = fulmardrift::Lease {
        revision: fulmardrift::Revision(0),
        allowed: true,
        ..lease
    };
    world.agent_input(evacuated, AgentInput::Lease(stale));
    assert!(!world.agents[&evacuated].gate().lease().allowed);
}

#[test]
fn an_evacuated_agent_refuses_a_dispatch_that_was_in_flight() {
    let mut world = World::new(1, 1, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    world.submit(entry, submission(&key("a"), false, 1));
    let change = SettingChange {
        path: "r1/dc1".to_owned(),
        key: "out".to_owned(),
        value: Some("true".to_owned()),
    };
    world.apply(Command::Change(ChangeRequest {
        operator: "ana".to_owned(),
        request: "1".to_owned(),
        expected: None,
        changes: vec![change],
    }));
    world.renew_agent_lease(agents(&world)[0]);
    world.deliver(0);
    assert_eq!(world.total_starts(), 0);
    let agent = &world.agents[&agents(&world)[0]];
    assert_eq!(
        agent.gate().status(&key("a"), 0),
        Some(&TaskStatus::NotRun(NotRunReason::Out))
    );
}

#[test]
fn a_drained_backend_server_gets_no_new_work() {
    let mut world = World::new(1, 2, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let leaving = agents(&world)[0];
    let handle = world.submit(entry, submission(&key("a"), false, 6));
    world.agent_input(leaving, AgentInput::Drain);
    world.settle();
    assert!(is_complete(world.answer(entry, handle), 6));
    assert_eq!(world.total_starts(), 6);
    world.submit(entry, submission(&key("b"), false, 3));
    while !world.messages.is_empty() {
        world.deliver(0);
    }
    assert!(world.running.iter().all(|d| d.agent != leaving));
}

#[test]
fn a_stopping_agent_finishes_its_tasks() {
    let mut world = World::new(1, 2, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let handle = world.submit(entry, submission(&key("a"), false, 4));
    while !world.messages.is_empty() {
        world.deliver(0);
    }
    let stopping = agents(&world)[0];
    world.agent_input(stopping, AgentInput::Stop);
    assert!(!world.agents[&stopping].is_idle());
    world.settle();
    assert!(world.agents[&stopping].is_idle());
    assert!(is_complete(world.answer(entry, handle), 4));
}

#[test]
fn a_job_is_refused_only_if_no_task_can_have_run() {
    // The deadline passes before a dispatch, while it is in flight, and after its arrival.
    for steps in 0..3 {
        let mut world = World::new(1, 1, 1, &[]);
        let entry = *world.entries.keys().next().unwrap();
        if steps == 0 {
            // Another job takes the only slot.
            world.submit(entry, submission(&key("z"), false, 1));
            world.deliver(0);
        }
        let mut job = submission(&key("a"), false, 1);
        job.deadline = Millis(100);
        let handle = world.submit(entry, job);
        for _ in 1..steps {
            world.deliver(0);
        }
        world.now = Millis(100);
        world.entry_input(entry, EntryInput::Tick);
        let answer = world.answer(entry, handle).cloned();
        let expected = if steps == 0 {
            Answer::Refused(Refusal::Deadline, None)
        } else {
            Answer::Failed(Failure::Deadline)
        };
        assert_eq!(answer, Some(expected), "steps={steps}");
        world.settle();
        let ran = world.starts.contains_key(&(key("a"), 0));
        assert!(steps > 0 || !ran, "refused although it ran");
    }
}

#[test]
fn a_request_marked_not_repeatable_runs_once_and_others_are_retried() {
    for repeatable in [false, true] {
        let mut world = World::new(1, 2, 1, &[]);
        let entry = *world.entries.keys().next().unwrap();
        let mut request = submission(&key("a"), false, 1);
        request.kind = JobKind::Request { repeatable };
        let handle = world.submit(entry, request);
        world.deliver(0);
        world.fail(0);
        world.settle();
        let answer = world.answer(entry, handle);
        let total = world.total_starts();
        if repeatable {
            assert!(matches!(answer, Some(Answer::Complete(_))), "{answer:?}");
            assert_eq!(total, 2);
        } else {
            assert!(matches!(answer, Some(Answer::Failed(_))), "{answer:?}");
            assert_eq!(total, 1);
        }
    }
}

#[test]
fn an_undefined_transition_is_an_error_and_changes_nothing() {
    let mut gate = fulmardrift::StartGate::new(Incarnation(1)).unwrap();
    let done = TaskStatus::Done {
        body: bytes::Bytes::new(),
        run: Millis(1),
    };
    assert!(gate.finish(Millis(1), &key("a"), 0, done).is_err());
    assert!(gate.status(&key("a"), 0).is_none());
    let listed = gate.inventory(Millis(1), &key("a"), Generation(2));
    assert!(listed.is_empty());
}

#[test]
fn an_entry_that_was_declared_dead_claims_again_under_its_new_incarnation() {
    let mut world = World::new(1, 1, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let handle = world.submit(entry, submission(&key("a"), true, 2));
    world.deliver(0);
    world.deliver(0);
    world.deliver(0);
    let agent = agents(&world)[0];
    let rejoined = world.add_entry("again");
    world.entries.remove(&rejoined);
    let mut resumed = world.entries.remove(&entry).unwrap();
    world.declare_dead(entry);
    let mut out = Vec::new();
    resumed
        .step(world.now, EntryInput::Rejoined(rejoined), &mut out)
        .unwrap();
    assert_eq!(resumed.state(&key("a")), Some(JobState::Claiming));
    world.entries.insert(rejoined, resumed);
    world.agent_input(agent, AgentInput::EntryDead(entry));
    world.renew_entry_lease(rejoined);
    world.link(rejoined, agent);
    for output in out {
        if let fulmardrift::EntryOutput::Claim(handle, key, digest) = output {
            world
                .messages
                .push(fakes::Message::Claim(rejoined, handle, key, digest));
        }
    }
    world.settle();
    assert!(
        is_complete(world.answer(rejoined, handle), 2),
        "{:?}",
        world.entries[&rejoined]
    );
    assert_eq!((world.most_starts(), world.total_starts()), (1, 2));
    assert_eq!(SERVICE, "proof");
}

#[test]
fn a_job_whose_claim_was_not_answered_is_never_refused() {
    // The job runs at the first entry; the claim of the second is never answered.
    for deadline in [false, true] {
        let mut world = World::new(2, 1, 1, &[]);
        let (first, second) = entries(&world);
        world.submit(first, submission(&key("a"), true, 1));
        while !world.messages.is_empty() {
            world.deliver(0);
        }
        assert_eq!(world.total_starts(), 1);
        let mut again = submission(&key("a"), true, 1);
        again.deadline = Millis(100);
        let handle = world.submit(second, again.clone());
        world.messages.clear();
        if deadline {
            world.now = Millis(100);
            world.entry_input(second, EntryInput::Tick);
        } else {
            let unknown = fulmardrift::ClaimResult::Unknown;
            world.entry_input(second, EntryInput::Claimed(handle, unknown));
        }
        let answer = world.answer(second, handle);
        assert!(
            matches!(answer, Some(Answer::Failed(_))),
            "deadline={deadline}: {answer:?}"
        );
        // A resubmission claims again and gets the one answer.
        again.deadline = Millis(1_000_000);
        let handle = world.submit(second, again);
        world.settle();
        let answer = world.answer(second, handle);
        let is_answered = matches!(answer, Some(Answer::Relayed { status: 200, .. }));
        assert!(is_answered, "deadline={deadline}: {answer:?}");
        assert_eq!(world.total_starts(), 1);
    }
}
