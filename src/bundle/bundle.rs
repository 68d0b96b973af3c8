//! The contents of a bundle, parsed from the INI text that operators write.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{CallerSpec, EngineSpec, ServiceKind, ServiceSpec, TrainerSpec};
use crate::Name;
use crate::decide::{CallerWeights, Class, Repeat};
use crate::settings::{Document, Section, SettingsError};

/// Default time after which a step that is not pulled is dropped: four times the longest wait of
/// a pull.
const DEFAULT_ABANDON_AFTER: Duration = Duration::from_secs(120);

/// One version of the configuration of all nodes.
#[derive(Debug, Clone, PartialEq)]
pub struct Bundle {
    /// The number of the bundle; a later bundle has a higher number.
    pub number: u64,
    /// Trade-off between trainer idle time and staleness, from 0 to 1: at 1 only idle time counts,
    /// at 0 only staleness.
    pub idle_weight: f64,
    /// The services, by name.
    pub services: BTreeMap<Name, ServiceSpec>,
    /// The callers, by name.
    pub callers: BTreeMap<Name, CallerSpec>,
    /// The trainers, by name.
    pub trainers: BTreeMap<Name, TrainerSpec>,
}

impl Bundle {
    /// Parses and validates a text; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let doc = Document::parse(file, text)?;
        doc.check_sections(&["bundle"], &["service", "caller", "trainer"])?;
        let bundle = doc.section("bundle")?;
        let number = bundle.value("number")?;
        let idle_weight = bundle.in_range("idle_weight", 0.0..=1.0, 0.5)?;
        bundle.finish()?;
        let services = read_named(&doc, "service", service)?;
        let callers = read_named(&doc, "caller", |_, s| caller(s))?;
        let known = services.clone();
        let trainers = read_named(&doc, "trainer", |_, s| trainer(s, &known))?;
        Ok(Self { number, idle_weight, services, callers, trainers })
    }

    /// Returns the weights of callers and trainers. A name that is both has the weight of the
    /// trainer.
    pub fn caller_weights(&self) -> CallerWeights {
        let callers = self.callers.iter().map(|(name, c)| (name.clone(), c.weight));
        let trainers = self.trainers.iter().map(|(name, t)| (name.clone(), t.weight));
        CallerWeights { weights: callers.chain(trainers).collect() }
    }
}

/// Reads every section `[kind NAME]` with `parse`.
fn read_named<T>(
    doc: &Document,
    kind: &str,
    parse: impl Fn(Name, &Section<'_>) -> Result<T, SettingsError>,
) -> Result<BTreeMap<Name, T>, SettingsError> {
    let mut all = BTreeMap::new();
    for (name, section) in doc.named_sections(kind) {
        let item = parse(name.clone(), &section)?;
        section.finish()?;
        all.insert(name, item);
    }
    Ok(all)
}

fn service(name: Name, section: &Section<'_>) -> Result<ServiceSpec, SettingsError> {
    let kinds = [("engine", ServiceKind::Engine), ("plain", ServiceKind::Plain)];
    let repeats = [("idempotent", Repeat::Idempotent), ("once", Repeat::Once)];
    let engine = match section.choice("kind", &kinds, ServiceKind::Plain)? {
        ServiceKind::Plain => None,
        ServiceKind::Engine => Some(EngineSpec {
            version: section.value("version")?,
            fenced: section.value_or("fenced", true)?,
            swap_percent: section.in_range("swapping", 1..=100, 34)?,
            load_rate: section.in_range("loads", 1..=100_000, 100)?,
        }),
    };
    Ok(ServiceSpec {
        name,
        engine,
        repeat: section.choice("repeat", &repeats, Repeat::Idempotent)?,
        max_queued: section.in_range("queue", 1..=100_000, 1_000)?,
        max_concurrency: section.in_range("concurrency", 1..=10_000, 16)?,
        training_percent: section.in_range("training_floor", 0..=90, 10)?,
        max_upstreams: section.in_range("subset", 2..=10_000, 32)?,
        default_deadline: section.duration("deadline", Duration::from_secs(30))?,
    })
}

fn caller(section: &Section<'_>) -> Result<CallerSpec, SettingsError> {
    let classes = [("live", Class::Live), ("training", Class::Training)];
    Ok(CallerSpec {
        class: section.choice("class", &classes, Class::Live)?,
        weight: section.in_range("share", 1..=1_000, 1)?,
    })
}

fn trainer(
    section: &Section<'_>,
    services: &BTreeMap<Name, ServiceSpec>,
) -> Result<TrainerSpec, SettingsError> {
    let service: Name = section.required("service")?.into();
    let engine = services.get(&service).is_some_and(|s| s.engine.is_some());
    if !engine {
        let reason = "no [service] of kind = engine has this name".to_owned();
        return Err(section.invalid_value("service", &service, reason));
    }
    Ok(TrainerSpec {
        service,
        staleness_bound: section.in_range("staleness", 0..=1_000, 1)?,
        weight: section.in_range("share", 1..=1_000, 1)?,
        abandon_after: section.duration("abandoned", DEFAULT_ABANDON_AFTER)?,
    })
}
