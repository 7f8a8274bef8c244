//! The configuration files of processes, and the set-up of logging.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use crate::control::settings::is_name;

/// Why a configuration file, or the log file that it names, cannot be used.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The error from the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a key is missing, unknown or of the wrong type.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// The parser's error, with line and key.
        source: Box<toml::de::Error>,
    },
    /// A value is invalid.
    #[snafu(display("{}: {key}: {reason}", path.display()))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// The key whose value is invalid.
        key: String,
        /// Why the value is invalid.
        reason: String,
    },
    /// The log file cannot be opened.
    #[snafu(display("cannot open the log file: {source}"))]
    Log {
        /// The error from the operating system.
        source: std::io::Error,
    },
}

/// The configuration file of a process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the process, unique among the processes of its role.
    pub name: String,
    /// Region in which the process runs.
    pub region: String,
    /// Data centre in which the process runs.
    pub data_centre: String,
    /// All control instances.
    pub group: Vec<GroupMember>,
    /// Lowest level of the log lines that are written: error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// File to which log lines are appended; when absent they go to standard error.
    pub log_file: Option<PathBuf>,
    /// Present when the process runs a control instance.
    pub control: Option<ControlConfig>,
    /// Present when the process runs an entry.
    pub entry: Option<EntryConfig>,
    /// Present when the process runs an agent.
    pub agent: Option<AgentConfig>,
    /// Present when the process runs a stand-in backend server.
    pub stand_in: Option<StandInConfig>,
}

/// Id and address of a control instance, the same in the configuration of every process.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupMember {
    /// Id of the instance in the group, from 1.
    pub id: u64,
    /// IP address and port on which it serves the other processes of the system.
    pub address: SocketAddr,
}

/// Configuration of a control instance.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlConfig {
    /// Id of the instance in the group.
    pub id: u64,
    /// IP address and port of the administration interface.
    pub admin: SocketAddr,
    /// Directory for the log and its snapshots.
    pub data: PathBuf,
}

/// Configuration of an entry.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryConfig {
    /// IP address and port on which it serves callers.
    pub callers: SocketAddr,
    /// IP address and port on which it serves the other entries.
    pub peers: SocketAddr,
    /// File in which every input of the entry's state machine is recorded, for replay.
    pub trace: Option<PathBuf>,
}

/// Configuration of an agent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentConfig {
    /// IP address and port on which it serves entries.
    pub peers: SocketAddr,
    /// IP address and port, on loopback, to which its backend server announces itself.
    pub announce: SocketAddr,
}

/// Configuration of a stand-in backend server.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandInConfig {
    /// IP address and port on which it serves its agent.
    pub listen: SocketAddr,
    /// The announce address of its agent.
    pub agent: SocketAddr,
    /// The service that it offers.
    pub service: String,
    /// Maximum number of tasks that run at the same time.
    pub slots: u32,
    /// Milliseconds of declared work that it does per millisecond; 1 is the slowest usual speed.
    pub speed: f64,
    /// When true every task fails.
    #[serde(default)]
    pub broken: bool,
}

fn default_level() -> String {
    "info".to_owned()
}

impl Config {
    /// Reads and checks a configuration file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, is not valid TOML or has an invalid value. The error
    /// names the file and the reason, and the key when a value is invalid.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(path, &text)
    }

    /// Parses and checks the configuration in `text`; `path` is used in errors only.
    ///
    /// ```
    /// use std::path::Path;
    /// let text = "name = 'a'\nregion = 'r'\ndata_centre = 'd'\ngroup = []";
    /// let error = fulmardrift::Config::parse(Path::new("x.toml"), text).unwrap_err();
    /// assert_eq!(error.to_string(), "x.toml: group: at least one control instance is needed");
    /// ```
    ///
    /// # Errors
    ///
    /// Fails when `text` is not valid TOML or has an invalid value.
    pub fn parse(path: &Path, text: &str) -> Result<Self, ConfigError> {
        let cfg: Self = toml::from_str(text)
            .map_err(Box::new)
            .context(ParseSnafu { path })?;
        cfg.check(path)?;
        Ok(cfg)
    }

    fn check(&self, path: &Path) -> Result<(), ConfigError> {
        let invalid = |key: &str, reason: &str| InvalidSnafu { path, key, reason }.fail();
        let names = [
            ("name", &self.name),
            ("region", &self.region),
            ("data_centre", &self.data_centre),
        ];
        for (key, name) in names {
            if !is_name(name) {
                return invalid(key, "letters, digits, '-', '_' and '.' only, at most 64");
            }
        }
        if self.group.is_empty() {
            return invalid("group", "at least one control instance is needed");
        }
        let mut ids: Vec<u64> = self.group.iter().map(|member| member.id).collect();
        ids.sort_unstable();
        ids.dedup();
        if ids.len() != self.group.len() {
            return invalid("group", "two control instances have the same id");
        }
        if self.log_level.parse::<log::LevelFilter>().is_err() {
            return invalid("log_level", "not one of error, warn, info, debug, trace");
        }
        if let Some(control) = &self.control
            && ids.binary_search(&control.id).is_err()
        {
            return invalid("control.id", "not the id of an instance in the group");
        }
        if let Some(stand_in) = &self.stand_in {
            if !is_name(&stand_in.service) {
                return invalid(
                    "stand_in.service",
                    "letters, digits, '-', '_' and '.' only, at most 64",
                );
            }
            if stand_in.slots == 0 || stand_in.speed <= 0.0 {
                return invalid("stand_in", "slots and speed must be above zero");
            }
        }
        Ok(())
    }

    /// Path of the data centre in the settings tree: `REGION/DATA_CENTRE`.
    #[must_use]
    pub fn place(&self) -> String {
        format!("{}/{}", self.region, self.data_centre)
    }
}

/// Starts logging to `file`, or to standard error without one. A `level` that is not valid counts
/// as info.
///
/// # Errors
///
/// Fails when the file cannot be opened.
pub(crate) fn start_log(level: &str, file: Option<&Path>) -> Result<(), ConfigError> {
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let at = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{at} {} {message}", record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("fulmardrift", level);
    let dispatch = match file {
        Some(file) => dispatch.chain(fern::log_file(file).context(LogSnafu)?),
        None => dispatch.chain(std::io::stderr()),
    };
    if dispatch.apply().is_err() {
        // Another logger is installed in this process already; it stays in use.
        log::debug!("a logger is already installed");
    }
    Ok(())
}
