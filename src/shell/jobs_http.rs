//! The callers' HTTP interface: jobs, forwarded requests, health and metrics.

use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, LOCATION};
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::entry::{EntryCall, EntryHandle};
use super::entry_peers::{self, OwnerReply};
use super::http::{self, HEADER_KEY, HEADER_TEAM, HttpResponse, Problem, RequestOutcome};
use super::requests_http;
use super::stop::StopSignal;
use crate::control::settings::is_name;
use crate::core::clock::Millis;
use crate::core::entry_io::EntryInput;
use crate::core::ids::{Incarnation, JobKey};
use crate::core::job::{Answer, Failure, JobHandle, JobKind, Refusal, Submission, TaskSpec};
use crate::events;

/// Largest body of a submission, in bytes.
const MAX_BODY: usize = 16 << 20;
/// Longest wait for an answer in one call.
const MAX_WAIT: Duration = Duration::from_mins(10);
/// Default time that a job may take, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 600_000;
/// Longest time that a caller may set for a job, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 86_400_000;
/// Largest number of cores a task may declare.
const MAX_CORES: u32 = 4_096;

/// Serves callers until the stop signal, then completes the requests in flight.
pub(crate) async fn serve(listener: TcpListener, handle: EntryHandle, stop: StopSignal) {
    let service = tower::service_fn(move |request| {
        let handle = handle.clone();
        async move { Ok::<_, Infallible>(handle_request(request, &handle).await) }
    });
    http::serve(listener, service, stop).await;
}

async fn handle_request(request: Request<Incoming>, handle: &EntryHandle) -> HttpResponse {
    match route(request, handle).await {
        Ok(reply) => reply,
        Err(problem) => {
            if problem.code.is_client_error() {
                events::BAD_REQUEST.log(format_args!("{}: {}", problem.status, problem.detail));
            }
            problem.response()
        }
    }
}

async fn route(request: Request<Incoming>, handle: &EntryHandle) -> Result<HttpResponse, Problem> {
    let path = request.uri().path().to_owned();
    if path == "/health" {
        return Ok(health(handle));
    }
    if path == "/metrics" {
        return Ok(metrics(handle).await);
    }
    if path.starts_with("/v1/services/") {
        let team = authorize(&request, handle)?;
        return requests_http::handle_request(request, team, handle).await;
    }
    if path == "/v1/jobs" && request.method() == Method::POST {
        let team = authorize(&request, handle)?;
        return submit(request, team, handle).await;
    }
    if let Some(id) = path.strip_prefix("/v1/jobs/") {
        let key = JobKey {
            team: authorize(&request, handle)?,
            id: id.to_owned(),
        };
        return match *request.method() {
            Method::GET => poll(&request, key, handle, false).await,
            Method::DELETE => poll(&request, key, handle, true).await,
            _ => Err(not_found("GET or DELETE /v1/jobs/{id}")),
        };
    }
    Err(not_found(
        "POST /v1/jobs, GET and DELETE /v1/jobs/{id}, /v1/services/{service}/{path}",
    ))
}

fn not_found(known: &str) -> Problem {
    Problem::refused(
        StatusCode::NOT_FOUND,
        "not found",
        format!("known: {known}"),
    )
}

fn health(handle: &EntryHandle) -> HttpResponse {
    if handle.shared.draining.load(Ordering::Relaxed) {
        http::text_response(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    } else {
        http::text_response(StatusCode::OK, "ok\n")
    }
}

async fn metrics(handle: &EntryHandle) -> HttpResponse {
    let counts = handle.counts().await;
    metrics::gauge!("fulmardrift_strays").set(as_gauge(counts.strays));
    metrics::gauge!("fulmardrift_returned").set(as_gauge(counts.returned));
    metrics::gauge!("fulmardrift_retried").set(as_gauge(counts.retried));
    let text = crate::cmd::metrics_text();
    http::text_response(StatusCode::OK, text)
}

fn as_gauge(count: u64) -> f64 {
    Millis(count).as_f64()
}

/// Returns the team that a request names, after a check of its token.
fn authorize(request: &Request<Incoming>, handle: &EntryHandle) -> Result<String, Problem> {
    let team = http::header(request, HEADER_TEAM).unwrap_or("default");
    if !is_name(team) {
        let detail = "Fulmardrift-Team: letters, digits, '-', '_' and '.' only, at most 64";
        return Err(Problem::refused(
            StatusCode::BAD_REQUEST,
            "bad team",
            detail,
        ));
    }
    let tree = handle.shared.tree();
    let teams = tree.teams();
    if !teams.is_empty() && !teams.iter().any(|known| known == team) {
        let detail = format!("team {team} is not known");
        return Err(Problem::refused(
            StatusCode::FORBIDDEN,
            "unknown team",
            detail,
        ));
    }
    let expected = tree
        .get("", &format!("teams.{team}.token_sha256"))
        .unwrap_or_default();
    if expected.is_empty() {
        return Ok(team.to_owned());
    }
    let actual = http::header(request, "authorization").and_then(|v| v.strip_prefix("Bearer "));
    let actual = hex(&Sha256::digest(actual.unwrap_or_default().as_bytes()));
    if bool::from(
        actual
            .as_bytes()
            .ct_eq(expected.to_ascii_lowercase().as_bytes()),
    ) {
        return Ok(team.to_owned());
    }
    let detail = format!("the token is not that of team {team}");
    Err(Problem::refused(
        StatusCode::UNAUTHORIZED,
        "bad token",
        detail,
    ))
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// The JSON body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    service: String,
    tasks: Vec<TaskBody>,
    timeout_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskBody {
    payload: String,
    run_ms: Option<u64>,
    cores: Option<u32>,
}

/// The idempotency key of a request, if it has one.
pub(crate) fn caller_key(request: &Request<Incoming>) -> Result<Option<String>, Problem> {
    if !request.headers().contains_key(HEADER_KEY) {
        return Ok(None);
    }
    match http::header(request, HEADER_KEY) {
        Some(key) if is_name(key) => Ok(Some(key.to_owned())),
        _ => {
            let detail = "Idempotency-Key: letters, digits, '-', '_' and '.' only, at most 64";
            Err(Problem::refused(StatusCode::BAD_REQUEST, "bad key", detail))
        }
    }
}

fn parse_wait(request: &Request<Incoming>, default: Duration) -> Result<Duration, Problem> {
    let Some(text) = http::query_value(request, "wait") else {
        return Ok(default);
    };
    match humantime::parse_duration(text) {
        Ok(wait) => Ok(wait.min(MAX_WAIT)),
        Err(error) => {
            let detail = format!("wait={text}: {error}");
            Err(Problem::refused(
                StatusCode::BAD_REQUEST,
                "bad wait",
                detail,
            ))
        }
    }
}

async fn submit(
    request: Request<Incoming>,
    team: String,
    handle: &EntryHandle,
) -> Result<HttpResponse, Problem> {
    let wait = parse_wait(&request, Duration::from_secs(30))?;
    let key = caller_key(&request)?;
    let body = http::read_body(request.into_body(), MAX_BODY).await?;
    let job: JobBody = http::from_json(&body)?;
    validate_job(&job, handle)?;
    let digest = key.as_ref().map(|_| Sha256::digest(&body).to_vec());
    let id = key.unwrap_or_else(|| handle.shared.new_job_id());
    let timeout = job.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let tasks = job.tasks.into_iter().map(|task| TaskSpec {
        payload: Bytes::from(task.payload),
        declared: task.run_ms.map(Millis),
    });
    let submission = Submission {
        handle: JobHandle(0),
        key: JobKey {
            team,
            id: id.clone(),
        },
        digest,
        service: job.service,
        kind: JobKind::Job,
        tasks: tasks.collect(),
        deadline: handle.shared.clock.now() + Millis(timeout),
    };
    let (tx, rx) = oneshot::channel();
    handle
        .call(EntryCall::Submit(Box::new(submission), tx, None))
        .await;
    await_answer(rx, wait, &id).await
}

fn validate_job(job: &JobBody, handle: &EntryHandle) -> Result<(), Problem> {
    let bad = |detail: String| Err(Problem::refused(StatusCode::BAD_REQUEST, "bad job", detail));
    if !is_name(&job.service) {
        return bad("service: letters, digits, '-', '_' and '.' only, at most 64".to_owned());
    }
    if job.tasks.is_empty() {
        return bad("tasks: at least one".to_owned());
    }
    let limit = handle
        .shared
        .tree()
        .number(&handle.shared.place, "max_tasks");
    if job.tasks.len() as u64 > limit {
        let detail = format!(
            "tasks: {} are more than the {limit} allowed",
            job.tasks.len()
        );
        return Err(Problem::refused(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too many tasks",
            detail,
        ));
    }
    if job.timeout_ms.is_some_and(|t| t == 0 || t > MAX_TIMEOUT_MS) {
        return bad(format!("timeout_ms: 1 to {MAX_TIMEOUT_MS}"));
    }
    let cores = job.tasks.iter().filter_map(|t| t.cores);
    if cores.into_iter().any(|c| c == 0 || c > MAX_CORES) {
        return bad(format!("cores: 1 to {MAX_CORES}"));
    }
    Ok(())
}

/// Waits for a job's answer. When the wait ends first, replies with the job's location.
async fn await_answer(
    rx: oneshot::Receiver<Answer>,
    wait: Duration,
    id: &str,
) -> Result<HttpResponse, Problem> {
    match tokio::time::timeout(wait, rx).await {
        Ok(Ok(answer)) => Ok(RenderedAnswer::of(&answer).response()),
        Ok(Err(_)) => Err(owner_lost("the entry stopped before the job ended")),
        Err(_) => Ok(pending_response(id)),
    }
}

/// The problem for a job whose owner cannot be asked: tasks may have run.
fn owner_lost(detail: &str) -> Problem {
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "owner lost",
        RequestOutcome::Failed,
        detail,
    )
}

#[derive(Debug, Serialize)]
struct PendingBody<'a> {
    id: &'a str,
    state: &'static str,
}

fn pending_response(id: &str) -> HttpResponse {
    let mut reply = http::json_response(
        StatusCode::ACCEPTED,
        &PendingBody {
            id,
            state: "running",
        },
    );
    if let Ok(location) = HeaderValue::from_str(&format!("/v1/jobs/{id}")) {
        reply.headers_mut().insert(LOCATION, location);
    }
    reply
}

async fn poll(
    request: &Request<Incoming>,
    key: JobKey,
    handle: &EntryHandle,
    cancel: bool,
) -> Result<HttpResponse, Problem> {
    let wait = parse_wait(request, Duration::ZERO)?;
    if cancel {
        handle.input(EntryInput::Cancel(key.clone())).await;
    }
    if let Some(rx) = handle.poll(key.clone()).await {
        return await_answer(rx, wait, &key.id).await;
    }
    let reply = match issuing_entry(&key.id) {
        Some(entry) => match handle.peer_address(entry).await {
            Some(address) => entry_peers::poll_entry(&address, &key, wait, cancel).await,
            None => OwnerReply::NotOwned,
        },
        None => entry_peers::poll_owner(handle, &key, wait, cancel).await,
    };
    match reply {
        OwnerReply::Settled { status, body } => Ok(status_response(status, body)),
        OwnerReply::Running => Ok(pending_response(&key.id)),
        OwnerReply::NoClaim => {
            let detail = format!("no job {}", key.id);
            Err(Problem::refused(StatusCode::NOT_FOUND, "not found", detail))
        }
        OwnerReply::NotOwned => Err(owner_lost(
            "submit it again under the same key to have it taken over",
        )),
        OwnerReply::NoAnswer => Err(owner_lost("the owner does not answer, ask again")),
    }
}

/// The entry that assigned a job id, or `None` when the id is a caller's key.
fn issuing_entry(id: &str) -> Option<Incarnation> {
    let (entry, _) = id.strip_prefix('~')?.split_once('-')?;
    entry.parse().ok().map(Incarnation)
}

/// A response with an answer's status and body; the content type follows from the status.
fn status_response(status: u16, body: Bytes) -> HttpResponse {
    let code = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let kind = if code.is_success() {
        "application/json"
    } else {
        "application/problem+json"
    };
    http::bytes_response(code, kind, body)
}

/// A task's result: UTF-8 text unchanged, any other bytes in Base64.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum ResultBody<'a> {
    Text(&'a str),
    Binary { base64: String },
}

impl<'a> ResultBody<'a> {
    fn of(body: &'a [u8]) -> Self {
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text),
            Err(_) => Self::Binary {
                base64: STANDARD.encode(body),
            },
        }
    }
}

#[derive(Debug, Serialize)]
struct CompleteBody<'a> {
    outcome: &'static str,
    results: Vec<ResultBody<'a>>,
}

/// A job's answer as HTTP status and body.
#[derive(Debug, Clone)]
pub(crate) struct RenderedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
    retry: Option<Millis>,
}

impl RenderedAnswer {
    pub(crate) fn of(answer: &Answer) -> Self {
        match answer {
            Answer::Complete(results) => {
                let results = results.iter().map(|body| ResultBody::of(body)).collect();
                let body = serde_json::to_vec(&CompleteBody {
                    outcome: "complete",
                    results,
                });
                let body = Bytes::from(body.unwrap_or_default());
                Self {
                    status: StatusCode::OK,
                    body,
                    retry: None,
                }
            }
            Answer::Relayed { status, body } => {
                let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY);
                Self {
                    status,
                    body: body.clone(),
                    retry: None,
                }
            }
            Answer::Failed(failure) => Self::problem(&failure_problem(failure)),
            Answer::Refused(refusal, retry) => {
                let mut problem = refusal_problem(*refusal);
                problem.retry = *retry;
                Self::problem(&problem)
            }
        }
    }

    fn problem(problem: &Problem) -> Self {
        Self {
            status: problem.code,
            body: problem.body(),
            retry: problem.retry,
        }
    }

    pub(crate) fn response(self) -> HttpResponse {
        let mut reply = status_response(self.status.as_u16(), self.body);
        if let Some(retry) = self.retry {
            let seconds = HeaderValue::from(retry.0.div_ceil(1_000));
            reply
                .headers_mut()
                .insert(hyper::header::RETRY_AFTER, seconds);
        }
        reply
    }
}

fn failure_problem(failure: &Failure) -> Problem {
    let (code, title, detail) = match failure {
        Failure::Task { task, reason } => (
            StatusCode::BAD_GATEWAY,
            "task failed",
            format!("task {task} ran and failed: {reason}"),
        ),
        Failure::AgentLost { task } => (
            StatusCode::BAD_GATEWAY,
            "backend server lost",
            format!("task {task} may have run; its backend server is lost"),
        ),
        Failure::Deadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline passed",
            "some tasks ran or may have run".to_owned(),
        ),
        Failure::Cancelled => (
            StatusCode::CONFLICT,
            "cancelled",
            "some tasks ran or may have run".to_owned(),
        ),
        Failure::ResultsGone => (
            StatusCode::GONE,
            "results gone",
            "the job ended before; its results are no longer held".to_owned(),
        ),
        Failure::Unaccounted => (
            StatusCode::BAD_GATEWAY,
            "owner and backend server lost",
            "tasks may have run where nobody can tell any more".to_owned(),
        ),
        Failure::NoClaim => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no control",
            "this call ran nothing; an earlier one under the same key may have".to_owned(),
        ),
        Failure::OwnerLost => (
            StatusCode::SERVICE_UNAVAILABLE,
            "owner lost",
            "tasks may have run; the entry that owned the job is lost".to_owned(),
        ),
    };
    Problem::new(code, title, RequestOutcome::Failed, detail)
}

fn refusal_problem(refusal: Refusal) -> Problem {
    let (code, title, detail) = match refusal {
        Refusal::KeyConflict => (
            StatusCode::CONFLICT,
            "key used with another payload",
            "this payload was not run",
        ),
        Refusal::NeverFits => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "nowhere to run",
            "no backend server offers this service; nothing was run",
        ),
        Refusal::Overload => (
            StatusCode::SERVICE_UNAVAILABLE,
            "overload",
            "the queue is full; this call ran nothing, an earlier one under the same key may have",
        ),
        Refusal::Deadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline passed",
            "no task had started; nothing was run",
        ),
        Refusal::Cancelled => (
            StatusCode::CONFLICT,
            "cancelled",
            "no task had started; nothing was run",
        ),
        Refusal::Stopping => (
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "this entry stops; this call ran nothing, an earlier one under the same key may have",
        ),
    };
    Problem::refused(code, title, detail)
}
