//! Positions of syntax errors: tinyjson reports them in the part of a document that it parsed, and
//! operators read them in the document.

use tinyjson::{JsonParseError, JsonValue};

use crate::error::JsonError;

/// Longest reason of a syntax error in characters. tinyjson's may repeat a large part of the text.
const MAX_REASON_CHARS: usize = 200;

/// The error of parsing `part`, with its position in `document`. `offset_in_document` maps an offset
/// in `part` to the same place in `document`, both in bytes.
pub(super) fn in_document(
    document: &str,
    part: &str,
    error: &JsonParseError,
    offset_in_document: impl FnOnce(usize) -> usize,
) -> JsonError {
    let offset = offset_of(part, error.line(), error.column());
    syntax_error(document, offset_in_document(offset), &reason_of(error))
}

/// What replaces the elements before an element that is parsed again for its error.
const ELEMENTS_BEFORE: &str = "[0,";

/// The error of the array element `document[start..end]`, which has failed to parse by itself with
/// `error`. Within its array, up to the character after the element, it has the reason that the
/// whole document would give: there, a comma or a bracket is expected after an element.
pub(super) fn element_error(
    document: &str,
    start: usize,
    end: usize,
    error: &JsonParseError,
) -> JsonError {
    let element = &document[start..end];
    let delimiter = document[end..].chars().next();
    let in_array: String = [ELEMENTS_BEFORE, element]
        .into_iter()
        .flat_map(str::chars)
        .chain(delimiter)
        .collect();
    match in_array.parse::<JsonValue>() {
        Err(error) => in_document(document, &in_array, &error, |offset| {
            start + offset.saturating_sub(ELEMENTS_BEFORE.len())
        }),
        Ok(_) => in_document(document, element, error, |offset| start + offset),
    }
}

/// A syntax error at a byte offset of the document.
pub(super) fn syntax_error(document: &str, offset: usize, reason: &str) -> JsonError {
    let before = document.get(..offset).unwrap_or(document);
    let line_start = before.rfind('\n').map_or(0, |line_break| line_break + 1);
    JsonError::Syntax {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count(),
        reason: reason.to_owned(),
    }
}

/// The byte offset after the first `column` characters of a line; lines are counted from 1.
fn offset_of(text: &str, line: usize, column: usize) -> usize {
    let lines_before = text.split_inclusive('\n').take(line.saturating_sub(1));
    let line_start: usize = lines_before.map(str::len).sum();
    let in_line = text[line_start..].chars().take(column);
    line_start + in_line.map(char::len_utf8).sum::<usize>()
}

/// What the error says besides its position.
fn reason_of(error: &JsonParseError) -> String {
    let message = error.to_string();
    let position = format!(
        "Parse error at line:{}, col:{}: ",
        error.line(),
        error.column()
    );
    let reason = message.strip_prefix(&position).unwrap_or(&message);
    reason.chars().take(MAX_REASON_CHARS).collect()
}
