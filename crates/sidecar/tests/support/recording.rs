//! Parses recordings. `tests/exchanges/README.md` describes the format.

/// Separates steps: the start of each step's first line.
const STEP_SEPARATOR: &str = "\n@ ";

/// A parsed recording.
pub(crate) struct Recording<'a> {
    /// The description of the test, and the options.
    pub first_line: &'a str,
    /// The steps in order.
    pub steps: Vec<Step<'a>>,
}

/// One step of a recording.
#[derive(Clone, Copy)]
pub(crate) struct Step<'a> {
    /// The party that executes the step, such as `C1`.
    pub party: &'a str,
    /// The action or expectation.
    pub verb: &'a str,
    /// The lines that follow the step's first line.
    pub text: &'a str,
}

impl<'a> Recording<'a> {
    /// Parses a recording.
    ///
    /// # Panics
    /// If it has no steps, or a step has no verb.
    pub(crate) fn parse(script: &'a str) -> Self {
        let (first_line, steps) = script
            .split_once(STEP_SEPARATOR)
            .expect("recording has steps");
        Self {
            first_line,
            steps: steps.split(STEP_SEPARATOR).map(Step::parse).collect(),
        }
    }
}

impl<'a> Step<'a> {
    fn parse(step: &'a str) -> Self {
        let (header, text) = step.split_once('\n').unwrap_or((step, ""));
        let (party, verb) = header
            .trim()
            .split_once(' ')
            .expect("step has a party and a verb");
        Self { party, verb, text }
    }
}

/// The role of a party in a recording, given by the first letter of its name.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// `C`: a client.
    Client,
    /// `S`: a server's end of a connection.
    Server,
    /// `D`: discovery's end of a connection.
    Discovery,
    /// `E`: discovery's end of a connection at its second address.
    RelocatedDiscovery,
    /// `P`: the sidecar's process, which has no connection.
    Process,
}

impl Role {
    /// Returns the role of a party.
    ///
    /// # Panics
    /// If the name starts with none of these letters.
    pub(crate) fn of(party: &str) -> Self {
        match party.chars().next() {
            Some('C') => Self::Client,
            Some('S') => Self::Server,
            Some('D') => Self::Discovery,
            Some('E') => Self::RelocatedDiscovery,
            Some('P') => Self::Process,
            _ => panic!("unknown party {party}"),
        }
    }
}
