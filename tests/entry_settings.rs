//! The settings of an entry process: every mistake is reported with its place.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::settings::{Document, EntrySettings};

const GOOD: &str = "[node]\nname = n\nzone = z\ncallers = 10.0.0.1:80\nready =\nkeeps = true\n\
                    [store]\naddress = 10.0.0.2:81\nlease = 3s\n[replicas]\ndrain = 4s\n[stop]\ngrace = 8s\n";

fn read(text: &str) -> Result<EntrySettings, String> {
    let doc = Document::parse("entry.ini", text).map_err(|e| e.to_string())?;
    EntrySettings::read(&doc).map_err(|e| e.to_string())
}

#[test]
fn good_settings_are_read() {
    let settings = read(GOOD).unwrap();
    assert_eq!(&*settings.name, "n");
    assert_eq!(settings.readiness_address, None);
    assert!(settings.has_disk);
    assert_eq!(settings.lease_ttl, Duration::from_secs(3));
    assert_eq!(settings.drain_time, Duration::from_secs(4));
}

#[test]
fn mistakes_are_reported_with_their_place() {
    let cases = [
        (GOOD.replace("name = n\n", ""), "name"),
        (GOOD.replace("10.0.0.1:80", "here"), "callers"),
        (GOOD.replace("lease = 3s", "lease = 3"), "lease"),
        (GOOD.replace("drain = 4s", "drain = soon"), "drain"),
        (GOOD.replace("keeps", "kept"), "kept"),
        (GOOD.replace("[stop]", "[halt]"), "halt"),
        (GOOD.replace("[stop]", "[usage]\nwindow = 0s\n[stop]"), "window"),
        (GOOD.replace("[stop]", "[usage]\nwindow = soon\n[stop]"), "window"),
        (GOOD.replace("[stop]", "[usage]\nwindow = 5s\nlater = 1s\n[stop]"), "later"),
        (GOOD.replace("[stop]", "[duties]\naddress = there\n[stop]"), "address"),
        (GOOD.replace("[stop]", "[log]\nlevel = inof\n[stop]"), "level"),
        (GOOD.replace("[store]\naddress = 10.0.0.2:81", "[store]"), "address"),
    ];
    for (text, place) in cases {
        let error = read(&text).unwrap_err();
        assert!(error.contains("entry.ini") && error.contains(place), "{error}");
    }
}
