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
    /// A promise was broken in the demonstration.
    BROKEN = 900 Error "promise-broken";
}

impl Event {
    /// Writes the event to the log.
    pub(crate) fn log(&self, detail: fmt::Arguments<'_>) {
        log::log!(self.level, "E{} {} {detail}", self.code, self.name);
    }
}
