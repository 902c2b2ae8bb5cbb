//! The life of one request, from its last byte to its final response, whatever listener it came by.
//! Knows neither the client's protocol nor how an attempt is written to a server.

mod attempts;
mod exchange;
mod response;
mod retry_window;

pub(crate) use exchange::run;
pub(crate) use response::ProxyResponse;
