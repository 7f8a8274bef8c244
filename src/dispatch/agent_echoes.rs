//! How long entries take to answer an agent's heartbeats. The agent sees all entries, so it can tell
//! a slow one whether the others keep up.

use super::agent::{ServerAgent, ServerAgentOutput};
use super::dispatcher_link::Owner;
use super::wire::AgentReport;
use crate::core::clock::Millis;

/// An entry whose answer takes longer is late, in milliseconds.
const LATE_ECHO: Millis = Millis(100);
/// A late answer counts for this long, in milliseconds.
const LATE_FOR: Millis = Millis(1_000);
/// After this time, answers of all other entries have come, late or not, in milliseconds.
const KNOWN_AFTER: Millis = Millis(250);
/// Shortest time between two reports to one entry, in milliseconds.
const REPORT_INTERVAL: Millis = Millis(500);

impl ServerAgent {
    /// Notes an entry's answer to a heartbeat, which renewed its grant until `until`. An entry that is
    /// late learns how many are.
    pub(crate) fn note_echo(
        &mut self,
        now: Millis,
        owner: Owner,
        until: Millis,
        out: &mut Vec<ServerAgentOutput>,
    ) {
        let sent_at = until - self.times.grant;
        let is_late = now.since(sent_at) > LATE_ECHO;
        let Some(link) = self.dispatchers.get_mut(&owner) else {
            return;
        };
        if !is_late || !matches!(owner, Owner::Entry(_)) {
            return;
        }
        let former = link.late_echo_at.replace(now);
        if former.is_none_or(|at| now.since(at) >= LATE_FOR) {
            link.late_since = now;
        }
        let others_are_known = now.since(link.late_since) >= KNOWN_AFTER;
        let is_due = link
            .told_late_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if !link.reads_pace || !link.has_inventory || !others_are_known || !is_due {
            return;
        }
        link.told_late_at = Some(now);
        let links = self.dispatchers.iter();
        let entries = links.filter(|(owner, link)| **owner != Owner::Group && link.connected);
        let is_late = |at: Option<Millis>| at.is_some_and(|at| now.since(at) < LATE_FOR);
        let (mut late, mut known) = (0, 0);
        for (_, link) in entries {
            known += 1;
            late += u32::from(is_late(link.late_echo_at));
        }
        let report = AgentReport::LateEntries {
            late,
            entries: known,
        };
        out.push(ServerAgentOutput::Report(owner, report));
    }
}
