use super::connection::ClientConnection;
use crate::limits::{Basis, Limits};

async fn leaves(client: &ClientConnection, limits: &Limits) -> bool {
    tokio::time::timeout(
        std::time::Duration::from_millis(50),
        client.timed_out(limits),
    )
    .await
    .is_ok()
}

#[tokio::test(flavor = "current_thread")]
async fn a_dismissed_client_stays_until_it_is_owed_nothing() {
    let limits = Limits::derive(&Basis {
        sockets: 64,
        ..Default::default()
    });
    let client = ClientConnection::new(None);
    client.begin_close();
    assert!(leaves(&client, &limits).await, "silent");
    client.begin_close();
    client.on_received(1);
    assert!(!leaves(&client, &limits).await, "a request has begun");
    client.on_input_drained();
    assert!(
        client.on_request_read(&limits).await,
        "nothing more is to be read"
    );
    client.begin_close();
    assert!(!leaves(&client, &limits).await, "a request is open");
    client.on_response_made(false);
    client.begin_close();
    assert!(!leaves(&client, &limits).await, "its answer is not written");
    client.on_response_written();
    assert!(leaves(&client, &limits).await, "its answer is written");
}
