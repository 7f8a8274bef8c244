//! Shared parts of the HTTP servers: header names, problem details, and the accept loop.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tower::Service;

use super::stop::StopSignal;
use crate::core::clock::Millis;
use crate::events;

pub(crate) const HEADER_JOB: &str = "fulmardrift-job";
pub(crate) const HEADER_TASK: &str = "fulmardrift-task";
pub(crate) const HEADER_NOT_RUN: &str = "fulmardrift-not-run";
pub(crate) const HEADER_TEAM: &str = "fulmardrift-team";
pub(crate) const HEADER_KEY: &str = "idempotency-key";
pub(crate) const HEADER_REPEATABLE: &str = "fulmardrift-repeatable";

/// Time in which a client must send the head of a request.
const HEAD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);
/// Longest time that a stopping server waits for the requests in flight.
const DRAIN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(150);

pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;
pub(crate) type HttpResponse = Response<BoxBody<Bytes, BoxError>>;

/// Whether anything of a failed request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RequestOutcome {
    /// It ran, or may have run.
    Failed,
    /// Nothing of it ran.
    Refused,
}

/// An error response, in the format of RFC 9457 with an additional `outcome`.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Problem {
    #[serde(skip)]
    pub(crate) code: StatusCode,
    #[serde(rename = "type")]
    pub(crate) kind: &'static str,
    pub(crate) title: &'static str,
    pub(crate) status: u16,
    pub(crate) detail: String,
    pub(crate) outcome: RequestOutcome,
    /// Time after which the caller may retry, sent as `Retry-After` in whole seconds.
    #[serde(skip)]
    pub(crate) retry: Option<Millis>,
}

impl Problem {
    pub(crate) fn new(
        code: StatusCode,
        title: &'static str,
        outcome: RequestOutcome,
        detail: impl Into<String>,
    ) -> Self {
        let detail = detail.into();
        Self {
            code,
            kind: "about:blank",
            title,
            status: code.as_u16(),
            detail,
            outcome,
            retry: None,
        }
    }

    pub(crate) fn refused(
        code: StatusCode,
        title: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        Self::new(code, title, RequestOutcome::Refused, detail)
    }

    pub(crate) fn body(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }

    pub(crate) fn response(&self) -> HttpResponse {
        let mut reply = bytes_response(self.code, "application/problem+json", self.body());
        if let Some(retry) = self.retry {
            let seconds = HeaderValue::from(retry.0.div_ceil(1_000));
            reply.headers_mut().insert(RETRY_AFTER, seconds);
        }
        reply
    }
}

pub(crate) fn bytes_response(code: StatusCode, kind: &'static str, body: Bytes) -> HttpResponse {
    let mut reply = Response::new(full_body(body));
    *reply.status_mut() = code;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

pub(crate) fn json_response(code: StatusCode, value: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    bytes_response(code, "application/json", Bytes::from(body))
}

pub(crate) fn text_response(code: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    bytes_response(code, "text/plain; charset=utf-8", text.into())
}

pub(crate) fn full_body(body: Bytes) -> BoxBody<Bytes, BoxError> {
    Full::new(body).map_err(BoxError::from).boxed()
}

/// Reads a complete body of up to `limit` bytes.
pub(crate) async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, Problem>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => {
            let code = if error.is::<http_body_util::LengthLimitError>() {
                StatusCode::PAYLOAD_TOO_LARGE
            } else {
                StatusCode::BAD_REQUEST
            };
            let detail = format!("the body could not be read, at most {limit} bytes: {error}");
            Err(Problem::refused(code, "body not accepted", detail))
        }
    }
}

/// Reads a JSON body.
pub(crate) fn from_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("the body is not the JSON expected: {error}");
        Problem::refused(StatusCode::BAD_REQUEST, "malformed body", detail)
    })
}

/// A value from the request's query string, as it stands there, without percent-decoding.
pub(crate) fn query_value<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, v)| v)
}

pub(crate) fn header<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Serves HTTP/1.1 and HTTP/2 until the stop signal, then completes the requests in flight.
pub(crate) async fn serve<S>(listener: TcpListener, service: S, stop: StopSignal)
where
    S: Service<Request<Incoming>, Response = HttpResponse, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    builder.http2().timer(TokioTimer::new());
    let graceful = GracefulShutdown::new();
    let stopped = stop.wait();
    tokio::pin!(stopped);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    events::SERVER_FAILED.log(format_args!("accept: {error}"));
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                }
            },
            () = &mut stopped => break,
        };
        // Send small responses without delay.
        let _ = stream.set_nodelay(true);
        let hyper_service = TowerToHyperService::new(service.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), hyper_service);
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection: {error}");
            }
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, graceful.shutdown()).await;
}
