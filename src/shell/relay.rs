//! Relays a caller's request through the agent: once the agent allows the start, the request and
//! the response are streamed between the entry and the backend server.

use std::time::Instant;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Request, Response};
use tokio::sync::{mpsc, oneshot};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

use super::agent::{AgentCall, AgentHandle};
use super::agent_rpc::into_chunk;
use super::backend::{BackendClient, elapsed_millis};
use super::convert;
use super::http::BoxError;
use crate::core::task::{Dispatch, TaskStatus};
use crate::proto;

/// Chunks buffered in one direction; when the buffer is full the sender waits.
const CHUNK_QUEUE: usize = 16;

type RelayResult = Result<proto::RelayDown, Status>;

/// Starts one relay and returns the messages for the entry. They end without any message when the
/// dispatch was not run.
pub(crate) fn serve(
    head: proto::RequestHead,
    messages: Streaming<proto::RelayUp>,
    handle: AgentHandle,
    backend: BackendClient,
) -> mpsc::Receiver<RelayResult> {
    let (tx, rx) = mpsc::channel(CHUNK_QUEUE);
    tokio::spawn(async move {
        let dispatch = convert::dispatch_from_proto(head.dispatch.clone().unwrap_or_default());
        let (started_tx, started_rx) = oneshot::channel();
        handle
            .call(AgentCall::Relay(dispatch.clone(), started_tx))
            .await;
        if started_rx.await != Ok(true) {
            // The entry receives the verdict over its link.
            return;
        }
        let start = Instant::now();
        let run = run_request(&dispatch, head, messages, &backend, &tx);
        let result = tokio::select! {
            result = run => result,
            () = tx.closed() => Err("the caller disconnected".to_owned()),
        };
        let run = elapsed_millis(start);
        let status = match result {
            Ok(()) => TaskStatus::Done {
                body: Bytes::new(),
                run,
            },
            Err(reason) => TaskStatus::Failed { reason, run },
        };
        let failed = matches!(status, TaskStatus::Failed { .. });
        handle.report_finished(&dispatch, status).await;
        if failed {
            let _ = tx.send(Err(Status::aborted("cut short"))).await;
        }
    });
    rx
}

fn to_relay_down(kind: proto::relay_down::Kind) -> proto::RelayDown {
    proto::RelayDown { kind: Some(kind) }
}

/// Forwards the request and streams the response; the error is the reason of the failure.
async fn run_request(
    dispatch: &Dispatch,
    head: proto::RequestHead,
    messages: Streaming<proto::RelayUp>,
    backend: &BackendClient,
    tx: &mpsc::Sender<RelayResult>,
) -> Result<(), String> {
    let mut started = proto::Verdict {
        number: dispatch.number.0,
        ..proto::Verdict::default()
    };
    started.set_state(proto::TaskState::Running);
    let disconnected = |_| "the caller disconnected".to_owned();
    tx.send(Ok(to_relay_down(proto::relay_down::Kind::Verdict(started))))
        .await
        .map_err(disconnected)?;
    let path = head.path.clone();
    let request = build_request(&head, request_body(messages)).map_err(|e| e.to_string())?;
    let response = backend
        .forward(request, &path)
        .await
        .map_err(|e| e.to_string())?;
    tx.send(Ok(to_relay_down(proto::relay_down::Kind::Head(
        response_head(&response),
    ))))
    .await
    .map_err(disconnected)?;
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| format!("answer cut short: {e}"))?;
        if let Ok(chunk) = frame.into_data() {
            tx.send(Ok(to_relay_down(proto::relay_down::Kind::Chunk(chunk))))
                .await
                .map_err(disconnected)?;
        }
    }
    Ok(())
}

/// The request's body, read from the entry only as fast as the backend server takes it.
fn request_body(mut messages: Streaming<proto::RelayUp>) -> BoxBody<Bytes, BoxError> {
    let (tx, rx) = mpsc::channel::<Result<Bytes, BoxError>>(CHUNK_QUEUE);
    tokio::spawn(async move {
        loop {
            let item = match messages.message().await {
                Ok(Some(message)) => match into_chunk(message) {
                    Some(chunk) => Ok(chunk),
                    None => continue,
                },
                Ok(None) => return,
                Err(status) => Err(BoxError::from(status)),
            };
            let failed = item.is_err();
            if tx.send(item).await.is_err() || failed {
                return;
            }
        }
    });
    let frames = ReceiverStream::new(rx).map(|item| item.map(Frame::data));
    BodyExt::boxed(StreamBody::new(frames))
}

fn build_request(
    head: &proto::RequestHead,
    body: BoxBody<Bytes, BoxError>,
) -> Result<Request<BoxBody<Bytes, BoxError>>, hyper::http::Error> {
    let mut builder = Request::builder()
        .method(head.method.as_str())
        .uri(&head.path);
    for header in &head.headers {
        builder = builder.header(&header.name, header.value.as_ref());
    }
    builder.body(body)
}

fn response_head(response: &Response<hyper::body::Incoming>) -> proto::ResponseHead {
    proto::ResponseHead {
        status: u32::from(response.status().as_u16()),
        headers: headers_to_proto(response.headers()),
    }
}

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

pub(crate) fn headers_to_proto(headers: &hyper::HeaderMap) -> Vec<proto::Header> {
    let kept = headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()));
    kept.map(|(name, value)| proto::Header {
        name: name.as_str().to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    })
    .collect()
}
