//! Index of a server in the endpoint table.

/// Index of a server in the [`EndpointTable`](crate::state::EndpointTable), valid until the table
/// removes servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerIndex(pub(crate) usize);
