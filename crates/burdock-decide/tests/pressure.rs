//! Pressure on a service, and requests without enough time.

use std::time::Duration;

use burdock_decide::deadline::{MeasuredService, can_be_answered};
use burdock_decide::pressure::PressureView;
use googletest::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

// Guards against an overload that looks like full queues only, however much is refused beside them.
#[gtest]
fn refusals_count_as_work_asked_of_the_slots() {
    let calm = PressureView { slots: 18.0, load: 9.0, mean_ms: 500.0, ..PressureView::default() };
    expect_that!(calm.pressure(), eq(0.5));
    let refusing = PressureView { load: 27.0, own_refusals_per_s: 18.0, ..calm };
    expect_that!(refusing.pressure(), eq(2.0));
    let others = PressureView { other_refusals_per_s: 36.0, report_age: ms(300), ..refusing };
    expect_that!(others.pressure(), eq(3.0));
    // Reports of a hub that was lost don't count.
    expect_that!(PressureView { report_age: ms(1100), ..others }.pressure(), eq(2.0));
    // A service without backend servers.
    expect_that!(PressureView::default().pressure(), eq(0.0));
}

// Guards against runs that must end after the deadline, and against an estimate that refuses everything that
// would correct it.
#[gtest]
fn request_is_refused_only_below_half_of_a_recently_measured_time() {
    let measured = MeasuredService { warm_ms: 400.0, answers: 16, age: ms(9000) };
    let can = |left, round_trip_ms, measured| can_be_answered(ms(left), round_trip_ms, Some(measured));
    expect_that!((can(199, 0.0, measured), can(200, 0.0, measured)), eq((false, true)));
    expect_that!((can(309, 110.0, measured), can(310, 110.0, measured)), eq((false, true)));
    expect_that!(can(1, 0.0, MeasuredService { answers: 15, ..measured }), eq(true));
    expect_that!(can(1, 0.0, MeasuredService { age: ms(10_000), ..measured }), eq(true));
    expect_that!(can_be_answered(ms(1), 0.0, None), eq(true));
}
