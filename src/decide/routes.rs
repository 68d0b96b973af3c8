//! Which service a request goes to, by host and path.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::scale::Autoscale;
use super::{Caller, KeyDigest, Organisations, public_job};
use crate::Name;

/// What may be done again of a request of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Again {
    /// It may run any number of times.
    Whole,
    /// It runs at most once.
    Never,
    /// Its stream may go on elsewhere after the last event that came.
    Resume,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host it belongs to.
    pub host: Name,
    /// What a path begins with; begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub again: Again,
    /// Whether answers are streams of events.
    pub streaming: bool,
    /// Whether it takes batch jobs instead of requests.
    pub batch: bool,
    /// The longest that a client is kept waiting; none for no bound.
    pub timeout: Option<Duration>,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// Rank among routes, 0 first.
    pub priority: u8,
    /// The services and their weights.
    pub services: Vec<(Name, u32)>,
    /// The most replicas that one request is sent to.
    pub attempts: u32,
    /// How long after its submission a batch job's items may be given up.
    pub retention: Duration,
    /// Whether a text must come from one version of the weights.
    pub one_version: bool,
    /// Whether it takes requests without an organisation's key, where there are organisations.
    pub public: bool,
}

impl Route {
    /// The service at a point drawn evenly from all the weights.
    pub fn service(&self, draw: u32) -> Option<&Name> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = draw % total.max(1);
        for (service, weight) in &self.services {
            if left < *weight {
                return Some(service);
            }
            left -= weight;
        }
        self.services.first().map(|(service, _)| service)
    }
}

/// The limits on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The largest body, in bytes.
    pub body: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { body: 32 << 20 }
    }
}

/// All routes of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routes {
    /// The version.
    pub version: u64,
    /// The limits.
    pub bounds: Bounds,
    /// Who may call; none where anybody may.
    organisations: Option<Organisations>,
    /// The services whose replicas may be ordered.
    autoscales: Vec<Autoscale>,
    /// By host, the longest prefix first.
    hosts: HashMap<Name, Vec<Arc<Route>>>,
}

impl Routes {
    /// The table of these routes.
    pub fn new(version: u64, bounds: Bounds, routes: Vec<Route>) -> Self {
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self { version, bounds, organisations: None, autoscales: Vec::new(), hosts }
    }

    /// The same routes, for these organisations.
    pub fn for_organisations(self, organisations: Organisations) -> Self {
        Self { organisations: Some(organisations), ..self }
    }

    /// The same routes, where replicas of these services may be ordered.
    pub fn with_autoscales(self, autoscales: Vec<Autoscale>) -> Self {
        Self { autoscales, ..self }
    }

    /// The services whose replicas may be ordered.
    pub fn autoscales(&self) -> &[Autoscale] {
        &self.autoscales
    }

    /// Whom a request with this key acts for.
    pub fn caller(&self, key: Option<KeyDigest>) -> Caller {
        let Some(organisations) = &self.organisations else { return Caller::Anyone };
        let holder = key.and_then(|key| organisations.holder(key));
        holder.map_or(Caller::Unknown, |name| Caller::Organisation(name.clone()))
    }

    /// Whether a caller may use a route.
    pub fn admits(&self, route: &Route, caller: &Caller) -> bool {
        route.public || *caller != Caller::Unknown
    }

    /// The rank of a request: that of its organisation, or of its route.
    pub fn priority(&self, route: &Route, organisation: Option<&Name>) -> u8 {
        let own =
            organisation.zip(self.organisations.as_ref()).and_then(|(name, t)| t.priority(name));
        own.unwrap_or(route.priority)
    }

    /// The ids under which a job that a caller asks for may be kept.
    pub fn job_ids(&self, caller: &Caller, id: &str) -> Vec<Name> {
        let mut ids = vec![caller.job(id)];
        let public = || self.hosts.values().flatten().any(|r| r.batch && r.public);
        if matches!(caller, Caller::Organisation(_)) && public() {
            ids.push(public_job(id));
        }
        ids
    }

    /// Whether a route wants texts of one version only.
    pub fn any_one_version(&self) -> bool {
        self.hosts.values().flatten().any(|r| r.one_version)
    }

    /// The names of the routes that take batch jobs.
    pub fn batch(&self) -> Vec<Name> {
        let routes = self.hosts.values().flatten().filter(|r| r.batch);
        routes.map(|r| r.name.clone()).collect()
    }

    /// The route of a request: the longest prefix of that host that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|r| path.starts_with(&*r.prefix))
    }
}
