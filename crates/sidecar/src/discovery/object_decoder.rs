//! The framing of a watch: one JSON object a line, or one indented over several lines.
//!
//! Cuts bytes into objects; whether an object is an endpoint list is not checked here.

use bytes::BytesMut;

use arrowstand_platform::json::nesting_depth_at_end;

/// Cuts a watch's bytes into objects and empty lines, however they were split over chunks.
pub(super) struct ObjectDecoder {
    /// Bytes that are not decoded yet.
    undecoded: BytesMut,
    /// The lines of an object that is not closed yet.
    partial_object: Vec<u8>,
    max_object_bytes: usize,
    max_json_depth: usize,
}

/// An object exceeds the decoder's bound.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("object exceeds the limit of {max_object_bytes} bytes")]
pub(super) struct ObjectTooLong {
    max_object_bytes: usize,
}

impl ObjectDecoder {
    /// A decoder of objects of so many bytes and so many levels of JSON at most.
    pub(super) fn new(max_object_bytes: usize, max_json_depth: usize) -> Self {
        Self {
            undecoded: BytesMut::new(),
            partial_object: Vec::new(),
            max_object_bytes,
            max_json_depth,
        }
    }

    /// The next object, readable or not, or an empty line; nothing until more bytes are pushed.
    pub(super) fn next_object(&mut self) -> Option<Vec<u8>> {
        loop {
            let line_end = self.undecoded.iter().position(|&byte| byte == b'\n')?;
            if self.is_partial_object_truncated_at(line_end) {
                return Some(std::mem::take(&mut self.partial_object));
            }
            let line = self.undecoded.split_to(line_end + 1);
            self.partial_object.extend_from_slice(&line);
            let depth = nesting_depth_at_end(&self.partial_object);
            // What is nested too deep cannot be read, whatever follows.
            if depth == 0 || depth > self.max_json_depth {
                return Some(std::mem::take(&mut self.partial_object));
            }
        }
    }

    /// Adds a chunk.
    ///
    /// # Errors
    /// If what is not returned yet would exceed the bound on an object.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Result<(), ObjectTooLong> {
        if self.undecoded.len() + self.partial_object.len() + chunk.len() > self.max_object_bytes {
            return Err(ObjectTooLong {
                max_object_bytes: self.max_object_bytes,
            });
        }
        self.undecoded.extend_from_slice(chunk);
        Ok(())
    }

    /// True where the open object ends without having been closed: an indented line continues it,
    /// the start of the next object and an empty line do not. Otherwise half an object would take
    /// in all that follows it.
    fn is_partial_object_truncated_at(&self, line_end: usize) -> bool {
        let is_blank = self.undecoded[..line_end].trim_ascii().is_empty();
        !self.partial_object.is_empty() && (is_blank || self.undecoded[0] == b'{')
    }
}

#[cfg(test)]
mod tests;
