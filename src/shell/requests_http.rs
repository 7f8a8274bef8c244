//! A caller's request, passed to one backend server and streamed both ways.

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

/// A body up to this many bytes is read whole, so that it can be sent again.
const BUFFER: u64 = 64 << 10;
/// How long a request may wait for its answer's head.
const TIMEOUT: Millis = Millis(60_000);
/// Chunks on their way in one direction.
const CHUNKS: usize = 16;
/// Tries that may wait for the request's task.
const ATTEMPTS: usize = 8;

/// The body of a request, as far as it can be had more than once.
enum Upload {
    Whole(Bytes),
    Stream(Option<Incoming>),
}

/// Withdraws the request when the caller goes before it has an answer.
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

pub(crate) async fn answer(
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
    let asked = http::header(&request, HEADER_REPEATABLE) != Some("no");
    let mut head = proto::RequestHead {
        dispatch: None,
        method: request.method().as_str().to_owned(),
        path,
        headers: headers_to_proto(request.headers()),
    };
    let small = request
        .body()
        .size_hint()
        .upper()
        .is_some_and(|n| n <= BUFFER);
    let limit = usize::try_from(BUFFER).unwrap_or(usize::MAX);
    let mut upload = if small || key.is_some() {
        Upload::Whole(http::read_body(request.into_body(), limit).await?)
    } else {
        Upload::Stream(Some(request.into_body()))
    };
    let whole = matches!(upload, Upload::Whole(_));
    let digest = key.as_ref().map(|_| digest(&head, &upload));
    let submission = Submission {
        handle: JobHandle(0),
        key: JobKey {
            team,
            id: key.unwrap_or_else(|| handle.shared.new_job_id()),
        },
        digest,
        service,
        kind: JobKind::Request {
            repeatable: asked && whole,
        },
        tasks: vec![TaskSpec {
            payload: Bytes::new(),
            declared: None,
        }],
        deadline: handle.shared.clock.now() + TIMEOUT,
    };
    let mut guard = CancelOnDrop {
        handle: handle.clone(),
        key: Some(submission.key.clone()),
    };
    let (tx, mut settled) = oneshot::channel();
    let (attempts, mut orders) = mpsc::channel(ATTEMPTS);
    handle
        .call(EntryCall::Submit(Box::new(submission), tx, Some(attempts)))
        .await;
    loop {
        tokio::select! {
            biased;
            Some(attempt) = orders.recv() => {
                head.dispatch = Some(convert::dispatch_to_proto(&attempt.dispatch));
                if let Some(reply) = try_once(attempt, &head, &mut upload).await {
                    guard.key = None;
                    return Ok(reply);
                }
            }
            answer = &mut settled => {
                guard.key = None;
                return conclude(answer.ok());
            }
        }
    }
}

/// The reply to a request that ended without an answer streamed to this caller.
fn conclude(answer: Option<Answer>) -> Result<HttpResponse, Problem> {
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
        Some(answer) => Ok(RenderedAnswer::of(&answer).reply()),
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

fn digest(head: &proto::RequestHead, upload: &Upload) -> Vec<u8> {
    let mut hasher = Sha256::new();
    hasher.update(head.method.as_bytes());
    hasher.update([0]);
    hasher.update(head.path.as_bytes());
    hasher.update([0]);
    if let Upload::Whole(body) = upload {
        hasher.update(body);
    }
    hasher.finalize().to_vec()
}

/// One relay; `None` when it brought no head of an answer.
async fn try_once(
    attempt: RelayAttempt,
    head: &proto::RequestHead,
    upload: &mut Upload,
) -> Option<HttpResponse> {
    let (tx, rx) = mpsc::channel(CHUNKS);
    let first = proto::relay_up::Kind::Head(head.clone());
    tx.send(proto::RelayUp { kind: Some(first) }).await.ok()?;
    let mut client = AgentClient::new(attempt.channel);
    let mut down = client
        .relay(ReceiverStream::new(rx))
        .await
        .ok()?
        .into_inner();
    // The agent's word that it starts; without it the body stays here.
    let started = down.message().await.ok()??.kind?;
    if !matches!(started, proto::relay_down::Kind::Verdict(_)) {
        return None;
    }
    send_body(upload, tx);
    let answer = down.message().await.ok()??.kind?;
    let proto::relay_down::Kind::Head(answer) = answer else {
        return None;
    };
    reply(answer, down)
}

fn send_body(upload: &mut Upload, tx: mpsc::Sender<proto::RelayUp>) {
    let up = |chunk| proto::RelayUp {
        kind: Some(proto::relay_up::Kind::Chunk(chunk)),
    };
    match upload {
        Upload::Whole(body) if body.is_empty() => {}
        Upload::Whole(body) => {
            let message = up(body.clone());
            tokio::spawn(async move { tx.send(message).await });
        }
        Upload::Stream(body) => {
            let Some(mut body) = body.take() else {
                return;
            };
            tokio::spawn(async move {
                while let Some(Ok(frame)) = body.frame().await {
                    if let Ok(chunk) = frame.into_data()
                        && tx.send(up(chunk)).await.is_err()
                    {
                        return;
                    }
                }
            });
        }
    }
}

fn reply(head: proto::ResponseHead, down: Streaming<proto::RelayDown>) -> Option<HttpResponse> {
    let status = u16::try_from(head.status).ok()?;
    let mut reply = Response::new(body_of(down));
    *reply.status_mut() = StatusCode::from_u16(status).ok()?;
    for header in head.headers {
        let name = HeaderName::try_from(header.name.as_str()).ok()?;
        let value = HeaderValue::from_bytes(&header.value).ok()?;
        reply.headers_mut().append(name, value);
    }
    Some(reply)
}

/// The answer's body; an answer cut short ends the caller's connection, so that
/// it is not taken for whole.
fn body_of(down: Streaming<proto::RelayDown>) -> BoxBody<Bytes, BoxError> {
    let frames = down.map(|message| match message {
        Ok(proto::RelayDown {
            kind: Some(proto::relay_down::Kind::Chunk(chunk)),
        }) => Ok(Frame::data(chunk)),
        Ok(_) => Ok(Frame::data(Bytes::new())),
        Err(status) => Err(BoxError::from(status)),
    });
    BodyExt::boxed(StreamBody::new(frames))
}
