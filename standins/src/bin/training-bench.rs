//! Measures the decisions of training on virtual time: weight rollout and stragglers.
#![allow(clippy::print_stdout)]

use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use mulberrycourse::decide::{GroupSpec, Slot, Step, StepSpec, TargetWeights};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standins::rollout::{RolloutSimulation, TICK_DURATION};

/// Measures the decisions of training.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    /// New weights on all engines: how long, how many at once, at which rate.
    Rollout {
        /// Engines.
        #[arg(long, default_value_t = 1_100)]
        engines: usize,
        /// Nodes.
        #[arg(long, default_value_t = 380)]
        nodes: usize,
        /// Time of one swap, in milliseconds.
        #[arg(long, default_value_t = 5_000)]
        swap_ms: u64,
        /// Versions a second that the weight store hands out.
        #[arg(long, default_value_t = 400)]
        loads: u32,
    },
    /// The time of a step and the lengths of its samples, by policy.
    Stragglers {
        /// Seeds.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
}

fn main() {
    match Args::parse().what {
        What::Rollout { engines, nodes, swap_ms, loads } => rollout(engines, nodes, swap_ms, loads),
        What::Stragglers { seeds } => stragglers(seeds),
    }
}

fn rollout(engines: usize, nodes: usize, swap_ms: u64, loads: u32) {
    let swap = (swap_ms / TICK_DURATION.as_millis() as u64) as u32;
    println!("percent,chains,seconds,most_swapping,most_loads_a_second,looks,micros_a_node_second");
    for percent in [10, 25, 34, 50] {
        let mut world = RolloutSimulation::new(engines, nodes, percent);
        world.load_rate = loads;
        let mut ticks = 0_u32;
        for _ in 0..40 {
            world.tick(TargetWeights { generation: 1, version: 1 }, swap, None);
        }
        (world.observations, world.tick_loads) = (0, Vec::new());
        let began = Instant::now();
        while !world.is_settled(2) && ticks < 20_000 {
            world.tick(TargetWeights { generation: 2, version: 2 }, swap, None);
            ticks += 1;
        }
        let seconds = (TICK_DURATION * ticks).as_secs_f64();
        let second = (Duration::from_secs(1).as_millis() / TICK_DURATION.as_millis()) as usize;
        let worst = world.tick_loads.windows(second).map(|w| w.iter().sum::<u32>()).max();
        let micros = began.elapsed().as_micros() as f64 / nodes as f64 / seconds;
        println!(
            "{percent},{},{seconds:.1},{},{},{},{micros:.0}",
            world.chains.len(),
            world.peak_swapping,
            worst.unwrap_or_default(),
            world.observations,
        );
    }
}

/// What is begun first, and what is kept.
#[derive(Debug, Clone, Copy)]
enum Policy {
    /// Samples in the order of their numbers; all are kept.
    Number,
    /// Longest prompts first; all are kept.
    Longest,
    /// Two more a group than are wanted, in the order of their numbers; the first are kept.
    Surplus,
}

/// Groups in a step, samples in a group, places at engines.
const GROUPS: u32 = 256;
const SAMPLES: u32 = 8;
const PLACES: usize = 256;

#[derive(Debug, Default)]
struct Outcome {
    time: f64,
    mean: f64,
    long: f64,
    wasted: f64,
}

fn stragglers(seeds: u64) {
    println!("policy,step_time,mean_tokens,p90_tokens,wasted_tokens_percent");
    for policy in [Policy::Number, Policy::Longest, Policy::Surplus] {
        let mut sum = Outcome::default();
        for seed in 0..seeds {
            let one = step(policy, seed);
            sum.time += one.time;
            sum.mean += one.mean;
            sum.long += one.long;
            sum.wasted += one.wasted;
        }
        let n = seeds as f64;
        println!(
            "{policy:?},{:.0},{:.1},{:.1},{:.1}",
            sum.time / n,
            sum.mean / n,
            sum.long / n,
            sum.wasted / n
        );
    }
}

/// Runs one step: a place takes one token time for each token.
fn step(policy: Policy, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let surplus = match policy {
        Policy::Number | Policy::Longest => 0,
        Policy::Surplus => 2,
    };
    // Prompts of four kinds: most are short, one in sixteen is long.
    let limits = [256, 256, 512, 512, 512, 1_024, 1_024, 4_096];
    let prompt = |rng: &mut SmallRng| {
        let max_tokens = limits[rng.random_range(0..limits.len() * 2).min(limits.len() - 1)];
        GroupSpec { prompt: String::new(), samples: SAMPLES + surplus, max_tokens }
    };
    let prompts: Vec<GroupSpec> = (0..GROUPS).map(|_| prompt(&mut rng)).collect();
    let lengths: Vec<Vec<u32>> = prompts
        .iter()
        .map(|p| (0..p.samples).map(|_| length(&mut rng, p.max_tokens)).collect())
        .collect();
    let mut queue = begin(policy, prompts);
    let mut places: Vec<(u64, Slot)> = Vec::new();
    let mut kept: Vec<u32> = Vec::new();
    let mut of_group = vec![0; GROUPS as usize];
    let (mut now, mut wasted, mut time) = (0, 0_u64, 0);
    loop {
        while places.len() < PLACES
            && let Some(slot) = queue.pop()
        {
            if of_group[slot.group as usize] < SAMPLES {
                let tokens = lengths[slot.group as usize][slot.index as usize];
                places.push((now + u64::from(tokens), slot));
            }
        }
        let Some(first) = (0..places.len()).min_by_key(|i| places[*i].0) else { break };
        let (at, slot) = places.swap_remove(first);
        now = at;
        let group = slot.group as usize;
        kept.push(lengths[group][slot.index as usize]);
        of_group[group] += 1;
        time = now;
        if of_group[group] == SAMPLES {
            let left = |(end, s): &(u64, Slot)| (s.group == slot.group).then_some(*end);
            let cut = |end: u64, s: &Slot| {
                u64::from(lengths[group][s.index as usize]) - (end - now).min(end)
            };
            wasted += places
                .iter()
                .filter(|p| left(p).is_some())
                .map(|(end, s)| cut(*end, s))
                .sum::<u64>();
            places.retain(|p| left(p).is_none());
        }
    }
    kept.sort_unstable();
    let total: u64 = kept.iter().map(|t| u64::from(*t)).sum();
    Outcome {
        time: time as f64,
        mean: total as f64 / kept.len() as f64,
        long: f64::from(kept[kept.len() * 9 / 10]),
        wasted: 100.0 * wasted as f64 / (total + wasted) as f64,
    }
}

/// Between a quarter of the most tokens and all of them.
fn length(rng: &mut SmallRng, most: u32) -> u32 {
    rng.random_range(most / 4..=most)
}

/// The slots, the first to begin last.
fn begin(policy: Policy, prompts: Vec<GroupSpec>) -> Vec<Slot> {
    let mut slots = match policy {
        Policy::Longest => Step::new(StepSpec { version: 1, groups: prompts }, 1).start(usize::MAX),
        Policy::Number | Policy::Surplus => {
            let groups = (0..).zip(prompts);
            let all = |(group, p): (u32, GroupSpec)| {
                (0..p.samples).map(move |index| Slot { group, index })
            };
            groups.flat_map(all).collect()
        }
    };
    slots.reverse();
    slots
}
