//! A scenario, read from INI.

use std::path::Path;
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::{CallerWeights, Class, Repeat, ServiceLimits};
use mulberrycourse::settings::{Document, Section, SettingsError};

use super::Model;

/// The size of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// Its name.
    pub name: Name,
    /// Availability zones.
    pub zones: usize,
    /// Model engines.
    pub engines: usize,
    /// Replicas of the plain service.
    pub plain: usize,
}

/// Requests that arrive at random.
#[derive(Debug, Clone, PartialEq)]
pub struct Flow {
    /// Its name in results.
    pub name: Name,
    /// The caller; its own name if nothing else is said.
    pub caller: Name,
    /// Its class.
    pub class: Class,
    /// Whether its requests may be repeated.
    pub repeat: Repeat,
    /// Work that it asks for, as a part of the service's capacity.
    pub load: f64,
    /// Whether the scenario's scale multiplies its load.
    pub scaled: bool,
    /// Mean cost of a request.
    pub cost: u32,
    /// How long it waits for an answer.
    pub deadline: Duration,
    /// Its weight.
    pub share: u32,
    /// Prompt prefixes that it uses.
    pub keys: u64,
    /// Part of its requests that use the first prefix.
    pub hot: f64,
    /// Times that a refused request is sent again.
    pub returns: u32,
    /// Whether its requests crash the upstream that runs them.
    pub poison: bool,
}

/// A trainer: steps of samples, one after the other.
#[derive(Debug, Clone, PartialEq)]
pub struct TrainerFlow {
    /// Its name.
    pub name: Name,
    /// Samples in a step.
    pub samples: u32,
    /// Samples in a group; they share a prefix.
    pub group: u32,
    /// Mean cost of a sample.
    pub cost: u32,
    /// How long the trainer works on a step.
    pub train: Duration,
    /// Its weight.
    pub share: u32,
    /// Part of the next step that is started before the weights that it is for.
    pub ahead: f64,
    /// Whether the scenario's scale takes the place of `ahead`.
    pub scaled: bool,
}

impl TrainerFlow {
    /// The trainer at a scale of the scenario.
    pub fn at(&self, scale: f64) -> Self {
        let ahead = if self.scaled { scale } else { self.ahead };
        Self { ahead, ..self.clone() }
    }
}

/// What changes in the course of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// Upstreams take `factor` times as long.
    Slow,
    /// Upstreams take requests and run nothing.
    Frozen,
    /// Upstreams die; the list says so two seconds later.
    Down,
    /// A flow's load is multiplied by `factor`.
    Load,
    /// One upstream after the other leaves, is replaced and comes back.
    Replace,
    /// A third of the upstreams after the other stops to load weights.
    Swap,
}

/// A change.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// What.
    pub kind: ChangeKind,
    /// From when.
    pub at: Duration,
    /// Until when.
    pub until: Duration,
    /// How many upstreams.
    pub upstreams: usize,
    /// All upstreams of this zone, in place of a number.
    pub zone: Option<usize>,
    /// By how much.
    pub factor: f64,
    /// Which flow.
    pub flow: Name,
}

/// A scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Its name: that of its file.
    pub name: Name,
    /// How long requests arrive.
    pub length: Duration,
    /// What arrives before is not counted.
    pub warmup: Duration,
    /// Whether the upstreams are engines.
    pub engine: bool,
    /// The loads are run at each of these multiples.
    pub scales: Vec<f64>,
    /// What the bundle would say.
    pub limits: ServiceLimits,
    /// Flows.
    pub flows: Vec<Flow>,
    /// Trainers.
    pub trainers: Vec<TrainerFlow>,
    /// Changes.
    pub changes: Vec<Change>,
}

impl Scenario {
    /// Reads a file.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let doc = Document::open(path)?;
        let name = path.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
        Self::read(&name, &doc)
    }

    /// Reads a text.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        Self::read(name, &Document::parse(name, text)?)
    }

    fn read(name: &str, doc: &Document) -> Result<Self, SettingsError> {
        doc.check_sections(&["scenario"], &["flow", "trainer", "change"])?;
        let head = doc.section("scenario")?;
        let kinds = [("engine", true), ("plain", false)];
        let mut scales = head.list("scales")?;
        if scales.is_empty() {
            scales.push(1.0);
        }
        let engine = head.choice("service", &kinds, true)?;
        let scenario = Self {
            name: name.into(),
            length: head.duration("length", Duration::from_secs(60))?,
            warmup: head.duration("warmup", Duration::from_secs(10))?,
            engine,
            scales,
            limits: ServiceLimits {
                max_queued: head.in_range("queue", 1..=100_000, 1_000)?,
                max_concurrency: head.in_range(
                    "concurrency",
                    1..=10_000,
                    if engine { 64 } else { 32 },
                )?,
                training_percent: head.in_range("training_floor", 0..=90, 10)?,
            },
            flows: all(doc, "flow", flow)?,
            trainers: all(doc, "trainer", trainer)?,
            changes: all(doc, "change", |_, section| change(section))?,
        };
        head.finish()?;
        Ok(scenario)
    }

    /// The model of the upstreams.
    pub fn model(&self) -> Model {
        if self.engine { Model::ENGINE } else { Model::PLAIN }
    }

    /// The weights of callers and trainers.
    pub fn shares(&self) -> CallerWeights {
        let flows = self.flows.iter().map(|f| (f.caller.clone(), f.share));
        let trainers = self.trainers.iter().map(|t| (t.name.clone(), t.share));
        CallerWeights { weights: flows.chain(trainers).collect() }
    }
}

impl Deployment {
    /// Reads the deployments of a file.
    pub fn open(path: &Path) -> Result<Vec<Self>, SettingsError> {
        let doc = Document::open(path)?;
        doc.check_sections(&[], &["deployment"])?;
        all(&doc, "deployment", |name, section| {
            Ok(Self {
                name,
                zones: section.in_range("zones", 1..=100, 3)?,
                engines: section.in_range("engines", 1..=10_000, 9)?,
                plain: section.in_range("plain", 1..=10_000, 3)?,
            })
        })
    }

    /// The number of upstreams of a service.
    pub fn upstreams(&self, engine: bool) -> usize {
        if engine { self.engines } else { self.plain }
    }
}

fn all<T>(
    doc: &Document,
    kind: &str,
    one: impl Fn(Name, &Section<'_>) -> Result<T, SettingsError>,
) -> Result<Vec<T>, SettingsError> {
    let mut items = Vec::new();
    for (name, section) in doc.named_sections(kind) {
        items.push(one(name, &section)?);
        section.finish()?;
    }
    Ok(items)
}

fn flow(name: Name, section: &Section<'_>) -> Result<Flow, SettingsError> {
    let classes = [("live", Class::Live), ("training", Class::Training)];
    let repeats = [("idempotent", Repeat::Idempotent), ("once", Repeat::Once)];
    Ok(Flow {
        caller: section.text("caller").unwrap_or(&name).into(),
        name,
        class: section.choice("class", &classes, Class::Live)?,
        repeat: section.choice("repeat", &repeats, Repeat::Idempotent)?,
        load: section.in_range("load", 0.0..=100.0, 0.5)?,
        scaled: section.value_or("scaled", true)?,
        cost: section.in_range("cost", 1..=100_000, 1)?,
        deadline: section.duration("deadline", Duration::from_secs(5))?,
        share: section.in_range("share", 1..=1_000, 1)?,
        keys: section.in_range("keys", 0..=1_000_000, 0)?,
        hot: section.in_range("hot", 0.0..=1.0, 0.0)?,
        returns: section.in_range("returns", 0..=10, 0)?,
        poison: section.value_or("poison", false)?,
    })
}

fn trainer(name: Name, section: &Section<'_>) -> Result<TrainerFlow, SettingsError> {
    Ok(TrainerFlow {
        name,
        samples: section.in_range("samples", 1..=100_000, 256)?,
        group: section.in_range("group", 1..=1_000, 8)?,
        cost: section.in_range("cost", 1..=100_000, 256)?,
        train: section.duration("train", Duration::from_secs(10))?,
        share: section.in_range("share", 1..=1_000, 1)?,
        ahead: section.in_range("ahead", 0.0..=1.0, 0.0)?,
        scaled: section.value_or("scaled", false)?,
    })
}

fn change(section: &Section<'_>) -> Result<Change, SettingsError> {
    let kinds = [
        ("slow", ChangeKind::Slow),
        ("frozen", ChangeKind::Frozen),
        ("down", ChangeKind::Down),
        ("load", ChangeKind::Load),
        ("replace", ChangeKind::Replace),
        ("swap", ChangeKind::Swap),
    ];
    let zone = section.text("zone").is_some();
    Ok(Change {
        kind: section.choice("kind", &kinds, ChangeKind::Slow)?,
        at: section.duration("at", Duration::from_secs(20))?,
        until: section.duration("until", Duration::from_secs(40))?,
        upstreams: section.in_range("upstreams", 0..=10_000, 1)?,
        zone: if zone { Some(section.value("zone")?) } else { None },
        factor: section.in_range("factor", 0.0..=1_000.0, 10.0)?,
        flow: section.text("flow").unwrap_or_default().into(),
    })
}
