//! The command `fulmardriftd check`, which validates a settings file.

use std::ffi::OsString;
use std::path::PathBuf;

use snafu::ResultExt;

use super::{CmdResult, ConfigSnafu, print_help_if_requested};
use crate::config::Config;

const USAGE: &str = "usage: fulmardriftd check FILE

Checks a settings FILE and prints the roles that it configures. If the file cannot
be used, exits with 2; the error names the file, the key and the reason.
";

xflags::xflags! {
    cmd args {
        required file: PathBuf
    }
}

pub(crate) fn run(raw_args: Vec<OsString>) -> CmdResult {
    if print_help_if_requested(&raw_args, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(raw_args)?;
    let cfg = Config::read(&args.file).context(ConfigSnafu)?;
    let roles = [
        (cfg.control.is_some(), "control"),
        (cfg.entry.is_some(), "entry"),
        (cfg.agent.is_some(), "agent"),
        (cfg.stand_in.is_some(), "stand-in"),
    ];
    let named: Vec<&str> = roles
        .iter()
        .filter(|(configured, _)| *configured)
        .map(|(_, name)| *name)
        .collect();
    println!(
        "{}: valid, roles: {}",
        args.file.display(),
        named.join(", ")
    );
    Ok(())
}
