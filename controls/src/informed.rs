//! The balancer with what stands beside it: what a request costs is learnt from what passes, and told to the
//! module with each request. Every host (sidecar, adapter, lab) holds one of these in place of a bare balancer,
//! so that all of them judge the same code.

use std::collections::BTreeMap;

use heronlock::{Action, Balancer, ClassId, Event, Micros, Outcome, RequestId, Settings, SettingsError};

use crate::work::{Sent, Work};

/// A request that is open: its class, and its attempts in the order of the sends.
struct Open {
    class: ClassId,
    sent: Vec<Sent>,
}

/// A balancer that is told the expected work of each request.
pub struct Informed {
    balancer: Balancer,
    work: Work,
    open: BTreeMap<RequestId, Open>,
}

impl Informed {
    /// As [`Balancer::new`].
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let work = Work::new(settings.classes.len());
        Ok(Self { balancer: Balancer::new(settings, seed)?, work, open: BTreeMap::new() })
    }

    /// Takes in one event and pushes what is to be done about it.
    pub fn handle(&mut self, now: Micros, mut event: Event, acts: &mut Vec<Action>) {
        match &mut event {
            Event::Request(call) => {
                // What the host was told by the client wins over what was learnt.
                call.size_hint = call.size_hint.or(self.work.expected(call.class));
                self.open.insert(call.id, Open { class: call.class, sent: Vec::new() });
            }
            Event::Outcome(end) => {
                if end.outcome == Outcome::Served
                    && let Some(open) = self.open.get(&end.request)
                    && let Some(sent) = open.sent.get(end.attempt as usize)
                {
                    self.work.served(open.class, sent, end.elapsed);
                }
                if end.finished {
                    self.open.remove(&end.request);
                }
            }
            Event::Dropped { request } => {
                self.open.remove(request);
            }
            Event::Probed { server, report: Some(report), .. } => self.work.reported(now, *server, *report),
            _ => {}
        }
        let before = acts.len();
        self.balancer.handle(now, event, acts);
        for action in acts.iter().skip(before) {
            match action {
                Action::Send { request, server, .. } => {
                    if let Some(open) = self.open.get_mut(request) {
                        open.sent.push(self.work.sent(now, *server));
                    }
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.open.remove(request);
                }
                _ => {}
            }
        }
    }

    /// What was learnt of the work.
    pub fn work(&self) -> &Work {
        &self.work
    }
}
