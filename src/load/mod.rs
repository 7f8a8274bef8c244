//! Open-loop load generator: draws random jobs, sends them at a given rate, and checks and
//! measures the answers.

pub(crate) mod client;
pub(crate) mod generator;
pub(crate) mod report;
pub(crate) mod workload;
