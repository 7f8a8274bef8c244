//! Membership of an entry or agent: joining, renewing the lease, taking in
//! settings and directory.

use std::time::Duration;

use rand::RngExt;
use tokio::sync::{mpsc, oneshot};

use super::clock::Clock;
use super::control_client::ControlClient;
use super::stop::Stop;
use super::wire;
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
pub(crate) enum News {
    /// The process has an incarnation, its first or a new one.
    Joined(Incarnation),
    /// The directory changed.
    Members(Vec<proto::Member>),
    /// Settings of a newer revision; put in force before the next renewal.
    Settings(Box<SettingsTree>, oneshot::Sender<()>),
    /// A lease.
    Lease(Fresh),
}

/// A lease by the process's own clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fresh {
    pub(crate) revision: Revision,
    pub(crate) until: Millis,
}

/// Keeps a process a member until the stop signal, then leaves.
pub(crate) struct Membership {
    pub(crate) client: ControlClient,
    pub(crate) clock: Clock,
    pub(crate) joining: Registration,
    pub(crate) news: mpsc::Sender<News>,
}

#[derive(Default)]
struct Known {
    incarnation: Incarnation,
    revision: Revision,
    directory: u64,
}

impl Membership {
    pub(crate) async fn run(self, stop: Stop) {
        let mut known = Known::default();
        tokio::select! {
            () = self.renew_for_ever(&mut known) => {}
            () = stop.wait() => {}
        }
        if known.incarnation != Incarnation(0) {
            let leave = proto::RenewRequest {
                incarnation: known.incarnation.0,
                leaving: true,
                ..proto::RenewRequest::default()
            };
            // If nobody hears it, the lease runs out.
            let _ = self.client.renew(leave).await;
        }
    }

    async fn renew_for_ever(&self, known: &mut Known) {
        let mut silent = 0;
        loop {
            if known.incarnation == Incarnation(0) {
                self.join(known).await;
            }
            match self.renew(known).await {
                Some(true) => {
                    silent = 0;
                    tokio::time::sleep(RENEW).await;
                }
                Some(false) => {
                    events::DECLARED_DEAD.log(format_args!("was {}", known.incarnation.0));
                    *known = Known::default();
                }
                None => {
                    silent += 1;
                    if silent % SILENT_TRIES == 0 {
                        events::CONTROL_SILENT.log(format_args!("tries={silent}"));
                    }
                    tokio::time::sleep(RETRY).await;
                }
            }
            if self.news.is_closed() {
                return;
            }
        }
    }

    async fn join(&self, known: &mut Known) {
        let request = format!("{}-{:x}", self.joining.name, rand::rng().random::<u128>());
        loop {
            let join = wire::joining_out(&self.joining, request.clone());
            if let Ok(reply) = self.client.join(join).await {
                known.incarnation = Incarnation(reply.incarnation);
                events::JOINED.log(format_args!("incarnation={}", reply.incarnation));
                self.tell(News::Joined(known.incarnation)).await;
                return;
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    async fn tell(&self, news: News) {
        // A closed channel means that the process stops.
        let _ = self.news.send(news).await;
    }

    /// One renewal: whether this incarnation is alive, `None` without an answer.
    async fn renew(&self, known: &mut Known) -> Option<bool> {
        let request = proto::RenewRequest {
            incarnation: known.incarnation.0,
            revision: known.revision.0,
            directory: known.directory,
            leaving: false,
        };
        // The lease runs from here: the answer may be long on its way.
        let asked = self.clock.now();
        let reply = self.client.renew(request).await.ok()?;
        if !reply.alive {
            return Some(false);
        }
        if reply.directory > known.directory || !reply.members.is_empty() {
            known.directory = reply.directory;
            self.tell(News::Members(reply.members)).await;
        }
        if Revision(reply.revision) > known.revision {
            let (done, in_force) = oneshot::channel();
            self.tell(News::Settings(Box::new(tree_in(reply.settings)), done))
                .await;
            in_force.await.ok()?;
            known.revision = Revision(reply.revision);
            events::SETTINGS.log(format_args!("revision={}", reply.revision));
        }
        let until = asked + Millis(reply.lease_ms);
        self.tell(News::Lease(Fresh {
            revision: known.revision,
            until,
        }))
        .await;
        Some(true)
    }
}

fn tree_in(rows: Vec<proto::Setting>) -> SettingsTree {
    let mut tree = SettingsTree::default();
    for Override { path, key, value } in rows.into_iter().map(row_in) {
        tree.set(&path, &key, Some(&value));
    }
    tree
}

fn row_in(row: proto::Setting) -> Override {
    Override {
        path: row.path,
        key: row.key,
        value: row.value,
    }
}
