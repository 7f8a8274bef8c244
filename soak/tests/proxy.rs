//! The soak's proxy between processes. Each wait is bounded generously, so that a fault ends a test.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use fulmardrift_soak::{Path, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Limit of each wait for something that must happen.
const LIMIT: Duration = Duration::from_secs(20);
/// Time in which bytes that are held back would have come.
const QUIET: Duration = Duration::from_millis(300);
const PORT: u16 = 7720;

/// Two hosts and the proxy between them. Each test has a network of its own.
struct Hosts {
    proxy: Proxy,
    listener: TcpListener,
    caller: Ipv4Addr,
    caller_bind: Ipv4Addr,
    server: Ipv4Addr,
}

impl Hosts {
    async fn new(network: u8) -> Self {
        let ip = |host| Ipv4Addr::new(127, 76, network, host);
        let proxy = Proxy::new();
        let listener = TcpListener::bind((ip(12), PORT)).await.unwrap();
        proxy.add_host(ip(1), ip(11));
        let (front, back) = (
            SocketAddrV4::new(ip(2), PORT),
            SocketAddrV4::new(ip(12), PORT),
        );
        proxy.open(front, back).await.unwrap();
        Self {
            proxy,
            listener,
            caller: ip(1),
            caller_bind: ip(11),
            server: ip(2),
        }
    }

    async fn dial(&self) -> TcpStream {
        let socket = TcpSocket::new_v4().unwrap();
        socket
            .bind(SocketAddr::new(self.caller_bind.into(), 0))
            .unwrap();
        let address = SocketAddr::new(self.server.into(), PORT);
        timeout(LIMIT, socket.connect(address))
            .await
            .unwrap()
            .unwrap()
    }

    async fn accept(&self) -> (TcpStream, SocketAddr) {
        timeout(LIMIT, self.listener.accept())
            .await
            .unwrap()
            .unwrap()
    }

    /// The two ends of a connection.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let near = self.dial().await;
        let (far, _) = self.accept().await;
        (near, far)
    }

    fn there(&self, path: Path) {
        self.proxy.set(&[self.caller], &[self.server], path);
    }

    fn back(&self, path: Path) {
        self.proxy.set(&[self.server], &[self.caller], path);
    }
}

async fn send(stream: &mut TcpStream, text: &[u8]) {
    timeout(LIMIT, stream.write_all(text))
        .await
        .unwrap()
        .unwrap();
}

async fn expect(stream: &mut TcpStream, text: &[u8]) {
    let mut read = vec![0; text.len()];
    timeout(LIMIT, stream.read_exact(&mut read))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(read, text);
}

async fn expect_nothing(stream: &mut TcpStream) {
    let read = timeout(QUIET, stream.read_u8()).await;
    assert!(read.is_err(), "{read:?} passed a silent path");
}

/// Waits for the end of the connection: true if it was reset.
async fn is_reset(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    let ended = timeout(LIMIT, stream.read_to_end(&mut rest)).await.unwrap();
    ended.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset)
}

#[tokio::test]
async fn an_open_path_passes_bytes_and_ends_both_ways() {
    let hosts = Hosts::new(1).await;
    let mut near = hosts.dial().await;
    let (mut far, source) = hosts.accept().await;
    assert_eq!(source.ip(), hosts.caller_bind);
    send(&mut near, b"there").await;
    expect(&mut far, b"there").await;
    send(&mut far, b"back").await;
    expect(&mut near, b"back").await;
    drop(far);
    assert!(!is_reset(&mut near).await);
}

#[tokio::test]
async fn a_delayed_path_keeps_the_order_of_bytes() {
    let hosts = Hosts::new(2).await;
    let (mut near, mut far) = hosts.connect().await;
    hosts.there(Path::Delay(Duration::from_millis(80)));
    let sent: Vec<u8> = (0..=255).cycle().take(300_000).collect();
    let (sending, reading) = (send(&mut near, &sent), expect(&mut far, &sent));
    tokio::join!(sending, reading);
}

#[tokio::test]
async fn a_silent_path_holds_one_direction_and_passes_it_late() {
    let hosts = Hosts::new(3).await;
    let (mut near, mut far) = hosts.connect().await;
    hosts.there(Path::Silent);
    send(&mut near, b"late").await;
    expect_nothing(&mut far).await;
    send(&mut far, b"back").await;
    expect(&mut near, b"back").await;
    hosts.proxy.heal();
    expect(&mut far, b"late").await;
    send(&mut near, b"more").await;
    expect(&mut far, b"more").await;
}

#[tokio::test]
async fn a_close_does_not_pass_a_silent_path() {
    let hosts = Hosts::new(4).await;
    let (mut near, mut far) = hosts.connect().await;
    hosts.there(Path::Silent);
    send(&mut near, b"last").await;
    drop(near);
    expect_nothing(&mut far).await;
    send(&mut far, b"lost").await;
    hosts.proxy.heal();
    expect(&mut far, b"last").await;
}

#[tokio::test]
async fn a_reset_does_not_pass_a_silent_path() {
    let hosts = Hosts::new(5).await;
    let (near, mut far) = hosts.connect().await;
    hosts.there(Path::Silent);
    near.set_zero_linger().unwrap();
    drop(near);
    expect_nothing(&mut far).await;
    send(&mut far, b"lost").await;
    expect_nothing(&mut far).await;
    hosts.proxy.heal();
    assert!(is_reset(&mut far).await);
}

#[tokio::test]
async fn a_connection_over_a_silent_path_carries_nothing_until_it_heals() {
    let hosts = Hosts::new(6).await;
    hosts.back(Path::Silent);
    let mut near = hosts.dial().await;
    send(&mut near, b"hello").await;
    expect_nothing(&mut near).await;
    hosts.proxy.heal();
    let (mut far, _) = hosts.accept().await;
    expect(&mut far, b"hello").await;
}

#[tokio::test]
async fn a_connection_that_is_closed_before_it_passes_is_dropped() {
    let hosts = Hosts::new(7).await;
    hosts.there(Path::Silent);
    let mut gone = hosts.dial().await;
    send(&mut gone, b"gone").await;
    gone.shutdown().await.unwrap();
    // The proxy resets it, as it has not read what came.
    assert!(is_reset(&mut gone).await);
    hosts.proxy.heal();
    let (mut near, mut far) = hosts.connect().await;
    send(&mut near, b"next").await;
    expect(&mut far, b"next").await;
}

#[tokio::test]
async fn a_reset_path_ends_both_sides_and_new_connections() {
    let hosts = Hosts::new(8).await;
    let (mut near, mut far) = hosts.connect().await;
    hosts.back(Path::Reset);
    assert!(is_reset(&mut near).await);
    assert!(is_reset(&mut far).await);
    assert!(is_reset(&mut hosts.dial().await).await);
    hosts.proxy.heal();
    let (mut near, mut far) = hosts.connect().await;
    send(&mut near, b"again").await;
    expect(&mut far, b"again").await;
}

#[tokio::test]
async fn a_path_concerns_no_other_host() {
    let hosts = Hosts::new(9).await;
    let (mut near, mut far) = hosts.connect().await;
    let other = Ipv4Addr::new(127, 76, 9, 3);
    hosts.proxy.set(&[other], &[hosts.server], Path::Silent);
    hosts.proxy.set(&[hosts.server], &[other], Path::Reset);
    send(&mut near, b"there").await;
    expect(&mut far, b"there").await;
}

#[tokio::test]
async fn a_connection_ends_with_the_proxy() {
    let hosts = Hosts::new(10).await;
    let (mut near, _far) = hosts.connect().await;
    drop(hosts.proxy);
    is_reset(&mut near).await;
}
