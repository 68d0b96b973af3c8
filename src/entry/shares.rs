//! Sends the shares of slots from the leader to the owners of jobs, and applies them there.
//!
//! The shares go with the leader's requests for the demand, so they need no messages of their own.

use super::app::App;
use super::slots::Slots;
use crate::decide::load::{
    ComputedShares, ShareOrder, ShareOutcome, TrainerDemand, compute_shares,
};
use crate::metrics::EntryMetrics;
use crate::{Moment, Name};

/// Number of trainers whose demand a node reports, those with the most samples. At about 40 bytes
/// each, four reports a second stay below the 7 KB per second that a node may use for control. A
/// trainer that is not reported has no share, and may use any slot.
const MAX_REPORTED_TRAINERS: usize = 32;

/// The shares that a leader computed in its term.
#[derive(Debug)]
pub(super) struct TermShares {
    /// The revision of the leader key that began the term.
    fence: u64,
    /// The number of the last order.
    sequence: u64,
    computed: ComputedShares,
    /// When they were computed; none before the first time.
    computed_at: Option<Moment>,
}

impl TermShares {
    /// A term that begins.
    pub(super) fn new(fence: u64) -> Self {
        Self { fence, sequence: 0, computed: ComputedShares::default(), computed_at: None }
    }

    /// Whether some service is short of slots.
    pub(super) fn any_short(&self) -> bool {
        !self.computed.short.is_empty()
    }

    /// Returns the order for a node from the latest computation; none before the first.
    pub(super) fn order_for(&self, node: &Name, now: Moment) -> Option<ShareOrder> {
        Some(ShareOrder {
            fence: self.fence,
            sequence: self.sequence,
            age: now.saturating_sub(self.computed_at?),
            shares: self.computed.by_node.get(node).cloned().unwrap_or_default(),
            contended: self.computed.contended.clone(),
        })
    }

    /// Computes the shares from the demand of each node.
    pub(super) fn compute(
        &mut self,
        mut demands: Vec<(Name, Vec<TrainerDemand>)>,
        slots: &Slots,
        tally: &EntryMetrics,
        now: Moment,
    ) {
        for (node, trainers) in &mut demands {
            let reported = trainers.len();
            trainers.truncate(MAX_REPORTED_TRAINERS);
            trainers.retain(TrainerDemand::is_valid);
            let ignored = reported - trainers.len();
            if ignored > 0 {
                tally.count_ignored_demand(ignored as u64);
                tracing::warn!(event = "demand_ignored", %node, trainers = ignored);
            }
        }
        let fleet = slots.fleet.lock();
        self.computed = compute_shares(&demands, |service| fleet.slot_pools(service, now));
        drop(fleet);
        self.computed_at = Some(now);
        self.sequence += 1;
        let (fence, sequence) = (self.fence, self.sequence);
        for service in &self.computed.short {
            let of = || {
                let all = demands.iter().flat_map(|(_, trainers)| trainers);
                all.filter(|demand| demand.trainer.service == *service)
            };
            let waiting: u32 = of().map(|demand| demand.waiting).sum();
            let running: u32 = of().map(|demand| demand.running).sum();
            let nodes = self.computed.by_node.len();
            tracing::info!(event = "shares_computed", fence, sequence, %service, waiting, running, nodes);
        }
    }
}

impl App {
    /// Returns the demand of the trainers that use slots through this node.
    pub(super) fn trainer_demand(&self) -> Vec<TrainerDemand> {
        self.slots.trainer_demand(MAX_REPORTED_TRAINERS)
    }

    /// Applies the shares that the leader sent, unless they are outdated.
    pub(super) fn accept_shares(&self, order: ShareOrder) {
        let now = self.now();
        let (fence, sequence, age_ms) = (order.fence, order.sequence, order.age.as_millis() as u64);
        let (shares, contended) = (order.shares.len(), order.contended.len());
        let outcome = self.slots.set_shares(order, now);
        self.tally.count_share_order(outcome);
        // Without shares there is nothing to follow in the log, once a second at each owner.
        if outcome != ShareOutcome::Accepted || shares > 0 {
            tracing::info!(
                event = "shares_received",
                fence,
                sequence,
                age_ms,
                shares,
                contended,
                ?outcome
            );
        }
    }
}
