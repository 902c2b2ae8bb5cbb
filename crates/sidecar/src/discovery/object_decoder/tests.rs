use proptest::prelude::*;

use super::*;

fn decoder(max_bytes: usize, max_depth: usize) -> ObjectDecoder {
    ObjectDecoder::new(ObjectLimits {
        max_bytes,
        max_values: 20_000,
        max_depth,
    })
}

fn decode_all(text: &[u8], chunk_sizes: &[usize]) -> Vec<String> {
    let mut decoder = decoder(100_000, 8);
    let mut objects = Vec::new();
    let mut position = 0;
    let mut chunk_sizes = chunk_sizes.iter().cycle();
    while position < text.len() {
        let end = (position + chunk_sizes.next().copied().unwrap_or(1).max(1)).min(text.len());
        decoder
            .push(&text[position..end])
            .expect("within the size limit");
        position = end;
        while let Some(object) = decoder.next_object().expect("few values") {
            objects.push(String::from_utf8(object.to_vec()).expect("valid UTF-8"));
        }
    }
    objects
}

const SINGLE_LINE: &str = "{\"rev\":1,\"targets\":[{\"uid\":\"a}{\"}]}\n";
const INDENTED: &str =
    "{\n  \"rev\": 2,\n  \"targets\": [\n    {\n      \"uid\": \"b\"\n    }\n  ]\n}\n";

#[test]
fn truncated_object_does_not_absorb_what_follows() {
    let truncated = "{\"rev\":3,\n";
    let objects = decode_all(
        format!("{truncated}{SINGLE_LINE}{truncated}\n{INDENTED}no object\n").as_bytes(),
        &[7],
    );
    assert_eq!(
        objects,
        [
            truncated,
            SINGLE_LINE,
            truncated,
            "\n",
            INDENTED,
            "no object\n"
        ]
    );
}

#[test]
fn endless_object_is_rejected() {
    let mut decoder = decoder(1_000, 2_000);
    let rejected = (0..100).any(|_| {
        let is_too_long = decoder.push(b" [[[[[[[[[[[[[[[[[[\n").is_err();
        is_too_long || decoder.next_object().expect("few values").is_some()
    });
    assert!(rejected && decoder.buffer.len() <= 1_000);
}

/// Guards against an object of few bytes and many values, which take more memory than the process may
/// have.
#[test]
fn object_with_too_many_values_is_rejected_before_it_is_complete() {
    for value in ["0,", "{},", "[[[]]],", "[\n"] {
        let text = format!("{{\"targets\":[{}", value.repeat(20_000));
        let mut decoder = decoder(1_000_000, 100_000);
        decoder
            .push(text.as_bytes())
            .expect("within the size limit");
        let rejected = decoder.next_object();
        assert_eq!(rejected, Err(ObjectTooLarge::Values(20_000)), "{value}");
    }
}

/// Guards against work that grows with the square of an object: an indented list of a large fleet,
/// or a long line that arrives in many pieces, stopped the process for seconds.
#[test]
fn each_byte_is_examined_at_most_twice_in_any_pieces_and_layout() {
    let indented = format!("{{\n{}}}\n", "  \"key\": [\n  ],\n".repeat(2_000));
    let one_line = format!("{{{}}}\n", "\"key\": [],".repeat(2_000));
    let blank_line_in_object = format!("{{\n{}\n}}\n", " ".repeat(20_000));
    for text in [indented, one_line, blank_line_in_object] {
        for piece_bytes in [1, 7, 8 * 1024, usize::MAX] {
            let mut decoder = decoder(100_000, 8);
            for piece in text.as_bytes().chunks(piece_bytes) {
                decoder.push(piece).expect("within the size limit");
                while decoder.next_object().expect("few values").is_some() {}
            }
            let examined = decoder.take_examined_bytes();
            assert!(decoder.buffer.is_empty());
            assert!(examined <= 2 * text.len() as u64, "{examined} bytes");
        }
    }
}

proptest! {
    /// Each object is returned complete and once, independently of its layout and of chunk sizes.
    #[test]
    fn objects_are_returned_complete_for_any_chunk_sizes(
        objects in prop::collection::vec(
            prop::sample::select(vec![SINGLE_LINE, INDENTED, "\n"]),
            0..12,
        ),
        chunk_sizes in prop::collection::vec(1..40_usize, 1..8),
    ) {
        prop_assert_eq!(decode_all(objects.concat().as_bytes(), &chunk_sizes), objects);
    }
}
