//! Calls to an entry without a control group.

use std::future::{Future, poll_fn};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::task::Poll;
use std::time::Duration;

use fulmardrift::{Call, CallAge, EntryNode, EntryNodeConfig, Millis, Times};

/// More calls than wait in an entry's queue of events.
const CALLS: usize = 5_000;
/// Time that a caller allows; no call reaches it.
const WAIT: Millis = Millis(3_600_000);

/// Guards against calls that stay open although their callers have left: the notice of that found the
/// entry's queue full.
#[test]
fn a_caller_that_leaves_while_the_queue_is_full_leaves_no_open_call() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(tokio::task::unconstrained(async {
        let cfg = EntryNodeConfig {
            name: "entry".to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
            bind_ip: None,
            seeds: Vec::new(),
            times: Times::default(),
        };
        let node = EntryNode::start(cfg).await.unwrap();
        let mut calls: Vec<_> = (0..CALLS)
            .map(|_| Box::pin(node.call(Call::GetConfig, CallAge::default(), WAIT)))
            .collect();
        // The entry does not run meanwhile, as there is one thread.
        poll_fn(|cx| {
            for call in &mut calls {
                assert!(call.as_mut().poll(cx).is_pending());
            }
            Poll::Ready(())
        })
        .await;
        drop(calls);
        // Answered after all that were queued before it.
        let mut last = Box::pin(node.call(Call::GetConfig, CallAge::default(), WAIT));
        let mut max_open = 0;
        loop {
            let step = tokio::time::timeout(Duration::from_millis(5), &mut last);
            if step.await.is_ok() {
                break;
            }
            max_open = max_open.max(node.open_calls());
        }
        assert_eq!(max_open, 1);
    }));
}
