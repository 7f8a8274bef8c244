//! Operators: they change the configuration, read it back, and look for the queues that they add.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::time::{Instant, sleep};

use crate::client::Answer;
use crate::document::{HOST, added_queue};
use crate::fleet::Shared;
use crate::layout::{Class, Host};

/// Shortest and longest pause after a change, in ms.
const CHANGE_PAUSE: (u64, u64) = (200, 1_500);
/// Largest step from one version to the next.
const VERSION_STEP: u64 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const READ_PAUSE: Duration = Duration::from_millis(150);
/// How long a request for a queue waits.
const PROBE_WAIT: Duration = Duration::from_secs(1);
/// One in so many changes is followed by requests for its queue.
const PROBED: u32 = 3;

/// An operator that sends one configuration after the other.
pub(crate) async fn operate(shared: Arc<Shared>, number: u64) {
    let mut rng = Pcg64::seed_from_u64(shared.seed.rotate_left(16) ^ number);
    loop {
        let step = rng.random_range(1..=VERSION_STEP);
        let version = shared.ledger().next_version(step);
        shared.change(version, &mut rng).await;
        if rng.random_range(0..PROBED) == 0 {
            tokio::spawn(Arc::clone(&shared).probe(version));
        }
        let pause = rng.random_range(CHANGE_PAUSE.0..CHANGE_PAUSE.1);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Reads the configuration at any control instance.
pub(crate) async fn read(shared: Arc<Shared>) {
    let mut rng = Pcg64::seed_from_u64(!shared.seed);
    loop {
        sleep(READ_PAUSE).await;
        let to = shared.control(&mut rng);
        shared.read_back(to).await;
    }
}

impl Shared {
    fn control(&self, rng: &mut Pcg64) -> Host {
        let number = rng.random_range(0..self.layout.sizes.controls);
        Host::new(Class::Control, number)
    }

    /// Reads the configuration at a control instance; false if it gave none.
    pub(crate) async fn read_back(&self, host: Host) -> bool {
        let floor = self.ledger().floor();
        let read = self.caller.get(self.layout.control(host)).await;
        if let Answer::Accepted(document) = read {
            self.ledger().check_read(floor, &document);
            return true;
        }
        false
    }

    /// Sends a change until it is acknowledged.
    pub(crate) async fn change(&self, version: u64, rng: &mut Pcg64) {
        let document = self.documents.valid(version);
        let began = Instant::now();
        let mut late = false;
        loop {
            let to = self.layout.control(self.control(rng));
            match self.caller.put(to, document.clone()).await {
                Answer::Accepted(_) => {
                    self.ledger().acknowledged(version);
                    return;
                }
                Answer::Refused(status) => {
                    self.find(format!("CONFIG: version {version} refused: {status}"));
                    self.ledger().refused(version);
                    return;
                }
                Answer::Unavailable | Answer::Unclear(_) => {}
            }
            let calm = self.group_calm_since().map(|calm| calm.max(began));
            let waited = calm.map_or(Duration::ZERO, |calm| calm.elapsed());
            if !late && waited > self.options.ack {
                late = true;
                self.find(format!(
                    "CONFIG: version {version} not acknowledged, group undisturbed for {:.1} s",
                    waited.as_secs_f64()
                ));
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Asks each entry for the queue that an acknowledged version has added.
    async fn probe(self: Arc<Self>, version: u64) {
        sleep(self.options.apply).await;
        let path = added_queue(version);
        for entry in self.layout.sizes.hosts(Class::Entry) {
            let began = Instant::now();
            let to = self.layout.callers(entry);
            let asked = self
                .caller
                .send(Method::GET, to, HOST, &path, PROBE_WAIT, Bytes::new())
                .await;
            let missing = matches!(asked, Ok((StatusCode::NOT_FOUND, _)));
            if missing && self.in_touch(entry, began) && self.ledger().floor() <= version + 50 {
                let ago = self.options.apply.as_secs_f64();
                self.find(format!(
                    "CONFIG: {entry} knows no queue {path}, acknowledged over {ago:.1} s before"
                ));
            }
        }
    }

    /// True if an entry and the control group had been undisturbed for a while at a time.
    fn in_touch(&self, entry: Host, at: Instant) -> bool {
        let calm = [self.calm_since(entry), self.group_calm_since()];
        calm.iter().all(|since| {
            since.is_some_and(|since| at.saturating_duration_since(since) > self.options.contact)
        })
    }
}
