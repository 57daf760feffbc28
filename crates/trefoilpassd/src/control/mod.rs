//! The side that agrees: views, peers, claims, operators' changes and the steward.

mod changes;
mod claim_actor;
mod clients;
mod job_changes;
mod job_duties;
mod job_orders;
mod lease;
mod leaving;
mod operator_server;
mod peer_actor;
mod peer_server;
mod reports;
mod rows;
mod steward_actor;
mod steward_duties;
mod sweep;
mod view_actor;

pub(crate) use changes::Changes;
pub(crate) use claim_actor::{BeginClaim, ClaimActor, EndClaim, GiveUpClaim, Tick as ClaimTick};
pub(crate) use clients::Clients;
pub(crate) use lease::SeenLease;
pub(crate) use operator_server::OperatorServer;
pub(crate) use peer_actor::{ExchangeNow, PeerActor};
pub(crate) use peer_server::PeerServer;
pub(crate) use steward_actor::{StewardActor, Work};
pub(crate) use view_actor::{Poll, ViewActor};
