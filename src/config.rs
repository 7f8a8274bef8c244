//! Settings files of processes, and the options all commands share.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use crate::control::settings::is_name;

/// What is wrong with a settings file.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    /// It cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// It is not TOML of the right shape.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What the reader found, with line and key.
        source: Box<toml::de::Error>,
    },
    /// A value cannot be used.
    #[snafu(display("{}: {key}: {reason}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
        /// Why.
        reason: String,
    },
    /// The log file cannot be opened.
    #[snafu(display("log: {source}"))]
    Log {
        /// What the system said.
        source: std::io::Error,
    },
}

/// A process's settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the process, unique among those of its role.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its data centre.
    pub data_centre: String,
    /// The control instances.
    pub group: Vec<GroupMember>,
    /// Least level of log lines: error, warn, info, debug or trace.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// File for log lines; the standard error stream without one.
    pub log_file: Option<PathBuf>,
    /// Present in a control instance.
    pub control: Option<ControlConfig>,
    /// Present in an entry.
    pub entry: Option<EntryConfig>,
    /// Present in an agent.
    pub agent: Option<AgentConfig>,
    /// Present in a stand-in backend server.
    pub stand_in: Option<StandInConfig>,
}

/// A control instance as all processes know it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupMember {
    /// Its number, from 1.
    pub id: u64,
    /// IP and port for the system's own processes.
    pub address: SocketAddr,
}

/// A control instance's part.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlConfig {
    /// Its number in the group.
    pub id: u64,
    /// IP and port of the administration interface.
    pub admin: SocketAddr,
    /// The data folder.
    pub data: PathBuf,
}

/// An entry's part.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryConfig {
    /// IP and port for callers.
    pub callers: SocketAddr,
    /// IP and port for other entries.
    pub peers: SocketAddr,
    /// File to which every input of the decisions is written, for replay.
    pub trace: Option<PathBuf>,
}

/// An agent's part.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentConfig {
    /// IP and port for entries.
    pub peers: SocketAddr,
    /// IP and port, on loopback, for its backend server.
    pub announce: SocketAddr,
}

/// A stand-in backend server's part.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandInConfig {
    /// IP and port for its agent.
    pub listen: SocketAddr,
    /// Its agent's announce address.
    pub agent: SocketAddr,
    /// The service it offers.
    pub service: String,
    /// How many tasks it runs at a time.
    pub slots: u32,
    /// Work done in a millisecond; 1 is the slowest of the usual ones.
    pub speed: f64,
    /// Fails every task.
    #[serde(default)]
    pub broken: bool,
}

fn default_level() -> String {
    "info".to_owned()
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or something in it cannot be used: the error
    /// names file, key and reason.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(path, &text)
    }

    /// Reads settings from `text`; `path` is for errors only.
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
    /// Something in it cannot be used.
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
        let mut ids: Vec<u64> = self.group.iter().map(|m| m.id).collect();
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
            return invalid("control.id", "not in the group");
        }
        if let Some(stand_in) = &self.stand_in {
            if !is_name(&stand_in.service) {
                return invalid("stand_in.service", "letters, digits, '-', '_' and '.' only");
            }
            if stand_in.slots == 0 || stand_in.speed <= 0.0 {
                return invalid("stand_in", "slots and speed must be above zero");
            }
        }
        Ok(())
    }

    /// `region/data-centre`.
    #[must_use]
    pub fn place(&self) -> String {
        format!("{}/{}", self.region, self.data_centre)
    }
}

/// Sends log lines where the settings say.
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
        // Another log is set up in this process already; keep to it.
        log::debug!("log is set up already");
    }
    Ok(())
}
