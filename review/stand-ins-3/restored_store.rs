//! Case: the store comes back from a copy that is five seconds old, and a key is withdrawn after that.

mod harness;
mod json;
mod world;

use std::time::Instant;

use harness::{call, request, sleep_ms};
use world::{Settings, World, sleep_until};

/// The age of the copy, and how long the store is away.
const COPY_AGE_S: f64 = 5.0;
const AWAY_MS: u64 = 700;
/// The operator's changes before that, as in `config_storm` of the site file: each 0.33 s for 4 s.
const STORM_CHANGES: u32 = 12;
const STORM_GAP_MS: u64 = 330;
/// When the key is withdrawn, and when requests with it are sent, after the store is back. Hosts are in
/// touch 3 s after its return and have to apply the change within 2 s.
const WITHDRAWN_S: f64 = 0.3;
const FIRST_REQUEST_S: f64 = 3.5;
const LAST_REQUEST_S: f64 = 6.0;

fn main() {
    let record = std::env::args().nth(1).expect("the path of the record");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let world = World::start("restored-store", &record, 4, 2);
    let callers: Vec<_> = world.hosts.iter().map(|host| host.callers).collect();
    let ask = |id: &str, key: &str, host: usize| {
        let answer = call(callers[host], &request("POST", "/order/x", id, key, b"one"));
        world.note_answer(id, &answer);
        answer.status()
    };
    sleep_ms(4_000);
    if ask("before", "key-club-1", 0) != 200 || ask("before-2", "key-club-1", 1) != 200 {
        world.end(2);
    }

    world.store.copy();
    let copied_at = Instant::now();
    world.note(&format!("the store is copied at version {}", world.store.version()));
    let mut settings = Settings::default();
    for _ in 0..STORM_CHANGES {
        settings.version += 1;
        settings.timeout_s = if settings.version % 2 == 0 { 2.4 } else { 2.5 };
        world.store.write("op", "config", Some(settings.encode()));
        sleep_ms(STORM_GAP_MS);
    }
    sleep_until(copied_at, COPY_AGE_S - AWAY_MS as f64 / 1e3);
    world.note(&format!("the store goes away at version {}", world.store.version()));
    world.store.go_away();
    sleep_ms(AWAY_MS);
    if trouble {
        let (lost, age) = world.store.come_back_from_copy();
        world.note(&format!(
            "the store is back from a copy {:.1} s old, at version {}",
            age.as_secs_f64(),
            world.store.version()
        ));
        for (table, key, value) in lost {
            let version = world.store.write(&table, &key, value);
            world.note(&format!("{table}/{key} is written again, version {version:?}"));
        }
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
    let (mut number, mut ran) = (0, 0);
    while back_at.elapsed().as_secs_f64() < LAST_REQUEST_S {
        let id = format!("withdrawn-{number}");
        world.note(&format!("{id} is sent, store version {}", world.store.version()));
        ask(&id, "key-club-1", number % 2);
        ran += world.run_count(&id);
        number += 1;
        sleep_ms(200);
    }
    let other = ask("other-key", "key-club-2", 0);
    world.note(&format!("{ran} of {number} requests with the withdrawn key ran"));
    if other != 200 {
        world.end(2);
    }
    world.end(i32::from(ran > 0));
}
