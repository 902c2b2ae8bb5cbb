//! Servers that have just started.

use crate::policy::Balancer;
use crate::policy::slow_start_admission::Admission;
use crate::state::ServerIndex;

impl Balancer {
    /// Asks whether a server takes part in a draw; ends the slow start of one that is warm.
    pub(super) fn admit_to_draw(&mut self, index: ServerIndex) -> bool {
        let server = &self.fleet.servers[index];
        match self
            .slow_start_admission
            .admit(&self.fleet, server, &mut self.rng)
        {
            Admission::Warm => {
                self.fleet.servers[index].slow_start.on_warmed_up();
                true
            }
            Admission::Admitted => true,
            Admission::OverQuota | Admission::NotDrawn => false,
        }
    }
}
