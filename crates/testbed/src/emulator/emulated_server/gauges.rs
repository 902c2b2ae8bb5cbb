//! The gauges of the emulated servers: what each has in flight, at regular times.
//!
//! Owns when they are taken; what they add up to is for the statistics.

use crate::emulator::Emulation;
use crate::emulator::lock::lock;
use crate::event_log::LogEvent;
use crate::scenario::Micros;

/// Between two gauges, in microseconds, as in the simulator.
const GAUGE_INTERVAL: Micros = 1_000_000;

/// Records what each server has in flight, once a second, for ever.
pub(in crate::emulator) async fn record_gauges(emulation: &Emulation) {
    let shared = &emulation.shared;
    for sample in 1.. {
        shared.clock.sleep_until(sample * GAUGE_INTERVAL).await;
        for server in &emulation.servers {
            let (in_flight, connections) = lock(&server.process).gauges();
            shared.record(LogEvent::ServerGauge {
                server: server.index(),
                in_flight,
                connections,
            });
        }
    }
}
