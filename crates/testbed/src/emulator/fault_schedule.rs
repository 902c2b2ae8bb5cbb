//! The timetable on the stage: does to the stand-ins and sidecars what the model does to its own.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::discovery::{Discovery, Mode};
use super::emulated_server::{EmulatedServer, Net};
use super::{Clock, Emulation};
use crate::event_log::{ListedStatus, ServerState};
use crate::scenario::{Fault, FaultKind, Micros, Scenario, from_ms, from_s};
use crate::simulator::faults::{roll, targets};

/// Plays the troubles of the day.
pub async fn play(scene: &Emulation) {
    let day = Arc::clone(&scene.shared.day);
    let zones: Vec<u32> = scene.stand_ins.iter().map(|s| s.zone).collect();
    let next = Arc::new(AtomicU32::new(scene.stand_ins.len() as u32));
    let mut all = tokio::task::JoinSet::new();
    for (index, trouble) in day.fault.iter().enumerate() {
        let (at, length) = (from_s(trouble.at_s), from_s(trouble.for_s));
        let clock = scene.shared.clock;
        match trouble.kind {
            FaultKind::Burst | FaultKind::Costly => {}
            FaultKind::Roll | FaultKind::RestartAll => {
                let everybody = || (0..day.sidecars.count as u32).map(|s| (s, 0)).collect();
                let when = if trouble.kind == FaultKind::Roll {
                    roll(&day, index)
                } else {
                    everybody()
                };
                for (sidecar, later) in when {
                    let sidecars = Arc::clone(&scene.sidecars);
                    let (down, kill) = (from_s(trouble.down_s), trouble.kill);
                    all.spawn(async move {
                        until(clock, at + later).await;
                        sidecars.restart(sidecar as usize, down, kill).await;
                    });
                }
            }
            FaultKind::DiscoveryDown | FaultKind::DiscoverySilent => {
                let discovery = Arc::clone(&scene.discovery);
                let mode = if trouble.kind == FaultKind::DiscoveryDown {
                    Mode::Down
                } else {
                    Mode::Silent
                };
                all.spawn(async move {
                    until(clock, at).await;
                    discovery.set_mode(mode);
                    until(clock, at + length).await;
                    discovery.set_mode(Mode::Up);
                });
            }
            _ => {
                for server in targets(&day, index, &zones) {
                    let Some(stand_in) = scene.stand_ins.get(server as usize) else {
                        continue;
                    };
                    let concerned = Concerned {
                        stand_in: Arc::clone(stand_in),
                        at: server as usize,
                        discovery: Arc::clone(&scene.discovery),
                        day: Arc::clone(&day),
                        clock,
                        next: Arc::clone(&next),
                    };
                    all.spawn(concerned.suffer(trouble.clone(), at, length));
                }
            }
        }
    }
    while all.join_next().await.is_some() {}
}

/// Plays the troubles, and then holds everything up.
pub async fn play_for_ever(scene: &Emulation) {
    play(scene).await;
    std::future::pending().await
}

async fn until(clock: Clock, at: Micros) {
    tokio::time::sleep_until(clock.instant(at)).await;
}

/// A job server in trouble, and those who will hear of it.
struct Concerned {
    stand_in: Arc<EmulatedServer>,
    at: usize,
    discovery: Arc<Discovery>,
    day: Arc<Scenario>,
    clock: Clock,
    next: Arc<AtomicU32>,
}

impl Concerned {
    /// Discovery will have noticed after a while.
    fn announce(&self, server: u32, listing: ListedStatus, after_ms: f64) {
        let (discovery, at, launched) = (
            Arc::clone(&self.discovery),
            self.at,
            self.stand_in.launched(),
        );
        let after = std::time::Duration::from_micros(from_ms(after_ms));
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            discovery.set(server, at, listing, launched);
        });
    }

    async fn suffer(self, trouble: Fault, at: Micros, length: Micros) {
        until(self.clock, at).await;
        let (notice, add) = (self.day.discovery.notice_ms, self.day.discovery.add_ms);
        let (stand_in, share) = (&self.stand_in, trouble.share);
        let old = stand_in.number();
        match trouble.kind {
            FaultKind::Pause => stand_in.set_paused(true),
            FaultKind::Slow => stand_in.set_slower(trouble.factor),
            FaultKind::Errors => stand_in.set_faults(Some(Some(share)), None, None),
            FaultKind::Spoilt => stand_in.set_faults(None, Some(share), None),
            FaultKind::Resets => stand_in.set_faults(None, None, Some(share)),
            FaultKind::Crash => {
                stand_in.fate(ServerState::Down);
                stand_in.vanish(Net::Refusing).await;
                self.announce(old, ListedStatus::Gone, notice);
            }
            FaultKind::Silence => {
                stand_in.fate(ServerState::Silent);
                stand_in.vanish(Net::Silent).await;
                self.announce(old, ListedStatus::Gone, self.day.discovery.silent_notice_ms);
            }
            FaultKind::Drain | FaultKind::Replace => {
                stand_in.set_draining();
                self.announce(old, ListedStatus::Draining, notice);
            }
            _ => {}
        }
        until(self.clock, at + length).await;
        match trouble.kind {
            FaultKind::Pause => stand_in.set_paused(false),
            FaultKind::Slow => stand_in.set_slower(1.0),
            FaultKind::Errors => stand_in.set_faults(Some(None), None, None),
            FaultKind::Spoilt => stand_in.set_faults(None, Some(0.0), None),
            FaultKind::Resets => stand_in.set_faults(None, None, Some(0.0)),
            FaultKind::Crash | FaultKind::Silence => {
                stand_in.comes_back(None).await;
                self.announce(old, ListedStatus::Ready, add);
            }
            FaultKind::Drain => {
                stand_in.vanish(Net::Refusing).await;
                stand_in.comes_back(None).await;
                self.announce(old, ListedStatus::Ready, add);
            }
            FaultKind::Replace => {
                stand_in.vanish(Net::Refusing).await;
                stand_in.fate(ServerState::Down);
                self.announce(old, ListedStatus::Gone, notice);
                let new = self.next.fetch_add(1, Ordering::Relaxed);
                stand_in.comes_back(Some(new)).await;
                self.announce(new, ListedStatus::Ready, add);
            }
            _ => {}
        }
    }
}
