//! Parts of an allowance that hubs hand out, as their views of the fleet differ.

use burdock_decide::apportion::{ApportionView, DistributedShare, hub_share, sees_all_instances};
use googletest::prelude::*;
use proptest::prelude::*;

fn sum_of_parts(demands: &[f64], instances: &[f64], expected: f64) -> f64 {
    let (total, heard): (f64, f64) = (demands.iter().sum(), instances.iter().sum());
    let hub = |(own_demand, own_instances): (&f64, &f64)| {
        hub_share(&ApportionView {
            own_demand: *own_demand,
            total_demand: total,
            own_instances: *own_instances,
            reporting_instances: heard,
            expected_instances: expected,
            list_is_settled: true,
            last_distributed: None,
        })
    };
    demands.iter().zip(instances).map(hub).sum()
}

proptest! {
    #[test]
    fn hubs_that_hear_of_each_other_hand_out_no_more_than_the_whole(
        hubs in prop::collection::vec((0.0..1000.0_f64, 1.0..50.0_f64), 1..6),
        missing in 0.0..50.0_f64,
    ) {
        let (demands, instances): (Vec<f64>, Vec<f64>) = hubs.into_iter().unzip();
        let heard: f64 = instances.iter().sum();
        prop_assert!(sum_of_parts(&demands, &instances, heard + missing) <= 1.0 + 1e-9);
    }

    #[test]
    fn instances_that_are_cut_off_get_no_more_than_their_even_part(expected in 1.0..600.0_f64, demand in 0.0..1e5_f64) {
        let alone = ApportionView { own_demand: demand, total_demand: demand, own_instances: 1.0,
            reporting_instances: 1.0, expected_instances: expected, list_is_settled: true, last_distributed: None };
        prop_assert!(hub_share(&alone) <= 1.0 / expected + 1e-9);
    }
}

#[gtest]
fn two_halves_that_are_cut_from_each_other_hand_out_the_whole_between_them() {
    let half = |instances: f64| {
        hub_share(&ApportionView {
            own_demand: 50.0,
            total_demand: 50.0,
            own_instances: instances,
            reporting_instances: instances,
            expected_instances: 25.0,
            list_is_settled: true,
            last_distributed: None,
        })
    };
    expect_that!(half(10.0) + half(15.0), le(1.0 + 1e-9));
}

#[gtest]
fn demand_moves_the_parts() {
    let parts = |demand: f64| {
        hub_share(&ApportionView {
            own_demand: demand,
            total_demand: 100.0,
            own_instances: 5.0,
            reporting_instances: 25.0,
            expected_instances: 25.0,
            list_is_settled: true,
            last_distributed: None,
        })
    };
    expect_that!(parts(90.0), gt(0.8));
    expect_that!(parts(0.0), all!(gt(0.0), lt(0.03)));
}

// Found by a day of our own (zones-apart): one organisation came to send six times its usual while a zone was cut off.
// Each side held the other's demand of before against its own of now, and both handed out too much.
#[gtest]
fn demand_that_rises_during_a_cut_moves_no_part() {
    let (small, large) = (4.0, 21.0);
    let view = |own: f64, own_demand: f64, other_demand: f64| ApportionView {
        own_demand,
        total_demand: own_demand + other_demand,
        own_instances: own,
        reporting_instances: small + large,
        expected_instances: small + large,
        list_is_settled: true,
        last_distributed: None,
    };
    let before = [view(small, 10.0, 50.0), view(large, 50.0, 10.0)];
    let during = [(small, 60.0, 50.0), (large, 300.0, 10.0)].into_iter().zip(before).map(
        |((own, now, old), before)| {
            let last_distributed = Some(DistributedShare { share: hub_share(&before), instances: own });
            hub_share(&ApportionView { reporting_instances: own, last_distributed, ..view(own, now, old) })
        },
    );
    expect_that!(during.sum::<f64>(), le(1.0 + 1e-9));
}

#[gtest]
fn a_hub_that_lost_followers_hands_out_less() {
    let view = ApportionView {
        own_demand: 10.0,
        total_demand: 10.0,
        own_instances: 2.0,
        reporting_instances: 2.0,
        expected_instances: 25.0,
        list_is_settled: true,
        last_distributed: Some(DistributedShare { share: 0.6, instances: 6.0 }),
    };
    expect_that!(hub_share(&view), approx_eq(0.2));
}

// Found by the soak (seed 118): leases ended while all instances had just started. One that saw nobody else in the list
// took itself for the whole fleet, and went on handing out the whole after the others were back.
#[gtest]
fn an_instance_that_has_just_started_takes_nothing_for_the_whole_fleet() {
    let alone = ApportionView {
        own_demand: 30.0,
        total_demand: 30.0,
        own_instances: 1.0,
        reporting_instances: 1.0,
        // The availability zones that its settings name.
        expected_instances: 6.0,
        list_is_settled: false,
        last_distributed: None,
    };
    expect_that!(hub_share(&alone), approx_eq(1.0 / 6.0));
    expect_that!(sees_all_instances(&ApportionView { expected_instances: 1.0, ..alone }), eq(false));
}
