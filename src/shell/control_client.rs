//! Client of entries and agents for the control group; it follows the leader.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tonic::transport::Channel;
use tonic::{Code, Request, Response, Status};

use super::peers::connect;
use crate::node::fragments::MAX_MESSAGE;
use crate::proto;
use crate::proto::control_client::ControlClient as Stub;

/// Time that a call may take; after that the next call goes to another instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The instance in use: its index in the group, and the connection once it is open.
#[derive(Debug, Default)]
struct CurrentInstance {
    index: usize,
    channel: Option<Channel>,
}

/// A client of the control group, shared by its clones.
#[derive(Debug, Clone)]
pub(crate) struct ControlClient {
    group: Arc<Vec<(u64, String)>>,
    current: Arc<Mutex<CurrentInstance>>,
}

macro_rules! call {
    ($name:ident, $request:ty, $reply:ty) => {
        /// Calls the instance in use once; after a failure the next call goes to another instance.
        pub(crate) async fn $name(&self, request: $request) -> Result<$reply, Status> {
            let (channel, index) = self.channel().await?;
            let mut stub = Stub::new(channel).max_decoding_message_size(MAX_MESSAGE);
            let call = tokio::time::timeout(CALL_TIMEOUT, stub.$name(Request::new(request))).await;
            let answer = match call {
                Ok(answer) => answer.map(Response::into_inner),
                Err(_) => Err(Status::unavailable("no answer in time")),
            };
            if let Err(status) = &answer {
                self.switch_instance(index, status).await;
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
            return Ok((channel.clone(), current.index));
        }
        let index = current.index;
        let Some(channel) = connect(&self.group[index].1).await else {
            current.index = (index + 1) % self.group.len();
            return Err(Status::unavailable("cannot connect"));
        };
        current.channel = Some(channel.clone());
        Ok((channel, index))
    }

    /// Switches from the instance at `index` to the leader that it named, or to the next instance.
    /// Does nothing when another call has switched already, or after an internal error.
    async fn switch_instance(&self, index: usize, status: &Status) {
        let mut current = self.current.lock().await;
        if current.index != index || status.code() == Code::Internal {
            return;
        }
        let leader = status.message().strip_prefix("leader is ");
        let leader = leader.and_then(|id| id.parse::<u64>().ok());
        let next = self.group.iter().position(|(id, _)| Some(*id) == leader);
        current.index = next.unwrap_or((index + 1) % self.group.len());
        current.channel = None;
    }
}
