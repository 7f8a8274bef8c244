//! Replays recorded input traces through an entry and compares the answers with the expected ones.

use std::collections::BTreeMap;
use std::path::Path;

use fulmardrift::{
    Answer, DispatchNumber, Entry, EntryInput, EntryLimits, EntryOutput, Incarnation, JobKey,
    Millis, TaskStatus, TraceLine,
};
use serde::Deserialize;

/// The expected outcome of a trace, from the file `NAME.toml` beside it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    /// The data centre of the recorded entry.
    home: String,
    /// The guarantee that the trace tests, for failure messages.
    promise: String,
    complete: usize,
    /// Number of answers that are `failed` or `refused`.
    not_complete: usize,
    /// The number of `refused` answers among them, if the guarantee determines it.
    refused: Option<usize>,
    /// Number of answers given by another entry.
    #[serde(default)]
    relayed: usize,
    /// Number of tasks whose end was reported to this entry, if the guarantee determines it.
    started: Option<usize>,
}

#[derive(Default)]
struct Observed {
    answers: Vec<Answer>,
    // Dispatches without a final verdict, by task.
    in_flight: BTreeMap<(JobKey, u32), DispatchNumber>,
    started: BTreeMap<(JobKey, u32), u32>,
}

impl Observed {
    fn output(&mut self, output: EntryOutput) {
        match output {
            EntryOutput::Answer(_, answer) => self.answers.push(answer),
            EntryOutput::Dispatch(_, _, dispatch) => {
                let task = (dispatch.job.clone(), dispatch.task);
                let previous = self.in_flight.insert(task.clone(), dispatch.number);
                assert!(
                    previous.is_none(),
                    "{task:?} dispatched twice without a not-run verdict"
                );
                assert!(
                    !self.started.contains_key(&task),
                    "{task:?} dispatched after it ran"
                );
            }
            _ => {}
        }
    }

    /// Processes a verdict. One for an older dispatch is ignored.
    fn input(&mut self, input: &EntryInput) {
        let EntryInput::Verdict(verdict) = input else {
            return;
        };
        let task = (verdict.job.clone(), verdict.task);
        if self.in_flight.get(&task) != Some(&verdict.number) {
            return;
        }
        match verdict.status {
            TaskStatus::NotRun(_) => {
                self.in_flight.remove(&task);
            }
            TaskStatus::Done { .. } | TaskStatus::Failed { .. } => {
                self.in_flight.remove(&task);
                *self.started.entry(task).or_default() += 1;
            }
            TaskStatus::Queued | TaskStatus::Running => {}
        }
    }
}

fn replay(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected: Expected =
        toml::from_str(&std::fs::read_to_string(path.with_extension("toml"))?)?;
    let mut entry = Entry::new(Incarnation(0), &expected.home, EntryLimits::default())?;
    let mut observed = Observed::default();
    for line in text.lines() {
        let line: TraceLine = serde_json::from_str(line)?;
        observed.input(&line.input);
        step(&mut entry, line.now, line.input, &mut observed);
    }
    let count =
        |matches: fn(&Answer) -> bool| observed.answers.iter().filter(|a| matches(a)).count();
    let name = &expected.promise;
    let complete = count(|a| matches!(a, Answer::Complete(_)));
    let failed = count(|a| matches!(a, Answer::Failed(_)));
    let refused = count(|a| matches!(a, Answer::Refused(..)));
    let relayed = count(|a| matches!(a, Answer::Relayed { .. }));
    let ended = observed.started.len();
    assert_eq!(complete, expected.complete, "complete: {name}");
    assert_eq!(
        failed + refused,
        expected.not_complete,
        "not complete: {name}"
    );
    assert_eq!(
        expected.refused.unwrap_or(refused),
        refused,
        "refused: {name}"
    );
    assert_eq!(relayed, expected.relayed, "relayed: {name}");
    assert_eq!(expected.started.unwrap_or(ended), ended, "started: {name}");
    assert!(
        observed.started.values().all(|n| *n == 1),
        "started twice: {name}"
    );
    Ok(())
}

fn step(entry: &mut Entry, now: Millis, input: EntryInput, observed: &mut Observed) {
    let mut out = Vec::new();
    // An input without a transition is ignored, as in the entry process.
    let _ = entry.step(now, input, &mut out);
    for output in out {
        observed.output(output);
    }
}

datatest_stable::harness! {
    { test = replay, root = "tests/traces", pattern = r".*\.jsonl$" },
}
