//! Administration over HTTP, spoken by the `fulmardrift` tool.

use std::convert::Infallible;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::clock::unix_now;
use super::control::{ActorStopped, ControlHandle};
use super::http::{self, HttpResponse, Problem, RequestOutcome};
use super::stop::StopSignal;
use crate::control::command::{
    Accepted, ChangeRequest, Command, ProcessRole, Rejected, SettingChange, TimestampedCommand,
};
use crate::control::server::{Control, ControlAnswer, ControlInput};
use crate::control::settings::{EffectiveValue, Override, key_spec};
use crate::control::state_machine::AuditRow;
use crate::core::clock::Millis;
use crate::core::ids::Revision;
use crate::events;

/// Largest request, in bytes.
const LIMIT: usize = 4 << 20;
/// Most changes in one request.
const MAX_CHANGES: usize = 10_000;
/// Longest operator's name, request id or value, in bytes.
const MAX_TEXT: usize = 256;

/// A change of settings as the tool sends it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Who asks.
    pub operator: String,
    /// Id of this request; a resend gets the first answer.
    pub request: String,
    /// The revision the operator saw.
    pub expected: Option<u64>,
    /// The changes, all or none.
    pub changes: Vec<ChangeRow>,
}

/// One change.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRow {
    /// The level; empty for the root.
    pub path: String,
    /// The key.
    pub key: String,
    /// The value; none to inherit again.
    pub value: Option<String>,
}

/// The settings with their revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SettingsBody {
    /// The revision.
    pub revision: u64,
    /// All overrides.
    pub overrides: Vec<Override>,
}

/// How far a revision is in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InForceBody {
    /// True when every process has it, or lost its lease.
    pub in_force: bool,
    /// Names of the processes awaited.
    pub awaited: Vec<String>,
}

/// A control instance's view of itself and the system.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusBody {
    /// True when this instance leads.
    pub leads: bool,
    /// The leader's number.
    pub leader: Option<u64>,
    /// The term.
    pub term: u64,
    /// Last committed entry.
    pub committed: u64,
    /// Numbers of the voters.
    pub voters: Vec<u64>,
    /// The settings' revision.
    pub revision: u64,
    /// Claims held.
    pub claims: u64,
    /// Live processes.
    pub processes: Vec<ProcessRow>,
}

/// A process in the directory.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProcessRow {
    /// `entry` or `agent`.
    pub role: String,
    /// Its name.
    pub name: String,
    /// Region and data centre.
    pub place: String,
    /// Its address.
    pub address: String,
    /// The service of an agent.
    pub service: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// True when the settings take it out of work.
    pub out: bool,
}

pub(crate) async fn serve(listener: TcpListener, handle: ControlHandle, stop: StopSignal) {
    let service = tower::service_fn(move |request| {
        let handle = handle.clone();
        async move {
            let reply = match route(request, &handle).await {
                Ok(reply) => reply,
                Err(problem) => problem.response(),
            };
            Ok::<_, Infallible>(reply)
        }
    });
    http::serve(listener, service, stop).await;
}

async fn route(
    request: Request<Incoming>,
    handle: &ControlHandle,
) -> Result<HttpResponse, Problem> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/health") => Ok(http::text_response(StatusCode::OK, "ok\n")),
        (&Method::GET, "/metrics") => Ok(http::text_response(
            StatusCode::OK,
            crate::cmd::metrics_text(),
        )),
        (&Method::GET, "/v1/status") => {
            let status = handle
                .view(|control, _| status(control))
                .await
                .map_err(stopping)?;
            Ok(http::json_response(StatusCode::OK, &status))
        }
        (&Method::GET, "/v1/settings") => {
            let body = read(handle, |c, _| settings(c)).await?;
            Ok(http::json_response(StatusCode::OK, &body))
        }
        (&Method::GET, "/v1/effective") => effective(&request, handle).await,
        (&Method::GET, "/v1/in-force") => in_force(&request, handle).await,
        (&Method::GET, "/v1/audit") => {
            let rows: Vec<AuditRow> =
                read(handle, |c, _| c.state_machine().audit().to_vec()).await?;
            Ok(http::json_response(StatusCode::OK, &rows))
        }
        (&Method::POST, "/v1/settings") => {
            let body = http::read_body(request.into_body(), LIMIT).await?;
            change(http::from_json(&body)?, handle).await
        }
        _ => Err(Problem::refused(StatusCode::NOT_FOUND, "not found", path)),
    }
}

fn stopping(_: ActorStopped) -> Problem {
    Problem::refused(
        StatusCode::SERVICE_UNAVAILABLE,
        "stopping",
        "this instance stops",
    )
}

fn no_leader(outcome: RequestOutcome) -> Problem {
    let detail = "this instance does not lead; ask another one";
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "not the leader",
        outcome,
        detail,
    )
}

/// Reads the state as a quorum has it.
async fn read<T: Send + 'static>(
    handle: &ControlHandle,
    read: impl FnOnce(&Control, Millis) -> T + Send + 'static,
) -> Result<T, Problem> {
    let answer = handle.ask(
        ControlInput::Read,
        move |answer, control, now| match answer {
            ControlAnswer::LeaderConfirmed { .. } => Some(read(control, now)),
            _ => None,
        },
    );
    answer
        .await
        .map_err(stopping)?
        .ok_or_else(|| no_leader(RequestOutcome::Refused))
}

fn settings(control: &Control) -> SettingsBody {
    let machine = control.state_machine();
    SettingsBody {
        revision: machine.revision().0,
        overrides: machine.settings().list(),
    }
}

fn status(control: &Control) -> StatusBody {
    let (raft, machine) = (control.raft(), control.state_machine());
    let live = machine.processes().iter().filter(|(_, p)| p.alive);
    let processes = live.map(|(incarnation, p)| {
        let joined = &p.joined;
        let path = match joined.role {
            ProcessRole::Entry => joined.place.clone(),
            ProcessRole::Agent => format!("{}/{}/{}", joined.place, joined.service, joined.name),
        };
        ProcessRow {
            role: format!("{:?}", joined.role).to_lowercase(),
            name: joined.name.clone(),
            place: joined.place.clone(),
            address: joined.address.clone(),
            service: joined.service.clone(),
            incarnation: incarnation.0,
            out: machine.settings().is_evacuated(&path),
        }
    });
    StatusBody {
        leads: raft.is_leader(),
        leader: raft.leader().map(|id| id.0),
        term: raft.term().0,
        committed: raft.committed().0,
        voters: raft.voters().iter().map(|v| v.id.0).collect(),
        revision: machine.revision().0,
        claims: machine.claims() as u64,
        processes: processes.collect(),
    }
}

async fn effective(
    request: &Request<Incoming>,
    handle: &ControlHandle,
) -> Result<HttpResponse, Problem> {
    let path = http::query_value(request, "path")
        .unwrap_or_default()
        .to_owned();
    let key = http::query_value(request, "key")
        .unwrap_or_default()
        .to_owned();
    if key_spec(&key).is_none() {
        let detail = format!("unknown key {key:?}");
        return Err(Problem::refused(StatusCode::BAD_REQUEST, "bad key", detail));
    }
    let found: Option<EffectiveValue> = read(handle, move |c, _| {
        c.state_machine().settings().effective(&path, &key)
    })
    .await?;
    Ok(http::json_response(StatusCode::OK, &found))
}

async fn in_force(
    request: &Request<Incoming>,
    handle: &ControlHandle,
) -> Result<HttpResponse, Problem> {
    let revision = http::query_value(request, "revision").and_then(|r| r.parse().ok());
    let Some(revision) = revision.map(Revision) else {
        let detail = "revision: a whole number";
        return Err(Problem::refused(
            StatusCode::BAD_REQUEST,
            "bad revision",
            detail,
        ));
    };
    let body = read(handle, move |control, now| {
        let awaited = control.lagging_processes(now, revision);
        let processes = control.state_machine().processes();
        let names = awaited.iter().filter_map(|i| processes.get(i));
        let awaited: Vec<String> = names.map(|p| p.joined.name.clone()).collect();
        let accepted = control.state_machine().revision() >= revision;
        InForceBody {
            in_force: accepted && awaited.is_empty(),
            awaited,
        }
    })
    .await?;
    Ok(http::json_response(StatusCode::OK, &body))
}

fn check(body: &ChangeBody) -> Result<(), Problem> {
    let bad = |detail: &str| {
        Err(Problem::refused(
            StatusCode::BAD_REQUEST,
            "bad change",
            detail,
        ))
    };
    if body.operator.is_empty() || body.operator.len() > MAX_TEXT {
        return bad("operator: 1 to 256 bytes");
    }
    if body.request.is_empty() || body.request.len() > MAX_TEXT {
        return bad("request: 1 to 256 bytes");
    }
    if body.changes.is_empty() || body.changes.len() > MAX_CHANGES {
        return bad("changes: 1 to 10000");
    }
    let long = |row: &ChangeRow| row.value.as_ref().is_some_and(|v| v.len() > MAX_TEXT);
    if body.changes.iter().any(long) {
        return bad("value: at most 256 bytes");
    }
    Ok(())
}

async fn change(body: ChangeBody, handle: &ControlHandle) -> Result<HttpResponse, Problem> {
    check(&body)?;
    let operator = body.operator.clone();
    let rows = body.changes.into_iter().map(|row| SettingChange {
        path: row.path,
        key: row.key,
        value: row.value,
    });
    let request = ChangeRequest {
        operator: body.operator,
        request: body.request,
        expected: body.expected.map(Revision),
        changes: rows.collect(),
    };
    let stamped = TimestampedCommand {
        at: unix_now(),
        command: Command::Change(request),
    };
    let answer = handle
        .ask(
            move |token| ControlInput::Propose(token, stamped),
            |answer, _, _| match answer {
                ControlAnswer::Reply(crate::control::command::CommandReply::Change(result)) => {
                    Some(result)
                }
                _ => None,
            },
        )
        .await
        .map_err(stopping)?;
    match answer {
        Some(Ok(Accepted { revision })) => {
            events::CHANGED.log(format_args!("revision={} operator={operator}", revision.0));
            Ok(http::json_response(StatusCode::OK, &Accepted { revision }))
        }
        Some(Err(rejected)) => {
            let problem = rejection(&rejected);
            events::CHANGE_REFUSED.log(format_args!("operator={operator} {}", problem.detail));
            Err(problem)
        }
        // It may have been accepted: the resend, by its id, will tell.
        None => Err(no_leader(RequestOutcome::Failed)),
    }
}

fn rejection(rejected: &Rejected) -> Problem {
    match rejected {
        Rejected::Stale { revision, operator } => {
            let detail = format!("revision {} by {operator} is in force", revision.0);
            Problem::refused(StatusCode::CONFLICT, "another change came first", detail)
        }
        Rejected::Invalid(error) => {
            Problem::refused(StatusCode::BAD_REQUEST, "bad change", error.to_string())
        }
    }
}
