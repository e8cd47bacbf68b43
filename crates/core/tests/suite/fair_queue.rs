//! Fair queueing of requests for a service without free capacity.

use ebonytack_core::{FairQueue, QueueLimits};

use crate::support::ms;

fn queue() -> FairQueue {
    FairQueue::new(QueueLimits { in_flight_min: 1, in_flight_max: 2, waiting_per_customer: 100 })
}

#[test]
fn busy_customer_does_not_starve_others() {
    let mut queue = queue();
    for request in 0..80 {
        queue.offer(&"big".to_owned(), 1.0, request, ms(10_000));
    }
    for request in 100..110 {
        queue.offer(&"small".to_owned(), 1.0, request, ms(10_000));
    }
    let mut started = Vec::new();
    for _ in 0..20 {
        queue.finish();
        started.extend(queue.next(ms(1), ms(1)).0);
    }
    let small = started.iter().filter(|request| **request >= 100).count();
    assert!((9..=10).contains(&small), "{started:?}");
}

#[test]
fn requests_that_cannot_meet_their_deadline_are_returned_as_late() {
    let mut queue = queue();
    for request in 0..4 {
        queue.offer(&"club".to_owned(), 1.0, request, ms(100 * request));
    }
    queue.finish();
    let (next, late) = queue.next(ms(150), ms(100));
    assert_eq!((next, late), (Some(3), vec![2]));
}
