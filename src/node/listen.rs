//! Listening on an address that another process may still hold, or that the machine may not have yet.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::events;

/// Time between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Most tries. A process that is told to stop takes some seconds.
const MAX_TRIES: u32 = 150;

/// Listens on `address`. While another process holds it, or the machine does not have it, tries again
/// for 15 s.
///
/// # Errors
///
/// The address is held or missing for longer, or cannot be used.
pub async fn listen(address: impl Into<SocketAddr>) -> io::Result<TcpListener> {
    let address = address.into();
    for tried in 1..MAX_TRIES {
        match TcpListener::bind(address).await {
            Err(error) if may_change(&error) => {
                if tried == 1 {
                    events::ADDRESS_HELD.log(format_args!("address={address}: {error}"));
                }
                sleep(RETRY_INTERVAL).await;
            }
            other => return other,
        }
    }
    TcpListener::bind(address).await
}

fn may_change(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable
    )
}
