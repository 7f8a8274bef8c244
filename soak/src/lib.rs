//! Soak of a control group, or of a whole deployment: real processes on loopback addresses,
//! operators that send configurations and read them back, and a seeded schedule of overlapping
//! faults. A whole deployment also has backend servers and callers.

mod client;
mod document;
mod first;
mod fleet;
mod group;
mod layout;
mod ledger;
mod plan;
mod process;
mod proxy;
mod regressions;
mod relay;
mod run;
mod settings;
mod stalls;

use std::path::PathBuf;
use std::time::Duration;

pub use first::FirstStart;
pub use fleet::{ENTRY_SHARES, FleetOptions, Mix, Sizes, run_fleet};
pub use ledger::Report;
pub use proxy::{Path, Proxy};
pub use regressions::{REGRESSIONS, Regression};
pub use run::{SoakError, run};

/// What a run does.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program `fulmardrift-platform`.
    pub program: PathBuf,
    /// How the instances start for the first time.
    pub first_start: FirstStart,
    /// Time in which faults begin.
    pub length: Duration,
    /// Smallest and largest number of routes in a configuration.
    pub routes: (u32, u32),
    /// Time after which a configuration can be read once all instances are up.
    pub recovery: Duration,
    /// Time after which a disk counts as back, and the next may be lost.
    pub catch_up: Duration,
    /// Size of each disk, in MB, in the settings files.
    pub disk_mb: u64,
    /// Time after which callers send a job again, in the settings files.
    pub resend: Duration,
    /// Bound on the files of an instance, in bytes; 0: unchecked.
    pub file_bound: u64,
    /// Directory for the logs of runs with findings.
    pub logs: Option<PathBuf>,
}
