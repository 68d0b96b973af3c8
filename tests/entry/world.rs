//! Nodes over one service and one fleet of replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use mulberrycourse::decide::job::{ItemResult, ItemSpec, ItemState, JobSpec, Scorer};
use mulberrycourse::decide::scale::Autoscale;
use mulberrycourse::decide::usage::Windows;
use mulberrycourse::decide::{RequestLimits, RetryPolicy, Route, Routes};
use mulberrycourse::edge::schema::Directive;
use mulberrycourse::entry::{
    App, Ask, EntryNode, PeerReply, PeerRequest, Peers, Ports, Read, Submitted,
};
use mulberrycourse::settings::{Document, EntrySettings};
use standins::duties::{DutyLedger, TestClock};
use standins::kv::{Faults, KvLine, KvService, Words};
use standins::replicas::ReplicaFleet;

use crate::links::{Link, Links};

pub(crate) const HOST: &str = "host.example";
pub(crate) const MODEL: &str = "coach";
/// Guards a test against hanging; no verdict depends on it.
const GUARD: Duration = Duration::from_secs(120);

pub(crate) struct World {
    pub(crate) kv: KvService,
    pub(crate) words: Words,
    pub(crate) replicas: ReplicaFleet,
    pub(crate) links: Links,
    pub(crate) duties: DutyLedger,
    /// The clocks of the nodes that start from now on.
    pub(crate) clock: TestClock,
    /// The windows by which nodes report usage.
    usage: Option<Windows>,
    /// Whether nodes may order replicas.
    ordering: bool,
}

pub(crate) struct Node {
    pub(crate) entry: EntryNode,
    pub(crate) line: KvLine,
    links: Links,
}

impl World {
    /// Three engines, two plain replicas, routes of every kind.
    pub(crate) fn new() -> Self {
        let (kv, words) = (KvService::spawn(), Words::default());
        let replicas = ReplicaFleet::new(kv.clone(), words.clone());
        for id in ["e1", "e2", "e3"] {
            replicas.add("engines", id, &[MODEL]);
        }
        for id in ["p1", "p2"] {
            replicas.add("plain", id, &[]);
        }
        let (duties, clock) = (DutyLedger::default(), TestClock::default());
        let links = Links::default();
        let (usage, ordering) = (None, false);
        let world = Self { kv, words, replicas, links, duties, clock, usage, ordering };
        world.configure(1);
        world
    }

    /// The same, where usage is reported by windows of this length.
    pub(crate) fn with_usage(self, length: Duration) -> Self {
        Self { usage: Some(Windows { length, report_grace: length * 2 }), ..self }
    }

    /// The same, where replicas may be ordered.
    pub(crate) fn with_duties(self) -> Self {
        Self { ordering: true, ..self }
    }

    /// Which of these nodes is the holder of duties.
    pub(crate) fn holder(&self, nodes: &[Node]) -> usize {
        let items = self.kv.items("mulberry/live/holder");
        let text = String::from_utf8(items[0].value.to_vec()).unwrap();
        let held = |n: &Node| text.contains(&format!("\"{}.", n.app().settings.name));
        nodes.iter().position(held).unwrap()
    }

    /// Writes the routes under a version.
    pub(crate) fn configure(&self, version: u64) {
        self.configure_beside(version, "");
    }

    /// The same, with the text of further routes.
    pub(crate) fn configure_beside(&self, version: u64, others: &str) {
        let routes = vec![
            route("/jobs/", "engines", RetryPolicy::Never),
            route("/plain/", "plain", RetryPolicy::Rerun),
            route("/once/", "plain", RetryPolicy::Never),
            route("/text/", "engines", RetryPolicy::Resume),
        ];
        let routes = Routes::new(version, RequestLimits::default(), routes).with_autoscales(vec![
            Autoscale {
                service: "engines".into(),
                min: 1,
                max: 9,
                boot_time: Duration::from_secs(4),
                spot: false,
                prices: [("z".into(), 1.0)].into(),
            },
        ]);
        self.words.write_long(&self.kv, "config", Directive::Routes(routes), others);
    }

    /// A trainer names a version.
    pub(crate) fn name(&self, version: u64) {
        let notice = Directive::Version { model: MODEL.into(), version };
        self.words.write(&self.kv, "version", notice);
    }

    /// Starts a node and waits until it is ready.
    pub(crate) async fn node(&self, name: &str) -> Node {
        self.node_that_keeps(name, Duration::from_secs(120)).await
    }

    /// The same, where jobs are kept for so long.
    pub(crate) async fn node_that_keeps(&self, name: &str, kept: Duration) -> Node {
        self.node_with(EntrySettings { job_retention: kept, ..settings(name) }).await
    }

    /// The same, where a replica that leaves may get work for so long.
    pub(crate) async fn node_that_drains(&self, name: &str, drain: Duration) -> Node {
        self.node_with(EntrySettings { drain_time: drain, ..settings(name) }).await
    }

    /// The same, where a value may have so many bytes.
    pub(crate) async fn node_that_writes(&self, name: &str, value: usize) -> Node {
        self.node_with(EntrySettings { max_value: value, ..settings(name) }).await
    }

    /// The same, where the store keeps its history for so long.
    pub(crate) async fn node_that_remembers(&self, name: &str, history: Duration) -> Node {
        self.node_with(EntrySettings { store_history: history, ..settings(name) }).await
    }

    /// The same, linked to others.
    pub(crate) async fn linked(&self, name: &str) -> Node {
        self.linked_that_drains(name, settings(name).drain_time).await
    }

    /// The same, where a replica that leaves may get work for so long.
    pub(crate) async fn linked_that_drains(&self, name: &str, drain: Duration) -> Node {
        let port = 1_000 + u16::from(name.as_bytes()[0]);
        let at = SocketAddr::from(([127, 0, 0, 1], port));
        let node = self
            .node_with(EntrySettings {
                peer_address: Some(at),
                drain_time: drain,
                ..settings(name)
            })
            .await;
        self.links.add_node(at, node.app().clone());
        node
    }

    /// Starts a node that knows another from its settings and whose line fails; it need not
    /// become ready.
    pub(crate) fn begin_linked(&self, name: &str, seed: &Node, faults: Faults) -> Node {
        let at = SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::from(name.as_bytes()[0])));
        let seeds = seed.app().settings.peer_address.into_iter().collect();
        let node =
            self.begin(EntrySettings { peer_address: Some(at), seeds, ..settings(name) }, faults);
        self.links.add_node(at, node.app().clone());
        node
    }

    /// Where a node of a crowd is asked.
    pub(crate) fn place(index: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 2_000 + index))
    }

    /// Starts so many linked nodes at once, which know the first three from their settings.
    pub(crate) fn crowd(&self, count: u16) -> Vec<Node> {
        let at = Self::place;
        let start = |i| {
            let (peers, seeds) = (Some(at(i)), (0..3).map(at).collect());
            let settings =
                EntrySettings { peer_address: peers, seeds, ..settings(&format!("n{i:03}")) };
            let node = self.begin(settings, Faults::default());
            self.links.add_node(at(i), node.app().clone());
            node
        };
        (0..count).map(start).collect()
    }

    async fn node_with(&self, settings: EntrySettings) -> Node {
        let node = self.begin(settings, Faults::default());
        until(|| node.app().ready()).await;
        node
    }

    fn begin(&self, settings: EntrySettings, faults: Faults) -> Node {
        let duties = self.ordering.then(|| SocketAddr::from(([127, 0, 0, 1], 3)));
        let settings =
            EntrySettings { usage_windows: self.usage, duties_address: duties, ..settings };
        let line = self.kv.line();
        line.fail(faults);
        let links = Arc::new(self.links.of_node(settings.peer_address));
        let ports = Ports {
            store: Arc::new(line.clone()),
            replicas: Arc::new(self.replicas.clone()),
            schema: Arc::new(self.words.clone()),
            duties: Arc::new(self.duties.clone()),
            clock: Arc::new(self.clock.clone()),
        };
        let entry = EntryNode::spawn(settings, ports, |_| links);
        Node { entry, line, links: self.links.clone() }
    }
}

impl Node {
    pub(crate) fn app(&self) -> &Arc<App> {
        self.entry.app()
    }

    /// Sets what this node does with requests of others.
    pub(crate) fn link(&self, link: Link) {
        self.links.set(self.app().settings.peer_address.unwrap(), link);
    }

    /// From now on this node's requests reach no other.
    pub(crate) fn isolate(&self) {
        self.links.isolate(self.app().settings.peer_address.unwrap());
    }

    /// Asks another node for results.
    pub(crate) async fn ask(&self, to: &Node, ask: PeerRequest) -> Option<Option<Read>> {
        let to = to.app().settings.peer_address.unwrap();
        match self.links.request(to, ask, Duration::from_secs(1)).await {
            Ok(PeerReply::Read(read)) => Some(read),
            _ => None,
        }
    }

    /// Reads from a position without waiting.
    pub(crate) async fn page(&self, job: &str, after: usize) -> Vec<Arc<ItemResult>> {
        match self.app().read(job, after, Duration::ZERO).await {
            Read::Page { results, .. } => results,
            other => panic!("{other:?}"),
        }
    }

    /// Reads until all results are there.
    pub(crate) async fn whole(&self, job: &str, total: usize) -> Vec<Arc<ItemResult>> {
        let reading = async {
            let mut all = Vec::new();
            while all.len() < total {
                match self.app().read(job, all.len(), Duration::from_secs(1)).await {
                    Read::Page { results, .. } => all.extend(results),
                    _ => tokio::time::sleep(Duration::from_millis(200)).await,
                }
            }
            all
        };
        tokio::time::timeout(GUARD, reading).await.unwrap()
    }

    pub(crate) async fn submit(&self, job: &str, items: &[&str]) -> Submitted {
        self.app().submit(spec(job, items)).await
    }
}

pub(crate) async fn until(mut reached: impl FnMut() -> bool) {
    let wait = async {
        while !reached() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(GUARD, wait).await.unwrap();
}

pub(crate) async fn pass(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

fn settings(name: &str) -> EntrySettings {
    let text = format!(
        "[node]\nname = {name}\nzone = z\ncallers = 127.0.0.1:1\n[store]\naddress = 127.0.0.1:2\n"
    );
    EntrySettings::read(&Document::parse("test", &text).unwrap()).unwrap()
}

fn route(prefix: &str, service: &str, again: RetryPolicy) -> Route {
    Route {
        name: prefix.into(),
        host: HOST.into(),
        prefix: prefix.into(),
        retry_policy: again,
        streaming: prefix == "/text/",
        batch: prefix == "/jobs/",
        timeout: Some(Duration::from_secs(4)),
        target_latency: Duration::from_millis(150),
        priority: 1,
        services: vec![(service.into(), 1)],
        max_attempts: 3,
        retention: Duration::from_secs(40),
        single_version: false,
        public: false,
    }
}

pub(crate) fn spec(job: &str, items: &[&str]) -> JobSpec {
    JobSpec {
        id: job.into(),
        host: HOST.into(),
        path: format!("/jobs/{job}").into(),
        model: Some(MODEL.into()),
        min_version: 1,
        items: items.iter().map(|id| Arc::new(item(id))).collect(),
        wanted_groups: None,
        organisation: None,
    }
}

/// The same, from this version on.
pub(crate) fn spec_from(job: &str, items: &[&str], oldest: u64) -> JobSpec {
    JobSpec { min_version: oldest, ..spec(job, items) }
}

fn item(id: &str) -> ItemSpec {
    ItemSpec {
        id: id.into(),
        path: format!("/text/{id}").into(),
        headers: vec![("model".into(), MODEL.into())],
        body: Bytes::from(format!("body of {id}")),
        group: "g".into(),
        length_hint: None,
        scorer: Some(Scorer {
            id: format!("score-{id}").into(),
            host: HOST.into(),
            path: "/plain/score".into(),
            body: Bytes::new(),
        }),
    }
}

pub(crate) fn ask(id: &str, path: &str) -> Ask {
    let mut headers = HeaderMap::new();
    headers.insert("model", MODEL.parse().unwrap());
    Ask {
        id: id.into(),
        method: Method::POST,
        path: path.into(),
        host: HOST.into(),
        organisation: None,
        headers,
        body: Bytes::new(),
        deadline: Some(Duration::from_secs(2)),
        after: None,
    }
}

/// The text that a sample must have.
pub(crate) fn text(item: &str, events: u64) -> String {
    let lines: Vec<String> = (1..=events).map(|e| ReplicaFleet::event(item, e)).collect();
    lines.join("\n")
}

/// Checks a result against what the replicas made.
pub(crate) fn check(listing: &ItemResult, events: u64) {
    let ItemState::Completed { output, versions, score } = &listing.state else {
        panic!("{listing:?}");
    };
    assert_eq!(*output, text(&listing.id, events));
    assert!(!versions.is_empty());
    assert_eq!(score.as_deref(), Some(&*format!("signed score-{}", listing.id)));
}

/// Calls to the store that ended well.
pub(crate) fn calls(node: &Node, call: &str) -> u64 {
    counted(node, &format!("{{call=\"{call}\",end=\"Answered\","))
}

/// All calls of some nodes to the store, a renewal of a lease as a tenth of one.
pub(crate) fn charged(nodes: &[Node]) -> u64 {
    let of = |node| (counted(node, "{"), counted(node, "{call=\"Keep\","));
    nodes.iter().map(of).map(|(all, keeps)| (all - keeps) * 10 + keeps).sum::<u64>() / 10
}

/// Calls to the store that it refused.
pub(crate) fn refusals(node: &Node) -> u64 {
    counted(node, "end=\"Refused\",")
}

/// Calls to the store whose labels contain this.
fn counted(node: &Node, labels: &str) -> u64 {
    let text = node.app().metrics();
    let calls = text.lines().filter(|l| l.starts_with("mulberry_store_calls_total{"));
    let counts = calls.filter(|l| l.contains(labels)).filter_map(|l| l.split(' ').nth(1));
    counts.map(|count| count.parse::<u64>().unwrap()).sum()
}

/// The replicas that a node sends plain requests to.
pub(crate) async fn used(world: &World, node: &Node, turn: &str) -> Vec<String> {
    let route = node.app().routes().unwrap().find("host.example", "/plain/x").cloned().unwrap();
    let name = &node.app().settings.name;
    for i in 0..6 {
        node.app().relay(&route, ask(&format!("{turn}-{name}-{i}"), "/plain/x")).await;
    }
    let prefix = format!("{turn}-{name}-");
    let ran = world.replicas.ran();
    let ran = ran.iter().filter(|r| r.id.starts_with(&prefix));
    ran.map(|r| r.replica.to_string()).collect()
}
