//! Greetings that come late, over a session that its agent has given up.

use fulmardrift::{
    AcceptorMessage, CallRouter, CallRouterInput, CallRouterOutput, Initiator, InitiatorMessage,
    Millis, SessionId, Times,
};

const GIVEN_UP: SessionId = SessionId(1);
const CURRENT: SessionId = SessionId(2);

/// Guards against an agent that gets no grant any more: its greeting over a connection opened just
/// before a cut arrives after that over the next connection.
#[test]
fn a_late_greeting_does_not_replace_a_newer_session() {
    let mut router = CallRouter::new(7, Millis(0), Times::default());
    let mut out = Vec::new();
    let hello = InitiatorMessage::Hello(Initiator::Agent("agent".to_owned()));
    let inputs = [
        CallRouterInput::Message(CURRENT, hello.clone()),
        CallRouterInput::Message(GIVEN_UP, hello),
        CallRouterInput::Closed(GIVEN_UP),
        CallRouterInput::Message(CURRENT, InitiatorMessage::Heartbeat(Millis(300))),
    ];
    for input in inputs {
        router.step(Millis(310), input, &mut out);
    }
    let granted = out.iter().any(|output| {
        matches!(
            output,
            CallRouterOutput::Message(
                CURRENT,
                AcceptorMessage::HeartbeatAck { grant: Some(_), .. }
            )
        )
    });
    assert!(granted, "{out:?}");
}
