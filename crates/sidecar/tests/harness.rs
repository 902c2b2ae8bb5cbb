//! The harness itself, where a recording's order depends on it.

mod support;

use std::net::{TcpListener, TcpStream};

use support::socket_table::has_end_arrived;
use support::until;

#[test]
fn end_of_a_connection_arrives_once_every_copy_of_its_socket_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let (server, client_address) = listener.accept().expect("a connection");
    let server_address = server.local_addr().expect("bound");
    let copy = client.try_clone().expect("a second handle");

    drop(client);
    let arrived_with_a_copy_open = has_end_arrived(server_address, client_address);
    drop(copy);

    assert!(!arrived_with_a_copy_open);
    until("the end", || {
        has_end_arrived(server_address, client_address).then_some(())
    });
}
