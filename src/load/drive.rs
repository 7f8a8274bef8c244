//! Sending jobs at a rate, whatever becomes of the earlier ones.

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::client::{Answered, Caller, Letter};
use super::report::Report;
use super::shape::{Fleet, Shape};

/// One run.
#[derive(Debug, Clone)]
pub(crate) struct Drive {
    pub(crate) shape: Shape,
    pub(crate) fleet: Fleet,
    /// Jobs a second.
    pub(crate) rate: f64,
    pub(crate) duration: Duration,
    /// Share of jobs that are submitted a second time, to the next entry.
    pub(crate) duplicates: f64,
    /// True when jobs carry a key; those submitted twice always do.
    pub(crate) keyed: bool,
    pub(crate) service: String,
    pub(crate) team: String,
    pub(crate) seed: u64,
    /// Caller's round trip, in milliseconds.
    pub(crate) trip_ms: f64,
}

#[derive(Debug)]
struct Row {
    answered: Answered,
    tasks: usize,
    ideal_ms: f64,
    again: Option<Answered>,
}

/// Longest time between a submission and its resubmission, in milliseconds.
const AGAIN_MS: u64 = 400;

impl Drive {
    /// Runs to the end; `progress` hears how many jobs were sent.
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
            // Exponential gaps: arrivals are independent of each other.
            let gap = -(1.0 - rng.random::<f64>()).ln() / self.rate;
            due += Duration::from_secs_f64(gap);
            if due >= self.duration {
                break;
            }
            let plan = self.shape.draw(&mut rng);
            let again = rng.random::<f64>() < self.duplicates;
            let pause = Duration::from_millis(rng.random_range(0..AGAIN_MS));
            let name = format!("load-{run_id:x}-{sent}");
            let keyed = self.keyed || again;
            let letter = Letter::new(&self.service, &self.team, &name, keyed, &plan);
            let ideal_ms = self.fleet.ideal(&plan, self.trip_ms);
            let (caller, tx, nth) = (caller.clone(), tx.clone(), sent);
            tokio::time::sleep_until((start + due).into()).await;
            tasks.spawn(async move {
                let first = caller.send(&letter, nth);
                let second = async {
                    if !again {
                        return None;
                    }
                    tokio::time::sleep(pause).await;
                    Some(caller.send(&letter, nth + 1).await)
                };
                let (answered, again) = tokio::join!(first, second);
                let row = Row {
                    answered,
                    tasks: plan.tasks.len(),
                    ideal_ms,
                    again,
                };
                // The receiver lives until all are done.
                let _ = tx.send(row);
            });
            sent += 1;
            progress(sent as u64);
        }
        while tasks.join_next().await.is_some() {}
        drop(tx);
        let seconds = start.elapsed().as_secs_f64();
        let (mut first, mut second) = (Report::new()?, Report::new()?);
        while let Some(row) = rx.recv().await {
            first.add(row.answered, row.tasks, row.ideal_ms);
            if let Some(again) = row.again {
                second.add(again, row.tasks, row.ideal_ms);
            }
        }
        Some((first, second, seconds))
    }
}
