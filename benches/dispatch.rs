//! Measures task decisions per second on one core: an entry that accepts transient jobs, places
//! their tasks and handles their ends, for fleets of several sizes.

use std::sync::Arc;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use fulmardrift::{
    AcceptorMessage, AgentOrder, AgentReport, Call, CallRouter, CallRouterInput, CallRouterOutput,
    ClientAction, Initiator, InitiatorMessage, JobId, JobSpec, Millis, OperatorConfig, Queue,
    QueueSettings, Resources, RunEnd, RunOutcome, SentAfter, Server, SessionId, Step, Times,
};

const TASKS: u32 = 4;
const LIFE: u64 = 7;
const TIMEOUT: Millis = Millis(1_000);

fn resources(cpu: u32) -> Resources {
    Resources {
        cpu,
        memory: 64,
        gpu: 0,
    }
}

fn config() -> OperatorConfig {
    OperatorConfig {
        version: 1,
        queues: vec![Queue {
            name: "q".to_owned(),
            host: "desk.example".to_owned(),
            prefix: "/jobs/".to_owned(),
            settings: QueueSettings {
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

fn router(workers: u64) -> CallRouter {
    let now = Millis(1);
    let mut router = CallRouter::new(LIFE, now, Times::default());
    let mut out = Vec::new();
    router.step(now, CallRouterInput::Config(Arc::new(config())), &mut out);
    for id in 1..=workers {
        let session = SessionId(id);
        let hello = InitiatorMessage::Hello(Initiator::Agent(format!("agent{id}")));
        let mut capacity = resources(64_000);
        capacity.memory = 262_144;
        let inventory = AgentReport::Inventory {
            epoch: LIFE,
            server: Some(Server {
                life: 1,
                id: format!("s{id}"),
                service: "desk".to_owned(),
                data_centre: format!("dc{}", id % 3),
                capacity,
                labels: Vec::new(),
                leaving: false,
            }),
            runs: Vec::new(),
        };
        router.step(now, CallRouterInput::Message(session, hello), &mut out);
        router.step(
            now,
            CallRouterInput::Message(session, InitiatorMessage::Report(inventory)),
            &mut out,
        );
    }
    router
}

fn job_spec() -> JobSpec {
    JobSpec {
        payload: "work".to_owned(),
        steps: vec![Step {
            count: TASKS,
            need: resources(5_500),
            estimate: Millis(60),
            after: Vec::new(),
            label: None,
            rack: None,
            max_per_worker: 0,
        }],
        transient: true,
        unsupported: None,
    }
}

/// Runs one job from its submission to its answer.
fn run_job(router: &mut CallRouter, number: u64, end_count: &mut u64) {
    let now = Millis(2);
    let mut out = Vec::new();
    let call = Call::Client {
        host: "desk.example".to_owned(),
        path: format!("/jobs/{}", JobId(number)),
        action: ClientAction::Submit(Some(job_spec())),
    };
    let input = CallRouterInput::Call {
        token: number,
        call,
        sent: SentAfter {
            surely: now,
            usually: now,
        },
        deadline: now + TIMEOUT,
    };
    router.step(now, input, &mut out);
    router.flush(now, now, &mut out);
    let mut answered = false;
    let mut at = 0;
    while at < out.len() {
        if let CallRouterOutput::Message(
            session,
            AcceptorMessage::Order(AgentOrder::Start { task, run, .. }),
        ) = &out[at]
        {
            let (session, task, run) = (*session, *task, *run);
            *end_count += 1;
            let end = RunEnd {
                task,
                run,
                outcome: RunOutcome::Done,
            };
            let report = AgentReport::Ends {
                life: 1,
                ends: vec![(*end_count, end)],
            };
            router.step(
                now,
                CallRouterInput::Message(session, InitiatorMessage::Report(report)),
                &mut out,
            );
            router.flush(now, now, &mut out);
        }
        answered |= matches!(out[at], CallRouterOutput::Answer(..));
        at += 1;
    }
    answered |= out
        .iter()
        .any(|o| matches!(o, CallRouterOutput::Answer(..)));
    assert!(answered, "job {number} was not answered");
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("dispatch");
    group.throughput(Throughput::Elements(u64::from(TASKS)));
    for workers in [60, 600, 4_200] {
        let mut router = router(workers);
        let (mut number, mut end_count) = (0, 0);
        let id = BenchmarkId::from_parameter(workers);
        group.bench_function(id, |b| {
            b.iter(|| {
                number += 1;
                run_job(&mut router, number, &mut end_count);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
