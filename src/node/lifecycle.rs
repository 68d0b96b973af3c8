//! The lifecycle of a node as a state machine.

use serde::{Deserialize, Serialize};
use statig::blocking::{IntoStateMachineExt, StateMachine};
use statig::prelude::*;

use crate::edge::peer::NodeState;

/// The lifecycle phase of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The node has no active bundle yet, or its listeners are not bound.
    Starting,
    /// The node serves requests.
    Serving,
    /// The node is no longer listed in address responses. It still serves the clients that have
    /// cached its address.
    Draining,
    /// The node accepts no new connections and finishes the requests in flight.
    Closing,
    /// No requests are in flight.
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

/// An event that may change the phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LifecycleEvent {
    /// A bundle has become active.
    BundleActive,
    /// A stop was requested.
    StopRequested,
    /// The cached addresses of this node have expired at the clients.
    AddressesExpired,
    /// No requests are in flight any more, or the time to finish them is over.
    RequestsFinished,
}

/// The context of the state machine, which mirrors its state as a phase.
#[derive(Debug)]
pub(super) struct Machine {
    phase: Phase,
}

#[state_machine(initial = "State::starting()", state(derive(Debug)))]
impl Machine {
    #[state(entry_action = "enter_starting")]
    fn starting(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::BundleActive => Transition(State::serving()),
            LifecycleEvent::StopRequested => Transition(State::closing()),
            LifecycleEvent::AddressesExpired | LifecycleEvent::RequestsFinished => Handled,
        }
    }

    #[state(entry_action = "enter_serving")]
    fn serving(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::StopRequested => Transition(State::draining()),
            LifecycleEvent::BundleActive
            | LifecycleEvent::AddressesExpired
            | LifecycleEvent::RequestsFinished => Handled,
        }
    }

    #[state(entry_action = "enter_draining")]
    fn draining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::AddressesExpired => Transition(State::closing()),
            // A second stop request changes nothing, because the node is already stopping.
            LifecycleEvent::BundleActive
            | LifecycleEvent::StopRequested
            | LifecycleEvent::RequestsFinished => Handled,
        }
    }

    #[state(entry_action = "enter_closing")]
    fn closing(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::RequestsFinished => Transition(State::stopped()),
            LifecycleEvent::BundleActive
            | LifecycleEvent::StopRequested
            | LifecycleEvent::AddressesExpired => Handled,
        }
    }

    #[state(entry_action = "enter_stopped")]
    fn stopped(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::BundleActive
            | LifecycleEvent::StopRequested
            | LifecycleEvent::AddressesExpired
            | LifecycleEvent::RequestsFinished => Handled,
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
    /// Creates a lifecycle in the phase `Starting`.
    pub(super) fn new() -> Self {
        Self { machine: Machine { phase: Phase::Starting }.state_machine() }
    }

    /// Handles an event and returns the phase after it.
    pub(super) fn handle(&mut self, event: LifecycleEvent) -> Phase {
        self.machine.handle(&event);
        self.machine.inner().phase
    }
}
