//! Tests of the harness functions on which the order of events in a recording depends.

mod support;

use std::net::{TcpListener, TcpStream};

use support::socket_table::has_end_arrived;
use support::wait_for;

#[test]
fn connection_end_arrives_only_after_every_copy_of_its_socket_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port is free");
    let client = TcpStream::connect(listener.local_addr().expect("socket is bound"))
        .expect("client connects");
    let (server, client_address) = listener.accept().expect("connection is accepted");
    let server_address = server.local_addr().expect("socket is bound");
    let copy = client.try_clone().expect("socket is duplicated");

    drop(client);
    let arrived_with_a_copy_open = has_end_arrived(server_address, client_address);
    drop(copy);

    assert!(!arrived_with_a_copy_open);
    wait_for("the end of the connection", || {
        has_end_arrived(server_address, client_address).then_some(())
    });
}
