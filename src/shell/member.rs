//! Membership of an entry or agent in the control group's directory: joins, renews the lease, and
//! passes on new settings and changes of the directory.

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
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a call that no control instance answered.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// A log line is written each time this many more renewals in a row have failed.
const FAILURES_PER_LOG: u32 = 40;

/// A change of the membership that the role's actor applies.
#[derive(Debug)]
pub(crate) enum MembershipUpdate {
    /// The process has joined under a new incarnation.
    Joined(Incarnation),
    /// Members that have changed since the last update; after a join, all live ones.
    Members(Vec<proto::Member>),
    /// Settings of a newer revision. The receiver signals once they are in force; the new revision
    /// is reported to the control group only after that.
    Settings(Box<SettingsTree>, oneshot::Sender<()>),
    /// The lease was renewed.
    Lease(RenewedLease),
}

/// A renewed lease; `expires_at` is in time of the process's own clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RenewedLease {
    pub(crate) revision: Revision,
    pub(crate) expires_at: Millis,
}

/// Keeps a process in the directory until the stop signal, and then reports that it leaves.
pub(crate) struct Membership {
    pub(crate) client: ControlClient,
    pub(crate) clock: Clock,
    pub(crate) registration: Registration,
    pub(crate) updates: mpsc::Sender<MembershipUpdate>,
}

/// What the process last received; incarnation 0 means that it has not joined.
#[derive(Default)]
struct MemberState {
    incarnation: Incarnation,
    revision: Revision,
    directory: u64,
}

impl Membership {
    pub(crate) async fn run(self, stop: StopSignal) {
        let mut state = MemberState::default();
        tokio::select! {
            () = self.run_renewals(&mut state) => {}
            () = stop.wait() => {}
        }
        if state.incarnation != Incarnation(0) {
            let request = proto::RenewRequest {
                incarnation: state.incarnation.0,
                leaving: true,
                ..proto::RenewRequest::default()
            };
            // If the call fails, the lease expires instead.
            let _ = self.client.renew(request).await;
        }
    }

    async fn run_renewals(&self, state: &mut MemberState) {
        let mut failures = 0;
        loop {
            if state.incarnation == Incarnation(0) {
                self.join(state).await;
            }
            match self.renew(state).await {
                Some(true) => {
                    failures = 0;
                    tokio::time::sleep(RENEWAL_INTERVAL).await;
                }
                Some(false) => {
                    events::DECLARED_DEAD.log(format_args!("was {}", state.incarnation.0));
                    *state = MemberState::default();
                }
                None => {
                    failures += 1;
                    if failures % FAILURES_PER_LOG == 0 {
                        events::CONTROL_SILENT.log(format_args!("tries={failures}"));
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            if self.updates.is_closed() {
                return;
            }
        }
    }

    async fn join(&self, state: &mut MemberState) {
        let request = format!(
            "{}-{:x}",
            self.registration.name,
            rand::rng().random::<u128>()
        );
        loop {
            let message = convert::registration_to_proto(&self.registration, request.clone());
            if let Ok(reply) = self.client.join(message).await {
                state.incarnation = Incarnation(reply.incarnation);
                events::JOINED.log(format_args!("incarnation={}", reply.incarnation));
                self.send(MembershipUpdate::Joined(state.incarnation)).await;
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn send(&self, update: MembershipUpdate) {
        // A closed channel means that the actor has stopped.
        let _ = self.updates.send(update).await;
    }

    /// Renews once. Returns whether this incarnation is still alive, or `None` when no answer came.
    async fn renew(&self, state: &mut MemberState) -> Option<bool> {
        let request = proto::RenewRequest {
            incarnation: state.incarnation.0,
            revision: state.revision.0,
            directory: state.directory,
            leaving: false,
        };
        // The lease counts from before the call, since the answer may take long to arrive.
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
            let (done, applied) = oneshot::channel();
            self.send(MembershipUpdate::Settings(
                Box::new(tree_from_proto(reply.settings)),
                done,
            ))
            .await;
            applied.await.ok()?;
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
