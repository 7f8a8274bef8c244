//! A TCP proxy on loopback addresses, whose paths between hosts can be slowed, silenced or reset.
//!
//! Not played: a connection request that is lost. The kernel answers it for the proxy, so that a
//! connection over a silent path opens and then carries nothing. For the same reason a connection
//! to a host without a listener opens and is then reset, and no accept queue but that of the
//! process behind the proxy fills up. A delay does not slow the opening of a connection.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::relay::{closed, relay, reset};

/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What happens to the bytes from one host to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// They pass.
    Open,
    /// They pass after this time, in order.
    Delay(Duration),
    /// They stay at the sender, and so do the ends of connections. After healing they pass, late.
    /// A connection that both sides have closed meanwhile is dropped with its bytes.
    Silent,
    /// Connections between the two hosts are reset at both ends, new ones as soon as they open.
    Reset,
}

impl Path {
    pub(crate) fn passes(self) -> bool {
        matches!(self, Self::Open | Self::Delay(_))
    }

    /// Time by which bytes are held back.
    pub(crate) fn delay(self) -> Duration {
        match self {
            Self::Delay(delay) => delay,
            Self::Open | Self::Silent | Self::Reset => Duration::ZERO,
        }
    }
}

/// The names of hosts and the paths between them.
#[derive(Debug, Default)]
pub(crate) struct Network {
    /// Names of the hosts by the addresses that they connect from, sorted.
    names: Vec<(Ipv4Addr, Ipv4Addr)>,
    /// Paths that are not open, by sender and receiver, sorted.
    paths: Vec<((Ipv4Addr, Ipv4Addr), Path)>,
}

impl Network {
    pub(crate) fn path(&self, from: Ipv4Addr, to: Ipv4Addr) -> Path {
        match self
            .paths
            .binary_search_by_key(&(from, to), |(pair, _)| *pair)
        {
            Ok(index) => self.paths[index].1,
            Err(_) => Path::Open,
        }
    }

    fn set(&mut self, from: Ipv4Addr, to: Ipv4Addr, path: Path) {
        let found = self
            .paths
            .binary_search_by_key(&(from, to), |(pair, _)| *pair);
        match (found, path) {
            (Ok(index), Path::Open) => {
                self.paths.remove(index);
            }
            (Ok(index), _) => self.paths[index].1 = path,
            (Err(_), Path::Open) => {}
            (Err(index), _) => self.paths.insert(index, ((from, to), path)),
        }
    }

    /// The name of the host that connects from an address; the address itself if it has none.
    fn name(&self, source: Ipv4Addr) -> Ipv4Addr {
        match self.names.binary_search_by_key(&source, |(ip, _)| *ip) {
            Ok(index) => self.names[index].1,
            Err(_) => source,
        }
    }

    fn set_name(&mut self, source: Ipv4Addr, name: Ipv4Addr) {
        match self.names.binary_search_by_key(&source, |(ip, _)| *ip) {
            Ok(index) => self.names[index].1 = name,
            Err(index) => self.names.insert(index, (source, name)),
        }
    }
}

/// The proxy. Dropping it closes all its connections.
#[derive(Debug)]
pub struct Proxy {
    network: watch::Sender<Network>,
}

impl Default for Proxy {
    fn default() -> Self {
        Self::new()
    }
}

impl Proxy {
    /// A proxy that has no addresses yet. All paths are open.
    #[must_use]
    pub fn new() -> Self {
        Self {
            network: watch::Sender::new(Network::default()),
        }
    }

    /// Gives the host at `ip` the address `bind_ip` from which it connects. A host that listens
    /// gets it by [`Proxy::open`].
    pub fn add_host(&self, ip: Ipv4Addr, bind_ip: Ipv4Addr) {
        self.network
            .send_modify(|network| network.set_name(bind_ip, ip));
    }

    /// Listens at `front` and passes connections on to `back`, from the address that they come
    /// from. Both belong to one host, which `front` names.
    ///
    /// # Errors
    ///
    /// The proxy cannot listen at `front`.
    pub async fn open(&self, front: SocketAddrV4, back: SocketAddrV4) -> io::Result<()> {
        let listener = TcpListener::bind(front).await?;
        self.add_host(*front.ip(), *back.ip());
        tokio::spawn(serve(listener, *front.ip(), back, self.network.subscribe()));
        Ok(())
    }

    /// Sets the paths from each host of `from` to each of `to`, in this direction only.
    pub fn set(&self, from: &[Ipv4Addr], to: &[Ipv4Addr], path: Path) {
        self.network.send_modify(|network| {
            for from in from {
                for to in to {
                    network.set(*from, *to, path);
                }
            }
        });
    }

    /// Opens all paths.
    pub fn heal(&self) {
        self.network.send_modify(|network| network.paths.clear());
    }
}

/// Accepts connections until the proxy is dropped.
async fn serve(
    listener: TcpListener,
    host: Ipv4Addr,
    back: SocketAddrV4,
    mut network: watch::Receiver<Network>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = network.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        match accepted {
            Ok((stream, SocketAddr::V4(peer))) => {
                let source = *peer.ip();
                let caller = network.borrow().name(source);
                let call = Call {
                    caller,
                    host,
                    source,
                    back,
                };
                tokio::spawn(carry(stream, call, network.clone()));
            }
            Ok((_, SocketAddr::V6(_))) => {}
            Err(error) => {
                eprintln!("proxy: cannot accept: {error}");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// A connection through the proxy.
#[derive(Debug, Clone, Copy)]
struct Call {
    /// Name of the host that opened it.
    caller: Ipv4Addr,
    /// Name of the host that it goes to.
    host: Ipv4Addr,
    /// Address that it comes from.
    source: Ipv4Addr,
    back: SocketAddrV4,
}

/// Connects to the process behind the proxy as soon as requests and answers pass, and passes bytes
/// in both directions.
async fn carry(front: TcpStream, call: Call, mut network: watch::Receiver<Network>) {
    let (caller, host) = (call.caller, call.host);
    let paths = |network: &Network| [network.path(caller, host), network.path(host, caller)];
    let decided = network.wait_for(|network| {
        let paths = paths(network);
        paths.contains(&Path::Reset) || paths.iter().all(|path| path.passes())
    });
    let is_reset = tokio::select! {
        decided = decided => match decided {
            Ok(network) => paths(&network).contains(&Path::Reset),
            Err(_) => return,
        },
        () = closed(&front) => return,
    };
    let back = if is_reset {
        None
    } else {
        connect(call, &front).await.ok()
    };
    let Some(back) = back else {
        reset(&front);
        return;
    };
    relay(&front, &back, (caller, host), network).await;
}

async fn connect(call: Call, front: &TcpStream) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if call.source.is_loopback() && call.source != Ipv4Addr::LOCALHOST {
        socket.bind(SocketAddr::new(IpAddr::V4(call.source), 0))?;
    }
    let back = socket.connect(SocketAddr::V4(call.back)).await?;
    // The processes decide what goes into a packet.
    front.set_nodelay(true)?;
    back.set_nodelay(true)?;
    Ok(back)
}
