//! A caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};

use super::shape::JobPlan;

/// Longest a caller waits for one job.
const PATIENCE: Duration = Duration::from_secs(150);

/// How a submission ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ended {
    Complete,
    Failed,
    Refused,
    /// Complete, but not this job's whole answer.
    Wrong,
    /// No answer.
    Lost,
}

/// One answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answered {
    pub(crate) ended: Ended,
    pub(crate) took: Duration,
}

#[derive(Debug, Serialize)]
struct Body {
    service: String,
    tasks: Vec<Task>,
}

#[derive(Debug, Serialize)]
struct Task {
    payload: String,
    run_ms: u64,
}

#[derive(Debug, Default, Deserialize)]
struct Answer {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    results: Vec<String>,
}

/// A submission, ready to be sent once or again.
#[derive(Debug, Clone)]
pub(crate) struct Letter {
    pub(crate) team: String,
    /// `None`: the entry issues one.
    pub(crate) key: Option<String>,
    body: Bytes,
    payloads: Vec<String>,
}

fn whole(ms: f64) -> u64 {
    // Drawn values are whole, positive and small.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let ms = ms as u64;
    ms
}

impl Letter {
    pub(crate) fn new(service: &str, team: &str, name: &str, key: bool, plan: &JobPlan) -> Self {
        let payload = |(i, work): (usize, f64)| {
            format!("{{\"work_ms\":{},\"name\":\"{name}-{i}\"}}", whole(work))
        };
        let works = plan.tasks.iter().map(|t| t.work_ms).enumerate();
        let payloads: Vec<String> = works.map(payload).collect();
        let tasks = payloads
            .iter()
            .zip(&plan.tasks)
            .map(|(payload, task)| Task {
                payload: payload.clone(),
                run_ms: whole(task.declared_ms),
            });
        let body = Body {
            service: service.to_owned(),
            tasks: tasks.collect(),
        };
        Self {
            team: team.to_owned(),
            key: key.then(|| name.to_owned()),
            body: Bytes::from(serde_json::to_vec(&body).unwrap_or_default()),
            payloads,
        }
    }

    /// Whether an answer is this letter's, whole and in order.
    fn judge(&self, body: &[u8]) -> Ended {
        let answer: Answer = serde_json::from_slice(body).unwrap_or_default();
        match answer.outcome.as_str() {
            "complete" if answer.results == self.payloads => Ended::Complete,
            "complete" => Ended::Wrong,
            "failed" => Ended::Failed,
            "refused" => Ended::Refused,
            _ => Ended::Lost,
        }
    }
}

/// Sends letters to entries.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Vec<String>,
}

impl Caller {
    pub(crate) fn new(entries: Vec<String>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, entries }
    }

    /// Sends to the entry `nth`, counted round, and waits for the answer.
    pub(crate) async fn send(&self, letter: &Letter, nth: usize) -> Answered {
        let start = Instant::now();
        let sent = tokio::time::timeout(PATIENCE, self.post(letter, nth)).await;
        let body = sent.ok().flatten();
        let ended = body.map_or(Ended::Lost, |body| letter.judge(&body));
        Answered {
            ended,
            took: start.elapsed(),
        }
    }

    async fn post(&self, letter: &Letter, nth: usize) -> Option<Bytes> {
        let entry = &self.entries[nth % self.entries.len()];
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}/v1/jobs?wait=140s"))
            .header("fulmardrift-team", &letter.team);
        if let Some(key) = &letter.key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder.body(Full::new(letter.body.clone())).ok()?;
        let response = self.client.request(request).await.ok()?;
        Some(response.into_body().collect().await.ok()?.to_bytes())
    }
}
