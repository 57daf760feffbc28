//! What daemons say to each other and to operators: the JSON-RPC methods and their types.

mod error;
mod operator;
mod rpc;
mod wire_digest;

pub use error::OperatorError;
pub use operator::{
    AppliedConfig, ConfigDocument, InForceReport, PeerReport, PoolReport, ServiceReport,
    StatusReport, StewardReport, VmReport, WaveReport,
};
pub use rpc::{
    LeaveReply, OperatorRpcClient, OperatorRpcServer, PeerRpcClient, PeerRpcServer, ViewContents,
};
pub use wire_digest::WireDigest;
