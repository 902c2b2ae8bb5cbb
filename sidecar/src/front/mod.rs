//! What terminals speak. Each front turns its protocol into an [`Ask`](crate::transaction::Ask) and an
//! [`Answer`](crate::transaction::Answer) back into its protocol; none of them decides anything.

pub mod http;
mod line;
