//! The command `fulmardriftd regroup`, the way out when a majority of a control group's disks is
//! lost.

use std::ffi::OsString;
use std::path::PathBuf;

use rand::RngExt;
use snafu::ResultExt;

use super::{CmdError, CmdResult, ConfigSnafu, failed, print_help_if_requested};
use crate::config::{self, Config, ControlConfig};
use crate::control::log::{DiskId, ReplicaId, list_voters};
use crate::control::regroup::{Regrouping, regroup};
use crate::events;
use crate::store::log_directory::LogDirectory;
use crate::store::wal::Wal;

const USAGE: &str = "usage: fulmardriftd regroup FILE [--confirm DISK]

Makes the stopped control instance of the settings FILE the only voter of its group,
for when a majority of the group's disks is lost for good. Changes that only the lost
disks held are gone. First stop all instances and move away the data folders of the
others: they would go on as a second group.

Prints what the instance holds, and its disk's identity; changes nothing unless
--confirm names that identity.
";

xflags::xflags! {
    cmd args {
        required file: PathBuf
        optional --confirm disk: String
    }
}

impl Args {
    fn config(&self) -> Result<Config, CmdError> {
        Config::read(&self.file).context(ConfigSnafu)
    }

    /// True when the identity given is that of `disk`.
    fn confirms(&self, disk: DiskId) -> Result<bool, CmdError> {
        match &self.confirm {
            None => Ok(false),
            Some(given) if *given == format!("{:x}", disk.0) => Ok(true),
            Some(given) => Err(CmdError::Usage {
                message: format!("--confirm {given}: the disk is {:x}", disk.0),
            }),
        }
    }
}

pub(crate) fn run(raw_args: Vec<OsString>) -> CmdResult {
    if print_help_if_requested(&raw_args, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(raw_args)?;
    let cfg = args.config()?;
    config::start_log(&cfg.log_level, cfg.log_file.as_deref()).context(ConfigSnafu)?;
    let Some(control) = &cfg.control else {
        return Err(failed("the settings file configures no control instance"));
    };
    let (mut wal, regrouping) = open(control)?;
    print(&regrouping);
    if !args.confirms(regrouping.survivor.disk)? {
        println!("nothing was changed: run again with --confirm DISK");
        return Ok(());
    }
    wal.write(&regrouping.records).map_err(failed)?;
    events::REGROUPED.log(format_args!(
        "index={} term={} voters={} before={}",
        regrouping.last.index.0,
        regrouping.last.term.0,
        regrouping.survivor,
        list_voters(&regrouping.former_voters)
    ));
    println!("the instance is the only voter; start it, then the others with empty folders");
    Ok(())
}

/// Opens the log of the instance, and finds what would make it the only voter.
fn open(control: &ControlConfig) -> Result<(Wal<LogDirectory>, Regrouping), CmdError> {
    if !control.data.is_dir() {
        let path = control.data.display();
        return Err(failed(format!("no data folder at {path}")));
    }
    let directory = LogDirectory::open(&control.data).map_err(failed)?;
    let unused = DiskId(rand::rng().random_range(1..u64::MAX));
    let (wal, durable) = Wal::open(directory, unused).map_err(failed)?;
    let Some(regrouping) = regroup(ReplicaId(control.id), durable) else {
        return Err(failed(
            "the instance has no log, so there is nothing to keep",
        ));
    };
    Ok((wal, regrouping))
}

fn print(regrouping: &Regrouping) {
    println!("disk {:x}", regrouping.survivor.disk.0);
    println!("voters {}", list_voters(&regrouping.former_voters));
    println!(
        "last entry {} of term {}",
        regrouping.last.index.0, regrouping.last.term.0
    );
}
