//! A control instance on a local port, and peers of the present and of an earlier version that open
//! sessions with it byte by byte.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

use fulmardrift::{
    AcceptorMessage, Call, CallReply, ClientAction, ControlNode, ControlNodeConfig, Initiator,
    InitiatorMessage, MessageDecoder, MessageEncoder, Millis, OperatorConfig, Priority, Queue,
    QueueSettings, ReplicaTimes, announce_fragments,
};
use tempfile::TempDir;

/// Longest time without a byte; a test that runs into it has failed.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A configuration of some hundred kilobytes.
fn long_config() -> OperatorConfig {
    let settings = QueueSettings {
        service: "proof".to_owned(),
        priority: 1,
        attempts: 3,
        slack: 0,
        target: Millis(1_000),
    };
    let queues = (0..4_000).map(|number| Queue {
        name: format!("queue-{number:05}"),
        host: "host.example".to_owned(),
        prefix: format!("/route/{number:05}/"),
        settings: settings.clone(),
    });
    OperatorConfig {
        version: 1,
        queues: queues.collect(),
        unguarded: Vec::new(),
        document: Vec::new(),
    }
}

async fn start(data: &TempDir) -> (ControlNode, SocketAddrV4) {
    let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let SocketAddr::V4(address) = free.local_addr().unwrap() else {
        panic!("not an IPv4 address");
    };
    drop(free);
    let cfg = ControlNodeConfig {
        address,
        bind_ip: None,
        seeds: vec![address],
        founder: true,
        tolerated_losses: 0,
        data: data.path().to_owned(),
        disk: None,
        times: ReplicaTimes {
            keep: Millis(1_000),
        },
    };
    let node = ControlNode::start(cfg).await.unwrap();
    for _ in 0..1_000 {
        if node.call(Call::PutConfig(Some(long_config()))).await == CallReply::Done {
            return (node, address);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the instance did not become leader");
}

/// A peer's end of a session.
struct Peer {
    stream: TcpStream,
    decoder: MessageDecoder,
    encoder: MessageEncoder,
    received: Vec<u8>,
}

impl Peer {
    fn connect(address: SocketAddrV4) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Self {
            stream,
            decoder: MessageDecoder::default(),
            encoder: MessageEncoder::default(),
            received: Vec::new(),
        }
    }

    fn hello() -> Vec<u8> {
        let entry = Initiator::Entry("a".to_owned(), 1);
        postcard::to_stdvec(&InitiatorMessage::Hello(entry)).unwrap()
    }

    fn flush(&mut self) {
        let mut frames = Vec::new();
        while self.encoder.fill(&mut frames) {}
        self.stream.write_all(&frames).unwrap();
    }

    /// Reads messages until one fits, and returns it with those before it.
    fn read_until(&mut self, fits: fn(&AcceptorMessage) -> bool) -> Vec<AcceptorMessage> {
        let mut messages = Vec::new();
        let mut buffer = vec![0; 64 << 10];
        loop {
            while let Some(body) = self.decoder.next_message().unwrap() {
                messages.push(postcard::from_bytes(&body).unwrap());
                if fits(messages.last().unwrap()) {
                    return messages;
                }
            }
            let len = self.stream.read(&mut buffer).unwrap();
            assert!(len > 0, "closed after {messages:?}");
            self.received.extend_from_slice(&buffer[..len]);
            self.decoder.extend(&buffer[..len]);
        }
    }

    /// The lengths before the frames, as received.
    fn prefixes(&self) -> Vec<u32> {
        let mut prefixes = Vec::new();
        let mut rest = &self.received[..];
        while let Some((prefix, tail)) = rest.split_first_chunk::<4>() {
            let prefix = u32::from_be_bytes(*prefix);
            prefixes.push(prefix);
            let len = (prefix & 0x7fff_ffff) as usize;
            rest = &tail[len.min(tail.len())..];
        }
        prefixes
    }
}

fn is_config(message: &AcceptorMessage) -> bool {
    matches!(message, AcceptorMessage::Config(config) if **config == long_config())
}

/// Guards against a long message that reaches only processes of the sender's own version.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_configuration_reaches_peers_of_both_versions() {
    let data = TempDir::new().unwrap();
    let (_node, address) = start(&data).await;
    let reading = tokio::task::spawn_blocking(move || {
        let mut new = Peer::connect(address);
        let mut hello = Peer::hello();
        announce_fragments(&mut hello);
        new.encoder.push(Priority::Bulk, hello).unwrap();
        new.flush();
        new.read_until(is_config);
        let longest = new
            .prefixes()
            .into_iter()
            .map(|prefix| prefix & 0x7fff_ffff);
        assert!(longest.max().unwrap() < 33 << 10);

        let mut old = Peer::connect(address);
        old.encoder.push(Priority::Bulk, Peer::hello()).unwrap();
        old.flush();
        old.read_until(is_config);
        assert!(old.prefixes().iter().all(|prefix| prefix >> 31 == 0));
    });
    reading.await.unwrap();
}

/// Guards against heartbeats that are answered only after the message of which they went out in the
/// middle.
#[tokio::test(flavor = "multi_thread")]
async fn a_heartbeat_is_answered_in_the_middle_of_a_message() {
    let data = TempDir::new().unwrap();
    let (_node, address) = start(&data).await;
    let session = tokio::task::spawn_blocking(move || {
        let mut peer = Peer::connect(address);
        peer.encoder.allow_fragments();
        peer.encoder.push(Priority::Bulk, Peer::hello()).unwrap();
        peer.flush();
        peer.read_until(is_config);
        let call = Call::Client {
            host: "host.example".to_owned(),
            path: "x".repeat(5 << 20),
            action: ClientAction::Query,
        };
        let call = postcard::to_stdvec(&InitiatorMessage::Call(7, call)).unwrap();
        let heartbeat = postcard::to_stdvec(&InitiatorMessage::Heartbeat(Millis(5))).unwrap();
        peer.encoder.push(Priority::Bulk, call).unwrap();
        let mut frames = Vec::new();
        assert!(peer.encoder.fill(&mut frames));
        peer.encoder.push(Priority::Urgent, heartbeat).unwrap();
        assert!(peer.encoder.fill(&mut frames));
        peer.stream.write_all(&frames).unwrap();
        let is_ack = |message: &AcceptorMessage| matches!(message, AcceptorMessage::HeartbeatAck { at, .. } if *at == Millis(5));
        peer.read_until(is_ack);
        assert!(!peer.encoder.is_empty());
        peer.flush();
        peer.read_until(|message| matches!(message, AcceptorMessage::Reply(7, CallReply::NoQueue)));
    });
    session.await.unwrap();
}

/// Guards against a stranger whose bytes keep a session open, or make the instance allocate.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_bytes_end_their_session_alone() {
    let data = TempDir::new().unwrap();
    let (node, address) = start(&data).await;
    let session = tokio::task::spawn_blocking(move || {
        for bytes in [
            [0xff; 8],
            [0x80, 0, 0, 1, 0xff, 0, 0, 0],
            [0, 0, 0, 1, 0xff, 0, 0, 0],
        ] {
            let mut peer = Peer::connect(address);
            peer.stream.write_all(&bytes).unwrap();
            let mut buffer = [0; 16];
            // The instance closes the session, and resets it if it had not read all.
            assert!(!matches!(peer.stream.read(&mut buffer), Ok(1..)));
        }
    });
    session.await.unwrap();
    assert_eq!(
        node.call(Call::GetConfig).await,
        CallReply::Document(Vec::new())
    );
}
