//! Parses a JSON text in steps, so that a thread that serves others can do so between them.
//!
//! tinyjson parses a text as a whole. What makes a text long is its arrays, so each element of an
//! outermost array is parsed by itself, as soon as its end has been found. The rest of the text,
//! the skeleton, is parsed last. In it, an array with elements has its number as its only element,
//! and is replaced by the parsed elements then.
//!
//! The result is that of parsing the text as a whole. Positions in errors refer to the text.

mod position;
mod skeleton;

use tinyjson::JsonValue;

use super::nesting::NestingTracker;
use crate::error::JsonError;
use position::syntax_error;
use skeleton::Skeleton;

/// Number of bytes that a step examines. An element that is longer is parsed in one step.
const STEP_BYTES: usize = 16 * 1024;

/// A JSON text that is being parsed.
pub struct StepwiseParser<'t> {
    text: &'t str,
    /// Number of bytes that have been examined.
    position: usize,
    nesting: NestingTracker,
    max_depth: usize,
    skeleton: Skeleton<'t>,
    /// The outermost array that contains the position.
    open_array: Option<OpenArray>,
    /// The elements of the arrays in the skeleton, by their number.
    arrays: Vec<Vec<JsonValue>>,
}

/// An outermost array whose end has not been found yet.
struct OpenArray {
    /// Nesting depth of its elements.
    depth: usize,
    /// Where the next element starts in the text.
    element_start: usize,
    elements: Vec<JsonValue>,
}

impl<'t> StepwiseParser<'t> {
    /// Starts to parse a text whose nesting depth is at most `max_depth`. tinyjson recurses once
    /// for each level, so a deeper text from the network could overflow the stack.
    pub fn new(text: &'t str, max_depth: usize) -> Self {
        Self {
            text,
            position: 0,
            nesting: NestingTracker::default(),
            max_depth,
            skeleton: Skeleton::new(text),
            open_array: None,
            arrays: Vec::new(),
        }
    }

    /// Examines the next 16 KiB of the text. Returns the parsed text after the last step, and `None`
    /// before; must not be called after the last step.
    ///
    /// # Errors
    /// The text is nested deeper than allowed, or is not JSON.
    pub fn step(&mut self) -> Result<Option<JsonValue>, JsonError> {
        let step_end = self.text.len().min(self.position + STEP_BYTES);
        while self.position < step_end {
            self.examine_byte()?;
        }
        if self.position < self.text.len() {
            return Ok(None);
        }
        self.finish().map(Some)
    }

    fn examine_byte(&mut self) -> Result<(), JsonError> {
        let byte = self.text.as_bytes()[self.position];
        let depth_before = self.nesting.depth();
        self.nesting.on_byte(byte);
        self.position += 1;
        let depth = self.nesting.depth();
        if depth > self.max_depth {
            let max_depth = self.max_depth;
            return Err(JsonError::TooDeep { max_depth });
        }
        match &self.open_array {
            None if byte == b'[' && depth > depth_before => self.on_array_opened(depth),
            None => {}
            Some(array) if depth < array.depth => self.on_array_closed()?,
            Some(array) if depth == array.depth && byte == b',' => self.on_comma()?,
            Some(_) => {}
        }
        Ok(())
    }

    fn on_array_opened(&mut self, depth: usize) {
        self.skeleton.copy_until(self.position);
        self.open_array = Some(OpenArray {
            depth,
            element_start: self.position,
            elements: Vec::new(),
        });
    }

    /// Parses the element before a comma, unless the comma is within a string.
    fn on_comma(&mut self) -> Result<(), JsonError> {
        if self.nesting.is_in_string() {
            return Ok(());
        }
        if let Some(array) = &mut self.open_array {
            let element = parse_element(self.text, array.element_start, self.position - 1)?;
            array.elements.push(element);
            array.element_start = self.position;
        }
        Ok(())
    }

    fn on_array_closed(&mut self) -> Result<(), JsonError> {
        let Some(mut array) = self.open_array.take() else {
            return Ok(());
        };
        let element_end = self.position - 1;
        let last_element = &self.text[array.element_start..element_end];
        if !array.elements.is_empty() || !is_white_space(last_element) {
            let element = parse_element(self.text, array.element_start, element_end)?;
            array.elements.push(element);
            self.skeleton.push_number(self.arrays.len());
            self.arrays.push(array.elements);
        }
        self.skeleton.skip_until(element_end);
        Ok(())
    }

    /// Parses the skeleton and puts the elements of its arrays in their places.
    fn finish(&mut self) -> Result<JsonValue, JsonError> {
        if let Some(array) = self.open_array.take() {
            let text_end = self.text.len();
            parse_element(self.text, array.element_start, text_end)?;
            return Err(syntax_error(self.text, text_end, "Unexpected EOF"));
        }
        self.skeleton.copy_until(self.text.len());
        let skeleton = self.skeleton.parse()?;
        Ok(restore_arrays(skeleton, &mut self.arrays))
    }
}

/// Parses the element `text[start..end]`.
fn parse_element(text: &str, start: usize, end: usize) -> Result<JsonValue, JsonError> {
    let element = &text[start..end];
    element
        .parse()
        .map_err(|error| position::element_error(text, start, end, &error))
}

/// Whether a text consists of the white space that JSON allows.
fn is_white_space(text: &str) -> bool {
    text.bytes()
        .all(|byte| matches!(byte, b' ' | b'\n' | b'\r' | b'\t'))
}

fn restore_arrays(value: JsonValue, arrays: &mut [Vec<JsonValue>]) -> JsonValue {
    match value {
        JsonValue::Object(members) => {
            let restored = members
                .into_iter()
                .map(|(key, member)| (key, restore_arrays(member, arrays)));
            JsonValue::Object(restored.collect())
        }
        JsonValue::Array(number) => JsonValue::Array(take_elements(&number, arrays)),
        other => other,
    }
}

/// The elements of the array with this number; none for an empty array, which has no number.
fn take_elements(number: &[JsonValue], arrays: &mut [Vec<JsonValue>]) -> Vec<JsonValue> {
    let Some(JsonValue::Number(number)) = number.first() else {
        return Vec::new();
    };
    let elements = arrays.get_mut(*number as usize);
    elements.map(std::mem::take).unwrap_or_default()
}

#[cfg(test)]
mod tests;
