//! Accounting of the bytes that an entry holds for its callers.

use egretseam_gateway::{BudgetExceeded, BufferBudget};
use std::time::Duration;
use tokio::time::Instant;

/// Guards against bytes that stay counted after they are released.
#[test]
fn bytes_are_released_with_their_guard() {
    let (budget, now) = (BufferBudget::new(Some(100)), Instant::now());
    let (one, two) = (budget.guard(), budget.guard());
    assert_eq!(one.resize(60, now), Ok(()));
    assert_eq!(two.resize(41, now), Err(BudgetExceeded));
    assert_eq!(one.resize(10, now), Ok(()));
    assert_eq!(two.resize(90, now), Ok(()));
    assert_eq!(budget.held(), 100);
    drop(two);
    assert_eq!(budget.held(), 10);
    drop(one);
    assert_eq!(budget.held(), 0);
}

/// Guards against cutting off callers that read, and against cutting off more than is needed.
#[test]
fn the_response_that_is_unread_for_longest_is_cut_off_first() {
    let (budget, start) = (BufferBudget::new(Some(100)), Instant::now());
    let guards = [(); 4].map(|()| budget.guard());
    let [first, second, reading, unsent] = &guards;
    for guard in &guards {
        assert_eq!(guard.resize(25, start), Ok(()));
    }
    first.record_read(start);
    second.record_read(start + Duration::from_secs(1));
    let now = start + Duration::from_secs(5);
    reading.record_read(now);
    let further = budget.guard();
    assert_eq!(further.resize(25, now), Ok(()));
    let cut = guards.each_ref().map(|guard| guard.is_cut_off());
    assert_eq!(cut, [true, false, false, false]);
    // Not even the rest would suffice, so it stays.
    assert_eq!(further.resize(60, now), Err(BudgetExceeded));
    assert!(!second.is_cut_off() && budget.held() == 100);
    second.record_idle();
    assert_eq!(further.resize(26, now), Err(BudgetExceeded));
    assert!(!unsent.is_cut_off());
    drop(guards);
    assert_eq!(budget.held(), 25);
}

/// Guards against large new requests that take the memory for responses and for small requests.
#[test]
fn large_requests_leave_a_part_of_the_limit() {
    let (budget, now) = (BufferBudget::new(Some(4 << 20)), Instant::now());
    let (large, small, response) = (budget.request_guard(), budget.request_guard(), budget.guard());
    assert_eq!(large.resize((3 << 20) + 1, now), Err(BudgetExceeded));
    assert_eq!(large.resize(3 << 20, now), Ok(()));
    assert_eq!(small.resize(64 << 10, now), Ok(()));
    assert_eq!(response.resize(512 << 10, now), Ok(()));
}

/// Guards against a budget without a limit that rejects something.
#[test]
fn without_a_limit_everything_is_held() {
    let (budget, now) = (BufferBudget::new(None), Instant::now());
    let guard = budget.guard();
    assert_eq!(guard.resize(usize::MAX / 2, now), Ok(()));
}
