//! A bucket and the hosts that draw from it never spend more tokens than the limit allows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ebonytack_core::{Bucket, Customer, Draw, GRANT_DURATION};
use quickcheck::{Gen, QuickCheck, TestResult};

use crate::support::ms;

const RATE_PER_SECOND: u32 = 100;
const BURST: u32 = 20;

/// A host that draws from the bucket; its messages may be lost, duplicated or delayed.
#[derive(Default)]
struct DrawingHost {
    sequence: u64,
    last_grant: u64,
    tokens: VecDeque<(u32, Duration)>,
}

impl DrawingHost {
    fn draw(&mut self, return_tokens: bool, needed: u32, now: Duration) -> Draw {
        self.tokens.retain(|(_, expires_at)| *expires_at > now);
        let held: u32 = self.tokens.iter().map(|(count, _)| *count).sum();
        let returned = if return_tokens { held } else { 0 };
        if return_tokens {
            self.tokens.clear();
        }
        self.sequence += 1;
        Draw {
            customer: "club".to_owned(),
            sequence: self.sequence,
            last_grant: self.last_grant,
            held: held - returned,
            returned,
            needed,
            ahead: 2,
            sent_at_us: now.as_micros() as u64,
        }
    }

    fn spend(&mut self, now: Duration) -> bool {
        self.tokens.retain(|(count, expires_at)| *expires_at > now && *count > 0);
        let Some(front) = self.tokens.front_mut() else { return false };
        front.0 -= 1;
        true
    }
}

/// Performs the actions, then checks the tokens spent in every window against rate and burst.
fn conserves_tokens(actions: Vec<(u8, u8, u8)>) -> TestResult {
    let customer = Customer { rate_per_second: RATE_PER_SECOND, burst: BURST };
    let mut bucket = Bucket::new(&customer, ms(0));
    let mut drawing_hosts: BTreeMap<u32, DrawingHost> = BTreeMap::new();
    let mut in_transit: Vec<(u32, Draw)> = Vec::new();
    let mut spent: Vec<Duration> = Vec::new();
    let mut now = ms(0);
    for (action, host, amount) in actions {
        now += ms(u64::from(amount % 40));
        let host = u32::from(host % 4) + 1;
        let drawing_host = drawing_hosts.entry(host).or_default();
        match action % 6 {
            0 | 1 => in_transit.push((host, drawing_host.draw(false, u32::from(amount % 8), now))),
            2 => in_transit.push((host, drawing_host.draw(true, 0, now))),
            3 if !in_transit.is_empty() => {
                let index = usize::from(amount) % in_transit.len();
                let duplicated = amount % 5 == 0;
                let (from, draw) = match duplicated {
                    true => in_transit[index].clone(),
                    false => in_transit.swap_remove(index),
                };
                deliver(&mut bucket, &mut drawing_hosts, from, &draw, now, amount % 7 == 0);
            }
            _ => spent.extend(drawing_host.spend(now).then_some(now)),
        }
        if bucket.level() + f64::from(bucket.outstanding()) > f64::from(BURST) + 1e-6 {
            return TestResult::failed();
        }
    }
    TestResult::from_bool(stays_within_limit(&spent))
}

fn deliver(
    bucket: &mut Bucket,
    drawing_hosts: &mut BTreeMap<u32, DrawingHost>,
    from: u32,
    draw: &Draw,
    now: Duration,
    lost: bool,
) {
    let Some(allocation) = bucket.draw(from, 1, draw, now) else { return };
    let Some(drawing_host) = drawing_hosts.get_mut(&from) else { return };
    if lost || draw.sequence <= drawing_host.last_grant {
        return;
    }
    drawing_host.last_grant = draw.sequence;
    let expires_at = Duration::from_micros(draw.sent_at_us) + GRANT_DURATION;
    drawing_host.tokens.push_back((allocation.tokens, expires_at));
}

fn stays_within_limit(spent: &[Duration]) -> bool {
    spent.iter().enumerate().all(|(first, start)| {
        spent[first..].iter().enumerate().all(|(count, end)| {
            let window = (*end - *start).as_secs_f64();
            (count + 1) as f64 <= f64::from(BURST) + f64::from(RATE_PER_SECOND) * window + 1e-6
        })
    })
}

#[test]
fn lost_duplicate_and_late_draws_create_no_tokens() {
    let seeded = QuickCheck::new().rng(Gen::from_size_and_seed(300, 7)).tests(4_000);
    seeded.max_tests(4_000).quickcheck(conserves_tokens as fn(Vec<(u8, u8, u8)>) -> TestResult);
}

#[test]
fn new_holder_grants_nothing_until_old_tokens_expire() {
    let customer = Customer { rate_per_second: RATE_PER_SECOND, burst: BURST };
    let mut bucket = Bucket::new(&customer, ms(600));
    let draw = DrawingHost::default().draw(false, 5, ms(10));
    let allocation = bucket.draw(1, 1, &draw, ms(10)).expect("the draw is served");
    assert_eq!((allocation.tokens, allocation.retry_after), (0, ms(590)));
}

#[test]
fn lowered_burst_takes_effect_immediately() {
    let customer = Customer { rate_per_second: RATE_PER_SECOND, burst: BURST };
    let mut bucket = Bucket::new(&customer, ms(0));
    bucket.set_limits(&Customer { burst: 2, ..customer }, ms(5_000));
    let draw = DrawingHost::default().draw(false, 5, ms(5_000));
    assert_eq!(bucket.draw(1, 1, &draw, ms(5_000)).map(|allocation| allocation.tokens), Some(2));
}
