//! The HTTP client of the load generator, in the role of a caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};

use super::workload::GeneratedJob;

/// Longest time to wait for the answer to a submission. The entry answers after 140 s at the
/// latest, as the request asks for.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(150);

/// Outcome of a submission, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubmissionOutcome {
    Complete,
    Failed,
    Refused,
    /// The job is reported complete, but the results are not those of its tasks.
    Wrong,
    /// No answer arrived in time, or one that could not be read.
    Lost,
}

/// Outcome and response time of a submission.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SubmissionResult {
    pub(crate) outcome: SubmissionOutcome,
    pub(crate) elapsed: Duration,
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

/// An encoded job, which can be submitted more than once.
#[derive(Debug, Clone)]
pub(crate) struct PreparedJob {
    pub(crate) team: String,
    /// The idempotency key; if `None`, the entry assigns one.
    pub(crate) key: Option<String>,
    body: Bytes,
    payloads: Vec<String>,
}

fn to_whole_ms(ms: f64) -> u64 {
    // The values are rounded when they are drawn, and are positive and small.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let ms = ms as u64;
    ms
}

impl PreparedJob {
    pub(crate) fn new(
        service: &str,
        team: &str,
        name: &str,
        keyed: bool,
        job: &GeneratedJob,
    ) -> Self {
        let payload = |(i, work): (usize, f64)| {
            format!(
                "{{\"work_ms\":{},\"name\":\"{name}-{i}\"}}",
                to_whole_ms(work)
            )
        };
        let work_ms = job.tasks.iter().map(|t| t.work_ms).enumerate();
        let payloads: Vec<String> = work_ms.map(payload).collect();
        let tasks = payloads.iter().zip(&job.tasks).map(|(payload, task)| Task {
            payload: payload.clone(),
            run_ms: to_whole_ms(task.declared_ms),
        });
        let body = Body {
            service: service.to_owned(),
            tasks: tasks.collect(),
        };
        Self {
            team: team.to_owned(),
            key: keyed.then(|| name.to_owned()),
            body: Bytes::from(serde_json::to_vec(&body).unwrap_or_default()),
            payloads,
        }
    }

    /// Compares an answer with the expected results: each task returns its payload, in order.
    fn check_answer(&self, body: &[u8]) -> SubmissionOutcome {
        let answer: Answer = serde_json::from_slice(body).unwrap_or_default();
        match answer.outcome.as_str() {
            "complete" if answer.results == self.payloads => SubmissionOutcome::Complete,
            "complete" => SubmissionOutcome::Wrong,
            "failed" => SubmissionOutcome::Failed,
            "refused" => SubmissionOutcome::Refused,
            _ => SubmissionOutcome::Lost,
        }
    }
}

/// Submits jobs to entries.
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

    /// Submits a job to the entry at `entry_index`, modulo the number of entries, and waits for
    /// the answer.
    pub(crate) async fn send(&self, job: &PreparedJob, entry_index: usize) -> SubmissionResult {
        let start = Instant::now();
        let sent = tokio::time::timeout(SUBMIT_TIMEOUT, self.post(job, entry_index)).await;
        let body = sent.ok().flatten();
        let outcome = body.map_or(SubmissionOutcome::Lost, |body| job.check_answer(&body));
        SubmissionResult {
            outcome,
            elapsed: start.elapsed(),
        }
    }

    async fn post(&self, job: &PreparedJob, entry_index: usize) -> Option<Bytes> {
        let entry = &self.entries[entry_index % self.entries.len()];
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}/v1/jobs?wait=140s"))
            .header("fulmardrift-team", &job.team);
        if let Some(key) = &job.key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder.body(Full::new(job.body.clone())).ok()?;
        let response = self.client.request(request).await.ok()?;
        Some(response.into_body().collect().await.ok()?.to_bytes())
    }
}
