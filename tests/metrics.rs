//! What a node exports: every counter from the start, and what control costs.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use mulberrycourse::client::CallerClient;
use mulberrycourse::edge::http::{JsonClient, empty_body, read_body};
use mulberrycourse::error::Kind;
use mulberrycourse::metrics::{
    ControlPurpose, ControlTask, Metrics, PlatformPurpose, RetryReason, StateKind,
};
use mulberrycourse::node::Node;
use standins::engine::EngineSettings;
use standins::fleet::Fleet;

const POLL: Duration = Duration::from_millis(5);

async fn text(at: std::net::SocketAddr, path: &str) -> (StatusCode, Bytes) {
    let request = Request::get(format!("http://{at}{path}")).body(empty_body()).unwrap();
    let response = JsonClient::default().send(at, request).await.unwrap();
    (response.status(), read_body(response.into_body(), 1 << 20).await.unwrap())
}

/// The value of a series.
fn value(text: &str, series: &str) -> f64 {
    let line = text.lines().find_map(|l| l.strip_prefix(series)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {series} in\n{text}")).parse().unwrap()
}

/// Each refusal and retry reason is there at 0 before it first happens.
#[test]
fn every_series_is_there_at_zero() {
    let text = Metrics::default().text_format();
    for kind in Kind::ALL {
        assert_eq!(value(&text, &format!("mulberry_refusals_total{{kind=\"{kind}\"}}")), 0.0);
    }
    for reason in RetryReason::ALL {
        let series = format!("mulberry_retries_total{{reason=\"{reason:?}\"}}");
        assert_eq!(value(&text, &series), 0.0);
    }
    for purpose in PlatformPurpose::ALL {
        let series = format!("mulberry_platform_calls_total{{purpose=\"{purpose:?}\"}}");
        assert_eq!(value(&text, &series), 0.0);
    }
    for purpose in ControlPurpose::ALL {
        for way in ["In", "Out"] {
            let labels = format!("{{purpose=\"{purpose:?}\",way=\"{way}\"}}");
            assert_eq!(value(&text, &format!("mulberry_control_bytes_total{labels}")), 0.0);
            assert_eq!(value(&text, &format!("mulberry_control_messages_total{labels}")), 0.0);
        }
    }
    for task in ControlTask::ALL {
        let series = format!("mulberry_control_seconds_total{{task=\"{task:?}\"}}");
        assert_eq!(value(&text, &series), 0.0);
    }
    for kind in StateKind::ALL {
        assert_eq!(value(&text, &format!("mulberry_state_entries{{kind=\"{kind:?}\"}}")), 0.0);
    }
    assert!(value(&text, "mulberry_resident_bytes") > 1e6);
    assert!(value(&text, "mulberry_processor_seconds_total") >= 0.0);
}

/// A running node counts what it does: platform calls, control traffic both ways, state,
/// and the refusal that it just gave.
#[tokio::test(flavor = "multi_thread")]
async fn a_running_node_counts() {
    let fleet = Fleet::spawn(2, 2, EngineSettings::default()).await.unwrap();
    let caller = CallerClient::new("shop".into(), fleet.client_addresses());
    caller.call("nowhere", "/", "", None, Duration::from_secs(5)).await.unwrap_err();
    let mut refusals = 0.0;
    for node in &fleet.nodes {
        let (status, bytes) = text(node.admin_address(), "/metrics").await;
        assert_eq!(status, 200);
        let text = String::from_utf8(bytes.to_vec()).unwrap();
        for purpose in ["Bundle", "Vms", "Node"] {
            let series = format!("mulberry_platform_calls_total{{purpose=\"{purpose}\"}}");
            assert!(value(&text, &series) >= 1.0, "{purpose}");
        }
        for purpose in ["Platform", "Hello"] {
            for way in ["In", "Out"] {
                let labels = format!("{{purpose=\"{purpose}\",way=\"{way}\"}}");
                assert!(value(&text, &format!("mulberry_control_bytes_total{labels}")) > 0.0);
            }
        }
        assert_eq!(value(&text, "mulberry_state_entries{kind=\"Member\"}"), 1.0);
        assert_eq!(value(&text, "mulberry_state_entries{kind=\"Upstream\"}"), 6.0);
        assert_eq!(value(&text, "mulberry_bundle_number"), 1.0);
        refusals += value(&text, "mulberry_refusals_total{kind=\"unknown_service\"}");
    }
    assert_eq!(refusals, 1.0);
}

/// `/healthz` says that the process answers, `/readyz` whether it takes work.
#[tokio::test(flavor = "multi_thread")]
async fn health_and_readiness() {
    let fleet = Fleet::spawn(0, 1, EngineSettings::default()).await.unwrap();
    let mut settings = fleet.settings(0);
    settings.drain.address_ttl = Duration::from_secs(600);
    let node = Node::spawn(settings).await.unwrap();
    let admin = node.admin_address();
    assert_eq!(text(admin, "/healthz").await, (StatusCode::OK, "ok\n".into()));
    let serving = (StatusCode::OK, Bytes::from("serving\n"));
    while text(admin, "/readyz").await != serving {
        tokio::time::sleep(POLL).await;
    }
    let draining = (StatusCode::SERVICE_UNAVAILABLE, Bytes::from("draining\n"));
    let drain = async {
        while text(admin, "/readyz").await != draining {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::select! {
        _ = node.stop() => panic!("it stopped before callers forgot it"),
        () = drain => {}
    }
}
