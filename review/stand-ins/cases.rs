//! The cases. Each judges only what clients and executors have seen.

use std::collections::HashMap;
use std::io;
use std::thread;
use std::time::Duration;

use crate::client::{Client, Job};
use crate::fleet::{Fleet, Size};
use crate::record::{Event, Record, What, unix_ms};

pub enum Verdict {
    Held(String),
    Broken(String),
    /// The disruption did not come about as meant.
    NotPlayed(String),
}

const POLL: Duration = Duration::from_millis(20);

pub fn play(case: &str, record: &Record, trouble: bool) -> io::Result<Verdict> {
    match case {
        "resubmitted" => resubmitted(record, trouble),
        "impossible" => impossible(record, trouble),
        "handover" => handover(record, trouble),
        _ => Err(io::ErrorKind::NotFound.into()),
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sixteen hexadecimal digits that differ from job to job and from test to test.
fn new_id(number: u64) -> String {
    let seed = unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number;
    let mixed = (seed ^ (seed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    format!("{:016x}", mixed ^ (mixed >> 29))
}

fn client_of(fleet: &Fleet, entries: u8) -> Client {
    Client {
        record: fleet.record.clone(),
        entries: (1..=entries).map(|number| fleet.entry(number)).collect(),
    }
}

/// Waits until the condition holds; false if it did not within the time.
fn wait_for(limit_ms: u64, mut condition: impl FnMut() -> bool) -> bool {
    let end = unix_ms() + limit_ms;
    while unix_ms() < end {
        if condition() {
            return true;
        }
        thread::sleep(POLL);
    }
    false
}

/// Best-effort jobs whose clients get no result in time hand them in again, as they may. Meanwhile
/// the process beside one executor is killed and started again.
fn resubmitted(record: &Record, trouble: bool) -> io::Result<Verdict> {
    const ENTRIES: u8 = 2;
    const JOBS: u64 = 8;
    const SPACING_MS: u64 = 60;
    const WORK_MS: u64 = 3_600;
    const DEADLINE: Duration = Duration::from_millis(1_500);
    const RESEND_MS: u64 = 1_300;
    // From the first job on; it falls into the time in which the first answers come.
    const KILL_AFTER_MS: u64 = 1_350;
    const DOWN_MS: u64 = 250;
    let size = Size {
        entries: ENTRIES,
        executors: 4,
        cpu: 64_000,
    };
    let mut fleet = Fleet::start(record.clone(), size)?;
    let client = client_of(&fleet, ENTRIES);
    let mut clients = Vec::new();
    let began = unix_ms();
    for number in 0..JOBS {
        let client = client.clone();
        let id = new_id(number);
        clients.push(thread::spawn(move || {
            let job = Job {
                id,
                tasks: 2,
                cpu: 6_200,
                work_ms: WORK_MS,
                best_effort: true,
            };
            sleep_ms(number * SPACING_MS);
            let first = client.run(0, &job, DEADLINE);
            if matches!(first, None | Some((502 | 504, _))) {
                sleep_ms(RESEND_MS);
                client.run(1, &job, DEADLINE);
            }
        }));
    }
    if trouble {
        sleep_ms(KILL_AFTER_MS.saturating_sub(unix_ms() - began));
        let number = fleet.next_to_beat();
        let (agent, id) = (format!("side-{number}"), fleet.executor_id(number));
        fleet.kill(&agent)?;
        record.note(&format!("the process beside {id} is killed"));
        sleep_ms(DOWN_MS);
        fleet.start_process(&agent)?;
        record.note(&format!("the process beside {id} is started again"));
    }
    for client in clients {
        client.join().expect("a client does not panic");
    }
    sleep_ms(WORK_MS);
    let doubled = overlaps(&record.events());
    Ok(match doubled.first() {
        Some(first) => Verdict::Broken(format!(
            "{} tasks ran twice at the same time; the first: {first}",
            doubled.len()
        )),
        None => Verdict::Held("no two runs of a task overlapped".to_owned()),
    })
}

/// The tasks of which two runs were at work at the same time.
fn overlaps(events: &[Event]) -> Vec<String> {
    let mut at_work: HashMap<&str, Vec<(u64, &str, u64)>> = HashMap::new();
    let mut found = Vec::new();
    let mut ordered: Vec<&Event> = events.iter().collect();
    ordered.sort_by_key(|event| event.at);
    for event in ordered {
        match &event.what {
            What::Start { task, run } => {
                let runs = at_work.entry(task).or_default();
                if let Some((other, executor, since)) = runs.first() {
                    found.push(format!(
                        "task {task} run {run} started on {} at {} ms, while run {other} was at \
                         work on {executor} since {since} ms",
                        event.executor, event.at
                    ));
                }
                runs.push((*run, &event.executor, event.at));
            }
            What::End { task, run, .. } => {
                let runs = at_work.entry(task).or_default();
                runs.retain(|(known, executor, _)| {
                    (*known, *executor) != (*run, event.executor.as_str())
                });
            }
            What::Beat => {}
        }
    }
    found
}

/// Jobs that fit on no executor come before others, which wait for a while as the executors are
/// full.
fn impossible(record: &Record, trouble: bool) -> io::Result<Verdict> {
    const ENTRIES: u8 = 2;
    const CPU: u64 = 8_000;
    const IMPOSSIBLE: u64 = 15;
    const GOOD: u64 = 40;
    const FULL_MS: u64 = 4_000;
    // `finish_s`, and the time for which nothing of a job may run then.
    const FINISH_MS: u64 = 14_000;
    const STILL_MS: u64 = 3_000;
    let size = Size {
        entries: ENTRIES,
        executors: 3,
        cpu: CPU,
    };
    let fleet = Fleet::start(record.clone(), size)?;
    let client = client_of(&fleet, ENTRIES);
    let mut accepted = true;
    if trouble {
        for number in 0..IMPOSSIBLE {
            let id = new_id(number);
            let job = Job {
                id,
                tasks: 1,
                cpu: 8 * CPU,
                work_ms: 300,
                best_effort: false,
            };
            accepted &= client.hand_in(&job);
        }
    }
    let id = new_id(1_000);
    let filling = Job {
        id,
        tasks: 12,
        cpu: CPU / 4,
        work_ms: FULL_MS,
        best_effort: false,
    };
    accepted &= client.hand_in(&filling);
    let mut good = Vec::new();
    for number in 0..GOOD {
        let id = new_id(2_000 + number);
        let job = Job {
            id,
            tasks: 1,
            cpu: 1_000,
            work_ms: 300,
            best_effort: false,
        };
        accepted &= client.hand_in(&job);
        good.push(job.id);
    }
    if !accepted {
        return Ok(Verdict::NotPlayed("a job was not accepted".to_owned()));
    }
    record.note("the last job is accepted; the clients wait");
    sleep_ms(FINISH_MS);
    let Some(left) = unfinished(&client, &good) else {
        return Ok(Verdict::NotPlayed(
            "the state of a job was not told".to_owned(),
        ));
    };
    let was_idle = fleet.is_idle();
    let starts = count_starts(record, &left);
    sleep_ms(STILL_MS);
    let Some(left) = unfinished(&client, &left) else {
        return Ok(Verdict::NotPlayed(
            "the state of a job was not told".to_owned(),
        ));
    };
    let stayed_idle = was_idle && fleet.is_idle() && count_starts(record, &left) == starts;
    if left.is_empty() {
        return Ok(Verdict::Held(
            "all jobs that can be done have completed".to_owned(),
        ));
    }
    if !stayed_idle {
        return Ok(Verdict::NotPlayed("the executors were not idle".to_owned()));
    }
    Ok(Verdict::Broken(format!(
        "{} accepted jobs that can be done did not start for {STILL_MS} ms, {FINISH_MS} ms after \
         the last was handed in, though all executors were idle",
        left.len()
    )))
}

/// The jobs that are not shown as completed; `None` if a state was not told.
fn unfinished(client: &Client, ids: &[String]) -> Option<Vec<String>> {
    let mut left = Vec::new();
    for id in ids {
        if client.state(id)? != "completed" {
            left.push(id.clone());
        }
    }
    Some(left)
}

fn count_starts(record: &Record, ids: &[String]) -> usize {
    let events = record.events();
    let of_job = |event: &&Event| match &event.what {
        What::Start { task, .. } => ids.iter().any(|id| task.starts_with(id.as_str())),
        _ => false,
    };
    events.iter().filter(of_job).count()
}

/// The leader of the control group is restarted as planned, while the executor that runs a stored
/// job's task does not answer.
fn handover(record: &Record, trouble: bool) -> io::Result<Verdict> {
    const ENTRIES: u8 = 2;
    const WORK_MS: u64 = 6_000;
    const BEFORE_MS: u64 = 1_000;
    const MUTE: Duration = Duration::from_millis(4_000);
    const END_MS: u64 = 14_000;
    let size = Size {
        entries: ENTRIES,
        executors: 4,
        cpu: 64_000,
    };
    let mut fleet = Fleet::start(record.clone(), size)?;
    let client = client_of(&fleet, ENTRIES);
    let job = Job {
        id: new_id(1),
        tasks: 1,
        cpu: 6_200,
        work_ms: WORK_MS,
        best_effort: false,
    };
    if !client.hand_in(&job) {
        return Ok(Verdict::NotPlayed("the job was not accepted".to_owned()));
    }
    sleep_ms(BEFORE_MS);
    let (Some(number), Some(leader)) = (fleet.executor_of(&job.id), fleet.leader()) else {
        return Ok(Verdict::NotPlayed(
            "nothing runs, or nobody leads".to_owned(),
        ));
    };
    if trouble {
        fleet.mute_executor(number, MUTE)?;
        record.note(&format!("executor {number} answers nothing for {MUTE:?}"));
    }
    let name = format!("core-{leader}");
    record.note(&format!("{name} gets SIGTERM"));
    fleet.terminate(&name)?;
    fleet.start_process(&name)?;
    record.note(&format!("{name} is started again"));
    let mut state = String::new();
    wait_for(END_MS, || {
        state = client.state(&job.id).unwrap_or_default();
        sleep_ms(500);
        state == "completed"
    });
    let doubled = overlaps(&record.events());
    Ok(match doubled.first() {
        Some(first) => Verdict::Broken(first.clone()),
        None => Verdict::Held(format!(
            "no two runs of a task overlapped; the job is {state}"
        )),
    })
}
