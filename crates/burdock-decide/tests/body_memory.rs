//! The load that the memory account of a process is for, without a network.

use burdock_decide::body_memory::{
    BodyUse, SMALL_BODY_BYTES, account_bytes, always_held_bytes, may_take, transit_bytes,
};
use googletest::prelude::*;

const LIMIT_BYTES: u64 = 112_000_000;

/// Part of the limit that a process without bodies takes, with its connections, by a wide margin.
const PROCESS_BYTES: i64 = 40_000_000;

/// Part of a long answer that is held, and length at which a request body is forwarded, as the process sets
/// them.
const MAX_HELD_BYTES: i64 = 1 << 20;
const MAX_BUFFERED_BYTES: i64 = 256 << 10;

/// Bytes that the HTTP library takes of an answer whose caller reads nothing: twice the maximum size of a head.
const SERVER_QUEUE_BYTES: i64 = 32 << 10;

const FRAME_BYTES: i64 = 16 << 10;

struct Account {
    capacity: i64,
    free: i64,
    transit: i64,
}

impl Account {
    fn new() -> Self {
        let capacity = i64::try_from(account_bytes(LIMIT_BYTES)).unwrap();
        let transit = i64::try_from(transit_bytes(LIMIT_BYTES)).unwrap();
        Self { capacity, free: capacity, transit }
    }

    fn take(&mut self, bytes: i64, body_use: BodyUse) -> bool {
        let may = may_take(self.capacity, self.free, bytes, body_use);
        self.free -= if may { bytes } else { 0 };
        may
    }

    // An answer whose caller reads nothing.
    fn add_slow_reader(&mut self) {
        let mut held = 0;
        while held < MAX_HELD_BYTES {
            held += FRAME_BYTES;
            let is_always_held = held <= i64::try_from(always_held_bytes(self.capacity, self.free)).unwrap();
            if is_always_held {
                self.free -= FRAME_BYTES;
            } else if !self.take(FRAME_BYTES, BodyUse::HeldAnswer) {
                self.free -= FRAME_BYTES;
                break;
            }
        }
        // The HTTP library takes the first bytes into a buffer that is counted below.
        self.free += held.min(SERVER_QUEUE_BYTES) - self.transit;
    }

    fn add_long_request(&mut self) -> bool {
        self.take(MAX_BUFFERED_BYTES, BodyUse::LongBody) && self.take(self.transit, BodyUse::LongBody)
    }
}

// Guards against two long bodies and 600 slow readers that end a process of 112 MB, or that leave no room for a
// small request.
#[gtest]
fn slow_readers_and_long_bodies_leave_room_under_the_limit() {
    let mut account = Account::new();
    expect_that!(account.add_long_request() && account.add_long_request(), eq(true));
    for _ in 0..600 {
        account.add_slow_reader();
    }
    expect_that!(account.capacity - account.free + PROCESS_BYTES, lt(i64::try_from(LIMIT_BYTES).unwrap()));
    expect_that!(account.take(i64::try_from(SMALL_BODY_BYTES).unwrap(), BodyUse::SmallBody), eq(true));
}

// Guards against long bodies of slow senders that take the memory of small ones.
#[gtest]
fn slow_senders_leave_room_to_small_requests() {
    let mut account = Account::new();
    let admitted = (0..2000).filter(|_| account.add_long_request()).count();
    expect_that!(admitted, all!(gt(100), lt(300)));
    expect_that!(account.free, ge(account.capacity / 4));
    let small = i64::try_from(SMALL_BODY_BYTES).unwrap();
    let small = (0..2000).filter(|_| account.take(small, BodyUse::SmallBody)).count();
    expect_that!(small, gt(1000));
}
