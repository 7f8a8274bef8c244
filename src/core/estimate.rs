//! How long a task will take where.
//!
//! Two predictors run side by side for each service: one scales the declared
//! time by a factor learned for the backend server, the other ignores it. The
//! one with the smaller error so far is used, so wrong declarations do no harm.

use super::clock::Millis;
use super::ids::Incarnation;
use super::table::Table;

/// Run time assumed before anything was seen, in milliseconds.
const FIRST_GUESS_MS: f64 = 200.0;
/// Least weight of a new observation.
const MIN_WEIGHT: f64 = 0.05;

/// A mean that weighs recent observations more.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: f64,
    seen: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = (1.0 / f64::from(self.seen)).max(MIN_WEIGHT);
        self.value += weight * (value - self.value);
    }

    fn or(self, prior: f64) -> f64 {
        if self.seen == 0 { prior } else { self.value }
    }
}

/// Means of the logarithm of what one predictor gets wrong.
#[derive(Debug, Clone, Default)]
struct Predictor {
    service: Mean,
    servers: Table<Incarnation, Mean>,
    error: Mean,
}

impl Predictor {
    fn bias(&self, agent: Incarnation, prior: f64) -> f64 {
        let shared = self.service.or(prior);
        self.servers.get(&agent).map_or(shared, |m| m.or(shared))
    }

    fn learn(&mut self, agent: Incarnation, prior: f64, residual: f64) {
        let miss = residual - self.bias(agent, prior);
        self.error.add(miss * miss);
        self.service.add(residual);
        self.servers
            .or_insert_with(agent, Mean::default)
            .add(residual);
    }
}

/// Learned run times of one service.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    declared: Predictor,
    plain: Predictor,
}

fn log_ms(time: Millis) -> f64 {
    time.as_f64().max(0.5).ln()
}

impl Estimator {
    /// Learns from a task that ran for `run` on the backend server of `agent`.
    pub fn learn(&mut self, agent: Incarnation, declared: Option<Millis>, run: Millis) {
        if let Some(declared) = declared {
            let residual = log_ms(run) - log_ms(declared);
            self.declared.learn(agent, 0.0, residual);
        }
        self.plain.learn(agent, FIRST_GUESS_MS.ln(), log_ms(run));
    }

    fn trusts(&self) -> bool {
        self.declared.error.value <= self.plain.error.value
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
            Some(time) if self.trusts() => (log_ms(time) + self.declared.bias(agent, 0.0)).exp(),
            _ => self.plain.bias(agent, FIRST_GUESS_MS.ln()).exp(),
        }
    }

    /// Expected run time in milliseconds on no particular backend server.
    #[must_use]
    pub fn typical(&self, declared: Option<Millis>) -> f64 {
        match declared {
            Some(time) if self.trusts() => (log_ms(time) + self.declared.service.or(0.0)).exp(),
            _ => self.plain.service.or(FIRST_GUESS_MS.ln()).exp(),
        }
    }

    /// Forgets a backend server that is gone.
    pub fn forget(&mut self, agent: Incarnation) {
        self.declared.servers.remove(&agent);
        self.plain.servers.remove(&agent);
    }
}
