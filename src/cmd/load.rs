//! `fulmardrift load`.

use std::ffi::OsString;
use std::io::IsTerminal;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};

use super::table::{print_json, print_table};
use super::{CmdError, CmdResult, block_on, failed, helped};
use crate::load::client::Caller;
use crate::load::drive::Drive;
use crate::load::report::Report;
use crate::load::shape::{Fleet, Shape};

const USAGE: &str = "usage: fulmardrift load --entries IP:PORT[,..] [OPTION ...]

Sends jobs at a rate, whatever becomes of the earlier ones, and measures response
time against the ideal of the backend servers named.

options: --service NAME      (proof)      --team NAME        (default)
         --rate JOBS         a second     --load PERCENT     of the fleet, instead
         --seconds N         (10)         --seed N           (1)
         --tasks MIN-MAX     (8-64)       --work-ms MIN-MAX  (50-1000) at speed 1
         --long-percent P    (0.2)        --declared-off F   (2) times, either way
         --duplicates P      percent of jobs submitted again at the next entry
         --keyed             every job carries a key
         --speeds S,..       (1)          --slots N          (8) of each
         --trip-ms N         (0)          --json
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

fn usage(message: impl Into<String>) -> CmdError {
    CmdError::Usage {
        message: message.into(),
    }
}

fn range<T: std::str::FromStr + PartialOrd>(text: &str) -> Result<(T, T), CmdError> {
    let bad = || usage(format!("{text:?} is not MIN-MAX"));
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
    fn shape(&self) -> Result<Shape, CmdError> {
        let mut shape = Shape::default();
        if let Some(text) = &self.tasks {
            shape.tasks = range(text)?;
        }
        if let Some(text) = &self.work_ms {
            shape.work_ms = range(text)?;
        }
        if let Some(percent) = self.long_percent {
            shape.long_share = percent / 100.0;
        }
        if let Some(factor) = self.declared_off {
            shape.declared_off = factor.max(1.0);
        }
        if shape.tasks.0 == 0 || shape.work_ms.0 <= 0.0 {
            return Err(usage("tasks and work must be above zero"));
        }
        Ok(shape)
    }

    fn fleet(&self) -> Result<Fleet, CmdError> {
        let text = self.speeds.as_deref().unwrap_or("1");
        let speeds: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
        let speeds = speeds.map_err(|e| usage(format!("--speeds {text}: {e}")))?;
        if speeds.iter().any(|s| *s <= 0.0) {
            return Err(usage("--speeds: all above zero"));
        }
        Ok(Fleet {
            speeds,
            slots: self.slots.unwrap_or(8),
        })
    }

    fn drive(&self) -> Result<Drive, CmdError> {
        let (shape, fleet) = (self.shape()?, self.fleet()?);
        let rate = match (self.rate, self.load) {
            (Some(rate), _) => rate,
            (None, Some(percent)) => {
                percent / 100.0 * fleet.total_speed() * 1_000.0 / shape.mean_work()
            }
            (None, None) => 1.0,
        };
        if rate <= 0.0 {
            return Err(usage("the rate must be above zero"));
        }
        Ok(Drive {
            shape,
            fleet,
            rate,
            duration: Duration::from_secs_f64(self.seconds.unwrap_or(10.0)),
            duplicates: self.duplicates.unwrap_or(0.0) / 100.0,
            keyed: self.keyed,
            service: self.service.clone().unwrap_or_else(|| "proof".to_owned()),
            team: self.team.clone().unwrap_or_else(|| "default".to_owned()),
            seed: self.seed.unwrap_or(1),
            trip_ms: self.trip_ms.unwrap_or(0.0),
        })
    }
}

fn print_report(report: &Report) {
    let mut rows = Vec::new();
    for (name, quantile) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)] {
        rows.push(vec![
            name.to_owned(),
            format!("{:.1}", report.time(quantile)),
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

pub(crate) fn run(words: Vec<OsString>) -> CmdResult {
    if helped(&words, USAGE) {
        return Ok(());
    }
    let args = Args::from_vec(words)?;
    let drive = args.drive()?;
    let entries = args.entries.split(',').map(str::to_owned).collect();
    let bar = progress(drive.rate * drive.duration.as_secs_f64());
    let (report, again, seconds) = block_on(async {
        let caller = Caller::new(entries);
        let run = drive.run(&caller, |sent| bar.set_position(sent)).await;
        run.ok_or_else(|| failed("no histogram"))
    })?;
    bar.finish_and_clear();
    if args.json {
        return print_json(&report.summary(seconds));
    }
    print_report(&report);
    if again.sent > 0 {
        println!(
            "resubmitted={} complete={} wrong={}",
            again.sent, again.complete, again.wrong
        );
    }
    Ok(())
}

fn progress(jobs: f64) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    // The cast saturates; the count is only shown.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bar = ProgressBar::new(jobs as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} jobs {elapsed}") {
        bar.set_style(style);
    }
    bar
}
