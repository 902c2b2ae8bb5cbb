//! The platform's protocol to the client, over actix-http: which connections get which responses.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::DispatchError;
use actix_http::{Extensions, HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory as _, fn_service};

use super::bounded_stream::BoundedStream;
use super::request_handler::RequestHandler;

/// Serves one connection to its end.
pub(super) trait ConnectionService:
    Service<(BoundedStream, Option<SocketAddr>), Response = (), Error = DispatchError>
{
}

impl<S> ConnectionService for S where
    S: Service<(BoundedStream, Option<SocketAddr>), Response = (), Error = DispatchError>
{
}

/// Serves clients that hold a permit. None if the protocol cannot be started.
pub(super) async fn permitted_service(
    handler: Rc<RequestHandler>,
) -> Option<impl ConnectionService + 'static> {
    let respond = move |request: Request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    };
    HttpService::build()
        // The client's own bounds, `connection_timeout`, cover each request, not just the
        // first.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        // A client that ends its side has left: its requests are dropped, and their attempts with
        // them.
        .h1_allow_half_closed(false)
        .on_connect_ext(attach_connection)
        .h1(fn_service(respond))
        .new_service(())
        .await
        .ok()
}

/// Serves clients past the bound on connections. None if the protocol cannot be started.
pub(super) async fn over_capacity_service(
    handler: Rc<RequestHandler>,
) -> Option<impl ConnectionService + 'static> {
    let reject = move |request: Request| {
        let response = handler.reject_over_capacity(&request);
        async move { Ok::<_, Infallible>(response) }
    };
    HttpService::build()
        .client_request_timeout(Duration::ZERO)
        .on_connect_ext(attach_connection)
        .h1(fn_service(reject))
        .new_service(())
        .await
        .ok()
}

/// Lets each request find its connection.
fn attach_connection(stream: &BoundedStream, data: &mut Extensions) {
    data.insert(Rc::clone(stream.client()));
}
