//! Shares of an allowance that hubs distribute while their views of the fleet differ.

use burdock_decide::apportion::{
    ApportionView, DistributedShare, RecentShares, hub_share, sees_all_instances,
};
use burdock_decide::time::Time;
use googletest::prelude::*;
use proptest::prelude::*;

fn sum_of_shares(demands: &[f64], instances: &[f64], expected: f64) -> f64 {
    let (total, reporting): (f64, f64) = (demands.iter().sum(), instances.iter().sum());
    let hub = |(own_demand, own_instances): (&f64, &f64)| {
        hub_share(&ApportionView {
            own_demand: *own_demand,
            total_demand: total,
            own_weight: *own_instances,
            reporting_instances: reporting,
            expected_instances: expected,
            expected_weight: expected,
            list_is_settled: true,
            last_distributed: None,
        })
    };
    demands.iter().zip(instances).map(hub).sum()
}

proptest! {
    #[test]
    fn connected_hubs_distribute_at_most_the_whole(
        hubs in prop::collection::vec((0.0..1000.0_f64, 1.0..50.0_f64), 1..6),
        missing in 0.0..50.0_f64,
    ) {
        let (demands, instances): (Vec<f64>, Vec<f64>) = hubs.into_iter().unzip();
        let reporting: f64 = instances.iter().sum();
        prop_assert!(sum_of_shares(&demands, &instances, reporting + missing) <= 1.0 + 1e-9);
    }

    #[test]
    fn isolated_instances_get_at_most_their_even_share(expected in 1.0..600.0_f64, demand in 0.0..1e5_f64) {
        let alone = ApportionView { own_demand: demand, total_demand: demand, own_weight: 1.0,
            reporting_instances: 1.0, expected_instances: expected, expected_weight: expected, list_is_settled: true,
            last_distributed: None };
        prop_assert!(hub_share(&alone) <= 1.0 / expected + 1e-9);
    }
}

#[gtest]
fn partitioned_halves_together_distribute_at_most_the_whole() {
    let half = |instances: f64| {
        hub_share(&ApportionView {
            own_demand: 50.0,
            total_demand: 50.0,
            own_weight: instances,
            reporting_instances: instances,
            expected_instances: 25.0,
            expected_weight: 25.0,
            list_is_settled: true,
            last_distributed: None,
        })
    };
    expect_that!(half(10.0) + half(15.0), le(1.0 + 1e-9));
}

#[gtest]
fn hub_share_follows_demand() {
    let share = |demand: f64| {
        hub_share(&ApportionView {
            own_demand: demand,
            total_demand: 100.0,
            own_weight: 5.0,
            reporting_instances: 25.0,
            expected_instances: 25.0,
            expected_weight: 25.0,
            list_is_settled: true,
            last_distributed: None,
        })
    };
    expect_that!(share(90.0), gt(0.8));
    expect_that!(share(0.0), all!(gt(0.0), lt(0.03)));
}

// An organisation sends six times its usual rate while an availability zone is partitioned off. Each side
// weighs the old demand of the other against its own new one, so without a bound both would distribute too
// much.
#[gtest]
fn demand_rising_during_partition_changes_no_share() {
    let (small, large) = (4.0, 21.0);
    let view = |own: f64, own_demand: f64, other_demand: f64| ApportionView {
        own_demand,
        total_demand: own_demand + other_demand,
        own_weight: own,
        reporting_instances: small + large,
        expected_instances: small + large,
        expected_weight: small + large,
        list_is_settled: true,
        last_distributed: None,
    };
    let before = [view(small, 10.0, 50.0), view(large, 50.0, 10.0)];
    let during = [(small, 60.0, 50.0), (large, 300.0, 10.0)].into_iter().zip(before).map(
        |((own, now, old), before)| {
            let last_distributed = Some(DistributedShare { share: hub_share(&before), weight: own });
            hub_share(&ApportionView { reporting_instances: own, last_distributed, ..view(own, now, old) })
        },
    );
    expect_that!(during.sum::<f64>(), le(1.0 + 1e-9));
}

#[gtest]
fn hub_that_lost_reporters_distributes_less() {
    let view = ApportionView {
        own_demand: 10.0,
        total_demand: 10.0,
        own_weight: 2.0,
        reporting_instances: 2.0,
        expected_instances: 25.0,
        expected_weight: 25.0,
        list_is_settled: true,
        last_distributed: Some(DistributedShare { share: 0.6, weight: 6.0 }),
    };
    expect_that!(hub_share(&view), approx_eq(0.2));
}

// Leases end while all instances have just started (soak seed 118). An instance that finds no other in the
// list must not distribute the whole allowance, which it would go on doing after the others are back.
#[gtest]
fn just_started_instance_does_not_take_itself_for_the_fleet() {
    let alone = ApportionView {
        own_demand: 30.0,
        total_demand: 30.0,
        own_weight: 1.0,
        reporting_instances: 1.0,
        // Number of availability zones in its settings.
        expected_instances: 6.0,
        expected_weight: 6.0,
        list_is_settled: false,
        last_distributed: None,
    };
    expect_that!(hub_share(&alone), approx_eq(1.0 / 6.0));
    expect_that!(sees_all_instances(&ApportionView { expected_instances: 1.0, ..alone }), eq(false));
}

// All of a fleet with 27 large and 268 small instances restart. Callers come to the large ones, which report
// first. By numbers a region's hub would distribute a twentieth of each allowance meanwhile.
#[gtest]
fn large_instances_that_report_first_get_most_of_an_allowance() {
    const LARGE_WEIGHT: f64 = 64.0;
    const SMALL_WEIGHT: f64 = 2.0;
    let expected_weight = 27.0 * LARGE_WEIGHT + 268.0 * SMALL_WEIGHT;
    let hub = |large: f64, small: f64| {
        hub_share(&ApportionView {
            own_demand: 100.0,
            total_demand: 100.0,
            own_weight: large * LARGE_WEIGHT + small * SMALL_WEIGHT,
            reporting_instances: large + small,
            expected_instances: 295.0,
            expected_weight,
            list_is_settled: true,
            last_distributed: None,
        })
    };
    expect_that!(hub(9.0, 5.0), gt(0.25));
    // Three regions together, and those that are left alone, stay within the whole.
    let alone = 20.0 * hub(0.0, 1.0);
    expect_that!(2.0 * hub(9.0, 90.0) + hub(9.0, 68.0) + alone, le(1.0 + 1e-9));
}

// A small instance that stands by is not counted by the others. Alone it distributes nothing.
#[gtest]
fn instance_that_nobody_counts_distributes_nothing() {
    let alone = ApportionView {
        own_demand: 30.0,
        total_demand: 30.0,
        own_weight: 0.0,
        expected_weight: 0.0,
        reporting_instances: 0.0,
        expected_instances: 0.0,
        list_is_settled: true,
        last_distributed: None,
    };
    expect_that!(hub_share(&alone), eq(0.0));
}

// Traffic begins a second before instances are cut off (day scale-2 of the operators' large deployment, seed
// 262209253447, check QUOTA). Each hub knows its own demand at once and the others' 750 ms later, so that for the
// moment all three take themselves for the busiest.
#[gtest]
fn shares_kept_through_a_cut_add_up_to_the_whole_while_demand_rises() {
    const DELAY_MS: u64 = 750;
    const CUT_AT_MS: u64 = 1000;
    const WEIGHT: f64 = 9.0;
    let demand = |hub: u64, ms: u64| if ms >= 10_000 { (ms - 10_000) as f64 * (hub + 1) as f64 } else { 0.0 };
    let share_in_cut = |hub: u64| {
        let mut recent = RecentShares::default();
        for ms in (8_000..10_000 + CUT_AT_MS).step_by(50) {
            let others: f64 =
                (0..3).filter(|other| *other != hub).map(|other| demand(other, ms - DELAY_MS)).sum();
            let share = hub_share(&ApportionView {
                own_demand: demand(hub, ms),
                total_demand: demand(hub, ms) + others,
                own_weight: WEIGHT,
                expected_weight: 3.0 * WEIGHT,
                reporting_instances: 27.0,
                expected_instances: 27.0,
                list_is_settled: true,
                last_distributed: None,
            });
            recent.record(DistributedShare { share, weight: WEIGHT }, Time::from_millis(ms));
        }
        recent.lowest().unwrap().share
    };
    expect_that!((0..3).map(share_in_cut).sum::<f64>(), le(1.0 + 1e-9));
}
