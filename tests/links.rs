//! Sessions between processes: long messages, urgent messages, bounds, and mixed versions.

use std::sync::Arc;

use bytes::{BufMut, Bytes};
use fulmardrift::{
    AcceptorMessage, AgentReport, FragmentError, Initiator, InitiatorMessage, JobId,
    MessageDecoder, MessageEncoder, Millis, OperatorConfig, Priority, Queue, QueueSettings,
    Resources, RunEnd, RunId, RunOutcome, Server, TaskId, Term, announce_fragments,
    announces_fragments,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// A session is closed after this long without a sign of life, and heartbeats are sent this often.
const SILENCE: u64 = 900;
const HEARTBEAT: u64 = 250;
/// Bytes that the network holds between both ends of a session.
const IN_FLIGHT: usize = 64 << 10;
const FRAGMENT: usize = 32 << 10;
const FRAGMENT_FLAG: u32 = 1 << 31;
const LARGEST: usize = 64 << 20;

fn encoder() -> MessageEncoder {
    let mut encoder = MessageEncoder::default();
    encoder.allow_fragments();
    encoder
}

/// A message of this length that can be told from others.
fn message(len: usize, seed: u8) -> Vec<u8> {
    let mut body: Vec<u8> = (0..len)
        .map(|at| ((at / 7) ^ at).to_le_bytes()[0] ^ seed)
        .collect();
    if let Some(first) = body.first_mut() {
        *first = 2 + seed % 100;
    }
    body
}

fn heartbeat(at: u64) -> Vec<u8> {
    postcard::to_stdvec(&InitiatorMessage::Heartbeat(Millis(at))).unwrap()
}

/// The frames of all that waits.
fn drain(encoder: &mut MessageEncoder) -> Vec<u8> {
    let mut frames = Vec::new();
    while encoder.fill(&mut frames) {}
    frames
}

fn decode(bytes: &[u8]) -> Result<Vec<Bytes>, FragmentError> {
    let mut decoder = MessageDecoder::default();
    decoder.extend(bytes);
    let mut messages = Vec::new();
    while let Some(message) = decoder.next_message()? {
        messages.push(message);
    }
    Ok(messages)
}

/// A session over a network that carries `rate` bytes a millisecond.
struct Session {
    encoder: MessageEncoder,
    decoder: MessageDecoder,
    network: Vec<u8>,
    rate: usize,
    now: u64,
    /// Arrivals: the time and the message.
    arrived: Vec<(u64, Bytes)>,
}

impl Session {
    fn new(rate: usize) -> Self {
        Self {
            encoder: encoder(),
            decoder: MessageDecoder::default(),
            network: Vec::new(),
            rate,
            now: 0,
            arrived: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now += 1;
        if self.now.is_multiple_of(HEARTBEAT) {
            let heartbeat = heartbeat(self.now);
            self.encoder.push(Priority::Urgent, heartbeat).unwrap();
        }
        while self.network.len() < IN_FLIGHT && self.encoder.fill(&mut self.network) {}
        let carried = self.rate.min(self.network.len());
        let bytes: Vec<u8> = self.network.drain(..carried).collect();
        self.decoder.extend(&bytes);
        while let Some(message) = self.decoder.next_message().unwrap() {
            self.arrived.push((self.now, message));
        }
    }

    /// Longest time between two heartbeats that arrived, and how old one was at most.
    fn heartbeats(&self) -> (u64, u64) {
        let (mut last, mut gap, mut age) = (0, 0, 0);
        for (at, message) in &self.arrived {
            if let Ok(InitiatorMessage::Heartbeat(sent)) = postcard::from_bytes(message) {
                gap = gap.max(at - last);
                age = age.max(at - sent.0);
                last = *at;
            }
        }
        (gap, age)
    }
}

/// Guards against sessions that ended again and again because heartbeats waited behind a long
/// message, so that a new replica never got the log.
#[test]
fn a_long_message_does_not_silence_its_session() {
    for rate in [1_000, 5_000, 20_000] {
        let mut session = Session::new(rate);
        let long = message(20 << 20, 1);
        session.encoder.push(Priority::Bulk, long.clone()).unwrap();
        while !session.arrived.iter().any(|(_, body)| *body == long) {
            session.step();
            assert!(session.now < 60_000, "the message did not arrive");
        }
        let (gap, age) = session.heartbeats();
        assert!(gap < SILENCE, "{gap} ms without a heartbeat at {rate} B/ms");
        // What the network holds and one more write are before it.
        let bound = u64::try_from((IN_FLIGHT + 2 * FRAGMENT) / rate + 2).unwrap();
        assert!(age <= bound, "a heartbeat took {age} ms at {rate} B/ms");
    }
}

/// Guards against urgent messages that wait behind many bulk messages, none of them long.
#[test]
fn many_bulk_messages_do_not_delay_heartbeats() {
    let mut session = Session::new(1_000);
    for seed in (0..250).cycle().take(4_000) {
        let body = message(2_000, seed);
        session.encoder.push(Priority::Bulk, body).unwrap();
    }
    while session.now < 8_000 {
        session.step();
    }
    let (gap, age) = session.heartbeats();
    assert!(gap < SILENCE && age < SILENCE, "gap {gap} ms, age {age} ms");
}

/// A configuration of this many queues.
fn config(version: u64, queues: u32) -> AcceptorMessage {
    let queues = (0..queues).map(|number| Queue {
        name: format!("a-queue-name-{number}"),
        host: "a-host-name.example".to_owned(),
        prefix: format!("/a-path/another/{number}/"),
        settings: QueueSettings {
            service: "a-service-name".to_owned(),
            priority: 100,
            attempts: 100,
            slack: 1_000,
            target: Millis(60_000),
        },
    });
    AcceptorMessage::Config(Arc::new(OperatorConfig {
        version,
        queues: queues.collect(),
        unguarded: Vec::new(),
        document: Vec::new(),
    }))
}

/// Guards against an entry that serves an outdated configuration (CONFIG) for as long as all versions
/// of a storm of changes need on its slow link.
#[test]
fn the_last_version_of_a_storm_of_changes_arrives_in_time() {
    /// 2 Mbit/s.
    const RATE: usize = 250;
    const VERSIONS: u64 = 12;
    const INTERVAL: u64 = 330;
    /// Time after which a version must be in force.
    const IN_FORCE: u64 = 2_500;
    let mut session = Session::new(RATE);
    let mut sent_at = 0;
    for version in 1..=VERSIONS {
        sent_at = session.now;
        let body = postcard::to_stdvec(&config(version, 2_800)).unwrap();
        session.encoder.push(Priority::Latest, body).unwrap();
        for _ in 0..INTERVAL {
            session.step();
        }
    }
    let last = postcard::to_stdvec(&config(VERSIONS, 2_800)).unwrap();
    while session.arrived.iter().all(|(_, body)| *body != last) {
        session.step();
        assert!(session.now < 60_000, "the last version did not arrive");
    }
    let took = session.now - sent_at;
    println!("{} bytes, {took} ms", last.len());
    assert!(took <= IN_FORCE, "{took} ms");
    assert!(session.encoder.is_empty());
    assert_eq!(session.encoder.bytes(), 0);
}

/// Guards against a message that is dropped though a part of it has gone out.
#[test]
fn a_newer_version_drops_only_those_that_wait() {
    let mut encoder = encoder();
    let bodies: Vec<_> = (1..=3).map(|seed| message(3 * FRAGMENT, seed)).collect();
    let other = message(100, 9);
    let mut out = Vec::new();
    encoder.push(Priority::Latest, bodies[0].clone()).unwrap();
    encoder.fill(&mut out);
    encoder.push(Priority::Latest, bodies[1].clone()).unwrap();
    encoder.push(Priority::Bulk, other.clone()).unwrap();
    encoder.push(Priority::Latest, bodies[2].clone()).unwrap();
    while encoder.fill(&mut out) {}
    let arrived = decode(&out).unwrap();
    assert_eq!(
        arrived,
        [&bodies[0], &other, &bodies[2]].map(|b| Bytes::from(b.clone()))
    );
    assert_eq!((encoder.len(), encoder.bytes()), (0, 0));
}

#[test]
fn urgent_messages_do_not_hold_up_bulk_messages() {
    let mut encoder = encoder();
    encoder
        .push(Priority::Bulk, message(10 * FRAGMENT, 1))
        .unwrap();
    let mut out = Vec::new();
    for _ in 0..10 {
        encoder.push(Priority::Urgent, heartbeat(1)).unwrap();
        encoder.fill(&mut out);
    }
    assert!(encoder.is_empty());
    assert_eq!(decode(&out).unwrap().len(), 11);
}

/// Guards against a grant that overtakes the welcome before it, and is dropped by the agent.
#[test]
fn messages_that_go_out_together_keep_their_order() {
    let mut encoder = encoder();
    let mut expected = Vec::new();
    for number in 0..20 {
        let priority = if number % 3 == 1 {
            Priority::Urgent
        } else {
            Priority::Bulk
        };
        let body = message(1_000, number);
        encoder.push(priority, body.clone()).unwrap();
        expected.push(body);
    }
    let mut out = Vec::new();
    assert!(encoder.fill(&mut out));
    assert_eq!(decode(&out).unwrap(), expected);
    assert!(!encoder.fill(&mut out));
}

#[test]
fn a_message_of_one_fragment_has_the_format_of_earlier_versions() {
    let body = message(FRAGMENT, 9);
    let mut encoder = encoder();
    encoder.push(Priority::Bulk, body.clone()).unwrap();
    let mut expected = Vec::new();
    expected.put_u32(32 << 10);
    expected.extend_from_slice(&body);
    assert_eq!(drain(&mut encoder), expected);
}

/// Guards against a rolling update in which processes of both versions cannot read each other.
#[test]
fn messages_of_earlier_versions_are_read() {
    let old = [
        InitiatorMessage::Hello(Initiator::Agent("a".to_owned())),
        InitiatorMessage::Heartbeat(Millis(300)),
    ];
    let long = message(3 << 20, 4);
    let mut bytes = Vec::new();
    let bodies = old
        .iter()
        .map(|m| postcard::to_stdvec(m).unwrap())
        .chain([long.clone()]);
    for body in bodies {
        bytes.put_u32(u32::try_from(body.len()).unwrap());
        bytes.extend_from_slice(&body);
    }
    let messages = decode(&bytes).unwrap();
    for (message, expected) in messages.iter().zip(&old) {
        let (message, rest) = postcard::take_from_bytes::<InitiatorMessage>(message).unwrap();
        assert_eq!(message, *expected);
        assert!(!announces_fragments(rest));
    }
    assert_eq!(messages[2], long);
}

/// Guards against fragments that are sent to a process of an earlier version, which would close the
/// session.
#[test]
fn earlier_versions_read_what_is_sent_before_they_are_known() {
    let hello = InitiatorMessage::Hello(Initiator::Agent("a".to_owned()));
    let mut first = postcard::to_stdvec(&hello).unwrap();
    announce_fragments(&mut first);
    let long = message(3 << 20, 4);
    let mut encoder = MessageEncoder::default();
    encoder.push(Priority::Bulk, first.clone()).unwrap();
    encoder.push(Priority::Bulk, long.clone()).unwrap();
    let bytes = drain(&mut encoder);
    // Earlier versions read a length of four bytes and that many bytes of message.
    let mut rest = &bytes[..];
    let mut bodies = Vec::new();
    while !rest.is_empty() {
        let (len, tail) = rest.split_at(4);
        let len = u32::from_be_bytes(len.try_into().unwrap()) as usize;
        let (body, tail) = tail.split_at(len);
        bodies.push(body.to_vec());
        rest = tail;
    }
    assert_eq!(
        postcard::from_bytes::<InitiatorMessage>(&bodies[0]).unwrap(),
        hello
    );
    assert_eq!(bodies[1], long);
    let (_, rest) = postcard::take_from_bytes::<InitiatorMessage>(&bodies[0]).unwrap();
    assert!(announces_fragments(rest));
}

/// Guards against messages that start with the byte of a fragment's header.
#[test]
fn no_message_starts_like_a_fragment() {
    let ack = AcceptorMessage::Recorded {
        life: u64::MAX,
        upto: u64::MAX,
    };
    assert_eq!(postcard::to_stdvec(&ack).unwrap()[0], 8);
    let mut encoder = encoder();
    for body in [vec![], vec![0xff], vec![0xfe, 0, 0]] {
        let refused = encoder.push(Priority::Bulk, body);
        assert_eq!(refused, Err(FragmentError::NotMessage));
    }
    assert!(encoder.is_empty());
}

/// Guards against sessions that ended again and again over a message that no frame can hold.
#[test]
fn a_message_that_is_too_long_is_refused_and_the_others_go_out() {
    let mut encoder = encoder();
    encoder.push(Priority::Bulk, message(5, 1)).unwrap();
    let refused = encoder.push(Priority::Bulk, vec![1; LARGEST + 1]);
    let bytes = LARGEST + 1;
    assert_eq!(refused, Err(FragmentError::TooLong { bytes }));
    encoder.push(Priority::Bulk, message(5, 2)).unwrap();
    assert_eq!(encoder.bytes(), 10);
    let messages = decode(&drain(&mut encoder)).unwrap();
    assert_eq!(messages, [message(5, 1), message(5, 2)]);
}

#[test]
fn the_longest_message_goes_over() {
    let mut encoder = encoder();
    let body = vec![1; LARGEST];
    encoder.push(Priority::Bulk, body.clone()).unwrap();
    assert_eq!(encoder.bytes(), LARGEST);
    let mut decoder = MessageDecoder::default();
    let mut out = Vec::new();
    let mut arrived = None;
    while encoder.fill(&mut out) {
        decoder.extend(&out);
        out.clear();
        if let Some(message) = decoder.next_message().unwrap() {
            arrived = Some(message);
        }
    }
    assert!(arrived.is_some_and(|message| message == body));
    assert_eq!((encoder.bytes(), encoder.len()), (0, 0));
    assert!(decoder.is_empty());
}

fn head(len: usize, part: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    out.put_u32(FRAGMENT_FLAG | u32::try_from(13 + part.len()).unwrap());
    out.put_u8(0xff);
    out.put_u32(u32::try_from(part.len()).unwrap());
    out.put_u32(u32::try_from(len).unwrap());
    out.put_u32(crc32fast::hash(part));
    out.extend_from_slice(part);
    out
}

#[test]
fn malformed_fragments_are_refused() {
    let part = message(100, 3);
    let whole = head(100, &part);
    assert_eq!(decode(&whole).unwrap(), [Bytes::from(part.clone())]);
    let mut tail = Vec::new();
    tail.put_u32(FRAGMENT_FLAG | 6);
    tail.put_u8(0xfe);
    tail.put_u32(1);
    tail.put_u8(1);
    let open = head(200, &part);
    let cases = [
        (tail.clone(), FragmentError::OutOfOrder),
        ([&open[..], &open].concat(), FragmentError::OutOfOrder),
        (head(99, &part), FragmentError::Malformed),
        (head(100, &[]), FragmentError::Malformed),
        (
            head(LARGEST + 1, &part),
            FragmentError::TooLong { bytes: LARGEST + 1 },
        ),
        ([head(101, &part), tail].concat(), FragmentError::Checksum),
        (vec![0x80, 0, 0, 0], FragmentError::Malformed),
        (vec![0x80, 1, 0, 0], FragmentError::Malformed),
        (vec![0, 0, 0, 0], FragmentError::NotMessage),
        (
            vec![0x04, 0, 0, 1],
            FragmentError::TooLong { bytes: LARGEST + 1 },
        ),
    ];
    for (bytes, error) in cases {
        let shown = bytes[..bytes.len().min(20)].to_vec();
        assert_eq!(decode(&bytes), Err(error), "{shown:?}");
    }
}

/// A queue of messages: each with its priority and length.
fn messages() -> impl Strategy<Value = Vec<(bool, usize, u8)>> {
    let len = prop_oneof![
        4 => 1_usize..200,
        2 => 1_usize..70_000,
        1 => 1_usize..300_000,
        1 => Just(FRAGMENT),
        1 => Just(FRAGMENT + 1),
        1 => Just(2 * FRAGMENT),
    ];
    prop::collection::vec((any::<bool>(), len, any::<u8>()), 1..20)
}

fn priority(urgent: bool) -> Priority {
    if urgent {
        Priority::Urgent
    } else {
        Priority::Bulk
    }
}

/// Runs on one worker.
fn runs(count: u32) -> Vec<(TaskId, RunId)> {
    let run = |index| {
        let task = TaskId {
            job: JobId(u64::MAX),
            step: 9,
            index,
        };
        (task, RunId(u64::MAX))
    };
    (0..count).map(run).collect()
}

/// The sizes on the page on links: messages that grow with the deployment, at 300 machines with 64
/// runs each, nine control instances and 600 routes. All but the configuration fit into a fragment.
#[test]
fn messages_stay_short_at_three_hundred_machines() {
    let server = Server {
        life: u64::MAX,
        id: "core-loom-a-300/server".to_owned(),
        service: "a-service-name".to_owned(),
        data_centre: "data-centre-a".to_owned(),
        capacity: Resources {
            cpu: 64_000,
            memory: 512_000,
            gpu: 8,
        },
        labels: vec!["a-kind".to_owned(), "a-rack".to_owned()],
        leaving: false,
    };
    let settings = QueueSettings {
        service: "a-service-name".to_owned(),
        priority: 100,
        attempts: 100,
        slack: 1_000,
        target: Millis(60_000),
    };
    let queues = (0..600).map(|number| Queue {
        name: format!("a-queue-name-{number}"),
        host: "a-host-name.example".to_owned(),
        prefix: format!("/a-path/another/{number}/"),
        settings: settings.clone(),
    });
    let config = OperatorConfig {
        version: 1_000,
        queues: queues.collect(),
        unguarded: vec!["a-service-name".to_owned()],
        document: Vec::new(),
    };
    let end = |(task, run)| RunEnd {
        task,
        run,
        outcome: RunOutcome::Done,
    };
    let ends: Vec<_> = runs(64)
        .into_iter()
        .map(|run| (u64::MAX, end(run)))
        .collect();
    let progress = runs(64).into_iter().map(|(task, run)| (task, run, 100));
    let report = |report| postcard::to_stdvec(&InitiatorMessage::Report(report)).unwrap();
    let accepted = |message| postcard::to_stdvec::<AcceptorMessage>(&message).unwrap();
    let status = AcceptorMessage::Status {
        leads: true,
        term: Term(u64::MAX),
        members: vec![u64::MAX; 9],
    };
    let welcome = AcceptorMessage::Welcome {
        life: u64::MAX,
        runs: runs(64),
    };
    let inventory = AgentReport::Inventory {
        epoch: u64::MAX,
        server: Some(server),
        runs: runs(64),
    };
    let crashed = AgentReport::Crashed {
        life: u64::MAX,
        runs: runs(64),
        unanswered: runs(64),
    };
    let ends = AgentReport::Ends {
        life: u64::MAX,
        ends,
    };
    let sizes = [
        ("Status", accepted(status).len()),
        (
            "Entries",
            accepted(AcceptorMessage::Entries(vec![u64::MAX; 300])).len(),
        ),
        ("Welcome", accepted(welcome).len()),
        ("Inventory", report(inventory).len()),
        ("Ends", report(ends).len()),
        (
            "Progress",
            report(AgentReport::Progress(progress.collect())).len(),
        ),
        ("Crashed", report(crashed).len()),
    ];
    for (kind, size) in sizes {
        println!("{kind} {size}");
        assert!(size <= FRAGMENT / 4, "{kind} has {size} bytes");
    }
    let size = accepted(AcceptorMessage::Config(Arc::new(config))).len();
    println!("Config {size}");
    assert!(size <= 2 * FRAGMENT, "Config has {size} bytes");
}

proptest! {
    #![proptest_config(Config { cases: 128, rng_seed: RngSeed::Fixed(32), ..Config::default() })]

    /// However messages are queued between writes, and however the bytes are split, all arrive once
    /// and whole, and those of one priority in their order.
    #[test]
    fn every_message_arrives_once_and_in_order(
        queue in messages(),
        fills in prop::collection::vec(0_usize..4, 1..20),
        splits in prop::collection::vec(1_usize..50_000, 1..20),
    ) {
        let mut encoder = encoder();
        let mut bytes = Vec::new();
        let mut sent = [Vec::new(), Vec::new()];
        for (at, (urgent, len, seed)) in queue.iter().enumerate() {
            // The first byte tells the priorities apart.
            let mut body = message(*len, *seed);
            body[0] = u8::from(*urgent);
            sent[usize::from(*urgent)].push(body.clone());
            encoder.push(priority(*urgent), body).unwrap();
            for _ in 0..fills[at % fills.len()] {
                encoder.fill(&mut bytes);
            }
        }
        bytes.extend(drain(&mut encoder));
        prop_assert_eq!((encoder.bytes(), encoder.len()), (0, 0));
        let mut decoder = MessageDecoder::default();
        let mut arrived = [Vec::new(), Vec::new()];
        let mut rest = &bytes[..];
        let mut turn = 0;
        while !rest.is_empty() {
            let (part, tail) = rest.split_at(splits[turn % splits.len()].min(rest.len()));
            decoder.extend(part);
            rest = tail;
            turn += 1;
            while let Some(message) = decoder.next_message().unwrap() {
                arrived[usize::from(message[0])].push(message.to_vec());
            }
        }
        prop_assert!(decoder.is_empty());
        prop_assert_eq!(arrived, sent);
    }

    /// A stream that is cut off yields the first of its messages, and nothing else.
    #[test]
    fn a_truncated_stream_yields_only_whole_messages(queue in messages(), cut in any::<prop::sample::Index>()) {
        let mut encoder = encoder();
        for (urgent, len, seed) in queue {
            encoder.push(priority(urgent), message(len, seed)).unwrap();
        }
        let bytes = drain(&mut encoder);
        let whole = decode(&bytes).unwrap();
        let truncated = decode(&bytes[..cut.index(bytes.len())]).unwrap();
        prop_assert!(truncated.len() < whole.len());
        prop_assert_eq!(&truncated, &whole[..truncated.len()]);
    }

    /// Damage to the headers of fragments, or to a fragment, ends in an error or in a wait for more
    /// bytes, and never in a message that was not sent.
    #[test]
    fn a_damaged_fragment_yields_no_message(
        len in FRAGMENT + 1..5 * FRAGMENT,
        seed in any::<u8>(),
        fragment in any::<prop::sample::Index>(),
        at in 0_usize..20,
        damage in 1_u8..=255,
    ) {
        let mut encoder = encoder();
        encoder.push(Priority::Bulk, message(len, seed)).unwrap();
        let mut bytes = Vec::new();
        let mut starts = Vec::new();
        loop {
            starts.push(bytes.len());
            if !encoder.fill(&mut bytes) {
                break;
            }
        }
        starts.pop();
        let at = (fragment.get(&starts) + at).min(bytes.len() - 1);
        bytes[at] ^= damage;
        let mut decoder = MessageDecoder::default();
        decoder.extend(&bytes);
        prop_assert!(!matches!(decoder.next_message(), Ok(Some(_))));
    }

    /// Bytes of any kind end in messages or an error, and never in a panic.
    #[test]
    fn any_bytes_are_decoded_or_refused(
        prefix in prop_oneof![Just(vec![]), Just(vec![0x80, 0]), Just(vec![0x80, 0, 0])],
        bytes in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        let _ = decode(&[prefix, bytes].concat());
    }
}
