//! The command `fulmardrift backend-server`, which lists, drains and resumes backend servers.

use std::ffi::OsString;

use super::admin_client::{AdminClient, operator_name};
use super::data_centre::confirm;
use super::settings::wait_in_force;
use super::table::{print_json, print_table};
use super::{CmdError, CmdResult, block_on, failed, print_help_if_requested};
use crate::shell::admin::{ChangeRow, ProcessRow, StatusBody};

const USAGE: &str = "usage: fulmardrift backend-server ACTION [NAME] [OPTION ...]

  list           list every backend server that has announced itself
  drain NAME     start no more tasks on it; running tasks finish
  resume NAME    start tasks on it again

options: --wait                  return when the change is in force everywhere
         --yes                   do not ask for confirmation
         --control IP:PORT[,..]  administration addresses of the control group
         --operator NAME         name in the audit trail; default: your login name
         --json                  for scripts
";

xflags::xflags! {
    cmd args {
        required action: String
        optional name: String
        optional --wait
        optional --yes
        optional --control control: String
        optional --operator operator: String
        optional --json
    }
}

impl Args {
    async fn agents(&self, client: &AdminClient) -> Result<Vec<ProcessRow>, CmdError> {
        let status: StatusBody = client.get("/v1/status").await?;
        Ok(status
            .processes
            .into_iter()
            .filter(|p| p.role == "agent")
            .collect())
    }

    async fn list(&self, client: &AdminClient) -> CmdResult {
        let agents = self.agents(client).await?;
        if self.json {
            return print_json(&agents);
        }
        let row = |p: &ProcessRow| {
            let state = if p.out { "out" } else { "in" };
            vec![
                p.name.clone(),
                p.place.clone(),
                p.service.clone(),
                state.to_owned(),
            ]
        };
        let rows: Vec<Vec<String>> = agents.iter().map(row).collect();
        print_table(&["NAME", "DATA CENTRE", "SERVICE", "STATE"], &rows);
        Ok(())
    }

    async fn set_evacuated(&self, client: &AdminClient, evacuated: bool) -> CmdResult {
        let name = self.name.as_deref().unwrap_or_default();
        let agents = self.agents(client).await?;
        let Some(agent) = agents.iter().find(|p| p.name == name) else {
            return Err(failed(format!(
                "no backend server has the name {name:?}; see the action \"list\""
            )));
        };
        if evacuated && !self.yes && !confirm(&format!("drain {name}?"))? {
            return Err(failed("not confirmed; nothing was changed"));
        }
        let path = format!("{}/{}/{}", agent.place, agent.service, agent.name);
        let value = evacuated.then(|| "true".to_owned());
        let row = ChangeRow {
            path,
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
            "drain" => args.set_evacuated(&client, true).await,
            "resume" => args.set_evacuated(&client, false).await,
            other => Err(CmdError::Usage {
                message: format!("unknown action {other:?}\n\n{USAGE}"),
            }),
        }
    })
}
