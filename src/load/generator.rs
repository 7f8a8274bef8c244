//! Sends jobs at a fixed mean rate, whether or not earlier ones have been answered.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::client::{Caller, PreparedJob, SubmissionResult};
use super::report::Report;
use super::workload::{Fleet, JobDistribution};

/// Parameters of a load test.
#[derive(Debug, Clone)]
pub(crate) struct LoadGenerator {
    pub(crate) jobs: JobDistribution,
    pub(crate) fleet: Fleet,
    /// Mean number of jobs per second.
    pub(crate) rate: f64,
    pub(crate) duration: Duration,
    /// Share of jobs that are submitted a second time, to the next entry; from 0 to 1.
    pub(crate) duplicates: f64,
    /// True if every job carries an idempotency key. Jobs that are submitted twice always do.
    pub(crate) keyed: bool,
    pub(crate) service: String,
    pub(crate) team: String,
    pub(crate) seed: u64,
    /// Round-trip time between caller and entry, in milliseconds; part of the ideal response
    /// time.
    pub(crate) round_trip_ms: f64,
}

#[derive(Debug)]
struct JobMeasurement {
    result: SubmissionResult,
    tasks: usize,
    ideal_ms: f64,
    resubmission: Option<SubmissionResult>,
}

/// Longest time between a submission and its resubmission, in milliseconds.
const MAX_RESUBMISSION_DELAY_MS: u64 = 400;

impl LoadGenerator {
    /// Runs the load test until all jobs are answered. Calls `progress` with the number of jobs
    /// sent so far.
    ///
    /// Returns the reports on first and on second submissions, and the length of the test in
    /// seconds; `None` if a histogram could not be created.
    pub(crate) async fn run(
        &self,
        caller: &Caller,
        mut progress: impl FnMut(u64),
    ) -> Option<(Report, Report, f64)> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let (tx, mut rx) = mpsc::unbounded_channel();
        let mut tasks = JoinSet::new();
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut sent = 0;
        let run_id = rand::rng().random::<u32>();
        loop {
            // Exponentially distributed gaps make the arrivals a Poisson process.
            let gap = -(1.0 - rng.random::<f64>()).ln() / self.rate;
            due += Duration::from_secs_f64(gap);
            if due >= self.duration {
                break;
            }
            let job = self.jobs.draw(&mut rng);
            let resubmit = rng.random::<f64>() < self.duplicates;
            let resubmission_delay =
                Duration::from_millis(rng.random_range(0..MAX_RESUBMISSION_DELAY_MS));
            let name = format!("load-{run_id:x}-{sent}");
            let keyed = self.keyed || resubmit;
            let prepared = PreparedJob::new(&self.service, &self.team, &name, keyed, &job);
            let ideal_ms = self.fleet.ideal_response_ms(&job, self.round_trip_ms);
            let (caller, tx, entry_index) = (caller.clone(), tx.clone(), sent);
            tokio::time::sleep_until((start + due).into()).await;
            tasks.spawn(async move {
                let first = caller.send(&prepared, entry_index);
                let second = async {
                    if !resubmit {
                        return None;
                    }
                    tokio::time::sleep(resubmission_delay).await;
                    Some(caller.send(&prepared, entry_index + 1).await)
                };
                let (result, resubmission) = tokio::join!(first, second);
                let measurement = JobMeasurement {
                    result,
                    tasks: job.tasks.len(),
                    ideal_ms,
                    resubmission,
                };
                // Cannot fail: the receiver outlives all tasks.
                let _ = tx.send(measurement);
            });
            sent += 1;
            progress(sent as u64);
        }
        while tasks.join_next().await.is_some() {}
        drop(tx);
        let seconds = start.elapsed().as_secs_f64();
        let (mut first, mut second) = (Report::new()?, Report::new()?);
        while let Some(measurement) = rx.recv().await {
            first.add(measurement.result, measurement.tasks, measurement.ideal_ms);
            if let Some(resubmission) = measurement.resubmission {
                second.add(resubmission, measurement.tasks, measurement.ideal_ms);
            }
        }
        Some((first, second, seconds))
    }
}
