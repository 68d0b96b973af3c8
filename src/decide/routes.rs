//! Selects the service of a request by its host and path.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::load::HeadLimits;
use super::scale::Autoscale;
use super::{Caller, KeyDigest, Organisations, public_job};
use crate::Name;

/// Whether and how a route's requests may be repeated after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryPolicy {
    /// A request may run any number of times.
    Rerun,
    /// A request runs at most once.
    Never,
    /// The stream of a request may be resumed at another replica after the last event received.
    Resume,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The host that its requests are sent to.
    pub host: Name,
    /// The prefix of its paths; begins and ends with a slash.
    pub prefix: Name,
    /// Whether and how its requests may be repeated.
    pub retry_policy: RetryPolicy,
    /// Whether answers are streams of events.
    pub streaming: bool,
    /// Whether it accepts batch jobs instead of single requests.
    pub batch: bool,
    /// Maximum time that a client waits for an answer; none for no limit.
    pub timeout: Option<Duration>,
    /// The latency within which answers should arrive.
    pub target_latency: Duration,
    /// Priority among routes; 0 is highest.
    pub priority: u8,
    /// The services and their weights.
    pub services: Vec<(Name, u32)>,
    /// Maximum number of replicas that one request is sent to.
    pub max_attempts: u32,
    /// How long after the submission of a batch job its trainer waits for results; none if there
    /// is no such limit.
    pub result_deadline: Option<Duration>,
    /// How long after the submission of a batch job its unfinished items may be given up.
    pub retention: Duration,
    /// Whether all of a text must come from one version of the weights.
    pub single_version: bool,
    /// Whether it accepts requests without an organisation's key, in a configuration that has
    /// organisations.
    pub public: bool,
}

impl Route {
    /// Picks a service in proportion to the weights. `draw` is a random number.
    pub fn pick_service(&self, draw: u32) -> Option<&Name> {
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

/// Limits on the requests that clients send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a body, in bytes.
    pub max_body: usize,
    /// The limits on heads.
    pub head: HeadLimits,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { max_body: 32 << 20, head: HeadLimits::default() }
    }
}

/// All routes of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Routes {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on requests.
    pub limits: RequestLimits,
    /// The organisations that may call; none if anybody may.
    organisations: Option<Organisations>,
    /// Autoscaling limits of the services whose replicas may be ordered.
    autoscales: Vec<Autoscale>,
    /// Routes by host, the longest prefix first.
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    /// The most urgent priority of the batch routes of each service.
    sample_priorities: HashMap<Name, u8>,
}

impl Routes {
    /// Builds a table of these routes, without organisations or autoscaling.
    pub fn new(version: u64, limits: RequestLimits, routes: Vec<Route>) -> Self {
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        let mut sample_priorities: HashMap<Name, u8> = HashMap::new();
        for route in routes {
            for (service, _) in route.services.iter().filter(|_| route.batch) {
                let known = sample_priorities.entry(service.clone()).or_insert(route.priority);
                *known = route.priority.min(*known);
            }
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self {
            version,
            limits,
            organisations: None,
            autoscales: Vec::new(),
            hosts,
            sample_priorities,
        }
    }

    /// Whether only the organisations of the configuration may call.
    pub fn has_organisations(&self) -> bool {
        self.organisations.is_some()
    }

    /// Sets the organisations that may call.
    pub fn for_organisations(self, organisations: Organisations) -> Self {
        Self { organisations: Some(organisations), ..self }
    }

    /// Sets the autoscaling limits of the services whose replicas may be ordered.
    pub fn with_autoscales(self, autoscales: Vec<Autoscale>) -> Self {
        Self { autoscales, ..self }
    }

    /// Returns the autoscaling limits of the services whose replicas may be ordered.
    pub fn autoscales(&self) -> &[Autoscale] {
        &self.autoscales
    }

    /// Returns the caller of a request with this key.
    pub fn caller(&self, key: Option<KeyDigest>) -> Caller {
        let Some(organisations) = &self.organisations else { return Caller::Anyone };
        let holder = key.and_then(|key| organisations.holder(key));
        holder.map_or(Caller::Unknown, |name| Caller::Organisation(name.clone()))
    }

    /// Whether a caller may use a route.
    pub fn admits(&self, route: &Route, caller: &Caller) -> bool {
        route.public || *caller != Caller::Unknown
    }

    /// Returns the priority of a request: that of its organisation if set, otherwise that of its
    /// route.
    pub fn priority(&self, route: &Route, organisation: Option<&Name>) -> u8 {
        let own =
            organisation.zip(self.organisations.as_ref()).and_then(|(name, t)| t.priority(name));
        own.unwrap_or(route.priority)
    }

    /// Returns the priority that all samples of a service have at its replicas, whoever submitted
    /// them: a replica preempts the runs of lower priority, and each preempted run reads its prompt
    /// again. The entry nodes decide which samples run.
    pub fn sample_priority(&self, service: &str) -> Option<u8> {
        self.sample_priorities.get(service).copied()
    }

    /// Returns the ids under which a job that a caller asks for may be stored.
    pub fn job_ids(&self, caller: &Caller, id: &str) -> Vec<Name> {
        let mut ids = vec![caller.job_id(id)];
        let public = || self.hosts.values().flatten().any(|r| r.batch && r.public);
        if matches!(caller, Caller::Organisation(_)) && public() {
            ids.push(public_job(id));
        }
        ids
    }

    /// Whether some route requires texts of a single version of the weights.
    pub fn any_single_version(&self) -> bool {
        self.hosts.values().flatten().any(|r| r.single_version)
    }

    /// Returns the names of the routes that accept batch jobs.
    pub fn batch_routes(&self) -> Vec<Name> {
        let routes = self.hosts.values().flatten().filter(|r| r.batch);
        routes.map(|r| r.name.clone()).collect()
    }

    /// Returns the route of a request: the one of its host with the longest prefix that the path
    /// begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|r| path.starts_with(&*r.prefix))
    }
}
