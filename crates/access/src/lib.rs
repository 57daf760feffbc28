//! Decides whether a request of a caller may be handled, by the key that the request carries.
//!
//! The load: requests on long-lived connections, thousands a second in the fleet, while operators add and revoke keys. A
//! request costs one lookup in an index that is built once for each configuration; no call leaves the daemon.

mod caller;
mod keys;

pub use caller::Caller;
pub use keys::{AccessRequest, AccessRules, Keys, Refusal};
