//! Planned stops cut off nothing.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use mulberrycourse::client::Caller;
use standins::caller::{completion, expected};
use standins::engine::EngineSettings;
use standins::fleet::Fleet;

const WAIT: Duration = Duration::from_secs(20);

/// All nodes are replaced one after the other while callers call and stream without a
/// pause: each stop finishes what was in flight, and every call gets its whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_cuts_off_nothing() {
    let mut fleet = Fleet::spawn(3, 2, EngineSettings::default()).await.unwrap();
    let over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    for index in 0..6_u64 {
        let shop = Caller::new("shop".into(), fleet.callers());
        let (over, answered) = (over.clone(), answered.clone());
        callers.push(tokio::spawn(async move {
            while !over.load(Ordering::Relaxed) {
                if index % 2 == 0 {
                    shop.call("stock", "/items/1", "", None, WAIT).await.unwrap();
                } else {
                    let request = completion("patter", index, 32);
                    let answer = shop.stream(&request, WAIT).await.unwrap();
                    assert_eq!(answer.body, expected(&request));
                }
                answered.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    for index in 3..6 {
        let next = fleet.start_node(index).await.unwrap();
        fleet.nodes.push(next);
        fleet.settled(1).await;
        let old = fleet.nodes.remove(0);
        let before = answered.load(Ordering::Relaxed);
        let finished = old.stop().await;
        assert!(finished);
        // The load went on over the stop.
        while answered.load(Ordering::Relaxed) <= before {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
}
