//! The command `fulmardrift status`, which shows the control group and the processes.

use std::ffi::OsString;

use super::admin_client::AdminClient;
use super::table::{print_json, print_table};
use super::{CmdResult, block_on, print_help_if_requested};
use crate::shell::admin::StatusBody;

const USAGE: &str = "usage: fulmardrift status [OPTION ...]

Shows the state of the control group and the directory of processes, as the first
control instance that answers reports them.

options: --control IP:PORT[,..]  administration addresses of the control group
         --json                  for scripts
";

xflags::xflags! {
    cmd args {
        optional --control control: String
        optional --json
    }
}

pub(crate) fn run(raw_args: Vec<OsString>) -> CmdResult {
    if print_help_if_requested(&raw_args, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(raw_args)?;
    let client = AdminClient::new(args.control.as_deref());
    let status: StatusBody = block_on(client.get("/v1/status"))?;
    if args.json {
        return print_json(&status);
    }
    let leader = status
        .leader
        .map_or_else(|| "none".to_owned(), |id| id.to_string());
    let voters: Vec<String> = status.voters.iter().map(u64::to_string).collect();
    println!(
        "leader {leader}, term {}, committed {}, voters {}, revision {}, claims {}",
        status.term,
        status.committed,
        voters.join(" "),
        status.revision,
        status.claims,
    );
    let mut rows = Vec::new();
    for process in status.processes {
        let state = if process.out { "out" } else { "in" };
        rows.push(vec![
            process.role,
            process.name,
            process.place,
            process.service,
            process.address,
            state.to_owned(),
        ]);
    }
    print_table(
        &["ROLE", "NAME", "DATA CENTRE", "SERVICE", "ADDRESS", "STATE"],
        &rows,
    );
    Ok(())
}
