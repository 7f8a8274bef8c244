//! A request's way through the agent: gate first, then streamed both ways.

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

use super::agent::{AgentCall, AgentHandle, into_chunk};
use super::backend::{BackendClient, elapsed_millis};
use super::convert;
use super::http::BoxError;
use crate::core::task::{Dispatch, TaskStatus};
use crate::proto;

/// Chunks on their way in one direction; the rest waits at its source.
const CHUNKS: usize = 16;

type Down = Result<proto::RelayDown, Status>;

/// Starts one relay and returns its answers.
pub(crate) fn serve(
    head: proto::RequestHead,
    up: Streaming<proto::RelayUp>,
    handle: AgentHandle,
    backend: BackendClient,
) -> mpsc::Receiver<Down> {
    let (tx, rx) = mpsc::channel(CHUNKS);
    tokio::spawn(async move {
        let dispatch = convert::dispatch_from_proto(head.dispatch.clone().unwrap_or_default());
        let (go, gate) = oneshot::channel();
        handle.call(AgentCall::Relay(dispatch.clone(), go)).await;
        if gate.await != Ok(true) {
            // Not run: the verdict goes over the link.
            return;
        }
        let start = Instant::now();
        let run = run(&dispatch, head, up, &backend, &tx);
        let ended = tokio::select! { ended = run => ended , ( ) = tx . closed ( ) => Err ( "caller gone" . to_owned ( ) ) , };
        let run = elapsed_millis(start);
        let status = match ended {
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

fn down(kind: proto::relay_down::Kind) -> proto::RelayDown {
    proto::RelayDown { kind: Some(kind) }
}

async fn run(
    dispatch: &Dispatch,
    head: proto::RequestHead,
    up: Streaming<proto::RelayUp>,
    backend: &BackendClient,
    tx: &mpsc::Sender<Down>,
) -> Result<(), String> {
    let mut started = proto::Verdict {
        number: dispatch.number.0,
        ..proto::Verdict::default()
    };
    started.set_state(proto::TaskState::Running);
    let gone = |_| "caller gone".to_owned();
    tx.send(Ok(down(proto::relay_down::Kind::Verdict(started))))
        .await
        .map_err(gone)?;
    let path = head.path.clone();
    let request = build(&head, body_of(up)).map_err(|e| e.to_string())?;
    let response = backend
        .forward(request, &path)
        .await
        .map_err(|e| e.to_string())?;
    tx.send(Ok(down(proto::relay_down::Kind::Head(head_of(&response)))))
        .await
        .map_err(gone)?;
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| format!("answer cut short: {e}"))?;
        if let Ok(chunk) = frame.into_data() {
            tx.send(Ok(down(proto::relay_down::Kind::Chunk(chunk))))
                .await
                .map_err(gone)?;
        }
    }
    Ok(())
}

/// The request's body, read from the entry only as fast as it is taken.
fn body_of(mut up: Streaming<proto::RelayUp>) -> BoxBody<Bytes, BoxError> {
    let (tx, rx) = mpsc::channel::<Result<Bytes, BoxError>>(CHUNKS);
    tokio::spawn(async move {
        loop {
            let item = match up.message().await {
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

fn build(
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

fn head_of(response: &Response<hyper::body::Incoming>) -> proto::ResponseHead {
    proto::ResponseHead {
        status: u32::from(response.status().as_u16()),
        headers: headers_to_proto(response.headers()),
    }
}

/// Headers that belong to one connection and are not passed on.
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
