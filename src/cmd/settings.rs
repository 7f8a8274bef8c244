//! The command `fulmardrift settings`, which reads and changes the operators' settings.

use std::ffi::OsString;
use std::path::PathBuf;

use super::admin_client::{AdminClient, operator_name};
use super::table::{print_json, print_table};
use super::{CmdError, CmdResult, block_on, failed, print_help_if_requested};
use crate::control::settings::{
    EffectiveValue, KEYS, Override, SettingsFile, SettingsTree, TEAM_KEYS,
};
use crate::shell::admin::ChangeRow;

const USAGE: &str = "usage: fulmardrift settings ACTION [OPTION ...]

  list                      list all overrides
  keys                      list all keys with values, unit, default and meaning
  get --path P --key K      show the value in force at a level and where it is set
  set --path P --key K --value V
                            set an override
  unset --path P --key K    remove an override; the level inherits the value again
  export                    print all overrides as TOML
  import --file F           replace all overrides by those in F; --dry-run only
                            shows the changes

options: --control IP:PORT[,..]  administration addresses of the control group
         --operator NAME         name in the audit trail; default: your login name
         --expect N              change only if the revision is still N
         --wait                  return when the change is in force everywhere
         --json                  for scripts
A level is region/data-centre/service/backend-server; the root is ''.
";

xflags::xflags! {
    cmd args {
        required action: String
        optional --path path: String
        optional --key key: String
        optional --value value: String
        optional --file file: PathBuf
        optional --control control: String
        optional --operator operator: String
        optional --expect revision: u64
        optional --wait
        optional --dry-run
        optional --json
    }
}

impl Args {
    fn path(&self) -> String {
        self.path.clone().unwrap_or_default()
    }

    fn key(&self) -> Result<String, CmdError> {
        let missing = || CmdError::Usage {
            message: "--key is required".to_owned(),
        };
        self.key.clone().ok_or_else(missing)
    }

    async fn list(&self, client: &AdminClient) -> CmdResult {
        let body = client.settings().await?;
        if self.json {
            return print_json(&body);
        }
        let rows: Vec<Vec<String>> = body
            .overrides
            .into_iter()
            .map(|o| vec![o.path, o.key, o.value])
            .collect();
        print_table(&["PATH", "KEY", "VALUE"], &rows);
        println!("revision {}", body.revision);
        Ok(())
    }

    async fn get(&self, client: &AdminClient) -> CmdResult {
        let (path, key) = (self.path(), self.key()?);
        let url = format!("/v1/effective?path={path}&key={key}");
        let found: Option<EffectiveValue> = client.get(&url).await?;
        let Some(found) = found else {
            return Err(failed(format!("the key {key:?} does not exist")));
        };
        if self.json {
            return print_json(&found);
        }
        let origin = match &found.origin {
            None => "the default".to_owned(),
            Some(level) if level.is_empty() => "the root".to_owned(),
            Some(level) => level.clone(),
        };
        println!("{} (from {origin})", found.value);
        Ok(())
    }

    async fn change(&self, client: &AdminClient, value: Option<String>) -> CmdResult {
        let row = ChangeRow {
            path: self.path(),
            key: self.key()?,
            value,
        };
        self.send(client, vec![row]).await
    }

    async fn send(&self, client: &AdminClient, changes: Vec<ChangeRow>) -> CmdResult {
        let operator = operator_name(self.operator.clone());
        let revision = client.change(&operator, self.expect, changes).await?;
        println!("accepted as revision {revision}");
        if self.wait {
            wait_in_force(client, revision).await?;
        }
        Ok(())
    }

    async fn export(client: &AdminClient) -> CmdResult {
        let overrides = client.settings().await?.overrides;
        let text = toml::to_string_pretty(&SettingsFile { overrides }).map_err(failed)?;
        print!("{text}");
        Ok(())
    }

    async fn import(&self, client: &AdminClient) -> CmdResult {
        let Some(file) = &self.file else {
            return Err(CmdError::Usage {
                message: "--file is required".to_owned(),
            });
        };
        let text = std::fs::read_to_string(file)
            .map_err(|e| failed(format!("{}: {e}", file.display())))?;
        let wanted: SettingsFile = toml::from_str(&text).map_err(|e| CmdError::Usage {
            message: format!("{}: {e}", file.display()),
        })?;
        SettingsTree::from_list(&wanted.overrides).map_err(|e| CmdError::Usage {
            message: format!("{}: {e}", file.display()),
        })?;
        let now = client.settings().await?;
        let changes = changes_between(&now.overrides, &wanted.overrides);
        for row in &changes {
            let value = row.value.as_deref().unwrap_or("(inherit)");
            println!("{} {} = {value}", row.path, row.key);
        }
        if changes.is_empty() {
            println!("nothing to change");
            return Ok(());
        }
        if self.dry_run {
            return Ok(());
        }
        // The revision makes the change fail if the settings have changed since the comparison.
        let operator = operator_name(self.operator.clone());
        let revision = client
            .change(&operator, Some(now.revision), changes)
            .await?;
        println!("accepted as revision {revision}");
        Ok(())
    }
}

/// Waits until a revision is in force everywhere, and prints the processes that are awaited each
/// time the list changes.
pub(crate) async fn wait_in_force(client: &AdminClient, revision: u64) -> CmdResult {
    let mut last_names = String::new();
    client
        .wait_in_force(revision, |awaited| {
            let names = awaited.join(" ");
            if names != last_names {
                eprintln!("awaited: {names}");
                last_names = names;
            }
        })
        .await?;
    println!("revision {revision} is in force everywhere");
    Ok(())
}

/// The changes that turn the overrides `now` into `wanted`.
fn changes_between(now: &[Override], wanted: &[Override]) -> Vec<ChangeRow> {
    let row = |o: &Override, value: Option<&String>| ChangeRow {
        path: o.path.clone(),
        key: o.key.clone(),
        value: value.cloned(),
    };
    let same = |a: &Override, b: &Override| (&a.path, &a.key) == (&b.path, &b.key);
    let mut changes = Vec::new();
    for o in wanted {
        if !now.contains(o) {
            changes.push(row(o, Some(&o.value)));
        }
    }
    for o in now {
        if !wanted.iter().any(|w| same(w, o)) {
            changes.push(row(o, None));
        }
    }
    changes
}

fn keys() {
    let mut rows = Vec::new();
    let team = TEAM_KEYS
        .iter()
        .map(|spec| (format!("teams.NAME.{}", spec.name), spec));
    for (name, spec) in KEYS
        .iter()
        .map(|spec| (spec.name.to_owned(), spec))
        .chain(team)
    {
        rows.push(vec![
            name,
            spec.kind.accepted_values(),
            spec.unit.to_owned(),
            spec.default.to_owned(),
            spec.help.to_owned(),
        ]);
    }
    print_table(&["KEY", "VALUES", "UNIT", "DEFAULT", "MEANING"], &rows);
}

pub(crate) fn run(raw_args: Vec<OsString>) -> CmdResult {
    if print_help_if_requested(&raw_args, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(raw_args)?;
    let client = AdminClient::new(args.control.as_deref());
    block_on(async {
        match args.action.as_str() {
            "list" => args.list(&client).await,
            "keys" => {
                keys();
                Ok(())
            }
            "get" => args.get(&client).await,
            "set" => match args.value.clone() {
                Some(value) => args.change(&client, Some(value)).await,
                None => Err(CmdError::Usage {
                    message: "--value is required".to_owned(),
                }),
            },
            "unset" => args.change(&client, None).await,
            "export" => Args::export(&client).await,
            "import" => args.import(&client).await,
            other => Err(CmdError::Usage {
                message: format!("unknown action {other:?}\n\n{USAGE}"),
            }),
        }
    })
}
