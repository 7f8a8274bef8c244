//! Telling the tasks of a process to stop.

use tokio::sync::watch;

/// Seen by every task of a role.
#[derive(Debug, Clone)]
pub(crate) struct StopSignal {
    rx: watch::Receiver<bool>,
}

/// Raises the signal; dropping it raises it too.
#[derive(Debug)]
pub(crate) struct StopSender {
    tx: watch::Sender<bool>,
}

/// A signal and its raiser.
pub(crate) fn channel() -> (StopSender, StopSignal) {
    let (tx, rx) = watch::channel(false);
    (StopSender { tx }, StopSignal { rx })
}

impl StopSender {
    pub(crate) fn stop(&self) {
        self.tx.send_replace(true);
    }
}

impl StopSignal {
    /// Returns once the signal is raised.
    pub(crate) async fn wait(mut self) {
        // An error means that the raiser is gone, which is the same.
        let _ = self.rx.wait_for(|stop| *stop).await;
    }
}
