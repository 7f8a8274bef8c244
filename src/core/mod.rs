//! Decisions without input or output: every type here is stepped with the time
//! and an input, and answers with outputs.

pub(crate) mod agent;
pub(crate) mod answers;
pub(crate) mod breaker;
pub(crate) mod chart;
pub(crate) mod clock;
pub(crate) mod credit;
pub(crate) mod dispatching;
pub(crate) mod entry;
pub(crate) mod entry_io;
pub(crate) mod estimate;
pub(crate) mod fair_queue;
pub(crate) mod ids;
pub(crate) mod job;
pub(crate) mod ownership;
pub(crate) mod placement;
pub(crate) mod start_gate;
pub(crate) mod table;
pub(crate) mod task;
