//! Limits of an entry: queue length, retry budget, team shares, mass cancellation, the circuit
//! breaker, and refusals.

mod fakes;

use fakes::{World, key, submission};
use fulmardrift::{Answer, EntryInput, Failure, Incarnation, JobKind, Millis, Refusal};

fn agents(world: &World) -> Vec<Incarnation> {
    world.agents.keys().copied().collect()
}

fn is_complete(answer: Option<&Answer>, tasks: usize) -> bool {
    matches!(answer, Some(Answer::Complete(results)) if results.len() == tasks)
}

#[test]
fn a_stopping_entry_refuses_new_jobs_and_answers_the_others() {
    let mut world = World::new(1, 1, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let before = world.submit(entry, submission(&key("a"), false, 3));
    world.entry_input(entry, EntryInput::Stop);
    let after = world.submit(entry, submission(&key("b"), false, 1));
    let refused = Answer::Refused(Refusal::Stopping, None);
    assert_eq!(world.answer(entry, after), Some(&refused));
    world.settle();
    assert!(is_complete(world.answer(entry, before), 3));
    assert!(world.entries[&entry].is_idle());
}

#[test]
fn a_job_without_a_backend_server_is_refused_after_the_grace_period() {
    let mut world = World::new(1, 1, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let mut job = submission(&key("a"), false, 1);
    job.service = "nowhere".to_owned();
    let handle = world.submit(entry, job);
    world.entry_input(entry, EntryInput::Tick);
    assert!(world.answer(entry, handle).is_none());
    world.now = Millis(5_100);
    world.entry_input(entry, EntryInput::Tick);
    let refused = Answer::Refused(Refusal::NeverFits, None);
    assert_eq!(world.answer(entry, handle), Some(&refused));
}

#[test]
fn mass_cancellation_starts_no_further_tasks() {
    let mut world = World::new(1, 2, 2, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let jobs: Vec<_> = (0..2_000)
        .map(|i| {
            let key = key(&format!("j{i}"));
            let mut job = submission(&key, false, 3);
            for task in &mut job.tasks {
                task.declared = Some(Millis(1));
            }
            (world.submit(entry, job), key)
        })
        .collect();
    while !world.messages.is_empty() {
        world.deliver(0);
    }
    let started = world.total_starts();
    for (_, key) in &jobs {
        world.entry_input(entry, EntryInput::Cancel(key.clone()));
    }
    // One message for each job and agent with an unfinished dispatch of it, and no other.
    assert!(
        world.messages.len() <= started as usize,
        "{} messages",
        world.messages.len()
    );
    world.settle();
    assert_eq!(world.total_starts(), started);
    for (handle, key) in jobs {
        let ran = world.starts.keys().any(|(job, _)| *job == key);
        match world.answer(entry, handle) {
            Some(Answer::Refused(Refusal::Cancelled, None)) => assert!(!ran),
            Some(Answer::Failed(Failure::Cancelled)) => {}
            other => panic!("{key}: {other:?}"),
        }
    }
}

#[test]
fn a_worker_that_fails_every_task_fails_few_jobs() {
    let mut world = World::new(1, 5, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let broken = agents(&world)[0];
    let mut failed = 0;
    for i in 0..100 {
        let handle = world.submit(entry, submission(&key(&format!("j{i}")), false, 2));
        for _ in 0..50 {
            while !world.messages.is_empty() {
                world.deliver(0);
            }
            if world.running.is_empty() {
                break;
            }
            match world.running.iter().position(|d| d.agent == broken) {
                Some(at) => world.fail(at),
                None => world.finish(0),
            }
        }
        failed += u32::from(!is_complete(world.answer(entry, handle), 2));
        world.now = world.now + Millis(10);
        for agent in agents(&world) {
            world.renew_agent_lease(agent);
        }
        world.renew_entry_lease(entry);
    }
    // Three failures open the breaker, and single trials with growing pauses follow.
    assert!(failed <= 5, "{failed} of 100 jobs failed");
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut world = World::new(1, 2, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    for i in 0..200 {
        let mut request = submission(&key(&format!("r{i}")), false, 1);
        request.kind = JobKind::Request { repeatable: true };
        world.submit(entry, request);
        for _ in 0..20 {
            while !world.messages.is_empty() {
                world.deliver(0);
            }
            if world.running.is_empty() {
                break;
            }
            world.fail(0);
        }
        world.now = world.now + Millis(1);
    }
    // The budget starts with ten retries and gains one for every ten requests.
    let retried = world.entries[&entry].counts().retried;
    assert!(retried <= 31, "{retried} retries");
}

#[test]
fn overload_is_refused_early_with_a_retry_time() {
    let mut world = World::new(1, 1, 1, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let mut refused = 0;
    for i in 0..40 {
        let mut job = submission(&key(&format!("j{i}")), false, 100);
        for task in &mut job.tasks {
            task.declared = Some(Millis(200));
        }
        let handle = world.submit(entry, job);
        if let Some(Answer::Refused(Refusal::Overload, Some(retry))) = world.answer(entry, handle) {
            assert!(*retry > Millis(0));
            refused += 1;
        }
    }
    // One minute of work for the single slot is accepted, and the rest is refused.
    assert!((35..40).contains(&refused), "{refused} refused");
}

#[test]
fn teams_share_by_weight_and_stay_under_their_caps() {
    let mut world = World::new(1, 1, 8, &[]);
    let entry = *world.entries.keys().next().unwrap();
    let limit = |team: &str, share, cap| fulmardrift::TeamLimits {
        team: team.to_owned(),
        share,
        cap,
    };
    let limits = vec![
        limit("desk", 3, None),
        limit("depot", 1, None),
        limit("tiny", 1, Some(1)),
    ];
    world.entry_input(entry, EntryInput::Teams(limits));
    for team in ["desk", "depot", "tiny"] {
        let mut job = submission(&key("a"), false, 200);
        job.key.team = team.to_owned();
        world.submit(entry, job);
    }
    for _ in 0..100 {
        while !world.messages.is_empty() {
            world.deliver(0);
        }
        let tiny = world
            .running
            .iter()
            .filter(|d| d.job.team == "tiny")
            .count();
        assert!(tiny <= 1, "over its cap: {tiny}");
        world.finish(0);
    }
    let count = |team: &str| {
        let started = world.starts.keys().filter(|(job, _)| job.team == team);
        u32::try_from(started.count()).unwrap()
    };
    let (desk, depot) = (count("desk"), count("depot"));
    assert!(
        desk >= 2 * depot && desk <= 4 * depot + 8,
        "desk {desk}, depot {depot}"
    );
}
