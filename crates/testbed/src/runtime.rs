//! Threads with an event loop of their own.

use std::thread;

/// Starts a thread that runs a future on its own event loop until the process ends.
pub fn spawn_system<F, Fut>(name: &str, start: F)
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let run = move || actix_rt::System::new().block_on(start());
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(run);
    assert!(spawned.is_ok(), "a thread can be started");
}
