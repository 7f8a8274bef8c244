//! Tasks that fit on no worker now: capacity is kept for them as runs end, and others use it until
//! then.

use std::sync::Arc;

use fulmardrift::{
    Call, CallReply, CallRouterInput, ClientAction, JobId, JobSpec, JobStatus, Millis,
};

use crate::fleet::{Fleet, config, job};

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);
const WAIT_MS: u64 = 20_000;

/// A fleet with queues of the priorities 0 and 1, whose jobs may wait for seconds.
fn patient_fleet(entries: usize, agents: usize) -> Fleet {
    let mut fleet = Fleet::new(entries, agents, 100);
    let mut config = config(2);
    config.queues[0].settings.target = Millis(10_000);
    let mut second = config.queues[0].clone();
    "/second/".clone_into(&mut second.prefix);
    second.settings.priority = 1;
    config.queues.push(second);
    let config = Arc::new(config);
    for entry in 0..entries {
        fleet.router_input(entry, CallRouterInput::Config(Arc::clone(&config)));
    }
    fleet
}

/// Submits one task that takes `cpu` and `ms`.
fn send(fleet: &mut Fleet, entry: usize, prefix: &str, id: u64, (cpu, ms): (u32, u64)) {
    let mut spec: JobSpec = job(1, ms, true);
    spec.payload = ms.to_string();
    spec.steps[0].need.cpu = cpu;
    let call = Call::Client {
        host: "desk.example".to_owned(),
        path: format!("{prefix}{}", JobId(id)),
        action: ClientAction::Submit(Some(spec)),
    };
    fleet.call(entry, id, call, WAIT_MS);
}

/// When the run of a job started, by virtual time.
fn started_at(fleet: &Fleet, id: u64) -> Option<Millis> {
    let spans = fleet.spans();
    let span = spans.iter().find(|span| span.task.job == JobId(id));
    span.map(|span| span.started_at)
}

/// Guards against a task that needs a whole worker and is passed over for ever, as each slot that
/// comes free is taken by a small task of another entry.
#[test]
fn a_large_task_is_not_passed_over_for_ever() {
    let mut fleet = patient_fleet(2, 1);
    let mut id = 1;
    for at in 0..3_000 {
        // Twice what the worker can do.
        if at % 13 == 0 {
            id += 1;
            let entry = usize::try_from(id % 2).unwrap();
            send(&mut fleet, entry, "/second/", id, (1_000, 100));
        }
        if at == 500 {
            send(&mut fleet, 1, "/jobs/", 1, (4_000, 100));
        }
        fleet.run(1);
    }
    // Small jobs that have no cost (one in eight) still come first.
    assert!(started_at(&fleet, 1).is_some());
}

/// Guards against capacity that stays unused until a large task fits, and against small tasks that
/// delay it.
#[test]
fn small_tasks_use_the_gap_if_they_end_before_the_large_one_can_start() {
    let mut fleet = patient_fleet(4, 1);
    for id in 1..=3 {
        send(&mut fleet, 0, "/jobs/", id, (1_000, 1_000));
    }
    fleet.run(50);
    let sent_at = fleet.now;
    send(&mut fleet, 1, "/jobs/", 4, (4_000, 100));
    fleet.run(50);
    // Too long for the gap.
    send(&mut fleet, 2, "/second/", 5, (1_000, 3_000));
    fleet.run(50);
    // Short enough.
    send(&mut fleet, 3, "/second/", 6, (1_000, 200));
    fleet.run(100);
    assert!(started_at(&fleet, 6).is_some());
    assert_eq!(started_at(&fleet, 5), None);
    fleet.run(1_000);
    let large = started_at(&fleet, 4).map(|at| at.since(sent_at));
    assert!(
        large.is_some_and(|after| after <= Millis(1_000)),
        "{large:?}"
    );
    fleet.run(3_500);
    assert_eq!(fleet.answer(2, 5), Some(&COMPLETED));
}

/// Guards against capacity that is kept again and again for a task that should soon fit, while a run
/// goes on far beyond its expected end.
#[test]
fn capacity_is_not_kept_for_long_beside_a_run_that_takes_far_longer() {
    let mut fleet = patient_fleet(3, 1);
    send(&mut fleet, 0, "/jobs/", 1, (1_000, 100));
    fleet.agents[0].server.is_hung = true;
    fleet.run(50);
    send(&mut fleet, 1, "/jobs/", 2, (4_000, 100));
    fleet.run(50);
    for id in 3..=5 {
        send(&mut fleet, 2, "/second/", id, (1_000, 3_000));
    }
    fleet.run(2_000);
    assert!((3..=5).all(|id| started_at(&fleet, id).is_some()));
}
