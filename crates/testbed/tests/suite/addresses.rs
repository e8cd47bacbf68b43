//! Tests of the addresses on which the testbed's hosts listen.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};

use ebonytack_testbed::ReservedAddress;

/// More sockets than other tests of the machine open together.
const SOCKETS: usize = 300;

#[test]
fn reserved_address_is_given_to_no_other_socket() {
    let reserve = |_| ReservedAddress::new().expect("a port is free");
    let reserved: Vec<ReservedAddress> = (0..SOCKETS).map(reserve).collect();
    let addresses: BTreeSet<SocketAddr> = reserved.iter().map(ReservedAddress::get).collect();
    assert_eq!(addresses.len(), SOCKETS);
    let server = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let to = server.local_addr().expect("the socket is bound");
    for _ in 0..SOCKETS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        assert!(!addresses.contains(&listener.local_addr().expect("the socket is bound")));
        let outgoing = TcpStream::connect(to).expect("the server listens");
        server.accept().expect("the connection is accepted");
        assert!(!addresses.contains(&outgoing.local_addr().expect("the socket is bound")));
    }
}

#[test]
fn host_listens_on_reserved_address_again_and_again() {
    let reserved = ReservedAddress::new().expect("a port is free");
    for _ in 0..3 {
        assert!(TcpStream::connect(reserved.get()).is_err(), "nothing listens yet");
        let listener = TcpListener::bind(reserved.get()).expect("the host listens");
        let _reports = UdpSocket::bind(reserved.get()).expect("the host receives reports");
        TcpStream::connect(reserved.get()).expect("the host accepts");
        drop(listener);
    }
    reserved.close();
}
