//! The memory and descriptors of another process.

use std::io::Error;

/// What a process uses, as `/proc` gives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// The most resident memory so far, in bytes.
    pub peak_bytes: usize,
    /// The open descriptors now.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads what a process uses. Fails if it has ended.
    pub fn of(process: u32) -> std::io::Result<Self> {
        let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        // A process that has ended but was not waited for has no memory.
        let kilobytes: usize = kilobytes.ok_or_else(|| Error::other("the process has ended"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"))?.count();
        Ok(Self { peak_bytes: kilobytes * 1_024, descriptors })
    }
}
