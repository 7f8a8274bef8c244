//! The backend servers' HTTP: calls of their agents, and heartbeats to them.

use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use snafu::Snafu;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::client::Caller;
use crate::document::SERVICE;
use crate::fleet::backend::{CPU, Life, Reply};
use crate::fleet::judge::Judge;
use crate::layout::{Class, Host, Layout};

/// Interval between heartbeats, and pause after one that was not acknowledged.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HEARTBEAT_RETRY: Duration = Duration::from_millis(150);
/// A heartbeat must be acknowledged within this time.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait of a hold call.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// One in so many answers is lost.
const LOST: u32 = 300;
/// Pause between two looks for runs that have ended.
const TICK: Duration = Duration::from_millis(5);
const BIND_RETRY: Duration = Duration::from_millis(20);
/// Header with the id of the backend server that a call is for.
const EXPECT_HEADER: &str = "x-expect-instance";

/// How a backend server behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    Up,
    /// The process is killed.
    Down,
    /// Calls wait, and are carried out late; no heartbeats. The runs go on.
    Frozen,
    /// Calls are carried out and not answered.
    Mute,
    /// No connection is accepted; the runs go on.
    Refusing,
}

#[derive(Debug, Snafu)]
#[snafu(display("the answer is lost"))]
struct Lost;

/// A backend server.
#[derive(Debug)]
pub(crate) struct Server {
    host: Host,
    listen: SocketAddrV4,
    known: SocketAddrV4,
    agent: SocketAddrV4,
    caller: Caller,
    judge: Arc<Judge>,
    life: Mutex<Life>,
    /// Draws lost answers.
    rng: Mutex<Pcg64>,
    mode: watch::Sender<Mode>,
    ended: Notify,
}

/// Ends runs at all backend servers, and wakes the hold calls that wait for them.
pub(crate) async fn tick(servers: Vec<Arc<Server>>) {
    loop {
        sleep(TICK).await;
        for server in &servers {
            if server.settle() {
                server.ended.notify_waiters();
            }
        }
    }
}

impl Server {
    pub(crate) fn new(layout: &Layout, number: u8, seed: u64, judge: Arc<Judge>) -> Arc<Self> {
        let host = Host::new(Class::Backend, number);
        Arc::new(Self {
            host,
            listen: layout.backend_bind(number),
            known: layout.backend(number),
            agent: layout.control(Host::new(Class::Agent, number)),
            caller: Caller::at(layout.bind_ip(host)),
            judge,
            life: Mutex::new(Life::new(number, 1)),
            rng: Mutex::new(Pcg64::seed_from_u64(
                seed ^ u64::from(number).rotate_left(32),
            )),
            mode: watch::Sender::new(Mode::Up),
            ended: Notify::new(),
        })
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set(&self, mode: Mode) {
        let mut life = self.life();
        let was = *self.mode.borrow();
        if mode == Mode::Down {
            life.kill(&self.judge);
        } else if was == Mode::Down {
            *life = Life::new(self.host.number, life.number + 1);
        }
        drop(life);
        self.mode.send_replace(mode);
    }

    /// Serves until its tasks are aborted.
    pub(crate) fn spawn(self: &Arc<Self>, tasks: &mut JoinSet<()>) {
        tasks.spawn(Arc::clone(self).listen());
        tasks.spawn(Arc::clone(self).announce());
    }

    /// Ends the runs whose time has come; true if there are ends to list.
    pub(crate) fn settle(&self) -> bool {
        let mut life = self.life();
        life.settle(Instant::now(), &self.judge);
        life.has_ends()
    }

    async fn listen(self: Arc<Self>) {
        let mut mode = self.mode.subscribe();
        let accepts = |mode: &Mode| !matches!(mode, Mode::Down | Mode::Refusing);
        loop {
            // The sender lives as long as this task.
            let _ = mode.wait_for(accepts).await;
            let Ok(listener) = TcpListener::bind(self.listen).await else {
                sleep(BIND_RETRY).await;
                continue;
            };
            let mut connections = JoinSet::new();
            while accepts(&mode.borrow_and_update()) {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        connections.spawn(Arc::clone(&self).serve(stream));
                    },
                    Some(_) = connections.join_next() => {}
                    _ = mode.changed() => {}
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let service = service_fn(move |request| Arc::clone(&self).handle(request));
        // A connection that breaks is the agent's to notice.
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Lost> {
        let life = self.life().number;
        let path = request.uri().path().to_owned();
        let expected = request.headers().get(EXPECT_HEADER).cloned();
        let body = request.into_body().collect().await;
        let body = body.map_err(|_| Lost)?.to_bytes();
        if expected.is_some_and(|id| id != self.life().id()) {
            return Ok(respond((421, Value::Null)));
        }
        // The call is carried out even if the caller closes the connection meanwhile.
        let carried = tokio::spawn(Arc::clone(&self).carry_out(life, path, body));
        let reply = carried.await.map_err(|_| Lost)?;
        if *self.mode.borrow() == Mode::Mute || self.loses_answer() {
            sleep(MAX_WAIT).await;
            return Err(Lost);
        }
        Ok(respond(reply))
    }

    fn loses_answer(&self) -> bool {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(0..LOST) == 0
    }

    async fn carry_out(self: Arc<Self>, number: u32, path: String, body: Bytes) -> Reply {
        // The sender lives as long as this task.
        let _ = self.mode.subscribe().wait_for(|m| *m != Mode::Frozen).await;
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let ended = self.ended.notified();
        let reply = {
            let mut life = self.life();
            if life.number != number || *self.mode.borrow() == Mode::Down {
                return (421, Value::Null);
            }
            let reply = life.carry_out(&path, &body, &self.judge);
            if path != "/hold" || reply.0 != 200 || life.has_ends() {
                return reply;
            }
            reply
        };
        let wait = body["wait_ms"].as_u64().map(Duration::from_millis);
        let Some(wait) = wait else {
            return reply;
        };
        // The answer is the same after the wait, whether it was cut short or not.
        let _ = timeout(wait.min(MAX_WAIT), ended).await;
        let life = self.life();
        if life.number == number {
            life.lists()
        } else {
            (421, Value::Null)
        }
    }

    async fn announce(self: Arc<Self>) {
        // Spreads the heartbeats over the interval.
        sleep(HEARTBEAT * u32::from(self.host.number % 16) / 16).await;
        loop {
            let mode = *self.mode.borrow();
            let silent = matches!(mode, Mode::Down | Mode::Frozen);
            let acknowledged = !silent && self.heartbeat().await;
            sleep(if acknowledged {
                HEARTBEAT
            } else {
                HEARTBEAT_RETRY
            })
            .await;
        }
    }

    async fn heartbeat(&self) -> bool {
        let (path, body) = {
            let mut life = self.life();
            life.sequence += 1;
            let body = json!({
                "service": SERVICE, "address": self.known.to_string(), "zone": self.host.zone(),
                "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "capacity": {"cpu": CPU, "mem_mb": 262_144, "gpu": 0},
                "labels": self.host.labels(), "clock_ms": life.clock_ms(),
                "sequence": life.sequence, "born": life.born_ms,
            });
            (format!("/instances/{}", life.id()), body.to_string())
        };
        let host = self.agent.to_string();
        let sent = self.caller.send(
            Method::PUT,
            self.agent,
            &host,
            &path,
            HEARTBEAT_TIMEOUT,
            Bytes::from(body),
        );
        matches!(sent.await, Ok((StatusCode::OK, _)))
    }
}

fn respond((status, body): Reply) -> Response<Full<Bytes>> {
    let body = if body.is_null() {
        Bytes::new()
    } else {
        Bytes::from(body.to_string())
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}
