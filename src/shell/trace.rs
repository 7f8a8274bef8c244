//! Writing down what an entry's decisions were given, for replay.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use crate::core::clock::Millis;
use crate::core::entry_io::{EntryInput, TraceLine};
use crate::events;

/// A trace file, or none.
#[derive(Debug)]
pub(crate) struct Trace {
    file: Option<BufWriter<File>>,
}

impl Trace {
    pub(crate) fn open(path: Option<&Path>) -> Self {
        let file = path.and_then(|path| match File::create(path) {
            Ok(file) => Some(BufWriter::new(file)),
            Err(error) => {
                events::BAD_CONFIG.log(format_args!("{}: {error}", path.display()));
                None
            }
        });
        Self { file }
    }

    /// Writes an input down; ticks of an idle entry decide nothing and are left out.
    pub(crate) fn write(&mut self, now: Millis, input: &EntryInput, idle: bool) {
        let Some(file) = &mut self.file else {
            return;
        };
        if idle && matches!(input, EntryInput::Tick) {
            return;
        }
        let line = TraceLine {
            now,
            input: input.clone(),
        };
        let written = serde_json::to_writer(&mut *file, &line).is_ok() && writeln!(file).is_ok();
        if !written || file.flush().is_err() {
            self.file = None;
        }
    }
}
