//! Processes that listen at and connect from another address than the one by which others know them.

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::Duration;

use fulmardrift::{
    AgentNode, ControlNode, ControlNodeConfig, EntryNode, EntryNodeConfig, Initiator,
    InitiatorMessage, MessageDecoder, Millis, ReplicaTimes, Times, replica_id,
};
use tempfile::TempDir;

/// Longest time without a byte; a test that runs into it has failed.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The address by which others know the process.
const KNOWN_IP: Ipv4Addr = Ipv4Addr::new(127, 75, 1, 1);
/// Its own address.
const BIND_IP: Ipv4Addr = Ipv4Addr::new(127, 75, 1, 2);
/// Another process.
const PEER_IP: Ipv4Addr = Ipv4Addr::new(127, 75, 1, 3);

fn listen(ip: Ipv4Addr) -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("not an IPv4 address");
    };
    (listener, address)
}

/// An address by which others know a process that can listen at [`BIND_IP`].
fn known_address() -> SocketAddrV4 {
    let (_free, address) = listen(BIND_IP);
    SocketAddrV4::new(KNOWN_IP, address.port())
}

/// Accepts a session and returns where it comes from and how its initiator introduces itself.
async fn accept(listener: TcpListener) -> (SocketAddr, Initiator) {
    let accepting = tokio::task::spawn_blocking(move || {
        let (mut stream, source) = listener.accept().unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let mut decoder = MessageDecoder::default();
        let mut buffer = [0; 4_096];
        loop {
            let len = stream.read(&mut buffer).unwrap();
            assert!(len > 0, "the session was closed");
            decoder.extend(&buffer[..len]);
            if let Some(body) = decoder.next_message().unwrap() {
                return (source, postcard::take_from_bytes(&body).unwrap().0);
            }
        }
    });
    match accepting.await.unwrap() {
        (source, InitiatorMessage::Hello(initiator)) => (source, initiator),
        (_, other) => panic!("not a greeting: {other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_connects_from_its_own_address() {
    let (listener, seed) = listen(PEER_IP);
    let times = Times::default();
    let (_node, _calls) = AgentNode::start("agent", vec![seed], Some(BIND_IP), times);
    let (source, initiator) = accept(listener).await;
    assert_eq!(source.ip(), BIND_IP);
    assert_eq!(initiator, Initiator::Agent("agent".to_owned()));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_names_the_address_by_which_others_reach_it() {
    let (listener, seed) = listen(PEER_IP);
    let address = known_address();
    let cfg = EntryNodeConfig {
        name: "entry".to_owned(),
        address,
        bind_ip: Some(BIND_IP),
        seeds: vec![seed],
        times: Times::default(),
    };
    let _node = EntryNode::start(cfg).await.unwrap();
    let (source, initiator) = accept(listener).await;
    assert_eq!(source.ip(), BIND_IP);
    let id = replica_id(address).0;
    assert_eq!(initiator, Initiator::Entry("entry".to_owned(), id));
    TcpStream::connect((BIND_IP, address.port())).unwrap();
    assert!(TcpStream::connect(address).is_err());
}

fn control(address: SocketAddrV4, seeds: Vec<SocketAddrV4>, data: &TempDir) -> ControlNodeConfig {
    ControlNodeConfig {
        address,
        bind_ip: Some(BIND_IP),
        seeds,
        founder: true,
        tolerated_losses: 0,
        data: data.path().to_owned(),
        disk: None,
        times: ReplicaTimes {
            keep: Millis(1_000),
        },
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_control_instance_is_the_replica_that_others_reach() {
    let data = TempDir::new().unwrap();
    let (listener, peer) = listen(PEER_IP);
    let address = known_address();
    let cfg = control(address, vec![address, peer], &data);
    let _node = ControlNode::start(cfg).await.unwrap();
    let (source, initiator) = accept(listener).await;
    assert_eq!(source.ip(), BIND_IP);
    assert_eq!(initiator, Initiator::Replica(replica_id(address).0));
    TcpStream::connect((BIND_IP, address.port())).unwrap();
}

/// Guards against a redirect to an address that operators cannot reach.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_is_known_by_the_address_that_others_reach() {
    let data = TempDir::new().unwrap();
    let address = known_address();
    let node = ControlNode::start(control(address, vec![address], &data));
    let node = node.await.unwrap();
    let finding = async {
        while node.leader().is_none() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(READ_TIMEOUT, finding).await.unwrap();
    assert_eq!(node.leader(), Some(address));
}
