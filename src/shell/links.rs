//! Links from an entry to agents: one gRPC stream in each direction, with heartbeats.

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
use crate::node::fragments::MAX_MESSAGE;
use crate::proto;
use crate::proto::agent_client::AgentClient;

/// Pause between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A link is replaced after this long without a message from the agent. Opening one may take as
/// long.
const SILENCE_LIMIT: Millis = Millis(1_500);
/// Pause before a failed link is reopened.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Messages that may wait for one agent; the link is replaced when its queue is full.
const QUEUE: usize = 4_096;

/// An open link: the agent's welcome and the means to send to it.
#[derive(Debug, Clone)]
pub(crate) struct AgentSession {
    pub(crate) tx: mpsc::Sender<proto::ToAgent>,
    pub(crate) channel: Channel,
    pub(crate) slots: u32,
    pub(crate) stamp: Millis,
}

/// Keeps a link to one agent open for as long as the agent is in the directory.
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
    /// Opens the link, and reopens it after each failure, until the task is aborted.
    pub(crate) async fn run(self) {
        loop {
            if let Some((session, stream)) = self.open().await {
                let tx = session.tx.clone();
                self.handle
                    .call(EntryCall::LinkUp(self.agent, Box::new(session)))
                    .await;
                events::LINK_UP.log(format_args!("agent={}", self.agent.0));
                self.forward_messages(&tx, stream).await;
                self.handle.call(EntryCall::LinkDown(self.agent)).await;
                events::LINK_DOWN.log(format_args!("agent={}", self.agent.0));
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Opens a connection and waits for the agent's welcome. Returns `None` on a failure, after a
    /// timeout, or when another incarnation answers.
    async fn open(&self) -> Option<(AgentSession, Streaming<proto::FromAgent>)> {
        let open = async {
            let channel = connect(&self.address).await?;
            let (tx, rx) = mpsc::channel(QUEUE);
            let hello = proto::Hello {
                entry: self.entry.0,
            };
            tx.send(to_agent(proto::to_agent::Kind::Hello(hello)))
                .await
                .ok()?;
            let mut client = AgentClient::new(channel.clone())
                .max_decoding_message_size(MAX_MESSAGE)
                .max_encoding_message_size(MAX_MESSAGE);
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
                // The agent has joined under a new incarnation, which the directory will list.
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
        let timeout_after = Duration::from_millis(SILENCE_LIMIT.0);
        tokio::time::timeout(timeout_after, open).await.ok()?
    }

    /// Passes the agent's messages to the entry and sends pings, until the link fails or is silent
    /// for too long.
    async fn forward_messages(
        &self,
        tx: &mpsc::Sender<proto::ToAgent>,
        mut stream: Streaming<proto::FromAgent>,
    ) {
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        heartbeat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut last_heard_at = self.clock.now();
        let mut number = 0;
        loop {
            tokio::select! {
                message = stream.message() => match message {
                    Ok(Some(message)) => {
                        last_heard_at = self.clock.now();
                        self.handle.call(EntryCall::FromAgent(self.agent, message)).await;
                    }
                    Ok(None) | Err(_) => return,
                },
                _ = heartbeat.tick() => {
                    if self.clock.now().since(last_heard_at) > SILENCE_LIMIT {
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
