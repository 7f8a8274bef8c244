//! How a stopping entry divides its grace period.

use fulmardrift::{Millis, StopTimes};

/// Longest time between two turns of an entry, and that for the last responses to be sent, in
/// milliseconds.
const TURN_MS: u64 = 20;

/// Guards against margins that take more than a short grace period: the process was killed before it
/// had answered.
#[test]
fn a_process_ends_within_any_grace_period() {
    for grace in [500, 1_000, 2_000, 3_000, 6_000, 30_000] {
        let times = StopTimes::new(Millis(grace));
        let end = times.leaving + times.closing;
        assert!(end < Millis(grace), "{grace}: {times:?}");
        assert!(times.answers + Millis(TURN_MS) < end, "{grace}: {times:?}");
        assert!(times.closing > Millis(0), "{grace}: {times:?}");
    }
}
