//! The endpoint list of discovery; its format is read by `arrowstand-platform`.

pub use arrowstand_platform::EndpointList;
#[cfg(test)]
pub use arrowstand_platform::ListedEndpoint as Endpoint;
