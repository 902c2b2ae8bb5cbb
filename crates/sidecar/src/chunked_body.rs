//! The framing of a chunked body (RFC 9112, section 7.1): where its last byte is.

/// The base of chunk sizes.
const SIZE_RADIX: u32 = 16;

/// The position within a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// In a line with the size of a chunk, and its extensions.
    SizeLine { size: usize, is_size_over: bool },
    /// In the data of a chunk and the CRLF that follows it.
    Data { remaining_bytes: usize },
    /// In the trailer section, which an empty line ends.
    Trailers { is_line_empty: bool },
    /// After the last byte.
    Ended,
}

const SIZE_LINE_START: Position = Position::SizeLine {
    size: 0,
    is_size_over: false,
};
const CRLF_BYTES: usize = 2;

/// The framing of one chunked body. A malformed body is left to the HTTP library, which rejects it.
#[derive(Debug)]
pub(crate) struct ChunkedBody {
    position: Position,
    has_trailers: bool,
}

impl Default for ChunkedBody {
    fn default() -> Self {
        Self {
            position: SIZE_LINE_START,
            has_trailers: false,
        }
    }
}

impl ChunkedBody {
    /// Takes bytes that follow those taken before; returns how many of them belong to the body.
    pub(crate) fn take(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while let Some(rest) = bytes.get(taken..).filter(|rest| !rest.is_empty()) {
            taken += match self.position {
                Position::Data { remaining_bytes } => self.take_data(remaining_bytes, rest.len()),
                Position::Ended => return taken,
                Position::SizeLine { .. } | Position::Trailers { .. } => {
                    self.take_line_byte(rest[0]);
                    1
                }
            };
        }
        taken
    }

    /// True after the last byte.
    pub(crate) fn has_ended(&self) -> bool {
        self.position == Position::Ended
    }

    /// True once a trailer has begun: something other than an empty line follows the last chunk.
    pub(crate) fn has_trailers(&self) -> bool {
        self.has_trailers
    }

    fn take_line_byte(&mut self, byte: u8) {
        self.position = self.position.after_byte(byte);
        self.has_trailers |= self.position
            == Position::Trailers {
                is_line_empty: false,
            };
    }

    fn take_data(&mut self, remaining_bytes: usize, available: usize) -> usize {
        let taken = remaining_bytes.min(available);
        self.position = match remaining_bytes - taken {
            0 => SIZE_LINE_START,
            remaining_bytes => Position::Data { remaining_bytes },
        };
        taken
    }
}

impl Position {
    /// The position after one more byte of a line.
    fn after_byte(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::SizeLine { size: 0, .. }, b'\n') => Self::Trailers {
                is_line_empty: true,
            },
            (Self::SizeLine { size, .. }, b'\n') => Self::Data {
                remaining_bytes: size.saturating_add(CRLF_BYTES),
            },
            (Self::SizeLine { size, is_size_over }, byte) => {
                Self::after_size_byte(size, is_size_over, byte)
            }
            (Self::Trailers { is_line_empty }, b'\n') if is_line_empty => Self::Ended,
            (Self::Trailers { .. }, b'\n') => Self::Trailers {
                is_line_empty: true,
            },
            (trailers @ Self::Trailers { .. }, b'\r') => trailers,
            (Self::Trailers { .. }, _) => Self::Trailers {
                is_line_empty: false,
            },
            (unchanged @ (Self::Data { .. } | Self::Ended), _) => unchanged,
        }
    }

    fn after_size_byte(size: usize, is_size_over: bool, byte: u8) -> Self {
        let digit = char::from(byte)
            .to_digit(SIZE_RADIX)
            .filter(|_| !is_size_over);
        match digit {
            Some(digit) => Self::SizeLine {
                size: size
                    .saturating_mul(SIZE_RADIX as usize)
                    .saturating_add(digit as usize),
                is_size_over: false,
            },
            None => Self::SizeLine {
                size,
                is_size_over: true,
            },
        }
    }
}
