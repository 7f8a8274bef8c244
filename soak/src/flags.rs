//! Arguments.

#![allow(missing_docs)] // for the code that the macro generates

use std::path::PathBuf;

use fulmardrift_soak::{FirstStart, Mix};

xflags::xflags! {
    /// Plays seeded faults against control groups, or whole deployments, of real processes.
    cmd soak {
        /// Number of seeds; default 50.
        optional --seeds count: u64
        /// First seed; default 1.
        optional --first seed: u64
        /// Time in which faults begin, in seconds; default 30.
        optional --seconds seconds: u64
        /// Number of groups at the same time; default 1.
        optional --groups count: usize
        /// Only the seeds that once failed.
        optional --regressions
        /// How the processes start for the first time: together, away, late, ended, frozen, killed,
        /// killed-all, spread or names; default: drawn by the seed.
        optional --first-start kind: FirstStart
        /// The program `fulmardrift-platform`; default: beside this program.
        optional --program path: PathBuf
        /// Directory for the logs of failed seeds; default: soak-logs in the temporary directory.
        optional --logs path: PathBuf
        /// Most routes in a configuration; default 2800, about 0.7 MB, or 100 in a deployment.
        optional --routes count: u32
        /// Time in which a group must recover, in seconds; default 12, or 15 in a deployment.
        optional --recovery-s seconds: u64
        /// Time that a new or empty instance gets to catch up, in seconds; default 4, or 6 in a
        /// deployment.
        optional --catch-up-s seconds: u64
        /// Bound on the files of an instance, in MB; default: unchecked.
        optional --file-bound-mb bytes: u64
        /// Time after which callers send a job again, in ms, also in the settings; default 1300.
        optional --resend-ms millis: u64
        /// Plays whole deployments; the flags below belong to them.
        optional --deployment
        /// Number of control instances; default 5.
        optional --controls count: u8
        /// Number of entries; default 10.
        optional --entries count: u8
        /// Number of agents, each with a backend server; default 58.
        optional --agents count: u8
        /// Number of jobs a second; default 90.
        optional --per-second count: u32
        /// Number of jobs a second once all are healed; default: as before.
        optional --then count: u32
        /// Kinds of jobs: own, or users, as the users' largest site has them; default own.
        optional --mix mix: Mix
        /// Holds each process to its share of processor time.
        optional --shares
        /// Share of an entry, in thousandths of a core; default: 90 to 300, drawn for each entry.
        optional --entry-share share: u32
        /// Plays no faults.
        optional --no-faults
        /// Keeps the logs of all runs.
        optional --keep
        /// Cuts no connections; for a program without the setting `bind_ip`.
        optional --no-cuts
    }
}
