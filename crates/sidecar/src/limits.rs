//! Every size, count and time that the network code keeps to, filled once at start.

use std::time::Duration;

use arrowstand_balancer::Micros;
use arrowstand_control::freshness::Terms;

/// Filled by [`Limits::derive`] from the configuration and handed down from there.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Terminal connections that are served; further ones get a short-on-capacity reply.
    pub terminals: usize,
    /// Terminal connections that are accepted at all: those above the first bound only to be turned away.
    pub terminals_most: usize,
    /// Connections to job servers, busy and idle.
    pub upstream: usize,
    /// Bytes of a request's or an answer's body.
    pub body: usize,
    /// Bytes of an answer's head.
    pub answer_head: usize,
    /// Interim (1xx) answers ahead of the final one.
    pub interim_answers: usize,
    /// Bytes of an answer whose length is not told ahead, its framing included.
    pub answer_open: usize,
    /// Bytes of one line from discovery.
    pub list_line: usize,
    /// Nesting of JSON that is read; guards the stack.
    pub json_depth: usize,
    /// Characters of a request id or an idempotency key.
    pub token: usize,
    /// Characters of a request's path and query.
    pub target: usize,
    /// Steps of one transaction that may wait to be carried out.
    pub steps: usize,
    /// A connection to a job server must be up within this.
    pub connect: Duration,
    /// An idle connection to a job server is used again within this, counted from the end of its rest.
    pub idle_reuse: Duration,
    /// After an answer a connection is left alone for this long: a second answer may come some milliseconds late.
    pub rest: Duration,
    /// A probe must be answered within this.
    pub probe: Duration,
    /// Nothing new starts to a job server this long after its drain was told.
    pub drain: Duration,
    /// A job server that has been gone for this long is forgotten: longer than any routed task to it runs.
    pub forget: Duration,
    /// An answer is sent this long before its terminal gives up, whatever happens.
    pub answer_margin: Duration,
    /// The longest time left that is believed.
    pub patience: Duration,
    /// Pause advised to a client where the module names none.
    pub retry_after: Duration,
    /// The head of discovery's answer must come within this. Guards against a drain that is learnt too late to
    /// be kept: from the last word of a watch that dies to the end of the call that replaces it, no more passes
    /// than the time after which news counts as told and the grace of a drain.
    pub list_call: Duration,
    /// A watch that is silent for this long is lost.
    pub list_silence: Duration,
    /// A terminal connection without an open transaction is kept for this long.
    pub terminal_idle: Duration,
    /// From a request's first byte to its last a terminal may take this long, and at its first request that
    /// long: with the idle time, it is closed within 3 s of connecting.
    pub terminal_read: Duration,
    pub terminal_first: Duration,
    /// Bytes from a client that are given to the protocol at a time, and so many more of a body that is announced.
    pub portion: usize,
    pub portion_body: usize,
    /// Bytes that come from a client behind its open request and are still read: enough to tell that it does not wait.
    pub behind: usize,
    /// More bytes than any request has, head and body: a client that sends so many at once does not wait either.
    pub at_once: usize,
    /// What a client sends after its last answer is read and thrown away for this long, and up to so many bytes.
    pub linger: Duration,
    pub linger_bytes: usize,
    /// A keyed request's repeat is begun this long before its window ends, so that it is there when it does.
    pub window_margin: Duration,
    /// A list that is late is asked for again after about this long, until it is there.
    pub list_retry: Duration,
    /// When what the list does not show counts as told; half of the grace is left for what is on its way.
    pub list: Terms,
    /// After SIGTERM, connections are accepted for this long: new ones come for 0.4 s (the protocol page).
    pub stop_accepting: Duration,
    /// After SIGTERM, what is still open is answered at once after this long.
    pub stop_answer: Duration,
    /// After SIGTERM, the longest time until the program ends.
    pub stop_most: Duration,
}

/// Whatever discovery has to tell counts as told after this long, whether it came or not (the protocol page).
const LIST_TOLD: Duration = Duration::from_secs(6);
/// After a new configuration it counts this much later.
const LIST_MOVED: Duration = Duration::from_secs(4);
/// One and a half of the heartbeat's 2 s: a watch that says less is lost.
const LIST_SILENCE: Duration = Duration::from_secs(3);
/// The module's longest first pause before it asks again (one and a half of its `REASK`), and what a busy
/// machine adds to it.
const LIST_PAUSE: Duration = Duration::from_millis(500);

/// Second answers came 1.3 to 5.9 ms after the first where they were measured (docs/crossings.md); the page says some
/// milliseconds.
const REST: Duration = Duration::from_millis(8);
/// SIGKILL comes no earlier than the longest deadline, taken as this where it is longer, and 0.7 s after SIGTERM (the
/// protocol page).
const STOP_DEADLINE: Duration = Duration::from_secs(3);

/// The parts of the configuration that limits follow from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Basis {
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that it may use, in MiB.
    pub memory_mb: usize,
    /// `permissions.connect-timeout-ms`.
    pub connect: Duration,
    /// `permissions.idle-close-ms`.
    pub idle_close: Duration,
    /// `safety.drain-grace-ms`.
    pub drain_grace: Duration,
    /// `permissions.max-retry-after-ms`.
    pub retry_after: Duration,
    /// `permissions.max-attempts`.
    pub attempts: usize,
    /// The longest deadline of a class.
    pub deadline: Duration,
    /// `step-ms`.
    pub step: Duration,
    /// `safety.ask-every-ms`.
    pub ask_every: Duration,
    /// `membership-mode` is `pushed`: what discovery has counts as told, whether or not a watch is open.
    pub pushed: bool,
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

impl Limits {
    /// Guards against the operator's limits: well under a full table of descriptors, and a memory limit
    /// that holds a whole body for each terminal and each connection to a job server.
    pub fn derive(basis: &Basis) -> Self {
        let body = 64 * 1024;
        let by_memory = (basis.memory_mb * 1024 * 1024 / 2 / (3 * body)).max(8);
        let longest = basis.deadline.min(STOP_DEADLINE);
        let terminals = (basis.sockets * 3 / 8).min(by_memory).max(4);
        Self {
            terminals,
            terminals_most: terminals + basis.sockets / 8,
            upstream: (basis.sockets * 7 / 16).max(8),
            body,
            answer_head: 16 * 1024,
            interim_answers: 8,
            answer_open: 2 * body,
            list_line: 512 * 1024,
            json_depth: 32,
            token: 256,
            target: 8 * 1024,
            steps: 2 * basis.attempts + 4,
            connect: basis.connect,
            idle_reuse: (basis.idle_close * 3 / 4)
                .saturating_sub(REST)
                .max(Duration::from_millis(1)),
            rest: REST,
            probe: basis.connect * 5 / 4,
            drain: basis.drain_grace / 2,
            forget: basis.deadline.max(basis.drain_grace) + Duration::from_secs(5),
            answer_margin: basis.step,
            patience: Duration::from_secs(600),
            retry_after: basis.retry_after,
            list_call: (LIST_TOLD + basis.drain_grace)
                .saturating_sub(LIST_SILENCE + LIST_PAUSE)
                .max(LIST_SILENCE),
            list_silence: LIST_SILENCE,
            terminal_idle: Duration::from_millis(2_050),
            terminal_read: Duration::from_secs(2),
            terminal_first: Duration::from_millis(800),
            portion: 1024,
            portion_body: 7 * 1024,
            behind: 1024,
            at_once: body + 32 * 1024,
            linger: Duration::from_secs(1),
            linger_bytes: 4 * body,
            window_margin: Duration::from_millis(50),
            list_retry: (basis.drain_grace / 4)
                .clamp(Duration::from_millis(50), Duration::from_millis(300)),
            list: Terms {
                pushed: basis.pushed,
                ask_every: micros(basis.ask_every),
                silent: micros(LIST_TOLD),
                moved: micros(LIST_MOVED),
                slack: micros(basis.drain_grace / 2),
            },
            stop_accepting: Duration::from_millis(500),
            stop_answer: longest + Duration::from_millis(550),
            stop_most: longest + Duration::from_millis(650),
        }
    }
}

#[cfg(test)]
mod tests;
