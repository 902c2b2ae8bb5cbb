//! The framing of a watch: one object a line, or indented over several.

use bytes::BytesMut;

use crate::json;

/// Cuts a watch's bytes into objects and empty lines, however they were split over chunks.
pub struct LineDecoder {
    held: BytesMut,
    /// The lines of an object that is not closed yet.
    open: Vec<u8>,
    most: usize,
    depth_most: usize,
}

impl LineDecoder {
    /// Objects of so many bytes and so deep at most.
    pub fn new(most: usize, depth_most: usize) -> Self {
        Self {
            held: BytesMut::new(),
            open: Vec::new(),
            most,
            depth_most,
        }
    }

    /// The next object, readable or not, or an empty line.
    pub fn take(&mut self) -> Option<Vec<u8>> {
        loop {
            let end = self.held.iter().position(|&b| b == b'\n')?;
            let blank = self.held[..end].trim_ascii().is_empty();
            // Guards against half an object that takes in all that follows it: what is indented goes on, the next
            // object and an empty line do not.
            if !self.open.is_empty() && (blank || self.held[0] == b'{') {
                return Some(std::mem::take(&mut self.open));
            }
            let line = self.held.split_to(end + 1);
            self.open.extend_from_slice(&line);
            let depth = json::depth(&self.open);
            // What is nested too deep cannot be read, whatever follows.
            if depth == 0 || depth > self.depth_most {
                return Some(std::mem::take(&mut self.open));
            }
        }
    }

    pub fn add(&mut self, chunk: &[u8]) -> Result<(), String> {
        if self.held.len() + self.open.len() + chunk.len() > self.most {
            return Err(format!("an object is longer than {} bytes", self.most));
        }
        self.held.extend_from_slice(chunk);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
