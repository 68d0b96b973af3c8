//! Tests that the trainer client drops the invalid groups that a node returns.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use mulberrycourse::client::TrainerClient;
use mulberrycourse::decide::{Group, GroupSpec, Sample, Span, StepSpec};
use mulberrycourse::edge::http::read_body;
use mulberrycourse::node::{PullGroupsRequest, PullGroupsResponse};
use serde_json::json;
use standins::fleet::ANY_PORT;
use standins::server::{ConnectionCut, Server, Service, ServiceResult, json_response};

/// A node that returns one group for each pull, regardless of the groups that the trainer has.
struct Node {
    /// The groups that successive pulls return; the last one is repeated.
    pulls: Vec<Group>,
    pull_count: AtomicU64,
    address: std::sync::OnceLock<std::net::SocketAddr>,
}

impl Service for Node {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> ServiceResult {
        let path = request.uri().path().to_owned();
        if path == "/v1/addresses" {
            let addresses = self.address.get().into_iter().collect::<Vec<_>>();
            return json_response(
                StatusCode::OK,
                &json!({ "addresses": addresses, "ttl_ms": 60_000 }),
            );
        }
        let body = read_body(request.into_body(), 1 << 20).await.map_err(|_| ConnectionCut)?;
        if !path.ends_with("/pull") {
            return json_response(StatusCode::OK, &json!({}));
        }
        let pull: PullGroupsRequest = serde_json::from_slice(&body).map_err(|_| ConnectionCut)?;
        let index = self.pull_count.fetch_add(1, Ordering::Relaxed) as usize;
        let group = self.pulls[index.min(self.pulls.len() - 1)].clone();
        let response = PullGroupsResponse {
            groups: vec![group],
            complete: pull.delivered.below(2).count() == 2,
            staleness_bound: 1,
            draining: false,
            partial_groups: Vec::new(),
        };
        json_response(StatusCode::OK, &response)
    }
}

fn group(number: u32, versions: &[u64]) -> Group {
    let sample = |(index, version): (u32, &u64)| Sample {
        index,
        text: "ace".to_owned(),
        label: vec![Span { version: *version, from: 0, to: 1 }],
        upstream: "patter-0".into(),
    };
    Group { group: number, samples: (0..).zip(versions).map(sample).collect() }
}

/// The trainer's version advances while the reply is in transit, a group arrives with a sample
/// missing, and one arrives twice: each is dropped and counted, and complete fresh groups are
/// kept.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_groups_are_dropped_and_counted() {
    let pulls = vec![
        group(0, &[5, 3]),
        group(0, &[5]),
        group(7, &[5, 5]),
        group(0, &[5, 4]),
        group(0, &[4, 4]),
        group(1, &[5, 5]),
    ];
    let node = Arc::new(Node { pulls, pull_count: AtomicU64::new(0), address: Default::default() });
    let server = Server::bind(ANY_PORT, node.clone()).await.unwrap();
    node.address.set(server.address()).unwrap();
    let trainer = TrainerClient::new("coach".into(), vec![server.address()]);
    let group_spec = GroupSpec { prompt: "deal".to_owned(), samples: 2, max_tokens: 1 };
    let spec = StepSpec { version: 4, groups: vec![group_spec; 2] };
    trainer.set_version(5);
    let mut pull = trainer.resume_step(1, &spec, BTreeMap::new());
    assert_eq!(pull.next_groups().await.unwrap(), [group(0, &[5, 4])]);
    assert_eq!(pull.next_groups().await.unwrap(), [group(1, &[5, 5])]);
    assert_eq!(pull.next_groups().await.unwrap(), []);
    let report = pull.report();
    assert_eq!((report.stale, report.incomplete, report.duplicates), (1, 2, 2));
    assert_eq!(report.groups[&0], group(0, &[5, 4]));
}
