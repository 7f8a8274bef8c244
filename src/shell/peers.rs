//! Sends messages to the other control instances.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};

use super::clock::Clock;
use super::control::LastHeard;
use crate::control::log::ReplicaId;
use crate::control::message::Message;
use crate::core::clock::Millis;
use crate::dispatch::wire::is_bulk;
use crate::events;
use crate::node::fragments::MAX_MESSAGE;
use crate::proto;
use crate::proto::control_client::ControlClient;

/// Messages that may wait for one peer; further ones are dropped, as the protocol sends them again.
const QUEUE: usize = 1_024;
/// A connection is replaced after this long without a message from the peer.
const SILENCE_LIMIT: Millis = Millis(1_500);
/// Longest time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a failed attempt to connect.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// One queue of messages for each peer.
pub(crate) struct Peers {
    queues: Vec<(ReplicaId, mpsc::Sender<Message>)>,
}

impl Peers {
    pub(crate) fn start(
        others: &[(u64, String)],
        last_heard: &Arc<LastHeard>,
        clock: Clock,
    ) -> Self {
        let mut queues = Vec::new();
        for (id, address) in others {
            let (tx, rx) = mpsc::channel(QUEUE);
            let sender = PeerSender {
                id: *id,
                address: address.clone(),
                last_heard: Arc::clone(last_heard),
                clock,
            };
            tokio::spawn(sender.run(rx));
            queues.push((ReplicaId(*id), tx));
        }
        Self { queues }
    }

    pub(crate) fn send(&self, message: Message) {
        if let Some((_, tx)) = self.queues.iter().find(|(id, _)| *id == message.to) {
            // A full queue means that the peer is down or does not keep up.
            let _ = tx.try_send(message);
        }
    }
}

struct PeerSender {
    id: u64,
    address: String,
    last_heard: Arc<LastHeard>,
    clock: Clock,
}

impl PeerSender {
    async fn run(self, mut rx: mpsc::Receiver<Message>) {
        while !rx.is_closed() {
            let Some(channel) = connect(&self.address).await else {
                tokio::time::sleep(RETRY_DELAY).await;
                // Messages that waited this long are out of date.
                while rx.try_recv().is_ok() {}
                continue;
            };
            self.send_messages(channel, &mut rx).await;
        }
    }

    /// Sends messages over one connection until it fails or the peer is silent for too long.
    async fn send_messages(&self, channel: Channel, rx: &mut mpsc::Receiver<Message>) {
        // Entries and snapshots have a stream of their own, so that no other message waits behind
        // them; the connection carries parts of both streams in turn.
        let urgent = PeerStream::open(channel.clone());
        let bulk = PeerStream::open(channel);
        let opened_at = self.clock.now();
        while let Some(message) = rx.recv().await {
            let silence = self
                .clock
                .now()
                .since(self.last_heard.get(self.id).max(opened_at));
            if silence > SILENCE_LIMIT {
                break;
            }
            let Ok(body) = postcard::to_stdvec(&message) else {
                continue;
            };
            if body.len() > MAX_MESSAGE {
                events::MESSAGE_TOO_LONG.log(format_args!(
                    "to={} kind=Peer bytes={} limit={MAX_MESSAGE}",
                    self.id,
                    body.len()
                ));
                continue;
            }
            let stream = if is_bulk(&message.body) {
                &bulk
            } else {
                &urgent
            };
            let body = Bytes::from(body);
            match stream.tx.try_send(proto::PeerMessage { body }) {
                // The protocol sends a message again that found no room.
                Ok(()) | Err(TrySendError::Full(_)) => {}
                Err(TrySendError::Closed(_)) => break,
            }
        }
    }
}

/// A stream of messages to a peer. Dropping it ends the call that carries it.
struct PeerStream {
    tx: mpsc::Sender<proto::PeerMessage>,
    call: JoinHandle<()>,
}

impl PeerStream {
    fn open(channel: Channel) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE);
        let mut client = ControlClient::new(channel);
        let call = tokio::spawn(async move {
            if let Err(status) = client.peer(ReceiverStream::new(rx)).await {
                log::debug!("stream to a peer: {status}");
            }
        });
        Self { tx, call }
    }
}

impl Drop for PeerStream {
    fn drop(&mut self) {
        self.call.abort();
    }
}

/// Opens a connection; `None` when the address is invalid or nothing answers in time.
pub(crate) async fn connect(address: &str) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .connect()
        .await
        .ok()
}
