//! Written events keep the names of stored logs, whatever the code calls them.

use super::{LogEvent, LogRecord, ProcessState, ServerState, written};
use crate::index::{ArrivalNumber, ClassIndex, ServerIndex, SidecarIndex, TenantIndex};

#[test]
fn states_and_quota_keep_their_stored_names() {
    let line = |event| {
        let records = [LogRecord { at: 1, event }];
        written(&records)
    };
    let sidecar = SidecarIndex::new(2);
    for (state, name) in [
        (ProcessState::Up, "up"),
        (ProcessState::ShuttingDown, "ending"),
        (ProcessState::Exited, "ended"),
        (ProcessState::Killed, "killed"),
    ] {
        let expected = format!(
            "{{\"at\":1,\"what\":\"sidecar_state_changed\",\"sidecar\":2,\"state\":\"{name}\"}}\n"
        );
        assert_eq!(
            line(LogEvent::SidecarStateChanged { sidecar, state }),
            expected
        );
    }
    let overloaded = line(LogEvent::ServerStateChanged {
        server: ServerIndex::new(7),
        zone: 1,
        state: ServerState::OverloadShutdown,
    });
    let expected = "{\"at\":1,\"what\":\"server_state_changed\",\"server\":7,\"zone\":1,\
                    \"state\":\"fallen\"}\n";
    assert_eq!(overloaded, expected);
    let arrival = line(LogEvent::ArrivalStarted {
        arrival: ArrivalNumber::new(3),
        sidecar,
        class: ClassIndex::new(1),
        tenant: TenantIndex::new(4),
        within_quota: true,
        work: 2.5,
    });
    let expected = "{\"at\":1,\"what\":\"arrival_started\",\"arrival\":3,\"sidecar\":2,\"class\":1,\
                    \"tenant\":4,\"within_share\":true,\"work\":2.5}\n";
    assert_eq!(arrival, expected);
}
