//! The JSON-RPC methods that daemons offer to each other and to operators, and the types of their arguments and results.

mod error;
mod operator;
mod rpc;
mod wire_digest;

pub use error::OperatorError;
pub use operator::{
    ActiveViewReport, AppliedConfig, ConfigDocument, LeaderReport, PeerReport, PoolReport,
    ServiceReport, StatusReport, VmReport, WaveReport,
};
pub use rpc::{
    LeaveReply, OperatorRpcClient, OperatorRpcServer, PeerRpcClient, PeerRpcServer, ViewContents,
};
pub use wire_digest::WireDigest;
