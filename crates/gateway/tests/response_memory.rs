//! Tests of the memory of buffered responses.

use std::sync::Arc;

use bytes::Bytes;
use hawthornpost_gateway::intake::Excess;
use hawthornpost_gateway::response_memory::Pool;

const LARGE: usize = 512 << 10;
const SMALL: usize = 100 << 10;

/// Guards against large responses that leave no room for small ones, and against a total without a limit.
#[test]
fn large_responses_leave_room_for_small_ones() {
    let pool = Arc::new(Pool::default());
    let mut large = Vec::new();
    let excess = loop {
        let mut share = pool.share();
        match share.grow_to(LARGE) {
            Ok(()) => large.push(share),
            Err(excess) => break excess,
        }
    };
    assert_eq!(excess, Excess::Memory);
    assert!(pool.used() <= 16 << 20, "{} bytes", pool.used());
    let mut small = Vec::new();
    loop {
        let mut share = pool.share();
        if share.grow_to(SMALL).is_err() {
            break;
        }
        small.push(share);
    }
    assert!(small.len() > 100, "{} small responses", small.len());
    assert!(pool.used() <= 32 << 20, "{} bytes", pool.used());
}

/// Guards against bytes that count after they have been written to the caller, or no longer while they are held.
#[test]
fn bytes_count_until_they_are_dropped() {
    let pool = Arc::new(Pool::default());
    let mut share = pool.share();
    share.grow_to(SMALL).expect("room");
    let bytes = share.hold(Bytes::from(vec![0; SMALL]));
    let part = bytes.slice(..1);
    drop(bytes);
    assert_eq!(pool.used(), SMALL);
    drop(part);
    assert_eq!(pool.used(), 0);
}
