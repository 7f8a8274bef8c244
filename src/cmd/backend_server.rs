//! `fulmardrift backend-server`.

use std::ffi::OsString;

use super::admin_client::{AdminClient, operator};
use super::data_centre::confirm;
use super::settings::wait;
use super::table::{print_json, print_table};
use super::{CmdError, CmdResult, block_on, failed, helped};
use crate::shell::admin::{ChangeRow, ProcessRow, StatusBody};

const USAGE: &str = "usage: fulmardrift backend-server ACTION [NAME] [OPTION ...]

  list           every backend server that has announced itself
  drain NAME     no new work; what runs finishes
  resume NAME    take work again

options: --wait                  return once it is in force everywhere
         --yes                   do not ask
         --control IP:PORT[,..]  control's administration addresses
         --operator NAME         for the audit trail; your login name without it
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

    async fn set(&self, client: &AdminClient, out: bool) -> CmdResult {
        let name = self.name.as_deref().unwrap_or_default();
        let agents = self.agents(client).await?;
        let Some(agent) = agents.iter().find(|p| p.name == name) else {
            return Err(failed(format!(
                "no backend server {name:?}; see the list action"
            )));
        };
        if out && !self.yes && !confirm(&format!("drain {name}?"))? {
            return Err(failed("not confirmed, nothing changed"));
        }
        let path = format!("{}/{}/{}", agent.place, agent.service, agent.name);
        let value = out.then(|| "true".to_owned());
        let row = ChangeRow {
            path,
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
}

pub(crate) fn run(words: Vec<OsString>) -> CmdResult {
    if helped(&words, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(words)?;
    let client = AdminClient::new(args.control.as_deref());
    block_on(async {
        match args.action.as_str() {
            "list" => args.list(&client).await,
            "drain" => args.set(&client, true).await,
            "resume" => args.set(&client, false).await,
            other => Err(CmdError::Usage {
                message: format!("no action {other:?}\n\n{USAGE}"),
            }),
        }
    })
}
