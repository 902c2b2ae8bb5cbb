use std::io::{Read as _, Write as _};
use std::net::TcpStream as BlockingStream;
use std::pin::pin;
use std::rc::Rc;

use futures_util::FutureExt as _;
use tokio::net::{TcpListener, TcpStream};

use super::lingering_close;
use crate::downstream::descriptor_reclaim::DescriptorReclaim;
use crate::limits::{LimitInputs, Limits};

/// Input that must not be left unread when the socket closes.
const LATE_INPUT: &[u8] = b"late";
/// The order of two events that are ready at once must not be left to chance.
const REPETITIONS: usize = 24;

async fn connect() -> (TcpStream, BlockingStream) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("port is free");
    let address = listener.local_addr().expect("socket is bound");
    let client = BlockingStream::connect(address).expect("client connects");
    let (socket, _) = listener.accept().await.expect("connection is accepted");
    (socket, client)
}

/// Guards against a reset by which the client loses the end of its response: input that arrives
/// while the process is held up beyond the end of the lingering is read before the socket closes.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn input_is_read_before_the_socket_closes_although_the_time_has_passed() {
    let limits = Limits::derive(&LimitInputs {
        sockets: 64,
        ..Default::default()
    });
    for repetition in 0..REPETITIONS {
        let (socket, mut client) = connect().await;
        let reclaim = Rc::<DescriptorReclaim>::default();
        let mut closing = pin!(lingering_close(socket, &limits, &reclaim));
        assert!(closing.as_mut().now_or_never().is_none());

        client.write_all(LATE_INPUT).expect("input is sent");
        tokio::time::advance(limits.client.lingering_close_timeout).await;
        closing.await;

        let end = client.read(&mut [0; 8]);
        assert!(matches!(end, Ok(0)), "repetition {repetition}: {end:?}");
        let end = client.take_error().expect("state is readable");
        assert!(end.is_none(), "repetition {repetition}: {end:?}");
    }
}
