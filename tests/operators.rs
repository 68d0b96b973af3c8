//! Tests of the operators' command line: exit statuses, JSON output, lost replies and concurrent
//! operators.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use mulberrycourse::bundle::BundleError;
use mulberrycourse::cli::{BundleStore, CommandError, ErrorReport, RolloutProgress, commands};
use standins::engine::EngineSettings;
use standins::fleet::{Fleet, bundle_text};
use standins::platform::Faults;

/// A folder with key files, settings and bundles. It is removed when dropped.
struct OperatorFolder {
    folder: PathBuf,
    platform: String,
}

impl OperatorFolder {
    fn new(name: &str, fleet: &Fleet) -> Self {
        let folder = std::env::temp_dir().join(format!("mulberry-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut operators = "[operators]\n".to_owned();
        for (name, key) in fleet.signers.keys() {
            std::fs::write(folder.join(&**name), hex::encode(key.to_bytes())).unwrap();
            let public = hex::encode(key.verifying_key().to_bytes());
            operators.push_str(&format!("{name} = {public}\n"));
        }
        std::fs::write(folder.join("operators.ini"), operators).unwrap();
        std::fs::write(folder.join("eve"), hex::encode([9; 32])).unwrap();
        Self { folder, platform: fleet.platform.address().to_string() }
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn bundle(&self, name: &str, text: &str) -> String {
        std::fs::write(self.folder.join(name), text).unwrap();
        self.path(name)
    }

    fn propose(&self, file: &str, operator: &str) -> Output {
        let key = self.path(operator);
        self.run(&["bundle", "propose", file, "--operator", operator, "--key", &key])
    }

    fn sign(&self, number: &str, operator: &str, key: &str) -> Output {
        let key = self.path(key);
        self.run(&["bundle", "sign-off", number, "--operator", operator, "--key", &key])
    }

    fn apply(&self, number: &str) -> Output {
        self.run(&["bundle", "apply", number, "--operators", &self.path("operators.ini")])
    }

    fn run(&self, args: &[&str]) -> Output {
        mulberryctl(&[args, &["--output", "json", "--platform", &self.platform]].concat())
    }
}

impl Drop for OperatorFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn mulberryctl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mulberryctl")).args(args).output().unwrap()
}

fn status(output: &Output) -> Option<i32> {
    output.status.code()
}

fn failure(output: &Output) -> ErrorReport {
    let report: ErrorReport = serde_json::from_slice(&output.stderr).unwrap();
    assert_eq!(status(output), Some(i32::from(report.status)));
    report
}

fn stdout(output: &Output) -> String {
    assert_eq!(status(output), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// A bundle is proposed, signed off, applied and rolled out to every engine. Each command that is
/// refused has its exit status.
#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_goes_its_way() {
    let fleet = Fleet::spawn(2, 2, EngineSettings::default()).await.unwrap();
    let operator = OperatorFolder::new("way", &fleet);
    let two = operator.bundle("two.ini", &bundle_text(2, 7));
    assert!(stdout(&operator.propose(&two, "ada")).contains("\"number\": 2"));
    // Proposing it again changes nothing.
    stdout(&operator.propose(&two, "ada"));

    let few = failure(&operator.apply("2"));
    assert_eq!((&*few.error, few.status), ("rejected", 3));
    assert!(few.message.contains("1 of 2 operators"), "{}", few.message);
    // The author's second sign-off counts once.
    stdout(&operator.sign("2", "ada", "ada"));
    assert_eq!(failure(&operator.apply("2")).status, 3);
    stdout(&operator.sign("2", "ben", "ben"));
    stdout(&operator.apply("2"));
    // Applying it again succeeds, because it is already active.
    stdout(&operator.apply("2"));

    let node = fleet.nodes[0].admin_address().to_string();
    let done = mulberryctl(&["rollout", "--node", &node, "--number", "2", "--output", "json"]);
    let rollout: RolloutProgress = serde_json::from_str(&stdout(&done)).unwrap();
    assert_eq!((rollout.nodes, rollout.engines, rollout.all_engines), (2, 2, 2));
    assert!(fleet.engines.iter().all(|e| e.version() == Some(7)));
    let late = mulberryctl(&["rollout", "--node", &node, "--number", "3", "--wait", "0s"]);
    assert_eq!(status(&late), Some(8));

    assert!(stdout(&operator.run(&["bundle", "show"])).contains("\"number\": 2"));
    assert!(stdout(&operator.run(&["bundle", "history"])).contains("\"number\": 1"));
    let three = operator.bundle("three.ini", &bundle_text(3, 8));
    stdout(&operator.propose(&three, "ben"));
    let diff: String =
        serde_json::from_str(&stdout(&operator.run(&["bundle", "diff", "3"]))).unwrap();
    assert!(diff.contains("-version = 7\n+version = 8\n"), "{diff}");
    assert!(!diff.contains("[caller shop]"), "{diff}");
}

/// Refused are a lower number, a forged sign-off, a sign-off of someone who is no operator, a
/// bundle that does not parse, a bundle that does not exist, and any command while the platform is
/// down.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_have_their_status() {
    let fleet = Fleet::spawn(0, 1, EngineSettings::default()).await.unwrap();
    let operator = OperatorFolder::new("refused", &fleet);
    fleet.apply_bundle(5, &bundle_text(5, 1)).await.unwrap();
    let low = operator.bundle("low.ini", &bundle_text(4, 1));
    stdout(&operator.propose(&low, "ada"));
    stdout(&operator.sign("4", "ben", "ben"));
    let lower = failure(&operator.apply("4"));
    assert_eq!(lower.status, 3);
    assert!(
        lower.message.contains("bundle 5 is active; bundle 4 is not later"),
        "{}",
        lower.message
    );

    let high = operator.bundle("high.ini", &bundle_text(6, 1));
    stdout(&operator.propose(&high, "ada"));
    stdout(&operator.sign("6", "ben", "eve"));
    let forged = failure(&operator.apply("6"));
    assert_eq!(forged.status, 3);
    assert!(
        forged.message.contains("signature of ben is not valid for this bundle"),
        "{}",
        forged.message
    );
    let next = operator.bundle("next.ini", &bundle_text(7, 1));
    stdout(&operator.propose(&next, "ada"));
    stdout(&operator.sign("7", "eve", "eve"));
    let stranger = failure(&operator.apply("7"));
    assert!(stranger.message.contains("eve is not an operator"), "{}", stranger.message);

    let bad = operator.bundle("bad.ini", "[bundle]\nnumber = six\n");
    let invalid = failure(&operator.propose(&bad, "ada"));
    assert_eq!((&*invalid.error, invalid.status), ("invalid", 2));
    assert!(invalid.message.contains("bad.ini: [bundle] number = six"), "{}", invalid.message);
    assert_eq!(failure(&operator.apply("9")).status, 5);
    assert_eq!(failure(&operator.propose("no/such/file", "ada")).status, 2);
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    assert_eq!(failure(&operator.run(&["bundle", "show"])).status, 6);
    fleet.platform.set_faults(Faults::default());
    assert!(stdout(&operator.run(&["bundle", "show"])).contains("\"number\": 5"));
}

/// Two operators propose the same number at the same time. One succeeds. The other gets the name of
/// the winner and the difference of the texts, and nothing of its proposal is stored.
#[tokio::test(flavor = "multi_thread")]
async fn operators_race() {
    let fleet = Fleet::spawn(0, 1, EngineSettings::default()).await.unwrap();
    let operator = OperatorFolder::new("race", &fleet);
    for number in 2..8 {
        let one = operator.bundle("one.ini", &bundle_text(number, 7));
        let other = operator.bundle("other.ini", &bundle_text(number, 8));
        let (first, second) = std::thread::scope(|scope| {
            let first = scope.spawn(|| operator.propose(&one, "ada"));
            let second = scope.spawn(|| operator.propose(&other, "ben"));
            (first.join().unwrap(), second.join().unwrap())
        });
        let (lost, winner, version) = match (status(&first), status(&second)) {
            (Some(0), Some(4)) => (second, "ada", 7),
            (Some(4), Some(0)) => (first, "ben", 8),
            both => panic!("{both:?}"),
        };
        let report = failure(&lost);
        assert_eq!((report.winner.as_deref(), report.number), (Some(winner), Some(number)));
        assert!(report.difference.unwrap().contains(&format!("-version = {version}\n")));
        let store = BundleStore::new(fleet.platform.address());
        let kept = store.proposed(number).await.unwrap().0.unwrap();
        assert_eq!(&*kept.author, winner);
        assert!(kept.text.contains(&format!("version = {version}\n")));
    }
}

/// Two operators sign off the same bundle at the same time: both sign-offs are stored.
#[tokio::test(flavor = "multi_thread")]
async fn sign_offs_race() {
    let fleet = Fleet::spawn(0, 1, EngineSettings::default()).await.unwrap();
    let [(ada, ada_key), (ben, ben_key)] = fleet.signers.keys();
    let store = BundleStore::new(fleet.platform.address());
    for number in 2..12 {
        let mut bare = fleet.signers.signed(number, &bundle_text(number, 1));
        bare.signatures.clear();
        store.propose(&bare, 0).await.unwrap();
        let (one, other) = tokio::join!(
            commands::sign_off(&store, number, ada.clone(), ada_key),
            commands::sign_off(&store, number, ben.clone(), ben_key),
        );
        one.unwrap();
        other.unwrap();
        commands::apply(&store, number, &fleet.signers.operators()).await.unwrap();
    }
}

/// The reply to a write is lost. The command finds out from the stored value that the write was
/// applied, also if another write has followed it. If the value can't be read either, the command
/// reports that the outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn lost_replies_are_settled() {
    let fleet = Fleet::spawn(0, 1, EngineSettings::default()).await.unwrap();
    let store = BundleStore::new(fleet.platform.address());
    let lose = |unreadable| {
        let faults = Faults { lose_replies: 1, unreadable, ..Faults::default() };
        fleet.platform.set_faults(faults);
    };
    let two = fleet.signers.signed(2, &bundle_text(2, 1));
    lose(false);
    store.propose(&two, 0).await.unwrap();
    lose(false);
    commands::apply(&store, 2, &fleet.signers.operators()).await.unwrap();
    assert_eq!(store.current().await.unwrap().0.unwrap().number, 2);

    let three = fleet.signers.signed(3, &bundle_text(3, 1));
    lose(true);
    let unsure = store.propose(&three, 0).await.unwrap_err();
    assert!(matches!(unsure, CommandError::OutcomeUnknown(_)), "{unsure}");
    assert_eq!(unsure.status(), 7);
    fleet.platform.set_faults(Faults::default());
    // The write was applied, and the same proposal made again succeeds.
    assert_eq!(store.proposed(3).await.unwrap().0, Some(three.clone()));
    let path = std::env::temp_dir().join(format!("mulberry-lost-{}.ini", std::process::id()));
    std::fs::write(&path, &three.text).unwrap();
    let (ada, key) = &fleet.signers.keys()[0];
    let again = commands::propose(&store, Path::new(&path), ada.clone(), key).await;
    std::fs::remove_file(&path).unwrap();
    assert_eq!(again.unwrap(), three);
}

/// A write that was refused is never reported as applied.
#[tokio::test(flavor = "multi_thread")]
async fn a_lower_bundle_is_refused() {
    let fleet = Fleet::spawn(0, 1, EngineSettings::default()).await.unwrap();
    let store = BundleStore::new(fleet.platform.address());
    fleet.apply_bundle(3, &bundle_text(3, 1)).await.unwrap();
    store.propose(&fleet.signers.signed(2, &bundle_text(2, 1)), 0).await.unwrap();
    let refused = commands::apply(&store, 2, &fleet.signers.operators()).await.unwrap_err();
    let lower = BundleError::NotLater { current: 3, offered: 2 }.to_string();
    assert_eq!(refused.to_string(), lower);
    assert_eq!(store.current().await.unwrap().0.unwrap().number, 3);
}

/// Shell completions and usage errors need no platform.
#[test]
fn completions_and_usage() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        assert!(stdout(&mulberryctl(&["completions", shell])).contains("sign-off"), "{shell}");
    }
    assert_eq!(status(&mulberryctl(&["bundle", "show", "--platform", "nowhere"])), Some(2));
    assert_eq!(status(&mulberryctl(&["frobnicate"])), Some(2));
}
