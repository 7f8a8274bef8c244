//! What the group's leader tells entries and agents when it changes.

use std::sync::Arc;

use super::replica::{Replica, ReplicaOutput};
use super::spec::Setup;
use super::wire::{Down, Who};
use super::worker::SessionId;
use crate::control::log::Term;

impl Replica {
    pub(crate) fn tell_status(&mut self, out: &mut Vec<ReplicaOutput>) {
        let status = self.status();
        if self.told.as_ref() == Some(&status) {
            return;
        }
        let (leads, term, members) = status.clone();
        self.told = Some(status);
        for (session, _) in self.sessions.iter() {
            let members = members.clone();
            let down = Down::Status {
                leads,
                term,
                members,
            };
            out.push(ReplicaOutput::Down(*session, down));
        }
    }

    /// Tells entries and agents, as the leader, what changed.
    pub(crate) fn tell_news(&mut self, out: &mut Vec<ReplicaOutput>) {
        if self.lead.is_none() {
            self.told_out = None;
            self.told_setup = None;
            self.told_entries.clear();
            return;
        }
        if self.told_out.as_ref() != Some(&self.book.out) {
            self.told_out = Some(self.book.out.clone());
            self.tell_all(&self.news_out(), |_| true, out);
        }
        let version = self.book.setup.as_ref().map(|s| s.version);
        if self.told_setup != version {
            self.told_setup = version;
            if let Some(down) = self.news_setup() {
                self.tell_all(&down, is_entry, out);
            }
        }
        let entries = self.entries();
        if self.told_entries != entries {
            self.told_entries.clone_from(&entries);
            self.tell_all(&Down::Entries(entries), |who| !is_entry(who), out);
        }
    }

    pub(crate) fn news_out(&self) -> Down {
        Down::Out(self.book.applied, self.book.out.clone())
    }

    pub(crate) fn news_setup(&self) -> Option<Down> {
        let setup = self.book.setup.as_ref()?;
        let short = Setup {
            document: Vec::new(),
            ..setup.clone()
        };
        Some(Down::Setup(Arc::new(short)))
    }

    pub(crate) fn entries(&self) -> Vec<u64> {
        let mut entries = Vec::new();
        for (_, who) in self.sessions.iter() {
            if let Who::Entry(_, address) = who {
                entries.push(*address);
            }
        }
        entries.sort_unstable();
        entries.dedup();
        entries
    }

    pub(crate) fn tell_all(
        &self,
        down: &Down,
        whom: fn(&Who) -> bool,
        out: &mut Vec<ReplicaOutput>,
    ) {
        for (session, who) in self.sessions.iter() {
            if whom(who) {
                out.push(ReplicaOutput::Down(*session, down.clone()));
            }
        }
    }

    /// Brings a new session up to date.
    pub(crate) fn greet(&self, session: SessionId, who: &Who, out: &mut Vec<ReplicaOutput>) {
        if self.lead.is_none() {
            return;
        }
        out.push(ReplicaOutput::Down(session, self.news_out()));
        if !is_entry(who) {
            let entries = Down::Entries(self.entries());
            out.push(ReplicaOutput::Down(session, entries));
        } else if let Some(down) = self.news_setup() {
            out.push(ReplicaOutput::Down(session, down));
        }
    }

    pub(crate) fn status(&self) -> (bool, Term, Vec<u64>) {
        let members = self.raft.members().iter().map(|id| id.0).collect();
        (self.lead.is_some(), self.raft.term(), members)
    }
}

fn is_entry(who: &Who) -> bool {
    matches!(who, Who::Entry(..))
}
