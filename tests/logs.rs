//! The daemon's log: one line of key=value pairs for each event.
#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};

use mulberrycourse::logs::shortened;

/// Splits a line into its pairs; panics if it is not made of pairs.
fn pairs(line: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=').unwrap_or_else(|| panic!("no pair: {line}"));
        assert!(!key.is_empty() && !key.contains([' ', '"']), "key {key:?} in {line}");
        let end = match after.strip_prefix('"') {
            None => after.find(' ').unwrap_or(after.len()),
            Some(quoted) => {
                let mut escaped = false;
                let close = quoted.char_indices().find(|(_, c)| {
                    let closes = *c == '"' && !escaped;
                    escaped = *c == '\\' && !escaped;
                    closes
                });
                close.unwrap_or_else(|| panic!("open quote: {line}")).0 + 2
            }
        };
        pairs.push((key.to_owned(), after[..end].trim_matches('"').to_owned()));
        rest = after[end..].trim_start();
    }
    pairs
}

/// A node without a platform logs that it listens, that the platform is silent, and a
/// refusal whose detail holds quotes and an equals sign.
#[test]
fn each_event_is_one_line_of_pairs() {
    let folder = std::env::temp_dir().join(format!("mulberry-logs-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let key = |byte| {
        let key = ed25519_dalek::SigningKey::from_bytes(&[byte; 32]);
        hex::encode(key.verifying_key().to_bytes())
    };
    let any = "127.0.0.1:0";
    let text = format!(
        "[node]\nname = a\nregion = r\nzone = z\ncallers = {any}\npeers = {any}\nadmin = {any}\n\
         [platform]\naddress = 127.0.0.1:1\n[operators]\nada = {}\nben = {}\n\
         [log]\nlevel = mulberrycourse=debug\n",
        key(1),
        key(2),
    );
    let path = folder.join("node.ini");
    std::fs::write(&path, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_mulberryd"))
        .arg("run")
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines().map(Result::unwrap);
    let mut seen = Vec::new();
    for line in lines {
        let pairs = pairs(&line);
        let get = |key: &str| pairs.iter().find(|(k, _)| k == key).map(|(_, v)| v.as_str());
        for key in ["ts", "level", "target", "event"] {
            assert!(get(key).is_some(), "no {key}: {line}");
        }
        let event = get("event").unwrap().to_owned();
        if event == "listening" {
            let to: SocketAddr = get("callers").unwrap().parse().unwrap();
            let mut stream = TcpStream::connect(to).unwrap();
            let head = "GET /v1/\"a=b\"%0a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
            stream.write_all(head.as_bytes()).unwrap();
            stream.read_to_end(&mut Vec::new()).unwrap();
        }
        seen.push(event);
        let wanted = ["listening", "bundle_watch_failed", "refused"];
        if wanted.iter().all(|w| seen.iter().any(|s| s == w)) {
            break;
        }
    }
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(seen.iter().any(|s| s == "refused"), "{seen:?}");
}

/// Guards against lines as long as what a client may send, of which thousands are buffered.
#[test]
fn texts_of_clients_are_shortened() {
    assert_eq!(shortened("/a/b"), "/a/b");
    let long = "\u{fc}".repeat(10_000);
    assert!((100..=200).contains(&shortened(&long).len()));
    assert!(long.starts_with(shortened(&long)));
}
