//! Simulates weight rollouts and the sample order of training steps, on virtual time. The results
//! are printed as CSV.
#![allow(clippy::print_stdout)]

use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use mulberrycourse::decide::{GroupSpec, Slot, Step, StepSpec, TargetWeights};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standins::rollout::{RolloutSimulation, TICK_DURATION};

/// Simulates weight rollouts and training steps.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Rollout of new weights to all engines: duration, concurrent swaps and load rate.
    Rollout {
        /// Number of engines.
        #[arg(long, default_value_t = 1_100)]
        engines: usize,
        /// Number of nodes.
        #[arg(long, default_value_t = 380)]
        nodes: usize,
        /// Duration of one swap, in milliseconds.
        #[arg(long, default_value_t = 5_000)]
        swap_ms: u64,
        /// Versions that the weight store serves per second.
        #[arg(long, default_value_t = 400)]
        loads: u32,
    },
    /// Duration of a step and lengths of its samples, by policy.
    Stragglers {
        /// Number of seeds.
        #[arg(long, default_value_t = 20)]
        seeds: u64,
    },
}

fn main() {
    match Args::parse().command {
        Command::Rollout { engines, nodes, swap_ms, loads } => {
            rollout(engines, nodes, swap_ms, loads)
        }
        Command::Stragglers { seeds } => stragglers(seeds),
    }
}

/// Simulates rollouts with different limits on the share of engines that swap at the same time.
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

/// Which samples start first, and which are kept.
#[derive(Debug, Clone, Copy)]
enum Policy {
    /// Samples start in the order of their numbers; all are kept.
    Number,
    /// Samples with the largest token limit start first; all are kept.
    Longest,
    /// Each group has two surplus samples, which start in the order of their numbers; the samples
    /// that finish first are kept.
    Surplus,
}

/// Groups in a step.
const GROUP_COUNT: u32 = 256;
/// Samples that are kept of each group.
const SAMPLES_PER_GROUP: u32 = 8;
/// Samples that the engines can run at the same time.
const ENGINE_SLOTS: usize = 256;

/// The result of a step.
#[derive(Debug, Default)]
struct StepResult {
    /// Duration, in token times.
    duration: f64,
    /// Mean length of the kept samples, in tokens.
    mean_tokens: f64,
    /// 90% quantile of the length of the kept samples, in tokens.
    p90_tokens: f64,
    /// Share of the tokens that belong to discarded samples, in percent.
    wasted_percent: f64,
}

/// Compares the policies, with means over all seeds.
fn stragglers(seeds: u64) {
    println!("policy,step_time,mean_tokens,p90_tokens,wasted_tokens_percent");
    for policy in [Policy::Number, Policy::Longest, Policy::Surplus] {
        let mut sum = StepResult::default();
        for seed in 0..seeds {
            let result = run_step(policy, seed);
            sum.duration += result.duration;
            sum.mean_tokens += result.mean_tokens;
            sum.p90_tokens += result.p90_tokens;
            sum.wasted_percent += result.wasted_percent;
        }
        let n = seeds as f64;
        println!(
            "{policy:?},{:.0},{:.1},{:.1},{:.1}",
            sum.duration / n,
            sum.mean_tokens / n,
            sum.p90_tokens / n,
            sum.wasted_percent / n
        );
    }
}

/// Simulates one step. A slot makes one token per token time.
fn run_step(policy: Policy, seed: u64) -> StepResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let surplus = match policy {
        Policy::Number | Policy::Longest => 0,
        Policy::Surplus => 2,
    };
    // Token limits of four kinds. They are meant to be short for most prompts and long for one in
    // sixteen, but this draw takes the last limit for nine in sixteen.
    let limits = [256, 256, 512, 512, 512, 1_024, 1_024, 4_096];
    let prompt = |rng: &mut SmallRng| {
        let max_tokens = limits[rng.random_range(0..limits.len() * 2).min(limits.len() - 1)];
        GroupSpec { prompt: String::new(), samples: SAMPLES_PER_GROUP + surplus, max_tokens }
    };
    let prompts: Vec<GroupSpec> = (0..GROUP_COUNT).map(|_| prompt(&mut rng)).collect();
    let lengths: Vec<Vec<u32>> = prompts
        .iter()
        .map(|p| (0..p.samples).map(|_| sample_length(&mut rng, p.max_tokens)).collect())
        .collect();
    let mut queue = start_order(policy, prompts);
    let mut running: Vec<(u64, Slot)> = Vec::new();
    let mut kept: Vec<u32> = Vec::new();
    let mut kept_by_group = vec![0; GROUP_COUNT as usize];
    let (mut now, mut wasted, mut duration) = (0, 0_u64, 0);
    loop {
        while running.len() < ENGINE_SLOTS
            && let Some(slot) = queue.pop()
        {
            if kept_by_group[slot.group as usize] < SAMPLES_PER_GROUP {
                let tokens = lengths[slot.group as usize][slot.index as usize];
                running.push((now + u64::from(tokens), slot));
            }
        }
        let Some(first) = (0..running.len()).min_by_key(|i| running[*i].0) else { break };
        let (at, slot) = running.swap_remove(first);
        now = at;
        let group = slot.group as usize;
        kept.push(lengths[group][slot.index as usize]);
        kept_by_group[group] += 1;
        duration = now;
        if kept_by_group[group] == SAMPLES_PER_GROUP {
            let same_group = |(end, s): &(u64, Slot)| (s.group == slot.group).then_some(*end);
            let tokens_made = |end: u64, s: &Slot| {
                u64::from(lengths[group][s.index as usize]) - (end - now).min(end)
            };
            wasted += running
                .iter()
                .filter(|p| same_group(p).is_some())
                .map(|(end, s)| tokens_made(*end, s))
                .sum::<u64>();
            running.retain(|p| same_group(p).is_none());
        }
    }
    kept.sort_unstable();
    let total: u64 = kept.iter().map(|t| u64::from(*t)).sum();
    StepResult {
        duration: duration as f64,
        mean_tokens: total as f64 / kept.len() as f64,
        p90_tokens: f64::from(kept[kept.len() * 9 / 10]),
        wasted_percent: 100.0 * wasted as f64 / (total + wasted) as f64,
    }
}

/// Draws the length of a sample between a quarter of the token limit and the limit.
fn sample_length(rng: &mut SmallRng, max_tokens: u32) -> u32 {
    rng.random_range(max_tokens / 4..=max_tokens)
}

/// Returns the samples in reverse order of their start.
fn start_order(policy: Policy, prompts: Vec<GroupSpec>) -> Vec<Slot> {
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
