//! What a new leader assumes of the runs that a former one has ordered, in virtual time.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;
#[path = "fakes/stored.rs"]
mod stored;

use fulmardrift::{CallReply, JobId};

use fleet::{job, submit};
use stored::TestGroup;

const WORK_MS: u64 = 8_000;

/// A group that has a new leader while an agent's backend server, which runs the only task, answers
/// nothing; with that leader.
fn group_with_mute_server() -> (TestGroup, usize) {
    let mut group = TestGroup::new(WORK_MS);
    let submit = submit(JobId(7), job(1, WORK_MS, false));
    assert_eq!(group.ask(&submit), CallReply::Done);
    while group.server.run_count() == 0 {
        group.run(1);
    }
    group.run(1_000);
    group.is_mute = true;
    let former = group.leader();
    group.kill(former);
    while !group.is_led() {
        group.run(1);
    }
    let leader = group.leader();
    (group, leader)
}

/// Guards against a second run of a task: the new leader counts an agent without an inventory as empty,
/// but renews its grant, with which it extends the lease of the run.
#[test]
fn a_task_starts_elsewhere_only_once_its_run_at_a_mute_backend_server_has_ended() {
    let (mut group, leader) = group_with_mute_server();
    group.connect_other_agent(leader, &[], &[]);
    for _ in 0..80 {
        group.run(50);
        group.send_other_heartbeat(leader);
        let starts = group.other_agent_has_order();
        assert!(!starts || group.server.run_count() == 0, "both run");
    }
    assert!(group.other_agent_has_order());
}

/// Guards against a run that is stopped although its agent lists it in time.
#[test]
fn a_run_goes_on_if_its_backend_server_answers_soon_after_a_takeover() {
    let (mut group, _) = group_with_mute_server();
    group.run(400);
    group.is_mute = false;
    group.run(WORK_MS);
    assert_eq!(group.server.spans.len(), 1);
    assert!(
        group.server.spans[0]
            .outcome
            .is_some_and(|o| o == fulmardrift::RunOutcome::Done)
    );
}
