//! The settings of `mulberryd`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::{Document, Section, SettingsError};
use crate::Name;
use crate::bundle::Operators;

/// How long a call to the platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// How long callers may keep an address answer.
const ANSWER_TTL: Duration = Duration::from_secs(5);
/// How much longer a draining node serves than callers keep an answer.
const DRAIN_MARGIN: Duration = Duration::from_secs(2);
/// How long a draining node waits for what is in flight.
const DRAIN_GRACE: Duration = Duration::from_secs(60);

/// Open connections of callers. At the planned size a node has about 13 requests a second;
/// streams of a minute make 800 of them at once, and this leaves room for two and a half times
/// as many.
const CONNECTIONS: usize = 2_048;
/// How long a caller may take to send the head of a request.
const HEAD: Duration = Duration::from_secs(10);
/// The longest timeout of a platform call: longer ones would hold up a drain.
const LONGEST: Duration = Duration::from_secs(60);
/// Operators that have to sign a bundle.
const SIGNERS: usize = 2;

/// Everything a node reads from its file.
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

/// Who and where this node is.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Its name, unlike every other node's.
    pub name: Name,
    /// Its region.
    pub region: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where callers and trainers connect.
    pub client_address: SocketAddr,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// Where operators and metrics connect.
    pub admin_address: SocketAddr,
}

/// Where the platform is.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// How long one call may take.
    pub timeout: Duration,
}

/// How this node finds the others.
#[derive(Debug, Clone, Default)]
pub struct PeerSettings {
    /// Peer addresses to ask when the platform does not answer.
    pub seeds: Vec<SocketAddr>,
}

/// How this node stops.
#[derive(Debug, Clone, Copy)]
pub struct DrainSettings {
    /// How long callers keep an address answer.
    pub address_ttl: Duration,
    /// How much longer the node serves than that.
    pub margin: Duration,
    /// How long it waits for what is in flight after that.
    pub grace: Duration,
}

/// What callers' connections may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// The most that are open at the callers' listener; more are refused.
    pub max_open: usize,
    /// How long a caller may take to send the head of a request.
    pub head_timeout: Duration,
}

impl Settings {
    /// Reads and checks a file.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Self::read(&Document::open(path)?)
    }

    /// Checks a parsed text.
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
            log_level: doc.optional_section("log").map_or(Ok("info".to_owned()), level)?,
        })
    }
}

impl Default for ConnectionSettings {
    fn default() -> Self {
        Self { max_open: CONNECTIONS, head_timeout: HEAD }
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { address_ttl: ANSWER_TTL, margin: DRAIN_MARGIN, grace: DRAIN_GRACE }
    }
}

fn node(section: Section<'_>) -> Result<NodeSettings, SettingsError> {
    let settings = NodeSettings {
        name: section.required("name")?.into(),
        region: section.required("region")?.into(),
        zone: section.required("zone")?.into(),
        client_address: told(&section, "callers")?,
        peer_address: told(&section, "peers")?,
        admin_address: section.value("admin")?,
    };
    distinct(&section, &settings)?;
    section.finish()?;
    Ok(settings)
}

/// An address that is also told to others, so it has to be one that they can connect to.
fn told(section: &Section<'_>, key: &str) -> Result<SocketAddr, SettingsError> {
    let address: SocketAddr = section.value(key)?;
    if address.ip().is_unspecified() {
        let reason = "expected the address that others connect to, not every interface";
        return Err(section.invalid_value(key, &address.to_string(), reason.to_owned()));
    }
    Ok(address)
}

/// Two listeners can't share a port; port 0 takes a free one.
fn distinct(section: &Section<'_>, node: &NodeSettings) -> Result<(), SettingsError> {
    let pairs = [
        ("peers", node.peer_address, "callers", node.client_address),
        ("admin", node.admin_address, "callers", node.client_address),
        ("admin", node.admin_address, "peers", node.peer_address),
    ];
    for (key, one, other_key, other) in pairs {
        let same =
            one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
        if same && one.port() == other.port() && one.port() != 0 {
            let reason = format!("the port is taken by {other_key}");
            return Err(section.invalid_value(key, &one.to_string(), reason));
        }
    }
    Ok(())
}

fn connections(section: Section<'_>) -> Result<ConnectionSettings, SettingsError> {
    let head = section.duration("head", HEAD)?;
    let settings = ConnectionSettings {
        max_open: section.in_range("most", 1..=100_000, CONNECTIONS)?,
        head_timeout: head,
    };
    positive(&section, "head", head)?;
    section.finish()?;
    Ok(settings)
}

fn operators(section: Section<'_>) -> Result<Operators, SettingsError> {
    let found = section.entries().len();
    if found < SIGNERS {
        return Err(section.too_few(found, SIGNERS));
    }
    Operators::read(section)
}

fn positive(section: &Section<'_>, key: &str, value: Duration) -> Result<(), SettingsError> {
    if value.is_zero() || value > LONGEST {
        let reason = format!("expected more than 0s and at most {}s", LONGEST.as_secs());
        return Err(section.invalid_value(key, &format!("{value:?}"), reason));
    }
    Ok(())
}

fn platform(section: Section<'_>) -> Result<PlatformSettings, SettingsError> {
    let settings = PlatformSettings {
        address: section.value("address")?,
        timeout: section.duration("timeout", PLATFORM_TIMEOUT)?,
    };
    positive(&section, "timeout", settings.timeout)?;
    section.finish()?;
    Ok(settings)
}

fn peers(section: Section<'_>) -> Result<PeerSettings, SettingsError> {
    let settings = PeerSettings { seeds: section.list("seeds")? };
    section.finish()?;
    Ok(settings)
}

fn drain(section: Section<'_>) -> Result<DrainSettings, SettingsError> {
    let settings = DrainSettings {
        address_ttl: section.duration("ttl", ANSWER_TTL)?,
        margin: section.duration("margin", DRAIN_MARGIN)?,
        grace: section.duration("grace", DRAIN_GRACE)?,
    };
    section.finish()?;
    Ok(settings)
}

fn level(section: Section<'_>) -> Result<String, SettingsError> {
    let level = section.text("level").unwrap_or("info").to_owned();
    crate::logs::check_filter(&level)
        .map_err(|e| section.invalid_value("level", &level, e.reason))?;
    section.finish()?;
    Ok(level)
}
