//! The place of a server in the table.

/// Place of a server in the [`EndpointTable`](crate::state::EndpointTable), valid until the table
/// forgets servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerIndex(pub(crate) usize);
