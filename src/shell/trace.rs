//! Records the inputs of an entry for replay.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;

use crate::core::clock::Millis;
use crate::core::entry_io::{EntryInput, TraceLine};
use crate::events;

/// Writes a trace file, one JSON line for each input, or nothing when no file is configured.
#[derive(Debug)]
pub(crate) struct TraceWriter {
    file: Option<BufWriter<File>>,
}

impl TraceWriter {
    /// Creates the file at `path`. When that fails the error is logged and nothing is recorded.
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

    /// Appends an input, except ticks of an idle entry, which have no effect. Recording ends at
    /// the first write error.
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
