//! Telling the tasks of a process to stop.

use tokio::sync::watch;

/// Seen by every task of a role.
#[derive(Debug, Clone)]
pub(crate) struct Stop {
    rx: watch::Receiver<bool>,
}

/// Raises the signal; dropping it raises it too.
#[derive(Debug)]
pub(crate) struct Stopper {
    tx: watch::Sender<bool>,
}

/// A signal and its raiser.
pub(crate) fn pair() -> (Stopper, Stop) {
    let (tx, rx) = watch::channel(false);
    (Stopper { tx }, Stop { rx })
}

impl Stopper {
    pub(crate) fn stop(&self) {
        self.tx.send_replace(true);
    }
}

impl Stop {
    /// Returns once the signal is raised.
    pub(crate) async fn wait(mut self) {
        // An error means that the raiser is gone, which is the same.
        let _ = self.rx.wait_for(|stop| *stop).await;
    }
}
