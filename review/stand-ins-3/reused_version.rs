//! Case: the store comes back from a copy, and a version that the hosts had read is given out again for
//! a configuration that withdraws a key.

mod harness;
mod json;
mod world;

use std::sync::atomic::Ordering;
use std::time::Instant;

use harness::{call, request, sleep_ms};
use world::{Settings, World, sleep_until};

/// The age of the copy, and how long the store is away.
const COPY_AGE_S: f64 = 5.0;
const AWAY_MS: u64 = 300;
/// How many hosts the data centre has.
const HOSTS: usize = 8;
/// When the operator makes its two changes, after the copy.
const CHANGES_S: [f64; 2] = [1.0, 2.5];
/// When requests with the withdrawn key are sent, after the store is back. Hosts are in touch 3 s after its
/// return and have to apply the change within 2 s.
const FIRST_REQUEST_S: f64 = 3.5;
const LAST_REQUEST_S: f64 = 13.0;
const REQUEST_GAP_MS: u64 = 100;
/// When the key is withdrawn, after the store is back.
const WITHDRAWN_S: f64 = 0.5;

fn main() {
    let record = std::env::args().nth(1).expect("the path of the record");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let world = World::start("reused-version", &record, 4, HOSTS);
    let callers: Vec<_> = world.hosts.iter().map(|host| host.callers).collect();
    let ask = |id: &str, key: &str, host: usize| {
        let answer = call(callers[host], &request("POST", "/order/x", id, key, b"one"));
        world.note_answer(id, &answer);
        answer.status()
    };
    for instance in &world.instances {
        instance.is_quiet.store(true, Ordering::SeqCst);
    }
    sleep_ms(4_000);
    if (0..HOSTS).any(|host| ask(&format!("before-{host}"), "key-club-1", host) != 200) {
        world.end(2);
    }

    world.store.copy();
    let copied_at = Instant::now();
    world.note(&format!("the store is copied at version {}", world.store.version()));
    let mut settings = Settings::default();
    for (index, at_s) in CHANGES_S.into_iter().enumerate() {
        sleep_until(copied_at, at_s);
        settings.version += 1;
        settings.timeout_s = 2.4 + 0.05 * index as f64;
        let version = world.store.write("op", "config", Some(settings.encode()));
        world.note(&format!("configuration {} is written, version {version:?}", settings.version));
    }
    sleep_until(copied_at, COPY_AGE_S - AWAY_MS as f64 / 1e3);
    world.note("the store goes away");
    world.store.go_away();
    sleep_ms(AWAY_MS);
    if trouble {
        let (lost, age) = world.store.come_back_from_copy();
        let age_s = age.as_secs_f64();
        let back = world.store.version();
        for (table, key, value) in lost {
            let version = world.store.write(&table, &key, value);
            world.note(&format!("{table}/{key} is written again, version {version:?}"));
        }
        world.note(&format!("before that, the store came back from a copy {age_s:.1} s old, at version {back}"));
    } else {
        world.store.come_back();
        world.note(&format!("the store is back at version {}", world.store.version()));
    }
    let back_at = Instant::now();
    sleep_until(back_at, WITHDRAWN_S);
    settings.version += 1;
    settings.club_keys.remove(0);
    let version = world.store.write("op", "config", Some(settings.encode()));
    world.note(&format!("key-club-1 is withdrawn, acknowledged with version {version:?}"));

    sleep_until(back_at, FIRST_REQUEST_S);
    let (mut number, mut ran, mut runs_by_host) = (0, 0, [0; HOSTS]);
    while back_at.elapsed().as_secs_f64() < LAST_REQUEST_S {
        let id = format!("withdrawn-{number}");
        world.note(&format!("{id} is sent, store version {}", world.store.version()));
        ask(&id, "key-club-1", number % HOSTS);
        let runs = world.run_count(&id);
        ran += runs;
        runs_by_host[number % HOSTS] += runs;
        number += 1;
        sleep_ms(REQUEST_GAP_MS);
    }
    let other = ask("other-key", "key-club-2", 0);
    world.note(&format!(
        "{ran} of {number} requests with the withdrawn key ran; by host: {runs_by_host:?}"
    ));
    if other != 200 {
        world.end(2);
    }
    world.end(i32::from(ran > 0));
}
