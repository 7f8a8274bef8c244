//! The administration API of a control instance: HTTP with JSON, used by the `fulmardrift` tool.

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
use crate::control::follower::Follower;
use crate::control::log::Index;
use crate::control::server::{Control, ControlAnswer, ControlInput};
use crate::control::settings::{EffectiveValue, Override, key_spec};
use crate::control::state_machine::AuditRow;
use crate::core::clock::Millis;
use crate::core::ids::Revision;
use crate::events;

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 << 20;
/// Maximum number of changes in one request.
const MAX_CHANGES: usize = 10_000;
/// Longest operator name, request id or value, in bytes.
const MAX_TEXT: usize = 256;
/// A replica that has not answered for longer is not shown as caught up.
const ANSWERED_WITHIN: Millis = Millis(2_000);

/// The body of a request to change settings.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Name of the operator who asks for the change.
    pub operator: String,
    /// Id of this request; a request that is sent again gets the first answer.
    pub request: String,
    /// The revision that the operator saw; the change is refused when it is no longer current.
    pub expected: Option<u64>,
    /// The changes, which are applied together or not at all.
    pub changes: Vec<ChangeRow>,
}

/// The change of one setting.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRow {
    /// Path of the level at which the setting is overridden; empty for the root.
    pub path: String,
    /// Key of the setting.
    pub key: String,
    /// The new value, or `None` to remove the override so that the setting is inherited.
    pub value: Option<String>,
}

/// All overrides of settings at one revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SettingsBody {
    /// Revision of the settings.
    pub revision: u64,
    /// All overrides.
    pub overrides: Vec<Override>,
}

/// Whether a revision of the settings is in force everywhere.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InForceBody {
    /// True when every process has applied the revision or has lost its lease.
    pub in_force: bool,
    /// Names of the processes that hold a lease and have not applied the revision.
    pub awaited: Vec<String>,
}

/// The status of the system as one control instance sees it, which may be out of date.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusBody {
    /// True when this instance is the leader.
    pub leads: bool,
    /// Id of the leader, if this instance knows one.
    pub leader: Option<u64>,
    /// The current term.
    pub term: u64,
    /// Index of the last committed log entry.
    pub committed: u64,
    /// Ids of the voters.
    pub voters: Vec<u64>,
    /// The other voters and the replicas that are about to join; empty unless this instance leads.
    #[serde(default)]
    pub followers: Vec<FollowerRow>,
    /// Revision of the settings.
    pub revision: u64,
    /// Number of claims in the state.
    pub claims: u64,
    /// Live processes.
    pub processes: Vec<ProcessRow>,
}

/// A replica as its leader knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FollowerRow {
    /// Id of the replica.
    pub id: u64,
    /// Identity of its disk in hexadecimal, if known.
    pub disk: Option<String>,
    /// True when it votes with this disk.
    pub voter: bool,
    /// Index of the last log entry that it has stored.
    pub acked: u64,
    /// Number of log entries that it lacks.
    pub missing: u64,
    /// Size of what it lacks, in bytes.
    pub missing_bytes: u64,
    /// Time since its last answer, in milliseconds; none if it has not answered this leader.
    pub answered_ms: Option<u64>,
    /// True when it has answered lately and has stored all committed entries.
    pub caught_up: bool,
}

/// A process in the directory.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProcessRow {
    /// `entry` or `agent`.
    pub role: String,
    /// Name of the process.
    pub name: String,
    /// Region and data centre, as `region/data_centre`.
    pub place: String,
    /// Address at which other processes call it.
    pub address: String,
    /// The service of an agent; empty for an entry.
    pub service: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// True when the settings evacuate the process or a level above it, such as its data centre.
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
            let status = handle.view(status_body).await.map_err(stopping_problem)?;
            Ok(http::json_response(StatusCode::OK, &status))
        }
        (&Method::GET, "/v1/settings") => {
            let body = read_consistent(handle, |c, _| settings_body(c)).await?;
            Ok(http::json_response(StatusCode::OK, &body))
        }
        (&Method::GET, "/v1/effective") => effective(&request, handle).await,
        (&Method::GET, "/v1/in-force") => in_force(&request, handle).await,
        (&Method::GET, "/v1/audit") => {
            let rows: Vec<AuditRow> =
                read_consistent(handle, |c, _| c.state_machine().audit().to_vec()).await?;
            Ok(http::json_response(StatusCode::OK, &rows))
        }
        (&Method::POST, "/v1/settings") => {
            let body = http::read_body(request.into_body(), MAX_BODY).await?;
            apply_change(http::from_json(&body)?, handle).await
        }
        _ => Err(Problem::refused(StatusCode::NOT_FOUND, "not found", path)),
    }
}

fn stopping_problem(_: ActorStopped) -> Problem {
    Problem::refused(
        StatusCode::SERVICE_UNAVAILABLE,
        "stopping",
        "this instance stops",
    )
}

fn not_leader_problem(outcome: RequestOutcome) -> Problem {
    let detail = "this instance does not lead; ask another one";
    Problem::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "not the leader",
        outcome,
        detail,
    )
}

/// Reads the state after a quorum has confirmed that this instance still leads.
async fn read_consistent<T: Send + 'static>(
    handle: &ControlHandle,
    respond: impl FnOnce(&Control, Millis) -> T + Send + 'static,
) -> Result<T, Problem> {
    let answer = handle.ask(
        ControlInput::Read,
        move |answer, control, now| match answer {
            ControlAnswer::LeaderConfirmed { .. } => Some(respond(control, now)),
            _ => None,
        },
    );
    answer
        .await
        .map_err(stopping_problem)?
        .ok_or_else(|| not_leader_problem(RequestOutcome::Refused))
}

fn settings_body(control: &Control) -> SettingsBody {
    let state = control.state_machine();
    SettingsBody {
        revision: state.revision().0,
        overrides: state.settings().list(),
    }
}

fn follower_row(follower: &Follower, committed: Index, now: Millis) -> FollowerRow {
    let answered = follower.answered_at.map(|at| now.since(at));
    let answers = answered.is_some_and(|ago| ago <= ANSWERED_WITHIN);
    FollowerRow {
        id: follower.id.0,
        disk: follower.disk.map(|disk| format!("{:x}", disk.0)),
        voter: follower.is_voter,
        acked: follower.acked.0,
        missing: follower.missing,
        missing_bytes: follower.missing_bytes as u64,
        answered_ms: answered.map(|ago| ago.0),
        caught_up: answers && follower.acked >= committed,
    }
}

fn status_body(control: &Control, now: Millis) -> StatusBody {
    let (raft, state) = (control.raft(), control.state_machine());
    let live = state.processes().iter().filter(|(_, p)| p.alive);
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
            out: state.settings().is_evacuated(&path),
        }
    });
    StatusBody {
        leads: raft.is_leader(),
        leader: raft.leader().map(|id| id.0),
        term: raft.term().0,
        committed: raft.committed().0,
        voters: raft.voters().iter().map(|v| v.id.0).collect(),
        followers: raft
            .followers(now)
            .iter()
            .map(|follower| follower_row(follower, raft.committed(), now))
            .collect(),
        revision: state.revision().0,
        claims: state.claims() as u64,
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
    let found: Option<EffectiveValue> = read_consistent(handle, move |c, _| {
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
    let body = read_consistent(handle, move |control, now| {
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

fn validate(body: &ChangeBody) -> Result<(), Problem> {
    let bad_change = |detail: &str| {
        Err(Problem::refused(
            StatusCode::BAD_REQUEST,
            "bad change",
            detail,
        ))
    };
    if body.operator.is_empty() || body.operator.len() > MAX_TEXT {
        return bad_change("operator: 1 to 256 bytes");
    }
    if body.request.is_empty() || body.request.len() > MAX_TEXT {
        return bad_change("request: 1 to 256 bytes");
    }
    if body.changes.is_empty() || body.changes.len() > MAX_CHANGES {
        return bad_change("changes: 1 to 10000");
    }
    let is_too_long = |row: &ChangeRow| row.value.as_ref().is_some_and(|v| v.len() > MAX_TEXT);
    if body.changes.iter().any(is_too_long) {
        return bad_change("value: at most 256 bytes");
    }
    Ok(())
}

async fn apply_change(body: ChangeBody, handle: &ControlHandle) -> Result<HttpResponse, Problem> {
    validate(&body)?;
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
            move |request_id| ControlInput::Propose(request_id, stamped),
            |answer, _, _| match answer {
                ControlAnswer::Reply(crate::control::command::CommandReply::Change(result)) => {
                    Some(result)
                }
                _ => None,
            },
        )
        .await
        .map_err(stopping_problem)?;
    match answer {
        Some(Ok(Accepted { revision })) => {
            events::CHANGED.log(format_args!("revision={} operator={operator}", revision.0));
            Ok(http::json_response(StatusCode::OK, &Accepted { revision }))
        }
        Some(Err(rejected)) => {
            let problem = rejection_problem(&rejected);
            events::CHANGE_REFUSED.log(format_args!("operator={operator} {}", problem.detail));
            Err(problem)
        }
        // The change may have been accepted. Sending it again with the same request id returns its
        // result.
        None => Err(not_leader_problem(RequestOutcome::Failed)),
    }
}

fn rejection_problem(rejected: &Rejected) -> Problem {
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
