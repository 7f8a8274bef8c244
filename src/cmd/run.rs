//! The command `fulmardriftd run`, which runs the roles of a settings file.

use std::ffi::OsString;
use std::path::PathBuf;

use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use super::roles::Roles;
use super::{
    CmdError, CmdResult, ConfigSnafu, block_on, failed, print_help_if_requested, start_metrics,
};
use crate::config::{self, Config};

const USAGE: &str = "usage: fulmardriftd run FILE

Runs the roles that the settings FILE configures until SIGTERM or SIGINT. Then
accepts no more work, finishes what is in flight, and exits with 0.
";

xflags::xflags! {
    cmd args {
        required file: PathBuf
    }
}

impl Args {
    fn config(&self) -> Result<Config, CmdError> {
        Config::read(&self.file).context(ConfigSnafu)
    }
}

pub(crate) fn run(raw_args: Vec<OsString>) -> CmdResult {
    if print_help_if_requested(&raw_args, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(raw_args)?;
    let cfg = args.config()?;
    config::start_log(&cfg.log_level, cfg.log_file.as_deref()).context(ConfigSnafu)?;
    start_metrics();
    block_on(serve(cfg))
}

async fn serve(cfg: Config) -> CmdResult {
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let roles = Roles::start(&cfg).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    roles.stop().await;
    Ok(())
}
