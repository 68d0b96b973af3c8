//! Tests that the text of a sample is complete and labelled, however its bytes are split and its
//! runs end.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use mulberrycourse::decide::job::{
    Event, EventReader, SampleText, SavedProgress, StreamError, TextLimit,
};
use proptest::prelude::*;

/// The name of the event field that has the weight version.
const VERSION_FIELD: &str = "version";

/// Texts of these tests are as long as they get.
const NO_LIMIT: TextLimit = TextLimit { events: None, bytes: usize::MAX };

/// Returns the bytes of this many events. The version changes to 2 at event `changes_at`.
fn stream(events: u64, changes_at: Option<u64>) -> String {
    let line = |n: u64| if Some(n) == changes_at { "version: 2\n" } else { "" };
    (1..=events).map(|n| format!("{}id: {n}\ndata: d{n}\n\n", line(n))).collect()
}

/// Reads the events of a stream whose bytes arrive split at these positions, each modulo the
/// length.
fn read(text: &str, cuts: &[usize]) -> Vec<Event> {
    let mut reader = EventReader::new(VERSION_FIELD);
    let mut events = Vec::new();
    let mut from = 0;
    let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (text.len() + 1)).collect();
    cuts.sort_unstable();
    cuts.push(text.len());
    for cut in cuts {
        let piece = Bytes::copy_from_slice(&text.as_bytes()[from..cut]);
        events.extend(reader.push(&piece).unwrap());
        from = cut;
    }
    assert!(!reader.unfinished());
    events
}

fn push(text: &mut SampleText, events: &[Event]) {
    for event in events {
        text.push(event, NO_LIMIT, |_| true).unwrap();
    }
}

proptest! {
    #[test]
    fn split_bytes_give_the_same_events(cuts in proptest::collection::vec(0_usize..400, 0..9)) {
        let wire = stream(12, Some(5));
        let events = read(&wire, &cuts);
        prop_assert_eq!(events.len(), 12);
        prop_assert_eq!(events[4].version, Some(2));
        let raw: Vec<u8> = events.iter().flat_map(|e| e.raw.to_vec()).collect();
        prop_assert_eq!(raw, wire.into_bytes());
    }

    /// Writes of a growing text may be lost or repeated, and the text may be restarted in
    /// between: the text rebuilt from the stored parts is always a prefix of the true text.
    #[test]
    fn the_rebuilt_text_is_always_a_prefix(
        steps in proptest::collection::vec((0_u8..4, 1_usize..4), 1..30),
    ) {
        let mut text = SampleText::default();
        text.set_version(Some(1));
        let mut saved = SavedProgress::default();
        let mut rebuilt = SampleText::default();
        for (step, count) in steps {
            match step {
                0 | 1 => {
                    let from = text.last_event() + 1;
                    for id in from..from + count as u64 {
                        let data = format!("d{id}");
                        let event = Event { id, data, version: None, raw: Bytes::new() };
                        text.push(&event, NO_LIMIT, |_| true).unwrap();
                    }
                }
                2 => {
                    if let Some((delta, after)) = text.delta_since(saved) {
                        rebuilt.apply_delta(&delta);
                        // Every third write gets no answer, so it is repeated.
                        if count < 3 {
                            saved = after;
                        }
                    }
                }
                _ => {
                    text.restart();
                    text.set_version(Some(1));
                }
            }
            let wanted: Vec<String> = (1..=rebuilt.last_event()).map(|n| format!("d{n}")).collect();
            prop_assert_eq!(rebuilt.output(), wanted.join("\n"));
        }
    }
}

#[test]
fn a_missing_or_repeated_event_is_an_error() {
    let events = read(&stream(4, None), &[]);
    for wrong in [vec![0, 2], vec![0, 0], vec![1]] {
        let mut text = SampleText::default();
        text.set_version(Some(1));
        let error = wrong.iter().find_map(|i| text.push(&events[*i], NO_LIMIT, |_| true).err());
        assert!(matches!(error, Some(StreamError::OutOfOrder { .. })), "{wrong:?}");
    }
}

#[test]
fn exactly_the_versions_that_generated_events_are_listed() {
    let events = read(&stream(6, Some(4)), &[]);
    let mut text = SampleText::default();
    text.set_version(Some(1));
    push(&mut text, &events[..5]);
    assert_eq!(text.versions(), [1, 2]);
    // A run continues at another replica under a version that generates no event.
    text.set_version(Some(3));
    assert_eq!(text.versions(), [1, 2]);
    text.set_version(Some(2));
    push(&mut text, &events[5..]);
    assert_eq!(text.versions(), [1, 2]);
}

#[test]
fn a_version_that_is_not_allowed_or_unknown_is_an_error() {
    let events = read(&stream(2, None), &[]);
    let mut text = SampleText::default();
    text.set_version(Some(1));
    assert_eq!(text.push(&events[0], NO_LIMIT, |v| v >= 2), Err(StreamError::DisallowedVersion(1)));
    let mut text = SampleText::default();
    text.set_version(None);
    assert_eq!(text.push(&events[0], NO_LIMIT, |_| true), Err(StreamError::MissingVersion));
}

/// Guards against a refused event leaving its version behind: an event after it that states none
/// would be labelled with a version that generated no event of the text.
#[test]
fn a_refused_event_leaves_no_version_behind() {
    let events = read(&stream(3, Some(2)), &[]);
    let unstated = Event { version: None, ..events[1].clone() };
    let mut text = SampleText::default();
    text.set_version(Some(1));
    push(&mut text, &events[..1]);
    assert_eq!(text.push(&events[1], NO_LIMIT, |v| v == 1), Err(StreamError::DisallowedVersion(2)));
    assert_eq!(text.current_version(), Some(1));
    push(&mut text, &[unstated]);
    assert_eq!(text.versions(), [1]);
}

#[test]
fn malformed_events_are_errors() {
    for wire in ["no colon\n\n", "data: x\n\n", "id: 1\nversion: x\n\n", "id: \u{fffd}\n\n"] {
        let mut reader = EventReader::new(VERSION_FIELD);
        assert_eq!(reader.push(&Bytes::from(wire)), Err(StreamError::Malformed), "{wire:?}");
    }
    let mut reader = EventReader::new(VERSION_FIELD);
    let endless = Bytes::from(vec![b'x'; 2 << 20]);
    assert_eq!(reader.push(&endless), Err(StreamError::Malformed));
}

#[test]
fn data_of_several_lines_is_kept() {
    let mut reader = EventReader::new(VERSION_FIELD);
    let events = reader.push(&Bytes::from("id: 1\ndata: a\ndata: b\n\n")).unwrap();
    assert_eq!(events[0].data, "a\nb");
}

/// Guards against a text that grows as long as its replica sends events.
#[test]
fn an_event_beyond_the_limit_of_a_text_is_refused() {
    let events = read(&stream(4, Some(1)), &[]);
    for (limit, most) in [
        (TextLimit { events: Some(3), bytes: usize::MAX }, 3),
        (TextLimit { events: None, bytes: "d1\nd2\n ".len() }, 2),
    ] {
        let mut text = SampleText::default();
        let pushed = events.iter().take_while(|event| text.push(event, limit, |_| true).is_ok());
        assert_eq!(pushed.count(), most);
        let next = &events[most];
        assert_eq!(text.push(next, limit, |_| true), Err(StreamError::TooLong(next.id)));
        assert_eq!(text.last_event(), most as u64);
    }
}
