//! The shapes that sections and choices of a scenario file share: how serde reads them, and their
//! defaults.

/// Declares a section: a struct whose keys all have defaults, and which refuses keys that it does
/// not know.
macro_rules! section {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $kind:ty = $default:expr,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $name { $($(#[$field_doc])* pub $field: $kind,)* }

        impl Default for $name {
            fn default() -> Self { Self { $($field: $default,)* } }
        }
    };
}

/// Declares a choice: an enum whose variants are written in snake case.
macro_rules! choice {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $name { $($(#[$variant_doc])* $variant,)* }
    };
}

pub(super) use {choice, section};
