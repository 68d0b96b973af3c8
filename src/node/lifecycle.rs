//! The lifecycle of a node, as a state machine.

use serde::{Deserialize, Serialize};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use statig::prelude::*;

use crate::edge::peer::NodeState;

/// Where the node is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It has no bundle yet, or is not bound.
    Starting,
    /// It serves.
    Serving,
    /// It is out of the address answers and still serves those who kept one.
    Draining,
    /// It accepts nothing and finishes what is in flight.
    Closing,
    /// Nothing is in flight.
    Stopped,
}

impl Phase {
    /// Returns the state that the node reports to peers and callers.
    pub fn node_state(self) -> NodeState {
        match self {
            Self::Starting => NodeState::Starting,
            Self::Serving => NodeState::Serving,
            Self::Draining | Self::Closing => NodeState::Draining,
            Self::Stopped => NodeState::Gone,
        }
    }
}

/// What moves a node on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// A bundle is in force.
    Ready,
    /// A stop was asked for.
    Stop,
    /// Callers no longer keep the address.
    Forgotten,
    /// Nothing is in flight.
    Idle,
}

#[derive(Debug)]
pub(super) struct Machine {
    phase: Phase,
}

#[state_machine(initial = "State::starting()", state(derive(Debug)))]
impl Machine {
    #[state(entry_action = "enter_starting")]
    fn starting(event: &Event) -> Outcome<State> {
        match event {
            Event::Ready => Transition(State::serving()),
            Event::Stop => Transition(State::closing()),
            Event::Forgotten | Event::Idle => Handled,
        }
    }

    #[state(entry_action = "enter_serving")]
    fn serving(event: &Event) -> Outcome<State> {
        match event {
            Event::Stop => Transition(State::draining()),
            Event::Ready | Event::Forgotten | Event::Idle => Handled,
        }
    }

    #[state(entry_action = "enter_draining")]
    fn draining(event: &Event) -> Outcome<State> {
        match event {
            Event::Forgotten => Transition(State::closing()),
            // A second stop changes nothing: the first is under way.
            Event::Ready | Event::Stop | Event::Idle => Handled,
        }
    }

    #[state(entry_action = "enter_closing")]
    fn closing(event: &Event) -> Outcome<State> {
        match event {
            Event::Idle => Transition(State::stopped()),
            Event::Ready | Event::Stop | Event::Forgotten => Handled,
        }
    }

    #[state(entry_action = "enter_stopped")]
    fn stopped(event: &Event) -> Outcome<State> {
        match event {
            Event::Ready | Event::Stop | Event::Forgotten | Event::Idle => Handled,
        }
    }

    #[action]
    fn enter_starting(&mut self) {
        self.phase = Phase::Starting;
    }

    #[action]
    fn enter_serving(&mut self) {
        self.phase = Phase::Serving;
    }

    #[action]
    fn enter_draining(&mut self) {
        self.phase = Phase::Draining;
    }

    #[action]
    fn enter_closing(&mut self) {
        self.phase = Phase::Closing;
    }

    #[action]
    fn enter_stopped(&mut self) {
        self.phase = Phase::Stopped;
    }
}

/// The running state machine.
pub(super) struct Lifecycle {
    machine: StateMachine<Machine>,
}

impl std::fmt::Debug for Lifecycle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.machine.inner().fmt(f)
    }
}

impl Lifecycle {
    /// A node that starts.
    pub(super) fn new() -> Self {
        Self { machine: Machine { phase: Phase::Starting }.state_machine() }
    }

    /// Moves on; returns the phase after.
    pub(super) fn handle(&mut self, event: Event) -> Phase {
        self.machine.handle(&event);
        self.machine.inner().phase
    }
}
