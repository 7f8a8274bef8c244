//! `fulmardrift status`.

use std::ffi::OsString;

use super::admin_client::AdminClient;
use super::table::{print_json, print_table};
use super::{CmdResult, block_on, helped};
use crate::shell::admin::StatusBody;

const USAGE: &str = "usage: fulmardrift status [OPTION ...]

The control group as the first instance that answers sees it, and the directory.

options: --control IP:PORT[,..]  control's administration addresses
         --json                  for scripts
";

xflags::xflags! {
    cmd args {
        optional --control control: String
        optional --json
    }
}

pub(crate) fn run(words: Vec<OsString>) -> CmdResult {
    if helped(&words, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(words)?;
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
    for p in status.processes {
        let state = if p.out { "out" } else { "in" };
        rows.push(vec![
            p.role,
            p.name,
            p.place,
            p.service,
            p.address,
            state.to_owned(),
        ]);
    }
    print_table(
        &["ROLE", "NAME", "DATA CENTRE", "SERVICE", "ADDRESS", "STATE"],
        &rows,
    );
    Ok(())
}
