//! The upstream VMs: the platform's list, joined with what peers saw leave.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use rand::Rng;
use tokio::sync::Notify;

use super::app::App;
use super::subsets::Subsets;
use crate::decide::{Departure, Departures, UpstreamView};
use crate::edge::peer::NodeRequest;
use crate::edge::platform::{Vm, VmState};

/// The key by which nodes rank to read the list often.
const LIST: &str = "vms";
/// Nodes that read the list each second; with so many nodes or fewer, all do.
const READERS: usize = 8;
/// Time between two looks of a reader.
const PERIOD: Duration = Duration::from_secs(1);
/// Time between two looks of the other nodes: 17 reads a second at 380 nodes.
const SELDOM: Duration = Duration::from_secs(22);
/// Time between two rounds in which departures are told again.
const ROUND: Duration = Duration::from_millis(500);
/// Nodes that are told in a round, and at once of a new departure.
const PUSH: usize = 3;
/// How long a peer may take to take them in.
const LIMIT: Duration = Duration::from_secs(1);

/// The list, as this node saw it last, and the departures that it knows.
#[derive(Debug)]
pub(super) struct Upstreams {
    vms: RwLock<Arc<[Vm]>>,
    /// How many of them the dispatchers of a bundle in force were told of.
    routed: AtomicUsize,
    leaving: Mutex<Departures>,
    /// There is a new list.
    fresh: Notify,
    /// There is a departure that peers should know at once.
    urgent: Notify,
}

impl Default for Upstreams {
    fn default() -> Self {
        let vms = RwLock::new(Arc::from([]));
        let routed = AtomicUsize::new(0);
        let (fresh, urgent) = (Notify::new(), Notify::new());
        Self { vms, routed, leaving: Mutex::default(), fresh, urgent }
    }
}

impl Upstreams {
    /// The list.
    pub(super) fn list(&self) -> Arc<[Vm]> {
        self.vms.read().clone()
    }

    /// How many upstreams routing knows of.
    pub(super) fn routed(&self) -> usize {
        self.routed.load(Ordering::Acquire)
    }

    /// The VMs of one service.
    pub(super) fn of(&self, service: &str) -> Vec<Vm> {
        self.list().iter().filter(|vm| &*vm.service == service).cloned().collect()
    }

    /// Peers saw VMs leave: they get no new work from here on.
    pub(super) fn left(&self, app: &App, departures: Vec<Departure>) {
        let now = app.clock.now();
        let mut leaving = self.leaving.lock();
        let news = departures.into_iter().filter(|d| leaving.record(d.clone(), now)).count();
        drop(leaving);
        if news > 0 {
            self.set(self.list().to_vec(), app);
            self.urgent.notify_one();
        }
    }

    /// Takes a list in. A VM that was ever seen to leave leaves, whatever the list says now.
    fn set(&self, mut vms: Vec<Vm>, app: &App) {
        let now = app.clock.now();
        let mut leaving = self.leaving.lock();
        let mut news = false;
        for vm in &mut vms {
            if vm.state == VmState::Leaving {
                let departure = Departure { name: vm.name.clone(), incarnation: vm.incarnation };
                news |= leaving.record(departure, now);
            } else if !leaving.admits(&vm.name, vm.incarnation) {
                vm.state = VmState::Leaving;
            }
        }
        drop(leaving);
        *self.vms.write() = vms.into();
        self.fresh.notify_one();
        if news {
            self.urgent.notify_one();
        }
    }
}

/// Follows the list until the node stops.
pub(super) async fn follow(app: Arc<App>) {
    let mut timer = tokio::time::interval(PERIOD);
    let mut round = tokio::time::interval(ROUND);
    let mut bundles = app.bundles.subscribe();
    let mut subsets = Subsets::default();
    loop {
        tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = timer.tick() => {
                if due(&app) {
                    // Not awaited: a slow platform must not hold up what peers tell.
                    tokio::spawn(refresh(app.clone()));
                }
            }
            _ = round.tick() => tell(&app),
            () = app.upstreams.urgent.notified() => tell(&app),
            () = app.upstreams.fresh.notified() => {}
            changed = bundles.changed() => if changed.is_err() { return },
        }
        publish(&app, &mut subsets);
    }
}

/// Whether this node reads the list now: readers always, others now and then.
fn due(app: &App) -> bool {
    let unread = app.upstreams.list().is_empty();
    let seldom = PERIOD.as_secs_f64() / SELDOM.as_secs_f64();
    unread || app.members.ranks(LIST, READERS, app.clock.now()) || rand::rng().random_bool(seldom)
}

async fn refresh(app: Arc<App>) {
    match app.platform.vms().await {
        Ok(vms) => app.upstreams.set(vms, &app),
        // The list that was seen last goes on to serve.
        Err(e) => tracing::debug!(event = "vms_unread", error = %e),
    }
}

/// Tells some peers of departures, until all have been told often enough.
fn tell(app: &Arc<App>) {
    let now = app.clock.now();
    let departures = app.upstreams.leaving.lock().next_message(now);
    if departures.is_empty() {
        return;
    }
    for to in app.members.targets(PUSH, now) {
        let (app, request) = (app.clone(), NodeRequest::Departures(departures.clone()));
        tokio::spawn(async move {
            if let Err(e) = app.peers.request(to.address, &request, LIMIT).await {
                tracing::debug!(event = "departure_untold", to = %to.address, error = %e);
            }
        });
    }
}

fn publish(app: &App, subsets: &mut Subsets) {
    let Some(adopted) = app.bundles.current() else { return };
    let count = app.upstreams.list().len();
    for (service, dispatcher) in app.dispatchers() {
        let mut vms = app.upstreams.of(&service);
        if let Some(spec) = adopted.bundle.services.get(&service) {
            subsets.keep(app, &service, &mut vms, spec.subset);
        }
        let views: Vec<_> = vms.iter().map(|vm| (view(vm), vm.address)).collect();
        dispatcher.set_upstreams(&views);
    }
    app.upstreams.routed.store(count, Ordering::Release);
}

fn view(vm: &Vm) -> UpstreamView {
    let open = match vm.state {
        VmState::Live => true,
        VmState::Leaving => false,
    };
    UpstreamView { name: vm.name.clone(), zone: vm.zone.clone(), accepting: open }
}
