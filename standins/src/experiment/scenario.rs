//! Scenarios and deployments, which are read from INI files.

use std::path::Path;
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::{CallerWeights, Class, Repeat, ServiceLimits};
use mulberrycourse::settings::{Document, Section, SettingsError};

use super::UpstreamProfile;

/// The size of a deployment, a `[deployment NAME]` section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// The name of the deployment.
    pub name: Name,
    /// The number of availability zones.
    pub zones: usize,
    /// The number of model engines.
    pub engines: usize,
    /// The number of replicas of the plain service.
    pub plain: usize,
}

/// Requests that arrive at random, a `[flow NAME]` section.
#[derive(Debug, Clone, PartialEq)]
pub struct Flow {
    /// The name in results.
    pub name: Name,
    /// The caller that sends the requests; by default, the name of the flow.
    pub caller: Name,
    /// The class of the requests.
    pub class: Class,
    /// Whether the requests may be repeated.
    pub repeat: Repeat,
    /// Requested work, as a fraction of the capacity of the service.
    pub load: f64,
    /// Whether the scale of the scenario multiplies the load.
    pub scaled: bool,
    /// Mean cost of a request, in units of work.
    pub mean_cost: u32,
    /// How long the caller waits for an answer.
    pub deadline: Duration,
    /// The weight of the caller.
    pub weight: u32,
    /// The number of prompt prefixes in use; without any, requests have no prefix.
    pub prefix_count: u64,
    /// Fraction of the requests that always use the first prefix.
    pub hot_fraction: f64,
    /// Largest number of times that a refused request is sent again.
    pub max_retries: u32,
    /// Whether the requests crash the upstream that runs them.
    pub crashes_upstream: bool,
}

/// A trainer, which requests the samples of one step after another; a `[trainer NAME]`
/// section.
#[derive(Debug, Clone, PartialEq)]
pub struct TrainerFlow {
    /// The name of the trainer.
    pub name: Name,
    /// Samples in a step.
    pub samples: u32,
    /// Samples in a group, which share a prompt prefix.
    pub group_size: u32,
    /// Mean cost of a sample, in units of work.
    pub mean_cost: u32,
    /// How long the trainer trains on a step.
    pub training_time: Duration,
    /// The weight of the trainer.
    pub weight: u32,
    /// Fraction of the next step that is started before its weights are ready.
    pub early_fraction: f64,
    /// Whether the scale of the scenario replaces `early_fraction`.
    pub scaled: bool,
}

impl TrainerFlow {
    /// Returns the trainer at a scale of the scenario.
    pub fn at_scale(&self, scale: f64) -> Self {
        let early_fraction = if self.scaled { scale } else { self.early_fraction };
        Self { early_fraction, ..self.clone() }
    }
}

/// A kind of change in the course of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// Upstreams are `factor` times slower.
    Slow,
    /// Upstreams accept requests and make no progress on them.
    Frozen,
    /// Upstreams crash; the list of VMs shows it two seconds later.
    Down,
    /// The load of a flow is multiplied by `factor`.
    Load,
    /// Upstreams are replaced one after another.
    Replace,
    /// Upstreams pause to load weights, one third after another.
    Swap,
}

/// A change in the course of a simulation, a `[change NAME]` section.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The kind of change.
    pub kind: ChangeKind,
    /// When it starts.
    pub start: Duration,
    /// When it ends.
    pub end: Duration,
    /// The number of affected upstreams.
    pub upstreams: usize,
    /// If set, all upstreams of this zone are affected, and `upstreams` is ignored.
    pub zone: Option<usize>,
    /// The factor of `Slow` and `Load`.
    pub factor: f64,
    /// The flow of `Load`.
    pub flow: Name,
}

/// A load scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// The name, which is the file name without extension.
    pub name: Name,
    /// How long requests keep arriving.
    pub length: Duration,
    /// Requests that arrive earlier are not counted.
    pub warmup: Duration,
    /// Whether the upstreams are model engines, not replicas of the plain service.
    pub uses_engines: bool,
    /// Factors of the scaled loads; the scenario runs once for each.
    pub scales: Vec<f64>,
    /// The limits that the bundle would set for the service.
    pub limits: ServiceLimits,
    /// The flows.
    pub flows: Vec<Flow>,
    /// The trainers.
    pub trainers: Vec<TrainerFlow>,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Scenario {
    /// Reads a scenario from a file.
    pub fn read_file(path: &Path) -> Result<Self, SettingsError> {
        let doc = Document::open(path)?;
        let name = path.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
        Self::from_document(&name, &doc)
    }

    /// Reads a scenario from a text.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        Self::from_document(name, &Document::parse(name, text)?)
    }

    fn from_document(name: &str, doc: &Document) -> Result<Self, SettingsError> {
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
            uses_engines: engine,
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
            flows: parse_sections(doc, "flow", parse_flow)?,
            trainers: parse_sections(doc, "trainer", parse_trainer)?,
            changes: parse_sections(doc, "change", |_, section| parse_change(section))?,
        };
        head.finish()?;
        Ok(scenario)
    }

    /// The profile of the upstreams.
    pub fn profile(&self) -> UpstreamProfile {
        if self.uses_engines { UpstreamProfile::ENGINE } else { UpstreamProfile::PLAIN }
    }

    /// The weights of the callers and trainers.
    pub fn caller_weights(&self) -> CallerWeights {
        let flows = self.flows.iter().map(|f| (f.caller.clone(), f.weight));
        let trainers = self.trainers.iter().map(|t| (t.name.clone(), t.weight));
        CallerWeights { weights: flows.chain(trainers).collect() }
    }
}

impl Deployment {
    /// Reads all deployments of a file.
    pub fn read_file(path: &Path) -> Result<Vec<Self>, SettingsError> {
        let doc = Document::open(path)?;
        doc.check_sections(&[], &["deployment"])?;
        parse_sections(&doc, "deployment", |name, section| {
            Ok(Self {
                name,
                zones: section.in_range("zones", 1..=100, 3)?,
                engines: section.in_range("engines", 1..=10_000, 9)?,
                plain: section.in_range("plain", 1..=10_000, 3)?,
            })
        })
    }

    /// The number of model engines, or else of replicas of the plain service.
    pub fn upstream_count(&self, engines: bool) -> usize {
        if engines { self.engines } else { self.plain }
    }
}

/// Parses all named sections of one kind.
fn parse_sections<T>(
    doc: &Document,
    kind: &str,
    parse: impl Fn(Name, &Section<'_>) -> Result<T, SettingsError>,
) -> Result<Vec<T>, SettingsError> {
    let mut items = Vec::new();
    for (name, section) in doc.named_sections(kind) {
        items.push(parse(name, &section)?);
        section.finish()?;
    }
    Ok(items)
}

fn parse_flow(name: Name, section: &Section<'_>) -> Result<Flow, SettingsError> {
    let classes = [("live", Class::Live), ("training", Class::Training)];
    let repeats = [("idempotent", Repeat::Idempotent), ("once", Repeat::Once)];
    Ok(Flow {
        caller: section.text("caller").unwrap_or(&name).into(),
        name,
        class: section.choice("class", &classes, Class::Live)?,
        repeat: section.choice("repeat", &repeats, Repeat::Idempotent)?,
        load: section.in_range("load", 0.0..=100.0, 0.5)?,
        scaled: section.value_or("scaled", true)?,
        mean_cost: section.in_range("cost", 1..=100_000, 1)?,
        deadline: section.duration("deadline", Duration::from_secs(5))?,
        weight: section.in_range("share", 1..=1_000, 1)?,
        prefix_count: section.in_range("keys", 0..=1_000_000, 0)?,
        hot_fraction: section.in_range("hot", 0.0..=1.0, 0.0)?,
        max_retries: section.in_range("returns", 0..=10, 0)?,
        crashes_upstream: section.value_or("poison", false)?,
    })
}

fn parse_trainer(name: Name, section: &Section<'_>) -> Result<TrainerFlow, SettingsError> {
    Ok(TrainerFlow {
        name,
        samples: section.in_range("samples", 1..=100_000, 256)?,
        group_size: section.in_range("group", 1..=1_000, 8)?,
        mean_cost: section.in_range("cost", 1..=100_000, 256)?,
        training_time: section.duration("train", Duration::from_secs(10))?,
        weight: section.in_range("share", 1..=1_000, 1)?,
        early_fraction: section.in_range("ahead", 0.0..=1.0, 0.0)?,
        scaled: section.value_or("scaled", false)?,
    })
}

fn parse_change(section: &Section<'_>) -> Result<Change, SettingsError> {
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
        start: section.duration("at", Duration::from_secs(20))?,
        end: section.duration("until", Duration::from_secs(40))?,
        upstreams: section.in_range("upstreams", 0..=10_000, 1)?,
        zone: if zone { Some(section.value("zone")?) } else { None },
        factor: section.in_range("factor", 0.0..=1_000.0, 10.0)?,
        flow: section.text("flow").unwrap_or_default().into(),
    })
}
