//! `/v1/services/`: forwards a caller's HTTP request to one backend server and streams the
//! response back.

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use sha2::{Digest, Sha256};
use tokio::sync::{mpsc, oneshot};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use super::convert;
use super::entry::{EntryCall, EntryHandle, RelayAttempt};
use super::http::{self, BoxError, HEADER_REPEATABLE, HttpResponse, Problem, RequestOutcome};
use super::jobs_http::{RenderedAnswer, caller_key};
use super::relay::headers_to_proto;
use crate::control::settings::is_name;
use crate::core::clock::Millis;
use crate::core::entry_io::EntryInput;
use crate::core::ids::JobKey;
use crate::core::job::{Answer, JobHandle, JobKind, Submission, TaskSpec};
use crate::proto;
use crate::proto::agent_client::AgentClient;

/// Largest body, in bytes, that is buffered so that the request can be sent again.
const MAX_BUFFERED: u64 = 64 << 10;
/// Time after which a request fails unless the head of its response has arrived.
const REQUEST_TIMEOUT: Millis = Millis(60_000);
/// Chunks of the request's body that may wait to be sent.
const CHUNK_QUEUE: usize = 16;
/// Attempts that may wait for the request's task.
const ATTEMPT_QUEUE: usize = 8;

/// The body of a request: buffered, or a stream that can be sent only once.
enum RequestBody {
    Buffered(Bytes),
    Stream(Option<Incoming>),
}

/// Cancels the request when the caller disconnects before it has a response.
struct CancelOnDrop {
    handle: EntryHandle,
    key: Option<JobKey>,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            let handle = self.handle.clone();
            tokio::spawn(async move { handle.input(EntryInput::Cancel(key)).await });
        }
    }
}

/// Submits a request for its service and replies with what the backend server answers.
pub(crate) async fn handle_request(
    request: Request<Incoming>,
    team: String,
    handle: &EntryHandle,
) -> Result<HttpResponse, Problem> {
    let target = request.uri().path_and_query().map_or("", |p| p.as_str());
    let rest = target.strip_prefix("/v1/services/").unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let (service, path) = (service.to_owned(), format!("/{path}"));
    if !is_name(&service) {
        let detail = "service: letters, digits, '-', '_' and '.' only, at most 64";
        return Err(Problem::refused(
            StatusCode::BAD_REQUEST,
            "bad service",
            detail,
        ));
    }
    let key = caller_key(&request)?;
    let repeatable = http::header(&request, HEADER_REPEATABLE) != Some("no");
    let mut head = proto::RequestHead {
        dispatch: None,
        method: request.method().as_str().to_owned(),
        path,
        headers: headers_to_proto(request.headers()),
    };
    let fits_buffer = request
        .body()
        .size_hint()
        .upper()
        .is_some_and(|n| n <= MAX_BUFFERED);
    let limit = usize::try_from(MAX_BUFFERED).unwrap_or(usize::MAX);
    let mut body = if fits_buffer || key.is_some() {
        RequestBody::Buffered(http::read_body(request.into_body(), limit).await?)
    } else {
        RequestBody::Stream(Some(request.into_body()))
    };
    let is_buffered = matches!(body, RequestBody::Buffered(_));
    let digest = key.as_ref().map(|_| digest(&head, &body));
    let submission = Submission {
        handle: JobHandle(0),
        key: JobKey {
            team,
            id: key.unwrap_or_else(|| handle.shared.new_job_id()),
        },
        digest,
        service,
        kind: JobKind::Request {
            repeatable: repeatable && is_buffered,
        },
        tasks: vec![TaskSpec {
            payload: Bytes::new(),
            declared: None,
        }],
        deadline: handle.shared.clock.now() + REQUEST_TIMEOUT,
    };
    let mut cancel_guard = CancelOnDrop {
        handle: handle.clone(),
        key: Some(submission.key.clone()),
    };
    let (tx, mut answer_rx) = oneshot::channel();
    let (attempts, mut attempt_rx) = mpsc::channel(ATTEMPT_QUEUE);
    handle
        .call(EntryCall::Submit(Box::new(submission), tx, Some(attempts)))
        .await;
    loop {
        tokio::select! {
            biased;
            Some(attempt) = attempt_rx.recv() => {
                head.dispatch = Some(convert::dispatch_to_proto(&attempt.dispatch));
                if let Some(reply) = relay_attempt(attempt, &head, &mut body).await {
                    cancel_guard.key = None;
                    return Ok(reply);
                }
            }
            answer = &mut answer_rx => {
                cancel_guard.key = None;
                return final_reply(answer.ok());
            }
        }
    }
}

/// The reply to a request that ended without a response relayed to this caller.
fn final_reply(answer: Option<Answer>) -> Result<HttpResponse, Problem> {
    match answer {
        Some(Answer::Complete(_)) => {
            let detail = "the request ran before under this key; its answer went to that caller";
            Err(Problem::new(
                StatusCode::CONFLICT,
                "already run",
                RequestOutcome::Failed,
                detail,
            ))
        }
        Some(answer) => Ok(RenderedAnswer::of(&answer).response()),
        None => {
            let detail = "the entry stopped before the request ended";
            Err(Problem::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "owner lost",
                RequestOutcome::Failed,
                detail,
            ))
        }
    }
}

/// Hash over method, path and buffered body, by which a reuse of the key for another request is
/// recognised.
fn digest(head: &proto::RequestHead, body: &RequestBody) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(head.method.as_bytes());
    hasher.update([0]);
    hasher.update(head.path.as_bytes());
    hasher.update([0]);
    if let RequestBody::Buffered(body) = body {
        hasher.update(body);
    }
    hasher.finalize().to_vec()
}

/// Relays the request once; `None` when no head of a response arrived.
async fn relay_attempt(
    attempt: RelayAttempt,
    head: &proto::RequestHead,
    body: &mut RequestBody,
) -> Option<HttpResponse> {
    let (tx, rx) = mpsc::channel(CHUNK_QUEUE);
    let first = proto::relay_up::Kind::Head(head.clone());
    tx.send(proto::RelayUp { kind: Some(first) }).await.ok()?;
    let mut client = AgentClient::new(attempt.channel);
    let mut messages = client
        .relay(ReceiverStream::new(rx))
        .await
        .ok()?
        .into_inner();
    // The agent's verdict that the request starts. Before it arrives the body is not sent, so that
    // a streamed body is still available to the next attempt.
    let started = messages.message().await.ok()??.kind?;
    if !matches!(started, proto::relay_down::Kind::Verdict(_)) {
        return None;
    }
    send_body(body, tx);
    let answer = messages.message().await.ok()??.kind?;
    let proto::relay_down::Kind::Head(answer) = answer else {
        return None;
    };
    response_from_relay(answer, messages)
}

fn send_body(body: &mut RequestBody, tx: mpsc::Sender<proto::RelayUp>) {
    let to_chunk = |chunk| proto::RelayUp {
        kind: Some(proto::relay_up::Kind::Chunk(chunk)),
    };
    match body {
        RequestBody::Buffered(body) if body.is_empty() => {}
        RequestBody::Buffered(body) => {
            let message = to_chunk(body.clone());
            tokio::spawn(async move { tx.send(message).await });
        }
        RequestBody::Stream(body) => {
            let Some(mut body) = body.take() else {
                return;
            };
            tokio::spawn(async move {
                while let Some(Ok(frame)) = body.frame().await {
                    if let Ok(chunk) = frame.into_data()
                        && tx.send(to_chunk(chunk)).await.is_err()
                    {
                        return;
                    }
                }
            });
        }
    }
}

fn response_from_relay(
    head: proto::ResponseHead,
    messages: Streaming<proto::RelayDown>,
) -> Option<HttpResponse> {
    let status = u16::try_from(head.status).ok()?;
    let mut reply = Response::new(response_body(messages));
    *reply.status_mut() = StatusCode::from_u16(status).ok()?;
    for header in head.headers {
        let name = HeaderName::try_from(header.name.as_str()).ok()?;
        let value = HeaderValue::from_bytes(&header.value).ok()?;
        reply.headers_mut().append(name, value);
    }
    Some(reply)
}

/// The response's body. When the relay fails, the caller's connection is closed, so that a
/// truncated body is not taken for a complete one.
fn response_body(messages: Streaming<proto::RelayDown>) -> BoxBody<Bytes, BoxError> {
    let frames = messages.map(|message| match message {
        Ok(proto::RelayDown {
            kind: Some(proto::relay_down::Kind::Chunk(chunk)),
        }) => Ok(Frame::data(chunk)),
        Ok(_) => Ok(Frame::data(Bytes::new())),
        Err(status) => Err(BoxError::from(status)),
    });
    BodyExt::boxed(StreamBody::new(frames))
}
