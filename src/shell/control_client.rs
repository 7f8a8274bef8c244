//! Calls from entries and agents to whichever control instance leads.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tonic::transport::Channel;
use tonic::{Code, Request, Response, Status};

use super::peers::connect;
use crate::proto;
use crate::proto::control_client::ControlClient as Stub;

/// Time one call may take before another instance is asked.
const CALL: Duration = Duration::from_secs(1);

/// The instance in use.
#[derive(Debug, Default)]
struct Current {
    at: usize,
    channel: Option<Channel>,
}

/// The control group, as one of its users sees it.
#[derive(Debug, Clone)]
pub(crate) struct ControlClient {
    group: Arc<Vec<(u64, String)>>,
    current: Arc<Mutex<Current>>,
}

macro_rules! call {
    ($name:ident, $request:ty, $reply:ty) => {
        /// One try; after a failure the next one goes to another instance.
        pub(crate) async fn $name(&self, request: $request) -> Result<$reply, Status> {
            let (channel, at) = self.channel().await?;
            let mut stub = Stub::new(channel);
            let call = tokio::time::timeout(CALL, stub.$name(Request::new(request))).await;
            let answer = match call {
                Ok(answer) => answer.map(Response::into_inner),
                Err(_) => Err(Status::unavailable("no answer in time")),
            };
            if let Err(status) = &answer {
                self.turn(at, status).await;
            }
            answer
        }
    };
}

impl ControlClient {
    pub(crate) fn new(group: Vec<(u64, String)>) -> Self {
        Self {
            group: Arc::new(group),
            current: Arc::default(),
        }
    }

    call!(join, proto::JoinRequest, proto::JoinReply);
    call!(renew, proto::RenewRequest, proto::RenewReply);
    call!(claim, proto::ClaimRequest, proto::ClaimReply);
    call!(record, proto::RecordRequest, proto::RecordReply);

    async fn channel(&self) -> Result<(Channel, usize), Status> {
        let mut current = self.current.lock().await;
        if let Some(channel) = &current.channel {
            return Ok((channel.clone(), current.at));
        }
        let at = current.at;
        let Some(channel) = connect(&self.group[at].1).await else {
            current.at = (at + 1) % self.group.len();
            return Err(Status::unavailable("cannot connect"));
        };
        current.channel = Some(channel.clone());
        Ok((channel, at))
    }

    /// Leaves the instance `at` for the leader it named, or for the next.
    async fn turn(&self, at: usize, status: &Status) {
        let mut current = self.current.lock().await;
        if current.at != at || status.code() == Code::Internal {
            return;
        }
        let named = status.message().strip_prefix("leader is ");
        let named = named.and_then(|id| id.parse::<u64>().ok());
        let next = self.group.iter().position(|(id, _)| Some(*id) == named);
        current.at = next.unwrap_or((at + 1) % self.group.len());
        current.channel = None;
    }
}
