//! The weight rollout of one service, as one node sees it.

use std::collections::HashMap;
use std::time::Duration;

use super::{EngineObservation, RolloutStage, TargetWeights, WeightLoadBudget};
use crate::{Moment, Name};

/// Time without a change in a chain after which the chain skips the engine that blocks it.
/// Longer than the longest swap, 8 s, with which a chain of three engines keeps to the 24 s
/// that are planned for a rollout.
const CHAIN_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without an effect after which an order is repeated: longer than the lag of the load
/// reports and the delivery of an order.
const ORDER_RESEND_DELAY: Duration = Duration::from_secs(1);
/// Time after a change of the target in which reports may be older than the change: an
/// engine may still be swapping to the previous version without reporting it.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time between two observations of an engine that is not settled, or that may accept old
/// orders.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two observations of a settled engine that refuses old orders.
const SETTLED_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Observations in a row without an answer after which an engine counts as dead.
const SILENT_POLLS_TO_DEAD: u32 = 3;
/// Longest time between two observations of an engine that does not answer.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The reason for an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderReason {
    /// The engine serves another version.
    Rollout,
    /// A swap failed partway.
    Repair,
    /// The engine had the target version and has another one now: it accepted an old order,
    /// or it restarted.
    Correction,
}

/// Whether an order is given to an engine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderDecision {
    /// The engine needs no order, or none yet.
    None,
    /// The engine has to wait for another engine of its chain, or for the weight store.
    Wait,
    /// The order is given now.
    Order(OrderReason),
}

/// What a node knows of one engine.
#[derive(Debug, Clone, Copy)]
struct EngineState {
    observation: EngineObservation,
    stage: RolloutStage,
    /// When the stage last changed.
    changed_at: Moment,
    observed_at: Moment,
    /// Observations without an answer, in a row.
    silent_polls: u32,
    /// Whether the engine has served the current target version.
    was_settled: bool,
    /// Whether the chain goes on without the engine.
    skipped: bool,
    /// When the last order towards the current target was given.
    ordered_at: Option<Moment>,
}

/// The rollout of one service.
#[derive(Debug, Clone)]
pub struct Rollout {
    target: TargetWeights,
    target_since: Moment,
    /// Whether the engines refuse old orders.
    fenced: bool,
    engines: HashMap<Name, EngineState>,
    load_budget: WeightLoadBudget,
}

impl Rollout {
    /// A rollout without any observations.
    pub fn new(target: TargetWeights, now: Moment) -> Self {
        Self {
            target,
            target_since: now,
            fenced: true,
            engines: HashMap::new(),
            load_budget: WeightLoadBudget::default(),
        }
    }

    /// Sets the target from the bundle, and whether the engines refuse old orders.
    pub fn set_target(&mut self, target: TargetWeights, fenced: bool, now: Moment) {
        self.fenced = fenced;
        if target.version != self.target.version {
            self.target_since = now;
            for state in self.engines.values_mut() {
                state.stage = RolloutStage::of(state.observation, target);
                state.changed_at = now;
                state.was_settled = false;
                // An engine that already counts as dead does not block its chain.
                state.skipped = state.stage == RolloutStage::Silent
                    && state.silent_polls >= SILENT_POLLS_TO_DEAD;
                state.ordered_at = None;
            }
        }
        self.target = target;
    }

    /// Sets the node's share of the weight store's rate. See [`WeightLoadBudget::set`].
    pub fn set_load_budget(&mut self, rate: u32, owned: usize, total: usize, now: Moment) {
        self.load_budget.set(rate, owned, total, now);
    }

    /// Records an observation of an engine.
    pub fn observe(&mut self, engine: &Name, observation: EngineObservation, now: Moment) {
        let stage = RolloutStage::of(observation, self.target);
        let state = self.engines.entry(engine.clone()).or_insert(EngineState {
            observation,
            stage: RolloutStage::Unknown,
            changed_at: now,
            observed_at: now,
            silent_polls: 0,
            was_settled: false,
            skipped: false,
            ordered_at: None,
        });
        state.observed_at = now;
        state.observation = observation;
        state.silent_polls = if stage == RolloutStage::Silent { state.silent_polls + 1 } else { 0 };
        state.was_settled |= stage == RolloutStage::Settled;
        if stage != state.stage {
            state.stage = stage;
            state.changed_at = now;
            state.skipped = false;
        }
    }

    /// Removes all engines that are not in the list.
    pub fn retain(&mut self, engines: &[Name]) {
        self.engines.retain(|name, _| engines.contains(name));
    }

    /// Whether an engine has to be observed now.
    pub fn poll_due(&self, engine: &str, now: Moment) -> bool {
        let Some(state) = self.engines.get(engine) else { return true };
        let interval = match state.stage {
            RolloutStage::Settled if self.fenced => SETTLED_POLL_INTERVAL,
            RolloutStage::Silent => (ACTIVE_POLL_INTERVAL
                * 2_u32.saturating_pow(state.silent_polls.min(8)))
            .min(MAX_POLL_INTERVAL),
            RolloutStage::Settled
            | RolloutStage::Unknown
            | RolloutStage::Behind
            | RolloutStage::Swapping
            | RolloutStage::Failed => ACTIVE_POLL_INTERVAL,
        };
        now.saturating_sub(state.observed_at) >= interval
    }

    /// The stage of an engine.
    pub fn stage(&self, engine: &str) -> RolloutStage {
        self.engines.get(engine).map_or(RolloutStage::Unknown, |s| s.stage)
    }

    /// The last observation of an engine, with its time.
    pub fn last_observation(&self, engine: &str) -> Option<(EngineObservation, Moment)> {
        self.engines.get(engine).map(|s| (s.observation, s.observed_at))
    }

    /// The target weights.
    pub fn target(&self) -> TargetWeights {
        self.target
    }

    /// Decides whether an order is given now to an engine that this node owns; if so, the
    /// order is recorded as given. `chain` is the engine's chain, including the engine.
    pub fn next_order(&mut self, engine: &str, chain: &[Name], now: Moment) -> OrderDecision {
        let Some(reason) = self.order_reason(engine, now) else { return OrderDecision::None };
        // An engine with incomplete weights serves nobody, so that a swap takes no capacity
        // away. Any other engine waits for its chain.
        if reason != OrderReason::Repair && !self.may_swap(engine, chain, now) {
            return OrderDecision::Wait;
        }
        if !self.load_budget.take(now) {
            return OrderDecision::Wait;
        }
        if let Some(state) = self.engines.get_mut(engine) {
            state.ordered_at = Some(now);
        }
        OrderDecision::Order(reason)
    }

    /// The reason to give an engine an order, if it needs one.
    fn order_reason(&self, engine: &str, now: Moment) -> Option<OrderReason> {
        let state = self.engines.get(engine)?;
        if state.ordered_at.is_some_and(|at| now.saturating_sub(at) < ORDER_RESEND_DELAY) {
            return None;
        }
        match state.stage {
            RolloutStage::Failed => Some(OrderReason::Repair),
            RolloutStage::Behind if state.was_settled => Some(OrderReason::Correction),
            RolloutStage::Behind => Some(OrderReason::Rollout),
            RolloutStage::Unknown
            | RolloutStage::Silent
            | RolloutStage::Swapping
            | RolloutStage::Settled => None,
        }
    }

    /// Whether every engine before this one in the chain is settled or skipped, and no other
    /// engine of the chain is swapping.
    fn may_swap(&mut self, engine: &str, chain: &[Name], now: Moment) -> bool {
        if now.saturating_sub(self.target_since) < REPORT_LAG && chain.len() > 1 {
            return false;
        }
        let mut before = true;
        let mut blocker = None;
        for name in chain {
            before &= &**name != engine;
            let state = self.engines.get(name);
            let stage = state.map_or(RolloutStage::Unknown, |s| s.stage);
            let skipped = state.is_some_and(|s| s.skipped);
            let blocks = match stage {
                RolloutStage::Settled => false,
                RolloutStage::Swapping => &**name != engine,
                RolloutStage::Unknown
                | RolloutStage::Silent
                | RolloutStage::Behind
                | RolloutStage::Failed => before,
            };
            if blocks && !skipped {
                blocker.get_or_insert(name);
            }
        }
        let Some(blocker) = blocker else { return true };
        self.skip_if_stalled(blocker, chain, now);
        false
    }

    /// Makes a chain skip the engine that blocks it once nothing has changed for
    /// [`CHAIN_STALL_TIMEOUT`].
    fn skip_if_stalled(&mut self, blocker: &Name, chain: &[Name], now: Moment) {
        let changed = chain.iter().filter_map(|e| self.engines.get(e)).map(|s| s.changed_at).max();
        let moved = changed.unwrap_or(self.target_since).max(self.target_since);
        if now.saturating_sub(moved) < CHAIN_STALL_TIMEOUT {
            return;
        }
        if let Some(state) = self.engines.get_mut(blocker) {
            state.skipped = true;
        }
    }
}
