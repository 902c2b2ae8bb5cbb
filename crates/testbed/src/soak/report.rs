//! What a run showed: the usage, the ends of the usual requests and the violations.

use std::collections::BTreeMap;
use std::fmt;

use super::audit::{Finding, findings};
use super::plan::Plan;
use super::process::Usage;
use super::record::{EndedRequest, Record, RequestEnd, Sender};

/// Findings of one kind that are printed; the others are counted.
const PRINTED_FINDINGS: usize = 5;

/// The result of one run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    plan: Plan,
    usage: Usage,
    usual: BTreeMap<String, usize>,
    crowd: BTreeMap<String, usize>,
    /// All violations.
    pub findings: Vec<Finding>,
}

impl SoakReport {
    pub(super) fn new(plan: &Plan, record: &Record, usage: &Usage) -> Self {
        let requests = record.requests();
        let (crowd, usual): (Vec<_>, Vec<_>) = requests
            .iter()
            .partition(|request| request.sender == Sender::Crowd);
        Self {
            plan: plan.clone(),
            usage: *usage,
            usual: count_ends(&usual),
            crowd: count_ends(&crowd),
            findings: findings(plan, record, usage),
        }
    }

    /// Peak of the resident memory, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        self.usage.peak_memory_kib
    }

    /// Requests of usual clients that were written completely.
    pub fn usual_ended(&self) -> usize {
        self.usual.values().sum()
    }

    /// Requests of usual clients that were served.
    pub fn usual_served(&self) -> usize {
        self.usual.get("200").copied().unwrap_or(0)
    }
}

fn count_ends(requests: &[&EndedRequest]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for request in requests {
        let name = match request.end {
            RequestEnd::Answered { status, .. } => status.to_string(),
            RequestEnd::Closed(_) => "closed".to_owned(),
            RequestEnd::Unanswered => "unanswered".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let crowd = self.plan.crowd.map_or_else(
            || "none".to_owned(),
            |crowd| format!("{} {:?}", crowd.clients, crowd.kind),
        );
        writeln!(
            formatter,
            "seed {}: crowd {crowd}, {} servers, work {:?}, responses of {} bytes, hang {}, {:?}",
            self.plan.seed,
            self.plan.servers,
            self.plan.work,
            self.plan.response_bytes,
            self.plan.hang_share,
            self.plan
                .signals
                .iter()
                .map(|signal| signal.action)
                .collect::<Vec<_>>(),
        )?;
        writeln!(
            formatter,
            "  memory {} KiB at most, {} at the end, of {} MiB; {} descriptors; usual {:?}; crowd {:?}",
            self.usage.peak_memory_kib,
            self.usage.last_memory_kib,
            self.plan.memory_mb,
            self.usage.peak_descriptors,
            self.usual,
            self.crowd,
        )?;
        for finding in self.findings.iter().take(PRINTED_FINDINGS) {
            writeln!(formatter, "  {finding}")?;
        }
        writeln!(formatter, "  {} findings", self.findings.len())
    }
}
