//! Framing of a watch's response body: each JSON object is on one line, or indented over several.
//!
//! The decoder only splits the bytes into objects; it does not check their content. Each byte is
//! examined once, in the order of arrival; a blank line that cuts an object off is examined once
//! more. The work is linear in the bytes received, whatever their pieces and line breaks.

use bytes::{Bytes, BytesMut};

use arrowstand_platform::json::NestingTracker;

use crate::limits::ObjectLimits;

/// Once an object of this size has been returned, the memory that it occupied is not used again.
const LARGE_OBJECT_BYTES: usize = 64 * 1024;

/// Splits the bytes of a watch into objects and empty lines, independently of chunk boundaries.
pub(super) struct ObjectDecoder {
    /// The examined part of an object, followed by the bytes that have not been examined yet.
    buffer: BytesMut,
    /// Number of bytes of `buffer` that have been examined.
    position: usize,
    line: Line,
    /// Nesting of the object at `position`.
    nesting: NestingTracker,
    /// Number of values of the object up to `position`, or a few more.
    value_count: usize,
    limits: ObjectLimits,
    examined_bytes: u64,
}

/// The line that contains the decoder's position.
struct Line {
    /// Where the line starts in the buffer; 0 for the first line of an object.
    start: usize,
    /// The examined part of the line is white space.
    is_blank: bool,
}

impl Line {
    fn starting_at(start: usize) -> Self {
        Self {
            start,
            is_blank: true,
        }
    }
}

/// An object exceeds a limit of the decoder.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum ObjectTooLarge {
    #[error("object exceeds the limit of {0} bytes")]
    Bytes(usize),
    #[error("object exceeds the limit of {0} values")]
    Values(usize),
}

impl ObjectDecoder {
    /// Creates a decoder with limits on an object.
    pub(super) fn new(limits: ObjectLimits) -> Self {
        Self {
            buffer: BytesMut::new(),
            position: 0,
            line: Line::starting_at(0),
            nesting: NestingTracker::default(),
            value_count: 0,
            limits,
            examined_bytes: 0,
        }
    }

    /// Returns the number of bytes that have been examined since the last call.
    pub(super) fn take_examined_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.examined_bytes)
    }

    /// Returns the next object, valid or not, or an empty line; `None` if more bytes are needed.
    ///
    /// # Errors
    /// If the object exceeds the limit on its values.
    pub(super) fn next_object(&mut self) -> Result<Option<Bytes>, ObjectTooLarge> {
        while let Some(&byte) = self.buffer.get(self.position) {
            if self.starts_another_object(byte) {
                return Ok(Some(self.take_object(self.line.start)));
            }
            self.examine(byte);
            if self.value_count > self.limits.max_values {
                return Err(ObjectTooLarge::Values(self.limits.max_values));
            }
            if byte == b'\n'
                && let Some(object_end) = self.on_line_end()
            {
                return Ok(Some(self.take_object(object_end)));
            }
        }
        Ok(None)
    }

    /// Appends a chunk to the input.
    ///
    /// # Errors
    /// If the bytes not yet returned as objects would exceed the limit on the size of an object.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Result<(), ObjectTooLarge> {
        if self.buffer.len() + chunk.len() > self.limits.max_bytes {
            return Err(ObjectTooLarge::Bytes(self.limits.max_bytes));
        }
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// True if this byte is the first one of a line and starts another object: the object before it
    /// was truncated. An indented line continues the object. Without this check, a truncated object
    /// would absorb all objects after it.
    fn starts_another_object(&self, byte: u8) -> bool {
        byte == b'{' && self.line.start > 0 && self.position == self.line.start
    }

    fn examine(&mut self, byte: u8) {
        self.position += 1;
        self.examined_bytes += 1;
        self.nesting.on_byte(byte);
        self.value_count += usize::from(starts_value(byte));
        self.line.is_blank &= byte.is_ascii_whitespace();
    }

    /// Returns where the object in the buffer ends, if it ends before or with the line that has
    /// just been examined. Like the start of another object, an empty line ends a truncated one.
    fn on_line_end(&mut self) -> Option<usize> {
        if self.line.is_blank && self.line.start > 0 {
            return Some(self.line.start);
        }
        let depth = self.nesting.depth();
        // An object that is nested too deeply is invalid, whatever follows.
        if depth == 0 || depth > self.limits.max_depth {
            return Some(self.position);
        }
        self.line = Line::starting_at(self.position);
        None
    }

    fn take_object(&mut self, end: usize) -> Bytes {
        let object = self.buffer.split_to(end).freeze();
        if end >= LARGE_OBJECT_BYTES {
            self.buffer = BytesMut::from(self.buffer.as_ref());
        }
        self.position = 0;
        self.value_count = 0;
        self.line = Line::starting_at(0);
        self.nesting = NestingTracker::default();
        object
    }
}

/// True if a value begins with or behind this byte. Such a byte in a string counts too: a string has
/// room for it.
fn starts_value(byte: u8) -> bool {
    matches!(byte, b',' | b'[' | b'{')
}

#[cfg(test)]
mod tests;
