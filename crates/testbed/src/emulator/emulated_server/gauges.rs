//! Samples the gauges of the emulated servers for the event log.

use crate::emulator::Emulation;
use crate::emulator::lock::lock;
use crate::event_log::LogEvent;
use crate::scenario::Micros;

/// Time between two samples, in microseconds, as in the simulator.
const GAUGE_INTERVAL: Micros = 1_000_000;

/// Records the attempts in flight and the open connections of each server once a second; does not
/// return.
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
