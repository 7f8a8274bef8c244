//! Output of the commands: plain tables, or JSON for scripts.

use std::io::Write;

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;

use super::{CmdResult, failed};

/// Prints a table without borders.
pub(crate) fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(header);
    for row in rows {
        table.add_row(row);
    }
    // The write fails if the reader has closed the pipe, as `head` does; that is not an error.
    let _ = writeln!(std::io::stdout(), "{table}");
}

/// Prints a value as indented JSON.
pub(crate) fn print_json(value: &impl Serialize) -> CmdResult {
    let text = serde_json::to_string_pretty(value).map_err(failed)?;
    let _ = writeln!(std::io::stdout(), "{text}");
    Ok(())
}
