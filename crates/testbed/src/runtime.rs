//! Threads with their own event loops.

use std::thread;

/// Starts a thread that runs a future on its own event loop. The thread is never joined.
///
/// # Panics
///
/// Panics when the thread cannot be started.
pub fn spawn_system<F, Fut>(name: &str, start: F)
where
    F: FnOnce() -> Fut + Send + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let run = move || actix_rt::System::new().block_on(start());
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(run);
    assert!(spawned.is_ok(), "cannot start a thread");
}
