use std::future::poll_fn;
use std::io::Write as _;
use std::net::{Ipv4Addr, TcpListener};

use proptest::prelude::*;

use super::*;
use crate::limits::LimitInputs;

/// A reader whose server has sent these bytes and keeps the connection open.
fn reader_of(sent: &[u8]) -> (ResponseReader, std::net::TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let client = std::net::TcpStream::connect(address).expect("listening");
    client.set_nonblocking(true).expect("supported");
    let (mut server, _) = listener.accept().expect("connected");
    server.write_all(sent).expect("fits into the socket");
    let stream = TcpStream::from_std(client).expect("the runtime runs");
    let limits = Rc::new(Limits::derive(&LimitInputs::default()));
    let mut reader = ResponseReader::new(stream, limits, Rc::new(Counters::default()));
    reader.prepare_for_response();
    (reader, server)
}

/// Reads the response into buffers of this size; fails where the reader fails.
async fn read_response(
    reader: &mut ResponseReader,
    length: usize,
    buffer_bytes: usize,
) -> io::Result<Vec<u8>> {
    let mut response = Vec::new();
    while response.len() < length {
        let mut buffer = vec![0; buffer_bytes];
        let mut output = ReadBuf::new(&mut buffer);
        poll_fn(|context| reader.poll_response(context, &mut output)).await?;
        response.extend_from_slice(output.filled());
    }
    Ok(response)
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build();
    runtime.expect("runtime is created").block_on(future)
}

/// Where the last byte of the response falls.
#[derive(Clone, Copy, Debug)]
enum LastByte {
    Anywhere,
    /// At the end of the read that takes the head: it fills its buffer.
    FillsHeadRead,
    /// At the end of a later read: it fills the caller's buffer.
    FillsBuffer,
}

/// A response with a body of this length and a head that is padded to `head_bytes`, if that is
/// longer.
fn response(head_bytes: usize, body_bytes: usize) -> Vec<u8> {
    let head = |padding: usize| {
        let padding = "p".repeat(padding);
        format!("HTTP/1.1 200 OK\r\nX-Pad: {padding}\r\nContent-Length: {body_bytes}\r\n\r\n")
    };
    let padding = head_bytes.saturating_sub(head(0).len());
    [head(padding).into_bytes(), vec![b'b'; body_bytes]].concat()
}

proptest! {
    /// Guards against a response with too small a length that is passed on cut off: whichever read
    /// takes its last byte, what has arrived behind it is seen before that byte is passed on.
    #[test]
    fn last_byte_of_a_response_is_passed_on_only_if_nothing_unexplained_is_behind_it(
        head_bytes in 0..1_000_usize,
        body_bytes in 0..4_000_usize,
        excess_bytes in 0..3_usize,
        buffer_bytes in 1..5_000_usize,
        last_byte in prop::sample::select(
            vec![LastByte::Anywhere, LastByte::FillsHeadRead, LastByte::FillsBuffer]
        ),
    ) {
        let (response, buffer_bytes) = match last_byte {
            LastByte::Anywhere => (response(head_bytes, body_bytes), buffer_bytes),
            LastByte::FillsHeadRead => {
                let body_bytes = body_bytes % (HEAD_READ_BYTES / 2);
                (response(HEAD_READ_BYTES - body_bytes, body_bytes), buffer_bytes)
            }
            LastByte::FillsBuffer => {
                (response(HEAD_READ_BYTES, body_bytes + 1), body_bytes + 1)
            }
        };
        let sent = [response.clone(), vec![b'b'; excess_bytes]].concat();
        let read = run(async {
            let (mut reader, _server) = reader_of(&sent);
            read_response(&mut reader, response.len(), buffer_bytes).await
        });
        match read {
            Ok(read) => prop_assert!(excess_bytes == 0 && read == response),
            Err(error) => prop_assert!(excess_bytes > 0, "{error}"),
        }
    }
}
