//! Runs the soak for many seeds and prints what it found.

mod flags;

use std::process::ExitCode;
use std::time::Duration;

use fulmardrift_soak::{
    ENTRY_SHARES, FirstStart, FleetOptions, Options, REGRESSIONS, Report, Sizes, SoakError, run,
    run_fleet,
};
use tokio::task::JoinSet;

use crate::flags::Soak;

/// Size of a disk in the settings files, in MB.
const DISK_MB: u64 = 128;
/// Time after which callers send a job again.
const RESEND_MS: u64 = 1_300;
/// The settings files give sizes in units of this many bytes.
const BYTES_PER_MB: u64 = 1_000_000;
/// A configuration has at least one seventh of the routes of the largest.
const SIZE_RANGE: u32 = 7;
/// Bounds of a grown deployment: `ack_ms`, `config_apply_ms` and `contact_ms`.
const ACK: Duration = Duration::from_secs(5);
const APPLY: Duration = Duration::from_millis(2_500);
const CONTACT: Duration = Duration::from_secs(4);

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Soak::from_env_or_exit();
    let options = match options(&flags) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("the program's path: {error}");
            return ExitCode::FAILURE;
        }
    };
    let groups = flags.groups.unwrap_or(1);
    let first = flags.first.unwrap_or(1);
    let seeds = first..first + flags.seeds.unwrap_or(50);
    let first_start = |seed| flags.first_start.unwrap_or_else(|| FirstStart::draw(seed));
    if flags.deployment {
        let options = fleet_options(&flags, &options);
        let run = |seed| {
            let options = FleetOptions {
                first_start: first_start(seed),
                ..options.clone()
            };
            async move { print(run_fleet(options, seed).await) }
        };
        return run_all(seeds.map(run).collect(), groups).await;
    }
    let runs: Vec<(u64, Duration)> = if flags.regressions {
        let all = REGRESSIONS.iter();
        all.map(|r| (r.seed, Duration::from_secs(r.seconds)))
            .collect()
    } else {
        seeds.map(|seed| (seed, options.length)).collect()
    };
    let run = |(seed, length)| {
        let options = Options {
            first_start: first_start(seed),
            length,
            ..options.clone()
        };
        async move { print(run(options, seed).await) }
    };
    run_all(runs.into_iter().map(run).collect(), groups).await
}

fn options(flags: &Soak) -> std::io::Result<Options> {
    let program = match &flags.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()?.with_file_name("fulmardrift-platform"),
    };
    let routes = flags.routes.unwrap_or(2_800);
    let logs = flags.logs.clone();
    Ok(Options {
        program,
        first_start: FirstStart::Together,
        length: Duration::from_secs(flags.seconds.unwrap_or(30)),
        routes: (routes / SIZE_RANGE, routes),
        recovery: Duration::from_secs(flags.recovery_s.unwrap_or(12)),
        catch_up: Duration::from_secs(flags.catch_up_s.unwrap_or(4)),
        disk_mb: DISK_MB,
        resend: Duration::from_millis(flags.resend_ms.unwrap_or(RESEND_MS)),
        file_bound: flags.file_bound_mb.unwrap_or(0) * BYTES_PER_MB,
        logs: Some(logs.unwrap_or_else(|| std::env::temp_dir().join("soak-logs"))),
    })
}

fn fleet_options(flags: &Soak, group: &Options) -> FleetOptions {
    let routes = flags.routes.unwrap_or(100);
    FleetOptions {
        program: group.program.clone(),
        sizes: Sizes {
            controls: flags.controls.unwrap_or(5),
            entries: flags.entries.unwrap_or(10),
            agents: flags.agents.unwrap_or(58),
        },
        first_start: group.first_start,
        length: group.length,
        faults: !flags.no_faults,
        cuts: !flags.no_cuts,
        per_second: flags.per_second.unwrap_or(90),
        then: flags.then.or(flags.per_second).unwrap_or(90),
        mix: flags.mix.unwrap_or_default(),
        resend: group.resend,
        shares: flags.shares.then(|| {
            let own = flags.entry_share.map(|share| (share, share));
            own.unwrap_or(ENTRY_SHARES)
        }),
        routes: (routes / SIZE_RANGE, routes),
        ack: ACK,
        apply: APPLY,
        contact: CONTACT,
        recovery: Duration::from_secs(flags.recovery_s.unwrap_or(15)),
        catch_up: Duration::from_secs(flags.catch_up_s.unwrap_or(6)),
        logs: group.logs.clone(),
        keep: flags.keep,
    }
}

/// Runs all seeds, so many at the same time, and prints what was found.
async fn run_all<F>(runs: Vec<F>, groups: usize) -> ExitCode
where
    F: Future<Output = bool> + Send + 'static,
{
    let total = runs.len();
    let (mut done, mut failed) = (0, 0);
    let mut waiting = runs.into_iter();
    let mut running = JoinSet::new();
    loop {
        while running.len() < groups.max(1)
            && let Some(next) = waiting.next()
        {
            running.spawn(next);
        }
        let Some(ended) = running.join_next().await else {
            break;
        };
        done += 1;
        let held = ended.unwrap_or_else(|error| {
            println!("run failed: {error}");
            false
        });
        failed += usize::from(!held);
    }
    println!("{done} of {total} seeds, {failed} with findings");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print(ended: Result<Report, SoakError>) -> bool {
    let report = match ended {
        Ok(report) => report,
        Err(error) => {
            println!("cannot run: {error}");
            return false;
        }
    };
    let (seed, found) = (report.seed, report.findings.len());
    println!("seed {seed}: {} findings={found}", report.counts);
    for finding in &report.findings {
        println!("  {finding}");
    }
    if let Some(logs) = report.logs {
        println!("  logs in {}", logs.display());
    }
    found == 0
}
