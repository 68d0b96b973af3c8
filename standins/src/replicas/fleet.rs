//! The replicas.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use http::{HeaderMap, StatusCode};
use mulberrycourse::Name;
use mulberrycourse::decide::ListedReplica;
use mulberrycourse::edge::replica::{
    BodyStream, CallError, OrderOutcome, ReplicaCall, ReplicaLoad, ReplicaStatus, Replicas, Reply,
    Target, WeightOrder,
};
use parking_lot::Mutex;
use tokio::time::Instant;

use super::replica::{Mood, Ordered, Ran, Replica};
use crate::kv::{KvService, Words};

/// How long an event takes.
const EVENT: Duration = Duration::from_millis(35);
/// How long plain work takes.
const PLAIN: Duration = Duration::from_millis(25);
/// How long a load of weights takes.
const LOAD: Duration = Duration::from_millis(900);
/// Events of a text, where nothing else is set.
const EVENTS: u64 = 5;

#[derive(Debug, Default)]
struct State {
    replicas: BTreeMap<Name, Replica>,
    lengths: HashMap<Name, u64>,
    ran: Vec<Ran>,
    ordered: Vec<Ordered>,
}

/// All replicas. Cloning it shares them.
#[derive(Debug, Clone)]
pub struct ReplicaFleet {
    state: Arc<Mutex<State>>,
    service: KvService,
    words: Words,
}

impl ReplicaFleet {
    /// No replicas yet.
    pub fn new(service: KvService, words: Words) -> Self {
        Self { state: Arc::default(), service, words }
    }

    /// Adds a replica and lists it.
    pub fn add(&self, service: &str, id: &str, models: &[&str]) {
        let versions: BTreeMap<Name, u64> = models.iter().map(|m| (Name::from(*m), 1)).collect();
        let replica = Replica::new(versions, None);
        self.state.lock().replicas.insert(id.into(), replica);
        self.list(service, id, false);
    }

    /// A replica starts again under its id, with the version that it has from its start.
    pub fn restart(&self, service: &str, id: &str, born: u64, versions: &[(&str, u64)]) {
        let versions = versions.iter().map(|(m, v)| (Name::from(*m), *v)).collect();
        self.state.lock().replicas.insert(id.into(), Replica::new(versions, Some(born)));
        self.list(service, id, false);
    }

    /// Lists a replica as it stands.
    pub fn list(&self, service: &str, id: &str, draining: bool) {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let versions = self.state.lock().replicas[id].versions.clone();
        let listed = ListedReplica {
            target: Target {
                id: id.into(),
                started_ms: self.state.lock().replicas[id].born,
                address,
            },
            service: service.into(),
            zone: "z".into(),
            slots: 8,
            draining,
            spot: false,
            versions: versions.into_iter().collect(),
        };
        self.words.list(&self.service, listed);
    }

    /// Gives a replica a version, as it had it when it came.
    pub fn load(&self, id: &str, model: &str, version: u64) {
        self.set(id, model, version);
        self.list("engines", id, false);
    }

    /// Gives a replica a version that its entry does not show.
    pub fn set(&self, id: &str, model: &str, version: u64) {
        self.with(id, |r| r.versions.insert(model.into(), version));
    }

    /// Sets how a replica behaves.
    pub fn mood(&self, id: &str, mood: Mood) {
        self.with(id, |r| r.mood = mood);
    }

    /// Orders to a replica are carried out so much later, without an answer.
    pub fn late(&self, id: &str, late: Option<Duration>) {
        self.with(id, |r| r.late = late);
    }

    /// Sets how many events a text has.
    pub fn length(&self, item: &str, events: u64) {
        self.state.lock().lengths.insert(item.into(), events);
    }

    /// All runs so far.
    pub fn ran(&self) -> Vec<Ran> {
        self.state.lock().ran.clone()
    }

    /// All orders so far.
    pub fn ordered(&self) -> Vec<Ordered> {
        self.state.lock().ordered.clone()
    }

    /// The version of a model at a replica.
    pub fn version(&self, id: &str, model: &str) -> u64 {
        self.state.lock().replicas[id].versions[model]
    }

    /// The data of one event of a text.
    pub fn event(item: &str, event: u64) -> String {
        format!("{item}/{event}")
    }

    fn with<T>(&self, id: &str, work: impl FnOnce(&mut Replica) -> T) -> Option<T> {
        self.state.lock().replicas.get_mut(id).map(work)
    }

    /// Carries out an order. Accepted if nothing speaks against it at this moment.
    fn accept(&self, to: &Name, order: &WeightOrder) -> OrderOutcome {
        let end = self.with(to, |r| {
            if order.fencing_token < r.fence {
                return OrderOutcome::Fenced;
            }
            r.fence = order.fencing_token;
            if r.busy.is_some_and(|until| until > Instant::now())
                || r.sequence != order.accepted_orders
            {
                return OrderOutcome::Busy;
            }
            if r.versions.get(&order.model).is_some_and(|v| *v >= order.version) {
                return OrderOutcome::Holds;
            }
            r.sequence += 1;
            r.busy = Some(Instant::now() + LOAD);
            OrderOutcome::Accepted
        });
        let end = end.unwrap_or(OrderOutcome::Refused);
        self.state.lock().ordered.push(Ordered {
            replica: to.clone(),
            holder: order.leader.clone(),
            fence: order.fencing_token,
            model: order.model.clone(),
            version: order.version,
            at: Instant::now(),
            accepted: end == OrderOutcome::Accepted,
        });
        if end == OrderOutcome::Accepted {
            let (fleet, to, order) = (self.clone(), to.clone(), order.clone());
            tokio::spawn(async move {
                tokio::time::sleep(LOAD).await;
                fleet.with(&to, |r| r.versions.insert(order.model, order.version));
            });
        }
        end
    }

    fn begin(&self, to: &Target, call: &ReplicaCall) -> usize {
        let mut state = self.state.lock();
        state.ran.push(Ran {
            replica: to.id.clone(),
            id: call.id.clone(),
            organisation: call.organisation.clone(),
            after: call.last_event,
            limit: call.timeout,
            at: Instant::now(),
            cut: true,
        });
        state.ran.len() - 1
    }

    /// The events of a text after the last that the sender has.
    fn events(&self, to: &Target, call: &ReplicaCall, mood: Mood, run: usize) -> BodyStream {
        let total = self.state.lock().lengths.get(&call.id).copied().unwrap_or(EVENTS);
        let from = call.last_event.unwrap_or(0);
        let model = call.headers.get("model").and_then(|m| m.to_str().ok()).map(Name::from);
        let pace = match mood {
            Mood::Slow(times) => EVENT * times,
            _ => EVENT,
        };
        let breaks = match mood {
            Mood::Breaks(after) => Some(from + after),
            _ => None,
        };
        let (fleet, to, id) = (self.clone(), to.id.clone(), call.id.clone());
        let stream = futures_util::stream::unfold(from, move |last| {
            let (fleet, to, id, model) = (fleet.clone(), to.clone(), id.clone(), model.clone());
            async move {
                if last >= total {
                    fleet.state.lock().ran[run].cut = false;
                    return None;
                }
                tokio::time::sleep(pace).await;
                if breaks.is_some_and(|at| last >= at) {
                    return Some((Err("reset".to_owned()), total));
                }
                let event = last + 1;
                let version = model.and_then(|m| fleet.with(&to, |r| r.versions.get(&m).copied()));
                let label = match version.flatten() {
                    Some(version) => format!("version: {version}\n"),
                    None => String::new(),
                };
                let data = Self::event(&id, event);
                let text = format!("{label}id: {event}\ndata: {data}\n\n");
                Some((Ok(Bytes::from(text)), event))
            }
        });
        stream.boxed()
    }
}

impl Replicas for ReplicaFleet {
    fn version_field(&self) -> &'static str {
        "version"
    }

    fn send(&self, to: &Target, call: ReplicaCall) -> BoxFuture<'static, Result<Reply, CallError>> {
        let (fleet, to) = (self.clone(), to.clone());
        Box::pin(async move {
            let Some(mood) = fleet.with(&to.id, |r| r.mood) else {
                return Err(CallError::WrongInstance);
            };
            tokio::time::sleep(Duration::from_millis(1)).await;
            match mood {
                Mood::Unreachable => return Err(CallError::Unsent("refused".to_owned())),
                Mood::Full => return Err(CallError::NotRun(StatusCode::SERVICE_UNAVAILABLE)),
                _ => {}
            }
            let run = fleet.begin(&to, &call);
            let streams = call.path.starts_with("/text");
            let (status, body): (_, BodyStream) = match mood {
                Mood::Silent => std::future::pending().await,
                Mood::Fails => {
                    (StatusCode::INTERNAL_SERVER_ERROR, futures_util::stream::empty().boxed())
                }
                Mood::Late => (StatusCode::GATEWAY_TIMEOUT, futures_util::stream::empty().boxed()),
                Mood::Breaks(_) if !streams => {
                    let broken = futures_util::stream::iter([Err("reset".to_owned())]);
                    (StatusCode::OK, broken.boxed())
                }
                mood if streams => (StatusCode::OK, fleet.events(&to, &call, mood, run)),
                mood => {
                    let times = if let Mood::Slow(times) = mood { times } else { 1 };
                    tokio::time::sleep(PLAIN * times).await;
                    fleet.state.lock().ran[run].cut = false;
                    let body = Bytes::from(format!("answer to {}", call.id));
                    (StatusCode::OK, futures_util::stream::iter([Ok(body)]).boxed())
                }
            };
            let model = call.headers.get("model").and_then(|m| m.to_str().ok());
            let version = model.and_then(|m| fleet.with(&to.id, |r| r.versions.get(m).copied()));
            Ok(Reply {
                status,
                headers: HeaderMap::new(),
                signature: Some(format!("signed {}", call.id).into()),
                version: version.flatten(),
                load: Some(ReplicaLoad { running: 1, waiting: 0 }),
                body,
            })
        })
    }

    fn status(
        &self,
        to: &Target,
        _: Duration,
    ) -> BoxFuture<'static, Result<ReplicaStatus, CallError>> {
        let (fleet, to) = (self.clone(), to.clone());
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            let stance = fleet.with(&to.id, |r| ReplicaStatus {
                started_ms: r.born,
                accepted_orders: r.sequence,
                busy: r.busy.is_some_and(|until| until > Instant::now()),
                versions: r.versions.iter().map(|(m, v)| (m.clone(), *v)).collect(),
            });
            stance.ok_or(CallError::WrongInstance)
        })
    }

    fn order(
        &self,
        to: &Target,
        order: WeightOrder,
        limit: Duration,
    ) -> BoxFuture<'static, OrderOutcome> {
        let (fleet, to) = (self.clone(), to.id.clone());
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            let Some(late) = fleet.with(&to, |r| r.late).flatten() else {
                return fleet.accept(&to, &order);
            };
            tokio::spawn(async move {
                tokio::time::sleep(late).await;
                fleet.accept(&to, &order);
            });
            tokio::time::sleep(limit).await;
            OrderOutcome::Unknown
        })
    }
}
