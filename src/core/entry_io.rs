//! What goes into an entry's decisions and what comes out.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::clock::Millis;
use super::ids::{Generation, Incarnation, JobKey};
use super::job::{Answer, JobHandle, JobKind, JobState, Submission};
use super::placement::Policy;
use super::task::{Dispatch, Verdict};

/// Bounds and weights an entry works with.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EntryLimits {
    /// How places are chosen.
    pub policy: Policy,
    /// Rank of a job: arrival plus so many times its time alone on all slots.
    pub stretch: f64,
    /// A submission that would wait longer is refused.
    pub max_wait: Millis,
    /// A submission that no known backend server can run is refused after this.
    pub grace: Millis,
    /// Answers are kept for so long.
    pub retain: Millis,
    /// Agents keep results of unsettled jobs for longer than this.
    pub memory: Millis,
    /// Tasks looked at in one placing round.
    pub lookahead: usize,
    /// Seed of the baseline policies' draws.
    pub seed: u64,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            policy: Policy::LeastFinish,
            stretch: 1.0,
            max_wait: Millis(60_000),
            grace: Millis(5_000),
            retain: Millis(60_000),
            memory: Millis(100_000),
            lookahead: 256,
            seed: 1,
        }
    }
}

/// What control said of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The job is this entry's and new.
    Granted(Generation),
    /// Another live entry owns it.
    Attached,
    /// The key was used with another payload.
    Conflict,
    /// The claim moved here.
    TakenOver {
        /// The new generation.
        generation: Generation,
        /// Live agents that may hold tasks of it.
        agents: Vec<Incarnation>,
        /// True when an agent that may have run tasks of it is lost.
        lost: bool,
        /// The recorded outcome: whether it was complete.
        settled: Option<bool>,
        /// Time since the first claim.
        age: Millis,
    },
    /// Control could not be reached in time.
    Unknown,
}

/// A team's rights at this entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamLimits {
    /// The team.
    pub team: String,
    /// Weight in the fair share.
    pub share: u32,
    /// Most tasks running at a time through this entry.
    pub cap: Option<u32>,
}

/// What reaches an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryInput {
    /// A caller submits.
    Submit(Submission),
    /// A caller waits for a job already submitted.
    Poll(JobHandle, JobKey),
    /// A caller cancels.
    Cancel(JobKey),
    /// Control's word on a claim.
    Claimed(JobHandle, ClaimResult),
    /// The owner of an attached job answered.
    Relayed(JobHandle, u16, Bytes),
    /// The owner of an attached job cannot be reached, or disowns it.
    Reclaim(JobHandle),
    /// An agent listed what it knows of a job; `None`: the agent is lost.
    Inventory(JobHandle, Incarnation, Option<Vec<Verdict>>),
    /// The directory shows an agent.
    AgentUp {
        /// Its incarnation.
        agent: Incarnation,
        /// The service it runs.
        service: String,
        /// Where it is.
        data_centre: String,
        /// False while settings take it out.
        open: bool,
    },
    /// Control declared an agent dead.
    AgentDead(Incarnation),
    /// The link to an agent is up.
    Linked(Incarnation, u32, Millis),
    /// The link to an agent is gone.
    Unlinked(Incarnation),
    /// The agent's clock, and credits from it.
    Credits(Incarnation, u32, Millis),
    /// The agent wants so many credits back.
    Recall(Incarnation, u32),
    /// The agent's word on a dispatch.
    Verdict(Verdict),
    /// A lease from control.
    Lease(Millis),
    /// Control declared this entry dead and gave it a new incarnation.
    Rejoined(Incarnation),
    /// The teams in the settings.
    Teams(Vec<TeamLimits>),
    /// Bounds from the settings.
    Limits(EntryLimits),
    /// The entry stops: nothing new.
    Stop,
    /// Time has passed.
    Tick,
}

/// One line of a recorded trace: an input, and when it came.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TraceLine {
    /// By the entry's clock.
    pub now: Millis,
    /// The input.
    pub input: EntryInput,
}

/// What an entry does.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryOutput {
    /// Claim the key in the control log.
    Claim(JobHandle, JobKey, Vec<u8>),
    /// Send a dispatch.
    Dispatch(JobHandle, JobKind, Dispatch),
    /// Ask an agent what became of dispatches.
    Ask(Incarnation, Vec<Dispatch>),
    /// Tell an agent how many tasks wait.
    Want(Incarnation, u32),
    /// Return unused credits.
    GiveBack(Incarnation, u32),
    /// Withdraw a job at an agent.
    Cancel(Incarnation, JobKey, Generation),
    /// Ask an agent what it knows of a job, and fence older generations.
    Inventory(JobHandle, Incarnation, JobKey, Generation),
    /// Wait for the owner's answer.
    Attach(JobHandle, JobKey),
    /// Write the outcome to the control log and tell the agents it is there.
    Record {
        /// The job.
        key: JobKey,
        /// Its generation.
        generation: Generation,
        /// Complete, failed or refused.
        outcome: JobState,
        /// Agents that keep results of it.
        agents: Vec<Incarnation>,
    },
    /// Answer a caller.
    Answer(JobHandle, Answer),
}

/// Counts since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EntryCounts {
    /// Dispatches sent.
    pub dispatched: u64,
    /// Dispatches that came back as not run.
    pub returned: u64,
    /// Verdicts that matched nothing.
    pub strays: u64,
    /// Requests retried.
    pub retried: u64,
    /// Messages about credits, in both directions.
    pub credit_messages: u64,
}
