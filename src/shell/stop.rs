//! The signal that stops the tasks of a role.

use tokio::sync::watch;

/// The receiving side of the signal; every task of the role holds a clone.
#[derive(Debug, Clone)]
pub(crate) struct StopSignal {
    rx: watch::Receiver<bool>,
}

/// The sending side: raises the signal, also when it is dropped.
#[derive(Debug)]
pub(crate) struct StopSender {
    tx: watch::Sender<bool>,
}

/// Creates a signal, not yet raised.
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
        // An error means that the sender was dropped, which counts as raised.
        let _ = self.rx.wait_for(|raised| *raised).await;
    }
}
