//! Calls between entries about the job that one of them owns, and inventory calls to agents.

use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use super::convert;
use super::entry::{EntryCall, EntryHandle};
use super::jobs_http::RenderedAnswer;
use super::peers::connect;
use super::stop::StopSignal;
use crate::core::entry_io::EntryInput;
use crate::core::ids::{Generation, Incarnation, JobKey};
use crate::core::job::JobHandle;
use crate::core::task::Verdict;
use crate::events;
use crate::proto;
use crate::proto::agent_client::AgentClient;
use crate::proto::entry_client::EntryClient;
use crate::proto::entry_server::EntryServer;

/// Pause before an owner that did not answer is looked up again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest that one call waits for a job to end.
const POLL_WAIT: Duration = Duration::from_secs(5);
/// A call fails when it takes this much longer than its wait.
const CALL_MARGIN: Duration = Duration::from_secs(2);
/// Time in which an agent must answer an inventory call.
const INVENTORY_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest message from an agent or another entry, in bytes.
const MESSAGE_LIMIT: usize = 256 << 20;

/// Serves calls from other entries until the stop signal.
pub(crate) async fn serve(listener: TcpListener, handle: EntryHandle, stop: StopSignal) {
    let service = EntryServer::new(Rpc { handle });
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = Server::builder().add_service(service);
    if let Err(error) = server
        .serve_with_incoming_shutdown(incoming, stop.wait())
        .await
    {
        events::SERVER_FAILED.log(format_args!("entry: {error}"));
    }
}

struct Rpc {
    handle: EntryHandle,
}

#[tonic::async_trait]
impl proto::entry_server::Entry for Rpc {
    async fn r#await(
        &self,
        request: Request<proto::AwaitRequest>,
    ) -> Result<Response<proto::AwaitReply>, Status> {
        let request = request.into_inner();
        let key = convert::job_from_proto(request.job);
        if request.cancel {
            self.handle.input(EntryInput::Cancel(key.clone())).await;
        }
        let Some(answer) = self.handle.poll(key).await else {
            return Ok(Response::new(proto::AwaitReply::default()));
        };
        let wait = Duration::from_millis(request.wait_ms);
        let reply = match tokio::time::timeout(wait, answer).await {
            Ok(Ok(answer)) => {
                let rendered = RenderedAnswer::of(&answer);
                proto::AwaitReply {
                    owned: true,
                    settled: true,
                    status: u32::from(rendered.status.as_u16()),
                    body: rendered.body,
                }
            }
            Ok(Err(_)) => return Err(Status::unavailable("stopping")),
            Err(_) => proto::AwaitReply {
                owned: true,
                ..proto::AwaitReply::default()
            },
        };
        Ok(Response::new(reply))
    }
}

/// The result of asking a job's owner about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OwnerReply {
    Settled {
        status: u16,
        body: Bytes,
    },
    Running,
    /// The entry asked does not have the job.
    NotOwned,
    /// The control group or the owner did not answer.
    NoAnswer,
    /// The control group has no claim of the key.
    NoClaim,
}

/// Asks the entry at `address` for a job, and cancels the job first when `cancel` is set.
pub(crate) async fn poll_entry(
    address: &str,
    key: &JobKey,
    wait: Duration,
    cancel: bool,
) -> OwnerReply {
    let call = async {
        let mut client =
            EntryClient::new(connect(address).await?).max_decoding_message_size(MESSAGE_LIMIT);
        let request = proto::AwaitRequest {
            job: Some(convert::job_to_proto(key)),
            generation: 0,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            cancel,
        };
        Some(client.r#await(request).await.ok()?.into_inner())
    };
    match tokio::time::timeout(wait + CALL_MARGIN, call).await {
        Ok(Some(reply)) if !reply.owned => OwnerReply::NotOwned,
        Ok(Some(reply)) if reply.settled => {
            let status = u16::try_from(reply.status).unwrap_or(500);
            OwnerReply::Settled {
                status,
                body: reply.body,
            }
        }
        Ok(Some(_)) => OwnerReply::Running,
        Ok(None) | Err(_) => OwnerReply::NoAnswer,
    }
}

/// Looks up a job's owner at the control group, then asks the owner for the job.
pub(crate) async fn poll_owner(
    handle: &EntryHandle,
    key: &JobKey,
    wait: Duration,
    cancel: bool,
) -> OwnerReply {
    let lookup = proto::ClaimRequest {
        job: Some(convert::job_to_proto(key)),
        lookup: true,
        ..proto::ClaimRequest::default()
    };
    let Ok(reply) = handle.shared.client.claim(lookup).await else {
        return OwnerReply::NoAnswer;
    };
    if reply.state() == proto::ClaimState::Absent {
        return OwnerReply::NoClaim;
    }
    if reply.owner_address.is_empty() || reply.owner == handle.shared.incarnation().0 {
        return OwnerReply::NotOwned;
    }
    poll_entry(&reply.owner_address, key, wait, cancel).await
}

/// Waits for the answer of an attached job's owner and passes it to this entry. When the owner no
/// longer has the job, the entry claims the key again.
pub(crate) async fn attach(entry: EntryHandle, handle: JobHandle, key: JobKey) {
    loop {
        match poll_owner(&entry, &key, POLL_WAIT, false).await {
            OwnerReply::Settled { status, body } => {
                entry
                    .call(EntryCall::Input(EntryInput::Relayed(handle, status, body)))
                    .await;
                return;
            }
            OwnerReply::Running => {}
            OwnerReply::NoAnswer => tokio::time::sleep(RETRY_DELAY).await,
            OwnerReply::NotOwned | OwnerReply::NoClaim => {
                tokio::time::sleep(RETRY_DELAY).await;
                entry.input(EntryInput::Reclaim(handle)).await;
                return;
            }
        }
    }
}

/// Asks an agent once for a job's tasks; `None` when this incarnation did not answer.
pub(crate) async fn inventory(
    address: &str,
    agent: Incarnation,
    key: &JobKey,
    generation: Generation,
) -> Option<Vec<Verdict>> {
    let call = async {
        let mut client =
            AgentClient::new(connect(address).await?).max_decoding_message_size(MESSAGE_LIMIT);
        let request = proto::InventoryRequest {
            job: Some(convert::job_to_proto(key)),
            generation: generation.0,
        };
        Some(client.inventory(request).await.ok()?.into_inner())
    };
    let reply = tokio::time::timeout(INVENTORY_TIMEOUT, call).await.ok()??;
    (reply.agent == agent.0).then(|| {
        reply
            .tasks
            .into_iter()
            .map(convert::verdict_from_proto)
            .collect()
    })
}
