//! The command `fulmardrift status`, which shows the control group and the processes.

use std::ffi::OsString;

use super::admin_client::AdminClient;
use super::table::{print_json, print_table};
use super::{CmdResult, block_on, print_help_if_requested};
use crate::shell::admin::FollowerRow;

const USAGE: &str = "usage: fulmardrift status [OPTION ...]

Shows the state of the control group and the directory of processes, as the
leader reports them, or the first control instance that answers if none leads. Only
the leader knows how far the other control instances have the log.

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
    let status = block_on(client.status())?;
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
    print_followers(&status.followers);
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

fn print_followers(followers: &[FollowerRow]) {
    if followers.is_empty() {
        return;
    }
    let mut rows = Vec::new();
    for follower in followers {
        let state = match (follower.caught_up, follower.answered_ms) {
            (true, _) => "caught up",
            (false, Some(_)) => "behind",
            (false, None) => "no answer",
        };
        let answered = follower
            .answered_ms
            .map_or_else(|| "-".to_owned(), |ms| ms.to_string());
        rows.push(vec![
            follower.id.to_string(),
            if follower.voter { "yes" } else { "no" }.to_owned(),
            follower.acked.to_string(),
            follower.missing.to_string(),
            follower.missing_bytes.to_string(),
            answered,
            state.to_owned(),
        ]);
    }
    print_table(
        &[
            "CONTROL",
            "VOTER",
            "ACKED",
            "MISSING",
            "BYTES",
            "ANSWERED MS",
            "STATE",
        ],
        &rows,
    );
    println!();
}
