//! Handles one request, from its head to its response: serves the sidecar's own paths and forwards
//! all others to the proxy.

use std::cell::Cell;
use std::rc::Rc;

use actix_http::{ConnectionType, HttpMessage as _, Request, StatusCode};

use super::connection::{ClientConnection, Persistence};
use super::request::{RefusedRequest, read_request};
use super::request_framing::BodyDelimiter;
use super::request_headers::content_length;
use super::response::{self, ClientResponse, plain_text};
use super::service_context::ServiceContext;
use crate::proxy::Proxy;

/// Responds to requests; shared by all connections of a listener.
pub(super) struct RequestHandler {
    context: Rc<ServiceContext>,
    proxy: Rc<Proxy>,
    is_shutting_down: Cell<bool>,
}

impl RequestHandler {
    /// Creates a handler that forwards requests to `proxy`.
    pub(super) fn new(context: Rc<ServiceContext>, proxy: Rc<Proxy>) -> Rc<Self> {
        Rc::new(Self {
            context,
            proxy,
            is_shutting_down: Cell::new(false),
        })
    }

    /// Makes each response from now on the last on its connection.
    pub(super) fn on_shutdown(&self) {
        self.is_shutting_down.set(true);
    }

    /// True once each response is the last on its connection.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Responds to a request from a client that holds a permit.
    pub(super) async fn handle(&self, request: Request) -> ClientResponse {
        let client = client_connection(&request).unwrap_or_else(|| ClientConnection::new(None));
        client
            .request_input()
            .on_body_delimiter(body_delimiter(&request));
        let mut response = self.respond(request, &client).await;
        if self.is_shutting_down() || client.close_state().is_closing() {
            response = response::last_on_connection(response);
        }
        let persistence = match response.head().connection_type() {
            ConnectionType::Close => Persistence::Close,
            ConnectionType::KeepAlive | ConnectionType::Upgrade => Persistence::KeepAlive,
        };
        client.on_response_ready(persistence);
        response
    }

    async fn respond(&self, request: Request, client: &ClientConnection) -> ClientResponse {
        match request.path() {
            "/ready" => self.readiness(),
            "/counters" => plain_text(StatusCode::OK, self.context.counters().to_string()),
            _ => match self.forward(request, client).await {
                Ok(response) => response,
                Err(refused) => self.refuse(&refused),
            },
        }
    }

    fn readiness(&self) -> ClientResponse {
        if self.context.is_ready() {
            plain_text(StatusCode::OK, "ready\n")
        } else {
            plain_text(
                StatusCode::SERVICE_UNAVAILABLE,
                "no job server is known yet\n",
            )
        }
    }

    async fn forward(
        &self,
        request: Request,
        client: &ClientConnection,
    ) -> Result<ClientResponse, RefusedRequest> {
        let (request, memory) = read_request(&self.context, request, client).await?;
        let response = self.proxy.handle(request).await;
        Ok(response::from_proxy(response, memory)?)
    }

    fn refuse(&self, refused: &RefusedRequest) -> ClientResponse {
        let counters = self.context.counters();
        let retry_after = self.context.limits().default_retry_after;
        match refused {
            RefusedRequest::Malformed(error) => {
                counters.requests_malformed.inc();
                response::malformed(error)
            }
            RefusedRequest::BodyOverMemory => {
                counters.requests_over_memory.inc();
                response::last_on_connection(response::over_capacity(retry_after))
            }
            RefusedRequest::OverMemory => {
                counters.requests_over_memory.inc();
                response::over_capacity(retry_after)
            }
        }
    }
}

/// How the body of a request is delimited. A length that cannot be read is rejected later.
fn body_delimiter(request: &Request) -> BodyDelimiter {
    if request.chunked().unwrap_or(false) {
        return BodyDelimiter::LastChunk;
    }
    let length = content_length(request.headers()).unwrap_or_default();
    BodyDelimiter::Length(usize::try_from(length).unwrap_or(usize::MAX))
}

/// The connection that a request was received on, as attached by `http`.
fn client_connection(request: &Request) -> Option<Rc<ClientConnection>> {
    request.conn_data::<Rc<ClientConnection>>().cloned()
}
