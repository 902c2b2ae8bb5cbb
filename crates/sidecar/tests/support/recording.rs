//! A recording as it is written. `tests/exchanges/README.md` describes the language.

/// What begins a step's first line.
const STEP_MARK: &str = "\n@ ";

/// A recording, taken apart.
pub(crate) struct Recording<'a> {
    /// What it shows, and its options.
    pub first_line: &'a str,
    /// Its steps in their order.
    pub steps: Vec<Step<'a>>,
}

/// One step of a recording.
#[derive(Clone, Copy)]
pub(crate) struct Step<'a> {
    /// Who does it or expects it, such as `C1`.
    pub party: &'a str,
    /// What is done or expected.
    pub verb: &'a str,
    /// The lines below the step's first one.
    pub text: &'a str,
}

impl<'a> Recording<'a> {
    /// Takes a recording apart.
    ///
    /// # Panics
    /// If it has no steps, or a step has no verb.
    pub(crate) fn parse(script: &'a str) -> Self {
        let (first_line, steps) = script.split_once(STEP_MARK).expect("steps");
        Self {
            first_line,
            steps: steps.split(STEP_MARK).map(Step::parse).collect(),
        }
    }
}

impl<'a> Step<'a> {
    fn parse(step: &'a str) -> Self {
        let (words, text) = step.split_once('\n').unwrap_or((step, ""));
        let (party, verb) = words.trim().split_once(' ').expect("a party and a verb");
        Self { party, verb, text }
    }
}

/// What a party of a recording is, by the letter that its name begins with.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// `C`: a client.
    Client,
    /// `S`: a server's end of a connection.
    Server,
    /// `D`: discovery's end of a connection.
    Discovery,
    /// `E`: the same, at discovery's second address.
    RelocatedDiscovery,
    /// `P`: the sidecar's process, which has no connection.
    Process,
}

impl Role {
    /// The role of a party.
    ///
    /// # Panics
    /// If the name begins with none of the letters.
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
