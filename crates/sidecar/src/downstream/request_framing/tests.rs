use proptest::prelude::*;

use super::*;

const LINE_ENDS: [&str; 2] = ["\r\n", "\n"];

fn head(line_end: &str, fields: usize) -> String {
    let fields = format!("x: \r v{line_end}").repeat(fields);
    format!("POST / HTTP/1.1{line_end}{fields}{line_end}")
}

fn chunked_body(chunks: &[usize], trailers: usize) -> String {
    let chunk = |&size: &usize| format!("{size:X};a=0\r\n{}\r\n", "\n".repeat(size));
    let data: Vec<String> = chunks.iter().map(chunk).collect();
    let trailers = "t: 1\r\n".repeat(trailers);
    format!("{}0\r\n{trailers}\r\n", data.concat())
}

/// Passes a head, a body and further input in pieces, as the stream does, and returns how many bytes
/// were taken.
fn take_all(head: &str, body: &str, delimiter: BodyDelimiter, piece_bytes: usize) -> usize {
    let mut framing = RequestFraming::default();
    let input = format!("{head}{body}GET / HTTP/1.1\r\n\r\n");
    let mut position = 0;
    while !framing.is_after_request() {
        let end = (position + piece_bytes).min(input.len());
        position += framing.take(&input.as_bytes()[position..end]);
        if framing.awaits_delimiter() {
            assert_eq!(position, head.len(), "the head ends here");
            framing.on_body_delimiter(delimiter);
        }
        assert!(position < input.len(), "the request must end");
    }
    position
}

proptest! {
    #[test]
    fn request_ends_with_its_last_byte_in_any_pieces(
        line_end in prop::sample::select(&LINE_ENDS[..]),
        fields in 0..4_usize,
        chunks in prop::collection::vec(1..40_usize, 0..4),
        trailers in 0..3_usize,
        body_bytes in 0..50_usize,
        is_chunked: bool,
        piece_bytes in 1..30_usize,
    ) {
        let head = head(line_end, fields);
        let (body, delimiter) = if is_chunked {
            (chunked_body(&chunks, trailers), BodyDelimiter::LastChunk)
        } else {
            ("b".repeat(body_bytes), BodyDelimiter::Length(body_bytes))
        };
        let taken = take_all(&head, &body, delimiter, piece_bytes);
        prop_assert_eq!(taken, head.len() + body.len());
    }

    #[test]
    fn any_bytes_are_taken_without_a_panic(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..20),
        is_chunked: bool,
    ) {
        let mut framing = RequestFraming::default();
        for piece in pieces {
            prop_assert!(framing.take(&piece) <= piece.len());
            framing.on_body_delimiter(if is_chunked {
                BodyDelimiter::LastChunk
            } else {
                BodyDelimiter::Length(piece.len())
            });
        }
    }
}

#[test]
fn empty_lines_before_a_request_do_not_end_its_head() {
    let mut framing = RequestFraming::default();
    assert_eq!(framing.take(b"\r\n\n\r\nGET / HTTP/1.1\r\n"), 21);
    assert_eq!(framing.head_bytes(), 16);
    assert!(!framing.awaits_delimiter());
}
