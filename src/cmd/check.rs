//! `fulmardriftd check`.

use std::ffi::OsString;
use std::path::PathBuf;

use snafu::ResultExt;

use super::{CmdResult, ConfigSnafu, helped};
use crate::config::Config;

const USAGE: &str = "usage: fulmardriftd check FILE

Checks a settings FILE and says which roles it names. Exits with 2 when the file
cannot be used; the error names file, key and reason.
";

xflags::xflags! {
    cmd args {
        required file: PathBuf
    }
}

pub(crate) fn run(words: Vec<OsString>) -> CmdResult {
    if helped(&words, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(words)?;
    let cfg = Config::read(&args.file).context(ConfigSnafu)?;
    let roles = [
        (cfg.control.is_some(), "control"),
        (cfg.entry.is_some(), "entry"),
        (cfg.agent.is_some(), "agent"),
        (cfg.stand_in.is_some(), "stand-in"),
    ];
    let named: Vec<&str> = roles
        .iter()
        .filter(|(on, _)| *on)
        .map(|(_, name)| *name)
        .collect();
    println!("{}: fine, roles: {}", args.file.display(), named.join(", "));
    Ok(())
}
