//! The platform sends the list of VMs only when it has changed.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use mulberrycourse::edge::platform::{PlatformClient, VmState};
use mulberrycourse::metrics::{ControlPurpose, Metrics};
use standins::engine::EngineSettings;
use standins::fleet::Fleet;
use standins::platform::Faults;

/// The timeout of the calls to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(20);

/// Repeated reads of an unchanged list transfer it once. A change is seen at the next read, also
/// after a read that failed.
#[tokio::test(flavor = "multi_thread")]
async fn unchanged_list_is_sent_once() {
    let fleet = Fleet::spawn(0, 4, EngineSettings::default()).await.unwrap();
    let metrics = Arc::new(Metrics::default());
    let platform = PlatformClient::new(fleet.platform.address(), PLATFORM_TIMEOUT, metrics.clone());
    let received = || metrics.traffic(ControlPurpose::Platform).bytes_received();
    let first = platform.vms().await.unwrap();
    assert_eq!(first, fleet.vms());
    let bytes_once = received();
    assert!(bytes_once > 0);
    for _ in 0..10 {
        assert_eq!(platform.vms().await.unwrap(), first);
    }
    assert_eq!(received(), bytes_once);

    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    platform.vms().await.unwrap_err();
    fleet.platform.set_faults(Faults::default());
    let mut changed = first.clone();
    changed[0].state = VmState::Leaving;
    fleet.platform.set_vms(changed.clone());
    assert_eq!(platform.vms().await.unwrap(), changed);
    fleet.platform.set_vms(first.clone());
    assert_eq!(platform.vms().await.unwrap(), first);
}
