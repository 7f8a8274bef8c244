//! The commands of both programs, one module each.

use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use snafu::Snafu;

use crate::config::ConfigError;

pub(crate) mod admin_client;
pub(crate) mod audit;
pub(crate) mod backend_server;
pub(crate) mod check;
pub(crate) mod data_centre;
pub(crate) mod demo;
pub(crate) mod load;
pub(crate) mod regroup;
pub(crate) mod roles;
pub(crate) mod run;
pub(crate) mod settings;
pub(crate) mod status;
pub(crate) mod table;

/// Exit codes of both programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command line was valid, but the command failed.
    Failed = 1,
    /// The command line or a settings file is invalid.
    Usage = 2,
    /// The change was refused: it is invalid, or the settings have changed in the meantime.
    Refused = 3,
    /// No control instance answered.
    Unreachable = 4,
}

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum CmdError {
    /// The command line is invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong, or the usage text.
        message: String,
    },
    /// A settings file cannot be used.
    #[snafu(display("{source}"))]
    Config {
        /// The reason.
        source: ConfigError,
    },
    /// The command failed.
    #[snafu(display("{message}"))]
    Failed {
        /// The reason.
        message: String,
    },
    /// A change was refused.
    #[snafu(display("refused: {message}"))]
    Refused {
        /// The reason.
        message: String,
    },
    /// No control instance answered.
    #[snafu(display("no control instance answered: {message}"))]
    Unreachable {
        /// The last instance that was tried, and the error.
        message: String,
    },
}

impl CmdError {
    fn exit(&self) -> Exit {
        match self {
            Self::Usage { .. } | Self::Config { .. } => Exit::Usage,
            Self::Failed { .. } => Exit::Failed,
            Self::Refused { .. } => Exit::Refused,
            Self::Unreachable { .. } => Exit::Unreachable,
        }
    }
}

impl From<xflags::Error> for CmdError {
    fn from(error: xflags::Error) -> Self {
        Self::Usage {
            message: error.to_string(),
        }
    }
}

pub(crate) type CmdResult = Result<(), CmdError>;

pub(crate) fn failed(error: impl std::fmt::Display) -> CmdError {
    CmdError::Failed {
        message: error.to_string(),
    }
}

/// Runs a future to completion on a new multi-threaded runtime.
pub(crate) fn block_on<T>(
    future: impl Future<Output = Result<T, CmdError>>,
) -> Result<T, CmdError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.map_err(failed)?.block_on(future)
}

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder. Further calls have no effect.
pub fn start_metrics() {
    if METRICS.get().is_some() {
        return;
    }
    if let Ok(handle) = PrometheusBuilder::new().install_recorder() {
        // If another thread has set it in between, its handle reads the same recorder.
        let _ = METRICS.set(handle);
    }
}

/// All metrics in the Prometheus text format; empty before [`start_metrics`].
pub fn metrics_text() -> String {
    METRICS
        .get()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}

const DAEMON_USAGE: &str = "fulmardriftd: runs the dispatcher's roles
usage: fulmardriftd COMMAND [ARG ...]

  run FILE     run the roles that a settings file configures
  check FILE   check a settings file
  demo         run every role in this process under load and check the promises
  regroup FILE go on with one control instance when a majority of the disks is lost

Each command prints its usage with --help.
";

const TOOL_USAGE: &str = "fulmardrift: the tool for operators
usage: fulmardrift COMMAND [ARG ...]

  settings         list, get, set, unset, export, import
  data-centre      out, in, list
  backend-server   list, drain, resume
  audit            who changed what, and when
  status           the control group and the directory
  load             send jobs at a given rate and measure response times
  completions      print a completion command for bash

exit codes: 0 success, 1 failure, 2 invalid command line or settings file,
3 change refused, 4 no control instance answered.
Each command prints its usage with --help.
";

/// Runs the command line of `fulmardriftd`, without the program name.
#[must_use]
pub fn daemon(args: Vec<OsString>) -> ExitCode {
    finish(run_subcommand(
        args,
        DAEMON_USAGE,
        |name, rest| match name {
            "run" => Some(run::run(rest)),
            "check" => Some(check::run(rest)),
            "demo" => Some(demo::run(rest)),
            "regroup" => Some(regroup::run(rest)),
            _ => None,
        },
    ))
}

/// Runs the command line of `fulmardrift`, without the program name.
#[must_use]
pub fn tool(args: Vec<OsString>) -> ExitCode {
    finish(run_subcommand(args, TOOL_USAGE, |name, rest| match name {
        "settings" => Some(settings::run(rest)),
        "data-centre" => Some(data_centre::run(rest)),
        "backend-server" => Some(backend_server::run(rest)),
        "audit" => Some(audit::run(rest)),
        "status" => Some(status::run(rest)),
        "load" => Some(load::run(rest)),
        "completions" => {
            completions();
            Some(Ok(()))
        }
        _ => None,
    }))
}

fn run_subcommand(
    mut args: Vec<OsString>,
    usage: &str,
    command: impl Fn(&str, Vec<OsString>) -> Option<CmdResult>,
) -> CmdResult {
    if args.is_empty() {
        return Err(CmdError::Usage {
            message: usage.to_owned(),
        });
    }
    let name = args.remove(0).to_string_lossy().into_owned();
    if matches!(name.as_str(), "--help" | "-h" | "help") {
        print!("{usage}");
        return Ok(());
    }
    let unknown = || CmdError::Usage {
        message: format!("unknown command {name:?}\n\n{usage}"),
    };
    command(&name, args).unwrap_or_else(|| Err(unknown()))
}

fn completions() {
    let commands = "settings data-centre backend-server audit status load completions";
    println!("complete -W '{commands}' fulmardrift");
}

fn finish(result: CmdResult) -> ExitCode {
    match result {
        Ok(()) => ExitCode::from(Exit::Done as u8),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit() as u8)
        }
    }
}

/// Prints the usage text if the arguments contain `--help` or `-h`, and returns whether they do.
pub(crate) fn print_help_if_requested(args: &[OsString], usage: &str) -> bool {
    let requested = args.iter().any(|a| a == "--help" || a == "-h");
    if requested {
        print!("{usage}");
    }
    requested
}
