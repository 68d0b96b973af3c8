//! The upstream VMs, from the platform's list.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::RwLock;

use super::app::App;
use super::subsets::Subsets;
use crate::decide::UpstreamView;
use crate::edge::platform::{Vm, VmState};

/// Time between two looks at the list.
const PERIOD: Duration = Duration::from_secs(1);

/// The list, as this node saw it last.
#[derive(Debug)]
pub(super) struct Upstreams {
    vms: RwLock<Arc<[Vm]>>,
    /// How many of them the dispatchers of a bundle in force were told of.
    routed: AtomicUsize,
}

impl Default for Upstreams {
    fn default() -> Self {
        Self { vms: RwLock::new(Arc::from([])), routed: AtomicUsize::new(0) }
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
}

/// Follows the list until the node stops.
pub(super) async fn follow(app: Arc<App>) {
    let mut timer = tokio::time::interval(PERIOD);
    let mut bundles = app.bundles.subscribe();
    let mut subsets = Subsets::default();
    loop {
        tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = timer.tick() => refresh(&app).await,
            changed = bundles.changed() => if changed.is_err() { return },
        }
        publish(&app, &mut subsets);
    }
}

async fn refresh(app: &App) {
    match app.platform.vms().await {
        Ok(vms) => *app.upstreams.vms.write() = vms.into(),
        // The list that was seen last goes on to serve.
        Err(e) => tracing::debug!(event = "vms_unread", error = %e),
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
    UpstreamView { name: vm.name.clone(), zone: vm.zone.clone(), open }
}
