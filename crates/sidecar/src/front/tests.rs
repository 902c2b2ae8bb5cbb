use super::client::Client;
use crate::limits::{Basis, Limits};

async fn leaves(client: &Client, limits: &Limits) -> bool {
    tokio::time::timeout(
        std::time::Duration::from_millis(50),
        client.overstayed(limits),
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
    let client = Client::new(None);
    client.dismiss();
    assert!(leaves(&client, &limits).await, "silent");
    client.dismiss();
    client.heard(1);
    assert!(!leaves(&client, &limits).await, "a request has begun");
    client.dry();
    assert!(client.opened(&limits).await, "nothing more is to be read");
    client.dismiss();
    assert!(!leaves(&client, &limits).await, "a request is open");
    client.answered(false);
    client.dismiss();
    assert!(!leaves(&client, &limits).await, "its answer is not written");
    client.written();
    assert!(leaves(&client, &limits).await, "its answer is written");
}
