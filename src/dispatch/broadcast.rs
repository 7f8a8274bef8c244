//! Messages with which the leader of the control group keeps entries and agents up to date.

use std::sync::Arc;

use super::replica::{Replica, ReplicaOutput};
use super::spec::OperatorConfig;
use super::wire::{AcceptorMessage, Initiator};
use super::worker::SessionId;
use crate::control::log::Term;

impl Replica {
    pub(crate) fn broadcast_status(&mut self, out: &mut Vec<ReplicaOutput>) {
        let status = self.status();
        if self.sent_status.as_ref() == Some(&status) {
            return;
        }
        let (leads, term, members) = status.clone();
        self.sent_status = Some(status);
        for (session, _) in self.sessions.iter() {
            let members = members.clone();
            let message = AcceptorMessage::Status {
                leads,
                term,
                members,
            };
            out.push(ReplicaOutput::Message(*session, message));
        }
    }

    /// Sends entries and agents what has changed since the last broadcast, while this instance
    /// leads.
    pub(crate) fn broadcast_changes(&mut self, out: &mut Vec<ReplicaOutput>) {
        if self.dispatcher.is_none() {
            self.sent_evacuated = None;
            self.sent_config_version = None;
            self.sent_entries.clear();
            return;
        }
        if self.sent_evacuated.as_ref() != Some(&self.state.evacuated) {
            self.sent_evacuated = Some(self.state.evacuated.clone());
            self.broadcast(&self.evacuated_message(), |_| true, out);
        }
        let version = self.state.config.as_ref().map(|s| s.version);
        if self.sent_config_version != version {
            self.sent_config_version = version;
            if let Some(message) = self.config_message() {
                self.broadcast(&message, is_entry, out);
            }
        }
        let entries = self.entries();
        if self.sent_entries != entries {
            self.sent_entries.clone_from(&entries);
            self.broadcast(&AcceptorMessage::Entries(entries), |_| true, out);
        }
    }

    pub(crate) fn evacuated_message(&self) -> AcceptorMessage {
        AcceptorMessage::Evacuated(self.state.applied, self.state.evacuated.clone())
    }

    pub(crate) fn config_message(&self) -> Option<AcceptorMessage> {
        let config = self.state.config.as_ref()?;
        let without_document = OperatorConfig {
            document: Vec::new(),
            ..config.clone()
        };
        Some(AcceptorMessage::Config(Arc::new(without_document)))
    }

    pub(crate) fn entries(&self) -> Vec<u64> {
        let mut entries = Vec::new();
        for (_, initiator) in self.sessions.iter() {
            if let Initiator::Entry(_, address) = initiator {
                entries.push(*address);
            }
        }
        entries.sort_unstable();
        entries.dedup();
        entries
    }

    pub(crate) fn broadcast(
        &self,
        message: &AcceptorMessage,
        to: fn(&Initiator) -> bool,
        out: &mut Vec<ReplicaOutput>,
    ) {
        for (session, initiator) in self.sessions.iter() {
            if to(initiator) {
                out.push(ReplicaOutput::Message(*session, message.clone()));
            }
        }
    }

    /// Sends a new session the state that earlier sessions have received by broadcast.
    pub(crate) fn send_initial_state(
        &self,
        session: SessionId,
        initiator: &Initiator,
        out: &mut Vec<ReplicaOutput>,
    ) {
        if self.dispatcher.is_none() {
            return;
        }
        out.push(ReplicaOutput::Message(session, self.evacuated_message()));
        // Entries need it as well: they count their share of a worker by it.
        let entries = AcceptorMessage::Entries(self.entries());
        out.push(ReplicaOutput::Message(session, entries));
        if is_entry(initiator)
            && let Some(message) = self.config_message()
        {
            out.push(ReplicaOutput::Message(session, message));
        }
    }

    pub(crate) fn status(&self) -> (bool, Term, Vec<u64>) {
        let members = self.raft.members().iter().map(|id| id.0).collect();
        (self.dispatcher.is_some(), self.raft.term(), members)
    }
}

fn is_entry(initiator: &Initiator) -> bool {
    matches!(initiator, Initiator::Entry(..))
}
