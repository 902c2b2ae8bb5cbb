use proptest::prelude::*;

use super::*;

fn all(text: &[u8], sizes: &[usize]) -> Vec<String> {
    let (mut lines, mut found, mut at) = (LineDecoder::new(100_000, 8), Vec::new(), 0);
    let mut sizes = sizes.iter().cycle();
    while at < text.len() {
        let end = (at + sizes.next().copied().unwrap_or(1).max(1)).min(text.len());
        lines.add(&text[at..end]).expect("short");
        at = end;
        while let Some(line) = lines.take() {
            found.push(String::from_utf8(line).expect("text"));
        }
    }
    found
}

const PLAIN: &str = "{\"rev\":1,\"targets\":[{\"uid\":\"a}{\"}]}\n";
const INDENTED: &str =
    "{\n  \"rev\": 2,\n  \"targets\": [\n    {\n      \"uid\": \"b\"\n    }\n  ]\n}\n";

#[test]
fn half_an_object_takes_nothing_with_it() {
    let half = "{\"rev\":3,\n";
    let found = all(
        format!("{half}{PLAIN}{half}\n{INDENTED}no object\n").as_bytes(),
        &[7],
    );
    assert_eq!(found, [half, PLAIN, half, "\n", INDENTED, "no object\n"]);
}

#[test]
fn an_object_without_end_is_refused() {
    let mut lines = LineDecoder::new(1_000, 2_000);
    let refused = (0..100).any(|_| {
        let full = lines.add(b" [[[[[[[[[[[[[[[[[[\n").is_err();
        full || lines.take().is_some()
    });
    assert!(refused && lines.open.len() <= 1_000);
}

proptest! {
    /// However bytes are split and objects are laid out, each comes out whole and once.
    #[test]
    fn objects_come_out_whole(
        order in prop::collection::vec(prop::sample::select(vec![PLAIN, INDENTED, "\n"]), 0..12),
        sizes in prop::collection::vec(1..40_usize, 1..8),
    ) {
        prop_assert_eq!(all(order.concat().as_bytes(), &sizes), order);
    }
}
