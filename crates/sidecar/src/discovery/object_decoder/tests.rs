use proptest::prelude::*;

use super::*;

fn decode_all(text: &[u8], chunk_sizes: &[usize]) -> Vec<String> {
    let mut decoder = ObjectDecoder::new(100_000, 8);
    let mut objects = Vec::new();
    let mut position = 0;
    let mut chunk_sizes = chunk_sizes.iter().cycle();
    while position < text.len() {
        let end = (position + chunk_sizes.next().copied().unwrap_or(1).max(1)).min(text.len());
        decoder
            .push(&text[position..end])
            .expect("within the size limit");
        position = end;
        while let Some(object) = decoder.next_object() {
            objects.push(String::from_utf8(object).expect("valid UTF-8"));
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
    let mut decoder = ObjectDecoder::new(1_000, 2_000);
    let rejected = (0..100).any(|_| {
        let is_too_long = decoder.push(b" [[[[[[[[[[[[[[[[[[\n").is_err();
        is_too_long || decoder.next_object().is_some()
    });
    assert!(rejected && decoder.partial_object.len() <= 1_000);
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
