//! The replicated state machine: settings, directory, claims, audit.

use serde::{Deserialize, Serialize};

use super::command::{
    Accepted, ChangeRequest, ClaimAnswer, Command, CommandReply, JobOutcome, ProcessRole,
    Registration, Rejected, SettingChange, TimestampedCommand,
};
use super::log::Index;
use super::settings::{SettingsTree, ValueKind, check_setting, key_spec};
use crate::core::clock::Millis;
use crate::core::ids::{Generation, Incarnation, JobKey, Revision};
use crate::core::table::Table;

/// Audit records kept.
const AUDIT_ROWS: usize = 20_000;
/// Requests of operators remembered for their resends.
const REQUESTS: usize = 4_096;
/// The key that holds the length of leases.
const LEASE: &str = "lease_ms";
/// Segments the claim window is cut into.
const SEGMENTS: u64 = 8;

/// A process in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// As it joined.
    pub joined: Registration,
    /// False once declared dead or gone.
    pub alive: bool,
    /// The log index of its last change.
    pub changed: Index,
}

/// One attempt to change settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRow {
    /// Wall-clock time since the Unix epoch.
    pub at: Millis,
    /// Who.
    pub operator: String,
    /// The level.
    pub path: String,
    /// The key.
    pub key: String,
    /// The value before.
    pub before: Option<String>,
    /// The value asked for.
    pub after: Option<String>,
    /// The revision with it; for a refused one the revision in force.
    pub revision: Revision,
    /// Why it was refused; empty when accepted.
    pub refused: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    service: String,
    digest: Vec<u8>,
    owner: Incarnation,
    generation: Generation,
    // Log index of the first claim: agents dead since may have run tasks.
    since: Index,
    // Wall-clock time of the first claim.
    at: Millis,
    outcome: Option<JobOutcome>,
}

/// Claims first made within one stretch of time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Segment {
    opened: Millis,
    claims: Table<JobKey, Claim>,
}

/// The state that every replica of the group reaches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
    applied: Index,
    settings: SettingsTree,
    revision: Revision,
    changed_by: String,
    // True once the length of leases was ever changed.
    lease_changed: bool,
    processes: Table<Incarnation, Process>,
    // Index of the directory's last change.
    directory: Index,
    joins: Table<String, Incarnation>,
    segments: Vec<Segment>,
    requests: Vec<(String, Result<Accepted, Rejected>)>,
    audit: Vec<AuditRow>,
}

impl StateMachine {
    /// Applies one committed command.
    ///
    /// ```
    /// use fulmardrift::{Command, CommandReply, Incarnation, Index, Millis};
    /// use fulmardrift::{StateMachine, TimestampedCommand};
    /// let mut machine = StateMachine::default();
    /// let dead = TimestampedCommand { at: Millis(5), command: Command::Dead(Incarnation(1)) };
    /// assert_eq!(machine.apply(Index(1), dead), CommandReply::Done);
    /// ```
    pub fn apply(&mut self, index: Index, stamped: TimestampedCommand) -> CommandReply {
        self.applied = index;
        let at = stamped.at;
        match stamped.command {
            Command::Join(request, joining) => self.join(index, request, joining),
            Command::Dead(incarnation) => self.bury(index, incarnation),
            Command::Claim {
                key,
                service,
                digest,
                owner,
            } => {
                let asked = Claim {
                    service,
                    digest,
                    owner,
                    generation: Generation(1),
                    since: index,
                    at,
                    outcome: None,
                };
                CommandReply::Claim(self.claim(at, key, asked))
            }
            Command::Record {
                key,
                generation,
                owner,
                outcome,
            } => CommandReply::Recorded(self.record(&key, generation, owner, outcome)),
            Command::Change(request) => CommandReply::Change(self.change(at, request)),
        }
    }

    fn join(&mut self, index: Index, request: String, joining: Registration) -> CommandReply {
        if let Some(known) = self.joins.get(&request) {
            return CommandReply::Joined(*known);
        }
        let incarnation = Incarnation(index.0);
        let process = Process {
            joined: joining,
            alive: true,
            changed: index,
        };
        self.processes.insert(incarnation, process);
        self.joins.insert(request, incarnation);
        self.directory = index;
        CommandReply::Joined(incarnation)
    }

    fn bury(&mut self, index: Index, incarnation: Incarnation) -> CommandReply {
        if let Some(process) = self.processes.get_mut(&incarnation)
            && process.alive
        {
            process.alive = false;
            process.changed = index;
            self.directory = index;
            self.joins.retain(|_, known| *known != incarnation);
        }
        CommandReply::Done
    }

    fn is_alive(&self, incarnation: Incarnation) -> bool {
        self.processes.get(&incarnation).is_some_and(|p| p.alive)
    }

    fn claim(&mut self, at: Millis, key: JobKey, asked: Claim) -> ClaimAnswer {
        let owner = asked.owner;
        if !self.is_alive(owner) {
            return ClaimAnswer::DeadOwner;
        }
        let Some((segment, known)) = self.find(&key) else {
            let generation = asked.generation;
            self.open_segment(at).claims.insert(key, asked);
            return ClaimAnswer::Granted(generation);
        };
        if known.digest != asked.digest {
            return ClaimAnswer::Conflict;
        }
        let (former, generation) = (known.owner, known.generation);
        if former != owner && self.is_alive(former) {
            return ClaimAnswer::Attached {
                owner: former,
                generation,
            };
        }
        let moved = Claim {
            owner,
            generation: Generation(generation.0 + 1),
            ..known.clone()
        };
        let answer = self.take_over(at, &moved);
        let moved = Claim {
            outcome: moved.outcome.filter(|o| *o != JobOutcome::Refused),
            ..moved
        };
        self.segments[segment].claims.insert(key, moved);
        answer
    }

    fn take_over(&self, at: Millis, claim: &Claim) -> ClaimAnswer {
        if claim.outcome == Some(JobOutcome::Refused) {
            return ClaimAnswer::Granted(claim.generation);
        }
        let agents = self.processes.iter().filter(|(_, p)| {
            p.joined.role == ProcessRole::Agent && p.joined.service == claim.service
        });
        let mut live = Vec::new();
        let mut lost = false;
        for (incarnation, process) in agents {
            if process.alive {
                live.push(*incarnation);
            } else if process.changed > claim.since {
                lost = true;
            }
        }
        let settled = claim.outcome.map(|o| o == JobOutcome::Complete);
        ClaimAnswer::TakenOver {
            generation: claim.generation,
            agents: live,
            lost,
            settled,
            age: at.since(claim.at),
        }
    }

    /// Who owns a job, and under which generation.
    #[must_use]
    pub fn owner(&self, key: &JobKey) -> Option<(Incarnation, Generation)> {
        self.find(key)
            .map(|(_, claim)| (claim.owner, claim.generation))
    }

    fn find(&self, key: &JobKey) -> Option<(usize, &Claim)> {
        let segments = self.segments.iter().enumerate();
        segments
            .rev()
            .find_map(|(i, s)| Some((i, s.claims.get(key)?)))
    }

    /// The segment for new claims; those past the window are dropped whole.
    fn open_segment(&mut self, at: Millis) -> &mut Segment {
        let window = Millis(self.settings.number("", "claim_window_s") * 1_000);
        let length = Millis(window.0 / SEGMENTS);
        self.segments
            .retain(|s| at.since(s.opened) <= window + length);
        let full = self
            .segments
            .last()
            .is_none_or(|s| at.since(s.opened) > length);
        if full {
            self.segments.push(Segment {
                opened: at,
                claims: Table::default(),
            });
        }
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }

    fn record(
        &mut self,
        key: &JobKey,
        generation: Generation,
        owner: Incarnation,
        outcome: JobOutcome,
    ) -> bool {
        let Some((segment, _)) = self.find(key) else {
            return false;
        };
        let Some(claim) = self.segments[segment].claims.get_mut(key) else {
            return false;
        };
        if (claim.generation, claim.owner) != (generation, owner) {
            return false;
        }
        claim.outcome = claim.outcome.or(Some(outcome));
        true
    }

    fn change(&mut self, at: Millis, request: ChangeRequest) -> Result<Accepted, Rejected> {
        let known = self.requests.iter().find(|(id, _)| *id == request.request);
        if let Some((_, first)) = known {
            return first.clone();
        }
        let answer = self.check_change(&request);
        if answer.is_ok() {
            self.revision = Revision(self.revision.0 + 1);
            self.changed_by.clone_from(&request.operator);
        }
        let refused = match &answer {
            Ok(()) => String::new(),
            Err(Rejected::Stale { revision, operator }) => {
                format!("revision is {} by {operator}", revision.0)
            }
            Err(Rejected::Invalid(error)) => error.to_string(),
        };
        for change in &request.changes {
            self.write_change(at, &request.operator, change, &refused);
        }
        let answer = answer.map(|()| Accepted {
            revision: self.revision,
        });
        if !request.request.is_empty() {
            if self.requests.len() >= REQUESTS {
                self.requests.drain(..1);
            }
            self.requests.push((request.request, answer.clone()));
        }
        answer
    }

    fn check_change(&self, request: &ChangeRequest) -> Result<(), Rejected> {
        if let Some(expected) = request.expected
            && expected != self.revision
        {
            return Err(Rejected::Stale {
                revision: self.revision,
                operator: self.changed_by.clone(),
            });
        }
        for SettingChange { path, key, value } in &request.changes {
            // Taking an override away is checked as setting the default would be.
            let spec = key_spec(key);
            let value = value
                .as_deref()
                .or(spec.map(|s| s.default))
                .unwrap_or_default();
            check_setting(path, key, value).map_err(Rejected::Invalid)?;
        }
        Ok(())
    }

    fn write_change(&mut self, at: Millis, operator: &str, change: &SettingChange, refused: &str) {
        let SettingChange { path, key, value } = change;
        self.lease_changed |= refused.is_empty() && key == LEASE;
        let before = if refused.is_empty() {
            self.settings.set(path, key, value.as_deref())
        } else {
            self.settings.get(path, key).map(str::to_owned)
        };
        if self.audit.len() >= AUDIT_ROWS {
            self.audit.drain(..AUDIT_ROWS / 10);
        }
        self.audit.push(AuditRow {
            at,
            operator: operator.to_owned(),
            path: path.clone(),
            key: key.clone(),
            before,
            after: value.clone(),
            revision: self.revision,
            refused: refused.to_owned(),
        });
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> &SettingsTree {
        &self.settings
    }

    /// The settings' revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// No lease in force can be longer than this.
    #[must_use]
    pub fn longest_lease(&self) -> Millis {
        match key_spec(LEASE).map(|spec| spec.kind) {
            Some(ValueKind::Number { max, .. }) if self.lease_changed => Millis(max),
            _ => Millis(self.settings.number("", LEASE)),
        }
    }

    /// Who made the last accepted change.
    #[must_use]
    pub fn changed_by(&self) -> &str {
        &self.changed_by
    }

    /// The last entry applied.
    #[must_use]
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Index of the directory's last change.
    #[must_use]
    pub fn directory_index(&self) -> Index {
        self.directory
    }

    /// All processes that ever joined and are still of interest.
    #[must_use]
    pub fn processes(&self) -> &Table<Incarnation, Process> {
        &self.processes
    }

    /// The audit trail, oldest first.
    #[must_use]
    pub fn audit(&self) -> &[AuditRow] {
        &self.audit
    }

    /// Number of claims held.
    #[must_use]
    pub fn claims(&self) -> usize {
        self.segments.iter().map(|s| s.claims.len()).sum()
    }
}
