//! The actix-http service for client connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::DispatchError;
use actix_http::{Extensions, HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory as _, fn_service};

use super::bounded_stream::BoundedStream;
use super::request_handler::RequestHandler;

/// How much of a response is in the write buffer of its connection at most, besides one slice.
const WRITE_BUFFER_BYTES: usize = 8 * 1024;

/// A service that runs HTTP/1.1 on one connection until the connection ends.
pub(super) trait ConnectionService:
    Service<(BoundedStream, Option<SocketAddr>), Response = (), Error = DispatchError>
{
}

impl<S> ConnectionService for S where
    S: Service<(BoundedStream, Option<SocketAddr>), Response = (), Error = DispatchError>
{
}

/// Builds the service for clients that are served. None if it cannot be created.
pub(super) async fn permitted_service(
    handler: Rc<RequestHandler>,
) -> Option<impl ConnectionService + 'static> {
    let respond = move |request: Request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    };
    HttpService::build()
        // `connection_timeout` replaces the timeouts of actix-http: it covers every request, not
        // just the first.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        // A client that shuts down its write side counts as disconnected: its requests are dropped,
        // and their attempts with them.
        .h1_allow_half_closed(false)
        .on_connect_ext(attach_connection)
        .h1(fn_service(respond))
        .new_service(())
        .await
        .ok()
}

/// Attaches the connection's state, so that each request on it can access it.
fn attach_connection(stream: &BoundedStream, data: &mut Extensions) {
    data.insert(Rc::clone(stream.client()));
}
