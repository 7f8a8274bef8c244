//! The command `fulmardrift audit`, which shows past changes of settings.

use std::ffi::OsString;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::admin_client::AdminClient;
use super::table::{print_json, print_table};
use super::{CmdError, CmdResult, block_on, print_help_if_requested};
use crate::control::state_machine::AuditRow;

const USAGE: &str = "usage: fulmardrift audit [OPTION ...]

Shows who changed which setting and when, including refused changes.

options: --since TIME            changes from this time on, such as 2026-12-04T08:00:00Z
         --by NAME               changes by this operator only
         --path P                changes at this level and below it only
         --control IP:PORT[,..]  administration addresses of the control group
         --json                  for scripts
";

xflags::xflags! {
    cmd args {
        optional --since time: String
        optional --by operator: String
        optional --path path: String
        optional --control control: String
        optional --json
    }
}

impl Args {
    fn since(&self) -> Result<u128, CmdError> {
        let Some(text) = &self.since else {
            return Ok(0);
        };
        let time = humantime::parse_rfc3339_weak(text).map_err(|e| CmdError::Usage {
            message: format!("--since {text}: {e}"),
        })?;
        Ok(time
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis())
    }

    fn matches_filter(&self, row: &AuditRow, since: u128) -> bool {
        let by_operator = self.by.as_ref().is_none_or(|name| *name == row.operator);
        let below_path = self.path.as_ref().is_none_or(|path| {
            let rest = row.path.strip_prefix(path.as_str());
            rest.is_some_and(|rest| path.is_empty() || rest.is_empty() || rest.starts_with('/'))
        });
        by_operator && below_path && u128::from(row.at.0) >= since
    }
}

fn row_cells(row: &AuditRow) -> Vec<String> {
    let at: SystemTime = UNIX_EPOCH + Duration::from_millis(row.at.0);
    let show = |value: &Option<String>| value.clone().unwrap_or_else(|| "(inherit)".to_owned());
    let result = if row.refused.is_empty() {
        format!("revision {}", row.revision.0)
    } else {
        format!("refused: {}", row.refused)
    };
    vec![
        humantime::format_rfc3339_millis(at).to_string(),
        row.operator.clone(),
        row.path.clone(),
        row.key.clone(),
        show(&row.before),
        show(&row.after),
        result,
    ]
}

pub(crate) fn run(raw_args: Vec<OsString>) -> CmdResult {
    if print_help_if_requested(&raw_args, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(raw_args)?;
    let since = args.since()?;
    let client = AdminClient::new(args.control.as_deref());
    let rows: Vec<AuditRow> = block_on(client.get("/v1/audit"))?;
    let rows: Vec<AuditRow> = rows
        .into_iter()
        .filter(|row| args.matches_filter(row, since))
        .collect();
    if args.json {
        return print_json(&rows);
    }
    let rows: Vec<Vec<String>> = rows.iter().map(row_cells).collect();
    print_table(
        &[
            "TIME", "OPERATOR", "PATH", "KEY", "BEFORE", "AFTER", "RESULT",
        ],
        &rows,
    );
    Ok(())
}
