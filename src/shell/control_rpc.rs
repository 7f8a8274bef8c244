//! What a control instance serves to the system's own processes.

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
    });
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

/// A refusal that sends the caller to another instance.
fn not_leader(leader: Option<ReplicaId>) -> Status {
    match leader {
        Some(id) => Status::unavailable(format!("leader is {}", id.0)),
        None => Status::unavailable("no leader"),
    }
}

fn gone(_: ActorStopped) -> Status {
    Status::unavailable("stopping")
}

impl Rpc {
    async fn propose(&self, command: Command) -> Result<(CommandReply, Addresses), Status> {
        let stamped = TimestampedCommand {
            at: unix_now(),
            command,
        };
        let answer = self
            .handle
            .ask(
                move |token| ControlInput::Propose(token, stamped),
                |answer, control, _| match answer {
                    ControlAnswer::Reply(reply) => {
                        let addresses = Addresses::of(&reply, control.state_machine());
                        Ok((reply, addresses))
                    }
                    ControlAnswer::LeaderConfirmed { .. } => Err(None),
                    ControlAnswer::NotLeader(leader) => Err(leader),
                },
            )
            .await
            .map_err(gone)?;
        answer.map_err(not_leader)
    }

    async fn lookup(&self, key: crate::core::ids::JobKey) -> Result<proto::ClaimReply, Status> {
        let answer = self
            .handle
            .ask(ControlInput::Read, move |answer, control, _| match answer {
                ControlAnswer::NotLeader(leader) => Err(leader),
                _ => Ok(look(control.state_machine(), &key)),
            })
            .await
            .map_err(gone)?;
        answer.map_err(not_leader)
    }
}

fn look(machine: &StateMachine, key: &crate::core::ids::JobKey) -> proto::ClaimReply {
    let mut reply = proto::ClaimReply::default();
    let Some((owner, Generation(generation))) = machine.owner(key) else {
        reply.set_state(proto::ClaimState::Absent);
        return reply;
    };
    reply.set_state(proto::ClaimState::Attached);
    reply.owner = owner.0;
    reply.generation = generation;
    reply.owner_address = live_address(machine, owner);
    reply
}

/// Empty when the process is not alive.
fn live_address(machine: &StateMachine, incarnation: Incarnation) -> String {
    let process = machine.processes().get(&incarnation).filter(|p| p.alive);
    process.map_or_else(String::new, |p| p.joined.address.clone())
}

/// The owner's address beside a claim's answer.
#[derive(Debug, Default)]
struct Addresses {
    owner: String,
}

impl Addresses {
    fn of(reply: &CommandReply, machine: &StateMachine) -> Self {
        let owner = match reply {
            CommandReply::Claim(crate::control::command::ClaimAnswer::Attached {
                owner, ..
            }) => live_address(machine, *owner),
            _ => String::new(),
        };
        Self { owner }
    }
}

fn member(incarnation: Incarnation, process: &Process) -> proto::Member {
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

/// What a process lacks of the directory. Agents need entries only.
fn members(machine: &StateMachine, to: ProcessRole, since: Index) -> Vec<proto::Member> {
    if machine.directory_index() <= since {
        return Vec::new();
    }
    let changed = machine.processes().iter().filter(|(_, p)| {
        let wanted = to == ProcessRole::Entry || p.joined.role == ProcessRole::Entry;
        // What died before a new process knew of it is no news.
        p.changed > since && wanted && (p.alive || since > Index(0))
    });
    changed
        .map(|(incarnation, p)| member(*incarnation, p))
        .collect()
}

fn renewal(
    control: &Control,
    incarnation: Incarnation,
    known: Revision,
    since: Index,
    lease: u64,
) -> proto::RenewReply {
    let machine = control.state_machine();
    let role = machine.processes().get(&incarnation).map(|p| p.joined.role);
    let rows = if machine.revision() > known {
        machine.settings().list()
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
        revision: machine.revision().0,
        settings,
        directory: machine.directory_index().0,
        members: members(machine, role.unwrap_or(ProcessRole::Agent), since),
    }
}

#[tonic::async_trait]
impl proto::control_server::Control for Rpc {
    async fn join(
        &self,
        request: Request<proto::JoinRequest>,
    ) -> Result<Response<proto::JoinReply>, Status> {
        let request = request.into_inner();
        let joining = convert::joining_from_proto(&request);
        match self
            .propose(Command::Join(request.request, joining))
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
        let known = Revision(request.revision);
        let since = Index(request.directory);
        let answer = self
            .handle
            .ask(
                move |request_id| ControlInput::Renew {
                    request_id,
                    incarnation,
                    revision: known,
                },
                move |answer, control, _| match answer {
                    ControlAnswer::LeaderConfirmed { alive: true, lease } => {
                        Ok(renewal(control, incarnation, known, since, lease.0))
                    }
                    ControlAnswer::NotLeader(leader) => Err(leader),
                    _ => Ok(proto::RenewReply::default()),
                },
            )
            .await
            .map_err(gone)?;
        answer.map(Response::new).map_err(not_leader)
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
            (CommandReply::Claim(answer), addresses) => {
                let mut reply = convert::claim_to_proto(answer);
                reply.owner_address = addresses.owner;
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
