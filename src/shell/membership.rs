//! Membership of an entry or agent: joining, renewing the lease, taking in
//! settings and directory.

use std::time::Duration;

use rand::RngExt;
use tokio::sync::{mpsc, oneshot};

use super::clock::Clock;
use super::control_client::ControlClient;
use super::convert;
use super::stop::StopSignal;
use crate::control::command::Registration;
use crate::control::settings::{Override, SettingsTree};
use crate::core::clock::Millis;
use crate::core::ids::{Incarnation, Revision};
use crate::events;
use crate::proto;

/// Pause between renewals.
const RENEW: Duration = Duration::from_millis(500);
/// Pause after a call that no instance answered.
const RETRY: Duration = Duration::from_millis(50);
/// Renewals in a row without an answer that are worth a log line.
const SILENT_TRIES: u32 = 40;

/// What membership tells its process.
#[derive(Debug)]
pub(crate) enum MembershipUpdate {
    /// The process has an incarnation, its first or a new one.
    Joined(Incarnation),
    /// The directory changed.
    Members(Vec<proto::Member>),
    /// Settings of a newer revision; put in force before the next renewal.
    Settings(Box<SettingsTree>, oneshot::Sender<()>),
    /// A lease.
    Lease(RenewedLease),
}

/// A lease by the process's own clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RenewedLease {
    pub(crate) revision: Revision,
    pub(crate) expires_at: Millis,
}

/// Keeps a process a member until the stop signal, then leaves.
pub(crate) struct Membership {
    pub(crate) client: ControlClient,
    pub(crate) clock: Clock,
    pub(crate) joining: Registration,
    pub(crate) updates: mpsc::Sender<MembershipUpdate>,
}

#[derive(Default)]
struct MemberState {
    incarnation: Incarnation,
    revision: Revision,
    directory: u64,
}

impl Membership {
    pub(crate) async fn run(self, stop: StopSignal) {
        let mut state = MemberState::default();
        tokio::select! { ( ) = self . run_renewals ( & mut state ) => { } ( ) = stop . wait ( ) => { } }
        if state.incarnation != Incarnation(0) {
            let leave = proto::RenewRequest {
                incarnation: state.incarnation.0,
                leaving: true,
                ..proto::RenewRequest::default()
            };
            // If nobody hears it, the lease runs out.
            let _ = self.client.renew(leave).await;
        }
    }

    async fn run_renewals(&self, state: &mut MemberState) {
        let mut silent = 0;
        loop {
            if state.incarnation == Incarnation(0) {
                self.join(state).await;
            }
            match self.renew(state).await {
                Some(true) => {
                    silent = 0;
                    tokio::time::sleep(RENEW).await;
                }
                Some(false) => {
                    events::DECLARED_DEAD.log(format_args!("was {}", state.incarnation.0));
                    *state = MemberState::default();
                }
                None => {
                    silent += 1;
                    if silent % SILENT_TRIES == 0 {
                        events::CONTROL_SILENT.log(format_args!("tries={silent}"));
                    }
                    tokio::time::sleep(RETRY).await;
                }
            }
            if self.updates.is_closed() {
                return;
            }
        }
    }

    async fn join(&self, state: &mut MemberState) {
        let request = format!("{}-{:x}", self.joining.name, rand::rng().random::<u128>());
        loop {
            let join = convert::joining_to_proto(&self.joining, request.clone());
            if let Ok(reply) = self.client.join(join).await {
                state.incarnation = Incarnation(reply.incarnation);
                events::JOINED.log(format_args!("incarnation={}", reply.incarnation));
                self.send(MembershipUpdate::Joined(state.incarnation)).await;
                return;
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    async fn send(&self, update: MembershipUpdate) {
        // A closed channel means that the process stops.
        let _ = self.updates.send(update).await;
    }

    /// One renewal: whether this incarnation is alive, `None` without an answer.
    async fn renew(&self, state: &mut MemberState) -> Option<bool> {
        let request = proto::RenewRequest {
            incarnation: state.incarnation.0,
            revision: state.revision.0,
            directory: state.directory,
            leaving: false,
        };
        // The lease runs from here: the answer may be long on its way.
        let sent_at = self.clock.now();
        let reply = self.client.renew(request).await.ok()?;
        if !reply.alive {
            return Some(false);
        }
        if reply.directory > state.directory || !reply.members.is_empty() {
            state.directory = reply.directory;
            self.send(MembershipUpdate::Members(reply.members)).await;
        }
        if Revision(reply.revision) > state.revision {
            let (done, in_force) = oneshot::channel();
            self.send(MembershipUpdate::Settings(
                Box::new(tree_from_proto(reply.settings)),
                done,
            ))
            .await;
            in_force.await.ok()?;
            state.revision = Revision(reply.revision);
            events::SETTINGS.log(format_args!("revision={}", reply.revision));
        }
        let expires_at = sent_at + Millis(reply.lease_ms);
        self.send(MembershipUpdate::Lease(RenewedLease {
            revision: state.revision,
            expires_at,
        }))
        .await;
        Some(true)
    }
}

fn tree_from_proto(rows: Vec<proto::Setting>) -> SettingsTree {
    let mut tree = SettingsTree::default();
    for Override { path, key, value } in rows.into_iter().map(override_from_proto) {
        tree.set(&path, &key, Some(&value));
    }
    tree
}

fn override_from_proto(row: proto::Setting) -> Override {
    Override {
        path: row.path,
        key: row.key,
        value: row.value,
    }
}
