//! The skeleton of a JSON text: the text without the elements of its outermost arrays.

use tinyjson::JsonValue;

use super::position;
use crate::error::JsonError;

/// The skeleton of a text, built from its start to its end.
pub(super) struct Skeleton<'t> {
    text: &'t str,
    /// Number of bytes of the text that have been copied or skipped.
    position: usize,
    skeleton: String,
    parts: Vec<CopiedPart>,
}

/// A part of the text that has been copied into the skeleton.
struct CopiedPart {
    start_in_skeleton: usize,
    start_in_text: usize,
}

impl<'t> Skeleton<'t> {
    pub(super) fn new(text: &'t str) -> Self {
        Self {
            text,
            position: 0,
            skeleton: String::new(),
            parts: Vec::new(),
        }
    }

    /// Appends the text up to `end`.
    pub(super) fn copy_until(&mut self, end: usize) {
        self.parts.push(CopiedPart {
            start_in_skeleton: self.skeleton.len(),
            start_in_text: self.position,
        });
        self.skeleton.push_str(&self.text[self.position..end]);
        self.position = end;
    }

    /// Appends the number of an array, as its only element.
    pub(super) fn push_number(&mut self, number: usize) {
        self.skeleton.push_str(&number.to_string());
    }

    /// Leaves out the text up to `end`.
    pub(super) fn skip_until(&mut self, end: usize) {
        self.position = end;
    }

    /// Parses the skeleton.
    ///
    /// # Errors
    /// It is not JSON. The position in the error refers to the text.
    pub(super) fn parse(&self) -> Result<JsonValue, JsonError> {
        self.skeleton.parse().map_err(|error| {
            position::in_document(self.text, &self.skeleton, &error, |offset| {
                self.offset_in_text(offset)
            })
        })
    }

    /// Where the byte before `offset` of the skeleton ends in the text.
    fn offset_in_text(&self, offset: usize) -> usize {
        let part = self
            .parts
            .iter()
            .rev()
            .find(|part| part.start_in_skeleton < offset);
        part.map_or(0, |part| {
            part.start_in_text + offset - part.start_in_skeleton
        })
    }
}
