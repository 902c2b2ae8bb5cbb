//! Framing of a watch's response body: each JSON object is on one line, or indented over several.
//!
//! The decoder only splits the bytes into objects; it does not check their content.

use bytes::BytesMut;

use arrowstand_platform::json::nesting_depth_at_end;

/// Splits the bytes of a watch into objects and empty lines, independently of chunk boundaries.
pub(super) struct ObjectDecoder {
    /// Bytes that have not been decoded yet.
    undecoded: BytesMut,
    /// Lines of an object that has not been closed yet.
    partial_object: Vec<u8>,
    max_object_bytes: usize,
    max_json_depth: usize,
}

/// An object exceeds the size limit of the decoder.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("object exceeds the limit of {max_object_bytes} bytes")]
pub(super) struct ObjectTooLong {
    max_object_bytes: usize,
}

impl ObjectDecoder {
    /// Creates a decoder with limits on the size and the nesting depth of an object.
    pub(super) fn new(max_object_bytes: usize, max_json_depth: usize) -> Self {
        Self {
            undecoded: BytesMut::new(),
            partial_object: Vec::new(),
            max_object_bytes,
            max_json_depth,
        }
    }

    /// Returns the next object, valid or not, or an empty line; `None` if more bytes are needed.
    pub(super) fn next_object(&mut self) -> Option<Vec<u8>> {
        loop {
            let line_end = self.undecoded.iter().position(|&byte| byte == b'\n')?;
            if self.is_partial_object_truncated_at(line_end) {
                return Some(std::mem::take(&mut self.partial_object));
            }
            let line = self.undecoded.split_to(line_end + 1);
            self.partial_object.extend_from_slice(&line);
            let depth = nesting_depth_at_end(&self.partial_object);
            // An object that is nested too deeply is invalid, whatever follows.
            if depth == 0 || depth > self.max_json_depth {
                return Some(std::mem::take(&mut self.partial_object));
            }
        }
    }

    /// Appends a chunk to the input.
    ///
    /// # Errors
    /// If the bytes not yet returned as objects would exceed the limit on the size of an object.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Result<(), ObjectTooLong> {
        if self.undecoded.len() + self.partial_object.len() + chunk.len() > self.max_object_bytes {
            return Err(ObjectTooLong {
                max_object_bytes: self.max_object_bytes,
            });
        }
        self.undecoded.extend_from_slice(chunk);
        Ok(())
    }

    /// True if the partial object ends before the next line without having been closed. An indented
    /// line continues the object; the start of another object or an empty line does not. Without
    /// this check, a truncated object would absorb all objects after it.
    fn is_partial_object_truncated_at(&self, line_end: usize) -> bool {
        let is_blank = self.undecoded[..line_end].trim_ascii().is_empty();
        !self.partial_object.is_empty() && (is_blank || self.undecoded[0] == b'{')
    }
}

#[cfg(test)]
mod tests;
