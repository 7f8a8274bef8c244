//! Transient jobs whose callers send them again after other times than the default, in virtual
//! time.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;

use fulmardrift::{
    CallReply, CallRouterInput, JobGuard, JobId, JobStatus, Millis, TimeLimits, Times,
};

use fleet::{Fleet, job, submit};

const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);
/// Times after which callers send a job again, in milliseconds.
const RESEND_MS: [u64; 7] = [0, 200, 500, 650, 900, 1_300, 2_600];

fn limits(resend_ms: u64) -> TimeLimits {
    TimeLimits {
        resend: Millis(resend_ms),
        ..TimeLimits::default()
    }
}

/// Plays in which a job is sent again after its entry is lost; returns those with two runs of a task
/// at a time, by the time before the loss.
fn play(resend_ms: u64, disabled: &[JobGuard], lose: impl Fn(&mut Fleet)) -> Vec<u64> {
    let mut broken = Vec::new();
    for before in (40..300).step_by(20) {
        let mut fleet = Fleet::with_limits(2, 3, 2_000, disabled, limits(resend_ms));
        for slot in &mut fleet.agents {
            slot.server.slow_clock_percent = 2;
        }
        fleet.call(0, 1, submit(JobId(7), job(3, 2_000, true)), 9_000);
        // Until the job is ordered, however long it waits.
        fleet.run(Times::new(limits(resend_ms)).order_wait.0 + before);
        lose(&mut fleet);
        fleet.run(resend_ms);
        fleet.call(1, 2, submit(JobId(7), job(3, 2_000, true)), 9_000);
        fleet.run(6_000);
        assert_eq!(fleet.answer(1, 2), Some(&COMPLETED), "resend {resend_ms}");
        if !fleet.overlaps().is_empty() {
            broken.push(before);
        }
    }
    broken
}

/// Guards against two runs of a task at a time (TWICE): callers sent their jobs again before the
/// grants of the entry that they had lost were over.
#[test]
fn a_job_that_is_sent_again_early_never_runs_twice_at_a_time() {
    for resend_ms in RESEND_MS {
        let killed = play(resend_ms, &[], |fleet| fleet.kill_entry(0));
        assert_eq!(killed, [0; 0], "killed, resend {resend_ms}");
        let frozen = play(resend_ms, &[], |fleet| fleet.entries[0].frozen = true);
        assert_eq!(frozen, [0; 0], "frozen, resend {resend_ms}");
        let cut = play(resend_ms, &[], |fleet| {
            fleet.cut.extend([(0, 0), (0, 1), (0, 2)]);
            fleet.router_input(0, CallRouterInput::Left(1));
        });
        assert_eq!(cut, [0; 0], "cut, resend {resend_ms}");
        let mute = play(resend_ms, &[], |fleet| {
            fleet.kill_entry(0);
            fleet.agents[0].frozen = true;
            fleet.agents[1].mute = true;
        });
        assert_eq!(
            mute, [0; 0],
            "killed beside other faults, resend {resend_ms}"
        );
    }
}

/// Shows that the wait before an order is needed where grants can't be short enough.
#[test]
fn without_the_wait_a_job_that_is_sent_again_early_runs_twice() {
    let broken = play(0, &[JobGuard::LateCall], |fleet| fleet.kill_entry(0));
    assert!(!broken.is_empty());
}

/// Guards against times that change for the default limits.
#[test]
fn the_default_limits_give_the_known_times() {
    let expected = Times {
        heartbeat: Millis(250),
        grant: Millis(800),
        stop_lead: Millis(200),
        late_age: Millis(234),
        max_silence: Millis(1_000),
        order_wait: Millis(0),
        keep_outcome: Millis(5_000),
        max_lease: Millis(1_000),
        lease: Millis(300),
        hold_wait: Millis(100),
    };
    assert_eq!(Times::default(), expected);
}

/// Guards against times that don't fit each other, whatever the limits are.
#[test]
fn times_fit_each_other_for_all_limits() {
    for resend in (0..4_000).step_by(20) {
        for stop in [0, 25, 50, 100, 1_000] {
            for max_lease in [100, 500, 1_000, 2_000] {
                let limits = TimeLimits {
                    resend: Millis(resend),
                    max_lease: Millis(max_lease),
                    stop: Millis(stop),
                };
                let times = Times::new(limits);
                // A grant outlasts its heartbeat and leaves time to stop.
                assert!(
                    times.grant > times.stop_lead + times.heartbeat,
                    "{limits:?}"
                );
                // Runs are over when a job that was sent again is ordered, 2% drift included.
                let ordered_after = limits.resend + times.order_wait - times.late_age;
                assert!(ordered_after.0 * 100 >= times.grant.0 * 102, "{limits:?}");
                assert!(times.lease <= limits.max_lease && times.hold_wait < times.lease);
                assert!(times.keep_outcome > limits.resend);
            }
        }
    }
}

/// Guards against a wait of each job where grants are over in time.
#[test]
fn jobs_wait_only_if_callers_may_send_them_again_early() {
    for (resend_ms, waits) in [
        (200, true),
        (400, true),
        (650, false),
        (900, false),
        (1_300, false),
    ] {
        let mut fleet = Fleet::with_limits(1, 2, 50, &[], limits(resend_ms));
        fleet.call(0, 1, submit(JobId(7), job(2, 50, true)), 1_500);
        fleet.run(10);
        assert_eq!(fleet.spans().is_empty(), waits, "resend {resend_ms}");
        fleet.run(700);
        assert_eq!(fleet.answer(0, 1), Some(&COMPLETED), "resend {resend_ms}");
    }
}
