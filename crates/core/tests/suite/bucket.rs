//! Conservation of tokens between a bucket and the hosts that draw from it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ebonytack_core::{Bucket, Customer, Draw, GRANT_DURATION};
use quickcheck::{Gen, QuickCheck, TestResult};

use crate::support::ms;

const RATE_PER_SECOND: u32 = 100;
const BURST: u32 = 20;

/// A host as the bucket may see it: messages may be lost, repeated and late.
#[derive(Default)]
struct Drawer {
    sequence: u64,
    last_grant: u64,
    tokens: VecDeque<(u32, Duration)>,
}

impl Drawer {
    fn draw(&mut self, give_back: bool, needed: u32, now: Duration) -> Draw {
        self.tokens.retain(|(_, lapse_at)| *lapse_at > now);
        let held: u32 = self.tokens.iter().map(|(count, _)| *count).sum();
        let returned = if give_back { held } else { 0 };
        if give_back {
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
        self.tokens.retain(|(count, lapse_at)| *lapse_at > now && *count > 0);
        let Some(front) = self.tokens.front_mut() else { return false };
        front.0 -= 1;
        true
    }
}

/// Plays a list of choices and checks every window of spent tokens.
fn conserves(choices: Vec<(u8, u8, u8)>) -> TestResult {
    let customer = Customer { rate_per_second: RATE_PER_SECOND, burst: BURST };
    let mut bucket = Bucket::new(&customer, ms(0));
    let mut drawers: BTreeMap<u32, Drawer> = BTreeMap::new();
    let mut on_the_way: Vec<(u32, Draw)> = Vec::new();
    let mut spent: Vec<Duration> = Vec::new();
    let mut now = ms(0);
    for (what, host, amount) in choices {
        now += ms(u64::from(amount % 40));
        let host = u32::from(host % 4) + 1;
        let drawer = drawers.entry(host).or_default();
        match what % 6 {
            0 | 1 => on_the_way.push((host, drawer.draw(false, u32::from(amount % 8), now))),
            2 => on_the_way.push((host, drawer.draw(true, 0, now))),
            3 if !on_the_way.is_empty() => {
                let index = usize::from(amount) % on_the_way.len();
                let repeated = amount % 5 == 0;
                let (from, draw) = match repeated {
                    true => on_the_way[index].clone(),
                    false => on_the_way.swap_remove(index),
                };
                deliver(&mut bucket, &mut drawers, from, &draw, now, amount % 7 == 0);
            }
            _ => spent.extend(drawer.spend(now).then_some(now)),
        }
        if bucket.level() + f64::from(bucket.outstanding()) > f64::from(BURST) + 1e-6 {
            return TestResult::failed();
        }
    }
    TestResult::from_bool(within(&spent))
}

fn deliver(
    bucket: &mut Bucket,
    drawers: &mut BTreeMap<u32, Drawer>,
    from: u32,
    draw: &Draw,
    now: Duration,
    lost: bool,
) {
    let Some(given) = bucket.draw(from, 1, draw, now) else { return };
    let Some(drawer) = drawers.get_mut(&from) else { return };
    if lost || draw.sequence <= drawer.last_grant {
        return;
    }
    drawer.last_grant = draw.sequence;
    let lapse_at = Duration::from_micros(draw.sent_at_us) + GRANT_DURATION;
    drawer.tokens.push_back((given.tokens, lapse_at));
}

fn within(spent: &[Duration]) -> bool {
    spent.iter().enumerate().all(|(first, start)| {
        spent[first..].iter().enumerate().all(|(count, end)| {
            let window = (*end - *start).as_secs_f64();
            (count + 1) as f64 <= f64::from(BURST) + f64::from(RATE_PER_SECOND) * window + 1e-6
        })
    })
}

#[test]
fn no_order_of_messages_makes_tokens() {
    let seeded = QuickCheck::new().rng(Gen::from_size_and_seed(300, 7)).tests(4_000);
    seeded.max_tests(4_000).quickcheck(conserves as fn(Vec<(u8, u8, u8)>) -> TestResult);
}

#[test]
fn a_new_holder_gives_nothing_before_the_old_tokens_have_lapsed() {
    let customer = Customer { rate_per_second: RATE_PER_SECOND, burst: BURST };
    let mut bucket = Bucket::new(&customer, ms(600));
    let draw = Drawer::default().draw(false, 5, ms(10));
    let given = bucket.draw(1, 1, &draw, ms(10)).expect("an answer");
    assert_eq!((given.tokens, given.retry_after), (0, ms(590)));
}

#[test]
fn a_lowered_burst_takes_effect_at_once() {
    let customer = Customer { rate_per_second: RATE_PER_SECOND, burst: BURST };
    let mut bucket = Bucket::new(&customer, ms(0));
    bucket.set_limits(&Customer { burst: 2, ..customer }, ms(5_000));
    let draw = Drawer::default().draw(false, 5, ms(5_000));
    assert_eq!(bucket.draw(1, 1, &draw, ms(5_000)).map(|given| given.tokens), Some(2));
}
