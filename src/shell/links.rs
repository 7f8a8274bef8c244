//! Links from an entry to agents.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Channel;

use super::clock::Clock;
use super::entry::{EntryCall, EntryHandle};
use super::peers::connect;
use crate::core::clock::Millis;
use crate::core::ids::Incarnation;
use crate::events;
use crate::proto;
use crate::proto::agent_client::AgentClient;

/// Pause between heartbeats.
const BEAT: Duration = Duration::from_millis(500);
/// A link silent for so long is replaced.
const SILENCE: Millis = Millis(1_500);
/// Pause before a failed link is tried anew.
const RETRY: Duration = Duration::from_millis(100);
/// Messages waiting for one agent.
const WAITING: usize = 4_096;
/// Largest message from an agent, in bytes.
const MESSAGE_LIMIT: usize = 8 << 20;

/// A link that is up.
#[derive(Debug, Clone)]
pub(crate) struct AgentSession {
    pub(crate) tx: mpsc::Sender<proto::ToAgent>,
    pub(crate) channel: Channel,
    pub(crate) slots: u32,
    pub(crate) stamp: Millis,
}

/// One agent, linked to for as long as it is in the directory.
pub(crate) struct Link {
    pub(crate) agent: Incarnation,
    pub(crate) address: String,
    pub(crate) entry: Incarnation,
    pub(crate) handle: EntryHandle,
    pub(crate) clock: Clock,
}

pub(crate) fn to_agent(kind: proto::to_agent::Kind) -> proto::ToAgent {
    proto::ToAgent { kind: Some(kind) }
}

impl Link {
    /// Keeps the link up until it is aborted.
    pub(crate) async fn run(self) {
        loop {
            if let Some((up, stream)) = self.open().await {
                let tx = up.tx.clone();
                self.handle
                    .call(EntryCall::LinkUp(self.agent, Box::new(up)))
                    .await;
                events::LINK_UP.log(format_args!("agent={}", self.agent.0));
                self.pump(&tx, stream).await;
                self.handle.call(EntryCall::LinkDown(self.agent)).await;
                events::LINK_DOWN.log(format_args!("agent={}", self.agent.0));
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    /// A new connection, greeted by the right incarnation.
    async fn open(&self) -> Option<(AgentSession, Streaming<proto::FromAgent>)> {
        let open = async {
            let channel = connect(&self.address).await?;
            let (tx, rx) = mpsc::channel(WAITING);
            let hello = proto::Hello {
                entry: self.entry.0,
            };
            tx.send(to_agent(proto::to_agent::Kind::Hello(hello)))
                .await
                .ok()?;
            let mut client = AgentClient::new(channel.clone())
                .max_decoding_message_size(MESSAGE_LIMIT)
                .max_encoding_message_size(MESSAGE_LIMIT);
            let mut stream = client
                .link(ReceiverStream::new(rx))
                .await
                .ok()?
                .into_inner();
            let first = stream.message().await.ok()??;
            let Some(proto::from_agent::Kind::Welcome(welcome)) = first.kind else {
                return None;
            };
            if welcome.agent != self.agent.0 {
                // A new life of the agent; the directory will show it.
                return None;
            }
            let stamp = Millis(welcome.stamp);
            Some((
                AgentSession {
                    tx,
                    channel,
                    slots: welcome.slots,
                    stamp,
                },
                stream,
            ))
        };
        let silence = Duration::from_millis(SILENCE.0);
        tokio::time::timeout(silence, open).await.ok()?
    }

    async fn pump(
        &self,
        tx: &mpsc::Sender<proto::ToAgent>,
        mut stream: Streaming<proto::FromAgent>,
    ) {
        let mut beat = tokio::time::interval(BEAT);
        beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut heard = self.clock.now();
        let mut number = 0;
        loop {
            tokio::select! {
                message = stream.message() => match message {
                    Ok(Some(message)) => {
                        heard = self.clock.now();
                        self.handle.call(EntryCall::FromAgent(self.agent, message)).await;
                    }
                    Ok(None) | Err(_) => return,
                },
                _ = beat.tick() => {
                    if self.clock.now().since(heard) > SILENCE {
                        return;
                    }
                    number += 1;
                    let ping = proto::to_agent::Kind::Ping(proto::Ping { number });
                    if tx.try_send(to_agent(ping)).is_err() {
                        return;
                    }
                }
            }
        }
    }
}
