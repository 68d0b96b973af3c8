//! The list of VMs is read whole only when it has changed.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use mulberrycourse::edge::platform::{PlatformClient, VmState};
use mulberrycourse::metrics::{ControlPurpose, Metrics};
use standins::engine::EngineSettings;
use standins::fleet::Fleet;
use standins::platform::Faults;

const WAIT: Duration = Duration::from_secs(20);

/// Many looks at a list that stays cost its bytes once; a change is seen at the next look,
/// also after looks that failed.
#[tokio::test(flavor = "multi_thread")]
async fn an_unchanged_list_is_not_sent_again() {
    let fleet = Fleet::spawn(0, 4, EngineSettings::default()).await.unwrap();
    let metrics = Arc::new(Metrics::default());
    let platform = PlatformClient::new(fleet.platform.address(), WAIT, metrics.clone());
    let bytes = || metrics.traffic(ControlPurpose::Platform).bytes_received();
    let first = platform.vms().await.unwrap();
    assert_eq!(first, fleet.vms());
    let once = bytes();
    assert!(once > 0);
    for _ in 0..10 {
        assert_eq!(platform.vms().await.unwrap(), first);
    }
    assert_eq!(bytes(), once);

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
