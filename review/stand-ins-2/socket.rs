//! The one socket option that the standard library cannot set.

use std::net::TcpStream;
use std::os::fd::AsRawFd;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Limits what the kernel receives for a client that reads slowly.
pub fn limit_receive_buffer(stream: &TcpStream, bytes: i32) {
    // SAFETY: the descriptor is open, and the value outlives the call and has the stated length.
    let result = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    assert_eq!(result, 0, "the receive buffer can be limited");
}
