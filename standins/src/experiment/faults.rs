//! Faults and other changes in the course of a simulation.

use std::time::Duration;

use super::event::{Event, OrderedOutcome};
use super::simulation::Simulation;
use super::{Change, ChangeKind};

/// How long a replaced upstream drains before it goes down, and then how long it is away. A
/// rolling replacement begins the next upstream when the last one is back.
pub(super) const REPLACE_INTERVAL: Duration = Duration::from_secs(4);
/// How long an upstream takes to load weights.
const WEIGHT_SWAP_TIME: Duration = Duration::from_secs(3);
/// Delay until the list of VMs shows that an upstream is down or back.
pub(super) const LISTING_LAG: Duration = Duration::from_secs(2);

impl Simulation<'_> {
    /// Crashes an upstream: every attempt on it ends with an unknown outcome.
    pub(super) fn take_down(&mut self, upstream: usize) {
        let aborted = self.upstreams[upstream].crash(self.now);
        self.upstreams[upstream].down = true;
        for f in aborted {
            let (ticket, attempt) = f.attempt;
            if let Some(request) = self.requests.get_mut(&ticket) {
                request.spent += f.work;
                request.runs += u32::from(f.work > 0.0);
            }
            self.schedule(
                self.now,
                Event::Deliver { ticket, attempt, outcome: OrderedOutcome::Unknown },
            );
        }
        self.schedule_check(upstream);
    }

    /// Applies a change of the scenario when it begins, and undoes it when it ends.
    pub(super) fn apply_change(&mut self, index: usize, begin: bool) {
        let change = self.scenario.changes[index].clone();
        let now = self.now;
        for upstream in self.affected_upstreams(&change) {
            match change.kind {
                ChangeKind::Slow => {
                    self.upstreams[upstream].advance(now);
                    self.upstreams[upstream].slowdown = if begin { change.factor } else { 1.0 };
                    self.schedule_check(upstream);
                }
                ChangeKind::Frozen => self.schedule(now, Event::SetFrozen(upstream, begin)),
                ChangeKind::Down => {
                    self.schedule(
                        now,
                        if begin { Event::Down(upstream) } else { Event::Up(upstream) },
                    );
                    self.schedule(now + LISTING_LAG, Event::SetListed(upstream, !begin));
                }
                ChangeKind::Load => {}
                ChangeKind::Replace => {
                    if begin {
                        self.schedule(
                            now + REPLACE_INTERVAL * 2 * upstream as u32,
                            Event::Replace(upstream),
                        );
                    }
                }
                ChangeKind::Swap => {
                    if begin {
                        let wave = (upstream * 3 / self.upstreams.len()) as u32;
                        let from = now + WEIGHT_SWAP_TIME * wave;
                        self.schedule(from, Event::SetListed(upstream, false));
                        self.schedule(from, Event::SetFrozen(upstream, true));
                        self.schedule(from + WEIGHT_SWAP_TIME, Event::SetFrozen(upstream, false));
                        self.schedule(from + WEIGHT_SWAP_TIME, Event::SetListed(upstream, true));
                    }
                }
            }
        }
        if change.kind == ChangeKind::Load {
            let flows = self.scenario.flows.iter().enumerate();
            for (flow, _) in flows.filter(|(_, f)| f.name == change.flow) {
                self.load_factors[flow] = if begin { change.factor } else { 1.0 };
                self.schedule_arrival(flow);
            }
        }
    }

    /// The indices of the upstreams that a change affects.
    fn affected_upstreams(&self, change: &Change) -> Vec<usize> {
        let is_in_zone = |i: usize, zone: usize| *self.views[i].zone == *format!("zone{zone}");
        match change.zone {
            Some(wanted) => (0..self.upstreams.len()).filter(|i| is_in_zone(*i, wanted)).collect(),
            None => (0..change.upstreams.min(self.upstreams.len())).collect(),
        }
    }
}
