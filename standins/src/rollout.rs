//! A model of engines and their owners, to run the rollout's decisions on virtual
//! time: no sockets, no nodes, only what the decisions see and what they order.

use std::collections::VecDeque;
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::{
    EngineObservation, OrderDecision, OrderReason, Rollout, RolloutStage, SwapChains,
    TargetWeights, rendezvous_score,
};

/// Time of one tick of the model.
pub const TICK: Duration = Duration::from_millis(50);
/// Ticks by which reports lag: 200 ms.
const LAG: usize = 4;
/// Versions a second that the weight store hands out, unless a test says less.
const LOADS: u32 = 1_000;

/// An engine of the model.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The version that it serves; none after a failed swap.
    pub version: Option<u64>,
    /// Swaps that fail partway before one does not.
    pub failures: u32,
    /// Whether it answers.
    pub alive: bool,
    /// The version that it loads, and the ticks that are left.
    loading: Option<(u64, u32)>,
    reports: VecDeque<EngineObservation>,
}

impl Engine {
    fn new() -> Self {
        Self { version: Some(1), failures: 0, alive: true, loading: None, reports: VecDeque::new() }
    }

    fn tick(&mut self) {
        self.loading = match self.loading {
            Some((version, 0)) => {
                let fails = self.failures > 0;
                self.failures -= u32::from(fails);
                self.version = (!fails).then_some(version);
                None
            }
            Some((version, left)) => Some((version, left - 1)),
            None => None,
        };
        let swapping = self.loading.is_some();
        let now = EngineObservation::Report { version: self.version, swapping };
        self.reports.push_back(if self.alive { now } else { EngineObservation::Silent });
        if self.reports.len() > LAG {
            self.reports.pop_front();
        }
    }

    /// Takes an order; returns whether it loads weights for it.
    pub fn order(&mut self, version: u64, ticks: u32) -> bool {
        let loads = self.alive && self.loading.is_none() && self.version != Some(version);
        if loads {
            self.loading = Some((version, ticks));
        }
        loads
    }
}

/// Engines and the nodes that own them.
#[derive(Debug)]
pub struct World {
    /// The engines' names.
    pub names: Vec<Name>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// Their chains.
    pub chains: SwapChains,
    /// The most engines that swapped at once, those whose weights were not whole not counted.
    pub swapping: usize,
    /// Orders to engines that had left the wanted version.
    pub corrections: usize,
    /// Looks at engines.
    pub looks: u64,
    /// Loads of weights, by tick.
    pub loads: Vec<u32>,
    /// Versions a second that the weight store hands out.
    pub rate: u32,
    nodes: Vec<(Name, Rollout)>,
    /// The owner of each engine, and the frozen node that this holds for.
    owners: (Option<usize>, Vec<usize>),
    now: Duration,
}

impl World {
    /// Engines that serve version 1, of which at most `percent` may swap at once.
    pub fn new(engines: usize, nodes: usize, percent: u32) -> Self {
        let names: Vec<Name> = (0..engines).map(|i| format!("engine-{i}").into()).collect();
        let wanted = TargetWeights { generation: 1, version: 1 };
        let node = |i| (format!("node-{i}").into(), Rollout::new(wanted, Duration::ZERO));
        Self {
            chains: SwapChains::new("patter", &names, percent),
            names,
            engines: vec![Engine::new(); engines],
            swapping: 0,
            corrections: 0,
            looks: 0,
            loads: Vec::new(),
            rate: LOADS,
            nodes: (0..nodes).map(node).collect(),
            owners: (None, Vec::new()),
            now: Duration::ZERO,
        }
    }

    /// The place of an engine.
    pub fn index(&self, name: &str) -> usize {
        self.names.iter().position(|n| &**n == name).unwrap_or_default()
    }

    /// One tick of every engine and node; `frozen` is a node that does nothing, and
    /// whose engines have passed to the others.
    pub fn tick(&mut self, wanted: TargetWeights, swap: u32, frozen: Option<usize>) {
        self.now += TICK;
        self.engines.iter_mut().for_each(Engine::tick);
        self.loads.push(0);
        if self.owners.0 != frozen || self.owners.1.is_empty() {
            self.owners = (frozen, self.owners(frozen));
        }
        let mut owned = vec![Vec::new(); self.nodes.len()];
        for (engine, owner) in self.owners.1.iter().enumerate() {
            owned[*owner].push(engine);
        }
        for (node, owned) in owned.into_iter().enumerate() {
            if Some(node) != frozen {
                self.act(node, &owned, wanted, swap);
            }
        }
        let serving = |e: &&Engine| e.loading.is_some() && e.version.is_some();
        self.swapping = self.swapping.max(self.engines.iter().filter(serving).count());
    }

    /// Whether every engine that lives serves this version.
    pub fn settled(&self, version: u64) -> bool {
        let mut alive = self.engines.iter().filter(|e| e.alive);
        alive.all(|e| e.version == Some(version) && e.loading.is_none())
    }

    /// What one node does in a tick.
    fn act(&mut self, node: usize, owned: &[usize], wanted: TargetWeights, swap: u32) {
        let (now, total) = (self.now, self.names.len());
        let rollout = &mut self.nodes[node].1;
        rollout.set_target(wanted, true, now);
        rollout.set_load_budget(self.rate, owned.len(), total, now);
        let own: Vec<Name> = owned.iter().map(|i| self.names[*i].clone()).collect();
        let mut look = own.clone();
        for name in own.iter().filter(|e| rollout.stage(e) == RolloutStage::Behind) {
            look.extend_from_slice(self.chains.of(name));
        }
        look.sort_unstable();
        look.dedup();
        for name in look {
            if self.nodes[node].1.poll_due(&name, now) {
                self.looks += 1;
                let sight = self.engines[self.index(&name)].reports[0];
                self.nodes[node].1.observe(&name, sight, now);
            }
        }
        for name in own {
            let turn = self.nodes[node].1.next_order(&name, self.chains.of(&name), now);
            if let OrderDecision::Order(cause) = turn {
                self.corrections += usize::from(cause == OrderReason::Correction);
                let index = self.index(&name);
                let loads = self.engines[index].order(wanted.version, swap);
                if let Some(last) = self.loads.last_mut() {
                    *last += u32::from(loads);
                }
            }
        }
    }

    fn owners(&self, frozen: Option<usize>) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate().filter(|(i, _)| Some(*i) != frozen);
        let owner = |engine: &Name| {
            let home = nodes.clone().max_by_key(|(_, (name, _))| rendezvous_score(engine, name));
            home.map_or(0, |(index, _)| index)
        };
        self.names.iter().map(owner).collect()
    }
}
