//! A message body that is passed on in slices.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;

/// Bytes that the HTTP implementation gets at a time. It copies what it gets into its write buffer,
/// so this bounds that buffer, of which each connection and each attempt has one.
const SLICE_BYTES: usize = 8 * 1024;

/// A body of known length that shares its bytes and is written slice by slice. `guard` is kept until
/// the body is dropped.
pub(crate) struct SlicedBody<G> {
    rest: Bytes,
    _guard: G,
}

impl<G> SlicedBody<G> {
    /// Creates a body of these bytes.
    pub(crate) fn new(bytes: Bytes, guard: G) -> Self {
        Self {
            rest: bytes,
            _guard: guard,
        }
    }
}

impl<G: Unpin> MessageBody for SlicedBody<G> {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.rest.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(SLICE_BYTES);
        Poll::Ready(Some(Ok(self.rest.split_to(length))))
    }
}
