//! The agent's gRPC service for entries.

use std::pin::Pin;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::Stream;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

use super::agent::{AgentCall, AgentHandle, LINK_QUEUE};
use super::backend::BackendClient;
use super::convert;
use super::relay;
use super::stop::StopSignal;
use crate::core::agent::AgentInput;
use crate::core::ids::{Generation, Incarnation};
use crate::events;
use crate::node::fragments::MAX_MESSAGE;
use crate::proto;
use crate::proto::agent_server::AgentServer;

/// Serves entries' links, relays and inventory requests until `stop`.
pub(crate) async fn serve_rpc(
    listener: TcpListener,
    handle: AgentHandle,
    backend: BackendClient,
    stop: StopSignal,
) {
    let service = AgentServer::new(Rpc { handle, backend }).max_decoding_message_size(MAX_MESSAGE);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = Server::builder().add_service(service);
    if let Err(error) = server
        .serve_with_incoming_shutdown(incoming, stop.wait())
        .await
    {
        events::SERVER_FAILED.log(format_args!("agent: {error}"));
    }
}

struct Rpc {
    handle: AgentHandle,
    backend: BackendClient,
}

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

#[tonic::async_trait]
impl proto::agent_server::Agent for Rpc {
    type LinkStream = ResponseStream<proto::FromAgent>;
    type RelayStream = ResponseStream<proto::RelayDown>;

    async fn link(
        &self,
        request: Request<Streaming<proto::ToAgent>>,
    ) -> Result<Response<Self::LinkStream>, Status> {
        let mut requests = request.into_inner();
        let first = requests.message().await?.and_then(|m| m.kind);
        let Some(proto::to_agent::Kind::Hello(hello)) = first else {
            return Err(Status::invalid_argument("a link starts with hello"));
        };
        let entry = Incarnation(hello.entry);
        let link = rand::random::<u64>();
        let (tx, rx) = mpsc::channel(LINK_QUEUE);
        let handle = self.handle.clone();
        handle.call(AgentCall::Opened { entry, link, tx }).await;
        tokio::spawn(async move {
            while let Ok(Some(message)) = requests.message().await {
                if let Some(kind) = message.kind {
                    handle.call(call_from_proto(entry, kind)).await;
                }
            }
            handle.call(AgentCall::Closed { entry, link }).await;
        });
        let responses = tokio_stream::StreamExt::map(ReceiverStream::new(rx), Ok);
        Ok(Response::new(Box::pin(responses)))
    }

    async fn relay(
        &self,
        request: Request<Streaming<proto::RelayUp>>,
    ) -> Result<Response<Self::RelayStream>, Status> {
        let mut requests = request.into_inner();
        let first = requests.message().await?.and_then(|m| m.kind);
        let Some(proto::relay_up::Kind::Head(head)) = first else {
            return Err(Status::invalid_argument(
                "a relay starts with the request's head",
            ));
        };
        let responses = relay::serve(head, requests, self.handle.clone(), self.backend.clone());
        Ok(Response::new(Box::pin(ReceiverStream::new(responses))))
    }

    async fn inventory(
        &self,
        request: Request<proto::InventoryRequest>,
    ) -> Result<Response<proto::InventoryReply>, Status> {
        let request = request.into_inner();
        let (tx, rx) = oneshot::channel();
        let key = convert::job_from_proto(request.job);
        let call = AgentCall::Inventory(key, Generation(request.generation), tx);
        self.handle.call(call).await;
        let (agent, tasks) = rx
            .await
            .map_err(|_| Status::unavailable("not a member yet"))?;
        let tasks = tasks.into_iter().map(convert::verdict_to_proto).collect();
        Ok(Response::new(proto::InventoryReply {
            agent: agent.0,
            tasks,
        }))
    }
}

fn call_from_proto(entry: Incarnation, kind: proto::to_agent::Kind) -> AgentCall {
    use proto::to_agent::Kind;
    let input = match kind {
        Kind::Hello(_) => AgentInput::Tick,
        Kind::Dispatch(d) => AgentInput::Dispatch(convert::dispatch_from_proto(d)),
        Kind::Ask(ask) => AgentInput::Ask(
            ask.dispatches
                .into_iter()
                .map(convert::dispatch_from_proto)
                .collect(),
        ),
        Kind::Want(want) => AgentInput::Want(entry, want.count),
        Kind::GiveBack(back) => AgentInput::GiveBack(entry, back.count),
        Kind::Cancel(cancel) => AgentInput::Cancel(
            convert::job_from_proto(cancel.job),
            Generation(cancel.generation),
        ),
        Kind::Recorded(recorded) => AgentInput::Recorded(convert::job_from_proto(recorded.job)),
        Kind::Ping(ping) => {
            return AgentCall::Ping {
                entry,
                number: ping.number,
            };
        }
    };
    AgentCall::Input(input)
}

/// The body chunk in a relay message; `None` for any other message.
pub(crate) fn into_chunk(message: proto::RelayUp) -> Option<Bytes> {
    match message.kind {
        Some(proto::relay_up::Kind::Chunk(chunk)) => Some(chunk),
        _ => None,
    }
}
