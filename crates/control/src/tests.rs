use super::stable_hash;

/// Hashes that instances of different versions exchange. The expected values come from the FNV-1a
/// implementation that preceded the `fnv` crate.
const HASHES: [(&str, u64); 5] = [
    ("", 0xcbf2_9ce4_8422_2325),
    ("a", 0xaf63_dc4c_8601_ec8c),
    ("10.0.0.1:80", 0x529f_5a4b_643f_a605),
    ("server-17", 0x3586_e8c0_a1a1_5799),
    ("größe", 0xb745_0e1e_f581_40da),
];

#[test]
fn stable_hash_does_not_change_between_versions() {
    for (text, expected) in HASHES {
        assert_eq!(stable_hash(text), expected, "{text:?}");
    }
}
