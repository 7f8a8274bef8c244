//! The daemon, which runs the roles of a process.

use std::process::ExitCode;

fn main() -> ExitCode {
    fulmardrift::daemon(std::env::args_os().skip(1).collect())
}
