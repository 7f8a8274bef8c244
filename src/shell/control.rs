//! The control role: the actor that runs [`Control`], its log writer, and its servers.

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
use crate::control::follower_watch::FollowerWatch;
use crate::control::leader_watch::LeaderWatch;
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

/// Interval at which the actor passes a tick to the instance.
const TICK: Duration = Duration::from_millis(20);
/// Capacity of the actor's channel, in calls.
const CALL_QUEUE: usize = 4_096;
/// Timing of the replicated log.
const RAFT_TIMING: RaftTiming = RaftTiming {
    election: Millis(600),
    heartbeat: Millis(100),
    margin: Millis(60),
};

/// Why a control instance cannot start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The data directory cannot be opened.
    #[snafu(display("data folder: {source}"))]
    Folder {
        /// The system's error.
        source: io::Error,
    },
    /// The log cannot be opened or read.
    #[snafu(display("{source}"))]
    Log {
        /// The error of the log.
        source: WalError,
    },
    /// The state cannot be restored from the log.
    #[snafu(display("{source}"))]
    State {
        /// The error of the restored state.
        source: ControlError,
    },
}

type StateReader = Box<dyn FnOnce(&Control, Millis) + Send>;
type Responder = Box<dyn FnOnce(ControlAnswer, &Control, Millis) + Send>;

/// A message to the instance's actor.
pub(crate) enum ControlCall {
    Input(ControlInput),
    /// An input that gets an answer; it is built from the request id that the actor assigns.
    Ask(Box<dyn FnOnce(RequestId) -> ControlInput + Send>, Responder),
    /// Reads the local state, which may be out of date.
    View(StateReader),
}

/// A handle that sends calls to the instance's actor.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    tx: mpsc::Sender<ControlCall>,
}

/// The actor has stopped and answers no more calls.
#[derive(Debug)]
pub(crate) struct ActorStopped;

impl ControlHandle {
    pub(crate) async fn input(&self, input: ControlInput) {
        // A closed channel means that the instance has stopped.
        let _ = self.tx.send(ControlCall::Input(input)).await;
    }

    /// Passes an input to the instance and waits for its answer, which `respond` turns into a reply
    /// with access to the state at that moment.
    pub(crate) async fn ask<T: Send + 'static>(
        &self,
        make_input: impl FnOnce(RequestId) -> ControlInput + Send + 'static,
        respond: impl FnOnce(ControlAnswer, &Control, Millis) -> T + Send + 'static,
    ) -> Result<T, ActorStopped> {
        let (tx, rx) = oneshot::channel();
        let responder: Responder = Box::new(move |answer, control, now| {
            // The caller may no longer wait.
            let _ = tx.send(respond(answer, control, now));
        });
        self.tx
            .send(ControlCall::Ask(Box::new(make_input), responder))
            .await
            .map_err(|_| ActorStopped)?;
        rx.await.map_err(|_| ActorStopped)
    }

    /// Reads the state of this instance, which may be out of date.
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

/// The parameters of a control instance.
pub(crate) struct ControlSetup {
    pub(crate) id: u64,
    /// Ids and addresses of all instances, including this one.
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
        let new_disk = DiskId(rand::rng().random_range(1..u64::MAX));
        let directory = LogDirectory::open(&setup.data).context(FolderSnafu)?;
        let (wal, durable) = Wal::open(directory, new_disk).context(LogSnafu)?;
        let clock = Clock::new();
        let own = ReplicaId(setup.id);
        let others: Vec<(u64, String)> = setup
            .group
            .iter()
            .filter(|(id, _)| *id != setup.id)
            .cloned()
            .collect();
        let peers: Vec<ReplicaId> = others.iter().map(|(id, _)| ReplicaId(*id)).collect();
        let raft = Raft::new(own, peers, RAFT_TIMING, durable, clock.now(), setup.id);
        let control = Control::new(raft).context(StateSnafu)?;

        let (tx, rx) = mpsc::channel(CALL_QUEUE);
        let handle = ControlHandle { tx };
        let (stop_sender, stop) = stop::channel();
        let writer_handle = handle.clone();
        let writer = start_writer(wal, move |input| {
            let call = ControlCall::Input(ControlInput::Raft(input));
            writer_handle.tx.blocking_send(call).is_ok()
        });
        let last_heard = Arc::new(LastHeard::new(&others));
        let actor = Actor {
            control,
            clock,
            writer,
            peers: Peers::start(&others, &last_heard, clock),
            responders: Table::default(),
            last_request: RequestId(0),
            was_leader: false,
            leader_watch: LeaderWatch::default(),
            follower_watch: FollowerWatch::default(),
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

    /// Stops the instance once it has handed over the leadership and is idle, or after about two
    /// seconds.
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

/// When the last message of each peer arrived, in milliseconds of the process's clock; 0 when none
/// has.
pub(crate) struct LastHeard {
    times: Vec<(u64, AtomicU64)>,
}

impl LastHeard {
    fn new(peers: &[(u64, String)]) -> Self {
        Self {
            times: peers
                .iter()
                .map(|(id, _)| (*id, AtomicU64::new(0)))
                .collect(),
        }
    }

    fn time_of(&self, id: u64) -> Option<&AtomicU64> {
        self.times.iter().find(|(i, _)| *i == id).map(|(_, at)| at)
    }

    pub(crate) fn record(&self, id: u64, now: Millis) {
        if let Some(at) = self.time_of(id) {
            at.store(now.0, Ordering::Relaxed);
        }
    }

    pub(crate) fn get(&self, id: u64) -> Millis {
        Millis(self.time_of(id).map_or(0, |at| at.load(Ordering::Relaxed)))
    }
}

struct Actor {
    control: Control,
    clock: Clock,
    writer: std::sync::mpsc::Sender<Batch>,
    peers: Peers,
    responders: Table<RequestId, Responder>,
    last_request: RequestId,
    was_leader: bool,
    leader_watch: LeaderWatch,
    follower_watch: FollowerWatch,
}

impl Actor {
    async fn run(mut self, mut rx: mpsc::Receiver<ControlCall>, stop: StopSignal) {
        let mut ticker = tokio::time::interval(TICK);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let stopped = stop.wait();
        tokio::pin!(stopped);
        loop {
            let call = tokio::select! {
                call = rx.recv() => call,
                _ = ticker.tick() => Some(ControlCall::Input(ControlInput::Tick(unix_now()))),
                () = &mut stopped => None,
            };
            let Some(call) = call else {
                return;
            };
            if let Err(error) = self.handle_call(call) {
                events::CONTROL_FAILED.log(format_args!("{error}"));
                return;
            }
        }
    }

    fn handle_call(&mut self, call: ControlCall) -> Result<(), ControlError> {
        let now = self.clock.now();
        let input = match call {
            ControlCall::View(read) => {
                read(&self.control, now);
                return Ok(());
            }
            ControlCall::Input(input) => input,
            ControlCall::Ask(make_input, responder) => {
                self.last_request = RequestId(self.last_request.0 + 1);
                self.responders.insert(self.last_request, responder);
                make_input(self.last_request)
            }
        };
        if let ControlInput::Raft(RaftInput::Receive(message)) = &input {
            self.follower_watch.heard(now, message);
        }
        let mut out = Vec::new();
        self.control.step(now, input, &mut out)?;
        for output in out {
            self.execute(now, output);
        }
        self.leader_watch.tick(now, self.control.raft());
        self.follower_watch.tick(now, self.control.raft());
        let is_leader = self.control.raft().is_leader();
        if is_leader != self.was_leader {
            self.was_leader = is_leader;
            let term = self.control.raft().term().0;
            events::LEADER.log(format_args!("leads={is_leader} term={term}"));
        }
        Ok(())
    }

    fn execute(&mut self, now: Millis, output: ControlOutput) {
        match output {
            ControlOutput::Raft(RaftOutput::Write(number, records)) => {
                // A writer that has stopped never reports the write as synced.
                let _ = self.writer.send(Batch { number, records });
            }
            ControlOutput::Raft(RaftOutput::Send(message)) => {
                self.follower_watch.sent(&message);
                self.peers.send(message);
            }
            // Handled by the instance itself.
            ControlOutput::Raft(RaftOutput::Commit(_) | RaftOutput::Restore(_)) => {}
            ControlOutput::Answer(request_id, answer) => {
                if let Some(respond) = self.responders.remove(&request_id) {
                    respond(answer, &self.control, now);
                }
            }
        }
    }
}
