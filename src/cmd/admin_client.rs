//! HTTP client for the administration interface of the control group.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{CmdError, failed};
use crate::control::command::Accepted;
use crate::shell::admin::{ChangeBody, ChangeRow, InForceBody, SettingsBody, StatusBody};

/// Used if neither the option nor the environment variable gives addresses.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7201";
/// Environment variable with the addresses of the control instances, separated by commas.
const ADDRESS_VARIABLE: &str = "FULMARDRIFT_CONTROL";
/// Timeout of one request to one instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How often each instance is tried before a call fails.
const MAX_ROUNDS: u32 = 30;
/// Delay between two rounds over all instances, and between two checks of a revision.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The fields of a problem document (RFC 9457) that are shown to the operator.
#[derive(Debug, Default, Deserialize)]
struct Problem {
    #[serde(default)]
    title: String,
    #[serde(default)]
    detail: String,
}

/// Client that tries the control instances in turn until one can answer the call. Most calls need
/// the leader.
#[derive(Debug, Clone)]
pub(crate) struct AdminClient {
    client: Client<HttpConnector, Full<Bytes>>,
    instances: Vec<String>,
}

/// The operator's name for the audit trail: the option, or else the login name.
pub(crate) fn operator_name(name: Option<String>) -> String {
    name.or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unknown".to_owned())
}

impl AdminClient {
    /// Takes the addresses from the option, or else from the environment variable, or else the
    /// default.
    pub(crate) fn new(control: Option<&str>) -> Self {
        let addresses = control
            .map(str::to_owned)
            .or_else(|| std::env::var(ADDRESS_VARIABLE).ok());
        let list = addresses.unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
        let instances = list.split(',').map(|s| s.trim().to_owned()).collect();
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            instances,
        }
    }

    /// Tries one instance after another until one accepts or refuses the call. An instance that
    /// needs the leader for it answers 503.
    async fn call(&self, method: &Method, path: &str, body: &Bytes) -> Result<Bytes, CmdError> {
        let mut last_error = String::new();
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            for instance in &self.instances {
                match self.send(instance, method, path, body).await {
                    Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => {
                        last_error = format!("{instance} is not the leader");
                    }
                    Ok((status, body)) if status.is_success() => return Ok(body),
                    Ok((status, body)) => return Err(error_from_response(status, &body)),
                    Err(error) => last_error = format!("{instance}: {error}"),
                }
            }
        }
        Err(CmdError::Unreachable {
            message: last_error,
        })
    }

    async fn send(
        &self,
        instance: &str,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<(StatusCode, Bytes), String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{instance}{path}"))
            .body(Full::new(body.clone()))
            .map_err(|e| e.to_string())?;
        let call = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|e| e.to_string())?;
            let status = response.status();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|e| e.to_string())?;
            Ok((status, body.to_bytes()))
        };
        let answer = tokio::time::timeout(CALL_TIMEOUT, call).await;
        answer.unwrap_or_else(|_| Err("no answer within the timeout".to_owned()))
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CmdError> {
        let body = self.call(&Method::GET, path, &Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(failed)
    }

    /// The status by the leader, or by the first instance that answers if none of them leads.
    pub(crate) async fn status(&self) -> Result<StatusBody, CmdError> {
        let mut first = None;
        for instance in &self.instances {
            let answer = self
                .send(instance, &Method::GET, "/v1/status", &Bytes::new())
                .await;
            let Ok((StatusCode::OK, body)) = answer else {
                continue;
            };
            let status: StatusBody = serde_json::from_slice(&body).map_err(failed)?;
            if status.leads {
                return Ok(status);
            }
            first = first.or(Some(status));
        }
        match first {
            Some(status) => Ok(status),
            None => self.get("/v1/status").await,
        }
    }

    pub(crate) async fn settings(&self) -> Result<SettingsBody, CmdError> {
        self.get("/v1/settings").await
    }

    /// Changes settings and returns the new revision. If the call is repeated, it has the same
    /// request id, so the change is applied only once.
    pub(crate) async fn change(
        &self,
        operator: &str,
        expected: Option<u64>,
        changes: Vec<ChangeRow>,
    ) -> Result<u64, CmdError> {
        let body = ChangeBody {
            operator: operator.to_owned(),
            request: format!("{:032x}", rand::rng().random::<u128>()),
            expected,
            changes,
        };
        let body = Bytes::from(serde_json::to_vec(&body).map_err(failed)?);
        let reply = self.call(&Method::POST, "/v1/settings", &body).await?;
        let accepted: Accepted = serde_json::from_slice(&reply).map_err(failed)?;
        Ok(accepted.revision.0)
    }

    /// Returns when a revision is in force in all processes. Until then, calls `awaited` with the
    /// names of the processes that have not confirmed it.
    pub(crate) async fn wait_in_force(
        &self,
        revision: u64,
        mut awaited: impl FnMut(&[String]),
    ) -> Result<(), CmdError> {
        loop {
            let body: InForceBody = self
                .get(&format!("/v1/in-force?revision={revision}"))
                .await?;
            if body.in_force {
                return Ok(());
            }
            awaited(&body.awaited);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

fn error_from_response(status: StatusCode, body: &[u8]) -> CmdError {
    let problem: Problem = serde_json::from_slice(body).unwrap_or_default();
    let message = format!("{}: {}", problem.title, problem.detail);
    if status.is_client_error() {
        CmdError::Refused { message }
    } else {
        CmdError::Failed {
            message: format!("{status} {message}"),
        }
    }
}
