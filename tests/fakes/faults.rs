//! Faults and planned changes of the fake fleet.

use fulmardrift::{AgentInput, Command, EntryInput, Incarnation, Millis, StartGuard, TaskStatus};

use super::{LEASE_DURATION, Message, World};

impl World {
    /// Ends a running task with a failure.
    pub fn fail(&mut self, at: usize) {
        let dispatch = self.running.remove(at);
        let status = TaskStatus::Failed {
            reason: "broken".to_owned(),
            run: Millis(10),
        };
        self.agent_input(
            dispatch.agent,
            AgentInput::Finished(dispatch.job, dispatch.task, status),
        );
    }

    /// Lets an entry's lease expire and declares the entry dead. All other leases are renewed.
    pub fn declare_dead(&mut self, entry: Incarnation) {
        self.now = self.now + LEASE_DURATION + LEASE_DURATION;
        let agents: Vec<Incarnation> = self.agents.keys().copied().collect();
        for agent in agents {
            self.renew_agent_lease(agent);
            self.messages.push(Message::EntryDead(agent, entry));
        }
        let others: Vec<Incarnation> = self
            .entries
            .keys()
            .copied()
            .filter(|e| *e != entry)
            .collect();
        for other in others {
            self.renew_entry_lease(other);
        }
        self.apply(Command::Dead(entry));
    }

    /// Shuts an entry down. The control group learns of it at once, without waiting for the lease.
    pub fn leave(&mut self, entry: Incarnation) {
        self.entries.remove(&entry);
        self.apply(Command::Dead(entry));
        let agents: Vec<Incarnation> = self.agents.keys().copied().collect();
        for agent in agents {
            self.messages.push(Message::EntryDead(agent, entry));
        }
    }

    /// Evacuates the data centre. Agents learn of it with their next lease.
    pub fn evacuate(&mut self) {
        let change = fulmardrift::SettingChange {
            path: "r1/dc1".to_owned(),
            key: "out".to_owned(),
            value: Some("true".to_owned()),
        };
        self.apply(Command::Change(fulmardrift::ChangeRequest {
            operator: "ana".to_owned(),
            request: "out".to_owned(),
            expected: None,
            changes: vec![change],
        }));
        self.evacuated_at = Some(self.now);
    }

    /// Kills an agent and restarts it under a new incarnation.
    pub fn restart_agent(&mut self, agent: Incarnation, disabled: &[StartGuard]) {
        let slots = self.agents[&agent].slots();
        self.kill_agent(agent);
        let new = self.add_agent("again", slots, disabled);
        self.replacements.insert(agent, new);
    }

    /// Kills an agent's process and declares it dead.
    pub fn kill_agent(&mut self, agent: Incarnation) {
        self.agents.remove(&agent);
        // Its backend server keeps running the tasks, but their results reach nobody.
        self.running.retain(|d| d.agent != agent);
        self.apply(Command::Dead(agent));
        let entries: Vec<Incarnation> = self.entries.keys().copied().collect();
        for entry in entries {
            self.entry_input(entry, EntryInput::AgentDead(agent));
        }
    }
}
