//! Memory and processor time of the process, read from `/proc/self` at each scrape.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;

/// Clock ticks per second in `/proc/self/stat`; the same on every Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Collects the process's resident memory and processor time.
#[derive(Debug)]
pub(super) struct ProcessCollector;

impl Collector for ProcessCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        if let Some(bytes) = resident_bytes() {
            let gauge = ConstGauge::new(bytes);
            let help = "Resident memory of the process, in bytes";
            let kind = gauge.metric_type();
            gauge.encode(encoder.encode_descriptor("resident_bytes", help, None, kind)?)?;
        }
        if let Some(seconds) = processor_seconds() {
            let counter = ConstCounter::new(seconds);
            let help = "Processor time of the process, in seconds";
            let kind = counter.metric_type();
            counter.encode(encoder.encode_descriptor("processor_seconds", help, None, kind)?)?;
        }
        Ok(())
    }
}

/// Returns the resident memory in bytes, from `VmRSS` (in kB) of `/proc/self/status`.
fn resident_bytes() -> Option<i64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kilobytes: i64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Returns the user and system time in seconds, from `/proc/self/stat`.
fn processor_seconds() -> Option<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The program name, in parentheses, may contain spaces.
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}
