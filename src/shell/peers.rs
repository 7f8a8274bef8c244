//! Sending to the other control instances.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};

use super::clock::Clock;
use super::control::LastHeard;
use crate::control::log::ReplicaId;
use crate::control::message::Message;
use crate::core::clock::Millis;
use crate::proto;
use crate::proto::control_client::ControlClient;

/// Messages waiting for one peer; more are dropped, the protocol sends again.
const WAITING: usize = 1_024;
/// A peer silent for so long gets a new connection.
const SILENCE: Millis = Millis(1_500);
/// Time a connection may take to open.
const CONNECT: Duration = Duration::from_millis(500);
/// Pause after a failed connection.
const PAUSE: Duration = Duration::from_millis(100);

/// One queue a peer.
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
            let (tx, rx) = mpsc::channel(WAITING);
            let sender = Sender {
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
            // A full queue is a peer that does not keep up or is gone.
            let _ = tx.try_send(message);
        }
    }
}

struct Sender {
    id: u64,
    address: String,
    last_heard: Arc<LastHeard>,
    clock: Clock,
}

impl Sender {
    async fn run(self, mut rx: mpsc::Receiver<Message>) {
        while !rx.is_closed() {
            let Some(channel) = connect(&self.address).await else {
                tokio::time::sleep(PAUSE).await;
                // What waited is old by now.
                while rx.try_recv().is_ok() {}
                continue;
            };
            self.feed(channel, &mut rx).await;
        }
    }

    /// Feeds one connection until it fails or goes silent.
    async fn feed(&self, channel: Channel, rx: &mut mpsc::Receiver<Message>) {
        let (tx, stream) = mpsc::channel(WAITING);
        let mut client = ControlClient::new(channel);
        let call = tokio::spawn(async move { client.peer(ReceiverStream::new(stream)).await });
        let opened = self.clock.now();
        while let Some(message) = rx.recv().await {
            let quiet = self
                .clock
                .now()
                .since(self.last_heard.get(self.id).max(opened));
            if quiet > SILENCE {
                break;
            }
            let Ok(body) = postcard::to_stdvec(&message) else {
                continue;
            };
            let body = Bytes::from(body);
            if tx.send(proto::PeerMessage { body }).await.is_err() {
                break;
            }
        }
        call.abort();
    }
}

/// A connection, or `None` when the other side does not answer in time.
pub(crate) async fn connect(address: &str) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    endpoint
        .connect_timeout(CONNECT)
        .tcp_nodelay(true)
        .connect()
        .await
        .ok()
}
