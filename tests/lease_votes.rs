//! Whom a voter may vote for while a leader's lease relies on it.

use fulmardrift::{
    Body, DiskId, Durable, ElectionCause, Index, LogEntry, Message, Millis, Payload, Position,
    Raft, RaftInput, RaftOutput, RaftTiming, Record, ReplicaId, Term, Voter,
};

const TIMING: RaftTiming = RaftTiming {
    election: Millis(500),
    heartbeat: Millis(100),
    margin: Millis(50),
};
const FIRST: Position = Position {
    term: Term(1),
    index: Index(1),
};

fn voter(id: u64) -> Voter {
    Voter {
        id: ReplicaId(id),
        disk: DiskId(id),
    }
}

/// The second of three voters, with the first as the leader of term 1.
struct Follower {
    raft: Raft,
    sent: Vec<Body>,
}

impl Follower {
    fn new(vote: u64) -> Self {
        let entry = LogEntry {
            position: FIRST,
            payload: Payload::Voters([1, 2, 3].map(voter).to_vec()),
        };
        let durable = Durable {
            disk: DiskId(2),
            records: vec![
                Record::Vote(Term(1), Some(ReplicaId(vote))),
                Record::Entries(vec![entry]),
            ],
        };
        let peers = vec![ReplicaId(1), ReplicaId(3)];
        let raft = Raft::new(ReplicaId(2), peers, TIMING, durable, Millis(0), 1);
        Self {
            raft,
            sent: Vec::new(),
        }
    }

    /// Processes a message. Returns the number of writes that it caused; none is synced.
    fn receive(&mut self, now: Millis, from: u64, body: Body) -> u64 {
        let message = Message {
            from: ReplicaId(from),
            disk: DiskId(from),
            to: ReplicaId(2),
            body,
        };
        self.step(now, RaftInput::Receive(message))
    }

    fn step(&mut self, now: Millis, input: RaftInput) -> u64 {
        let mut out = Vec::new();
        let mut writes = 0;
        self.raft.step(now, input, &mut out);
        for output in out {
            match output {
                RaftOutput::Send(message) => self.sent.push(message.body),
                RaftOutput::Write(..) => writes += 1,
                RaftOutput::Commit(_) | RaftOutput::Restore(_) => {}
            }
        }
        writes
    }

    fn heartbeat(&mut self, now: Millis) -> u64 {
        let body = Body::Append {
            term: Term(1),
            prev: FIRST,
            entries: Vec::new(),
            commit: Index(1),
            leader_time: now,
        };
        self.receive(now, 1, body)
    }

    fn request_vote(&mut self, now: Millis, from: u64) {
        let body = Body::Vote {
            term: Term(2),
            last: FIRST,
            cause: ElectionCause::Timeout,
        };
        self.receive(now, from, body);
    }

    fn has_acknowledged(&self) -> bool {
        let is_acknowledgement = |body: &Body| matches!(body, Body::Appended { .. });
        self.sent.iter().any(is_acknowledgement)
    }

    fn has_voted(&self) -> bool {
        let is_vote = |body: &Body| matches!(body, Body::Voted { granted: true, .. });
        self.sent.iter().any(is_vote)
    }
}

/// Guards against a lease that relies on a voter which, after a restart, votes at once for the
/// candidate that it had voted for.
#[test]
fn a_leader_is_acknowledged_only_once_the_durable_vote_names_it() {
    let mut follower = Follower::new(3);
    assert_eq!(follower.heartbeat(Millis(100)), 1);
    assert!(!follower.has_acknowledged());
    follower.step(Millis(109), RaftInput::Synced(1));
    assert!(follower.has_acknowledged());
    assert_eq!(follower.heartbeat(Millis(200)), 0, "one write an election");
}

/// Guards against the same where the follower refuses the leader's entries: the leader counts any
/// answer for its lease.
#[test]
fn a_refusal_of_entries_waits_for_the_vote_too() {
    let mut follower = Follower::new(3);
    let prev = Position {
        term: Term(1),
        index: Index(9),
    };
    let body = Body::Append {
        term: Term(1),
        prev,
        entries: Vec::new(),
        commit: Index(1),
        leader_time: Millis(100),
    };
    follower.receive(Millis(100), 1, body);
    assert!(!follower.has_acknowledged());
    follower.step(Millis(109), RaftInput::Synced(1));
    assert!(follower.has_acknowledged());
}

/// Guards against two leases: a voter that learns of a later term from a late answer still supports
/// the lease of the leader that it has just heard from.
#[test]
fn a_voter_that_adopts_a_term_waits_for_the_lease_of_the_former_one() {
    let mut follower = Follower::new(1);
    follower.heartbeat(Millis(1_000));
    let late_answer = Body::PreVoted {
        term: Term(2),
        granted: false,
        current_term: Term(2),
        leaderless: false,
    };
    follower.receive(Millis(1_010), 3, late_answer);
    assert_eq!(follower.raft.term(), Term(2));
    follower.request_vote(Millis(1_020), 3);
    follower.step(Millis(1_030), RaftInput::Synced(9));
    assert!(!follower.has_voted());
    follower.request_vote(Millis(1_600), 3);
    follower.step(Millis(1_610), RaftInput::Synced(9));
    assert!(follower.has_voted());
}

/// Guards against the wait of an election timeout after the leader has restarted.
#[test]
fn a_voter_votes_at_once_only_for_the_replica_that_its_vote_names() {
    for (vote, candidate, votes) in [(1, 1, true), (3, 3, true), (1, 3, false), (3, 1, false)] {
        let mut follower = Follower::new(vote);
        follower.request_vote(Millis(10), candidate);
        follower.step(Millis(20), RaftInput::Synced(9));
        assert_eq!(follower.has_voted(), votes, "vote {vote}, {candidate} asks");
    }
    // It follows another leader of the same term now.
    let mut follower = Follower::new(3);
    follower.heartbeat(Millis(10));
    follower.request_vote(Millis(20), 3);
    follower.step(Millis(30), RaftInput::Synced(9));
    assert!(!follower.has_voted());
}
