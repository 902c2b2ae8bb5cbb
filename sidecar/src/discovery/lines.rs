//! The framing of a watch.

use bytes::BytesMut;

/// Cuts a watch's bytes into lines, however they were split over chunks.
pub struct Lines {
    held: BytesMut,
    most: usize,
}

impl Lines {
    /// Lines of so many bytes at most.
    pub fn new(most: usize) -> Self {
        Self { held: BytesMut::new(), most }
    }

    pub fn take(&mut self) -> Option<BytesMut> {
        let end = self.held.iter().position(|&b| b == b'\n')?;
        let mut line = self.held.split_to(end + 1);
        line.truncate(end);
        Some(line)
    }

    pub fn add(&mut self, chunk: &[u8]) -> Result<(), String> {
        if self.held.len() + chunk.len() > self.most {
            return Err(format!("a line is longer than {} bytes", self.most));
        }
        self.held.extend_from_slice(chunk);
        Ok(())
    }
}
