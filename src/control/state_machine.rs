//! The replicated state machine: settings, directory of processes, claims on jobs, audit trail.

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

/// Maximum number of audit rows kept.
const MAX_AUDIT_ROWS: usize = 20_000;
/// Number of operators' requests whose answers are kept for repeated requests.
const MAX_REQUESTS: usize = 4_096;
/// Settings key of the lease length.
const LEASE_KEY: &str = "lease_ms";
/// Number of segments that the claim window is divided into.
const CLAIM_SEGMENTS: u64 = 8;

/// A process in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// The data with which it joined.
    pub joined: Registration,
    /// False once the process is declared dead or has left.
    pub alive: bool,
    /// Log index of its last change.
    pub changed: Index,
}

/// An attempt to change one setting, accepted or refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRow {
    /// Wall-clock time since the Unix epoch, in milliseconds.
    pub at: Millis,
    /// The operator.
    pub operator: String,
    /// Path of the level.
    pub path: String,
    /// The key.
    pub key: String,
    /// The value that was set at the level before, if any.
    pub before: Option<String>,
    /// The value asked for; `None` to remove the override.
    pub after: Option<String>,
    /// The revision that the change led to; for a refused change, the current revision.
    pub revision: Revision,
    /// Why the change was refused; empty when it was accepted.
    pub refused: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    service: String,
    digest: Vec<u8>,
    owner: Incarnation,
    generation: Generation,
    // Log index of the first claim. Agents that died later may have run tasks of the job.
    first_index: Index,
    // Wall-clock time of the first claim.
    at: Millis,
    outcome: Option<JobOutcome>,
}

/// The claims first made within one part of the claim window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Segment {
    opened: Millis,
    claims: Table<JobKey, Claim>,
}

/// The state that every replica reaches by applying the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateMachine {
    applied: Index,
    settings: SettingsTree,
    revision: Revision,
    changed_by: String,
    // True once the lease length was changed for the first time.
    lease_changed: bool,
    processes: Table<Incarnation, Process>,
    // Log index of the directory's last change.
    directory: Index,
    joins: Table<String, Incarnation>,
    segments: Vec<Segment>,
    requests: Vec<(String, Result<Accepted, Rejected>)>,
    audit: Vec<AuditRow>,
}

impl StateMachine {
    /// Applies the committed command at `index`. Commands must be applied in log order.
    ///
    /// ```
    /// use fulmardrift::{Command, CommandReply, Incarnation, Index, Millis};
    /// use fulmardrift::{StateMachine, TimestampedCommand};
    /// let mut machine = StateMachine::default();
    /// let dead = TimestampedCommand { at: Millis(5), command: Command::Dead(Incarnation(1)) };
    /// assert_eq!(machine.apply(Index(1), dead), CommandReply::Done);
    /// ```
    pub fn apply(&mut self, index: Index, timestamped: TimestampedCommand) -> CommandReply {
        self.applied = index;
        let at = timestamped.at;
        match timestamped.command {
            Command::Join(request, registration) => self.join(index, request, registration),
            Command::Dead(incarnation) => self.mark_dead(index, incarnation),
            Command::Claim {
                key,
                service,
                digest,
                owner,
            } => {
                let new_claim = Claim {
                    service,
                    digest,
                    owner,
                    generation: Generation(1),
                    first_index: index,
                    at,
                    outcome: None,
                };
                CommandReply::Claim(self.claim(at, key, new_claim))
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

    fn join(&mut self, index: Index, request: String, registration: Registration) -> CommandReply {
        if let Some(known) = self.joins.get(&request) {
            return CommandReply::Joined(*known);
        }
        let incarnation = Incarnation(index.0);
        let process = Process {
            joined: registration,
            alive: true,
            changed: index,
        };
        self.processes.insert(incarnation, process);
        self.joins.insert(request, incarnation);
        self.directory = index;
        CommandReply::Joined(incarnation)
    }

    fn mark_dead(&mut self, index: Index, incarnation: Incarnation) -> CommandReply {
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

    fn claim(&mut self, at: Millis, key: JobKey, new_claim: Claim) -> ClaimAnswer {
        let owner = new_claim.owner;
        if !self.is_alive(owner) {
            return ClaimAnswer::DeadOwner;
        }
        let Some((segment, existing)) = self.find_claim(&key) else {
            let generation = new_claim.generation;
            self.current_segment(at).claims.insert(key, new_claim);
            return ClaimAnswer::Granted(generation);
        };
        if existing.digest != new_claim.digest {
            return ClaimAnswer::Conflict;
        }
        let (previous_owner, generation) = (existing.owner, existing.generation);
        if previous_owner != owner && self.is_alive(previous_owner) {
            return ClaimAnswer::Attached {
                owner: previous_owner,
                generation,
            };
        }
        let transferred = Claim {
            owner,
            generation: Generation(generation.0 + 1),
            ..existing.clone()
        };
        let answer = self.take_over(at, &transferred);
        let transferred = Claim {
            outcome: transferred.outcome.filter(|o| *o != JobOutcome::Refused),
            ..transferred
        };
        self.segments[segment].claims.insert(key, transferred);
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
            } else if process.changed > claim.first_index {
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

    /// The owner of a job and the generation of its claim.
    #[must_use]
    pub fn owner(&self, key: &JobKey) -> Option<(Incarnation, Generation)> {
        self.find_claim(key)
            .map(|(_, claim)| (claim.owner, claim.generation))
    }

    fn find_claim(&self, key: &JobKey) -> Option<(usize, &Claim)> {
        let segments = self.segments.iter().enumerate();
        segments
            .rev()
            .find_map(|(i, s)| Some((i, s.claims.get(key)?)))
    }

    /// The segment for new claims. Drops every segment that lies outside of the claim window.
    fn current_segment(&mut self, at: Millis) -> &mut Segment {
        let window = Millis(self.settings.number("", "claim_window_s") * 1_000);
        let length = Millis(window.0 / CLAIM_SEGMENTS);
        self.segments
            .retain(|s| at.since(s.opened) <= window + length);
        let needs_new = self
            .segments
            .last()
            .is_none_or(|s| at.since(s.opened) > length);
        if needs_new {
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
        let Some((segment, _)) = self.find_claim(key) else {
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
        let repeated = self.requests.iter().find(|(id, _)| *id == request.request);
        if let Some((_, first)) = repeated {
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
            self.record_change(at, &request.operator, change, &refused);
        }
        let answer = answer.map(|()| Accepted {
            revision: self.revision,
        });
        if !request.request.is_empty() {
            if self.requests.len() >= MAX_REQUESTS {
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
            // The removal of an override is checked like setting the default value.
            let spec = key_spec(key);
            let value = value
                .as_deref()
                .or(spec.map(|s| s.default))
                .unwrap_or_default();
            check_setting(path, key, value).map_err(Rejected::Invalid)?;
        }
        Ok(())
    }

    fn record_change(&mut self, at: Millis, operator: &str, change: &SettingChange, refused: &str) {
        let SettingChange { path, key, value } = change;
        self.lease_changed |= refused.is_empty() && key == LEASE_KEY;
        let before = if refused.is_empty() {
            self.settings.set(path, key, value.as_deref())
        } else {
            self.settings.get(path, key).map(str::to_owned)
        };
        if self.audit.len() >= MAX_AUDIT_ROWS {
            self.audit.drain(..MAX_AUDIT_ROWS / 10);
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

    /// The settings tree.
    #[must_use]
    pub fn settings(&self) -> &SettingsTree {
        &self.settings
    }

    /// The current settings revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Upper bound for the length of any lease in force, in milliseconds.
    #[must_use]
    pub fn longest_lease(&self) -> Millis {
        match key_spec(LEASE_KEY).map(|spec| spec.kind) {
            Some(ValueKind::Number { max, .. }) if self.lease_changed => Millis(max),
            _ => Millis(self.settings.number("", LEASE_KEY)),
        }
    }

    /// The operator who made the last accepted change.
    #[must_use]
    pub fn changed_by(&self) -> &str {
        &self.changed_by
    }

    /// Index of the last applied entry.
    #[must_use]
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Log index of the directory's last change.
    #[must_use]
    pub fn directory_index(&self) -> Index {
        self.directory
    }

    /// All processes that ever joined, dead ones included.
    #[must_use]
    pub fn processes(&self) -> &Table<Incarnation, Process> {
        &self.processes
    }

    /// The audit trail, oldest first.
    #[must_use]
    pub fn audit(&self) -> &[AuditRow] {
        &self.audit
    }

    /// Number of claims held in memory.
    #[must_use]
    pub fn claims(&self) -> usize {
        self.segments.iter().map(|s| s.claims.len()).sum()
    }
}
