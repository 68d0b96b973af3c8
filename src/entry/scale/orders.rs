//! Ordering replicas, while this node is the holder of duties.
//!
//! Nothing that was ordered can be read back: a plan is written to the store before it is
//! sent, and held against the list of replicas. An order that was not answered is sent again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decide::scale::{Autoscale, Planner};
use crate::edge::duty::{DutyEnd, ScaleOrder, Term};
use crate::edge::store::StoreError;
use crate::entry::app::App;
use crate::entry::fenced_value::{FencedValue, FencedWrite};
use crate::entry::keys::SCALE_KEY;
use crate::{Moment, Name};

/// How often plans are made: as often as homes are asked what their samples want.
const LOOK: Duration = Duration::from_secs(1);
/// How long a call may take.
const CALL: Duration = Duration::from_millis(2_500);
/// How long after a replica should serve its order is sent again: what was ordered may have
/// been taken back, or an older order carried out late.
const LATE: Duration = Duration::from_secs(2);

/// The last order of a service in an availability zone.
#[derive(Debug, Clone, Copy)]
struct Sent {
    desired: u32,
    at: Moment,
    taken: bool,
}

/// The orders of one term.
struct Orders {
    app: Arc<App>,
    fence: u64,
    record: FencedValue,
    planners: BTreeMap<Name, Planner>,
    sent: BTreeMap<(Name, Name), Sent>,
}

/// Orders replicas until the term is over.
pub(in crate::entry) async fn run_autoscaling(app: &Arc<App>, fence: u64) {
    if app.settings.duties_address.is_none() {
        return std::future::pending().await;
    }
    let mut orders = Orders {
        app: app.clone(),
        fence,
        record: FencedValue::new(SCALE_KEY, fence),
        planners: BTreeMap::new(),
        sent: BTreeMap::new(),
    };
    tokio::time::sleep(app.takeover_delay()).await;
    let mut read = false;
    loop {
        let step = if read { orders.step().await } else { orders.read().await };
        match step {
            Ok(true) => read = true,
            Ok(false) => return,
            Err(e) => {
                tracing::warn!(event = "replicas_not_planned", fence, error = %e);
                read = false;
            }
        }
        tokio::time::sleep(LOOK).await;
    }
}

impl Orders {
    /// Reads what an earlier holder ordered.
    async fn read(&mut self) -> Result<bool, StoreError> {
        self.planners = self.record.read(&self.app).await?.unwrap_or_default();
        Ok(true)
    }

    /// Plans, and sends what is new. False once the term is over.
    async fn step(&mut self) -> Result<bool, StoreError> {
        let Some(routes) = self.app.routes() else { return Ok(true) };
        let mut changed = false;
        for limits in routes.autoscales() {
            changed |= self.plan(limits);
        }
        if changed && !self.write().await? {
            return Ok(false);
        }
        for limits in routes.autoscales() {
            self.send(limits).await;
        }
        Ok(true)
    }

    /// Plans for one service. True if the plan is new.
    fn plan(&mut self, limits: &Autoscale) -> bool {
        let now = self.app.now();
        let Some(wanted) = self.app.load.lock().wanted(&limits.service, now) else { return false };
        let (base, slots) = {
            let fleet = self.app.slots.fleet.lock();
            (fleet.count(&limits.service, false), fleet.slots(&limits.service))
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

    /// Writes the plans. False if this node is holder no more.
    async fn write(&mut self) -> Result<bool, StoreError> {
        match self.record.write(&self.app, &self.planners).await? {
            FencedWrite::Done => Ok(true),
            FencedWrite::Conflict => self.read().await,
            FencedWrite::NotLeader => Ok(false),
        }
    }

    /// Sends the orders of a service that are new, were not answered or have come to nothing.
    async fn send(&mut self, limits: &Autoscale) {
        let Some(planner) = self.planners.get(&limits.service).cloned() else { return };
        let there = self.app.slots.fleet.lock().count(&limits.service, limits.spot);
        for (zone, extra) in planner.extra() {
            let there = there.get(zone).copied().unwrap_or(0);
            // Each kind is counted by itself, and the base is of the other one.
            let base = if limits.spot { 0 } else { planner.base().get(zone).copied().unwrap_or(0) };
            let order = ScaleOrder {
                service: limits.service.clone(),
                zone: zone.clone(),
                spot: limits.spot,
                desired: base + extra,
            };
            if !self.due(&order, limits, there) || !self.app.holds_term(self.fence) {
                continue;
            }
            let end = self.order(&order).await;
            let (at, taken) = (self.app.now(), end == DutyEnd::Done);
            let sent = Sent { desired: order.desired, at, taken };
            self.sent.insert((order.service, order.zone), sent);
            if end == DutyEnd::Refused
                && let Some(planner) = self.planners.get_mut(&limits.service)
            {
                planner.refused(zone, there.saturating_sub(base), at);
            }
        }
    }

    fn due(&self, order: &ScaleOrder, limits: &Autoscale, there: u32) -> bool {
        let subject = (order.service.clone(), order.zone.clone());
        let Some(sent) = self.sent.get(&subject) else { return order.desired != there };
        let rested = self.app.now().saturating_sub(sent.at);
        let fresh = sent.desired != order.desired || !sent.taken;
        fresh || (there != order.desired && rested > limits.boot + LATE)
    }

    async fn order(&self, order: &ScaleOrder) -> DutyEnd {
        let term = Term { holder: self.app.settings.name.clone(), fence: self.fence };
        *self.app.last_duty.lock() = Some(self.app.now());
        let end = self.app.duties.scale(term, order.clone(), CALL).await;
        self.app.tally.scale(end);
        tracing::info!(
            event = "replicas_ordered",
            service = %order.service,
            zone = %order.zone,
            spot = order.spot,
            desired = order.desired,
            fence = self.fence,
            outcome = ?end
        );
        end
    }
}
