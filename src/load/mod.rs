//! Open-loop load: jobs drawn from a shape, sent at a rate, checked and measured.

pub(crate) mod client;
pub(crate) mod drive;
pub(crate) mod report;
pub(crate) mod shape;
