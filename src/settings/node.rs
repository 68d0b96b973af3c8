//! The settings of `mulberryd`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::{Document, Invalid, Section};
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

/// Everything a node reads from its file.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Section `[node]`.
    pub node: NodeSettings,
    /// Section `[platform]`.
    pub platform: PlatformSettings,
    /// Section `[peers]`.
    pub peers: Peers,
    /// Section `[drain]`.
    pub drain: Drain,
    /// Section `[operators]`: who may sign a bundle.
    pub operators: Operators,
    /// `[log] level`: a filter such as `info` or `mulberrycourse=debug`.
    pub level: String,
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
    pub callers: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where operators and metrics connect.
    pub admin: SocketAddr,
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
pub struct Peers {
    /// Peer addresses to ask when the platform does not answer.
    pub seeds: Vec<SocketAddr>,
}

/// How this node stops.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    /// How long callers keep an address answer.
    pub ttl: Duration,
    /// How much longer the node serves than that.
    pub margin: Duration,
    /// How long it waits for what is in flight after that.
    pub grace: Duration,
}

impl Settings {
    /// Reads and checks a file.
    pub fn open(path: &Path) -> Result<Self, Invalid> {
        Self::read(&Document::open(path)?)
    }

    /// Checks a parsed text.
    pub fn read(doc: &Document) -> Result<Self, Invalid> {
        doc.only(&["node", "platform", "peers", "drain", "operators", "log"], &[])?;
        Ok(Self {
            node: node(doc.section("node")?)?,
            platform: platform(doc.section("platform")?)?,
            peers: doc.optional("peers").map(peers).transpose()?.unwrap_or_default(),
            drain: doc.optional("drain").map_or(Ok(Drain::default()), drain)?,
            operators: Operators::read(doc.section("operators")?)?,
            level: doc.optional("log").map_or(Ok("info".to_owned()), level)?,
        })
    }
}

impl Default for Drain {
    fn default() -> Self {
        Self { ttl: ANSWER_TTL, margin: DRAIN_MARGIN, grace: DRAIN_GRACE }
    }
}

fn node(section: Section<'_>) -> Result<NodeSettings, Invalid> {
    let settings = NodeSettings {
        name: section.required("name")?.into(),
        region: section.required("region")?.into(),
        zone: section.required("zone")?.into(),
        callers: section.value("callers")?,
        peers: section.value("peers")?,
        admin: section.value("admin")?,
    };
    section.finish()?;
    Ok(settings)
}

fn platform(section: Section<'_>) -> Result<PlatformSettings, Invalid> {
    let settings = PlatformSettings {
        address: section.value("address")?,
        timeout: section.duration("timeout", PLATFORM_TIMEOUT)?,
    };
    section.finish()?;
    Ok(settings)
}

fn peers(section: Section<'_>) -> Result<Peers, Invalid> {
    let settings = Peers { seeds: section.list("seeds")? };
    section.finish()?;
    Ok(settings)
}

fn drain(section: Section<'_>) -> Result<Drain, Invalid> {
    let settings = Drain {
        ttl: section.duration("ttl", ANSWER_TTL)?,
        margin: section.duration("margin", DRAIN_MARGIN)?,
        grace: section.duration("grace", DRAIN_GRACE)?,
    };
    section.finish()?;
    Ok(settings)
}

fn level(section: Section<'_>) -> Result<String, Invalid> {
    let level = section.text("level").unwrap_or("info").to_owned();
    section.finish()?;
    Ok(level)
}
