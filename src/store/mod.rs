//! Durable storage in a data directory.

pub(crate) mod founding;
pub(crate) mod frame;
pub(crate) mod log_directory;
pub(crate) mod wal;
pub(crate) mod writer;
