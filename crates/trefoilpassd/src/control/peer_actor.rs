//! Exchanges digests with peers, and follows who is there.

use std::collections::BTreeMap;
use std::sync::Arc;

use domain::EntryVmId;
use membership::{Digest, PeerState};
use peer::{PeerRpcClient, WireDigest};
use platform::Platform;
use routing::PeerLoad;
use xtra::prelude::*;

use crate::control::clients::no_contact;
use crate::control::view_actor::CatchUpFrom;
use crate::control::{Clients, ViewActor};
use crate::shared::Shared;

/// Exchanges digests with the peer whose turn it is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExchangeNow;

/// A peer has sent its digest.
#[derive(Debug, Clone)]
pub(crate) struct Received(pub(crate) Digest);

/// Exchanges digests with peers.
#[derive(Debug, xtra::Actor)]
pub(crate) struct PeerActor<P: Platform> {
    shared: Arc<Shared<P>>,
    clients: Clients,
    view: Address<ViewActor<P>>,
    peaks: Vec<u32>,
    states: BTreeMap<EntryVmId, PeerState>,
}

impl<P: Platform> PeerActor<P> {
    pub(crate) fn new(
        shared: Arc<Shared<P>>,
        clients: Clients,
        view: Address<ViewActor<P>>,
    ) -> Self {
        Self {
            shared,
            clients,
            view,
            peaks: Vec::new(),
            states: BTreeMap::new(),
        }
    }

    fn own_digest(&self, to: &EntryVmId) -> Digest {
        let shared = &self.shared;
        let now_us = shared.clock.now_us();
        let is_in_zone = self
            .clients
            .get(to)
            .is_some_and(|client| client.zone == *shared.zone());
        let peaks = if is_in_zone {
            self.peaks.clone()
        } else {
            Vec::new()
        };
        Digest {
            entry_vm: shared.entry_vm().clone(),
            incarnation: shared.incarnation.clone(),
            view: shared.view(),
            view_age_us: shared.freshness.lock().age_us(now_us),
            is_draining: shared.is_draining(),
            peak_in_flight: peaks,
        }
    }

    async fn exchange(&mut self) {
        self.peaks = self
            .shared
            .traffic
            .with(|router, _, _| router.local_peaks());
        let contact = self.shared.peers.lock().next_contact();
        if let Some(id) = contact {
            self.exchange_with(&id).await;
        }
        self.follow_states();
    }

    async fn exchange_with(&mut self, id: &EntryVmId) {
        let Some(client) = self.clients.get(id) else {
            return;
        };
        let asked_us = self.shared.clock.now_us();
        let digest = WireDigest(self.own_digest(id));
        match client.rpc.exchange(digest).await {
            Ok(WireDigest(digest)) => {
                if let Some(age_us) = digest.view_age_us {
                    let as_of_us = asked_us.saturating_sub(age_us);
                    let own = self.shared.view();
                    self.shared
                        .freshness
                        .lock()
                        .confirm(own, digest.view, as_of_us);
                }
                self.take_in(digest).await;
            }
            Err(err) => {
                self.shared.metrics.peer_failures.inc();
                self.shared
                    .peers
                    .lock()
                    .record_contact_failure(id, no_contact(&err));
            }
        }
    }

    async fn take_in(&mut self, digest: Digest) {
        let shared = self.shared.clone();
        let now_us = shared.clock.now_us();
        let load = PeerLoad {
            peer: digest.entry_vm.clone(),
            peaks: digest.peak_in_flight.clone(),
        };
        let (peer, view) = (digest.entry_vm.clone(), digest.view);
        if shared.peers.lock().record_digest(digest, now_us).is_none() {
            return;
        }
        if view == shared.view() && !load.peaks.is_empty() {
            shared
                .traffic
                .with(|router, _, _| router.set_peer_load(&load));
        }
        if !shared.view().covers(view) {
            // Only the hand-over to the mailbox is waited for.
            let _ = self.view.send(CatchUpFrom { peer }).detach().await;
        }
        self.follow_states();
    }

    fn follow_states(&mut self) {
        let shared = self.shared.clone();
        let now_us = shared.clock.now_us();
        let (statuses, in_zone, configured) = {
            let peers = shared.peers.lock();
            let in_zone = peers.daemons_sharing_targets(now_us);
            (peers.statuses(now_us), in_zone, peers.configured_daemons())
        };
        shared
            .traffic
            .with(|router, _, _| router.set_daemons(in_zone, configured));
        for status in statuses {
            let before = self.states.insert(status.entry_vm.clone(), status.state);
            if before == Some(status.state) {
                continue;
            }
            if status.state == PeerState::Gone {
                shared
                    .traffic
                    .with(|router, _, _| router.forget_peer(&status.entry_vm));
            }
            log::info!("peer {}: {:?}", status.entry_vm, status.state);
        }
    }
}

impl<P: Platform> Handler<ExchangeNow> for PeerActor<P> {
    type Return = ();

    async fn handle(&mut self, _: ExchangeNow, _: &mut Context<Self>) {
        self.exchange().await;
    }
}

impl<P: Platform> Handler<Received> for PeerActor<P> {
    type Return = Digest;

    async fn handle(&mut self, message: Received, _: &mut Context<Self>) -> Digest {
        let reply = self.own_digest(&message.0.entry_vm);
        self.take_in(message.0).await;
        reply
    }
}
