//! Carrying out what an entry decides.

use std::time::Duration;

use tokio::sync::mpsc;

use super::entry::{Actor, RelayAttempt};
use super::links::to_agent;
use super::{convert, entry_peers};
use crate::core::entry_io::{ClaimResult, EntryInput, EntryOutput};
use crate::core::ids::{Generation, Incarnation, JobKey};
use crate::core::job::{JobHandle, JobKind, JobState};
use crate::core::task::Dispatch;
use crate::proto;

/// Pause between tries of a call to control.
const RETRY: Duration = Duration::from_millis(50);
/// Tries of a claim before the submission is refused.
const CLAIM_TRIES: u32 = 200;
/// Tries of recording an outcome.
const RECORD_TRIES: u32 = 600;
/// Tries of asking an agent for an inventory.
const INVENTORY_TRIES: u32 = 600;

impl Actor {
    pub(crate) fn execute(&mut self, output: EntryOutput) {
        use proto::to_agent::Kind as To;
        match output {
            EntryOutput::Claim(handle, key, digest) => self.claim(handle, key, digest),
            EntryOutput::Dispatch(handle, kind, dispatch) => self.dispatch(handle, kind, &dispatch),
            EntryOutput::Ask(agent, dispatches) => {
                let dispatches = dispatches.iter().map(convert::dispatch_to_proto).collect();
                self.send(agent, To::Ask(proto::Ask { dispatches }));
            }
            EntryOutput::Want(agent, count) => {
                metrics::counter!("fulmardrift_wants").increment(1);
                self.send(agent, To::Want(proto::Want { count }));
            }
            EntryOutput::GiveBack(agent, count) => {
                self.send(agent, To::GiveBack(proto::GiveBack { count }));
            }
            EntryOutput::Cancel(agent, key, generation) => {
                let job = Some(convert::job_to_proto(&key));
                self.send(
                    agent,
                    To::Cancel(proto::Cancel {
                        job,
                        generation: generation.0,
                    }),
                );
            }
            EntryOutput::Inventory(handle, agent, key, generation) => {
                self.inventory(handle, agent, key, generation);
            }
            EntryOutput::Attach(handle, key) => {
                let to = self.handle.clone();
                tokio::spawn(entry_peers::attach(to, handle, key));
            }
            EntryOutput::Record {
                key,
                generation,
                outcome,
                agents,
            } => {
                self.record(key, generation, outcome, &agents);
            }
            EntryOutput::Answer(handle, answer) => {
                self.requests.remove(&handle);
                if let Some(tx) = self.waiters.remove(&handle) {
                    // The caller may have stopped waiting.
                    let _ = tx.send(answer);
                }
            }
        }
    }

    fn send(&mut self, agent: Incarnation, kind: proto::to_agent::Kind) {
        let Some(known) = self.agents.get_mut(&agent) else {
            return;
        };
        if let Some(session) = &known.session
            && session.tx.try_send(to_agent(kind)).is_err()
        {
            // It does not keep up: the link's heartbeat will replace it.
            known.session = None;
        }
    }

    fn dispatch(&mut self, handle: JobHandle, kind: JobKind, dispatch: &Dispatch) {
        metrics::counter!("fulmardrift_dispatches").increment(1);
        if kind == JobKind::Job {
            let agent = dispatch.agent;
            let order = proto::to_agent::Kind::Dispatch(convert::dispatch_to_proto(dispatch));
            self.send(agent, order);
            return;
        }
        let session = self
            .agents
            .get(&dispatch.agent)
            .and_then(|known| known.session.as_ref());
        if let (Some(session), Some(tx)) = (session, self.requests.get(&handle)) {
            let attempt = RelayAttempt {
                dispatch: dispatch.clone(),
                channel: session.channel.clone(),
            };
            if tx.try_send(attempt).is_ok() {
                return;
            }
        }
        // Nobody relays it; the agent says so, or learns that it must not start.
        let ask = proto::Ask {
            dispatches: vec![convert::dispatch_to_proto(dispatch)],
        };
        self.send(dispatch.agent, proto::to_agent::Kind::Ask(ask));
    }

    fn claim(&self, handle: JobHandle, key: JobKey, digest: Vec<u8>) {
        let to = self.handle.clone();
        let service = self.entry.service(handle).unwrap_or_default();
        tokio::spawn(async move {
            for _ in 0..CLAIM_TRIES {
                let request = proto::ClaimRequest {
                    job: Some(convert::job_to_proto(&key)),
                    digest: digest.clone().into(),
                    owner: to.shared.incarnation().0,
                    service: service.clone(),
                    lookup: false,
                };
                let reply = to.shared.client.claim(request).await;
                if let Some(claimed) = reply.ok().as_ref().and_then(convert::claim_from_proto) {
                    to.input(EntryInput::Claimed(handle, claimed)).await;
                    return;
                }
                tokio::time::sleep(RETRY).await;
            }
            to.input(EntryInput::Claimed(handle, ClaimResult::Unknown))
                .await;
        });
    }

    fn record(
        &self,
        key: JobKey,
        generation: Generation,
        outcome: JobState,
        agents: &[Incarnation],
    ) {
        let to = self.handle.clone();
        let links: Vec<mpsc::Sender<proto::ToAgent>> = agents
            .iter()
            .filter_map(|a| Some(self.agents.get(a)?.session.as_ref()?.tx.clone()))
            .collect();
        tokio::spawn(async move {
            for _ in 0..RECORD_TRIES {
                let mut request = proto::RecordRequest {
                    job: Some(convert::job_to_proto(&key)),
                    generation: generation.0,
                    owner: to.shared.incarnation().0,
                    ..proto::RecordRequest::default()
                };
                request.set_outcome(convert::outcome_to_proto(outcome));
                if to.shared.client.record(request).await.is_ok() {
                    let recorded = proto::Recorded {
                        job: Some(convert::job_to_proto(&key)),
                    };
                    for link in links {
                        let kind = proto::to_agent::Kind::Recorded(recorded.clone());
                        let _ = link.try_send(to_agent(kind));
                    }
                    return;
                }
                tokio::time::sleep(RETRY).await;
            }
        });
    }

    fn inventory(
        &self,
        handle: JobHandle,
        agent: Incarnation,
        key: JobKey,
        generation: Generation,
    ) {
        let to = self.handle.clone();
        let address = self.agents.get(&agent).map(|known| known.address.clone());
        tokio::spawn(async move {
            let mut tasks = None;
            if let Some(address) = address {
                for _ in 0..INVENTORY_TRIES {
                    tasks = entry_peers::inventory(&address, agent, &key, generation).await;
                    if tasks.is_some() {
                        break;
                    }
                    tokio::time::sleep(RETRY).await;
                }
            }
            to.input(EntryInput::Inventory(handle, agent, tasks)).await;
        });
    }
}
