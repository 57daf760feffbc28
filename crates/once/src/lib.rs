//! Claims that let a request with an idempotency key run at most once, whichever daemon it comes to.
//!
//! A claim is a row in the platform's table. The claims that wait in a daemon share one transaction, so that a few
//! writes a second carry many requests. A daemon that meets another's claim asks that daemon what became of it.
//! The state is driven by events; it holds no socket, clock or task.

mod answers;
mod claim;
mod claims;
mod pace;

pub use answers::StoredAnswer;
pub use claim::{ClaimId, ClaimRow, Fingerprint, HolderReply, Nonce};
pub use claims::{Batch, BatchResult, Begin, Claims, Conflict, Ending, PendingClaim, Ruling};
pub use pace::Pace;
