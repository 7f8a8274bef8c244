//! Recorded traces through the decisions, against outcomes stated beforehand.

use std::collections::BTreeMap;
use std::path::Path;

use fulmardrift::{
    Answer, DispatchNumber, Entry, EntryInput, EntryLimits, EntryOutput, Incarnation, JobKey,
    Millis, TaskStatus, TraceLine,
};
use serde::Deserialize;

/// What the brief promises of a trace; written beside it as `NAME.toml`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stated {
    /// The data centre of the entry that was recorded.
    home: String,
    /// The promise, in words.
    promise: String,
    complete: usize,
    /// Answers `failed` and `refused` together.
    not_complete: usize,
    /// Of these the refused ones, where the promise fixes them.
    refused: Option<usize>,
    /// Answers that another entry gave.
    #[serde(default)]
    relayed: usize,
    /// Tasks whose end this entry heard of, where the promise fixes them.
    started: Option<usize>,
}

#[derive(Default)]
struct Seen {
    answers: Vec<Answer>,
    // Dispatches without a final word, by task.
    out: BTreeMap<(JobKey, u32), DispatchNumber>,
    started: BTreeMap<(JobKey, u32), u32>,
}

impl Seen {
    fn output(&mut self, output: EntryOutput) {
        match output {
            EntryOutput::Answer(_, answer) => self.answers.push(answer),
            EntryOutput::Dispatch(_, _, dispatch) => {
                let task = (dispatch.job.clone(), dispatch.task);
                let former = self.out.insert(task.clone(), dispatch.number);
                assert!(
                    former.is_none(),
                    "{task:?} sent twice without the word not run"
                );
                assert!(
                    !self.started.contains_key(&task),
                    "{task:?} sent after it ran"
                );
            }
            _ => {}
        }
    }

    /// Notes an agent's word; one for an older dispatch changes nothing.
    fn input(&mut self, input: &EntryInput) {
        let EntryInput::Verdict(verdict) = input else {
            return;
        };
        let task = (verdict.job.clone(), verdict.task);
        if self.out.get(&task) != Some(&verdict.number) {
            return;
        }
        match verdict.status {
            TaskStatus::NotRun(_) => {
                self.out.remove(&task);
            }
            TaskStatus::Done { .. } | TaskStatus::Failed { .. } => {
                self.out.remove(&task);
                *self.started.entry(task).or_default() += 1;
            }
            TaskStatus::Queued | TaskStatus::Running => {}
        }
    }
}

fn replay(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let stated: Stated = toml::from_str(&std::fs::read_to_string(path.with_extension("toml"))?)?;
    let mut entry = Entry::new(Incarnation(0), &stated.home, EntryLimits::default())?;
    let mut seen = Seen::default();
    for line in text.lines() {
        let line: TraceLine = serde_json::from_str(line)?;
        seen.input(&line.input);
        step(&mut entry, line.now, line.input, &mut seen);
    }
    let count = |wanted: fn(&Answer) -> bool| seen.answers.iter().filter(|a| wanted(a)).count();
    let name = &stated.promise;
    let complete = count(|a| matches!(a, Answer::Complete(_)));
    let failed = count(|a| matches!(a, Answer::Failed(_)));
    let refused = count(|a| matches!(a, Answer::Refused(..)));
    let relayed = count(|a| matches!(a, Answer::Relayed { .. }));
    let ended = seen.started.len();
    assert_eq!(complete, stated.complete, "complete: {name}");
    assert_eq!(
        failed + refused,
        stated.not_complete,
        "not complete: {name}"
    );
    assert_eq!(
        stated.refused.unwrap_or(refused),
        refused,
        "refused: {name}"
    );
    assert_eq!(relayed, stated.relayed, "relayed: {name}");
    assert_eq!(stated.started.unwrap_or(ended), ended, "started: {name}");
    assert!(
        seen.started.values().all(|n| *n == 1),
        "started twice: {name}"
    );
    Ok(())
}

fn step(entry: &mut Entry, now: Millis, input: EntryInput, seen: &mut Seen) {
    let mut out = Vec::new();
    // What a chart refuses is ignored, as the process does.
    let _ = entry.step(now, input, &mut out);
    for output in out {
        seen.output(output);
    }
}

datatest_stable::harness! {
    { test = replay, root = "tests/traces", pattern = r".*\.jsonl$" },
}
