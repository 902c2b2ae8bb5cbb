//! What a lasting crowd does to a machine.

use super::*;

#[derive(Debug)]
pub(super) struct Choking {
    pub(super) since: Micros,
    pub(super) calm: Option<Micros>,
}

impl ServerModel {
    pub(super) fn watch_crowd(&mut self) {
        let Some(choke) = self.kind.choke.clone() else {
            return;
        };
        let (now, held, cores) = (self.at, self.held() as f64, f64::from(self.kind.cores));
        if let Some(choking) = &mut self.choking {
            let calm = held < choke.below * cores;
            choking.calm = if calm {
                choking.calm.or(Some(now))
            } else {
                None
            };
            let rested = choking
                .calm
                .is_some_and(|at| now >= at + from_s(choke.rest_s));
            if rested || now >= choking.since + from_s(choke.most_s) {
                self.done.choked += now - choking.since;
                self.choking = None;
                self.crowded = None;
            }
            return;
        }
        if held <= choke.at * cores {
            self.crowded = None;
        } else if now >= *self.crowded.get_or_insert(now) + from_s(choke.over_s) {
            self.choking = Some(Choking {
                since: now,
                calm: None,
            });
        }
    }

    /// Time choked so far, a choking that goes on included.
    pub fn choked(&self) -> Micros {
        self.done.choked
            + self
                .choking
                .as_ref()
                .map_or(0, |c| self.at.saturating_sub(c.since))
    }
}
