//! Calling the backend server.

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

/// Longest a task may run.
const TASK_LIMIT: Duration = Duration::from_mins(2);
/// Time a connection may take to open.
const CONNECT: Duration = Duration::from_secs(1);
/// Largest result of a task, in bytes.
const RESULT_LIMIT: usize = 4 << 20;
/// Connections left idle are closed after this.
const IDLE: Duration = Duration::from_secs(30);

/// Why a call has no whole answer.
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
    # [ snafu ( display ( "no answer within {} s" , TASK_LIMIT . as_secs ( ) ) ) ]
    Timeout,
    #[snafu(display("answer cut short or too long: {source}"))]
    Body { source: BoxError },
    #[snafu(display("status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("the answer is of another task"))]
    MismatchedAnswer,
    #[snafu(display("not started"))]
    Declined,
}

#[derive(Debug, Default)]
struct Target {
    address: String,
}

/// The backend server beside this agent.
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
        connector.set_connect_timeout(Some(CONNECT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .build(connector);
        Self {
            target: Arc::default(),
            connections: Arc::new(Semaphore::new(0)),
            client,
        }
    }

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

    /// Runs one task.
    pub(crate) async fn run_task(&self, dispatch: &Dispatch) -> TaskStatus {
        let start = Instant::now();
        // Dropping the call on a timeout closes its connection: it is not reused.
        let answer = tokio::time::timeout(TASK_LIMIT, self.post(dispatch)).await;
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
        if !is_own(&response, &job, &task) {
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
        let body = Limited::new(response.into_body(), RESULT_LIMIT);
        let body = body.collect().await.context(BodySnafu)?.to_bytes();
        if !status.is_success() {
            return StatusSnafu { status }.fail();
        }
        Ok(body)
    }

    /// Passes a request on as it came; `path` is path and query.
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

/// False when the backend server says that it answers something else.
fn is_own(response: &Response<Incoming>, job: &str, task: &str) -> bool {
    let matches = |name: &str, own: &str| {
        response
            .headers()
            .get(name)
            .is_none_or(|value| value.as_bytes() == own.as_bytes())
    };
    matches(HEADER_JOB, job) && matches(HEADER_TASK, task)
}

pub(crate) fn elapsed_millis(start: Instant) -> Millis {
    Millis(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX))
}
