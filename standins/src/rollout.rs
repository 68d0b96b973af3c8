//! A simulation of engines and the nodes that own them, to run the rollout's decisions on virtual
//! time. It has no sockets and no real nodes, only the decisions' observations and orders.

use std::collections::VecDeque;
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::{
    EngineObservation, OrderDecision, OrderReason, Rollout, RolloutStage, SwapChains,
    TargetWeights, rendezvous_score,
};

/// The simulated time of one tick.
pub const TICK_DURATION: Duration = Duration::from_millis(50);
/// How many ticks engine reports lag: 200 ms.
const REPORT_LAG_TICKS: usize = 4;
/// Loads of weights per second that the weight store serves, unless a test sets fewer.
const DEFAULT_LOAD_RATE: u32 = 1_000;

/// A simulated engine.
#[derive(Debug, Clone)]
pub struct SimulatedEngine {
    /// The weight version that it serves; none after a failed swap.
    pub version: Option<u64>,
    /// How many of the next swaps fail partway.
    pub failing_swaps: u32,
    /// Whether it responds.
    pub alive: bool,
    /// The version that it loads, and the remaining ticks of the load.
    loading: Option<(u64, u32)>,
    /// The reports of the last ticks; the first is the one that nodes observe.
    reports: VecDeque<EngineObservation>,
}

impl SimulatedEngine {
    fn new() -> Self {
        Self {
            version: Some(1),
            failing_swaps: 0,
            alive: true,
            loading: None,
            reports: VecDeque::new(),
        }
    }

    fn tick(&mut self) {
        self.loading = match self.loading {
            Some((version, 0)) => {
                let fails = self.failing_swaps > 0;
                self.failing_swaps -= u32::from(fails);
                self.version = (!fails).then_some(version);
                None
            }
            Some((version, left)) => Some((version, left - 1)),
            None => None,
        };
        let swapping = self.loading.is_some();
        let now = EngineObservation::Report { version: self.version, swapping };
        self.reports.push_back(if self.alive { now } else { EngineObservation::Silent });
        if self.reports.len() > REPORT_LAG_TICKS {
            self.reports.pop_front();
        }
    }

    /// Receives an order; returns whether it starts a load of weights, which takes `ticks`.
    pub fn order(&mut self, version: u64, ticks: u32) -> bool {
        let loads = self.alive && self.loading.is_none() && self.version != Some(version);
        if loads {
            self.loading = Some((version, ticks));
        }
        loads
    }
}

/// The engines and the nodes that own them.
#[derive(Debug)]
pub struct RolloutSimulation {
    /// The engines' names.
    pub names: Vec<Name>,
    /// The engines.
    pub engines: Vec<SimulatedEngine>,
    /// The order in which engines may swap.
    pub chains: SwapChains,
    /// The most engines that swapped at once, without those whose previous swap had failed.
    pub peak_swapping: usize,
    /// Orders to engines that had reached the target version and left it again.
    pub corrections: usize,
    /// Observations of engines.
    pub observations: u64,
    /// Loads of weights started in each tick.
    pub tick_loads: Vec<u32>,
    /// Loads of weights per second that the weight store serves.
    pub load_rate: u32,
    nodes: Vec<(Name, Rollout)>,
    /// The frozen node, if any, and the owner of each engine while that node is frozen.
    owners: (Option<usize>, Vec<usize>),
    now: Duration,
}

impl RolloutSimulation {
    /// Creates engines that serve version 1, of which at most `percent` percent may swap at once.
    pub fn new(engines: usize, nodes: usize, percent: u32) -> Self {
        let names: Vec<Name> = (0..engines).map(|i| format!("engine-{i}").into()).collect();
        let target = TargetWeights { generation: 1, version: 1 };
        let node = |i| (format!("node-{i}").into(), Rollout::new(target, Duration::ZERO));
        Self {
            chains: SwapChains::new("patter", &names, percent),
            names,
            engines: vec![SimulatedEngine::new(); engines],
            peak_swapping: 0,
            corrections: 0,
            observations: 0,
            tick_loads: Vec::new(),
            load_rate: DEFAULT_LOAD_RATE,
            nodes: (0..nodes).map(node).collect(),
            owners: (None, Vec::new()),
            now: Duration::ZERO,
        }
    }

    /// The index of an engine by its name, 0 if there is none.
    pub fn index(&self, name: &str) -> usize {
        self.names.iter().position(|n| &**n == name).unwrap_or_default()
    }

    /// Runs one tick of every engine and node. A load takes `swap_ticks`. The `frozen` node does
    /// nothing and the others own its engines.
    pub fn tick(&mut self, target: TargetWeights, swap_ticks: u32, frozen: Option<usize>) {
        self.now += TICK_DURATION;
        self.engines.iter_mut().for_each(SimulatedEngine::tick);
        self.tick_loads.push(0);
        if self.owners.0 != frozen || self.owners.1.is_empty() {
            self.owners = (frozen, self.assign_owners(frozen));
        }
        let mut owned = vec![Vec::new(); self.nodes.len()];
        for (engine, owner) in self.owners.1.iter().enumerate() {
            owned[*owner].push(engine);
        }
        for (node, owned) in owned.into_iter().enumerate() {
            if Some(node) != frozen {
                self.run_node(node, &owned, target, swap_ticks);
            }
        }
        let serving = |e: &&SimulatedEngine| e.loading.is_some() && e.version.is_some();
        self.peak_swapping = self.peak_swapping.max(self.engines.iter().filter(serving).count());
    }

    /// Whether every engine that is alive serves this version.
    pub fn is_settled(&self, version: u64) -> bool {
        let mut alive = self.engines.iter().filter(|e| e.alive);
        alive.all(|e| e.version == Some(version) && e.loading.is_none())
    }

    /// Runs one tick of one node: it observes engines and sends the orders that are due.
    fn run_node(&mut self, node: usize, owned: &[usize], target: TargetWeights, swap_ticks: u32) {
        let (now, total) = (self.now, self.names.len());
        let rollout = &mut self.nodes[node].1;
        rollout.set_target(target, true, now);
        rollout.set_load_budget(self.load_rate, owned.len(), total, now);
        let own: Vec<Name> = owned.iter().map(|i| self.names[*i].clone()).collect();
        let mut observed = own.clone();
        for name in own.iter().filter(|e| rollout.stage(e) == RolloutStage::Behind) {
            observed.extend_from_slice(self.chains.of(name));
        }
        observed.sort_unstable();
        observed.dedup();
        for name in observed {
            if self.nodes[node].1.poll_due(&name, now) {
                self.observations += 1;
                let observation = self.engines[self.index(&name)].reports[0];
                self.nodes[node].1.observe(&name, observation, now);
            }
        }
        for name in own {
            let decision = self.nodes[node].1.next_order(&name, self.chains.of(&name), now);
            if let OrderDecision::Order(reason) = decision {
                self.corrections += usize::from(reason == OrderReason::Correction);
                let index = self.index(&name);
                let loads = self.engines[index].order(target.version, swap_ticks);
                if let Some(last) = self.tick_loads.last_mut() {
                    *last += u32::from(loads);
                }
            }
        }
    }

    /// The owner of each engine, by its index.
    fn assign_owners(&self, frozen: Option<usize>) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate().filter(|(i, _)| Some(*i) != frozen);
        let owner = |engine: &Name| {
            let best = nodes.clone().max_by_key(|(_, (name, _))| rendezvous_score(engine, name));
            best.map_or(0, |(index, _)| index)
        };
        self.names.iter().map(owner).collect()
    }
}
