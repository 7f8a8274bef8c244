//! The agent's HTTP client for its backend server.

use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::{ResultExt, Snafu};
use tokio::sync::Semaphore;

use super::http::{BoxError, HEADER_JOB, HEADER_NOT_RUN, HEADER_TASK};
use crate::core::clock::Millis;
use crate::core::task::{Dispatch, NotRunReason, TaskStatus};

/// Longest time that a task may run.
const TASK_TIMEOUT: Duration = Duration::from_mins(2);
/// Longest time that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest result of a task, in bytes.
const MAX_RESULT: usize = 4 << 20;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call to the backend server has no usable answer.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    #[snafu(display("the backend server has not announced itself"))]
    NotAnnounced,
    #[snafu(display("request: {source}"))]
    Build { source: http::Error },
    #[snafu(display("call: {source}"))]
    Call {
        source: hyper_util::client::legacy::Error,
    },
    #[snafu(display("no answer within {} s", TASK_TIMEOUT.as_secs()))]
    Timeout,
    #[snafu(display("answer truncated or too long: {source}"))]
    Body { source: BoxError },
    #[snafu(display("status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("the answer belongs to another task"))]
    MismatchedAnswer,
    #[snafu(display("not started"))]
    Declined,
}

/// The address last announced; empty before the first announcement.
#[derive(Debug, Default)]
struct Target {
    address: String,
}

/// A client of the backend server beside this agent. Calls in progress are limited to the number of
/// connections that the server announced.
#[derive(Clone)]
pub(crate) struct BackendClient {
    target: Arc<RwLock<Target>>,
    connections: Arc<Semaphore>,
    client: Client<HttpConnector, BoxBody<Bytes, BoxError>>,
}

impl BackendClient {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self {
            target: Arc::default(),
            connections: Arc::new(Semaphore::new(0)),
            client,
        }
    }

    /// Sets the server's address. The first call also sets the limit of connections; later calls do
    /// not change it.
    pub(crate) fn set_address(&self, address: String, connections: u32) {
        let mut target = self
            .target
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if target.address.is_empty() {
            self.connections.add_permits(connections as usize);
        }
        target.address = address;
    }

    fn address(&self) -> Result<String, CallError> {
        let target = self
            .target
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if target.address.is_empty() {
            NotAnnouncedSnafu.fail()
        } else {
            Ok(target.address.clone())
        }
    }

    /// Runs one task and returns its result or the reason of its failure.
    pub(crate) async fn run_task(&self, dispatch: &Dispatch) -> TaskStatus {
        let start = Instant::now();
        // Dropping the call on a timeout closes its connection, so that a late answer cannot be
        // taken for that of another task.
        let answer = tokio::time::timeout(TASK_TIMEOUT, self.post(dispatch)).await;
        let run = elapsed_millis(start);
        match answer.unwrap_or(Err(CallError::Timeout)) {
            Ok(body) => TaskStatus::Done { body, run },
            Err(CallError::Declined) => TaskStatus::NotRun(NotRunReason::Declined),
            Err(error) => TaskStatus::Failed {
                reason: error.to_string(),
                run,
            },
        }
    }

    async fn post(&self, dispatch: &Dispatch) -> Result<Bytes, CallError> {
        let (job, task) = (dispatch.job.to_string(), dispatch.task.to_string());
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/tasks", self.address()?))
            .header(HEADER_JOB, &job)
            .header(HEADER_TASK, &task)
            .body(
                Full::new(dispatch.payload.clone())
                    .map_err(BoxError::from)
                    .boxed(),
            )
            .context(BuildSnafu)?;
        let _permit = self.connections.acquire().await;
        let response = self.client.request(request).await.context(CallSnafu)?;
        if !answers_task(&response, &job, &task) {
            return MismatchedAnswerSnafu.fail();
        }
        let status = response.status();
        let declined = response
            .headers()
            .get(HEADER_NOT_RUN)
            .is_some_and(|v| v == "yes");
        if status == StatusCode::SERVICE_UNAVAILABLE && declined {
            return DeclinedSnafu.fail();
        }
        let body = Limited::new(response.into_body(), MAX_RESULT);
        let body = body.collect().await.context(BodySnafu)?.to_bytes();
        if !status.is_success() {
            return StatusSnafu { status }.fail();
        }
        Ok(body)
    }

    /// Forwards a request unchanged; `path` holds path and query. The call counts against the limit
    /// of connections only until the head of the response has arrived.
    pub(crate) async fn forward(
        &self,
        mut request: Request<BoxBody<Bytes, BoxError>>,
        path: &str,
    ) -> Result<Response<Incoming>, CallError> {
        let uri = format!("http://{}{path}", self.address()?);
        *request.uri_mut() = uri.parse().map_err(http::Error::from).context(BuildSnafu)?;
        let _permit = self.connections.acquire().await;
        self.client.request(request).await.context(CallSnafu)
    }
}

/// False when the response names another job or task. Servers need not name them.
fn answers_task(response: &Response<Incoming>, job: &str, task: &str) -> bool {
    let matches = |name: &str, expected: &str| {
        response
            .headers()
            .get(name)
            .is_none_or(|value| value.as_bytes() == expected.as_bytes())
    };
    matches(HEADER_JOB, job) && matches(HEADER_TASK, task)
}

pub(crate) fn elapsed_millis(start: Instant) -> Millis {
    Millis(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX))
}
