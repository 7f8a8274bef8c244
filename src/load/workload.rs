//! Random jobs, and the ideal response time of a set of backend servers.

use rand::{Rng, RngExt};
use serde::Serialize;

/// Ranges from which random jobs are drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct JobDistribution {
    /// Smallest and largest number of tasks in a job.
    pub tasks: (u32, u32),
    /// Shortest and longest run time of a task, in milliseconds on a backend server of speed 1.
    /// The distribution is log-uniform.
    pub work_ms: (f64, f64),
    /// Share of tasks that take several seconds, from 0 to 1.
    pub long_share: f64,
    /// Declared run times are too long or too short by up to this factor.
    pub max_declared_error: f64,
}

impl Default for JobDistribution {
    fn default() -> Self {
        Self {
            tasks: (8, 64),
            work_ms: (50.0, 1_000.0),
            long_share: 0.002,
            max_declared_error: 2.0,
        }
    }
}

/// Shortest and longest run time of a long task, in milliseconds at speed 1.
const LONG_MS: (f64, f64) = (2_000.0, 5_000.0);

/// A random task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GeneratedTask {
    /// Run time in milliseconds on a backend server of speed 1.
    pub work_ms: f64,
    /// The run time that the caller declares, in milliseconds.
    pub declared_ms: f64,
}

/// A random job.
#[derive(Debug, Clone, PartialEq)]
pub struct GeneratedJob {
    /// Its tasks.
    pub tasks: Vec<GeneratedTask>,
}

fn log_uniform(rng: &mut impl Rng, (low, high): (f64, f64)) -> f64 {
    (low.ln() + rng.random::<f64>() * (high.ln() - low.ln())).exp()
}

impl JobDistribution {
    /// Draws a random job.
    ///
    /// ```
    /// use rand::SeedableRng;
    /// let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    /// let job = fulmardrift::JobDistribution::default().draw(&mut rng);
    /// assert!((8..=64).contains(&job.tasks.len()));
    /// ```
    pub fn draw(&self, rng: &mut impl Rng) -> GeneratedJob {
        let count = rng.random_range(self.tasks.0..=self.tasks.1);
        let mut tasks = Vec::new();
        for _ in 0..count {
            let long = rng.random::<f64>() < self.long_share;
            let work_ms = log_uniform(rng, if long { LONG_MS } else { self.work_ms }).round();
            let error = log_uniform(
                rng,
                (1.0 / self.max_declared_error, self.max_declared_error),
            );
            tasks.push(GeneratedTask {
                work_ms,
                declared_ms: (work_ms * error).round().max(1.0),
            });
        }
        GeneratedJob { tasks }
    }

    /// Mean total run time of the tasks of a job, in milliseconds at speed 1.
    #[must_use]
    pub fn mean_work_ms(&self) -> f64 {
        let mean = |(low, high): (f64, f64)| {
            if high > low {
                (high - low) / (high.ln() - low.ln())
            } else {
                low
            }
        };
        let task = self.long_share * mean(LONG_MS) + (1.0 - self.long_share) * mean(self.work_ms);
        task * (f64::from(self.tasks.0) + f64::from(self.tasks.1)) / 2.0
    }
}

/// The properties of backend servers on which the ideal response time depends.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fleet {
    /// Speed of each backend server.
    pub speeds: Vec<f64>,
    /// Number of slots of each backend server.
    pub slots: u32,
}

impl Fleet {
    /// The sum of the speeds of all slots.
    ///
    /// ```
    /// let fleet = fulmardrift::Fleet { speeds: vec![1.0, 2.0], slots: 8 };
    /// assert!((fleet.total_speed() - 24.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn total_speed(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.slots)
    }

    /// Lower bound for the response time of a job that has the fleet to itself, in milliseconds.
    ///
    /// This is the time of its longest task on the fastest slot, or the work of all tasks divided
    /// by the total speed, whichever is larger, plus `round_trip_ms` for the caller's round trip.
    #[must_use]
    pub fn ideal_response_ms(&self, job: &GeneratedJob, round_trip_ms: f64) -> f64 {
        let fastest = self.speeds.iter().copied().fold(0.0, f64::max);
        let longest = job.tasks.iter().map(|t| t.work_ms).fold(0.0, f64::max);
        let total: f64 = job.tasks.iter().map(|t| t.work_ms).sum();
        (longest / fastest).max(total / self.total_speed()) + round_trip_ms
    }
}
