//! Settings and bundles in INI: every sample in etc/ reads, and every mistake is named
//! with file, section and key.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::Command;

use mulberrycourse::bundle::Bundle;
use mulberrycourse::settings::{Document, Settings};

fn samples() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("etc");
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path()).collect();
    files.sort();
    files
}

fn sample() -> String {
    std::fs::read_to_string(&samples()[3]).unwrap()
}

fn wrong(text: &str) -> String {
    let read = Document::parse("node.ini", text).and_then(|doc| Settings::read(&doc));
    read.unwrap_err().to_string()
}

#[test]
fn every_sample_reads() {
    let files = samples();
    assert_eq!(files.len(), 4);
    for file in files {
        let name = file.file_name().unwrap().to_str().unwrap().to_owned();
        let text = std::fs::read_to_string(&file).unwrap();
        if name.starts_with("bundle") {
            Bundle::parse(&name, &text).unwrap();
        } else {
            Settings::open(&file).unwrap();
        }
    }
}

/// What is changed in the sample, and the error that has to come of it.
#[test]
fn mistakes_are_named() {
    let text = sample();
    let cases = [
        ("name = entry-1", "nmae = entry-1", "node.ini: [node] name is missing"),
        ("zone = gloshaugen", "", "node.ini: [node] zone is missing"),
        ("zone = gloshaugen", "zone = a\nzoen = b", "node.ini: [node] zoen is unknown"),
        ("[drain]", "[darin]", "node.ini: section [darin] is unknown"),
        ("[platform]\n", "[platfrom]\n", "node.ini: section [platfrom] is unknown"),
        ("timeout = 2s", "timeout = 2", "[platform] timeout = 2: time unit needed"),
        (
            "timeout = 2s",
            "timeout = 2 parsecs",
            "[platform] timeout = 2 parsecs: unknown time unit",
        ),
        ("timeout = 2s", "timeout = 0s", "[platform] timeout = 0ns: expected more than 0s"),
        (
            "address = 127.0.0.1:7000",
            "address = platform:7000",
            "[platform] address = platform:7000",
        ),
        ("callers = 127.0.0.1:7101", "callers = 127.0.0.1", "[node] callers = 127.0.0.1: invalid"),
        ("callers = 127.0.0.1:7101", "callers = 0.0.0.0:7101", "[node] callers = 0.0.0.0:7101"),
        ("admin = 127.0.0.1:7301", "admin = 127.0.0.1:7201", "the port is already used by peers"),
        ("admin = 127.0.0.1:7301", "admin = 0.0.0.0:7101", "the port is already used by callers"),
        ("level = info", "level = inof", "[log] level = inof: \"inof\" is none of"),
        ("most = 2048", "most = 0", "[connections] most = 0: expected 1 to 100000"),
        ("most = 2048", "most = many", "[connections] most = many: invalid digit"),
        ("ben = 8", "ben = x", "[operators] ben = x"),
    ];
    for (good, bad, error) in cases {
        assert!(text.contains(good), "{good}");
        let seen = wrong(&text.replacen(good, bad, 1));
        assert!(seen.contains(error), "{bad}: {seen}");
        assert!(seen.starts_with("node.ini:"), "{seen}");
    }
}

/// Nothing that operators wrote is altered, joined or dropped without a word.
#[test]
fn dialects_are_errors() {
    let text = sample();
    let line = |bad: &str| wrong(&text.replacen("zone = gloshaugen", bad, 1));
    assert!(line("zone = a\nzone = b").contains("[node] zone is defined twice"));
    assert!(line("zone = a\n[node]").contains("section [node] is defined twice"));
    assert!(line("zone = a ; the first").contains("zone: a comment must be on a line of its own"));
    assert!(line("zone = # none").contains("zone: a comment must be on a line of its own"));
    assert!(line("zone = a\\").contains("can't continue on the next"));
    assert!(line("zone = a\nregion").contains("[node]: expected KEY = VALUE"));
    assert!(line("zone = a\n  region").contains("[node]: expected KEY = VALUE"));
    assert!(line("zone = a\n  ; indented").contains("[node]: expected KEY = VALUE"));
    assert!(line("zone: a").contains("[node]: expected KEY = VALUE"));
    assert!(line("zone = a\u{7}").contains("control characters are not allowed"));
    assert!(wrong(&format!("loose = 1\n{text}")).contains("key loose is before the first section"));
    assert!(wrong(&text.replacen("[drain]", "[drain", 1)).contains("after the section's ]"));
    let error = line("zone = a\nzone = b");
    assert!(error.starts_with("node.ini:11: "), "{error}");
}

/// Quotes, backslashes, `;` and `#` inside a word are text.
#[test]
fn values_are_literal() {
    for value in [r"C:\new\table", r#""quoted""#, "it's", "a;b", "a#b", "a = b", "ø"] {
        let text = sample().replacen("zone = gloshaugen", &format!("zone = {value}"), 1);
        let settings = Settings::read(&Document::parse("node.ini", &text).unwrap()).unwrap();
        assert_eq!(&*settings.node.zone, value);
    }
}

/// One person under two names could sign off alone.
#[test]
fn operators_have_keys_of_their_own() {
    let text = sample();
    let ada = text.lines().find_map(|l| l.strip_prefix("ada = ")).unwrap();
    let ben = text.lines().find_map(|l| l.strip_prefix("ben = ")).unwrap();
    let seen = wrong(&text.replace(ben, ada));
    assert!(seen.contains("[operators] ben") && seen.contains("ada has the same key"), "{seen}");
    let seen = wrong(&text.replace(&format!("ben = {ben}"), ""));
    assert!(seen.contains("[operators] has 1 entries; at least 2 are needed"), "{seen}");
}

/// `mulberryd check` and `run` say what is wrong before anything binds.
#[test]
fn the_daemon_checks_first() {
    let folder = std::env::temp_dir().join(format!("mulberry-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("node.ini");
    std::fs::write(&path, sample().replacen("timeout = 2s", "timeout = 2", 1)).unwrap();
    for command in ["check", "run"] {
        let done = Command::new(env!("CARGO_BIN_EXE_mulberryd"))
            .args([command, path.to_str().unwrap()])
            .output()
            .unwrap();
        assert_eq!(done.status.code(), Some(2));
        let error = String::from_utf8(done.stderr).unwrap();
        assert!(error.contains("node.ini: [platform] timeout = 2: time unit needed"), "{error}");
        assert!(!error.contains("event=listening"), "{error}");
    }
    let good = &samples()[3];
    let done = Command::new(env!("CARGO_BIN_EXE_mulberryd")).arg("check").arg(good).output();
    assert!(done.unwrap().status.success());
    std::fs::remove_dir_all(&folder).unwrap();
}
