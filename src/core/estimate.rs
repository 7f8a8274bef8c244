//! Estimates of the run time of a task on each backend server.
//!
//! Each service has two predictors: one scales the declared run time by a factor learned for the
//! backend server, the other ignores the declared time. The one with the smaller mean error so far
//! is used, so wrong declarations do no harm.

use super::clock::Millis;
use super::ids::Incarnation;
use super::table::Table;

/// Run time assumed before the first observation, in milliseconds.
const FIRST_GUESS_MS: f64 = 200.0;
/// Minimum weight of a new observation.
const MIN_WEIGHT: f64 = 0.05;

/// The mean of the first observations, which becomes an exponentially weighted one when the weight
/// of a new observation reaches `MIN_WEIGHT`.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_WEIGHT);
        self.value += weight * (value - self.value);
    }

    fn or_prior(self, prior: f64) -> f64 {
        if self.count == 0 { prior } else { self.value }
    }
}

/// Means of the logarithm of the ratio of the actual run time to one predictor's input, for the
/// service and for each backend server, and the mean squared error of the resulting prediction.
#[derive(Debug, Clone, Default)]
struct Predictor {
    service: Mean,
    servers: Table<Incarnation, Mean>,
    error: Mean,
}

impl Predictor {
    fn bias(&self, agent: Incarnation, prior: f64) -> f64 {
        let shared = self.service.or_prior(prior);
        self.servers
            .get(&agent)
            .map_or(shared, |m| m.or_prior(shared))
    }

    fn learn(&mut self, agent: Incarnation, prior: f64, residual: f64) {
        let error = residual - self.bias(agent, prior);
        self.error.add(error * error);
        self.service.add(residual);
        self.servers
            .or_insert_with(agent, Mean::default)
            .add(residual);
    }
}

/// The run time estimates of one service.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    declared: Predictor,
    undeclared: Predictor,
}

fn log_ms(time: Millis) -> f64 {
    time.as_f64().max(0.5).ln()
}

impl Estimator {
    /// Records that a task ran for `run` on the backend server of `agent`.
    pub fn learn(&mut self, agent: Incarnation, declared: Option<Millis>, run: Millis) {
        if let Some(declared) = declared {
            let residual = log_ms(run) - log_ms(declared);
            self.declared.learn(agent, 0.0, residual);
        }
        self.undeclared
            .learn(agent, FIRST_GUESS_MS.ln(), log_ms(run));
    }

    fn uses_declared(&self) -> bool {
        self.declared.error.value <= self.undeclared.error.value
    }

    /// Expected run time in milliseconds on the backend server of `agent`.
    ///
    /// ```
    /// use fulmardrift::{Estimator, Incarnation, Millis};
    /// let mut estimator = Estimator::default();
    /// let (slow, fast) = (Incarnation(1), Incarnation(2));
    /// for _ in 0..20 {
    ///     estimator.learn(slow, Some(Millis(100)), Millis(400));
    ///     estimator.learn(fast, Some(Millis(100)), Millis(100));
    /// }
    /// let declared = Some(Millis(50));
    /// assert!(estimator.expect(slow, declared) > 3.0 * estimator.expect(fast, declared));
    /// ```
    #[must_use]
    pub fn expect(&self, agent: Incarnation, declared: Option<Millis>) -> f64 {
        match declared {
            Some(time) if self.uses_declared() => {
                (log_ms(time) + self.declared.bias(agent, 0.0)).exp()
            }
            _ => self.undeclared.bias(agent, FIRST_GUESS_MS.ln()).exp(),
        }
    }

    /// Expected run time in milliseconds, over all backend servers of the service.
    #[must_use]
    pub fn typical(&self, declared: Option<Millis>) -> f64 {
        match declared {
            Some(time) if self.uses_declared() => {
                (log_ms(time) + self.declared.service.or_prior(0.0)).exp()
            }
            _ => self.undeclared.service.or_prior(FIRST_GUESS_MS.ln()).exp(),
        }
    }

    /// Removes what was learned about the backend server of `agent`.
    pub fn forget(&mut self, agent: Incarnation) {
        self.declared.servers.remove(&agent);
        self.undeclared.servers.remove(&agent);
    }
}
