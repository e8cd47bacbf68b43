//! The path of a request through real processes.

use ebonytack_testbed::Caller;

use crate::support::{one_fleet, plan, start};

#[test]
fn a_request_with_a_key_reaches_an_instance_without_it() {
    let _one = one_fleet();
    actix_rt::System::new().block_on(async {
        let fleet = start(&plan()).await;
        let caller = Caller::new();
        for host in 1..=3 {
            let reply = caller.get(fleet.callers(host), "/catalogue/rods?size=3", "key-club").await;
            assert_eq!((reply.status, reply.body.len()), (200, 64));
        }
        let seen = fleet.upstream("catalogue").ledger();
        let seen: Vec<_> = seen.iter().filter(|entry| entry.path.contains("rods")).collect();
        assert_eq!(seen.len(), 3);
        for entry in seen {
            assert!(entry.path.ends_with("/catalogue/rods?size=3"), "{}", entry.path);
            let text = format!("{entry:?}");
            assert!(!text.contains("key-club"), "{text}");
        }
    });
}

#[test]
fn requests_without_a_valid_key_are_refused_as_not_run() {
    let _one = one_fleet();
    actix_rt::System::new().block_on(async {
        let fleet = start(&plan()).await;
        let caller = Caller::new();
        let before = fleet.upstream("catalogue").ledger().len();
        let host = fleet.callers(1);
        for (path, key, status, reason) in [
            ("/catalogue/rods", "", 401, "key-missing"),
            ("/catalogue/rods", "wrong", 403, "key-refused"),
            ("/nowhere", "key-club", 404, "no-route"),
            ("/catalogue/%2e%2e/orders", "key-club", 400, "bad-request"),
            ("/catalogue/key-club", "key-club", 400, "bad-request"),
        ] {
            let reply = caller.get(host, path, key).await;
            assert_eq!((reply.status, reply.reason.as_deref()), (status, Some(reason)), "{path}");
            assert!(reply.is_not_run(), "{path}");
        }
        assert_eq!(fleet.upstream("catalogue").ledger().len(), before);
    });
}
