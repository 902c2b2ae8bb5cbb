//! The model's discovery: it hears late of what happens, handles calls in turn, and tells its watchers of changes.

use std::collections::BTreeMap;

use arrowstand_balancer::{Endpoint, EndpointStatus, Event, ServerId, UpdateKind};
use arrowstand_control::stable_hash;

use super::*;
use crate::event_log::ListedStatus;

/// A call that is not answered at all is given up after this; a watch that says nothing, after that.
const CALL: Micros = 5_000_000;
const SILENCE: Micros = 3_000_000;

/// One job server in the list.
#[derive(Clone, Copy)]
struct LogRecord {
    listing: ListedStatus,
    launched: Micros,
    version: u64,
}

/// What is to be put into the list.
#[derive(Clone, Copy)]
pub struct News {
    pub listing: ListedStatus,
    pub launched: Micros,
}

/// The service.
pub struct Discovery {
    pub version: u64,
    lines: BTreeMap<u32, LogRecord>,
    news: Vec<News>,
    busy_until: Micros,
    pub down: bool,
    pub silent: bool,
    chance: RandomStream,
}

impl Discovery {
    pub fn new(day: &Scenario) -> Self {
        let chance = RandomStream::new(day.seed, StreamId::Discovery, 0);
        let (lines, news) = (BTreeMap::new(), Vec::new());
        Self {
            version: 1,
            lines,
            news,
            busy_until: 0,
            down: false,
            silent: false,
            chance,
        }
    }

    /// Lists a job server that was there before the day.
    pub fn list(&mut self, server: u32, launched: Micros) {
        let version = self.version;
        self.lines.insert(
            server,
            LogRecord {
                listing: ListedStatus::Ready,
                launched,
                version,
            },
        );
    }

    /// The list as a sidecar keeps it.
    pub fn current(&self) -> BTreeMap<u32, (ListedStatus, Micros)> {
        let there = self
            .lines
            .iter()
            .filter(|(_, l)| l.listing != ListedStatus::Gone);
        there
            .map(|(&server, l)| (server, (l.listing, l.launched)))
            .collect()
    }

    fn set(&mut self, server: u32, news: News) {
        self.version += 1;
        let (listing, launched, version) = (news.listing, news.launched, self.version);
        self.lines.insert(
            server,
            LogRecord {
                listing,
                launched,
                version,
            },
        );
    }
}

impl Simulator<'_> {
    /// Something happened that discovery will have noticed after a while.
    pub(super) fn announce(&mut self, server: u32, listing: ListedStatus, after_ms: f64) {
        let launched = self.servers[server as usize].launched;
        self.discovery.news.push(News { listing, launched });
        let news = self.discovery.news.len() as u32 - 1;
        self.after(from_ms(after_ms), Happening::Notice { server, news });
    }

    pub(super) fn notice(&mut self, server: u32, news: u32) {
        let Some(&news) = self.discovery.news.get(news as usize) else {
            return;
        };
        let launched = self.servers[server as usize].launched;
        // A death that is noticed after the return is none; and what came back is not listed as it was before.
        if launched > news.launched {
            return;
        }
        self.discovery.set(server, news);
        if self.discovery.down || self.discovery.silent {
            return;
        }
        for number in 0..self.sidecars.len() as u32 {
            if self.sidecars[number as usize].subscribed {
                let spread = from_ms(self.day.discovery.spread_ms * self.discovery.chance.unit());
                let life = self.sidecars[number as usize].life;
                self.after(
                    spread,
                    Happening::Heard {
                        sidecar: number,
                        life,
                    },
                );
            }
        }
    }

    /// A sidecar calls for the list and for changes from then on.
    pub(super) fn subscribe(&mut self, number: u32) {
        self.note(LogEvent::DiscoveryPolled { sidecar: number });
        let (now, life) = (self.now, self.sidecars[number as usize].life);
        let sidecar = &mut self.sidecars[number as usize];
        sidecar.calls += 1;
        sidecar.subscribed = false;
        let call = sidecar.calls;
        let list = |lost| Happening::List {
            sidecar: number,
            life,
            call,
            lost,
        };
        let discovery = &mut self.discovery;
        if discovery.silent {
            self.after(CALL, list(true));
        } else if discovery.down {
            self.after(2_000, list(true));
        } else {
            let start = discovery.busy_until.max(now);
            let most = from_ms(self.day.discovery.timeout_ms);
            if start > now + most {
                self.after(most, list(true));
            } else {
                let took = (1e6 / self.day.discovery.capacity) as Micros;
                discovery.busy_until = start + took;
                self.at(start + took, list(false));
            }
        }
    }

    pub(super) fn list(&mut self, number: u32, life: u32, call: u32, lost: bool) {
        let sidecar = &mut self.sidecars[number as usize];
        if sidecar.life != life || sidecar.calls != call || sidecar.balancer_is_down() {
            return;
        }
        if lost || self.discovery.down || self.discovery.silent {
            self.lost(number);
            return;
        }
        sidecar.subscribed = true;
        if sidecar.version >= self.discovery.version {
            let version = self.discovery.version;
            self.list_told(number, UpdateKind::Incremental, version, Vec::new());
        } else {
            self.changes(number);
        }
    }

    pub(super) fn lost(&mut self, number: u32) {
        self.sidecars[number as usize].subscribed = false;
        let lost = Event::EndpointsUpdated {
            kind: UpdateKind::Lost,
            version: 0,
            endpoints: Vec::new(),
        };
        self.tell(number, lost);
    }

    /// A change has reached a watch.
    pub(super) fn heard(&mut self, number: u32, life: u32) {
        let sidecar = &self.sidecars[number as usize];
        let cut = self.discovery.down || self.discovery.silent;
        if sidecar.life == life
            && sidecar.subscribed
            && !cut
            && sidecar.version < self.discovery.version
        {
            self.changes(number);
        }
    }

    fn changes(&mut self, number: u32) {
        let (version, since) = (
            self.discovery.version,
            self.sidecars[number as usize].version,
        );
        let new = self
            .discovery
            .lines
            .iter()
            .filter(|(_, l)| l.version > since);
        let changed = new
            .map(|(&server, l)| (server, l.listing, l.launched))
            .collect();
        self.list_told(number, UpdateKind::Incremental, version, changed);
    }

    /// Hands a list to a sidecar's module and keeps it as what the sidecar last had.
    pub(super) fn list_told(
        &mut self,
        number: u32,
        kind: UpdateKind,
        version: u64,
        entries: Vec<(u32, ListedStatus, Micros)>,
    ) {
        let mut members = Vec::with_capacity(entries.len());
        for &(server, listing, launched) in &entries {
            self.note(LogEvent::EndpointListed {
                sidecar: number,
                server,
                status: listing,
                incarnation: launched,
            });
            let known = &mut self.sidecars[number as usize].known;
            if listing == ListedStatus::Gone {
                known.remove(&server);
            } else {
                known.insert(server, (listing, launched));
            }
            let zone = self.servers[server as usize].zone;
            let machine = self
                .day
                .advertised_machine_type(self.servers[server as usize].machine.kind());
            members.push(Endpoint {
                server: ServerId(server),
                stable_hash: stable_hash(&format!("s{server}")),
                status: match listing {
                    ListedStatus::Ready => EndpointStatus::Ready,
                    ListedStatus::Draining => EndpointStatus::Draining,
                    ListedStatus::Gone => EndpointStatus::Removed,
                },
                incarnation: (launched > 0).then_some(EPOCH + launched),
                zone,
                cell: zone,
                machine_type: machine,
            });
        }
        self.sidecars[number as usize].version = version;
        self.tell(
            number,
            Event::EndpointsUpdated {
                kind,
                version,
                endpoints: members,
            },
        );
    }

    /// Discovery goes down or silent, or comes back.
    pub(super) fn discovery_fails(&mut self, down: bool, silent: bool) {
        (self.discovery.down, self.discovery.silent) = (down, silent);
        self.discovery.busy_until = self.now;
        if !down && !silent {
            return;
        }
        for number in 0..self.sidecars.len() as u32 {
            let sidecar = &mut self.sidecars[number as usize];
            if std::mem::take(&mut sidecar.subscribed) {
                let (life, call) = (sidecar.life, sidecar.calls);
                let after = if silent { SILENCE } else { 1_000 };
                self.after(
                    after,
                    Happening::List {
                        sidecar: number,
                        life,
                        call,
                        lost: true,
                    },
                );
            }
        }
    }
}
