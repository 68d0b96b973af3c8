//! The settings of `mulberryd`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::log_level::log_level;
use super::{Document, Section, SettingsError};
use crate::Name;
use crate::bundle::Operators;
use crate::decide::load::HeadLimits;
use crate::edge::http::STALL_TIMEOUT;
use crate::edge::peer::{MAX_MESSAGE_BYTES, PeerLimits};

/// Default timeout of a call to the platform.
const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Default time for which clients may cache the addresses of nodes.
const DEFAULT_ADDRESS_TTL: Duration = Duration::from_secs(5);
/// Default time for which a draining node still accepts requests after cached addresses expire.
const DEFAULT_DRAIN_MARGIN: Duration = Duration::from_secs(2);
/// Default time for which a draining node then waits for requests in flight.
const DEFAULT_DRAIN_GRACE: Duration = Duration::from_secs(60);

/// Default maximum number of open client connections. At the planned size a node receives about
/// 13 requests per second; with streams of one minute about 800 are open at once. This limit
/// allows two and a half times as many.
const DEFAULT_MAX_CONNECTIONS: usize = 2_048;
/// Default time in which a client must send the head of a request.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Default size limit of the head of a request, in bytes: twice what the HTTP servers in common use
/// accept.
const DEFAULT_MAX_HEAD: usize = 32 << 10;
/// Smallest allowed size limit of a head: the first buffer of the HTTP library.
const MIN_MAX_HEAD: usize = 8 << 10;
/// Default memory for the bodies of requests, in MB: sixteen of the largest bodies at once.
const DEFAULT_BODY_MEMORY_MB: usize = 512;
/// Smallest allowed memory for bodies, in MB: one of the largest, with what its request takes besides.
const MIN_BODY_MEMORY_MB: usize = 34;
/// The part of that memory that bodies may hold, as a divisor. The rest is for their copies and for
/// the allocator, which returns memory late.
const BODY_MEMORY_DIVISOR: usize = 2;
/// Longest allowed timeout; a longer one of a platform call would delay a drain.
const MAX_TIMEOUT: Duration = Duration::from_secs(60);
/// Smallest number of operators, because two must sign a bundle.
const MIN_OPERATORS: usize = 2;

/// Default maximum number of connections of other nodes: each node of the planned fleet opens one.
const DEFAULT_MAX_PEERS: usize = 512;
/// The memory for messages of other nodes that are being received, in bytes: four of the largest.
const PEER_MESSAGE_MEMORY: usize = 4 * MAX_MESSAGE_BYTES;

/// The contents of a node's settings file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Section `[node]`.
    pub node: NodeSettings,
    /// Section `[platform]`.
    pub platform: PlatformSettings,
    /// Section `[peers]`.
    pub peers: PeerSettings,
    /// Section `[drain]`.
    pub drain: DrainSettings,
    /// Section `[connections]`.
    pub connections: ConnectionSettings,
    /// Section `[operators]`: who may sign a bundle.
    pub operators: Operators,
    /// `[log] level`: a filter such as `info` or `mulberrycourse=debug`.
    pub log_level: String,
}

/// The name, location and listen addresses of a node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Its name, which must be unique among the nodes.
    pub name: Name,
    /// Its region.
    pub region: Name,
    /// Its availability zone.
    pub zone: Name,
    /// `callers`: listen address for clients and trainers.
    pub client_address: SocketAddr,
    /// `peers`: listen address for other nodes.
    pub peer_address: SocketAddr,
    /// `admin`: listen address for operators and metrics.
    pub admin_address: SocketAddr,
}

/// How to reach the platform.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Timeout of a single call.
    pub timeout: Duration,
}

/// How a node finds the others.
#[derive(Debug, Clone)]
pub struct PeerSettings {
    /// Peer addresses of some nodes, used when the platform does not answer.
    pub seeds: Vec<SocketAddr>,
    /// `most`: maximum number of open connections of other nodes.
    pub max_open: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self { seeds: Vec::new(), max_open: DEFAULT_MAX_PEERS }
    }
}

/// How a node drains before it stops.
#[derive(Debug, Clone, Copy)]
pub struct DrainSettings {
    /// `ttl`: how long clients may cache the addresses of nodes.
    pub address_ttl: Duration,
    /// How long the node still accepts requests after cached addresses expire.
    pub margin: Duration,
    /// How long it then waits for requests in flight.
    pub grace: Duration,
}

/// Limits of client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// `most`: maximum number of open client connections; further ones are refused.
    pub max_open: usize,
    /// `head`: how long a client may take to send the head of a request.
    pub head_timeout: Duration,
    /// How long a connection may be without a request; as long as for a head if none. Not a key of
    /// the settings.
    pub idle_timeout: Option<Duration>,
    /// `header`: the largest head of a request, in bytes.
    pub max_head: usize,
    /// The memory for the parts of heads beyond what each connection takes, in bytes; none for no
    /// limit. Not a key of the settings.
    pub head_memory: Option<usize>,
    /// `memory`: the most that bodies of requests may hold, in bytes; half of what the setting says.
    pub body_memory: usize,
    /// How long a client may read nothing while a response waits for it; none for any time. Not a
    /// key of the settings.
    pub write_timeout: Option<Duration>,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Self::read(&Document::open(path)?)
    }

    /// Validates a parsed document. An unknown section or key, a missing key, or a value out of
    /// bounds is an error.
    pub fn read(doc: &Document) -> Result<Self, SettingsError> {
        let known = ["node", "platform", "peers", "drain", "connections", "operators", "log"];
        doc.check_sections(&known, &[])?;
        Ok(Self {
            node: node(doc.section("node")?)?,
            platform: platform(doc.section("platform")?)?,
            peers: doc.optional_section("peers").map(peers).transpose()?.unwrap_or_default(),
            drain: doc.optional_section("drain").map_or(Ok(DrainSettings::default()), drain)?,
            connections: doc
                .optional_section("connections")
                .map_or(Ok(ConnectionSettings::default()), connections)?,
            operators: operators(doc.section("operators")?)?,
            log_level: doc.optional_section("log").map_or(Ok("info".to_owned()), log_level)?,
        })
    }
}

impl Settings {
    /// The limits on what other nodes may send.
    pub fn peer_limits(&self) -> PeerLimits {
        let message_memory = Some(PEER_MESSAGE_MEMORY);
        PeerLimits { max_open: self.peers.max_open, message_memory }
    }
}

impl ConnectionSettings {
    /// The limits on the heads of requests.
    pub fn head_limits(&self) -> HeadLimits {
        HeadLimits {
            max_bytes: self.max_head,
            timeout: self.head_timeout,
            idle_timeout: self.idle_timeout.unwrap_or(self.head_timeout),
        }
    }
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        Self {
            max_open: DEFAULT_MAX_CONNECTIONS,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: None,
            max_head: DEFAULT_MAX_HEAD,
            head_memory: None,
            body_memory: (DEFAULT_BODY_MEMORY_MB << 20) / BODY_MEMORY_DIVISOR,
            write_timeout: Some(STALL_TIMEOUT),
        }
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            address_ttl: DEFAULT_ADDRESS_TTL,
            margin: DEFAULT_DRAIN_MARGIN,
            grace: DEFAULT_DRAIN_GRACE,
        }
    }
}

fn node(section: Section<'_>) -> Result<NodeSettings, SettingsError> {
    let settings = NodeSettings {
        name: section.required("name")?.into(),
        region: section.required("region")?.into(),
        zone: section.required("zone")?.into(),
        client_address: advertised_address(&section, "callers")?,
        peer_address: advertised_address(&section, "peers")?,
        admin_address: section.value("admin")?,
    };
    check_ports_differ(&section, &settings)?;
    section.finish()?;
    Ok(settings)
}

/// Reads an address that is also sent to others, so they must be able to connect to it.
fn advertised_address(section: &Section<'_>, key: &str) -> Result<SocketAddr, SettingsError> {
    let address: SocketAddr = section.value(key)?;
    if address.ip().is_unspecified() {
        let reason = "expected the address that others connect to, not every interface";
        return Err(section.invalid_value(key, &address.to_string(), reason.to_owned()));
    }
    Ok(address)
}

/// Checks that no two listeners share a port. Port 0 means any free port.
fn check_ports_differ(section: &Section<'_>, node: &NodeSettings) -> Result<(), SettingsError> {
    let pairs = [
        ("peers", node.peer_address, "callers", node.client_address),
        ("admin", node.admin_address, "callers", node.client_address),
        ("admin", node.admin_address, "peers", node.peer_address),
    ];
    for (key, one, other_key, other) in pairs {
        let same =
            one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
        if same && one.port() == other.port() && one.port() != 0 {
            let reason = format!("the port is already used by {other_key}");
            return Err(section.invalid_value(key, &one.to_string(), reason));
        }
    }
    Ok(())
}

fn connections(section: Section<'_>) -> Result<ConnectionSettings, SettingsError> {
    let head = section.duration("head", DEFAULT_HEAD_TIMEOUT)?;
    let body_memory =
        section.in_range("memory", MIN_BODY_MEMORY_MB..=1 << 20, DEFAULT_BODY_MEMORY_MB)?;
    let settings = ConnectionSettings {
        body_memory: (body_memory << 20) / BODY_MEMORY_DIVISOR,
        max_open: section.in_range("most", 1..=100_000, DEFAULT_MAX_CONNECTIONS)?,
        head_timeout: head,
        max_head: section.in_range("header", MIN_MAX_HEAD..=1 << 20, DEFAULT_MAX_HEAD)?,
        ..ConnectionSettings::default()
    };
    check_timeout(&section, "head", head)?;
    section.finish()?;
    Ok(settings)
}

fn operators(section: Section<'_>) -> Result<Operators, SettingsError> {
    let found = section.entries().len();
    if found < MIN_OPERATORS {
        return Err(section.too_few(found, MIN_OPERATORS));
    }
    Operators::read(section)
}

/// Checks that a timeout is more than zero and at most [`MAX_TIMEOUT`].
fn check_timeout(section: &Section<'_>, key: &str, value: Duration) -> Result<(), SettingsError> {
    if value.is_zero() || value > MAX_TIMEOUT {
        let reason = format!("expected more than 0s and at most {}s", MAX_TIMEOUT.as_secs());
        return Err(section.invalid_value(key, &format!("{value:?}"), reason));
    }
    Ok(())
}

fn platform(section: Section<'_>) -> Result<PlatformSettings, SettingsError> {
    let settings = PlatformSettings {
        address: section.value("address")?,
        timeout: section.duration("timeout", DEFAULT_PLATFORM_TIMEOUT)?,
    };
    check_timeout(&section, "timeout", settings.timeout)?;
    section.finish()?;
    Ok(settings)
}

fn peers(section: Section<'_>) -> Result<PeerSettings, SettingsError> {
    let settings = PeerSettings {
        seeds: section.list("seeds")?,
        max_open: section.in_range("most", 1..=100_000, DEFAULT_MAX_PEERS)?,
    };
    section.finish()?;
    Ok(settings)
}

fn drain(section: Section<'_>) -> Result<DrainSettings, SettingsError> {
    let settings = DrainSettings {
        address_ttl: section.duration("ttl", DEFAULT_ADDRESS_TTL)?,
        margin: section.duration("margin", DEFAULT_DRAIN_MARGIN)?,
        grace: section.duration("grace", DEFAULT_DRAIN_GRACE)?,
    };
    section.finish()?;
    Ok(settings)
}
