//! Capped failover of a region, and its effect on the others.

use std::time::Duration;

use burdock_decide::region::{DemandView, RegionView, target_split};
use burdock_decide::shift::{DEFAULT_FAILOVER_SHIFT_PER_MILLE, shift_size, shift_towards};
use serde_json::{Value, json};

use crate::deployment::Deployment;

const STEP: Duration = Duration::from_millis(200);
const STEPS: u32 = 100;

/// Steps in which the region is down: from two seconds until ten.
const OUTAGE: std::ops::Range<u32> = 10..50;

/// Mean fraction of all slots that are busy.
const LOAD: f64 = 0.5;

/// Returns the largest shift in a second, the time to shift all traffic, and the highest load of another
/// region.
pub fn rows(deployment: &Deployment) -> Vec<Value> {
    let slots = u32::try_from(deployment.backends).unwrap_or(1) * deployment.slots;
    let busy = |load: f64| (f64::from(slots) * load) as u32;
    let mut split = vec![1_000_000, 0, 0];
    let mut history = vec![split.clone()];
    let (mut shifted_after, mut max_load) = (None, 0.0_f64);
    for step in 0..STEPS {
        let is_down = OUTAGE.contains(&step);
        // A third of the fleet is in the failed region, and half of its traffic adds to the load of each
        // other region.
        let shifted_load = f64::from(1_000_000 - split[0]) / 2e6;
        let region = |ix: usize| RegionView {
            is_local: ix == 0,
            slots: if ix == 0 && is_down { 0 } else { slots },
            busy: if ix == 0 { busy(LOAD) } else { busy(LOAD * (1.0 + shifted_load)) },
            one_way_latency: if ix == 0 { Duration::ZERO } else { deployment.one_way_latency },
            senders: u32::try_from(deployment.instances).unwrap_or(1),
            planned_per_mille: None,
            link_headroom: None,
        };
        let demand = DemandView {
            in_flight: busy(LOAD) / u32::try_from(deployment.instances).unwrap_or(1),
            service_time: deployment.service_time,
            bytes_per_request: 0,
            may_spill: true,
        };
        let target = target_split(&[region(0), region(1), region(2)], &demand);
        split = shift_towards(&split, &target, DEFAULT_FAILOVER_SHIFT_PER_MILLE, STEP);
        if is_down && split[0] == 0 && shifted_after.is_none() {
            shifted_after = Some(STEP * (step + 1 - OUTAGE.start));
        }
        max_load = max_load.max(LOAD * (1.0 + shifted_load));
        history.push(split.clone());
    }
    let steps_per_s = 5;
    let largest =
        history.windows(steps_per_s + 1).map(|w| shift_size(&w[0], &w[steps_per_s])).max().unwrap_or(0);
    vec![json!({
        "deployment": deployment.name, "measure": "failover of a region",
        "largest_move_per_mille_a_second": f64::from(largest) / 1000.0,
        "cap_per_mille_a_second": DEFAULT_FAILOVER_SHIFT_PER_MILLE,
        "seconds_until_all_moved": shifted_after.map(|d| d.as_secs_f64()),
        "fullest_other_region_per_cent": (max_load * 1000.0).round() / 10.0,
        "split_at_the_end": split,
    })]
}
