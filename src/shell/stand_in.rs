//! A stand-in for a backend server, for tests and the demo. It runs each task for the time that the
//! payload declares, scaled by its speed, and counts duplicate and late starts.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Mutex;

use super::http::{self, HEADER_JOB, HEADER_TASK, HttpResponse, Problem};
use super::stop::{self, StopSender, StopSignal};
use crate::core::table::Table;
use crate::events;

/// Pause between announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Largest payload, in bytes.
const MAX_PAYLOAD: usize = 16 << 20;
/// Longest work of one task, in milliseconds; more is cut to this.
const MAX_WORK_MS: u64 = 60_000;

/// Counts of one stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandInCounts {
    /// Number of tasks and requests started.
    pub starts: u64,
    /// Number of starts here of a task that had started before on any stand-in of the process.
    pub duplicates: u64,
    /// Number of starts after the data centre was evacuated and the lease term had passed.
    pub late: u64,
    /// Largest number of tasks that ran at the same time.
    pub peak: u64,
    /// Work done, in milliseconds at speed 1.
    pub work_ms: u64,
}

/// Number of starts of each task, shared by all stand-ins of one process.
#[derive(Debug, Default)]
pub(crate) struct StartRegistry {
    starts: Mutex<Table<(String, String), u32>>,
}

impl StartRegistry {
    /// Counts a start; returns true when it is not the task's first.
    async fn count_start(&self, job: &str, task: &str) -> bool {
        let mut starts = self.starts.lock().await;
        let count = starts.or_insert_with((job.to_owned(), task.to_owned()), || 0);
        *count += 1;
        *count > 1
    }
}

/// The parameters of a stand-in.
pub(crate) struct StandInSetup {
    pub(crate) listener: TcpListener,
    /// The agent's announce address.
    pub(crate) agent: String,
    pub(crate) service: String,
    pub(crate) slots: u32,
    pub(crate) speed: f64,
    /// When true every task fails.
    pub(crate) broken: bool,
    pub(crate) start_registry: Arc<StartRegistry>,
}

/// A running stand-in.
pub(crate) struct StandInRole {
    pub(crate) server: Arc<StandInServer>,
    stop_sender: StopSender,
}

/// State of a stand-in, shared by its HTTP handlers and its announcements.
pub(crate) struct StandInServer {
    agent: String,
    address: String,
    service: String,
    slots: u32,
    speed: f64,
    broken: bool,
    start_registry: Arc<StartRegistry>,
    // While true every start counts as late.
    closed: AtomicBool,
    starts: AtomicU64,
    duplicates: AtomicU64,
    late: AtomicU64,
    busy: AtomicU64,
    peak: AtomicU64,
    work: AtomicU64,
}

impl StandInRole {
    pub(crate) fn start(setup: StandInSetup) -> std::io::Result<Self> {
        let address = setup.listener.local_addr()?.to_string();
        let server = Arc::new(StandInServer {
            agent: setup.agent,
            address,
            service: setup.service,
            slots: setup.slots,
            speed: setup.speed,
            broken: setup.broken,
            start_registry: setup.start_registry,
            closed: AtomicBool::new(false),
            starts: AtomicU64::new(0),
            duplicates: AtomicU64::new(0),
            late: AtomicU64::new(0),
            busy: AtomicU64::new(0),
            peak: AtomicU64::new(0),
            work: AtomicU64::new(0),
        });
        let (stop_sender, stop) = stop::channel();
        let serving = Arc::clone(&server);
        let service = tower::service_fn(move |request| {
            let server = Arc::clone(&serving);
            async move { Ok::<_, Infallible>(server.handle_request(request).await) }
        });
        tokio::spawn(http::serve(setup.listener, service, stop.clone()));
        tokio::spawn(run_announcements(Arc::clone(&server), stop));
        Ok(Self {
            server,
            stop_sender,
        })
    }

    pub(crate) async fn stop(self) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let _ = client
            .request(self.server.announcement(Method::DELETE))
            .await;
        // Tasks in flight finish first.
        while self.server.busy.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.stop_sender.stop();
        events::STOPPED.log(format_args!("stand-in"));
    }
}

#[derive(Debug, Serialize)]
struct Announcement<'a> {
    service: &'a str,
    address: &'a str,
    slots: u32,
    connections: u32,
}

/// Connections that a stand-in announces for each slot.
const CONNECTIONS_PER_SLOT: u32 = 7;

async fn run_announcements(server: Arc<StandInServer>, stop: StopSignal) {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let stopped = stop.wait();
    tokio::pin!(stopped);
    loop {
        let call = client.request(server.announcement(Method::PUT));
        // A failure is ignored: the agent may not run yet, and the announcement is repeated.
        let _ = tokio::time::timeout(ANNOUNCEMENT_INTERVAL, call).await;
        tokio::select! {
            () = tokio::time::sleep(ANNOUNCEMENT_INTERVAL) => {}
            () = &mut stopped => return,
        }
    }
}

/// The work that a payload declares.
#[derive(Debug, Default, Deserialize)]
struct Work {
    work_ms: Option<u64>,
    #[serde(default)]
    fail: bool,
}

impl StandInServer {
    fn announcement(&self, method: Method) -> Request<http_body_util::Full<Bytes>> {
        let announcement = Announcement {
            service: &self.service,
            address: &self.address,
            slots: self.slots,
            connections: self.slots * CONNECTIONS_PER_SLOT,
        };
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        let mut request = Request::new(http_body_util::Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        let uri = format!("http://{}/v1/backend-server", self.agent);
        *request.uri_mut() = uri.parse().unwrap_or_default();
        request
    }

    /// Sets whether every further start counts as late.
    pub(crate) fn set_closed(&self, closed: bool) {
        self.closed.store(closed, Ordering::Relaxed);
    }

    pub(crate) fn counts(&self) -> StandInCounts {
        StandInCounts {
            starts: self.starts.load(Ordering::Relaxed),
            duplicates: self.duplicates.load(Ordering::Relaxed),
            late: self.late.load(Ordering::Relaxed),
            peak: self.peak.load(Ordering::Relaxed),
            work_ms: self.work.load(Ordering::Relaxed),
        }
    }

    async fn handle_request(&self, request: Request<Incoming>) -> HttpResponse {
        match request.uri().path() {
            "/counts" => http::json_response(StatusCode::OK, &self.counts()),
            "/closed" => {
                self.set_closed(request.method() == Method::PUT);
                http::text_response(StatusCode::OK, "noted\n")
            }
            "/tasks" if request.method() == Method::POST => self.run_task(request).await,
            _ => self.echo_request(request).await,
        }
    }

    fn count_start(&self) {
        self.starts.fetch_add(1, Ordering::Relaxed);
        if self.closed.load(Ordering::Relaxed) {
            self.late.fetch_add(1, Ordering::Relaxed);
        }
        let busy = self.busy.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak.fetch_max(busy, Ordering::Relaxed);
    }

    async fn run_task(&self, request: Request<Incoming>) -> HttpResponse {
        let start = Instant::now();
        let job = http::header(&request, HEADER_JOB)
            .unwrap_or_default()
            .to_owned();
        let task = http::header(&request, HEADER_TASK)
            .unwrap_or_default()
            .to_owned();
        self.count_start();
        if self.start_registry.count_start(&job, &task).await {
            self.duplicates.fetch_add(1, Ordering::Relaxed);
            log::warn!("second start of {job} task {task}");
        }
        let reply = self.do_work(request, start).await;
        self.busy.fetch_sub(1, Ordering::Relaxed);
        let mut reply = reply.unwrap_or_else(|problem| problem.response());
        for (name, value) in [(HEADER_JOB, &job), (HEADER_TASK, &task)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                reply.headers_mut().insert(name, value);
            }
        }
        reply
    }

    async fn do_work(
        &self,
        request: Request<Incoming>,
        start: Instant,
    ) -> Result<HttpResponse, Problem> {
        let body = http::read_body(request.into_body(), MAX_PAYLOAD).await?;
        let work: Work = serde_json::from_slice(&body).unwrap_or_default();
        let ms = work.work_ms.unwrap_or(0).min(MAX_WORK_MS);
        if work.fail || self.broken {
            let code = StatusCode::INTERNAL_SERVER_ERROR;
            return Err(Problem::refused(code, "failed", "this stand-in fails"));
        }
        let run = Duration::from_millis(ms).div_f64(self.speed);
        tokio::time::sleep_until((start + run).into()).await;
        self.work.fetch_add(ms, Ordering::Relaxed);
        // The result is the payload, so that an answer given to the wrong task is noticed.
        Ok(http::bytes_response(
            StatusCode::OK,
            "application/octet-stream",
            body,
        ))
    }

    /// Streams a request's body back as the response.
    async fn echo_request(&self, request: Request<Incoming>) -> HttpResponse {
        self.count_start();
        let work = http::query_value(&request, "work_ms")
            .and_then(|ms| ms.parse().ok())
            .unwrap_or(0);
        let run = Duration::from_millis(work).div_f64(self.speed);
        tokio::time::sleep(run).await;
        self.busy.fetch_sub(1, Ordering::Relaxed);
        hyper::Response::new(request.into_body().map_err(http::BoxError::from).boxed())
    }
}
