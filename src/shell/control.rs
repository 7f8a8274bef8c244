//! A control instance as a process: its actor, its log writer, its servers.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::RngExt;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::clock::{Clock, unix_now};
use super::peers::Peers;
use super::stop::{self, StopSender, StopSignal};
use super::{admin, control_rpc};
use crate::control::log::{DiskId, ReplicaId};
use crate::control::raft::{Raft, RaftInput, RaftOutput, RaftTiming};
use crate::control::server::{
    Control, ControlAnswer, ControlError, ControlInput, ControlOutput, RequestId,
};
use crate::core::clock::Millis;
use crate::core::table::Table;
use crate::events;
use crate::store::log_directory::LogDirectory;
use crate::store::wal::{Wal, WalError};
use crate::store::writer::{Batch, start_writer};

/// How often an instance looks at the time.
const TICK: Duration = Duration::from_millis(20);
/// Calls waiting for the actor.
const CALLS: usize = 4_096;
/// Times of the replicated log.
const TIMING: RaftTiming = RaftTiming {
    election: Millis(600),
    heartbeat: Millis(100),
    margin: Millis(60),
};

/// Why a control instance cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The data folder cannot be used.
    #[snafu(display("data folder: {source}"))]
    Folder {
        /// What the system said.
        source: io::Error,
    },
    /// The log cannot be used.
    #[snafu(display("{source}"))]
    Log {
        /// What is wrong.
        source: WalError,
    },
    /// The state in the log cannot be used.
    #[snafu(display("{source}"))]
    State {
        /// What is wrong.
        source: ControlError,
    },
}

type StateReader = Box<dyn FnOnce(&Control, Millis) + Send>;
type Responder = Box<dyn FnOnce(ControlAnswer, &Control, Millis) + Send>;

/// What reaches the actor.
pub(crate) enum ControlCall {
    Input(ControlInput),
    Ask(Box<dyn FnOnce(RequestId) -> ControlInput + Send>, Responder),
    View(StateReader),
}

/// A way to the actor.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    tx: mpsc::Sender<ControlCall>,
}

/// The actor is gone.
#[derive(Debug)]
pub(crate) struct ActorStopped;

impl ControlHandle {
    pub(crate) async fn input(&self, input: ControlInput) {
        // A closed channel means that the instance stops.
        let _ = self.tx.send(ControlCall::Input(input)).await;
    }

    /// Puts a call to the instance, and builds the answer beside its state.
    pub(crate) async fn ask<T: Send + 'static>(
        &self,
        make: impl FnOnce(RequestId) -> ControlInput + Send + 'static,
        respond: impl FnOnce(ControlAnswer, &Control, Millis) -> T + Send + 'static,
    ) -> Result<T, ActorStopped> {
        let (tx, rx) = oneshot::channel();
        let responder: Responder = Box::new(move |answer, control, now| {
            // The caller may have gone.
            let _ = tx.send(respond(answer, control, now));
        });
        self.tx
            .send(ControlCall::Ask(Box::new(make), responder))
            .await
            .map_err(|_| ActorStopped)?;
        rx.await.map_err(|_| ActorStopped)
    }

    /// Reads what this instance has, which may be old.
    pub(crate) async fn view<T: Send + 'static>(
        &self,
        read: impl FnOnce(&Control, Millis) -> T + Send + 'static,
    ) -> Result<T, ActorStopped> {
        let (tx, rx) = oneshot::channel();
        let call = ControlCall::View(Box::new(move |control, now| {
            let _ = tx.send(read(control, now));
        }));
        self.tx.send(call).await.map_err(|_| ActorStopped)?;
        rx.await.map_err(|_| ActorStopped)
    }
}

/// Everything a control instance needs to start.
pub(crate) struct ControlSetup {
    pub(crate) id: u64,
    /// All instances, this one included, with their addresses.
    pub(crate) group: Vec<(u64, String)>,
    pub(crate) data: std::path::PathBuf,
    pub(crate) peers: TcpListener,
    pub(crate) admin: TcpListener,
}

/// A running control instance.
pub(crate) struct ControlRole {
    handle: ControlHandle,
    stop_sender: StopSender,
}

impl ControlRole {
    pub(crate) fn start(setup: ControlSetup) -> Result<Self, StartError> {
        let fresh = DiskId(rand::rng().random_range(1..u64::MAX));
        let folder = LogDirectory::open(&setup.data).context(FolderSnafu)?;
        let (wal, durable) = Wal::open(folder, fresh).context(LogSnafu)?;
        let clock = Clock::new();
        let own = ReplicaId(setup.id);
        let others: Vec<(u64, String)> = setup
            .group
            .iter()
            .filter(|(id, _)| *id != setup.id)
            .cloned()
            .collect();
        let peers: Vec<ReplicaId> = others.iter().map(|(id, _)| ReplicaId(*id)).collect();
        let raft = Raft::new(own, peers, TIMING, durable, clock.now(), setup.id);
        let control = Control::new(raft).context(StateSnafu)?;

        let (tx, rx) = mpsc::channel(CALLS);
        let handle = ControlHandle { tx };
        let (stop_sender, stop) = stop::channel();
        let synced = handle.clone();
        let writer = start_writer(wal, move |input| {
            let call = ControlCall::Input(ControlInput::Raft(input));
            synced.tx.blocking_send(call).is_ok()
        });
        let last_heard = Arc::new(LastHeard::new(&others));
        let actor = Actor {
            control,
            clock,
            writer,
            peers: Peers::start(&others, &last_heard, clock),
            responders: Table::default(),
            last: RequestId(0),
            led: false,
        };
        tokio::spawn(actor.run(rx, stop.clone()));
        tokio::spawn(control_rpc::serve(
            setup.peers,
            handle.clone(),
            last_heard,
            clock,
            stop.clone(),
        ));
        tokio::spawn(admin::serve(setup.admin, handle.clone(), stop));
        events::STARTED.log(format_args!("control id={}", setup.id));
        Ok(Self {
            handle,
            stop_sender,
        })
    }

    /// Hands leadership over, lets what is under way finish, and stops.
    pub(crate) async fn stop(self) {
        events::STOPPING.log(format_args!("control"));
        self.handle.input(ControlInput::Raft(RaftInput::Stop)).await;
        for _ in 0..100 {
            let idle = |c: &Control, _| c.is_idle() && !c.raft().is_leader();
            match self.handle.view(idle).await {
                Ok(false) => tokio::time::sleep(TICK).await,
                Ok(true) | Err(ActorStopped) => break,
            }
        }
        self.stop_sender.stop();
        events::STOPPED.log(format_args!("control"));
    }
}

/// When each peer was last heard, in milliseconds of the process's clock.
pub(crate) struct LastHeard {
    rows: Vec<(u64, AtomicU64)>,
}

impl LastHeard {
    fn new(peers: &[(u64, String)]) -> Self {
        Self {
            rows: peers
                .iter()
                .map(|(id, _)| (*id, AtomicU64::new(0)))
                .collect(),
        }
    }

    fn row(&self, id: u64) -> Option<&AtomicU64> {
        self.rows.iter().find(|(i, _)| *i == id).map(|(_, at)| at)
    }

    pub(crate) fn record(&self, id: u64, now: Millis) {
        if let Some(at) = self.row(id) {
            at.store(now.0, Ordering::Relaxed);
        }
    }

    pub(crate) fn get(&self, id: u64) -> Millis {
        Millis(self.row(id).map_or(0, |at| at.load(Ordering::Relaxed)))
    }
}

struct Actor {
    control: Control,
    clock: Clock,
    writer: std::sync::mpsc::Sender<Batch>,
    peers: Peers,
    responders: Table<RequestId, Responder>,
    last: RequestId,
    led: bool,
}

impl Actor {
    async fn run(mut self, mut rx: mpsc::Receiver<ControlCall>, stop: StopSignal) {
        let mut ticker = tokio::time::interval(TICK);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let stopped = stop.wait();
        tokio::pin!(stopped);
        loop {
            let call = tokio::select! { call = rx . recv ( ) => call , _ = ticker . tick ( ) => Some ( ControlCall :: Input ( ControlInput :: Tick ( unix_now ( ) ) ) ) , ( ) = & mut stopped => None , };
            let Some(call) = call else {
                return;
            };
            if let Err(error) = self.take(call) {
                events::CONTROL_FAILED.log(format_args!("{error}"));
                return;
            }
        }
    }

    fn take(&mut self, call: ControlCall) -> Result<(), ControlError> {
        let now = self.clock.now();
        let input = match call {
            ControlCall::View(read) => {
                read(&self.control, now);
                return Ok(());
            }
            ControlCall::Input(input) => input,
            ControlCall::Ask(make, responder) => {
                self.last = RequestId(self.last.0 + 1);
                self.responders.insert(self.last, responder);
                make(self.last)
            }
        };
        let mut out = Vec::new();
        self.control.step(now, input, &mut out)?;
        for output in out {
            self.put(now, output);
        }
        let leads = self.control.raft().is_leader();
        if leads != self.led {
            self.led = leads;
            let term = self.control.raft().term().0;
            events::LEADER.log(format_args!("leads={leads} term={term}"));
        }
        Ok(())
    }

    fn put(&mut self, now: Millis, output: ControlOutput) {
        match output {
            ControlOutput::Raft(RaftOutput::Write(number, records)) => {
                // A writer that is gone never reports the write as synced.
                let _ = self.writer.send(Batch { number, records });
            }
            ControlOutput::Raft(RaftOutput::Send(message)) => self.peers.send(message),
            // Taken by the instance itself.
            ControlOutput::Raft(RaftOutput::Commit(_) | RaftOutput::Restore(_)) => {}
            ControlOutput::Answer(token, answer) => {
                if let Some(respond) = self.responders.remove(&token) {
                    respond(answer, &self.control, now);
                }
            }
        }
    }
}
