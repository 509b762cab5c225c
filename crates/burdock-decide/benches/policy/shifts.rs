//! Failover of a region under its cap, and what it does to the others.

use std::time::Duration;

use burdock_decide::region::{DemandView, RegionView, target_split};
use burdock_decide::shift::{DEFAULT_FAILOVER_SHIFT_PER_MILLE, shift_size, shift_towards};
use serde_json::{Value, json};

use crate::deployment::Deployment;

const STEP: Duration = Duration::from_millis(200);
const STEPS: u32 = 100;

/// The region dies after two seconds and is back after ten.
const DEATH: std::ops::Range<u32> = 10..50;

/// Part of all slots that is at work on average.
const LOAD: f64 = 0.5;

/// The largest move in a second against the cap, the time to move, and the fullest other region.
pub fn rows(deployment: &Deployment) -> Vec<Value> {
    let slots = u32::try_from(deployment.backends).unwrap_or(1) * deployment.slots;
    let busy = |part: f64| (f64::from(slots) * part) as u32;
    let mut split = vec![1_000_000, 0, 0];
    let mut history = vec![split.clone()];
    let (mut whole_after, mut fullest) = (None, 0.0_f64);
    for step in 0..STEPS {
        let dead = DEATH.contains(&step);
        // A third of the fleet is in the dead region; what it moves comes on top of the others' own load.
        let moved_here = f64::from(1_000_000 - split[0]) / 2e6;
        let region = |ix: usize| RegionView {
            local: ix == 0,
            slots: if ix == 0 && dead { 0 } else { slots },
            busy: if ix == 0 { busy(LOAD) } else { busy(LOAD * (1.0 + moved_here)) },
            one_way: if ix == 0 { Duration::ZERO } else { deployment.one_way },
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
        if dead && split[0] == 0 && whole_after.is_none() {
            whole_after = Some(STEP * (step + 1 - DEATH.start));
        }
        fullest = fullest.max(LOAD * (1.0 + moved_here));
        history.push(split.clone());
    }
    let a_second = 5;
    let largest = history.windows(a_second + 1).map(|w| shift_size(&w[0], &w[a_second])).max().unwrap_or(0);
    vec![json!({
        "deployment": deployment.name, "measure": "failover of a region",
        "largest_move_per_mille_a_second": f64::from(largest) / 1000.0,
        "cap_per_mille_a_second": DEFAULT_FAILOVER_SHIFT_PER_MILLE,
        "seconds_until_all_moved": whole_after.map(|d| d.as_secs_f64()),
        "fullest_other_region_per_cent": (fullest * 1000.0).round() / 10.0,
        "split_at_the_end": split,
    })]
}
