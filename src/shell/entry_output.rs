//! Executes the outputs of an entry: messages to agents, calls to the control group, answers.

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

/// Pause between attempts of a call.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Attempts of a claim before the submission fails.
const CLAIM_ATTEMPTS: u32 = 200;
/// Attempts to record an outcome.
const RECORD_ATTEMPTS: u32 = 600;
/// Attempts to get an inventory from an agent.
const INVENTORY_ATTEMPTS: u32 = 600;

impl Actor {
    pub(crate) fn execute(&mut self, output: EntryOutput) {
        use proto::to_agent::Kind as Message;
        match output {
            EntryOutput::Claim(handle, key, digest) => self.claim(handle, key, digest),
            EntryOutput::Dispatch(handle, kind, dispatch) => self.dispatch(handle, kind, &dispatch),
            EntryOutput::Ask(agent, dispatches) => {
                let dispatches = dispatches.iter().map(convert::dispatch_to_proto).collect();
                self.send(agent, Message::Ask(proto::Ask { dispatches }));
            }
            EntryOutput::Want(agent, count) => {
                metrics::counter!("fulmardrift_wants").increment(1);
                self.send(agent, Message::Want(proto::Want { count }));
            }
            EntryOutput::GiveBack(agent, count) => {
                self.send(agent, Message::GiveBack(proto::GiveBack { count }));
            }
            EntryOutput::Cancel(agent, key, generation) => {
                let job = Some(convert::job_to_proto(&key));
                self.send(
                    agent,
                    Message::Cancel(proto::Cancel {
                        job,
                        generation: generation.0,
                    }),
                );
            }
            EntryOutput::Inventory(handle, agent, key, generation) => {
                self.inventory(handle, agent, key, generation);
            }
            EntryOutput::Attach(handle, key) => {
                let entry = self.handle.clone();
                tokio::spawn(entry_peers::attach(entry, handle, key));
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

    /// Sends a message over the agent's link; without a link it is dropped.
    fn send(&mut self, agent: Incarnation, kind: proto::to_agent::Kind) {
        let Some(known) = self.agents.get_mut(&agent) else {
            return;
        };
        if let Some(session) = &known.session
            && session.tx.try_send(to_agent(kind)).is_err()
        {
            // The agent does not keep up. Its full queue fails the next ping, which replaces the
            // link.
            known.session = None;
        }
    }

    /// Sends a job's task to its agent, or passes a request to the task that relays it.
    fn dispatch(&mut self, handle: JobHandle, kind: JobKind, dispatch: &Dispatch) {
        metrics::counter!("fulmardrift_dispatches").increment(1);
        if kind == JobKind::Job {
            let agent = dispatch.agent;
            let message = proto::to_agent::Kind::Dispatch(convert::dispatch_to_proto(dispatch));
            self.send(agent, message);
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
        // The dispatch cannot be relayed. The agent reports its state, or records that it must not
        // start any more.
        let ask = proto::Ask {
            dispatches: vec![convert::dispatch_to_proto(dispatch)],
        };
        self.send(dispatch.agent, proto::to_agent::Kind::Ask(ask));
    }

    /// Claims a key at the control group, and passes [`ClaimResult::Unknown`] to the entry when all
    /// attempts fail.
    fn claim(&self, handle: JobHandle, key: JobKey, digest: Vec<u8>) {
        let entry = self.handle.clone();
        let service = self.entry.service(handle).unwrap_or_default();
        tokio::spawn(async move {
            for _ in 0..CLAIM_ATTEMPTS {
                let request = proto::ClaimRequest {
                    job: Some(convert::job_to_proto(&key)),
                    digest: digest.clone().into(),
                    owner: entry.shared.incarnation().0,
                    service: service.clone(),
                    lookup: false,
                };
                let reply = entry.shared.client.claim(request).await;
                if let Some(claimed) = reply.ok().as_ref().and_then(convert::claim_from_proto) {
                    entry.input(EntryInput::Claimed(handle, claimed)).await;
                    return;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
            entry
                .input(EntryInput::Claimed(handle, ClaimResult::Unknown))
                .await;
        });
    }

    /// Records a job's outcome at the control group, then tells the agents that took part that they
    /// may forget the job. Gives up after [`RECORD_ATTEMPTS`].
    fn record(
        &self,
        key: JobKey,
        generation: Generation,
        outcome: JobState,
        agents: &[Incarnation],
    ) {
        let entry = self.handle.clone();
        let links: Vec<mpsc::Sender<proto::ToAgent>> = agents
            .iter()
            .filter_map(|a| Some(self.agents.get(a)?.session.as_ref()?.tx.clone()))
            .collect();
        tokio::spawn(async move {
            for _ in 0..RECORD_ATTEMPTS {
                let mut request = proto::RecordRequest {
                    job: Some(convert::job_to_proto(&key)),
                    generation: generation.0,
                    owner: entry.shared.incarnation().0,
                    ..proto::RecordRequest::default()
                };
                request.set_outcome(convert::outcome_to_proto(outcome));
                if entry.shared.client.record(request).await.is_ok() {
                    let recorded = proto::Recorded {
                        job: Some(convert::job_to_proto(&key)),
                    };
                    for link in links {
                        let kind = proto::to_agent::Kind::Recorded(recorded.clone());
                        let _ = link.try_send(to_agent(kind));
                    }
                    return;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        });
    }

    /// Asks an agent for a job's tasks, and passes `None` to the entry when every attempt fails.
    fn inventory(
        &self,
        handle: JobHandle,
        agent: Incarnation,
        key: JobKey,
        generation: Generation,
    ) {
        let entry = self.handle.clone();
        let address = self.agents.get(&agent).map(|known| known.address.clone());
        tokio::spawn(async move {
            let mut tasks = None;
            if let Some(address) = address {
                for _ in 0..INVENTORY_ATTEMPTS {
                    tasks = entry_peers::inventory(&address, agent, &key, generation).await;
                    if tasks.is_some() {
                        break;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            entry
                .input(EntryInput::Inventory(handle, agent, tasks))
                .await;
        });
    }
}
