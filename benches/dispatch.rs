//! Task decisions a second on one core: an entry that takes loose jobs, places their
//! tasks and learns of their ends, over fleets of several sizes.

use std::sync::Arc;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use fulmardrift::{
    Call, Desk, DeskInput, DeskOutput, Down, End, Ending, JobId, JobSpec, Millis, Order, Queue,
    Report, Resources, Server, SessionId, Setup, Step, Terms, Up, Want, Who,
};

const TASKS: u32 = 4;
const LIFE: u64 = 7;
const PATIENCE: Millis = Millis(1_000);

fn room(cpu: u32) -> Resources {
    Resources {
        cpu,
        memory: 64,
        gpu: 0,
    }
}

fn setup() -> Setup {
    Setup {
        version: 1,
        queues: vec![Queue {
            name: "q".to_owned(),
            host: "desk.example".to_owned(),
            prefix: "/jobs/".to_owned(),
            terms: Terms {
                service: "desk".to_owned(),
                priority: 0,
                attempts: 3,
                slack: 1_600,
                target: Millis(60),
            },
        }],
        unguarded: Vec::new(),
        document: Vec::new(),
    }
}

fn desk(workers: u64) -> Desk {
    let now = Millis(1);
    let mut desk = Desk::new(LIFE, now);
    let mut out = Vec::new();
    desk.step(now, DeskInput::Setup(Arc::new(setup())), &mut out);
    for id in 1..=workers {
        let session = SessionId(id);
        let hello = Up::Hello(Who::Agent(format!("agent{id}")));
        let mut capacity = room(64_000);
        capacity.memory = 262_144;
        let inventory = Report::Inventory {
            epoch: LIFE,
            server: Some(Server {
                life: 1,
                id: format!("s{id}"),
                service: "desk".to_owned(),
                place: format!("dc{}", id % 3),
                capacity,
                labels: Vec::new(),
                leaving: false,
            }),
            runs: Vec::new(),
        };
        desk.step(now, DeskInput::Up(session, hello), &mut out);
        desk.step(now, DeskInput::Up(session, Up::Report(inventory)), &mut out);
    }
    desk
}

fn spec() -> JobSpec {
    JobSpec {
        payload: "work".to_owned(),
        steps: vec![Step {
            count: TASKS,
            need: room(5_500),
            estimate: Millis(60),
            after: Vec::new(),
            label: None,
            rack: None,
            spread: 0,
        }],
        loose: true,
        unsupported: None,
    }
}

/// Takes one job from its submission to its answer.
fn job(desk: &mut Desk, number: u64, ends: &mut u64) {
    let now = Millis(2);
    let mut out = Vec::new();
    let call = Call::Client {
        host: "desk.example".to_owned(),
        path: format!("/jobs/{}", JobId(number)),
        want: Want::Submit(Some(spec())),
    };
    let input = DeskInput::Call {
        token: number,
        call,
        deadline: now + PATIENCE,
    };
    desk.step(now, input, &mut out);
    desk.flush(now, now, &mut out);
    let mut answered = false;
    let mut at = 0;
    while at < out.len() {
        if let DeskOutput::Down(session, Down::Order(Order::Start { task, run, .. })) = &out[at] {
            let (session, task, run) = (*session, *task, *run);
            *ends += 1;
            let end = End {
                task,
                run,
                how: Ending::Done,
            };
            let report = Report::Ends {
                life: 1,
                ends: vec![(*ends, end)],
            };
            desk.step(now, DeskInput::Up(session, Up::Report(report)), &mut out);
            desk.flush(now, now, &mut out);
        }
        answered |= matches!(out[at], DeskOutput::Answer(..));
        at += 1;
    }
    answered |= out.iter().any(|o| matches!(o, DeskOutput::Answer(..)));
    assert!(answered, "job {number} has no answer");
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("dispatch");
    group.throughput(Throughput::Elements(u64::from(TASKS)));
    for workers in [60, 600, 4_200] {
        let mut desk = desk(workers);
        let (mut number, mut ends) = (0, 0);
        let id = BenchmarkId::from_parameter(workers);
        group.bench_function(id, |b| {
            b.iter(|| {
                number += 1;
                job(&mut desk, number, &mut ends);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
