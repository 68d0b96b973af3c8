//! Whether an upstream is still there after a connection to it broke.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// When to look, after the break. An ended process refuses connections from its end
/// on, but its sockets don't all close in the same instant; engines take seconds to
/// come back.
const LOOKS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(80)];
/// How long a look may take.
const LIMIT: Duration = Duration::from_millis(250);

/// What was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The VM refuses the connection: the process is gone.
    Refused,
    /// It takes connections: only ours was cut.
    Accepted,
    /// Nothing comes back: the network is cut, or the VM is gone.
    Unreachable,
}

/// Looks twice.
pub async fn probe(to: SocketAddr) -> ProbeResult {
    let mut found = ProbeResult::Accepted;
    for pause in LOOKS {
        tokio::time::sleep(pause).await;
        found = match tokio::time::timeout(LIMIT, TcpStream::connect(to)).await {
            Ok(Ok(_)) => ProbeResult::Accepted,
            Ok(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                return ProbeResult::Refused;
            }
            Ok(Err(_)) | Err(_) => ProbeResult::Unreachable,
        };
    }
    found
}
