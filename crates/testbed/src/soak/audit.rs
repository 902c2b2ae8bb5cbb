//! Evaluates the record of a run by the platform's rules.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use super::plan::Plan;
use super::process::Usage;
use super::record::{ConnectionUse, EndedRequest, ProcessLife, Record, RequestEnd};
use super::request::RequestClass;

/// Later than this after its time a request without a final response is lost: half a second, and
/// the 50 ms that the platform adds to each time limit on sockets.
pub(super) const LATE_RESPONSE_SLACK: Duration = Duration::from_millis(550);
/// What SIGKILL finds unanswered is lost if it came later than this after SIGTERM.
const LATE_REQUEST_AFTER_SIGTERM: Duration = Duration::from_millis(700);
/// Time between a signal and what clients see of it.
const SIGNAL_SLACK: Duration = Duration::from_millis(50);
const KIB_PER_MIB: u64 = 1024;

/// A violation of a rule or of a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A request was taken and got no final response in time.
    Lost(String),
    /// A request that must run once ran more often, or was rejected after it ran.
    Duplicate(String),
    /// A client got a response that was made for another request.
    Foreign(String),
    /// The process ended although nothing had told it to.
    Exited(String),
    /// The process had more memory than its limit.
    Memory(String),
    /// The process had more file descriptors than its limit.
    Descriptors(String),
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rule, text) = match self {
            Self::Lost(text) => ("lost", text),
            Self::Duplicate(text) => ("duplicate", text),
            Self::Foreign(text) => ("foreign", text),
            Self::Exited(text) => ("exited", text),
            Self::Memory(text) => ("memory", text),
            Self::Descriptors(text) => ("descriptors", text),
        };
        write!(formatter, "{rule}: {text}")
    }
}

/// All violations of a run.
pub(super) fn findings(plan: &Plan, record: &Record, usage: &Usage) -> Vec<Finding> {
    let lives = record.lives();
    let mut findings: Vec<Finding> = record
        .requests()
        .iter()
        .filter_map(|request| check_request(request, record, &lives))
        .collect();
    findings.extend(record.unexpected_exits().into_iter().map(|exit| {
        let at = exit.at.duration_since(record.started_at).as_secs_f64();
        Finding::Exited(format!("at {at:.3} s: {}", exit.status))
    }));
    let limit_kib = plan.memory_mb * KIB_PER_MIB;
    if usage.peak_memory_kib > limit_kib {
        let peak = usage.peak_memory_kib;
        findings.push(Finding::Memory(format!("{peak} KiB of {limit_kib}")));
    }
    if usage.peak_descriptors > plan.sockets {
        let peak = usage.peak_descriptors;
        findings.push(Finding::Descriptors(format!("{peak} of {}", plan.sockets)));
    }
    findings
}

fn check_request(
    request: &EndedRequest,
    record: &Record,
    lives: &[ProcessLife],
) -> Option<Finding> {
    let executions = record.executions(request.id);
    if request.class == RequestClass::NonIdempotent && executions > 1 {
        let text = format!("ran {executions} times: {}", describe(request, record));
        return Some(Finding::Duplicate(text));
    }
    match request.end {
        RequestEnd::Answered { is_own: false, .. } => {
            Some(Finding::Foreign(describe(request, record)))
        }
        RequestEnd::Answered { status, .. } if is_late(request) => {
            let text = format!("{status} too late: {}", describe(request, record));
            Some(Finding::Lost(text))
        }
        RequestEnd::Answered {
            status: 429 | 503, ..
        } if request.class == RequestClass::NonIdempotent && executions > 0 => {
            let text = format!("rejected after it ran: {}", describe(request, record));
            Some(Finding::Duplicate(text))
        }
        RequestEnd::Answered { .. } => None,
        RequestEnd::Closed(_) if is_crossing(request, executions) => None,
        RequestEnd::Closed(_) | RequestEnd::Unanswered if is_excused_by_kill(request, lives) => {
            None
        }
        RequestEnd::Closed(_) | RequestEnd::Unanswered => {
            let text = format!("ran {executions} times: {}", describe(request, record));
            Some(Finding::Lost(text))
        }
    }
}

fn is_late(request: &EndedRequest) -> bool {
    request.ended_at - request.written_at > request.timeout + LATE_RESPONSE_SLACK
}

/// A sidecar may close a connection between requests. A request that crosses the close on a kept
/// connection was not read, and its client sends it again.
fn is_crossing(request: &EndedRequest, executions: u32) -> bool {
    request.connection == ConnectionUse::Reused && executions == 0
}

/// What a SIGKILL finds unanswered is not lost, except where it came long after a SIGTERM.
fn is_excused_by_kill(request: &EndedRequest, lives: &[ProcessLife]) -> bool {
    lives.iter().any(|life| {
        let Some(killed_at) = life.killed_at else {
            return false;
        };
        let is_open = was_open_at(request, life, killed_at);
        let is_late_request = life.terminated_at.is_some_and(|terminated_at| {
            request.written_at > terminated_at + LATE_REQUEST_AFTER_SIGTERM
        });
        is_open && !is_late_request
    })
}

fn was_open_at(request: &EndedRequest, life: &ProcessLife, killed_at: Instant) -> bool {
    request.ended_at >= life.started_at
        && request.started_at <= killed_at + SIGNAL_SLACK
        && request.ended_at + SIGNAL_SLACK >= killed_at
}

fn describe(request: &EndedRequest, record: &Record) -> String {
    let seconds = |at: Instant| at.duration_since(record.started_at).as_secs_f64();
    format!(
        "{} {:?} {:?} {:?} written at {:.3} s, timeout {} ms, {:?} at {:.3} s",
        request.id,
        request.sender,
        request.connection,
        request.class,
        seconds(request.written_at),
        request.timeout.as_millis(),
        request.end,
        seconds(request.ended_at)
    )
}
