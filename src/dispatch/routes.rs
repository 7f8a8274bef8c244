//! Finds the queue or job that a call addresses.

use super::spec::{JobId, OperatorConfig, Queue};

/// What the host and path of a call name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target<'a> {
    /// No queue matches.
    Unknown,
    /// A queue.
    Queue(&'a Queue),
    /// A job of a queue.
    Job(&'a Queue, JobId),
    /// A path below a queue whose remainder is not a job id.
    NotAJob(&'a Queue),
}

/// Resolves a path against the queue of `host` with the longest matching prefix.
pub(crate) fn find<'a>(config: &'a OperatorConfig, host: &str, path: &str) -> Target<'a> {
    let matching = config
        .queues
        .iter()
        .filter(|q| q.host == host && path.starts_with(&q.prefix));
    let Some(queue) = matching.max_by_key(|q| q.prefix.len()) else {
        return Target::Unknown;
    };
    let rest = &path[queue.prefix.len()..];
    if rest.is_empty() {
        return Target::Queue(queue);
    }
    match JobId::parse(rest) {
        Some(id) => Target::Job(queue, id),
        None => Target::NotAJob(queue),
    }
}
