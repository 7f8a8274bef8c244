//! A backend server is lost for good before it has answered a start. Guards against tasks that wait
//! for its next incarnation for ever, and against ones that start elsewhere too soon.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;
#[path = "fakes/stored.rs"]
mod stored;

use fulmardrift::{CallReply, JobId, JobStatus, Millis, TaskId};

use fleet::{Fleet, job, submit};
use stored::TestGroup;

const FIRST_TASK: TaskId = TaskId {
    job: JobId(1),
    step: 0,
    index: 0,
};

/// Runs the group for so long, with another agent connected. Returns true if that is ordered to
/// start a run.
fn starts_elsewhere_within(group: &mut TestGroup, ms: u64) -> bool {
    for _ in 0..ms / 100 {
        group.send_other_heartbeat(group.leader());
        group.run(100);
        if group.other_agent_has_order() {
            return true;
        }
    }
    false
}

#[test]
fn a_task_starts_elsewhere_if_the_connection_of_its_start_broke() {
    let mut group = TestGroup::new(300);
    group.server.deadly.push(FIRST_TASK);
    group.server.crash_age = Millis(0);
    group.server.is_lost = true;
    assert_eq!(
        group.ask(&submit(JobId(1), job(1, 300, false))),
        CallReply::Done
    );
    assert!(group.server.is_down());
    group.connect_other_agent(group.leader(), &[], &[]);
    assert!(starts_elsewhere_within(&mut group, 1_500));
}

#[test]
fn a_task_whose_start_may_arrive_late_starts_elsewhere_after_that_time() {
    let mut group = TestGroup::new(300);
    group.server.is_lost = true;
    group.is_mute = true;
    assert_eq!(
        group.ask(&submit(JobId(1), job(1, 300, false))),
        CallReply::Done
    );
    group.run(60);
    assert_eq!(group.server.run_count(), 1);
    let now = group.now;
    group.server.lose_power(now);
    group.is_mute = false;
    group.connect_other_agent(group.leader(), &[], &[]);
    // A next incarnation could execute the start until then: 15 s after it was given up.
    assert!(!starts_elsewhere_within(&mut group, 14_500));
    assert!(starts_elsewhere_within(&mut group, 1_500));
}

#[test]
fn a_transient_job_whose_start_broke_is_run_elsewhere() {
    let mut fleet = Fleet::new(1, 2, 100);
    let task = TaskId {
        job: JobId(7),
        ..FIRST_TASK
    };
    for slot in &mut fleet.agents {
        slot.server.crash_age = Millis(0);
        slot.server.is_lost = true;
    }
    fleet.make_deadly(task);
    fleet.call(0, 1, submit(JobId(7), job(1, 100, true)), 5_000);
    fleet.run(60);
    assert_eq!(
        fleet.agents.iter().filter(|a| a.server.is_down()).count(),
        1
    );
    for slot in &mut fleet.agents {
        slot.server.deadly.clear();
    }
    fleet.run(1_000);
    let completed = CallReply::State(JobStatus::Completed);
    assert_eq!(fleet.answer(0, 1), Some(&completed));
}
