//! What a running control instance logs and measures of its followers. The recorder of the metrics
//! is one for the process, so this file has a single test.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;
#[path = "fakes/stored.rs"]
mod stored;

use fulmardrift::{metrics_text, start_metrics};
use stored::TestGroup;

/// Events that only a replica whose log is behind causes.
const EVENTS: [&str; 4] = ["follower-behind", "caught-up", "voter-silent", "log-behind"];

fn event_counts() -> [u64; 4] {
    let text = metrics_text();
    EVENTS.map(|event| {
        let prefix = format!("fulmardrift_events{{event=\"{event}\"}} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
        value.map_or(0, |value| value.parse().unwrap())
    })
}

/// A replica without the log, or gone, left no line and no metric.
#[test]
fn a_lost_disk_and_a_lost_voter_are_reported_and_measured() {
    start_metrics();
    let mut group = TestGroup::new(100);
    group.run(10_000);
    assert_eq!(event_counts(), [0, 0, 0, 0], "a calm group");

    let leader = group.leader();
    let follower = (leader + 1) % 3;
    group.wipe(follower);
    group.start(follower);
    group.run(5_000);
    assert_eq!(event_counts(), [0, 1, 0, 0]);
    let replica = follower + 1;
    let text = metrics_text();
    for line in [
        format!("fulmardrift_follower_missing_bytes{{replica=\"{replica}\"}} 0"),
        format!("fulmardrift_follower_missing_entries{{replica=\"{replica}\"}} 0"),
        format!("fulmardrift_follower_sent_bytes{{replica=\"{replica}\"}} "),
        "fulmardrift_log_bytes ".to_owned(),
    ] {
        assert!(text.contains(&line), "{line} is not in {text}");
    }

    group.kill(follower);
    group.run(9_000);
    assert_eq!(event_counts(), [0, 1, 2, 0]);
}
