//! All processes were down at the same time: jobs wait until the entries have a configuration.

use std::sync::Arc;

use fulmardrift::{CallReply, CallRouterInput, JobId, JobStatus, Millis};

use crate::fleet::{Fleet, config, job, submit};

const ENTRIES: usize = 10;
const AGENTS: usize = 20;
const WORK_MS: u64 = 51;
const TASKS: u32 = 4;
const WAIT_MS: u64 = 1_440;
/// Time until the group has elected a leader, which sends the configuration.
const LEADERLESS_MS: u64 = 490;
/// Interval of the fake fleet's heartbeats.
const HEARTBEAT_MS: u64 = 250;
const COMPLETED: CallReply = CallReply::State(JobStatus::Completed);

/// Restarts all entries and agents, with a job at one of the entries every `every` ms. Returns the
/// fleet and the entry and time of each job, from number 1.
fn restart(every: u64) -> (Fleet, Vec<(usize, Millis)>) {
    let mut fleet = Fleet::new(ENTRIES, AGENTS, WORK_MS);
    for entry in 0..ENTRIES {
        fleet.kill_entry(entry);
    }
    for agent in 0..AGENTS {
        fleet.restart_agent(agent);
    }
    fleet.cut = (0..ENTRIES)
        .flat_map(|entry| (0..AGENTS).map(move |agent| (entry, agent)))
        .collect();
    // Leases that an earlier life of the agents may have given are over by then.
    fleet.run(1_000);
    // Sessions open with a heartbeat, as those of real agents do.
    while (fleet.now.0 + LEADERLESS_MS) % HEARTBEAT_MS != HEARTBEAT_MS - 5 {
        fleet.run(1);
    }
    for entry in 0..ENTRIES {
        fleet.start_entry_without_config(entry);
    }
    let mut jobs: Vec<(usize, Millis)> = Vec::new();
    for ms in 0..LEADERLESS_MS {
        if ms % every == 0 {
            // Steps that have no divisor in common with the number of entries.
            let entry = jobs.len() * 7 % ENTRIES;
            jobs.push((entry, fleet.now));
            let id = jobs.len() as u64;
            let call = submit(JobId(id), job(TASKS, WORK_MS, true));
            fleet.call(entry, id, call, WAIT_MS);
        }
        fleet.run(1);
    }
    for entry in 0..ENTRIES {
        fleet.router_input(entry, CallRouterInput::Entries(ENTRIES));
        fleet.router_input(entry, CallRouterInput::Config(Arc::new(config(1))));
    }
    fleet.cut.clear();
    (fleet, jobs)
}

/// Guards against jobs that are given up as overdue once the entries are up again, though there is
/// capacity for all.
#[test]
fn jobs_that_waited_for_a_restart_are_served_before_their_deadline() {
    for every in [10, 20] {
        let (mut fleet, jobs) = restart(every);
        fleet.run(2 * WAIT_MS);
        for (id, (entry, at)) in (1..).zip(&jobs) {
            let answer = fleet.answer(*entry, id);
            assert_eq!(
                answer,
                Some(&COMPLETED),
                "sent at {at:?}, one each {every} ms"
            );
        }
        assert_eq!(fleet.overlaps(), []);
    }
}

/// Guards against entries that all take a worker for empty after a restart, so that most of their
/// first orders are denied.
#[test]
fn few_first_orders_are_denied_after_a_restart() {
    let (mut fleet, jobs) = restart(5);
    let (orders, denied) = (fleet.start_orders, fleet.denied_for_room);
    fleet.run(400);
    let (orders, denied) = (fleet.start_orders - orders, fleet.denied_for_room - denied);
    assert!(orders >= jobs.len() as u64, "{orders} orders");
    assert!(denied * 10 < orders, "{denied} of {orders} denied");
}

/// Guards against jobs that wait for a configuration for more than half of their callers' time.
#[test]
fn jobs_are_refused_before_half_of_their_time_if_no_leader_is_found() {
    let mut fleet = Fleet::new(1, 1, WORK_MS);
    fleet.kill_entry(0);
    fleet.start_entry_without_config(0);
    fleet.call(0, 1, submit(JobId(1), job(1, WORK_MS, true)), WAIT_MS);
    fleet.run(WAIT_MS / 2);
    assert_eq!(fleet.answer(0, 1), Some(&CallReply::NoConfig));
}
