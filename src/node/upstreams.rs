//! The list of upstream VMs: the platform's list, combined with the departures that peers report.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use rand::Rng;
use tokio::sync::Notify;

use super::app::App;
use super::subsets::SubsetCache;
use crate::decide::{Departure, Departures, UpstreamView};
use crate::edge::peer::NodeRequest;
use crate::edge::platform::{Vm, VmState};

/// The rendezvous key that selects the nodes that read the list every second.
const READER_KEY: &str = "vms";
/// The number of nodes that read the list every second. With this many nodes or fewer, all do.
const READER_COUNT: usize = 8;
/// The time between two reads of the list by a reader.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// The mean time between two reads by any other node: 17 reads a second at 380 nodes.
const NON_READER_INTERVAL: Duration = Duration::from_secs(22);
/// The time between two rounds in which departures are sent again.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of nodes that receive departures in a round, and at once after a new departure.
const DEPARTURE_FANOUT: usize = 3;
/// The timeout of a request that sends departures to a peer.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(1);

/// The last list that this node has read, and the departures that it knows.
#[derive(Debug)]
pub(super) struct Upstreams {
    vms: RwLock<Arc<[Vm]>>,
    /// The number of VMs that were last passed to the dispatchers of an active bundle.
    routed: AtomicUsize,
    departures: Mutex<Departures>,
    /// Notified when the list has changed.
    list_changed: Notify,
    /// Notified when there is a new departure to send to peers at once.
    new_departure: Notify,
}

impl Default for Upstreams {
    fn default() -> Self {
        let vms = RwLock::new(Arc::from([]));
        let routed = AtomicUsize::new(0);
        let (list_changed, new_departure) = (Notify::new(), Notify::new());
        Self { vms, routed, departures: Mutex::default(), list_changed, new_departure }
    }
}

impl Upstreams {
    /// Returns the current list.
    pub(super) fn list(&self) -> Arc<[Vm]> {
        self.vms.read().clone()
    }

    /// Returns the number of VMs that were last passed to the dispatchers.
    pub(super) fn routed_count(&self) -> usize {
        self.routed.load(Ordering::Acquire)
    }

    /// Returns the VMs of one service.
    pub(super) fn of_service(&self, service: &str) -> Vec<Vm> {
        self.list().iter().filter(|vm| &*vm.service == service).cloned().collect()
    }

    /// Records departures that a peer reports. These VMs get no new requests from now on.
    pub(super) fn record_departures(&self, app: &App, reported: Vec<Departure>) {
        let now = app.clock.now();
        let mut departures = self.departures.lock();
        let added = reported.into_iter().filter(|d| departures.record(d.clone(), now)).count();
        drop(departures);
        if added > 0 {
            self.set_list(self.list().to_vec(), app);
            self.new_departure.notify_one();
        }
    }

    /// Replaces the list. A VM that was once reported as leaving stays marked as leaving, whatever
    /// the new list says.
    fn set_list(&self, mut vms: Vec<Vm>, app: &App) {
        let now = app.clock.now();
        let mut departures = self.departures.lock();
        let mut added = false;
        for vm in &mut vms {
            if vm.state == VmState::Leaving {
                let departure = Departure { name: vm.name.clone(), incarnation: vm.incarnation };
                added |= departures.record(departure, now);
            } else if !departures.admits(&vm.name, vm.incarnation) {
                vm.state = VmState::Leaving;
            }
        }
        drop(departures);
        *self.vms.write() = vms.into();
        self.list_changed.notify_one();
        if added {
            self.new_departure.notify_one();
        }
    }
}

/// Keeps the list, the departures and the dispatchers up to date until the node stops.
pub(super) async fn follow_platform(app: Arc<App>) {
    let mut read_timer = tokio::time::interval(READ_INTERVAL);
    let mut departure_timer = tokio::time::interval(DEPARTURE_INTERVAL);
    let mut bundles = app.bundles.subscribe();
    let mut subsets = SubsetCache::default();
    loop {
        tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = read_timer.tick() => {
                if is_read_due(&app) {
                    // Not awaited: a slow platform must not delay the departures from peers.
                    tokio::spawn(read_list(app.clone()));
                }
            }
            _ = departure_timer.tick() => send_departures(&app),
            () = app.upstreams.new_departure.notified() => send_departures(&app),
            () = app.upstreams.list_changed.notified() => {}
            changed = bundles.changed() => if changed.is_err() { return },
        }
        update_dispatchers(&app, &mut subsets);
    }
}

/// Whether this node reads the list in this interval: a reader always does, any other node with a
/// small probability.
fn is_read_due(app: &App) -> bool {
    let unread = app.upstreams.list().is_empty();
    let probability = READ_INTERVAL.as_secs_f64() / NON_READER_INTERVAL.as_secs_f64();
    unread
        || app.members.ranks_within(READER_KEY, READER_COUNT, app.clock.now())
        || rand::rng().random_bool(probability)
}

async fn read_list(app: Arc<App>) {
    match app.platform.vms().await {
        Ok(vms) => app.upstreams.set_list(vms, &app),
        // The node keeps using the last list that it has read.
        Err(e) => tracing::debug!(event = "vms_read_failed", error = %e),
    }
}

/// Sends departures to some peers, until each departure has been sent often enough.
fn send_departures(app: &Arc<App>) {
    let now = app.clock.now();
    let departures = app.upstreams.departures.lock().next_message(now);
    if departures.is_empty() {
        return;
    }
    for to in app.members.gossip_targets(DEPARTURE_FANOUT, now) {
        let (app, request) = (app.clone(), NodeRequest::Departures(departures.clone()));
        tokio::spawn(async move {
            if let Err(e) = app.peers.request(to.address, &request, DEPARTURE_TIMEOUT).await {
                tracing::debug!(event = "departure_not_sent", to = %to.address, error = %e);
            }
        });
    }
}

/// Passes the upstreams that this node uses to the dispatchers of the active bundle.
fn update_dispatchers(app: &App, subsets: &mut SubsetCache) {
    let Some(adopted) = app.bundles.current() else { return };
    let count = app.upstreams.list().len();
    for (service, dispatcher) in app.dispatchers() {
        let mut vms = app.upstreams.of_service(&service);
        if let Some(spec) = adopted.bundle.services.get(&service) {
            subsets.retain_subset(app, &service, &mut vms, spec.max_upstreams);
        }
        let views: Vec<_> = vms.iter().map(|vm| (view(vm), vm.address)).collect();
        dispatcher.set_upstreams(&views);
    }
    app.upstreams.routed.store(count, Ordering::Release);
}

fn view(vm: &Vm) -> UpstreamView {
    let accepting = match vm.state {
        VmState::Live => true,
        VmState::Leaving => false,
    };
    UpstreamView { name: vm.name.clone(), zone: vm.zone.clone(), accepting }
}
