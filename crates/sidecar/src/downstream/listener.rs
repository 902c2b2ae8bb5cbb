//! Accepts clients within the bounds, lends their sockets to the protocol, and brings each connection to its end.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::DispatchError;
use actix_service::Service;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::bounded_stream::BoundedStream;
use super::connection::ClientConnection;
use super::http::{reject_over_capacity, service};
use super::lingering_close::lingering_close;
use crate::host::BalancerHost;
use crate::upstream::Upstream;

/// The listening side.
pub struct Listener {
    pub(super) host: Rc<BalancerHost>,
    pub(super) upstream: Rc<Upstream>,
    /// Client connections that hold a descriptor.
    open: Cell<usize>,
    /// Those that hold a permit, which the ones dismissed or turned away do not.
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next: Cell<u64>,
    changed: Notify,
    /// Descriptors of connections that linger are wanted.
    wanted: Notify,
    stopping: Notify,
    closing: Cell<bool>,
}

impl Listener {
    pub fn new(host: Rc<BalancerHost>, upstream: Rc<Upstream>) -> Rc<Self> {
        let (open, clients, next) = (Cell::new(0), RefCell::default(), Cell::new(0));
        let (changed, wanted, stopping, closing) = (
            Notify::new(),
            Notify::new(),
            Notify::new(),
            Cell::new(false),
        );
        Rc::new(Self {
            host,
            upstream,
            open,
            clients,
            next,
            changed,
            wanted,
            stopping,
            closing,
        })
    }

    /// True once no answer leaves its connection open.
    pub(super) fn closing(&self) -> bool {
        self.closing.get()
    }

    /// Accepts clients until [`Listener::close`], and then those whom the machine has accepted.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        use actix_service::ServiceFactory as _;
        let Ok(protocol) = service(&self).new_service(()).await else {
            return;
        };
        let Ok(crowded) = reject_over_capacity(&self).new_service(()).await else {
            return;
        };
        let (protocol, crowded) = (Rc::new(protocol), Rc::new(crowded));
        let limits = Rc::clone(&self.host.limits);
        loop {
            while self.open.get() >= limits.client.max_accepted_connections {
                // Guards against a crowd at the stop that takes the descriptors of what is still owed.
                if self.closing.get() {
                    return;
                }
                self.wanted.notify_one();
                tokio::select! { () = self.changed.notified() => {}, () = self.stopping.notified() => {} }
            }
            // Guards against requests on connections that the machine has accepted and this program has not:
            // the last of them are taken before the listener goes.
            let next = tokio::select! {
                biased;
                next = listener.accept() => next,
                () = self.stopping.notified(), if !self.closing.get() => continue,
                () = tokio::task::yield_now(), if self.closing.get() => return,
            };
            let stream = match next {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    if self.closing.get() {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            };
            let client = ClientConnection::new(Some(stream));
            let full = !self.has_room();
            let permit = self.permit(&client, full);
            let (this, protocol, crowded) =
                (Rc::clone(&self), Rc::clone(&protocol), Rc::clone(&crowded));
            actix_rt::spawn(async move {
                if full {
                    this.serve(&*crowded, &client).await;
                } else {
                    this.serve(&*protocol, &client).await;
                }
                permit.give_back();
                if let Some(socket) = client.take_stream() {
                    lingering_close(socket, &this.host.limits, &this.wanted).await;
                }
            });
        }
    }

    /// Serves one client until its connection is to end, and leaves its socket open for that.
    async fn serve<S>(&self, protocol: &S, client: &Rc<ClientConnection>)
    where
        S: Service<(BoundedStream, Option<SocketAddr>), Response = (), Error = DispatchError>,
    {
        while let Some(lent) = client.lend_stream(&self.host.limits) {
            let served = async {
                lent.first_byte().await;
                protocol.call((lent, None)).await
            };
            // What has come already is served: a permit is only taken from a client that is silent.
            tokio::select! {
                biased;
                end = served => {
                    if let Err(DispatchError::Parse(_)) = end {
                        self.host.counters.requests_malformed.add();
                    }
                    return;
                }
                () = client.timed_out(&self.host.limits) => {}
            }
            // Guards against a request that came as its connection was chosen for closing: nothing of it was read.
            if !client.has_unread() {
                self.host.counters.clients_timed_out.add();
                return;
            }
        }
    }

    /// Guards against silent clients that fill all permits: a new one gets that of the idlest.
    fn has_room(&self) -> bool {
        let mut clients = self.clients.borrow_mut();
        if clients.len() < self.host.limits.client.max_connections {
            return true;
        }
        let idle = clients
            .iter()
            .filter_map(|(&number, t)| Some((t.idle_rank()?, number)));
        let idlest = idle.min().map(|(_, number)| number);
        idlest
            .and_then(|number| clients.remove(&number))
            .inspect(|t| t.begin_close())
            .is_some()
    }

    fn permit(self: &Rc<Self>, client: &Rc<ClientConnection>, full: bool) -> ClientPermit {
        let number = self.next.get();
        self.next.set(number + 1);
        self.open.set(self.open.get() + 1);
        if !full {
            self.clients.borrow_mut().insert(number, Rc::clone(client));
        }
        ClientPermit {
            front: Rc::clone(self),
            number,
        }
    }

    /// Ends the accepting, closes idle connections and waits until what is owed is answered.
    pub async fn close(&self, accept: JoinHandle<()>) {
        self.closing.set(true);
        self.stopping.notify_one();
        let _ = accept.await;
        self.clients
            .borrow()
            .values()
            .filter(|t| t.idle_rank().is_some())
            .for_each(|t| t.begin_close());
        self.closed().await;
    }

    /// Waits until no connection is open.
    pub async fn closed(&self) {
        while self.open.get() > 0 {
            self.changed.notified().await;
        }
    }
}

/// One client connection within the bounds; its descriptor counts until this is dropped.
struct ClientPermit {
    front: Rc<Listener>,
    number: u64,
}

impl ClientPermit {
    /// It takes no more requests: another client may.
    fn give_back(&self) {
        self.front.clients.borrow_mut().remove(&self.number);
    }
}

impl Drop for ClientPermit {
    fn drop(&mut self) {
        self.give_back();
        self.front.open.set(self.front.open.get() - 1);
        self.front.changed.notify_waiters();
    }
}
