//! The cases, each with the check of its rule.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

use crate::executor::{Kind, Trigger};
use crate::fleet::{Class, Fleet, Sizes};
use crate::http;
use crate::record::{Event, Seen};

/// Executors of the case with small tasks.
const SMALL_EXECUTORS: u8 = 2;
/// Clients of that case.
const CLIENTS: u8 = 18;
/// A client without an answer sends its job again after this time: `resend_ms`.
const RESEND: Duration = Duration::from_millis(1_300);
/// `finish_s`, in milliseconds.
const FINISH_MS: u64 = 14_000;
/// How long a job may stand still while there is capacity for it.
const STILL_MS: u64 = 3_000;

/// Executors of a service, as many as the site has.
const EXECUTORS: u8 = 11;
/// Tasks of 6.2 cores that fit on an executor.
const TASKS_EACH: u64 = 10;

fn executors(count: u8) -> Vec<Kind> {
    let zones = ["loom-a", "loom-b", "loom-c"];
    (0..count)
        .map(|number| Kind {
            id: format!("i-{number:08x}"),
            service: "monogram-desk".to_owned(),
            zone: zones[usize::from(number) % zones.len()].to_owned(),
            cpu: 64_000,
            mem_mb: 262_144,
            guards: true,
            heartbeat: Duration::from_millis(1_500),
        })
        .collect()
}

/// A configuration of one queue, with the prefix `/q/`.
fn config(version: u64, service: &str) -> String {
    let services: Vec<String> = ["monogram-desk", "stitch-desk"]
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":64,\
                 \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
                 \"enforces_capacity\":true,\"standby\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"nony24.example\",\
         \"path_prefix\":\"/q/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\
         \"target_latency_ms\":60,\"priority\":0,\"service\":\"{service}\",\"max_attempts\":3,\
         \"slack_factor\":1.6}}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        services.join(",")
    )
}

/// A job of one step that is stored.
fn job(count: u64, cpu: u64, ms: u64) -> String {
    format!(
        "{{\"spec\":\"cpu={cpu} ms={ms}\",\"phases\":[{{\"count\":{count},\"cpu\":{cpu},\
         \"mem_mb\":64,\"estimate_ms\":{ms}}}]}}"
    )
}

/// A start after a run of the same task of a stored job has ended `done`, where that end was taken
/// note of, and the lease of its executor had not lapsed in between. Also counts such tasks.
fn started_after_done(events: &[Event]) -> (usize, Option<(Event, Event)>) {
    let mut first = None;
    let mut count = 0;
    for (at, end) in events.iter().enumerate() {
        let Seen::End("done", number) = end.seen else {
            continue;
        };
        if !end.task.starts_with('1') {
            continue;
        }
        let mut later = events[at + 1..]
            .iter()
            .filter(|e| e.executor == end.executor);
        let noted = later.find_map(|event| match event.seen {
            Seen::Noted(upto) if upto >= number => Some(true),
            Seen::Lapsed | Seen::Crash => Some(false),
            _ => None,
        });
        if noted != Some(true) {
            continue;
        }
        let mut after = events[at + 1..].iter();
        if let Some(start) = after.find(|e| e.seen == Seen::Start && e.task == end.task) {
            count += 1;
            first.get_or_insert((end.clone(), start.clone()));
        }
    }
    (count, first)
}

/// A frontend is killed under a steady load of small tasks, most of them of stored jobs.
pub fn twice(folder: PathBuf, trouble: bool) -> ! {
    let sizes = Sizes {
        cores: 3,
        frontends: 3,
        executors: executors(SMALL_EXECUTORS),
    };
    let fleet = Arc::new(Fleet::start(folder, sizes, &config(1, "monogram-desk")));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (fleet, is_over) = (Arc::clone(&fleet), Arc::clone(&is_over));
        clients.push(thread::spawn(move || send_jobs(&fleet, client, &is_over)));
    }
    thread::sleep(Duration::from_secs(5));
    if trouble {
        fleet.kill((Class::Frontend, 0));
        thread::sleep(Duration::from_secs(1));
        fleet.spawn((Class::Frontend, 0), false);
    }
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, Relaxed);
    for client in clients {
        if client.join().is_err() {
            fleet.give_up("a client has failed");
        }
    }
    thread::sleep(Duration::from_secs(4));
    let (count, first) = started_after_done(&fleet.record.events());
    match first {
        Some((end, start)) => fleet.finish(
            true,
            &format!(
                "{count} tasks of stored jobs were started after they had ended done; the first: \
                 {} ended done as run {} at {} ms on {}, which was taken note of, and was started \
                 again as run {} at {} ms on {}",
                end.task, end.run, end.at, end.executor, start.run, start.at, start.executor
            ),
        ),
        None => fleet.finish(false, "no task was started after it had ended done"),
    }
}

/// Hands jobs in, one after the other: every third client `best_effort` jobs, the others stored ones.
fn send_jobs(fleet: &Fleet, client: u8, is_over: &AtomicBool) {
    let is_stored = client % 3 != 0;
    let mut number = 0;
    while !is_over.load(Relaxed) {
        number += 1;
        let path = format!("/q/{}{client:03x}{number:012x}", u8::from(is_stored));
        let body = if is_stored {
            job(8, 500, 100)
        } else {
            job(2, 500, 300).replace("{\"spec\"", "{\"best_effort\":true,\"spec\"")
        };
        // Clients stay with their frontend, and go to the next one after a failure.
        for attempt in 0..3 {
            let reply = fleet.client((client / 3 + attempt) % 3, ("POST", &path), &body);
            let status = reply.map_or(0, |reply| reply.status);
            if !matches!(status, 0 | 502 | 504) {
                break;
            }
            fleet
                .record
                .note(format!("client {client} POST {path}: {status}"));
            thread::sleep(RESEND);
        }
        thread::sleep(Duration::from_millis(if is_stored { 90 } else { 10 }));
    }
}

/// An executor is lost for good while it receives a start.
pub fn stuck(folder: PathBuf, trouble: bool) -> ! {
    let sizes = Sizes {
        cores: 3,
        frontends: 3,
        executors: executors(EXECUTORS),
    };
    let fleet = Fleet::start(folder, sizes, &config(1, "monogram-desk"));
    let path = "/q/00000000000000b1";
    if trouble {
        let trigger = Trigger::default();
        for executor in &fleet.executors {
            executor.crash_on("00000000000000b1", &trigger);
        }
    }
    fleet.submit(path, &job(6, 6_200, 400));
    fleet.await_state(path, &["completed", "failed"], FINISH_MS);
    // From here on the job must not stand still.
    let since = fleet.record.now();
    let mut moved_at = since;
    let mut state = fleet.state(path);
    while fleet.record.now() < since + 2 * STILL_MS {
        let runs = fleet
            .executors
            .iter()
            .map(|e| e.running().len())
            .sum::<usize>();
        state = fleet.state(path);
        if runs > 0 || state == "completed" {
            moved_at = fleet.record.now();
        }
        thread::sleep(Duration::from_millis(50));
    }
    let still = fleet.record.now() - moved_at;
    let free: Vec<u64> = fleet
        .executors
        .iter()
        .filter(|e| !e.is_down())
        .map(|e| 64_000 - e.used())
        .collect();
    fleet.record.note(format!(
        "the job is {state:?}; nothing of it has run for {still} ms; free cpu on the executors \
         that are up: {free:?}"
    ));
    fleet.finish(
        state != "completed" && still >= STILL_MS,
        &format!("{path} is {state:?} {FINISH_MS} ms after it was handed in"),
    )
}

/// The queue is sent to another service while jobs of it wait.
pub fn pending(folder: PathBuf, trouble: bool) -> ! {
    let sizes = Sizes {
        cores: 3,
        frontends: 3,
        executors: executors(EXECUTORS),
    };
    let fleet = Fleet::start(folder, sizes, &config(1, "monogram-desk"));
    // Takes all executors.
    let tasks = u64::from(EXECUTORS) * TASKS_EACH;
    fleet.submit("/q/00000000000000d0", &job(tasks, 6_200, 40_000));
    thread::sleep(Duration::from_secs(2));
    for number in 1..=10 {
        fleet.submit(
            &format!("/q/00000000000000e{number:x}"),
            &job(1, 6_200, 100),
        );
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        fleet.configure(&config(2, "stitch-desk"));
    }
    // More than `visible_ms` + 2 s after the last was accepted, and `contact_ms` of calm.
    thread::sleep(Duration::from_secs(8));
    let events = fleet.record.events();
    let begun = |e: &&Event| e.seen == Seen::Start && e.task.starts_with("00000000000000e");
    let begun = events.iter().filter(begun).count();
    let mut least = u64::MAX;
    for frontend in 0..3 {
        let reply = fleet.client(frontend, ("GET", "/q/"), "");
        let text = reply.map_or(String::new(), |reply| reply.body);
        fleet
            .record
            .note(format!("client GET /q/ at frontend-{frontend}: {text}"));
        least = least.min(http::number(&text, "pending").unwrap_or(u64::MAX));
    }
    fleet.finish(
        least < 5 && begun == 0,
        &format!(
            "10 jobs have waited for over 8 s, {begun} of them have begun, pending is {least}"
        ),
    )
}

/// Two of five cores lose their disks right after the first configuration was acknowledged.
pub fn first(folder: PathBuf, trouble: bool) -> ! {
    let sizes = Sizes {
        cores: 5,
        frontends: 0,
        executors: Vec::new(),
    };
    let fleet = Fleet::begin(folder, sizes);
    let config = config(1, "monogram-desk");
    let mut acknowledged_by = None;
    while acknowledged_by.is_none() && fleet.record.now() < 20_000 {
        let took = |core: &u8| {
            let reply = fleet.operate_at(*core, ("PUT", "/config"), &config);
            reply.is_ok_and(|reply| reply.status == 200)
        };
        acknowledged_by = (0..5).find(took);
        thread::sleep(Duration::from_millis(5));
    }
    let Some(core) = acknowledged_by else {
        fleet.give_up("the first configuration is not acknowledged");
    };
    fleet.record.note(format!(
        "PUT /config version 1 is acknowledged by core-{core}"
    ));
    if trouble {
        // That core, and another one of the seeds.
        let others = [core, (core + 1) % 3];
        for core in others {
            fleet.kill((Class::Core, core));
        }
        for core in others {
            fleet.lose_disk(core);
        }
        thread::sleep(Duration::from_secs(1));
        for core in others {
            fleet.spawn((Class::Core, core), false);
        }
    }
    // Longer than `recovery_s` of 15 s.
    let until = fleet.record.now() + 30_000;
    let mut read = None;
    while fleet.record.now() < until && read.is_none() {
        thread::sleep(Duration::from_millis(500));
        let answers = (0..5).filter_map(|core| fleet.operate_at(core, ("GET", "/config"), "").ok());
        read = answers.into_iter().find(|reply| reply.status == 200);
    }
    let version = read
        .as_ref()
        .and_then(|reply| http::number(&reply.body, "version"));
    fleet.finish(
        version != Some(1),
        &format!("version 1 was acknowledged; read back within 30 s: {version:?}"),
    )
}
