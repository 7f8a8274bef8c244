//! The command `fulmardrift data-centre`, which lists, evacuates and restores data centres.

use std::ffi::OsString;
use std::io::{BufRead, Write};

use super::admin_client::{AdminClient, operator_name};
use super::settings::wait_in_force;
use super::table::{print_json, print_table};
use super::{CmdError, CmdResult, block_on, failed, print_help_if_requested};
use crate::control::settings::is_name;
use crate::shell::admin::{ChangeRow, StatusBody};

const USAGE: &str = "usage: fulmardrift data-centre ACTION [REGION/DATA-CENTRE] [OPTION ...]

  out REGION/DATA-CENTRE   evacuate it: start no more tasks there; running tasks finish
  in REGION/DATA-CENTRE    put it back into use
  list                     list the data centres and the number of their agents

options: --wait                  return when the change is in force everywhere
         --yes                   do not ask for confirmation
         --control IP:PORT[,..]  administration addresses of the control group
         --operator NAME         name in the audit trail; default: your login name
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

    async fn set_evacuated(&self, client: &AdminClient, evacuated: bool) -> CmdResult {
        let place = self.place()?;
        if evacuated && !self.yes && !confirm(&format!("evacuate {place}?"))? {
            return Err(failed("not confirmed; nothing was changed"));
        }
        let value = evacuated.then(|| "true".to_owned());
        let row = ChangeRow {
            path: place.to_owned(),
            key: "out".to_owned(),
            value,
        };
        let operator = operator_name(self.operator.clone());
        let revision = client.change(&operator, None, vec![row]).await?;
        println!("accepted as revision {revision}");
        if self.wait {
            wait_in_force(client, revision).await?;
        }
        Ok(())
    }

    async fn list(&self, client: &AdminClient) -> CmdResult {
        let status: StatusBody = client.get("/v1/status").await?;
        if self.json {
            return print_json(&status.processes);
        }
        let mut data_centres: Vec<(String, bool, usize)> = Vec::new();
        for process in status.processes.iter().filter(|p| p.role == "agent") {
            match data_centres
                .iter_mut()
                .find(|(place, ..)| *place == process.place)
            {
                Some((_, evacuated, agents)) => {
                    *evacuated &= process.out;
                    *agents += 1;
                }
                None => data_centres.push((process.place.clone(), process.out, 1)),
            }
        }
        let row = |(place, evacuated, agents): &(String, bool, usize)| {
            let state = if *evacuated { "out" } else { "in" };
            vec![place.clone(), state.to_owned(), agents.to_string()]
        };
        let rows: Vec<Vec<String>> = data_centres.iter().map(row).collect();
        print_table(&["DATA CENTRE", "STATE", "AGENTS"], &rows);
        Ok(())
    }
}

/// Asks a yes-or-no question on the terminal; any answer but `y` or `yes` means no.
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

pub(crate) fn run(raw_args: Vec<OsString>) -> CmdResult {
    if print_help_if_requested(&raw_args, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(raw_args)?;
    let client = AdminClient::new(args.control.as_deref());
    block_on(async {
        match args.action.as_str() {
            "out" => args.set_evacuated(&client, true).await,
            "in" => args.set_evacuated(&client, false).await,
            "list" => args.list(&client).await,
            other => Err(CmdError::Usage {
                message: format!("unknown action {other:?}\n\n{USAGE}"),
            }),
        }
    })
}
