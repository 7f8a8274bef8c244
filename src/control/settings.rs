//! The settings tree: keys, levels and inheritance.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::core::table::Table;

/// The kind of values that a key accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueKind {
    /// `true` or `false`.
    Bool,
    /// A whole number between two bounds, both included.
    Number {
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
    },
    /// One of these words.
    Word(&'static [&'static str]),
    /// Any text up to a maximum length.
    Text {
        /// Maximum length, in bytes.
        max: usize,
    },
}

/// The specification of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeySpec {
    /// The name of the key.
    pub name: &'static str,
    /// The values that it accepts.
    pub kind: ValueKind,
    /// The unit of the values; empty where there is none.
    pub unit: &'static str,
    /// The value in force where none is set.
    pub default: &'static str,
    /// Description for operators.
    pub help: &'static str,
    /// True when the key can be set at the root only.
    pub root_only: bool,
}

const fn number(
    name: &'static str,
    unit: &'static str,
    (min, max): (u64, u64),
    default: &'static str,
    help: &'static str,
) -> KeySpec {
    KeySpec {
        name,
        kind: ValueKind::Number { min, max },
        unit,
        default,
        help,
        root_only: false,
    }
}

const fn root_only(spec: KeySpec) -> KeySpec {
    KeySpec {
        root_only: true,
        ..spec
    }
}

/// All keys with a fixed name. They must be sorted by name for the binary search.
pub const KEYS: &[KeySpec] = &[
    root_only(number(
        "claim_window_s",
        "s",
        (60, 604_800),
        "86400",
        "how long a job's key is remembered",
    )),
    root_only(number(
        "grace_ms",
        "ms",
        (0, 600_000),
        "5000",
        "wait before a job that fits nowhere is refused",
    )),
    root_only(number(
        "lease_ms",
        "ms",
        (500, 10_000),
        "3000",
        "length of leases",
    )),
    number(
        "max_tasks",
        "tasks",
        (1, 100_000),
        "640",
        "most tasks in one job",
    ),
    number(
        "max_wait_ms",
        "ms",
        (100, 3_600_000),
        "60000",
        "a job that would wait longer is refused",
    ),
    KeySpec {
        name: "out",
        kind: ValueKind::Bool,
        unit: "",
        default: "false",
        help: "true takes the level and all below it out of work",
        root_only: false,
    },
    KeySpec {
        name: "policy",
        kind: ValueKind::Word(&["least-finish", "least-outstanding", "random", "two-probes"]),
        unit: "",
        default: "least-finish",
        help: "how a backend server is chosen",
        root_only: true,
    },
    root_only(number(
        "retain_ms",
        "ms",
        (1_000, 3_600_000),
        "60000",
        "how long answers are kept",
    )),
    root_only(number(
        "start_window_ms",
        "ms",
        (200, 10_000),
        "2000",
        "age at which a dispatch may no longer start",
    )),
    number(
        "stretch_percent",
        "%",
        (0, 10_000),
        "100",
        "how far short jobs go before long ones",
    ),
];

/// Keys that exist for each team as `teams.NAME.KEY`, at the root only.
pub const TEAM_KEYS: &[KeySpec] = &[
    root_only(number(
        "cap",
        "tasks",
        (1, 1_000_000),
        "1000000",
        "most tasks running at a time",
    )),
    root_only(number(
        "share",
        "",
        (1, 1_000),
        "1",
        "weight in the fair share",
    )),
    KeySpec {
        name: "token_sha256",
        kind: ValueKind::Text { max: 64 },
        unit: "hex",
        default: "",
        help: "SHA-256 of the team's token; empty: no token is asked for",
        root_only: true,
    },
];

/// Why a setting is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum SettingsError {
    /// There is no such key.
    #[snafu(display("unknown key {key:?}; known: {known}"))]
    UnknownKey {
        /// The key.
        key: String,
        /// The names of all keys.
        known: String,
    },
    /// The key cannot be set at this level.
    #[snafu(display("{key} can be set at the root only, not at {path:?}"))]
    RootOnly {
        /// The key.
        key: String,
        /// Path of the level.
        path: String,
    },
    /// The key does not accept the value.
    #[snafu(display("{key} at {path:?}: {value:?} is not {accepted}"))]
    BadValue {
        /// The key.
        key: String,
        /// Path of the level.
        path: String,
        /// The value.
        value: String,
        /// The values that the key accepts.
        accepted: String,
    },
    /// The path is not of the form region/data centre/service/backend server.
    #[snafu(display("bad path {path:?}: up to four names of letters, digits, '-', '_', '.'"))]
    BadPath {
        /// The path.
        path: String,
    },
}

/// An override: a value set at a level.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Override {
    /// Names from the region down, joined by `/`; empty for the root.
    pub path: String,
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
}

/// The value in force at a level, and its origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EffectiveValue {
    /// The value.
    pub value: String,
    /// Path of the level where the value is set; `None` for the default.
    pub origin: Option<String>,
}

/// The settings tree: the overrides of all levels.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsTree {
    // Keyed by path, then by key.
    overrides: Table<(String, String), String>,
}

/// The settings tree in the form of a TOML file.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct SettingsFile {
    /// All overrides, sorted by path, then by key.
    #[serde(default)]
    pub overrides: Vec<Override>,
}

/// The specification of a key; `None` for an unknown key.
///
/// ```
/// assert_eq!(fulmardrift::key_spec("lease_ms").unwrap().unit, "ms");
/// assert_eq!(fulmardrift::key_spec("teams.desk.share").unwrap().default, "1");
/// assert!(fulmardrift::key_spec("colour").is_none());
/// ```
#[must_use]
pub fn key_spec(key: &str) -> Option<&'static KeySpec> {
    if let Some(rest) = key.strip_prefix("teams.") {
        let (team, name) = rest.rsplit_once('.')?;
        if !is_name(team) {
            return None;
        }
        return TEAM_KEYS.iter().find(|spec| spec.name == name);
    }
    let at = KEYS.binary_search_by_key(&key, |spec| spec.name).ok()?;
    Some(&KEYS[at])
}

/// True when `name` is valid in a path or as the name of a team or a service.
///
/// ```
/// assert!(fulmardrift::is_name("dc-1"));
/// assert!(!fulmardrift::is_name("a/b"));
/// ```
#[must_use]
pub fn is_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed)
}

/// Maximum number of levels below the root.
const MAX_DEPTH: usize = 4;

fn check_path(path: &str) -> Result<(), SettingsError> {
    let parts: Vec<&str> = path.split('/').collect();
    let is_valid =
        path.is_empty() || (parts.len() <= MAX_DEPTH && parts.iter().all(|p| is_name(p)));
    if is_valid {
        Ok(())
    } else {
        BadPathSnafu { path }.fail()
    }
}

fn known_keys() -> String {
    let mut names: Vec<String> = KEYS.iter().map(|spec| spec.name.to_owned()).collect();
    names.extend(
        TEAM_KEYS
            .iter()
            .map(|spec| format!("teams.NAME.{}", spec.name)),
    );
    names.join(", ")
}

impl ValueKind {
    fn accepts(self, value: &str) -> bool {
        match self {
            Self::Bool => matches!(value, "true" | "false"),
            Self::Number { min, max } => {
                value.parse::<u64>().is_ok_and(|n| (min..=max).contains(&n))
            }
            Self::Word(words) => words.contains(&value),
            Self::Text { max } => value.len() <= max,
        }
    }

    /// A description of the values that are accepted.
    ///
    /// ```
    /// use fulmardrift::ValueKind;
    /// assert_eq!(ValueKind::Bool.accepted_values(), "true or false");
    /// ```
    #[must_use]
    pub fn accepted_values(self) -> String {
        match self {
            Self::Bool => "true or false".to_owned(),
            Self::Number { min, max } => format!("a whole number from {min} to {max}"),
            Self::Word(words) => format!("one of {}", words.join(", ")),
            Self::Text { max } => format!("text of at most {max} bytes"),
        }
    }
}

/// Checks that an override is valid.
///
/// ```
/// assert!(fulmardrift::check_setting("r1/dc2", "out", "true").is_ok());
/// assert!(fulmardrift::check_setting("r1", "out", "maybe").is_err());
/// ```
///
/// # Errors
///
/// The path, the key or the value is not valid, or the key cannot be set at this level.
pub fn check_setting(path: &str, key: &str, value: &str) -> Result<(), SettingsError> {
    check_path(path)?;
    let Some(spec) = key_spec(key) else {
        return UnknownKeySnafu {
            key,
            known: known_keys(),
        }
        .fail();
    };
    if spec.root_only && !path.is_empty() {
        return RootOnlySnafu { key, path }.fail();
    }
    if !spec.kind.accepts(value) {
        return BadValueSnafu {
            key,
            path,
            value,
            accepted: spec.kind.accepted_values(),
        }
        .fail();
    }
    Ok(())
}

impl SettingsTree {
    /// The value set at this very level, without inheritance.
    #[must_use]
    pub fn get(&self, path: &str, key: &str) -> Option<&str> {
        let at = (path.to_owned(), key.to_owned());
        self.overrides.get(&at).map(String::as_str)
    }

    /// Sets a value, or removes the override with `None`; returns the previous value. The value is
    /// not checked: the caller must have done so.
    ///
    /// ```
    /// let mut tree = fulmardrift::SettingsTree::default();
    /// tree.set("r1", "max_tasks", Some("10"));
    /// let found = tree.effective("r1/dc1", "max_tasks").unwrap();
    /// assert_eq!(found.value, "10");
    /// assert_eq!(found.origin.as_deref(), Some("r1"));
    /// ```
    pub fn set(&mut self, path: &str, key: &str, value: Option<&str>) -> Option<String> {
        let at = (path.to_owned(), key.to_owned());
        match value {
            Some(value) => self.overrides.insert(at, value.to_owned()),
            None => self.overrides.remove(&at),
        }
    }

    /// The value in force at a level: its own, otherwise that of the nearest level above, otherwise
    /// the default. `None` for an unknown key.
    #[must_use]
    pub fn effective(&self, path: &str, key: &str) -> Option<EffectiveValue> {
        let spec = key_spec(key)?;
        let mut level = path;
        loop {
            if let Some(value) = self.get(level, key) {
                return Some(EffectiveValue {
                    value: value.to_owned(),
                    origin: Some(level.to_owned()),
                });
            }
            if level.is_empty() {
                return Some(EffectiveValue {
                    value: spec.default.to_owned(),
                    origin: None,
                });
            }
            level = level.rsplit_once('/').map_or("", |(above, _)| above);
        }
    }

    /// The number in force at a level; the default where the value does not parse.
    #[must_use]
    pub fn number(&self, path: &str, key: &str) -> u64 {
        let value = self.effective(path, key).and_then(|e| e.value.parse().ok());
        let default = || key_spec(key).and_then(|spec| spec.default.parse().ok());
        value.or_else(default).unwrap_or_default()
    }

    /// True when this level or one above it is evacuated. Unlike other keys, `out` cannot be
    /// overridden at a lower level: everything below an evacuated level is evacuated.
    ///
    /// ```
    /// let mut tree = fulmardrift::SettingsTree::default();
    /// tree.set("r1/dc1", "out", Some("true"));
    /// tree.set("r1/dc1/proof", "out", Some("false"));
    /// assert!(tree.is_evacuated("r1/dc1/proof"));
    /// assert!(!tree.is_evacuated("r1"));
    /// ```
    #[must_use]
    pub fn is_evacuated(&self, path: &str) -> bool {
        let mut level = path;
        loop {
            if self.get(level, "out") == Some("true") {
                return true;
            }
            if level.is_empty() {
                return false;
            }
            level = level.rsplit_once('/').map_or("", |(above, _)| above);
        }
    }

    /// Names of all teams that have a setting, without duplicates.
    #[must_use]
    pub fn teams(&self) -> Vec<String> {
        let keys = self.overrides.iter().map(|((_, key), _)| key);
        let names = keys.filter_map(|key| key.strip_prefix("teams.")?.rsplit_once('.'));
        let mut teams: Vec<String> = names.map(|(team, _)| team.to_owned()).collect();
        teams.dedup();
        teams
    }

    /// All overrides, sorted by path, then by key.
    #[must_use]
    pub fn list(&self) -> Vec<Override> {
        let rows = self.overrides.iter().map(|((path, key), value)| Override {
            path: path.clone(),
            key: key.clone(),
            value: value.clone(),
        });
        rows.collect()
    }

    /// Builds a tree from a list of overrides.
    ///
    /// # Errors
    ///
    /// An override is not valid.
    pub fn from_list(list: &[Override]) -> Result<Self, SettingsError> {
        let mut tree = Self::default();
        for Override { path, key, value } in list {
            check_setting(path, key, value)?;
            tree.set(path, key, Some(value));
        }
        Ok(tree)
    }
}
