//! Responses to the client, as the protocol writes them.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{ConnectionType, Response, StatusCode};

use super::malformed_request::MalformedRequest;
use crate::message::Payload;
use crate::proxy::ProxyResponse;

/// A response with a body of any size.
pub(super) type ClientResponse = Response<BoxBody>;

/// The proxy's response.
///
/// # Errors
/// If the proxy did nothing, since a request of the same id is in flight.
pub(super) fn from_proxy(response: ProxyResponse) -> Result<ClientResponse, MalformedRequest> {
    match response {
        ProxyResponse::Served(payload) => Ok(payload_response(payload)),
        ProxyResponse::Rejected { retry_after } => {
            Ok(retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after))
        }
        ProxyResponse::Failed { retry_after } => {
            Ok(retry_later(StatusCode::GATEWAY_TIMEOUT, retry_after))
        }
        ProxyResponse::DuplicateId => Err(MalformedRequest::DuplicateRequestId),
    }
}

/// A response of plain text.
pub(super) fn plain_text(status: StatusCode, text: impl Into<String>) -> ClientResponse {
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain"))
        .body(text.into())
        .map_into_boxed_body()
}

/// The rejection of a client past the bound on connections; the last response on its connection.
pub(super) fn over_capacity(retry_after: Duration) -> ClientResponse {
    last_on_connection(retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after))
}

/// The rejection of a malformed request; the last response on its connection, since what is left of
/// the request's body is not read.
pub(super) fn malformed(error: &MalformedRequest) -> ClientResponse {
    last_on_connection(plain_text(error.status(), format!("{error}\n")))
}

/// The response, with the connection closed behind it.
pub(super) fn last_on_connection(mut response: ClientResponse) -> ClientResponse {
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
    response
}

/// A server's payload, unchanged.
fn payload_response(payload: Payload) -> ClientResponse {
    let mut response = Response::build(StatusCode::OK);
    for header in payload.headers {
        response.insert_header(header);
    }
    response.body(payload.body).map_into_boxed_body()
}

/// A response that says when to retry. The status alone says whether a retry is harmless.
fn retry_later(status: StatusCode, retry_after: Duration) -> ClientResponse {
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    Response::build(status)
        .insert_header((RETRY_AFTER, seconds))
        .finish()
        .map_into_boxed_body()
}
