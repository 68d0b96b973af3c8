//! The section `[limits]`: the limits of the machine as the platform gives them.

use super::{Section, SettingsError};
use crate::decide::load::{NodeCapacity, RESERVED_DESCRIPTORS};

/// Smallest allowed `share` and `cores`.
const MIN_CORES: f64 = 0.001;
/// Largest allowed `share`. It is more than one on machines that may use several cores.
const MAX_SHARE: f64 = 128.0;
/// Largest allowed `cores`.
const MAX_CORES: f64 = 1_024.0;
/// Smallest allowed `memory`: a process uses that much at rest (docs/CAPACITY.md).
const MIN_MEMORY_MB: f64 = 16.0;
/// Smallest allowed `files`: those that are reserved, and some to serve with.
const MIN_DESCRIPTORS: f64 = RESERVED_DESCRIPTORS as f64 + 56.0;
/// Smallest allowed `link`.
const MIN_LINK_MBPS: f64 = 1.0;

/// Reads the section. A key that is absent, empty or 0 means that the limit is unknown: some
/// platforms give only a part of them. The share of the processor is known only if both `share`
/// and `cores` are given, because a template can't multiply them.
pub(super) fn machine_limits(section: Section<'_>) -> Result<NodeCapacity, SettingsError> {
    let share = quantity(&section, "share", MIN_CORES, MAX_SHARE)?;
    let cores = quantity(&section, "cores", MIN_CORES, MAX_CORES)?;
    let memory =
        quantity(&section, "memory", MIN_MEMORY_MB, f64::from(NodeCapacity::MAX_MEMORY_MB))?;
    let files =
        quantity(&section, "files", MIN_DESCRIPTORS, f64::from(NodeCapacity::MAX_DESCRIPTORS))?;
    let link = quantity(&section, "link", MIN_LINK_MBPS, f64::from(NodeCapacity::MAX_LINK_MBPS))?;
    let millicores = match share.zip(cores).map(|(share, cores)| share * cores) {
        Some(product) if !(MIN_CORES..=MAX_CORES).contains(&product) => {
            let text = section.text("cores").unwrap_or_default();
            let reason =
                format!("share times cores is {product}, expected {MIN_CORES} to {MAX_CORES}");
            return Err(section.invalid_value("cores", text, reason));
        }
        Some(product) => Some((product * 1_000.0).round() as u32),
        None => None,
    };
    section.finish()?;
    Ok(NodeCapacity {
        millicores,
        memory_mb: memory.map(|n| n as u32),
        descriptors: files.map(|n| n as u32),
        link_mbps: link.map(|n| n as u32),
    })
}

/// Reads an integer or a decimal. None if the key is absent, empty or 0.
fn quantity(
    section: &Section<'_>,
    key: &str,
    min: f64,
    max: f64,
) -> Result<Option<f64>, SettingsError> {
    let Some(text) = section.text(key).filter(|text| !text.is_empty()) else { return Ok(None) };
    let value: f64 = section.value(key)?;
    if value == 0.0 {
        return Ok(None);
    }
    if (min..=max).contains(&value) {
        return Ok(Some(value));
    }
    let reason = format!("expected {min} to {max}, or 0 if it is unknown");
    Err(section.invalid_value(key, text, reason))
}
