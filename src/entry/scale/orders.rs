//! Orders replicas from the platform while this node is the leader.
//!
//! The platform does not say what was ordered. A plan is therefore written to the store before
//! it is sent, and compared with the list of replicas. An order that was not answered is sent
//! again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decide::scale::{Autoscale, Planner};
use crate::edge::duty::{DutyOutcome, ScaleOrder, Term};
use crate::edge::store::StoreError;
use crate::entry::app::App;
use crate::entry::fenced_value::{FencedValue, FencedWrite};
use crate::entry::keys::SCALE_KEY;
use crate::{Moment, Name};

/// How often replicas are planned: as often as the other nodes are asked for the demand of
/// their samples.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// How long the platform may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long after a replica should be serving its order is sent again: the platform may have
/// withdrawn the replica, or have applied an older order late.
const REORDER_DELAY: Duration = Duration::from_secs(2);

/// The last order that was sent for a service in an availability zone.
#[derive(Debug, Clone, Copy)]
struct SentOrder {
    desired: u32,
    sent_at: Moment,
    /// Whether the platform has accepted it.
    accepted: bool,
}

/// Plans and orders replicas during one term as leader.
struct Autoscaler {
    app: Arc<App>,
    /// The revision of the leader key that began the term.
    fencing_token: u64,
    /// The value in the store, which only the leader of the term may write.
    record: FencedValue,
    /// The plan of each service.
    planners: BTreeMap<Name, Planner>,
    /// The last order of each service and availability zone.
    sent: BTreeMap<(Name, Name), SentOrder>,
}

/// Plans and orders replicas until the term of this node as leader is over. Waits forever if the
/// settings name no platform to order from.
pub(in crate::entry) async fn run_autoscaling(app: &Arc<App>, fencing_token: u64) {
    if app.settings.duties_address.is_none() {
        return std::future::pending().await;
    }
    let mut autoscaler = Autoscaler {
        app: app.clone(),
        fencing_token,
        record: FencedValue::new(SCALE_KEY, fencing_token),
        planners: BTreeMap::new(),
        sent: BTreeMap::new(),
    };
    tokio::time::sleep(app.takeover_delay()).await;
    let mut loaded = false;
    loop {
        let step =
            if loaded { autoscaler.plan_and_order().await } else { autoscaler.load_plans().await };
        match step {
            Ok(true) => loaded = true,
            Ok(false) => return,
            Err(e) => {
                tracing::warn!(event = "replicas_not_planned", fence = fencing_token, error = %e);
                loaded = false;
            }
        }
        tokio::time::sleep(PLAN_INTERVAL).await;
    }
}

impl Autoscaler {
    /// Reads the plans that the last leader wrote.
    async fn load_plans(&mut self) -> Result<bool, StoreError> {
        self.planners = self.record.read(&self.app).await?.unwrap_or_default();
        Ok(true)
    }

    /// Updates all plans and sends the orders that are due. False once the term is over.
    async fn plan_and_order(&mut self) -> Result<bool, StoreError> {
        let Some(routes) = self.app.routes() else { return Ok(true) };
        let mut changed = false;
        for limits in routes.autoscales() {
            changed |= self.plan(limits);
        }
        if changed && !self.save_plans().await? {
            return Ok(false);
        }
        for limits in routes.autoscales() {
            self.send(limits).await;
        }
        Ok(true)
    }

    /// Updates the plan of one service. True if it has changed.
    fn plan(&mut self, limits: &Autoscale) -> bool {
        let now = self.app.now();
        let Some(wanted) = self.app.slot_load.lock().mean_slots(&limits.service, now) else {
            return false;
        };
        let (base, slots) = {
            let fleet = self.app.slots.fleet.lock();
            (fleet.count_by_zone(&limits.service, false), fleet.slots_per_replica(&limits.service))
        };
        let Some(slots) = slots else { return false };
        let planner = self.planners.entry(limits.service.clone());
        let planner = planner.or_insert_with(|| Planner::new(base));
        let changed = planner.update(limits, wanted, slots, now);
        if changed {
            let (base, extra) = (planner.base(), planner.extra());
            let service = &limits.service;
            tracing::info!(event = "replicas_planned", %service, wanted, ?base, ?extra);
        }
        changed
    }

    /// Writes the plans to the store. False if this node is no longer the leader.
    async fn save_plans(&mut self) -> Result<bool, StoreError> {
        match self.record.write(&self.app, &self.planners).await? {
            FencedWrite::Done => Ok(true),
            FencedWrite::Conflict => self.load_plans().await,
            FencedWrite::NotLeader => Ok(false),
        }
    }

    /// Sends the orders of a service that are new, were not answered or had no effect.
    async fn send(&mut self, limits: &Autoscale) {
        let Some(planner) = self.planners.get(&limits.service).cloned() else { return };
        let running = self.app.slots.fleet.lock().count_by_zone(&limits.service, limits.spot);
        for (zone, extra) in planner.extra() {
            let there = running.get(zone).copied().unwrap_or(0);
            // Spot and on-demand replicas are counted separately, and the base is on demand.
            let base = if limits.spot { 0 } else { planner.base().get(zone).copied().unwrap_or(0) };
            let order = ScaleOrder {
                service: limits.service.clone(),
                zone: zone.clone(),
                spot: limits.spot,
                desired: base + extra,
            };
            if !self.is_due(&order, limits, there) || !self.app.holds_term(self.fencing_token) {
                continue;
            }
            let end = self.order(&order).await;
            let (sent_at, accepted) = (self.app.now(), end == DutyOutcome::Done);
            let sent = SentOrder { desired: order.desired, sent_at, accepted };
            self.sent.insert((order.service, order.zone), sent);
            if end == DutyOutcome::Refused
                && let Some(planner) = self.planners.get_mut(&limits.service)
            {
                planner.zone_refused(zone, there.saturating_sub(base), sent_at);
            }
        }
    }

    /// Whether an order has to be sent, or sent again. `there` is the number of replicas in the
    /// availability zone.
    fn is_due(&self, order: &ScaleOrder, limits: &Autoscale, there: u32) -> bool {
        let subject = (order.service.clone(), order.zone.clone());
        let Some(sent) = self.sent.get(&subject) else { return order.desired != there };
        let elapsed = self.app.now().saturating_sub(sent.sent_at);
        let unsent = sent.desired != order.desired || !sent.accepted;
        unsent || (there != order.desired && elapsed > limits.boot_time + REORDER_DELAY)
    }

    /// Sends an order to the platform.
    async fn order(&self, order: &ScaleOrder) -> DutyOutcome {
        let term =
            Term { leader: self.app.settings.name.clone(), fencing_token: self.fencing_token };
        *self.app.last_duty.lock() = Some(self.app.now());
        let end = self.app.duties.order_scale(term, order.clone(), ORDER_TIMEOUT).await;
        self.app.tally.count_scale_order(end);
        tracing::info!(
            event = "replicas_ordered",
            service = %order.service,
            zone = %order.zone,
            spot = order.spot,
            desired = order.desired,
            fence = self.fencing_token,
            outcome = ?end
        );
        end
    }
}
