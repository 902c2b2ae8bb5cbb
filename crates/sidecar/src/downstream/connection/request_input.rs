//! The input of the current request, and the bytes that are held back behind it.

use std::cell::{Cell, RefCell};

use bytes::BytesMut;
use tokio::io::ReadBuf;

use crate::downstream::request_framing::{BodyDelimiter, RequestFraming};
use crate::downstream::request_memory::MemoryReservation;

/// The framing of a connection's input. actix-http gets the bytes of one request at a time.
#[derive(Default)]
pub(in crate::downstream) struct RequestInput {
    framing: RefCell<RequestFraming>,
    /// Bytes that follow those that were passed on.
    held_back: RefCell<BytesMut>,
    /// The response to the current request is ready.
    is_responded: Cell<bool>,
    /// Memory of a head that is larger than what is counted for every connection.
    head_memory: RefCell<Option<MemoryReservation>>,
}

impl RequestInput {
    /// Records how the body of the current request is delimited.
    pub(in crate::downstream) fn on_body_delimiter(&self, delimiter: BodyDelimiter) {
        self.framing.borrow_mut().on_body_delimiter(delimiter);
    }

    /// Records that the response to the current request is ready.
    pub(super) fn on_response_ready(&self) {
        self.is_responded.set(true);
        self.head_memory.take();
    }

    /// Begins the next request if the current one has ended and has its response.
    pub(super) fn begin_request_if_responded(&self) {
        let mut framing = self.framing.borrow_mut();
        if framing.is_after_request() && self.is_responded.replace(false) {
            framing.begin_request();
        }
    }

    /// Appends to `output` what was held back of the current request; false if that is nothing.
    pub(in crate::downstream) fn pass_held_back(&self, output: &mut ReadBuf<'_>) -> bool {
        let mut held_back = self.held_back.borrow_mut();
        let available = held_back.len().min(output.remaining());
        let taken = self.framing.borrow_mut().take(&held_back[..available]);
        output.put_slice(&held_back.split_to(taken));
        taken > 0
    }

    /// Takes received bytes that were appended to `output` after `filled_before`, and holds back
    /// those that follow the current request.
    pub(in crate::downstream) fn take_from(&self, output: &mut ReadBuf<'_>, filled_before: usize) {
        let received = &output.filled()[filled_before..];
        let taken = self.framing.borrow_mut().take(received);
        self.held_back
            .borrow_mut()
            .extend_from_slice(&received[taken..]);
        output.set_filled(filled_before + taken);
    }

    /// Holds back bytes that follow the current request, up to `max_bytes` in all; false if some of
    /// them exceed that and are lost.
    pub(in crate::downstream) fn hold_back(&self, bytes: &[u8], max_bytes: usize) -> bool {
        let mut held_back = self.held_back.borrow_mut();
        let room = max_bytes.saturating_sub(held_back.len()).min(bytes.len());
        held_back.extend_from_slice(&bytes[..room]);
        room == bytes.len()
    }

    /// Continues the head, which actix-http has not recognised as ended.
    pub(in crate::downstream) fn continue_head(&self) {
        self.framing.borrow_mut().continue_head();
    }

    /// True between the end of a head and the record of how its body is delimited.
    pub(in crate::downstream) fn awaits_delimiter(&self) -> bool {
        self.framing.borrow().awaits_delimiter()
    }

    /// True after the end of the current request.
    pub(in crate::downstream) fn is_after_request(&self) -> bool {
        self.framing.borrow().is_after_request()
    }

    /// True if bytes are held back.
    pub(in crate::downstream) fn has_held_back(&self) -> bool {
        !self.held_back.borrow().is_empty()
    }

    /// How many bytes of the current head were taken; 0 outside a head.
    pub(in crate::downstream) fn head_bytes(&self) -> usize {
        self.framing.borrow().head_bytes()
    }

    /// How many bytes may be read without reading past the request, where that is known.
    pub(in crate::downstream) fn body_bytes_left(&self) -> Option<usize> {
        self.framing.borrow().body_bytes_left()
    }

    /// True if memory is reserved for the current head.
    pub(in crate::downstream) fn has_head_memory(&self) -> bool {
        self.head_memory.borrow().is_some()
    }

    /// Keeps the memory that is reserved for the current head up to its response.
    pub(in crate::downstream) fn set_head_memory(&self, memory: MemoryReservation) {
        self.head_memory.replace(Some(memory));
    }
}
