//! Pages of documentation and their references: links, and names in code.

use std::collections::BTreeSet;
use std::ops::Range;

use pulldown_cmark::{Event, Options, Parser, Tag, TagEnd};

/// A link target or a word in code, with its position.
#[derive(Debug)]
pub(crate) struct Reference {
    /// Line number in the page, from 1.
    pub(crate) line: usize,
    /// Text as in the page, without backticks.
    pub(crate) text: String,
    /// Whether it is part of a table.
    pub(crate) is_in_table: bool,
}

/// A parsed Markdown file.
#[derive(Debug, Default)]
pub(crate) struct Page {
    /// Path relative to the root of the repository.
    pub(crate) path: String,
    pub(crate) lines: Vec<String>,
    /// Targets of links and images.
    pub(crate) links: Vec<Reference>,
    /// Text of code spans.
    pub(crate) code_spans: Vec<Reference>,
    /// Words of code blocks, without surrounding punctuation.
    pub(crate) code_block_words: Vec<Reference>,
    /// Line numbers of code blocks, from 1.
    pub(crate) code_block_lines: BTreeSet<usize>,
    /// Anchors of the headings, as GitHub generates them.
    pub(crate) anchors: BTreeSet<String>,
}

impl Page {
    pub(crate) fn parse(path: &str, text: &str) -> Self {
        let mut parser = PageParser::new(path, text);
        for (event, range) in Parser::new_ext(text, Options::ENABLE_TABLES).into_offset_iter() {
            parser.handle_event(event, &range);
        }
        parser.page
    }

    /// Code spans, followed by words of code blocks.
    pub(crate) fn code_references(&self) -> impl Iterator<Item = &Reference> {
        self.code_spans.iter().chain(&self.code_block_words)
    }
}

/// Collects a page's references from the parser's events.
struct PageParser<'a> {
    text: &'a str,
    page: Page,
    heading: Option<String>,
    is_in_table: bool,
    is_in_code_block: bool,
}

impl<'a> PageParser<'a> {
    fn new(path: &str, text: &'a str) -> Self {
        let page = Page {
            path: path.to_owned(),
            lines: text.lines().map(str::to_owned).collect(),
            ..Page::default()
        };
        Self {
            text,
            page,
            heading: None,
            is_in_table: false,
            is_in_code_block: false,
        }
    }

    fn handle_event(&mut self, event: Event<'_>, range: &Range<usize>) {
        match event {
            Event::Start(tag) => self.start_tag(&tag, range),
            Event::End(tag) => self.end_tag(tag),
            Event::Code(code) => {
                self.append_to_heading(&code);
                let reference = self.reference(range.start, &code);
                self.page.code_spans.push(reference);
            }
            Event::Text(text) if self.is_in_code_block => self.read_code_block(&text, range.start),
            Event::Text(text) => self.append_to_heading(&text),
            _ => {}
        }
    }

    fn start_tag(&mut self, tag: &Tag<'_>, range: &Range<usize>) {
        match tag {
            Tag::Heading { .. } => self.heading = Some(String::new()),
            Tag::Table(_) => self.is_in_table = true,
            Tag::CodeBlock(_) => {
                self.is_in_code_block = true;
                let last = range.end.saturating_sub(1).max(range.start);
                let lines = self.line_number_at(range.start)..=self.line_number_at(last);
                self.page.code_block_lines.extend(lines);
            }
            Tag::Link { dest_url, .. } | Tag::Image { dest_url, .. } => {
                let reference = self.reference(range.start, dest_url);
                self.page.links.push(reference);
            }
            _ => {}
        }
    }

    fn end_tag(&mut self, tag: TagEnd) {
        match tag {
            TagEnd::Heading(_) => self.end_heading(),
            TagEnd::Table => self.is_in_table = false,
            TagEnd::CodeBlock => self.is_in_code_block = false,
            _ => {}
        }
    }

    /// Adds the anchor of a heading; that of a repeated heading gets a numeric suffix.
    fn end_heading(&mut self) {
        let anchor = anchor_of(&self.heading.take().unwrap_or_default());
        let numbered = (1..).map(|number| format!("{anchor}-{number}"));
        let unused = std::iter::once(anchor.clone())
            .chain(numbered)
            .find(|candidate| !self.page.anchors.contains(candidate));
        self.page.anchors.extend(unused);
    }

    fn append_to_heading(&mut self, text: &str) {
        if let Some(heading) = &mut self.heading {
            heading.push_str(text);
        }
    }

    fn read_code_block(&mut self, text: &str, start: usize) {
        let first_line = self.line_number_at(start);
        for (index, line) in text.lines().enumerate() {
            for word in line.split(|c: char| c.is_whitespace() || "(),;".contains(c)) {
                self.page.code_block_words.push(Reference {
                    line: first_line + index,
                    text: word.trim_end_matches([':', '.']).to_owned(),
                    is_in_table: false,
                });
            }
        }
    }

    fn reference(&self, start: usize, text: &str) -> Reference {
        Reference {
            line: self.line_number_at(start),
            text: text.to_owned(),
            is_in_table: self.is_in_table,
        }
    }

    fn line_number_at(&self, offset: usize) -> usize {
        self.text[..offset].matches('\n').count() + 1
    }
}

/// Returns the anchor that GitHub generates for a heading, without a numeric suffix.
fn anchor_of(heading: &str) -> String {
    heading
        .to_lowercase()
        .chars()
        .filter(|c| c.is_alphanumeric() || " -_".contains(*c))
        .map(|c| if c == ' ' { '-' } else { c })
        .collect()
}
