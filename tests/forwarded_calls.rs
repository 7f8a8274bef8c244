//! The order in which an entry forwards calls to the leader.

#[path = "fakes/fleet.rs"]
mod fleet;
#[path = "fakes/server.rs"]
mod server;

use std::sync::Arc;

use fulmardrift::{
    Call, CallReply, CallRouter, CallRouterInput, CallRouterOutput, ClientAction, JobId, LinkId,
    Millis, SentAfter, Times,
};

use fleet::{config, job, submit};

const SUBMIT: u64 = 1;
const CANCEL: u64 = 2;

struct Entry {
    now: Millis,
    router: CallRouter,
    forwarded: Vec<u64>,
}

impl Entry {
    fn new() -> Self {
        Self {
            now: Millis(1),
            router: CallRouter::new(1, Millis(1), Times::default()),
            forwarded: Vec::new(),
        }
    }

    fn input(&mut self, input: CallRouterInput) {
        let mut out = Vec::new();
        self.router.step(self.now, input, &mut out);
        self.router.flush(self.now, self.now, &mut out);
        for output in out {
            if let CallRouterOutput::Forward(_, token, _) = output {
                self.forwarded.push(token);
            }
        }
    }

    fn call(&mut self, token: u64, call: Call) {
        self.input(CallRouterInput::Call {
            token,
            call,
            sent: SentAfter {
                surely: self.now,
                usually: self.now,
            },
            deadline: self.now + Millis(1_500),
        });
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now + Millis(1);
            if self.now.0.is_multiple_of(20) {
                self.input(CallRouterInput::Tick);
            }
        }
    }
}

fn submission() -> Call {
    submit(JobId(1), job(2, 500, false))
}

fn cancel() -> Call {
    Call::Client {
        host: "desk.example".to_owned(),
        path: format!("/jobs/{}", JobId(1)),
        action: ClientAction::Cancel,
    }
}

/// Guards against a cancel that overtakes its job's submission while that is to be sent again: the
/// leader answered it with "no such job", and then accepted the job.
#[test]
fn a_cancel_does_not_overtake_a_submission_that_is_sent_again() {
    for reply in [CallReply::NotLeader, CallReply::Unknown] {
        let mut entry = Entry::new();
        entry.input(CallRouterInput::Config(Arc::new(config(1))));
        entry.input(CallRouterInput::Leader(Some(LinkId(1))));
        entry.call(SUBMIT, submission());
        entry.input(CallRouterInput::Reply(SUBMIT, reply));
        entry.run(5);
        entry.call(CANCEL, cancel());
        entry.run(100);
        assert_eq!(entry.forwarded, [SUBMIT, SUBMIT, CANCEL]);
    }
}

/// The same while both wait for the first configuration.
#[test]
fn a_cancel_does_not_overtake_a_submission_that_waits_for_the_configuration() {
    let mut entry = Entry::new();
    entry.input(CallRouterInput::Leader(Some(LinkId(1))));
    entry.call(SUBMIT, submission());
    entry.call(CANCEL, cancel());
    entry.run(50);
    entry.input(CallRouterInput::Config(Arc::new(config(1))));
    entry.run(50);
    assert_eq!(entry.forwarded, [SUBMIT, CANCEL]);
}

/// A cancel of another job does not wait.
#[test]
fn a_cancel_waits_for_no_other_job() {
    let mut entry = Entry::new();
    entry.input(CallRouterInput::Config(Arc::new(config(1))));
    entry.input(CallRouterInput::Leader(Some(LinkId(1))));
    entry.call(SUBMIT, submit(JobId(9), job(2, 500, false)));
    entry.input(CallRouterInput::Reply(SUBMIT, CallReply::NotLeader));
    entry.call(CANCEL, cancel());
    assert_eq!(entry.forwarded, [SUBMIT, CANCEL]);
}
