//! Numbered log events. `docs/events.md` lists them for operators.

use std::fmt;

use log::Level;

/// A kind of event that is logged and counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Unique number; the number of an event that is gone is not used again.
    pub code: u16,
    /// Level of its log lines.
    pub level: Level,
    /// Name in log lines and metrics.
    pub name: &'static str,
}

macro_rules! events {
    ($($(#[$doc:meta])* $id:ident = $code:literal $level:ident $name:literal;)*) => {
        $($(#[$doc])* pub(crate) const $id: Event =
            Event { code: $code, level: Level::$level, name: $name };)*
        /// All events, in order of their codes.
        pub const EVENTS: &[Event] = &[$($id),*];
    };
}

events! {
    /// A role of this process has started.
    STARTED = 100 Info "started";
    /// A role of this process is stopping on request.
    STOPPING = 101 Info "stopping";
    /// A role of this process has stopped.
    STOPPED = 102 Info "stopped";
    /// A file named in the configuration cannot be opened.
    BAD_CONFIG = 103 Error "bad-config";
    /// A state machine received an input for which its state chart has no transition.
    UNDEFINED = 104 Warn "undefined-transition";
    /// A network server of this process failed, or could not accept a connection.
    SERVER_FAILED = 105 Error "server-failed";
    /// Another process holds an address that this one is to listen on.
    ADDRESS_HELD = 106 Warn "address-held";
    /// A part of this process panicked, so the process ends.
    PANICKED = 107 Error "panicked";
    /// Times of the protocol do not fit the users' settings; the nearest safe ones are used.
    TIMES_UNFIT = 108 Warn "times-unfit";
    /// The control group registered this process under an incarnation.
    JOINED = 200 Info "joined";
    /// The control group declared this process dead; it registers again.
    DECLARED_DEAD = 201 Warn "declared-dead";
    /// No control instance has answered, for several attempts.
    CONTROL_SILENT = 202 Warn "control-silent";
    /// This process applied the settings of a newer revision.
    SETTINGS = 203 Info "settings-in-force";
    /// The write-ahead log could not be written.
    LOG_FAILED = 300 Error "log-failed";
    /// A control instance became the leader or ceased to be it.
    LEADER = 301 Info "leader";
    /// A control instance failed and stops.
    CONTROL_FAILED = 302 Error "control-failed";
    /// A change of settings was accepted.
    CHANGED = 303 Info "changed";
    /// A change of settings was refused.
    CHANGE_REFUSED = 304 Warn "change-refused";
    /// The voters of a control group have changed.
    VOTERS = 305 Info "voters";
    /// An operator made a control instance the only voter of its group.
    REGROUPED = 306 Warn "regrouped";
    /// A control instance has heard from no leader for longer than an election takes.
    NO_LEADER = 307 Warn "no-leader";
    /// The write-ahead log can be written again.
    LOG_RECOVERED = 308 Warn "log-recovered";
    /// The write-ahead log was damaged, and was set aside.
    LOG_DAMAGED = 309 Error "log-damaged";
    /// A leader refuses new configurations and jobs, as the log's files would exceed their bound.
    ROOM_SHORT = 310 Error "room-short";
    /// A leader takes new configurations and jobs again.
    ROOM_MADE = 311 Warn "room-made";
    /// A replica that the leader hears from lacks committed entries, and has for some seconds.
    FOLLOWER_BEHIND = 315 Warn "follower-behind";
    /// A replica that was empty, or was reported as behind or silent, has caught up.
    CAUGHT_UP = 316 Info "caught-up";
    /// The leader hears nothing from a voter.
    VOTER_SILENT = 317 Warn "voter-silent";
    /// This control instance's own log is empty or lacks committed entries.
    LOG_BEHIND = 318 Warn "log-behind";
    /// A control instance wrote the first entry of a group's log.
    FOUNDED = 319 Info "founded";
    /// A control instance answered a call of an operator, or passed it on to the leader.
    OPERATOR_CALL = 320 Info "operator-call";
    /// An entry has connected to an agent.
    LINK_UP = 400 Debug "link-up";
    /// An entry's connection to an agent is closed or silent.
    LINK_DOWN = 401 Warn "link-down";
    /// A caller's request was malformed or not allowed.
    BAD_REQUEST = 402 Info "bad-request";
    /// An agent received the first announcement of its backend server.
    ANNOUNCED = 500 Info "announced";
    /// A task failed at its backend server.
    TASK_FAILED = 501 Warn "task-failed";
    /// An agent's backend server is new or has changed.
    SERVER = 502 Info "server";
    /// An agent considers its backend server's incarnation ended.
    SERVER_LOST = 503 Warn "server-lost";
    /// An agent opened a session with the leader, or an entry opened or lost one.
    LEADER_FOUND = 504 Info "leader-found";
    /// An agent or a backend server refused to start a run.
    START_DENIED = 505 Info "start-denied";
    /// A start call got no usable answer, so the run may have started.
    START_UNANSWERED = 506 Warn "start-unanswered";
    /// A backend server's lease expired; its agent drops the runs that it covered.
    LEASE_LAPSED = 507 Warn "lease-lapsed";
    /// An agent opened a session with an entry.
    ENTRY_FOUND = 508 Info "entry-found";
    /// A dispatcher's grant expired; its agent stops that dispatcher's run.
    GRANT_LAPSED = 509 Warn "grant-lapsed";
    /// A backend server has seen a higher fencing token than the agent's.
    FENCED = 510 Warn "fenced";
    /// An agent keeps new runs from its worker because runs stand still there, or no longer does.
    EJECTED = 511 Warn "ejected";
    /// The process of a backend server has ended: nothing listens at its address.
    SERVER_UNREACHABLE = 512 Warn "server-unreachable";
    OTHER_SERVER = 513 Warn "other-server";
    SERVER_LEFT = 514 Info "server-left";
    /// A run is over for its agent.
    RUN_OVER = 515 Info "run-over";
    /// An agent reserves capacity for a dispatcher that asked for it.
    OFFERED = 516 Info "capacity-offered";
    /// An agent keeps capacity free until a task that does not fit yet does.
    KEPT = 517 Info "capacity-kept";
    /// A dispatcher did not use the capacity that an agent had reserved for it.
    OFFER_LAPSED = 518 Info "offer-lapsed";
    /// An agent reports its worker's pace to a dispatcher.
    PACE = 519 Info "pace";
    /// A backend server's list of ends is as long as it can be, or is whole again.
    END_LIST = 520 Info "end-list";
    /// A new leader took over all open jobs.
    TAKE_OVER = 600 Info "take-over";
    /// Agents did not reconnect after a takeover; their runs must have ended by now.
    NOT_HEARD = 601 Warn "not-heard";
    /// A job ended.
    JOB_ENDED = 602 Info "job-ended";
    /// A dispatcher lost its session with an agent.
    AGENT_LOST = 603 Warn "agent-lost";
    /// A dispatcher received an agent's inventory.
    INVENTORY = 604 Info "inventory";
    /// A dispatcher considers the runs of a silent worker ended.
    WORKER_EMPTY = 605 Warn "worker-empty";
    /// A run that a dispatcher ordered was not started.
    NOT_STARTED = 606 Info "not-started";
    /// A run ended without success.
    RUN_ENDED = 607 Info "run-ended";
    /// A dispatcher stops a run because it is too slow.
    RUN_SLOW = 608 Info "run-slow";
    /// A dispatcher ordered an agent to start a run.
    ORDERED = 609 Info "ordered";
    /// A job was accepted: stored by the control group, or kept by its entry when transient.
    ACCEPTED = 610 Info "accepted";
    /// A job was refused, or a waiting call given up; the reply says whether it may have run.
    REFUSED = 611 Info "refused";
    /// A caller cancelled a job.
    CANCELLED = 612 Info "cancelled";
    /// Operators evacuate a data centre, or put it back into service.
    EVACUATE = 613 Info "evacuate";
    /// A configuration was accepted, refused or put into force.
    SETUP = 614 Info "setup";
    /// A snapshot replaced the log up to an index.
    SNAPSHOT = 615 Info "snapshot";
    /// An entry gave up a call at its deadline.
    CALL_EXPIRED = 616 Warn "call-expired";
    /// A session with another process was opened.
    SESSION_UP = 617 Info "session-up";
    /// A session with another process ended with an error.
    SESSION_DOWN = 618 Info "session-down";
    /// An entry became ready for new callers, or ceased to be.
    READY = 619 Info "ready";
    /// A message was not valid on the session on which it arrived.
    BAD_CALL = 620 Info "bad-call";
    /// Log lines were dropped because the output was too slow.
    LOG_DROPPED = 621 Warn "log-dropped";
    /// A run had begun on a backend server when it crashed.
    SUSPECT = 622 Warn "crash-suspect";
    /// A task is given up since backend servers crashed whenever it ran.
    GIVEN_UP = 623 Warn "task-given-up";
    /// A queue's tasks crash backend servers, so it is kept to some of the workers, or is no longer.
    ISOLATED = 624 Warn "queue-isolated";
    /// A job is likely to have crashed a backend server, which counts against its queue, or is no
    /// longer.
    BLAMED = 625 Warn "queue-blamed";
    /// A message is longer than a session carries, and was not sent.
    MESSAGE_TOO_LONG = 626 Error "message-too-long";
    /// Too much waits to be sent to a process; further messages are dropped.
    SESSION_QUEUE_FULL = 627 Warn "session-queue-full";
    /// A session that another process opened ended, as what arrived was not valid.
    BAD_FRAME = 628 Warn "bad-frame";
    /// A task that had a run before is started again.
    STARTED_AGAIN = 629 Info "started-again";
    /// A job ended while runs of it were out.
    RUNS_OUT = 630 Info "runs-out";
    /// The last run is gone that was out when its job ended.
    RUNS_GONE = 631 Info "runs-gone";
    /// The main loop of a process stood still.
    PAUSED = 632 Warn "paused";
    /// A call that may have been given up by its caller waited until that would be known.
    LATE_CALL = 633 Info "late-call";
    /// A dispatcher asked an agent for capacity, or no longer does.
    WANTED = 634 Debug "capacity-wanted";
    /// A dispatcher takes a worker's pace from its agent's report.
    PACE_KNOWN = 635 Info "pace-known";
    /// An entry does not keep up or is cut off, so that it is not ready, or it comes back.
    ENTRY_SLOW = 636 Warn "entry-slow";
    /// The demo found a promise of the dispatcher broken.
    BROKEN = 900 Error "promise-broken";
}

impl Event {
    /// Increments the event's counter and writes a log line with `detail`.
    pub(crate) fn log(&self, detail: fmt::Arguments<'_>) {
        metrics::counter!("fulmardrift_events", "event" => self.name).increment(1);
        log::log!(self.level, "E{} {} {detail}", self.code, self.name);
    }
}
