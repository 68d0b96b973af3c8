//! What goes wrong, or changes, in the course of a run.

use std::time::Duration;

use super::event::{Ending, Event};
use super::run::Run;
use super::{Change, ChangeKind};

/// Time between two upstreams of a rolling replacement, and how long one is away.
pub(super) const REPLACE: Duration = Duration::from_secs(4);
/// How long an upstream takes to load weights.
const SWAP: Duration = Duration::from_secs(3);
/// How long the list of VMs lags.
pub(super) const LAG: Duration = Duration::from_secs(2);

impl Run<'_> {
    pub(super) fn down(&mut self, upstream: usize) {
        let over = self.upstreams[upstream].crash(self.now);
        self.upstreams[upstream].down = true;
        for f in over {
            let (ticket, attempt) = f.job;
            if let Some(asked) = self.asked.get_mut(&ticket) {
                asked.spent += f.work;
                asked.ran += u32::from(f.work > 0.0);
            }
            self.at(self.now, Event::Deliver { ticket, attempt, outcome: Ending::Unknown });
        }
        self.look(upstream);
    }

    pub(super) fn change(&mut self, index: usize, begin: bool) {
        let change = self.scenario.changes[index].clone();
        let now = self.now;
        for upstream in self.touched(&change) {
            match change.kind {
                ChangeKind::Slow => {
                    self.upstreams[upstream].advance(now);
                    self.upstreams[upstream].slowness = if begin { change.factor } else { 1.0 };
                    self.look(upstream);
                }
                ChangeKind::Frozen => self.at(now, Event::Freeze(upstream, begin)),
                ChangeKind::Down => {
                    self.at(now, if begin { Event::Down(upstream) } else { Event::Up(upstream) });
                    self.at(now + LAG, Event::Listed(upstream, !begin));
                }
                ChangeKind::Load => {}
                ChangeKind::Replace => {
                    if begin {
                        self.at(now + REPLACE * 2 * upstream as u32, Event::Leave(upstream));
                    }
                }
                ChangeKind::Swap => {
                    if begin {
                        let wave = (upstream * 3 / self.upstreams.len()) as u32;
                        let from = now + SWAP * wave;
                        self.at(from, Event::Listed(upstream, false));
                        self.at(from, Event::Freeze(upstream, true));
                        self.at(from + SWAP, Event::Freeze(upstream, false));
                        self.at(from + SWAP, Event::Listed(upstream, true));
                    }
                }
            }
        }
        if change.kind == ChangeKind::Load {
            let flows = self.scenario.flows.iter().enumerate();
            for (flow, _) in flows.filter(|(_, f)| f.name == change.flow) {
                self.factors[flow] = if begin { change.factor } else { 1.0 };
            }
        }
    }

    fn touched(&self, change: &Change) -> Vec<usize> {
        let zone = |i: usize, zone: usize| *self.views[i].zone == *format!("zone{zone}");
        match change.zone {
            Some(wanted) => (0..self.upstreams.len()).filter(|i| zone(*i, wanted)).collect(),
            None => (0..change.upstreams.min(self.upstreams.len())).collect(),
        }
    }
}
