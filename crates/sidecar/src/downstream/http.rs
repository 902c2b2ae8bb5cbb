//! The platform's protocol to the client, over actix-http.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{ConnectionType, HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{ServiceFactory, fn_service};

use super::bounded_stream::BoundedStream;
use super::connection::ClientConnection;
use super::listener::Listener;
use super::request::{Bad, read};
use crate::proxy::{self, Payload, ProxyResponse};

pub type Reply = Response<BoxBody>;

/// What serves one connection to its end.
pub trait Protocol:
    ServiceFactory<
        (BoundedStream, Option<SocketAddr>),
        Config = (),
        Response = (),
        Error = DispatchError,
        InitError = (),
    >
{
}

impl<P> Protocol for P where
    P: ServiceFactory<
            (BoundedStream, Option<SocketAddr>),
            Config = (),
            Response = (),
            Error = DispatchError,
            InitError = (),
        >
{
}

/// Serves clients that hold a permit.
pub fn service(front: &Rc<Listener>) -> impl Protocol + use<> {
    let front = Rc::clone(front);
    HttpService::build()
        // The client's own bounds, kept by `ClientConnection::overstayed`, cover each request, not just the first.
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        // Guards against requests that run on for a client that has left.
        .h1_allow_half_closed(false)
        .on_connect_ext(|lent: &BoundedStream, data| drop(data.insert(Rc::clone(lent.client()))))
        .h1(fn_service(move |request: Request| {
            let front = Rc::clone(&front);
            async move {
                let client = request.conn_data::<Rc<ClientConnection>>().cloned();
                let client = client.unwrap_or_else(|| ClientConnection::new(None));
                let mut reply = answer(&front, request, &client).await;
                if front.closing() || client.is_closing() {
                    reply.head_mut().set_connection_type(ConnectionType::Close);
                }
                client.on_response_made(reply.head().connection_type() == ConnectionType::Close);
                Ok::<_, Infallible>(reply)
            }
        }))
}

/// Guards against a full descriptor table: clients past the bound are told so at once.
pub fn reject_over_capacity(front: &Rc<Listener>) -> impl Protocol + use<> {
    let front = Rc::clone(front);
    let reject_over_capacity = move |request: Request| {
        front.host.counters.requests_over_capacity.add();
        let mut reply = pause(
            StatusCode::SERVICE_UNAVAILABLE,
            front.host.limits.default_retry_after,
        );
        reply.head_mut().set_connection_type(ConnectionType::Close);
        request
            .conn_data::<Rc<ClientConnection>>()
            .inspect(|client| client.on_response_made(true));
        async move { Ok::<_, Infallible>(reply) }
    };
    HttpService::build()
        .client_request_timeout(Duration::ZERO)
        .on_connect_ext(|lent: &BoundedStream, data| drop(data.insert(Rc::clone(lent.client()))))
        .h1(fn_service(reject_over_capacity))
}

async fn answer(front: &Listener, request: Request, client: &ClientConnection) -> Reply {
    let host = &front.host;
    match request.path() {
        "/ready" if host.is_ready() => return plain(StatusCode::OK, "ready\n"),
        "/ready" => {
            return plain(
                StatusCode::SERVICE_UNAVAILABLE,
                "no job server is known yet\n",
            );
        }
        "/counters" => return plain(StatusCode::OK, host.counters.to_string()),
        _ => {}
    }
    match read(host, request, client).await {
        Ok(ask) => {
            let answer = proxy::run(Rc::clone(host), Rc::clone(&front.upstream), ask).await;
            write(answer).unwrap_or_else(|bad| reject(front, bad))
        }
        Err(bad) => reject(front, bad),
    }
}

fn reject(front: &Listener, Bad(status, why): Bad) -> Reply {
    front.host.counters.requests_malformed.add();
    let mut reply = plain(status, why);
    // What is left of its body is of no use.
    reply.head_mut().set_connection_type(ConnectionType::Close);
    reply
}

fn plain(status: StatusCode, text: impl Into<String>) -> Reply {
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain"))
        .body(text.into())
        .map_into_boxed_body()
}

/// An answer that names the time to come back at. The status alone tells whether a repeat is harmless.
fn pause(status: StatusCode, retry_after: Duration) -> Reply {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    Response::build(status)
        .insert_header((RETRY_AFTER, seconds))
        .finish()
        .map_into_boxed_body()
}

fn write(answer: ProxyResponse) -> Result<Reply, Bad> {
    match answer {
        ProxyResponse::Served(Payload {
            body,
            headers: labels,
        }) => {
            let mut reply = Response::build(StatusCode::OK);
            for label in labels {
                reply.insert_header(label);
            }
            Ok(reply.body(body).map_into_boxed_body())
        }
        ProxyResponse::Rejected { retry_after } => {
            Ok(pause(StatusCode::SERVICE_UNAVAILABLE, retry_after))
        }
        ProxyResponse::Failed { retry_after } => {
            Ok(pause(StatusCode::GATEWAY_TIMEOUT, retry_after))
        }
        ProxyResponse::DuplicateId => Err(Bad(
            StatusCode::CONFLICT,
            "a transaction of that id is open\n",
        )),
    }
}
