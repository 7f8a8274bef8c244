//! Throughput of an entry's decisions on one core, in tasks dispatched and completed per second.

use bytes::Bytes;
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use fulmardrift::{
    Entry, EntryInput, EntryLimits, EntryOutput, Incarnation, JobHandle, JobKey, JobKind, Millis,
    Submission, TaskSpec, TaskStatus, Verdict,
};

const AGENTS: u64 = 10;
const SLOTS: u32 = 8;
const TASKS: u32 = 640;

fn entry() -> Entry {
    let mut entry = Entry::new(Incarnation(1), "dc1", EntryLimits::default()).unwrap();
    let mut out = Vec::new();
    let mut step = |input| entry.step(Millis(1), input, &mut out).unwrap();
    step(EntryInput::Lease(Millis(1_000_000_000)));
    for agent in 0..AGENTS {
        let agent = Incarnation(100 + agent);
        step(EntryInput::AgentUp {
            agent,
            service: "proof".to_owned(),
            data_centre: "dc1".to_owned(),
            open: true,
        });
        step(EntryInput::Linked(agent, SLOTS, Millis(1)));
        step(EntryInput::Credits(agent, SLOTS, Millis(1)));
    }
    entry
}

fn submission(handle: u64) -> Submission {
    Submission {
        handle: JobHandle(handle),
        key: JobKey {
            team: "desk".to_owned(),
            id: handle.to_string(),
        },
        digest: None,
        service: "proof".to_owned(),
        kind: JobKind::Job,
        tasks: (0..TASKS)
            .map(|i| TaskSpec {
                payload: Bytes::new(),
                declared: Some(Millis(u64::from(i) + 1)),
            })
            .collect(),
        deadline: Millis(1_000_000_000),
    }
}

/// Runs one job of 640 tasks from submission to answer.
fn job(entry: &mut Entry, handle: u64, now: Millis) {
    let mut out = Vec::new();
    entry
        .step(now, EntryInput::Submit(submission(handle)), &mut out)
        .unwrap();
    let mut next = 0;
    while next < out.len() {
        if let EntryOutput::Dispatch(_, _, d) = out[next].clone() {
            let status = TaskStatus::Done {
                body: Bytes::new(),
                run: Millis(100),
            };
            let verdict = Verdict {
                number: d.number,
                job: d.job,
                task: d.task,
                generation: d.generation,
                agent: d.agent,
                status,
            };
            entry
                .step(now, EntryInput::Credits(d.agent, 1, now), &mut out)
                .unwrap();
            entry
                .step(now, EntryInput::Verdict(verdict), &mut out)
                .unwrap();
        }
        next += 1;
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("entry");
    group.throughput(Throughput::Elements(u64::from(TASKS)));
    let mut entry = entry();
    let mut handle = 0;
    group.bench_function("dispatch", |b| {
        b.iter(|| {
            handle += 1;
            let now = Millis(handle * 1_000);
            entry
                .step(now, EntryInput::Lease(now + Millis(5_000)), &mut Vec::new())
                .unwrap();
            entry.step(now, EntryInput::Tick, &mut Vec::new()).unwrap();
            job(&mut entry, handle, now);
        });
    });
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
