//! Starts and stops the roles of one process.

use std::net::SocketAddr;

use tokio::net::TcpListener;

use super::{CmdError, failed};
use crate::config::Config;
use crate::node::listen::listen;
use crate::shell::agent::{AgentRole, AgentSetup};
use crate::shell::control::{ControlRole, ControlSetup};
use crate::shell::entry::{EntryRole, EntrySetup};
use crate::shell::stand_in::{StandInRole, StandInSetup, StartRegistry};

/// The roles that a process runs.
#[derive(Default)]
pub(crate) struct Roles {
    entry: Option<EntryRole>,
    stand_in: Option<StandInRole>,
    agent: Option<AgentRole>,
    control: Option<ControlRole>,
}

async fn bind(address: SocketAddr) -> Result<TcpListener, CmdError> {
    let listener = listen(address).await;
    listener.map_err(|error| failed(format!("cannot listen on {address}: {error}")))
}

impl Roles {
    /// Starts the roles that the settings file configures.
    pub(crate) async fn start(cfg: &Config) -> Result<Self, CmdError> {
        let group: Vec<(u64, String)> = cfg
            .group
            .iter()
            .map(|m| (m.id, m.address.to_string()))
            .collect();
        let mut roles = Self::default();
        if let Some(control) = &cfg.control {
            let member = cfg.group.iter().find(|m| m.id == control.id);
            let Some(member) = member else {
                return Err(failed("control.id does not name a member of the group"));
            };
            let setup = ControlSetup {
                id: control.id,
                group: group.clone(),
                data: control.data.clone(),
                peers: bind(member.address).await?,
                admin: bind(control.admin).await?,
            };
            roles.control = Some(ControlRole::start(setup).map_err(failed)?);
        }
        if let Some(agent) = &cfg.agent {
            let setup = AgentSetup {
                name: cfg.name.clone(),
                place: cfg.place(),
                group: group.clone(),
                peers: bind(agent.peers).await?,
                announce: bind(agent.announce).await?,
            };
            roles.agent = Some(AgentRole::start(setup).map_err(failed)?);
        }
        if let Some(stand_in) = &cfg.stand_in {
            let setup = StandInSetup {
                listener: bind(stand_in.listen).await?,
                agent: stand_in.agent.to_string(),
                service: stand_in.service.clone(),
                slots: stand_in.slots,
                speed: stand_in.speed,
                broken: stand_in.broken,
                start_registry: std::sync::Arc::new(StartRegistry::default()),
            };
            roles.stand_in = Some(StandInRole::start(setup).map_err(failed)?);
        }
        if let Some(entry) = &cfg.entry {
            let setup = EntrySetup {
                name: cfg.name.clone(),
                place: cfg.place(),
                group,
                callers: bind(entry.callers).await?,
                peers: bind(entry.peers).await?,
                trace: entry.trace.clone(),
            };
            roles.entry = Some(EntryRole::start(setup).map_err(failed)?);
        }
        Ok(roles)
    }

    /// Stops the roles in an order that interrupts no work in flight: the entry first, control
    /// last.
    pub(crate) async fn stop(self) {
        if let Some(entry) = self.entry {
            entry.stop().await;
        }
        if let Some(agent) = self.agent {
            agent.stop().await;
        }
        if let Some(stand_in) = self.stand_in {
            stand_in.stop().await;
        }
        if let Some(control) = self.control {
            control.stop().await;
        }
    }
}
