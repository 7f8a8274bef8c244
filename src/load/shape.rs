//! What jobs look like, and the best that a set of backend servers could do.

use rand::{Rng, RngExt};
use serde::Serialize;

/// Ranges that jobs are drawn from.
#[derive(Debug, Clone, PartialEq)]
pub struct Shape {
    /// Fewest and most tasks of a job.
    pub tasks: (u32, u32),
    /// Least and most work of a task, in milliseconds at speed 1; drawn evenly
    /// on a logarithmic scale.
    pub work_ms: (f64, f64),
    /// Share of tasks that take several seconds.
    pub long_share: f64,
    /// Declared times are off by up to this factor, either way.
    pub declared_off: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            tasks: (8, 64),
            work_ms: (50.0, 1_000.0),
            long_share: 0.002,
            declared_off: 2.0,
        }
    }
}

/// Work of a long task, in milliseconds at speed 1.
const LONG_MS: (f64, f64) = (2_000.0, 5_000.0);

/// One task as drawn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TaskPlan {
    /// Work in milliseconds at speed 1.
    pub work_ms: f64,
    /// What the caller declares.
    pub declared_ms: f64,
}

/// One job as drawn.
#[derive(Debug, Clone, PartialEq)]
pub struct JobPlan {
    /// Its tasks.
    pub tasks: Vec<TaskPlan>,
}

fn log_uniform(rng: &mut impl Rng, (low, high): (f64, f64)) -> f64 {
    (low.ln() + rng.random::<f64>() * (high.ln() - low.ln())).exp()
}

impl Shape {
    /// Draws one job.
    ///
    /// ```
    /// use rand::SeedableRng;
    /// let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    /// let plan = fulmardrift::Shape::default().draw(&mut rng);
    /// assert!((8..=64).contains(&plan.tasks.len()));
    /// ```
    pub fn draw(&self, rng: &mut impl Rng) -> JobPlan {
        let count = rng.random_range(self.tasks.0..=self.tasks.1);
        let mut tasks = Vec::new();
        for _ in 0..count {
            let long = rng.random::<f64>() < self.long_share;
            let work_ms = log_uniform(rng, if long { LONG_MS } else { self.work_ms }).round();
            let off = log_uniform(rng, (1.0 / self.declared_off, self.declared_off));
            tasks.push(TaskPlan {
                work_ms,
                declared_ms: (work_ms * off).round().max(1.0),
            });
        }
        JobPlan { tasks }
    }

    /// Mean work of a job in milliseconds at speed 1.
    #[must_use]
    pub fn mean_work(&self) -> f64 {
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

/// Backend servers, as far as the ideal depends on them.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fleet {
    /// Speed of each backend server.
    pub speeds: Vec<f64>,
    /// Slots of each.
    pub slots: u32,
}

impl Fleet {
    /// Work done in a millisecond by all slots together.
    ///
    /// ```
    /// let fleet = fulmardrift::Fleet { speeds: vec![1.0, 2.0], slots: 8 };
    /// assert!((fleet.total_speed() - 24.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn total_speed(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * f64::from(self.slots)
    }

    /// Least response time of a job alone on the fleet, in milliseconds: the
    /// larger of its longest task on the fastest slot and its work over the total
    /// speed, and `trip_ms` for the caller's round trip.
    #[must_use]
    pub fn ideal(&self, plan: &JobPlan, trip_ms: f64) -> f64 {
        let fastest = self.speeds.iter().copied().fold(0.0, f64::max);
        let longest = plan.tasks.iter().map(|t| t.work_ms).fold(0.0, f64::max);
        let total: f64 = plan.tasks.iter().map(|t| t.work_ms).sum();
        (longest / fastest).max(total / self.total_speed()) + trip_ms
    }
}
