//! Passes the bytes of one connection of the proxy, as its paths allow.

use std::collections::VecDeque;
use std::io;
use std::net::Ipv4Addr;

use rustix::net::Shutdown;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::proxy::{Network, Path};

/// Bytes that are read at once.
const CHUNK_LEN: usize = 4_096;
/// Most bytes that a direction holds back; more stay in the kernel's buffers.
const MAX_HELD: usize = 65_536;

/// Why a connection ends before both directions have.
#[derive(Debug)]
enum Ended {
    /// It is to be reset.
    Reset,
    /// The proxy was dropped.
    Dropped,
}

/// Passes bytes in both directions until both have ended. `ends` names the host that opened the
/// connection and the other.
pub(crate) async fn relay(
    front: &TcpStream,
    back: &TcpStream,
    ends: (Ipv4Addr, Ipv4Addr),
    network: watch::Receiver<Network>,
) {
    let silent = network.clone();
    let there = Direction::new(front, back, ends, network.clone());
    let back_again = Direction::new(back, front, (ends.1, ends.0), network);
    let ended = tokio::select! {
        ended = async { tokio::try_join!(there.run(), back_again.run()) } => ended.map(|_| ()),
        () = given_up(front, back, ends, silent) => Ok(()),
    };
    if matches!(ended, Err(Ended::Reset)) {
        reset(front);
        reset(back);
    }
}

/// Makes the connection end with a reset when it is dropped.
pub(crate) fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        eprintln!("proxy: cannot reset: {error}");
    }
}

/// Waits until the other side has closed its end, or reset the connection, without reading.
pub(crate) async fn closed(stream: &TcpStream) {
    // Of priority data and a close, only a close ever comes.
    if let Err(error) = stream.ready(Interest::PRIORITY).await {
        eprintln!("proxy: cannot wait for a close: {error}");
    }
}

/// Waits until both sides have closed and a silent path keeps them from hearing of it.
async fn given_up(
    front: &TcpStream,
    back: &TcpStream,
    ends: (Ipv4Addr, Ipv4Addr),
    mut network: watch::Receiver<Network>,
) {
    closed(front).await;
    closed(back).await;
    let is_silent = |network: &Network| {
        network.path(ends.0, ends.1) == Path::Silent || network.path(ends.1, ends.0) == Path::Silent
    };
    if network.wait_for(is_silent).await.is_err() {
        // The directions end by themselves.
        std::future::pending::<()>().await;
    }
}

/// The bytes from one side of a connection to the other.
struct Direction<'a> {
    from: &'a TcpStream,
    to: &'a TcpStream,
    pair: (Ipv4Addr, Ipv4Addr),
    network: watch::Receiver<Network>,
    /// Bytes that were read, with the time at which they may be written.
    held: VecDeque<(Instant, Vec<u8>)>,
    held_len: usize,
    is_ended: bool,
}

impl<'a> Direction<'a> {
    fn new(
        from: &'a TcpStream,
        to: &'a TcpStream,
        pair: (Ipv4Addr, Ipv4Addr),
        network: watch::Receiver<Network>,
    ) -> Self {
        Self {
            from,
            to,
            pair,
            network,
            held: VecDeque::new(),
            held_len: 0,
            is_ended: false,
        }
    }

    async fn run(mut self) -> Result<(), Ended> {
        loop {
            let path = {
                let network = self.network.borrow_and_update();
                network.path(self.pair.0, self.pair.1)
            };
            match path {
                Path::Reset => return Err(Ended::Reset),
                Path::Silent => {
                    self.changed().await?;
                    continue;
                }
                Path::Open | Path::Delay(_) => {}
            }
            if self.is_ended && self.held.is_empty() {
                self.end();
                return Ok(());
            }
            let may_read = !self.is_ended && self.held_len < MAX_HELD;
            let (from, to) = (self.from, self.to);
            let due = self.held.front().map(|(due, _)| *due);
            tokio::select! {
                changed = self.network.changed() => changed.map_err(|_| Ended::Dropped)?,
                () = writable(to, due), if due.is_some() => self.write().await?,
                _ = from.readable(), if may_read => self.read(path).await?,
            }
        }
    }

    /// Reads what is there and holds it until it is due.
    async fn read(&mut self, path: Path) -> Result<(), Ended> {
        let mut chunk = vec![0; CHUNK_LEN];
        match self.from.try_read(&mut chunk) {
            Ok(0) => self.is_ended = true,
            Ok(len) => {
                chunk.truncate(len);
                self.held_len += len;
                self.held.push_back((Instant::now() + path.delay(), chunk));
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return self.fail(self.pair).await,
        }
        Ok(())
    }

    /// Writes the first bytes that are held, as far as the receiver takes them.
    async fn write(&mut self) -> Result<(), Ended> {
        let Some((_, chunk)) = self.held.front_mut() else {
            return Ok(());
        };
        match self.to.try_write(chunk) {
            Ok(len) => {
                chunk.drain(..len);
                self.held_len -= len;
                if chunk.is_empty() {
                    self.held.pop_front();
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return self.fail((self.pair.1, self.pair.0)).await,
        }
        Ok(())
    }

    /// Passes the end of the connection on.
    fn end(&self) {
        // It fails if the receiver has reset the connection; the other direction finds that.
        let _already_reset = rustix::net::shutdown(self.to, Shutdown::Write);
    }

    /// One side has reset the connection: waits until the news passes to the other.
    async fn fail(&mut self, (from, to): (Ipv4Addr, Ipv4Addr)) -> Result<(), Ended> {
        let passes = |network: &Network| network.path(from, to) != Path::Silent;
        match self.network.wait_for(passes).await {
            Ok(_) => Err(Ended::Reset),
            Err(_) => Err(Ended::Dropped),
        }
    }

    async fn changed(&mut self) -> Result<(), Ended> {
        self.network.changed().await.map_err(|_| Ended::Dropped)
    }
}

/// Waits until bytes are due and the receiver takes some.
async fn writable(to: &TcpStream, due: Option<Instant>) {
    if let Some(due) = due
        && due > Instant::now()
    {
        sleep_until(due).await;
    }
    // An error shows at the write.
    let _is_ready = to.writable().await;
}
