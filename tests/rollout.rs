//! Weight rollout without sockets: owners with lagging views, each on its own.
#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::{
    Cause, Chains, Rollout, Sight, Stage, StoreShare, Turn, Wanted, rank,
};
use proptest::prelude::*;

const TICK: Duration = Duration::from_millis(50);
/// Looks back that reports lag: 200 ms.
const LAG: usize = 4;

/// An engine of the model.
#[derive(Clone)]
struct Engine {
    version: Option<u64>,
    /// The version that is loaded, and the ticks that are left.
    loading: Option<(u64, u32)>,
    failures: u32,
    alive: bool,
    reports: VecDeque<Sight>,
}

impl Engine {
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
        let now = Sight::Report { version: self.version, swapping };
        self.reports.push_back(if self.alive { now } else { Sight::Silent });
        if self.reports.len() > LAG {
            self.reports.pop_front();
        }
    }

    fn order(&mut self, version: u64, ticks: u32) {
        if self.alive && self.loading.is_none() && self.version != Some(version) {
            self.loading = Some((version, ticks));
        }
    }
}

struct World {
    names: Vec<Name>,
    engines: Vec<Engine>,
    nodes: Vec<(Name, Rollout)>,
    chains: Chains,
    now: Duration,
    /// The most engines that swapped at once, those that failed not counted.
    swapping: usize,
    corrections: usize,
}

impl World {
    fn new(engines: usize, nodes: usize, percent: u32) -> Self {
        let names: Vec<Name> = (0..engines).map(|i| format!("engine-{i}").into()).collect();
        let engine = Engine {
            version: Some(1),
            loading: None,
            failures: 0,
            alive: true,
            reports: VecDeque::new(),
        };
        let wanted = Wanted { generation: 1, version: 1 };
        let node = |i| (format!("node-{i}").into(), Rollout::new(wanted, Duration::ZERO));
        Self {
            chains: Chains::new("patter", &names, percent),
            names,
            engines: vec![engine; engines],
            nodes: (0..nodes).map(node).collect(),
            now: Duration::ZERO,
            swapping: 0,
            corrections: 0,
        }
    }

    fn index(&self, name: &str) -> usize {
        self.names.iter().position(|n| &**n == name).unwrap()
    }

    /// One tick of every engine and node; `frozen` is a node that does nothing.
    fn tick(&mut self, wanted: Wanted, swap: u32, frozen: Option<usize>) {
        self.now += TICK;
        self.engines.iter_mut().for_each(Engine::tick);
        let serving: Vec<Name> = (0..self.nodes.len())
            .filter(|i| Some(*i) != frozen)
            .map(|i| self.nodes[i].0.clone())
            .collect();
        for node in (0..self.nodes.len()).filter(|i| Some(*i) != frozen) {
            let own = self.nodes[node].0.clone();
            let owned: Vec<Name> = self
                .names
                .iter()
                .filter(|e| rank(e, serving.iter().map(|n| &**n))[0] == &*own)
                .cloned()
                .collect();
            let now = self.now;
            let rollout = &mut self.nodes[node].1;
            rollout.want(wanted, true, now);
            rollout.share(1_000, owned.len(), self.names.len(), now);
            for name in self.names.clone() {
                let index = self.index(&name);
                let rollout = &mut self.nodes[node].1;
                if rollout.due(&name, now) {
                    rollout.see(&name, self.engines[index].reports[0], now);
                }
            }
            for name in owned {
                let rollout = &mut self.nodes[node].1;
                if let Turn::Order(cause) = rollout.turn(&name, self.chains.of(&name), now) {
                    self.corrections += usize::from(cause == Cause::Correction);
                    let index = self.index(&name);
                    self.engines[index].order(wanted.version, swap);
                }
            }
        }
        let swapping = self.engines.iter().filter(|e| e.loading.is_some() && e.version.is_some());
        self.swapping = self.swapping.max(swapping.count());
    }

    fn settled(&self, version: u64) -> bool {
        self.engines
            .iter()
            .filter(|e| e.alive)
            .all(|e| e.version == Some(version) && e.loading.is_none())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Many owners, lagging reports, swaps that fail partway and a bundle that changes in the
    /// middle of a rollout: never more engines swap at once than there are chains, and all
    /// arrive.
    #[test]
    fn floor_on_capacity_holds(
        engines in 1_usize..20,
        nodes in 1_usize..6,
        percent in 1_u32..=100,
        swap in 1_u32..20,
        failures in prop::collection::vec(0_u32..2, 20),
        second in 1_u32..200,
    ) {
        let mut world = World::new(engines, nodes, percent);
        for (engine, failures) in world.engines.iter_mut().zip(failures) {
            engine.failures = failures;
        }
        for _ in 0..second {
            world.tick(Wanted { generation: 2, version: 2 }, swap, None);
        }
        let last = Wanted { generation: 3, version: 3 };
        for _ in 0..20_000 {
            world.tick(last, swap, None);
            if world.settled(3) {
                break;
            }
        }
        prop_assert!(world.settled(3));
        prop_assert!(world.swapping <= world.chains.len());
    }

    /// Chains hold every engine once, are as long as each other, and the same for every order
    /// of the list.
    #[test]
    fn chains_are_even(engines in 1_usize..60, percent in 1_u32..=100) {
        let mut names: Vec<Name> = (0..engines).map(|i| format!("e{i}").into()).collect();
        let chains = Chains::new("patter", &names, percent);
        prop_assert_eq!(chains.len(), (engines * percent as usize / 100).max(1));
        let lengths: Vec<usize> = names.iter().map(|e| chains.of(e).len()).collect();
        let (least, most) = (lengths.iter().min().unwrap(), lengths.iter().max().unwrap());
        prop_assert!(most - least <= 1);
        names.reverse();
        prop_assert_eq!(chains, Chains::new("patter", &names, percent));
    }
}

/// An engine is dead: its chain goes on without it.
#[test]
fn dead_engine_holds_nothing_up_for_good() {
    let mut world = World::new(6, 2, 34);
    let first = world.chains.of(&world.names[0].clone())[0].clone();
    let dead = world.index(&first);
    world.engines[dead].alive = false;
    let wanted = Wanted { generation: 2, version: 2 };
    for _ in 0..1_000 {
        world.tick(wanted, 4, None);
    }
    assert!(world.settled(2));
    assert!(world.swapping <= 2);
}

/// A node is paused in the middle of a rollout: its successors order its engines.
#[test]
fn paused_owner_is_succeeded() {
    let mut world = World::new(9, 3, 34);
    let wanted = Wanted { generation: 2, version: 2 };
    for _ in 0..20 {
        world.tick(wanted, 10, None);
    }
    for _ in 0..400 {
        world.tick(wanted, 10, Some(0));
    }
    assert!(world.settled(2));
    assert!(world.swapping <= 3);
}

/// An engine that had arrived takes an old order: it is ordered back, and that is counted.
#[test]
fn wrong_version_is_corrected() {
    let mut world = World::new(3, 2, 34);
    let wanted = Wanted { generation: 2, version: 2 };
    while !world.settled(2) {
        world.tick(wanted, 4, None);
    }
    for _ in 0..40 {
        world.tick(wanted, 4, None);
    }
    world.engines[1].order(1, 4);
    for _ in 0..100 {
        world.tick(wanted, 4, None);
    }
    assert!(world.settled(2));
    assert_eq!(world.corrections, 1);
}

/// Owners begin with one load and then keep to their share of the store's rate.
#[test]
fn shares_keep_the_rate() {
    let mut share = StoreShare::default();
    let mut taken = 0;
    for tick in 0..200 {
        let now = TICK * tick;
        share.set(10, 3, 30, now);
        taken += u32::from(share.take(now));
    }
    // A tenth of 10 a second over 10 s, and the one to begin with.
    assert!((10..=11).contains(&taken), "{taken}");
}

/// A settled engine that refuses old orders is looked at less often than one that takes them.
#[test]
fn looks_are_rarer_where_fencing_holds() {
    let wanted = Wanted { generation: 1, version: 1 };
    let name: Name = "engine".into();
    let looks = |fenced| {
        let mut rollout = Rollout::new(wanted, Duration::ZERO);
        rollout.want(wanted, fenced, Duration::ZERO);
        let due = (0..200).map(|tick| TICK * tick).filter(|now| {
            let due = rollout.due(&name, *now);
            if due {
                rollout.see(&name, Sight::Report { version: Some(1), swapping: false }, *now);
            }
            due
        });
        due.count()
    };
    assert_eq!(looks(true), 10);
    assert_eq!(looks(false), 40);
    assert_eq!(Stage::of(Sight::Silent, wanted), Stage::Silent);
}
