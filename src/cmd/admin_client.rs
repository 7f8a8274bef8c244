//! The tool's side of the administration interface.

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
use crate::shell::admin::{ChangeBody, ChangeRow, InForceBody, SettingsBody};

/// Where control is when nobody says so.
const DEFAULT: &str = "127.0.0.1:7201";
/// Names the instances in the environment.
const VARIABLE: &str = "FULMARDRIFT_CONTROL";
/// Time one call may take.
const CALL: Duration = Duration::from_secs(3);
/// Rounds over all instances before giving up.
const ROUNDS: u32 = 30;
/// Pause between rounds.
const PAUSE: Duration = Duration::from_millis(200);

/// A problem document, as far as the tool shows it.
#[derive(Debug, Default, Deserialize)]
struct Problem {
    #[serde(default)]
    title: String,
    #[serde(default)]
    detail: String,
}

/// Calls to the administration interface of whichever instance leads.
#[derive(Debug, Clone)]
pub(crate) struct AdminClient {
    client: Client<HttpConnector, Full<Bytes>>,
    instances: Vec<String>,
}

/// Who asks: the login name, unless said otherwise.
pub(crate) fn operator(given: Option<String>) -> String {
    given
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unknown".to_owned())
}

impl AdminClient {
    /// Instances from the option, else the environment, else the default.
    pub(crate) fn new(control: Option<&str>) -> Self {
        let named = control
            .map(str::to_owned)
            .or_else(|| std::env::var(VARIABLE).ok());
        let list = named.unwrap_or_else(|| DEFAULT.to_owned());
        let instances = list.split(',').map(|s| s.trim().to_owned()).collect();
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            instances,
        }
    }

    async fn call(&self, method: &Method, path: &str, body: &Bytes) -> Result<Bytes, CmdError> {
        let mut last = String::new();
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(PAUSE).await;
            }
            for instance in &self.instances {
                match self.once(instance, method, path, body).await {
                    Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => {
                        last = format!("{instance} does not lead");
                    }
                    Ok((status, body)) if status.is_success() => return Ok(body),
                    Ok((status, body)) => return Err(refusal(status, &body)),
                    Err(error) => last = format!("{instance}: {error}"),
                }
            }
        }
        Err(CmdError::Unreachable { message: last })
    }

    async fn once(
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
        let answer = tokio::time::timeout(CALL, call).await;
        answer.unwrap_or_else(|_| Err("no answer in time".to_owned()))
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CmdError> {
        let body = self.call(&Method::GET, path, &Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(failed)
    }

    pub(crate) async fn settings(&self) -> Result<SettingsBody, CmdError> {
        self.get("/v1/settings").await
    }

    /// Changes settings; resent, if need be, under one id, it happens once.
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

    /// Returns once a revision is in force everywhere; tells who is awaited.
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
            tokio::time::sleep(PAUSE).await;
        }
    }
}

fn refusal(status: StatusCode, body: &[u8]) -> CmdError {
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
