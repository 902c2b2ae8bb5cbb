//! Reads endpoint lists in steps, so that a thread that serves others can do so between them.

use std::vec;

use tinyjson::JsonValue;

use super::{EndpointList, ListKind, ListedEndpoint};
use crate::error::{KeyError, KeyProblem, ReadError};
use crate::json::{Node, StepwiseParser};
use crate::keys::endpoint_list;
use crate::number::truncate_to_u64;

/// Number of entries that a step reads.
const ENTRIES_PER_STEP: usize = 128;

/// Reads the entries of a parsed list.
pub struct EndpointListReader {
    /// The list with the entries that have been read.
    list: EndpointList,
    /// Path of the array of entries.
    path: String,
    unread: vec::IntoIter<JsonValue>,
    /// Index of the first unread entry.
    next_index: usize,
}

impl EndpointListReader {
    /// Reads all but the entries. `path` is that of the list in its document; empty for the root.
    ///
    /// # Errors
    /// The revision is missing, or a value outside the entries has the wrong type.
    pub fn new(mut value: JsonValue, path: &str) -> Result<Self, KeyError> {
        let node = Node::with_path(path.to_owned(), &value);
        let list = EndpointList {
            revision: truncate_to_u64(node.at(endpoint_list::REVISION).number()?),
            kind: read_list_kind(&node.at(endpoint_list::IS_FULL))?,
            ..EndpointList::default()
        };
        let entries = node.at(endpoint_list::ENDPOINTS);
        let path = entries.path().to_owned();
        let not_an_array = entries.error(KeyProblem::NotAnArray);
        let unread = take_entries(&mut value).ok_or(not_an_array)?;
        Ok(Self {
            list,
            path,
            unread: unread.into_iter(),
            next_index: 0,
        })
    }

    /// Reads the next entries. Returns the list after the last step, and `None` before.
    pub fn step(&mut self) -> Option<EndpointList> {
        for entry in self.unread.by_ref().take(ENTRIES_PER_STEP) {
            let path = format!("{}[{}]", self.path, self.next_index);
            self.next_index += 1;
            match ListedEndpoint::read(&Node::with_path(path, &entry)) {
                Ok(endpoint) => self.list.endpoints.push(endpoint),
                Err(error) => self.list.skipped.push(error),
            }
        }
        let is_read = self.unread.len() == 0;
        is_read.then(|| std::mem::take(&mut self.list))
    }
}

/// Parses and reads the text of a list.
pub struct EndpointListParser<'t>(Phase<'t>);

enum Phase<'t> {
    Parsing(StepwiseParser<'t>),
    Reading(EndpointListReader),
}

impl<'t> EndpointListParser<'t> {
    /// Starts to parse a list whose nesting depth is at most `max_depth`.
    pub fn new(text: &'t str, max_depth: usize) -> Self {
        Self(Phase::Parsing(StepwiseParser::new(text, max_depth)))
    }

    /// Does the next part of the work. Returns the list after the last step, and `None` before. A
    /// short list takes one step.
    ///
    /// # Errors
    /// The text is not JSON, or is nested deeper than allowed, or [`EndpointListReader::new`] fails.
    pub fn step(&mut self) -> Result<Option<EndpointList>, ReadError> {
        if let Phase::Parsing(parser) = &mut self.0 {
            let Some(value) = parser.step()? else {
                return Ok(None);
            };
            self.0 = Phase::Reading(EndpointListReader::new(value, "")?);
        }
        match &mut self.0 {
            Phase::Parsing(_) => Ok(None),
            Phase::Reading(reader) => Ok(reader.step()),
        }
    }
}

fn read_list_kind(is_full: &Node) -> Result<ListKind, KeyError> {
    Ok(match is_full.optional_boolean()? {
        Some(true) => ListKind::Full,
        Some(false) | None => ListKind::Delta,
    })
}

/// Takes the array of entries out of a list; empty if there is none, `None` if it is no array.
fn take_entries(list: &mut JsonValue) -> Option<Vec<JsonValue>> {
    let JsonValue::Object(members) = list else {
        return Some(Vec::new());
    };
    match members.remove(endpoint_list::ENDPOINTS) {
        Some(JsonValue::Array(entries)) => Some(entries),
        Some(JsonValue::Null) | None => Some(Vec::new()),
        Some(_) => None,
    }
}
