//! The gRPC service of a control instance, called by entries, agents and its peers.

use std::sync::Arc;

use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

use super::clock::{Clock, unix_now};
use super::control::{ActorStopped, ControlHandle, LastHeard};
use super::convert;
use super::stop::StopSignal;
use crate::control::command::{Command, CommandReply, ProcessRole, TimestampedCommand};
use crate::control::log::{Index, ReplicaId};
use crate::control::message::Message;
use crate::control::raft::RaftInput;
use crate::control::server::{Control, ControlAnswer, ControlInput};
use crate::control::state_machine::{Process, StateMachine};
use crate::core::ids::{Generation, Incarnation, Revision};
use crate::events;
use crate::node::fragments::MAX_MESSAGE;
use crate::proto;
use crate::proto::control_server::ControlServer;

/// Serves until the stop signal.
pub(crate) async fn serve(
    listener: TcpListener,
    handle: ControlHandle,
    last_heard: Arc<LastHeard>,
    clock: Clock,
    stop: StopSignal,
) {
    let service = ControlServer::new(Rpc {
        handle,
        last_heard,
        clock,
    })
    .max_decoding_message_size(MAX_MESSAGE);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = Server::builder().add_service(service);
    if let Err(error) = server
        .serve_with_incoming_shutdown(incoming, stop.wait())
        .await
    {
        events::SERVER_FAILED.log(format_args!("control: {error}"));
    }
}

struct Rpc {
    handle: ControlHandle,
    last_heard: Arc<LastHeard>,
    clock: Clock,
}

/// The status by which a client switches to another instance; [`ControlClient`] reads the leader's
/// id from its message.
///
/// [`ControlClient`]: super::control_client::ControlClient
fn not_leader_status(leader: Option<ReplicaId>) -> Status {
    match leader {
        Some(id) => Status::unavailable(format!("leader is {}", id.0)),
        None => Status::unavailable("no leader"),
    }
}

fn stopping_status(_: ActorStopped) -> Status {
    Status::unavailable("stopping")
}

impl Rpc {
    async fn propose(&self, command: Command) -> Result<(CommandReply, OwnerAddress), Status> {
        let stamped = TimestampedCommand {
            at: unix_now(),
            command,
        };
        let answer = self
            .handle
            .ask(
                move |request_id| ControlInput::Propose(request_id, stamped),
                |answer, control, _| match answer {
                    ControlAnswer::Reply(reply) => {
                        let owner = OwnerAddress::of(&reply, control.state_machine());
                        Ok((reply, owner))
                    }
                    ControlAnswer::LeaderConfirmed { .. } => Err(None),
                    ControlAnswer::NotLeader(leader) => Err(leader),
                },
            )
            .await
            .map_err(stopping_status)?;
        answer.map_err(not_leader_status)
    }

    async fn lookup(&self, key: crate::core::ids::JobKey) -> Result<proto::ClaimReply, Status> {
        let answer = self
            .handle
            .ask(ControlInput::Read, move |answer, control, _| match answer {
                ControlAnswer::NotLeader(leader) => Err(leader),
                _ => Ok(claim_state(control.state_machine(), &key)),
            })
            .await
            .map_err(stopping_status)?;
        answer.map_err(not_leader_status)
    }
}

fn claim_state(state: &StateMachine, key: &crate::core::ids::JobKey) -> proto::ClaimReply {
    let mut reply = proto::ClaimReply::default();
    let Some((owner, Generation(generation))) = state.owner(key) else {
        reply.set_state(proto::ClaimState::Absent);
        return reply;
    };
    reply.set_state(proto::ClaimState::Attached);
    reply.owner = owner.0;
    reply.generation = generation;
    reply.owner_address = live_address(state, owner);
    reply
}

/// The address of a process; empty when it is not alive.
fn live_address(state: &StateMachine, incarnation: Incarnation) -> String {
    let process = state.processes().get(&incarnation).filter(|p| p.alive);
    process.map_or_else(String::new, |p| p.joined.address.clone())
}

/// Address of the owner to which a claim attached; empty for any other reply.
#[derive(Debug, Default)]
struct OwnerAddress {
    address: String,
}

impl OwnerAddress {
    fn of(reply: &CommandReply, state: &StateMachine) -> Self {
        let address = match reply {
            CommandReply::Claim(crate::control::command::ClaimAnswer::Attached {
                owner, ..
            }) => live_address(state, *owner),
            _ => String::new(),
        };
        Self { address }
    }
}

fn member_row(incarnation: Incarnation, process: &Process) -> proto::Member {
    proto::Member {
        incarnation: incarnation.0,
        role: convert::role_to_proto(process.joined.role).into(),
        name: process.joined.name.clone(),
        data_centre: process.joined.place.clone(),
        address: process.joined.address.clone(),
        service: process.joined.service.clone(),
        alive: process.alive,
    }
}

/// The members that changed after the directory index a process knows. Agents need entries only.
fn changed_members(
    state: &StateMachine,
    role: ProcessRole,
    known_index: Index,
) -> Vec<proto::Member> {
    if state.directory_index() <= known_index {
        return Vec::new();
    }
    let changed = state.processes().iter().filter(|(_, p)| {
        let is_needed = role == ProcessRole::Entry || p.joined.role == ProcessRole::Entry;
        // A process that has just joined does not need members that died before.
        p.changed > known_index && is_needed && (p.alive || known_index > Index(0))
    });
    changed
        .map(|(incarnation, p)| member_row(*incarnation, p))
        .collect()
}

fn renew_reply(
    control: &Control,
    incarnation: Incarnation,
    known_revision: Revision,
    known_index: Index,
    lease: u64,
) -> proto::RenewReply {
    let state = control.state_machine();
    let role = state.processes().get(&incarnation).map(|p| p.joined.role);
    let rows = if state.revision() > known_revision {
        state.settings().list()
    } else {
        Vec::new()
    };
    let settings = rows
        .into_iter()
        .map(|o| proto::Setting {
            path: o.path,
            key: o.key,
            value: o.value,
        })
        .collect();
    proto::RenewReply {
        alive: true,
        lease_ms: lease,
        revision: state.revision().0,
        settings,
        directory: state.directory_index().0,
        members: changed_members(state, role.unwrap_or(ProcessRole::Agent), known_index),
    }
}

#[tonic::async_trait]
impl proto::control_server::Control for Rpc {
    async fn join(
        &self,
        request: Request<proto::JoinRequest>,
    ) -> Result<Response<proto::JoinReply>, Status> {
        let request = request.into_inner();
        let registration = convert::registration_from_proto(&request);
        match self
            .propose(Command::Join(request.request, registration))
            .await?
        {
            (CommandReply::Joined(incarnation), _) => Ok(Response::new(proto::JoinReply {
                incarnation: incarnation.0,
            })),
            _ => Err(Status::internal("join got another command's reply")),
        }
    }

    async fn renew(
        &self,
        request: Request<proto::RenewRequest>,
    ) -> Result<Response<proto::RenewReply>, Status> {
        let request = request.into_inner();
        let incarnation = Incarnation(request.incarnation);
        if request.leaving {
            self.propose(Command::Dead(incarnation)).await?;
            return Ok(Response::new(proto::RenewReply::default()));
        }
        let known_revision = Revision(request.revision);
        let known_index = Index(request.directory);
        let answer = self
            .handle
            .ask(
                move |request_id| ControlInput::Renew {
                    request_id,
                    incarnation,
                    revision: known_revision,
                },
                move |answer, control, _| match answer {
                    ControlAnswer::LeaderConfirmed { alive: true, lease } => Ok(renew_reply(
                        control,
                        incarnation,
                        known_revision,
                        known_index,
                        lease.0,
                    )),
                    ControlAnswer::NotLeader(leader) => Err(leader),
                    _ => Ok(proto::RenewReply::default()),
                },
            )
            .await
            .map_err(stopping_status)?;
        answer.map(Response::new).map_err(not_leader_status)
    }

    async fn claim(
        &self,
        request: Request<proto::ClaimRequest>,
    ) -> Result<Response<proto::ClaimReply>, Status> {
        let request = request.into_inner();
        let key = convert::job_from_proto(request.job);
        if request.lookup {
            return self.lookup(key).await.map(Response::new);
        }
        let command = Command::Claim {
            key,
            service: request.service,
            digest: request.digest.to_vec(),
            owner: Incarnation(request.owner),
        };
        match self.propose(command).await? {
            (CommandReply::Claim(answer), owner) => {
                let mut reply = convert::claim_to_proto(answer);
                reply.owner_address = owner.address;
                Ok(Response::new(reply))
            }
            _ => Err(Status::internal("claim got another command's reply")),
        }
    }

    async fn record(
        &self,
        request: Request<proto::RecordRequest>,
    ) -> Result<Response<proto::RecordReply>, Status> {
        let request = request.into_inner();
        let outcome = convert::outcome_from_proto(request.outcome());
        let command = Command::Record {
            key: convert::job_from_proto(request.job),
            generation: Generation(request.generation),
            owner: Incarnation(request.owner),
            outcome,
        };
        match self.propose(command).await? {
            (CommandReply::Recorded(accepted), _) => {
                Ok(Response::new(proto::RecordReply { accepted }))
            }
            _ => Err(Status::internal("record got another command's reply")),
        }
    }

    async fn peer(
        &self,
        request: Request<Streaming<proto::PeerMessage>>,
    ) -> Result<Response<proto::PeerReply>, Status> {
        let mut stream = request.into_inner();
        while let Some(message) = stream.message().await? {
            let Ok(message) = postcard::from_bytes::<Message>(&message.body) else {
                return Err(Status::invalid_argument("not a message of this protocol"));
            };
            self.last_heard.record(message.from.0, self.clock.now());
            self.handle
                .input(ControlInput::Raft(RaftInput::Receive(message)))
                .await;
        }
        Ok(Response::new(proto::PeerReply {}))
    }
}
