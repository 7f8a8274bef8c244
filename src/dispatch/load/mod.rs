//! Decisions under load: which job comes first, who gets room that comes free, and what is refused.
//!
//! These modules work on plain data. The dispatcher, the call router and the agent call them; they
//! import none of these.

pub(crate) mod admission;
pub(crate) mod demand;
pub(crate) mod offers;
pub(crate) mod pace;
pub(crate) mod retry_after;
pub(crate) mod self_check;
pub(crate) mod want;
pub(crate) mod whole_jobs;
