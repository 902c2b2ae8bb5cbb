use proptest::prelude::*;

use super::*;

fn all(text: &[u8], sizes: &[usize]) -> Vec<String> {
    let mut decoder = ObjectDecoder::new(100_000, 8);
    let mut found = Vec::new();
    let mut at = 0;
    let mut sizes = sizes.iter().cycle();
    while at < text.len() {
        let end = (at + sizes.next().copied().unwrap_or(1).max(1)).min(text.len());
        decoder.push(&text[at..end]).expect("short");
        at = end;
        while let Some(line) = decoder.next_object() {
            found.push(String::from_utf8(line).expect("text"));
        }
    }
    found
}

const PLAIN: &str = "{\"rev\":1,\"targets\":[{\"uid\":\"a}{\"}]}\n";
const INDENTED: &str =
    "{\n  \"rev\": 2,\n  \"targets\": [\n    {\n      \"uid\": \"b\"\n    }\n  ]\n}\n";

#[test]
fn truncated_object_swallows_nothing_that_follows() {
    let half = "{\"rev\":3,\n";
    let found = all(
        format!("{half}{PLAIN}{half}\n{INDENTED}no object\n").as_bytes(),
        &[7],
    );
    assert_eq!(found, [half, PLAIN, half, "\n", INDENTED, "no object\n"]);
}

#[test]
fn object_without_end_is_rejected() {
    let mut decoder = ObjectDecoder::new(1_000, 2_000);
    let rejected = (0..100).any(|_| {
        let full = decoder.push(b" [[[[[[[[[[[[[[[[[[\n").is_err();
        full || decoder.next_object().is_some()
    });
    assert!(rejected && decoder.partial_object.len() <= 1_000);
}

proptest! {
    /// However bytes are split and objects are laid out, each is returned complete and once.
    #[test]
    fn objects_are_returned_complete_however_their_bytes_are_split(
        order in prop::collection::vec(prop::sample::select(vec![PLAIN, INDENTED, "\n"]), 0..12),
        sizes in prop::collection::vec(1..40_usize, 1..8),
    ) {
        prop_assert_eq!(all(order.concat().as_bytes(), &sizes), order);
    }
}
