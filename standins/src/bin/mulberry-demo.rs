//! Runs the complete service in one process with stand-ins around it. It prints what callers and
//! the trainer receive, and fails if anything is missing or incomplete.

use std::process::ExitCode;
use std::time::Duration;

use mulberrycourse::client::{CallerClient, TrainerClient};
use mulberrycourse::decide::{GroupSpec, StepSpec};
use standins::caller::{completion_request, expected_text};
use standins::engine::EngineSettings;
use standins::fleet::{Fleet, bundle_text};

/// Time limit of the whole demo.
const DEMO_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

type BoxError = Box<dyn std::error::Error + Send + Sync>;

#[tokio::main]
#[allow(clippy::print_stdout, clippy::print_stderr)]
async fn main() -> ExitCode {
    match tokio::time::timeout(DEMO_TIMEOUT, run()).await {
        Ok(Ok(())) => {
            println!("all of it was whole");
            ExitCode::SUCCESS
        }
        Ok(Err(e)) => {
            eprintln!("mulberry-demo: {e}");
            ExitCode::FAILURE
        }
        Err(_) => {
            eprintln!("mulberry-demo: did not finish within {DEMO_TIMEOUT:?}");
            ExitCode::FAILURE
        }
    }
}

#[allow(clippy::print_stdout)]
async fn run() -> Result<(), BoxError> {
    let settings =
        EngineSettings { token_time: Duration::from_millis(20), ..EngineSettings::default() };
    let fleet = Fleet::spawn(3, 4, settings).await?;
    println!("3 nodes serve bundle 1, with 4 engines and 2 plain services");
    let shop = CallerClient::new("shop".into(), fleet.client_addresses());
    let answer = shop.call("stock", "/items/7", "", None, CALL_TIMEOUT).await?;
    check(
        answer.body == "ran /items/7 ",
        "the answer of the stock lookup is incomplete".to_owned(),
    )?;
    println!("shop, stock lookup: {}", String::from_utf8_lossy(&answer.body));
    let sync = shop.call("sync", "/count", "7 wands", Some("sync-1"), CALL_TIMEOUT).await?;
    println!("shop, inventory sync: {}", String::from_utf8_lossy(&sync.body));
    let ran: usize = fleet.sync.iter().map(|p| p.ledger().len()).sum();
    check(ran == 1, format!("the sync ran {ran} times"))?;

    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let prompt = |g| GroupSpec { prompt: format!("force card {g}"), samples: 4, max_tokens: 64 };
    let spec = StepSpec { version: 1, groups: (0..8).map(prompt).collect() };
    let request = completion_request("patter for a double lift", 7, 96);
    let step = trainer.run_step(1, &spec);
    let session = shop.stream(&request, CALL_TIMEOUT);
    let change = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.apply_bundle(2, &bundle_text(2, 2)).await
    };
    let (step, session, change) = tokio::join!(step, session, change);
    change?;
    let session = session?;
    check(
        session.body == expected_text(&request),
        "the answer of the session is incomplete".to_owned(),
    )?;
    let tokens = String::from_utf8_lossy(&session.body).split_whitespace().count();
    println!("shop, session: {tokens} tokens, whole, over a change of weights");

    let report = step?;
    let samples: Vec<_> = report.groups.values().flat_map(|g| &g.samples).collect();
    let mixed = samples.iter().filter(|s| s.label.len() > 1).count();
    check(samples.len() == 32, format!("the step has {} of 32 samples", samples.len()))?;
    check(report.duplicates == 0, format!("{} groups were received twice", report.duplicates))?;
    println!("trainer, step 1: 8 groups, 32 samples, {mixed} made by two weight versions");
    for sample in &samples {
        let made = sample.text.split_whitespace().count();
        let named: u32 = sample.label.iter().map(|s| s.to - s.from).sum();
        let message = format!("a label names {named} of {made} tokens");
        check(made > 0 && named as usize == made, message)?;
    }
    let longest = samples.iter().max_by_key(|s| s.label.len());
    if let Some(sample) = longest {
        println!("one label: {:?}", sample.label);
    }
    fleet.wait_until_settled(2).await;
    while !fleet.engines.iter().all(|e| e.version() == Some(2)) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!("3 nodes serve bundle 2, and 4 engines serve weight version 2");
    for node in &fleet.nodes {
        check(node.stop().await, "a node aborted a request when it stopped".to_owned())?;
    }
    println!("3 nodes stopped gracefully");
    Ok(())
}

/// Fails with `message` unless the condition holds.
fn check(condition: bool, message: String) -> Result<(), BoxError> {
    if condition { Ok(()) } else { Err(message.into()) }
}
