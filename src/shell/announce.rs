//! The agent's HTTP endpoint at which its backend server announces itself, or its departure.

use std::convert::Infallible;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use tokio::net::TcpListener;

use super::agent::{AgentCall, AgentHandle};
use super::http::{self, HttpResponse, Problem};
use super::stop::StopSignal;
use crate::control::settings::is_name;
use crate::core::agent::AgentInput;

/// Largest body of an announcement, in bytes.
const MAX_BODY: usize = 16 << 10;
/// Maximum number of slots of one backend server.
const MAX_SLOTS: u32 = 10_000;

/// What a backend server announces about itself.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Announcement {
    pub(crate) service: String,
    /// IP and port.
    pub(crate) address: String,
    /// Number of tasks that it runs at the same time.
    pub(crate) slots: u32,
    /// Number of connections that it accepts.
    pub(crate) connections: u32,
}

pub(crate) async fn serve(listener: TcpListener, handle: AgentHandle, stop: StopSignal) {
    let service = tower::service_fn(move |request| {
        let handle = handle.clone();
        async move { Ok::<_, Infallible>(handle_request(request, &handle).await) }
    });
    http::serve(listener, service, stop).await;
}

async fn handle_request(request: Request<Incoming>, handle: &AgentHandle) -> HttpResponse {
    let is_known_path = request.uri().path() == "/v1/backend-server";
    let is_announcement = match (is_known_path, request.method()) {
        (true, &Method::PUT) => true,
        (true, &Method::DELETE) => false,
        _ => {
            let detail = "PUT or DELETE /v1/backend-server";
            return Problem::refused(StatusCode::NOT_FOUND, "not found", detail).response();
        }
    };
    if !is_announcement {
        handle.input(AgentInput::Drain).await;
        return http::text_response(StatusCode::OK, "draining\n");
    }
    match read_announcement(request).await {
        Ok(announcement) => {
            handle.call(AgentCall::Announcement(announcement)).await;
            http::text_response(StatusCode::OK, "noted\n")
        }
        Err(problem) => problem.response(),
    }
}

async fn read_announcement(request: Request<Incoming>) -> Result<Announcement, Problem> {
    let body = http::read_body(request.into_body(), MAX_BODY).await?;
    let announcement: Announcement = http::from_json(&body)?;
    let address: Result<std::net::SocketAddr, _> = announcement.address.parse();
    let valid_slots = (1..=MAX_SLOTS).contains(&announcement.slots);
    let detail = if !is_name(&announcement.service) {
        "service: letters, digits, '-', '_' and '.' only, at most 64"
    } else if address.is_err() {
        "address: IP and port"
    } else if !valid_slots || announcement.connections < announcement.slots {
        "slots: 1 to 10000, and at least as many connections"
    } else {
        return Ok(announcement);
    };
    Err(Problem::refused(
        StatusCode::BAD_REQUEST,
        "bad announcement",
        detail,
    ))
}
