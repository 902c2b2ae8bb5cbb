//! Tracks how deeply JSON text is nested, one byte at a time.
//!
//! Text that arrives in pieces is examined once: the tracker keeps its state between them. It does
//! not check the syntax; for text that is not JSON, the depth has no meaning beyond a bound on the
//! recursion of a parser.

/// The nesting at one position of a JSON text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NestingTracker {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl NestingTracker {
    /// Advances by the next byte of the text.
    pub fn on_byte(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            b'[' | b'{' if !self.in_string => self.depth += 1,
            b']' | b'}' if !self.in_string => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// Number of brackets and braces that are open at the position.
    pub fn depth(&self) -> usize {
        self.depth
    }

    /// Whether the position is within a string.
    pub(super) fn is_in_string(&self) -> bool {
        self.in_string
    }
}
