//! The commands of both programs, one file each.

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
pub(crate) mod roles;
pub(crate) mod run;
pub(crate) mod settings;
pub(crate) mod status;
pub(crate) mod table;

/// Exit codes of both programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// The command was understood and failed.
    Failed = 1,
    /// The command's words or a settings file are wrong.
    Usage = 2,
    /// The change was refused: another came first, or it is invalid.
    Refused = 3,
    /// No control instance answered.
    Unreachable = 4,
}

/// Why a command ends without success.
#[derive(Debug, Snafu)]
pub enum CmdError {
    /// The command's words are wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong, or the help asked for.
        message: String,
    },
    /// A settings file is wrong.
    #[snafu(display("{source}"))]
    Config {
        /// What is wrong.
        source: ConfigError,
    },
    /// The command failed.
    #[snafu(display("{message}"))]
    Failed {
        /// Why.
        message: String,
    },
    /// A change was refused.
    #[snafu(display("refused: {message}"))]
    Refused {
        /// Why.
        message: String,
    },
    /// No control instance answered.
    #[snafu(display("no control instance answered: {message}"))]
    Unreachable {
        /// What was tried.
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

/// Runs a command's work on a runtime of its own.
pub(crate) fn block_on<T>(work: impl Future<Output = Result<T, CmdError>>) -> Result<T, CmdError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.map_err(failed)?.block_on(work)
}

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts collecting metrics; a second call changes nothing.
pub fn start_metrics() {
    if METRICS.get().is_some() {
        return;
    }
    if let Ok(handle) = PrometheusBuilder::new().install_recorder() {
        // Lost a race: the other handle reads the same recorder.
        let _ = METRICS.set(handle);
    }
}

/// The metrics in Prometheus' text format.
pub fn metrics_text() -> String {
    METRICS
        .get()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}

const DAEMON: &str = "fulmardriftd: the dispatcher's processes

usage: fulmardriftd COMMAND [ARG ...]

  run FILE     run the roles that a settings file names
  check FILE   check a settings file
  demo         run every role in this process and prove the promises

Each command shows its own usage with --help.
";

const TOOL: &str = "fulmardrift: the operators' tool

usage: fulmardrift COMMAND [ARG ...]

  settings         list, get, set, unset, export, import
  data-centre      out, in, list
  backend-server   list, drain, resume
  audit            who changed what, and when
  status           the control group and the directory
  load             send jobs at a rate and measure
  completions      words for the shell's completion

exit codes: 0 done, 1 failed, 2 usage or settings file, 3 refused,
4 no control instance answered. Each command shows its usage with --help.
";

/// Runs the daemon's command line.
#[must_use]
pub fn daemon(args: Vec<OsString>) -> ExitCode {
    finish(pick(args, DAEMON, |name, rest| match name {
        "run" => Some(run::run(rest)),
        "check" => Some(check::run(rest)),
        "demo" => Some(demo::run(rest)),
        _ => None,
    }))
}

/// Runs the tool's command line.
#[must_use]
pub fn tool(args: Vec<OsString>) -> ExitCode {
    finish(pick(args, TOOL, |name, rest| match name {
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

fn pick(
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
    let words = "settings data-centre backend-server audit status load completions";
    println!("complete -W '{words}' fulmardrift");
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

/// Shows `usage` when it is asked for; true when it was.
pub(crate) fn helped(args: &[OsString], usage: &str) -> bool {
    let asked = args.iter().any(|a| a == "--help" || a == "-h");
    if asked {
        print!("{usage}");
    }
    asked
}
