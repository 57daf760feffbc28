//! Answers to peers.

use std::sync::Arc;
use std::time::Duration;

use domain::{EntryVmId, FleetSeq, VmId};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;
use maintenance::DaemonReply;
use membership::View;
use once::{ClaimId, ClaimRow, HolderReply};
use peer::{LeaveReply, PeerRpcServer, ViewContents, WireDigest};
use platform::Platform;
use xtra::Address;

use crate::control::Poll;
use crate::control::changes::Changes;
use crate::control::claim_actor::{Asked, ClaimActor};
use crate::control::peer_actor::{PeerActor, Received};
use crate::control::view_actor::CatchUpFrom;
use crate::shared::Shared;

/// Answers to peers.
#[derive(Debug)]
pub(crate) struct PeerServer<P: Platform> {
    pub(crate) shared: Arc<Shared<P>>,
    pub(crate) changes: Changes<P>,
    pub(crate) peers: Address<PeerActor<P>>,
    pub(crate) claims: Address<ClaimActor<P>>,
}

#[async_trait]
impl<P: Platform> PeerRpcServer for PeerServer<P> {
    async fn exchange(&self, digest: WireDigest) -> RpcResult<WireDigest> {
        let reply = self.peers.send(Received(digest.0)).await;
        reply.map(WireDigest).map_err(|_| shutting_down())
    }

    async fn view(&self, have: View) -> RpcResult<Option<ViewContents>> {
        let in_force = self.shared.in_force();
        let own = in_force.view();
        let Some(config) = in_force.config.as_ref().filter(|_| !have.covers(own)) else {
            return Ok(None);
        };
        let has_text = have.epoch == own.epoch;
        let now_us = self.shared.clock.now_us();
        Ok(Some(ViewContents {
            head: config.head.clone(),
            text: (!has_text).then(|| config.text.to_string()),
            fleet_seq: own.fleet_seq,
            records: in_force.records.clone().into_iter().collect(),
            age_us: self.shared.freshness.lock().age_us(now_us),
        }))
    }

    async fn leave(&self, vm: VmId, hold_ms: u64, mark: Option<FleetSeq>) -> RpcResult<LeaveReply> {
        let hold = Duration::from_millis(hold_ms);
        let reply = match self.changes.agree_to_leave(&vm, hold, mark) {
            DaemonReply::Agreed { in_flight } => LeaveReply {
                is_agreed: true,
                in_flight,
            },
            _ => LeaveReply {
                is_agreed: false,
                in_flight: 0,
            },
        };
        Ok(reply)
    }

    async fn unleave(&self, vm: VmId) -> RpcResult<()> {
        self.changes.release_hold(&vm);
        Ok(())
    }

    async fn claim(&self, id: ClaimId, row: ClaimRow) -> RpcResult<HolderReply> {
        let asked = self.claims.send(Asked { id, row }).await;
        asked.map_err(|_| shutting_down())
    }

    async fn news(&self, from: EntryVmId, view: View) -> RpcResult<()> {
        let actor = &self.changes.view;
        if !self.shared.view().covers(view) {
            actor.send(Poll).await.map_err(|_| shutting_down())?;
        }
        if !self.shared.view().covers(view) {
            let catch_up = actor.send(CatchUpFrom { peer: from });
            catch_up.await.map_err(|_| shutting_down())?;
        }
        Ok(())
    }
}

fn shutting_down() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        INTERNAL_ERROR_CODE,
        "this daemon is shutting down",
        None::<()>,
    )
}
