//! `fulmardrift data-centre`.

use std::ffi::OsString;
use std::io::{BufRead, Write};

use super::admin_client::{AdminClient, operator};
use super::settings::wait;
use super::table::{print_json, print_table};
use super::{CmdError, CmdResult, block_on, failed, helped};
use crate::control::settings::is_name;
use crate::shell::admin::{ChangeRow, StatusBody};

const USAGE: &str = "usage: fulmardrift data-centre ACTION [REGION/DATA-CENTRE] [OPTION ...]

  out REGION/DATA-CENTRE   take it out: running tasks finish, none starts there
  in REGION/DATA-CENTRE    bring it back
  list                     data centres with their agents

options: --wait                  return once it is in force everywhere
         --yes                   do not ask
         --control IP:PORT[,..]  control's administration addresses
         --operator NAME         for the audit trail; your login name without it
         --json                  for scripts
";

xflags::xflags! {
    cmd args {
        required action: String
        optional place: String
        optional --wait
        optional --yes
        optional --control control: String
        optional --operator operator: String
        optional --json
    }
}

impl Args {
    fn place(&self) -> Result<&str, CmdError> {
        let place = self.place.as_deref().unwrap_or_default();
        let parts: Vec<&str> = place.split('/').collect();
        if parts.len() == 2 && parts.iter().all(|part| is_name(part)) {
            return Ok(place);
        }
        let message = format!("{place:?} is not REGION/DATA-CENTRE\n\n{USAGE}");
        Err(CmdError::Usage { message })
    }

    async fn set(&self, client: &AdminClient, out: bool) -> CmdResult {
        let place = self.place()?;
        if out && !self.yes && !confirm(&format!("take {place} out of work?"))? {
            return Err(failed("not confirmed, nothing changed"));
        }
        let value = out.then(|| "true".to_owned());
        let row = ChangeRow {
            path: place.to_owned(),
            key: "out".to_owned(),
            value,
        };
        let operator = operator(self.operator.clone());
        let revision = client.change(&operator, None, vec![row]).await?;
        println!("accepted as revision {revision}");
        if self.wait {
            wait(client, revision).await?;
        }
        Ok(())
    }

    async fn list(&self, client: &AdminClient) -> CmdResult {
        let status: StatusBody = client.get("/v1/status").await?;
        if self.json {
            return print_json(&status.processes);
        }
        let mut places: Vec<(String, bool, usize)> = Vec::new();
        for process in status.processes.iter().filter(|p| p.role == "agent") {
            match places
                .iter_mut()
                .find(|(place, ..)| *place == process.place)
            {
                Some((_, out, agents)) => {
                    *out &= process.out;
                    *agents += 1;
                }
                None => places.push((process.place.clone(), process.out, 1)),
            }
        }
        let row = |(place, out, agents): &(String, bool, usize)| {
            let state = if *out { "out" } else { "in" };
            vec![place.clone(), state.to_owned(), agents.to_string()]
        };
        let rows: Vec<Vec<String>> = places.iter().map(row).collect();
        print_table(&["DATA CENTRE", "STATE", "AGENTS"], &rows);
        Ok(())
    }
}

/// Asks at the terminal.
pub(crate) fn confirm(question: &str) -> Result<bool, CmdError> {
    print!("{question} [y/N] ");
    std::io::stdout().flush().map_err(failed)?;
    let mut line = String::new();
    std::io::stdin()
        .lock()
        .read_line(&mut line)
        .map_err(failed)?;
    Ok(matches!(line.trim(), "y" | "yes"))
}

pub(crate) fn run(words: Vec<OsString>) -> CmdResult {
    if helped(&words, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(words)?;
    let client = AdminClient::new(args.control.as_deref());
    block_on(async {
        match args.action.as_str() {
            "out" => args.set(&client, true).await,
            "in" => args.set(&client, false).await,
            "list" => args.list(&client).await,
            other => Err(CmdError::Usage {
                message: format!("no action {other:?}\n\n{USAGE}"),
            }),
        }
    })
}
