//! Numbered log events; `docs/events.md` is their catalogue.

use std::fmt;

use log::Level;

/// An event that a log line can report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Its number, never given to another.
    pub code: u16,
    /// How bad it is.
    pub level: Level,
    /// Its name.
    pub name: &'static str,
}

macro_rules! events {
    ($($(#[$doc:meta])* $id:ident = $code:literal $level:ident $name:literal;)*) => {
        $($(#[$doc])* pub(crate) const $id: Event =
            Event { code: $code, level: Level::$level, name: $name };)*
        /// All events, by code.
        pub const EVENTS: &[Event] = &[$($id),*];
    };
}

events! {
    /// A process is ready.
    STARTED = 100 Info "started";
    /// A process stops on request.
    STOPPING = 101 Info "stopping";
    /// A process has stopped.
    STOPPED = 102 Info "stopped";
    /// A settings file was refused.
    BAD_CONFIG = 103 Error "bad-config";
    /// A state chart has no transition for what came.
    UNDEFINED = 104 Warn "undefined-transition";
    /// A server could not go on.
    SERVER_FAILED = 105 Error "server-failed";
    /// A process joined under an incarnation.
    JOINED = 200 Info "joined";
    /// Control declared this process dead; it joins anew.
    DECLARED_DEAD = 201 Warn "declared-dead";
    /// No control instance answered.
    CONTROL_SILENT = 202 Warn "control-silent";
    /// Settings of a newer revision are in force here.
    SETTINGS = 203 Info "settings-in-force";
    /// The log could not be written.
    LOG_FAILED = 300 Error "log-failed";
    /// A control instance took or lost the lead.
    LEADER = 301 Info "leader";
    /// A control instance can no longer follow the group.
    CONTROL_FAILED = 302 Error "control-failed";
    /// A change of settings was accepted.
    CHANGED = 303 Info "changed";
    /// A change of settings was refused.
    CHANGE_REFUSED = 304 Warn "change-refused";
    /// A link to an agent is up.
    LINK_UP = 400 Debug "link-up";
    /// A link to an agent is gone or silent.
    LINK_DOWN = 401 Warn "link-down";
    /// A caller's request was malformed or not allowed.
    BAD_REQUEST = 402 Info "bad-request";
    /// A backend server announced itself.
    ANNOUNCED = 500 Info "announced";
    /// A task failed at its backend server.
    TASK_FAILED = 501 Warn "task-failed";
    /// An agent knows a new state of its backend server.
    SERVER = 502 Info "server";
    /// A backend server's life is over.
    SERVER_LOST = 503 Warn "server-lost";
    /// An agent has a session with the leader.
    LEADER_FOUND = 504 Info "leader-found";
    /// An agent or a backend server refused to start a run.
    START_DENIED = 505 Info "start-denied";
    /// A start got no answer.
    START_UNANSWERED = 506 Warn "start-unanswered";
    /// A backend server's lease ran out without an answer.
    LEASE_LAPSED = 507 Warn "lease-lapsed";
    /// An agent has a session with an entry.
    ENTRY_FOUND = 508 Info "entry-found";
    /// A dispatcher's grant lapsed; its runs are stopped.
    GRANT_LAPSED = 509 Warn "grant-lapsed";
    /// A backend server has seen a higher token than the agent's.
    FENCED = 510 Warn "fenced";
    /// A leader took all open jobs up.
    TAKE_OVER = 600 Info "take-over";
    /// Agents that no longer can hold runs were not heard.
    NOT_HEARD = 601 Warn "not-heard";
    /// A job ended.
    JOB_ENDED = 602 Info "job-ended";
    /// The leader lost an agent's session.
    AGENT_LOST = 603 Warn "agent-lost";
    /// An agent's inventory came.
    INVENTORY = 604 Info "inventory";
    /// A silent worker counts as empty.
    WORKER_EMPTY = 605 Warn "worker-empty";
    /// A run was ordered and did not start.
    NOT_STARTED = 606 Info "not-started";
    /// A run ended otherwise than with success.
    RUN_ENDED = 607 Info "run-ended";
    /// A run was stopped because it is slow.
    RUN_SLOW = 608 Info "run-slow";
    /// A run was ordered.
    ORDERED = 609 Info "ordered";
    /// A job is accepted and stored.
    ACCEPTED = 610 Info "accepted";
    /// A job or call was given up; the reply says whether it may have run.
    REFUSED = 611 Info "refused";
    /// A caller cancelled a job.
    CANCELLED = 612 Info "cancelled";
    /// A data centre is taken out or back in.
    EVACUATE = 613 Info "evacuate";
    /// A configuration was decided on.
    SETUP = 614 Info "setup";
    /// The log was replaced by a snapshot.
    SNAPSHOT = 615 Info "snapshot";
    /// An entry gave a call up at its deadline.
    CALL_EXPIRED = 616 Warn "call-expired";
    /// A session with another process is up.
    SESSION_UP = 617 Info "session-up";
    /// A session with another process is gone.
    SESSION_DOWN = 618 Info "session-down";
    /// An entry starts or ceases to be of use to new callers.
    READY = 619 Info "ready";
    /// A call could not be understood.
    BAD_CALL = 620 Info "bad-call";
    /// Log lines were dropped since the last such line.
    LOG_DROPPED = 621 Warn "log-dropped";
    /// A promise was broken in the demonstration.
    BROKEN = 900 Error "promise-broken";
}

impl Event {
    /// Counts the event and writes it to the log.
    pub(crate) fn log(&self, detail: fmt::Arguments<'_>) {
        metrics::counter!("fulmardrift_events", "event" => self.name).increment(1);
        log::log!(self.level, "E{} {} {detail}", self.code, self.name);
    }
}
