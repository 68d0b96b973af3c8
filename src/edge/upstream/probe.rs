//! Checks whether an upstream's process still runs after a connection to it failed.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// The delay before each probe. A process that has ended refuses connections, but its sockets
/// don't all close at the same instant. Engines take seconds to restart.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(80)];
/// How long one probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The result of probing an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The VM refuses the connection, so the process has ended.
    Refused,
    /// The process accepts connections, so only the one connection failed.
    Accepted,
    /// No answer: the network is interrupted, or the VM is gone.
    Unreachable,
}

/// Probes an upstream up to twice, and returns the last result. A refusal ends the probing.
pub async fn probe(to: SocketAddr) -> ProbeResult {
    let mut result = ProbeResult::Accepted;
    for delay in PROBE_DELAYS {
        tokio::time::sleep(delay).await;
        result = match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(to)).await {
            Ok(Ok(_)) => ProbeResult::Accepted,
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                return ProbeResult::Refused;
            }
            Ok(Err(_)) | Err(_) => ProbeResult::Unreachable,
        };
    }
    result
}
