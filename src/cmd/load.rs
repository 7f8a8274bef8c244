//! `fulmardrift load`.

use std::ffi::OsString;
use std::io::IsTerminal;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

use super::table::{print_json, print_table};
use super::{CmdError, CmdResult, block_on, failed, print_help_if_requested};
use crate::load::client::Caller;
use crate::load::generator::LoadGenerator;
use crate::load::report::Report;
use crate::load::workload::{Fleet, JobDistribution};

const USAGE: &str = "usage: fulmardrift load --entries IP:PORT[,..] [OPTION ...]

Sends jobs at a fixed mean rate, whether or not earlier ones have been answered, and
compares the response times with the ideal for backend servers of the given speeds.

options: --service NAME      (proof)      --team NAME        (default)
         --rate JOBS         per second   --load PERCENT     of the fleet's capacity, instead
         --seconds N         (10)         --seed N           (1)
         --tasks MIN-MAX     (8-64)       --work-ms MIN-MAX  (50-1000) at speed 1
         --long-percent P    (0.2)        --declared-off F   (2) error factor of declared times
         --duplicates P      percent of jobs submitted again at the next entry
         --keyed             every job carries an idempotency key
         --speeds S,..       (1)          --slots N          (8) of each server
         --trip-ms N         (0) round trip to the entry, part of the ideal
         --json              for scripts
";

xflags::xflags! {
    cmd args {
        required --entries entries: String
        optional --service service: String
        optional --team team: String
        optional --rate rate: f64
        optional --load percent: f64
        optional --seconds seconds: f64
        optional --seed seed: u64
        optional --tasks range: String
        optional --work-ms range: String
        optional --long-percent percent: f64
        optional --declared-off factor: f64
        optional --duplicates percent: f64
        optional --keyed
        optional --speeds speeds: String
        optional --slots slots: u32
        optional --trip-ms ms: f64
        optional --json
    }
}

fn usage_error(message: impl Into<String>) -> CmdError {
    CmdError::Usage {
        message: message.into(),
    }
}

fn parse_range<T: std::str::FromStr + PartialOrd>(text: &str) -> Result<(T, T), CmdError> {
    let bad = || usage_error(format!("{text:?} is not MIN-MAX"));
    let (low, high) = text.split_once('-').ok_or_else(bad)?;
    let low: T = low.parse().map_err(|_| bad())?;
    let high: T = high.parse().map_err(|_| bad())?;
    if low <= high {
        Ok((low, high))
    } else {
        Err(bad())
    }
}

impl Args {
    fn job_distribution(&self) -> Result<JobDistribution, CmdError> {
        let mut jobs = JobDistribution::default();
        if let Some(text) = &self.tasks {
            jobs.tasks = parse_range(text)?;
        }
        if let Some(text) = &self.work_ms {
            jobs.work_ms = parse_range(text)?;
        }
        if let Some(percent) = self.long_percent {
            jobs.long_share = percent / 100.0;
        }
        if let Some(factor) = self.declared_off {
            jobs.max_declared_error = factor.max(1.0);
        }
        if jobs.tasks.0 == 0 || jobs.work_ms.0 <= 0.0 {
            return Err(usage_error("--tasks and --work-ms must be above zero"));
        }
        Ok(jobs)
    }

    fn fleet(&self) -> Result<Fleet, CmdError> {
        let text = self.speeds.as_deref().unwrap_or("1");
        let speeds: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
        let speeds = speeds.map_err(|e| usage_error(format!("--speeds {text}: {e}")))?;
        if speeds.iter().any(|s| *s <= 0.0) {
            return Err(usage_error("--speeds: every speed must be above zero"));
        }
        Ok(Fleet {
            speeds,
            slots: self.slots.unwrap_or(8),
        })
    }

    fn load_generator(&self) -> Result<LoadGenerator, CmdError> {
        let (jobs, fleet) = (self.job_distribution()?, self.fleet()?);
        let rate = match (self.rate, self.load) {
            (Some(rate), _) => rate,
            (None, Some(percent)) => {
                percent / 100.0 * fleet.total_speed() * 1_000.0 / jobs.mean_work_ms()
            }
            (None, None) => 1.0,
        };
        if rate <= 0.0 {
            return Err(usage_error("the rate must be above zero"));
        }
        Ok(LoadGenerator {
            jobs,
            fleet,
            rate,
            duration: Duration::from_secs_f64(self.seconds.unwrap_or(10.0)),
            duplicates: self.duplicates.unwrap_or(0.0) / 100.0,
            keyed: self.keyed,
            service: self.service.clone().unwrap_or_else(|| "proof".to_owned()),
            team: self.team.clone().unwrap_or_else(|| "default".to_owned()),
            seed: self.seed.unwrap_or(1),
            round_trip_ms: self.trip_ms.unwrap_or(0.0),
        })
    }
}

fn print_report(report: &Report) {
    let mut rows = Vec::new();
    for (name, quantile) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)] {
        rows.push(vec![
            name.to_owned(),
            format!("{:.1}", report.response_ms(quantile)),
            format!("{:.3}", report.ratio(quantile)),
        ]);
    }
    print_table(&["", "RESPONSE MS", "OVER IDEAL"], &rows);
    println!(
        "jobs={} tasks={} complete={} failed={} refused={} wrong={} lost={}",
        report.sent,
        report.tasks,
        report.complete,
        report.failed,
        report.refused,
        report.wrong,
        report.lost,
    );
}

pub(crate) fn run(raw_args: Vec<OsString>) -> CmdResult {
    if print_help_if_requested(&raw_args, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(raw_args)?;
    let generator = args.load_generator()?;
    let entries = args.entries.split(',').map(str::to_owned).collect();
    let bar = progress_bar(generator.rate * generator.duration.as_secs_f64());
    let (report, resubmitted, seconds) = block_on(async {
        let caller = Caller::new(entries);
        let run = generator.run(&caller, |sent| bar.set_position(sent)).await;
        run.ok_or_else(|| failed("cannot create a histogram"))
    })?;
    bar.finish_and_clear();
    if args.json {
        return print_json(&report.summary(seconds));
    }
    print_report(&report);
    if resubmitted.sent > 0 {
        println!(
            "resubmitted={} complete={} wrong={}",
            resubmitted.sent, resubmitted.complete, resubmitted.wrong
        );
    }
    Ok(())
}

fn progress_bar(jobs: f64) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    // Casts from f64 to integers saturate, and the number is only displayed.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bar = ProgressBar::new(jobs as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} jobs {elapsed}") {
        bar.set_style(style);
    }
    bar
}
