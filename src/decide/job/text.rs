//! The text of a sample: its events in order and the versions that made them.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, from 1 on.
    pub id: u64,
    /// Its data.
    pub data: String,
    /// The version of the weights from this event on, if it changes there.
    pub version: Option<u64>,
    /// Its bytes as they came, with the empty line.
    pub raw: Bytes,
}

/// Cuts a stream of bytes into events. A sample of `text/event-stream` with the one
/// further field that names a version, which general parsers drop.
#[derive(Debug)]
pub struct EventReader {
    buffer: BytesMut,
    field: &'static str,
}

/// Why a stream can't be read on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// Bytes that are no event.
    #[error("bytes that are no event")]
    Malformed,
    /// An event that is not the next one.
    #[error("event {got} where {wanted} is due")]
    OutOfOrder {
        /// The number that is due.
        wanted: u64,
        /// The number that came.
        got: u64,
    },
    /// An event without a version.
    #[error("an event of unknown version")]
    MissingVersion,
    /// A version that the job does not allow.
    #[error("version {0} is not allowed here")]
    DisallowedVersion(u64),
}

/// The longest event, in bytes: far above what replicas send, so that a replica that never
/// ends an event can't fill the memory.
const LONGEST: usize = 1 << 20;

impl EventReader {
    /// A reader; `field` is the field whose value is a version.
    pub fn new(field: &'static str) -> Self {
        Self { buffer: BytesMut::new(), field }
    }

    /// Adds bytes and returns the events that are whole by now.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Vec<Event>, StreamError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|w| w == b"\n\n") {
            let raw = self.buffer.split_to(end + 2).freeze();
            events.push(self.event(raw)?);
        }
        if self.buffer.len() > LONGEST { Err(StreamError::Malformed) } else { Ok(events) }
    }

    /// Whether bytes of an unfinished event are left.
    pub fn unfinished(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn event(&self, raw: Bytes) -> Result<Event, StreamError> {
        let text =
            std::str::from_utf8(&raw[..raw.len() - 2]).map_err(|_| StreamError::Malformed)?;
        let (mut id, mut version) = (None, None);
        let mut data: Option<String> = None;
        for line in text.lines() {
            let (name, value) = line.split_once(':').ok_or(StreamError::Malformed)?;
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => id = value.parse().ok(),
                "data" => match &mut data {
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => data = Some(value.to_owned()),
                },
                name if name == self.field => {
                    version = Some(value.trim().parse().map_err(|_| StreamError::Malformed)?);
                }
                _ => {}
            }
        }
        let id = id.ok_or(StreamError::Malformed)?;
        let data = data.unwrap_or_default();
        Ok(Event { id, data, version, raw })
    }
}

/// The text so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SampleText {
    /// How often it was begun anew.
    begun: u32,
    events: u64,
    output: String,
    versions: Vec<u64>,
    current: Option<u64>,
}

/// How much of a text is kept elsewhere.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SavedProgress {
    begun: u32,
    events: u64,
    bytes: usize,
}

/// What has come to a text since it was last kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDelta {
    begun: u32,
    /// The last event before it; 0 for a text from its beginning.
    from: u64,
    /// The last event of it.
    to: u64,
    output: String,
    /// All versions that made the text up to there.
    versions: Vec<u64>,
}

impl TextDelta {
    /// The bytes of text that it brings.
    pub fn bytes(&self) -> usize {
        self.output.len()
    }
}

impl SampleText {
    /// The number of the last event.
    pub fn last_event(&self) -> u64 {
        self.events
    }

    /// Forgets what is there: a run begins with the first event.
    pub fn restart(&mut self) {
        *self = Self { begun: self.begun + 1, ..Self::default() };
    }

    /// What has come since `saved`; none if nothing has. With it, what is saved then.
    pub fn delta_since(&self, saved: SavedProgress) -> Option<(TextDelta, SavedProgress)> {
        let now =
            SavedProgress { begun: self.begun, events: self.events, bytes: self.output.len() };
        if self.events == 0 || now == saved {
            return None;
        }
        let saved = if saved.begun == self.begun { saved } else { SavedProgress::default() };
        let growth = TextDelta {
            begun: self.begun,
            from: saved.events,
            to: self.events,
            output: self.output[saved.bytes..].to_owned(),
            versions: self.versions.clone(),
        };
        Some((growth, now))
    }

    /// Takes up what was kept. What does not follow on what is there is left out: the text
    /// then goes on from an earlier event.
    pub fn apply_delta(&mut self, growth: &TextDelta) {
        let follows = growth.begun == self.begun && growth.from == self.events;
        if growth.from == 0 {
            *self = Self { begun: growth.begun, ..Self::default() };
        } else if !follows {
            return;
        }
        self.output.push_str(&growth.output);
        self.events = growth.to;
        self.versions.clone_from(&growth.versions);
    }

    /// What is kept of it right after [`SampleText::grow`].
    pub fn progress(&self) -> SavedProgress {
        SavedProgress { begun: self.begun, events: self.events, bytes: self.output.len() }
    }

    /// A run begins or goes on at a replica whose weights have this version.
    pub fn set_version(&mut self, version: Option<u64>) {
        self.current = version;
    }

    /// Adds the next event; `allowed` says which versions may make it.
    pub fn push(
        &mut self,
        event: &Event,
        allowed: impl Fn(u64) -> bool,
    ) -> Result<(), StreamError> {
        let wanted = self.events + 1;
        if event.id != wanted {
            return Err(StreamError::OutOfOrder { wanted, got: event.id });
        }
        if event.version.is_some() {
            self.current = event.version;
        }
        let version = self.current.ok_or(StreamError::MissingVersion)?;
        if !allowed(version) {
            return Err(StreamError::DisallowedVersion(version));
        }
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
        if self.events > 0 {
            self.output.push('\n');
        }
        self.output.push_str(&event.data);
        self.events = wanted;
        Ok(())
    }

    /// The version of the run that goes on now, as far as it has said so.
    pub fn current_version(&self) -> Option<u64> {
        self.current
    }

    /// The versions that made it, oldest first.
    pub fn versions(&self) -> Vec<u64> {
        let mut versions = self.versions.clone();
        versions.sort_unstable();
        versions
    }

    /// The data of all events, a line each.
    pub fn output(&self) -> &str {
        &self.output
    }
}
