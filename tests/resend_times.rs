//! Transient jobs whose callers send them again after another time than the default, in virtual
//! time.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;

use fulmardrift::{JobId, Millis};

use fleet::{Fleet, job, submit};

/// Guards against two runs of a task at a time (TWICE): callers sent their jobs again before the
/// grants of the entry that they had lost were over.
#[test]
fn a_job_that_is_sent_again_early_never_runs_twice_at_a_time() {
    let mut broken = Vec::new();
    for resend in [200, 500, 650, 900, 1_300, 2_600] {
        for before in (40..300).step_by(20) {
            let mut fleet = Fleet::new(2, 3, 2_000);
            for slot in &mut fleet.agents {
                slot.server.slow_clock_percent = 2;
            }
            fleet.call(0, 1, submit(JobId(7), job(3, 2_000, true)), 9_000);
            fleet.run(before);
            fleet.kill_entry(0);
            fleet.run(resend);
            fleet.call(1, 2, submit(JobId(7), job(3, 2_000, true)), 9_000);
            fleet.run(6_000);
            assert!(fleet.answer(1, 2).is_some(), "resend {resend}");
            if !fleet.overlaps().is_empty() {
                broken.push((Millis(resend), before));
            }
        }
    }
    assert!(broken.is_empty(), "{} plays: {broken:?}", broken.len());
}
