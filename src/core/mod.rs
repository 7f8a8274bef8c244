//! The decision logic of entries and agents, free of I/O: its state machines are passed the
//! current time and one input at a time, and return the actions to carry out.

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
