//! An HTTP client of operators and callers. Its connections stay open until the process at the other end is gone.

use std::net::{IpAddr, Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HOST, LOCATION, RETRY_AFTER};
use hyper::{Method, Request, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

/// An operator moves on to another instance after this long without a response to a large body.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of redirects that a call follows.
const MAX_REDIRECTS: usize = 2;
/// Statuses that end a call: the request was not carried out.
const FINAL: [u16; 6] = [400, 409, 412, 413, 422, 507];

/// What an instance answered.
#[derive(Debug)]
pub(crate) enum Answer {
    Accepted(Bytes),
    /// The request was not carried out, and will not be.
    Refused(StatusCode),
    /// The request was not carried out; it may be sent again.
    Unavailable,
    /// The request may have been carried out.
    Unclear(String),
}

/// Request header: how long the caller waits for the response, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// A client.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    pub(crate) fn new() -> Self {
        Self::connecting_from(None)
    }

    /// A client that connects from an address.
    pub(crate) fn at(ip: Ipv4Addr) -> Self {
        Self::connecting_from(Some(IpAddr::V4(ip)))
    }

    fn connecting_from(ip: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(ip);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        let http = builder.pool_idle_timeout(None).build(connector);
        Self { http }
    }

    pub(crate) async fn put(&self, to: SocketAddrV4, document: Bytes) -> Answer {
        self.call(Method::PUT, to, document).await
    }

    pub(crate) async fn get(&self, to: SocketAddrV4) -> Answer {
        self.call(Method::GET, to, Bytes::new()).await
    }

    /// Sends one request, and returns the status and the body of its response.
    pub(crate) async fn send(
        &self,
        method: Method,
        to: SocketAddrV4,
        host: &str,
        path: &str,
        wait: Duration,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header(HOST, host)
            .header(CONTENT_TYPE, "application/json")
            .header(DEADLINE_HEADER, wait.as_millis().to_string())
            .body(Full::new(body))
            .map_err(|error| error.to_string())?;
        let exchange = async {
            let response = self.http.request(request).await;
            let response = response.map_err(|error| format!("{error:?}"))?;
            let status = response.status();
            let whole = response.into_body().collect().await;
            Ok((status, whole.map_err(|e| format!("body: {e}"))?.to_bytes()))
        };
        timeout(wait, exchange)
            .await
            .unwrap_or_else(|_| Err("no response in time".to_owned()))
    }

    async fn call(&self, method: Method, to: SocketAddrV4, body: Bytes) -> Answer {
        match timeout(CALL_TIMEOUT, self.follow(method, to, body)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => Answer::Unclear(error),
            Err(_) => Answer::Unclear("no response in time".to_owned()),
        }
    }

    async fn follow(
        &self,
        method: Method,
        to: SocketAddrV4,
        body: Bytes,
    ) -> Result<Answer, String> {
        let start = format!("http://{to}/config");
        let mut uri: Uri = start.parse().map_err(|e| format!("{start}: {e}"))?;
        for _ in 0..=MAX_REDIRECTS {
            let mut request = Request::new(Full::new(body.clone()));
            *request.method_mut() = method.clone();
            *request.uri_mut() = uri;
            let sent = self.http.request(request).await;
            let response = sent.map_err(|e| format!("{e:?}"))?;
            let status = response.status();
            if status == StatusCode::TEMPORARY_REDIRECT {
                let target = response.headers().get(LOCATION);
                let target = target.and_then(|value| value.to_str().ok());
                uri = target.and_then(|t| t.parse().ok()).ok_or("bad redirect")?;
                continue;
            }
            if response.headers().contains_key(RETRY_AFTER) {
                return Ok(Answer::Unavailable);
            }
            let whole = response.into_body().collect().await;
            let whole = whole.map_err(|e| format!("body: {e}"))?.to_bytes();
            return Ok(match status.as_u16() {
                200 => Answer::Accepted(whole),
                code if FINAL.contains(&code) => Answer::Refused(status),
                code => Answer::Unclear(format!("status {code}")),
            });
        }
        Err("too many redirects".to_owned())
    }
}
