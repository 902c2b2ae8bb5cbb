//! Builds the HTTP responses to clients.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{ConnectionType, Response, StatusCode};

use super::malformed_request::MalformedRequest;
use super::request_memory::MemoryReservation;
use crate::message::{Payload, SlicedBody};
use crate::proxy::ProxyResponse;

/// An HTTP response to a client.
pub(super) type ClientResponse = Response<BoxBody>;

/// Converts the proxy's response to an HTTP response. The body of a served one keeps `memory` until
/// it is written or its connection ends.
///
/// # Errors
/// Returns an error if the proxy did not run the request, since one with the same id is in flight.
pub(super) fn from_proxy(
    response: ProxyResponse,
    memory: MemoryReservation,
) -> Result<ClientResponse, MalformedRequest> {
    match response {
        ProxyResponse::Served(payload) => Ok(payload_response(payload, memory)),
        ProxyResponse::Rejected { retry_after } => {
            Ok(retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after))
        }
        ProxyResponse::Failed { retry_after } => {
            Ok(retry_later(StatusCode::GATEWAY_TIMEOUT, retry_after))
        }
        ProxyResponse::DuplicateId => Err(MalformedRequest::DuplicateRequestId),
    }
}

/// Builds a plain-text response.
pub(super) fn plain_text(status: StatusCode, text: impl Into<String>) -> ClientResponse {
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain"))
        .body(text.into())
        .map_into_boxed_body()
}

/// The rejection of a request for which the sidecar has no connection or no memory.
pub(super) fn over_capacity(retry_after: Duration) -> ClientResponse {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after)
}

/// The rejection of a malformed request; the last response on its connection, since the rest of the
/// request's body is not read.
pub(super) fn malformed(error: &MalformedRequest) -> ClientResponse {
    last_on_connection(plain_text(error.status(), format!("{error}\n")))
}

/// Makes a response the last on its connection, which closes after it.
pub(super) fn last_on_connection(mut response: ClientResponse) -> ClientResponse {
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response
}

/// Responds with a server's payload, unchanged.
fn payload_response(payload: Payload, memory: MemoryReservation) -> ClientResponse {
    let mut response = Response::build(StatusCode::OK);
    for header in payload.headers {
        response.insert_header(header);
    }
    response
        .body(SlicedBody::new(payload.body, memory))
        .map_into_boxed_body()
}

/// A response with a Retry-After header. Only the status indicates whether a retry is safe.
fn retry_later(status: StatusCode, retry_after: Duration) -> ClientResponse {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    Response::build(status)
        .insert_header((RETRY_AFTER, seconds))
        .finish()
        .map_into_boxed_body()
}
