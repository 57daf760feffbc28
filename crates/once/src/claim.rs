//! A claim, its row in the table, and what its holder says of it.

use domain::{Incarnation, ServiceId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::answers::StoredAnswer;

/// Names a claim: the key is the caller's and counts within one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The service that the request is for.
    pub service: ServiceId,
    /// The caller's idempotency key.
    pub key: SmolStr,
}

impl ClaimId {
    /// The claim's key in the platform's table.
    ///
    /// ```
    /// use domain::ServiceId;
    /// let id = once::ClaimId { service: ServiceId::new("parts").unwrap(), key: "order-7".into() };
    /// assert_eq!(id.row_key(), "claim/parts/order-7");
    /// ```
    #[must_use]
    pub fn row_key(&self) -> String {
        format!("claim/{}/{}", self.service, self.key)
    }
}

/// A digest of the request, to tell a resend from another request that reuses the key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub SmolStr);

/// Tells the claims that one incarnation makes apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

/// The row `claim/<service>/<key>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The daemon's run that holds the claim.
    pub holder: Incarnation,
    /// Which of that run's claims it is.
    pub nonce: Nonce,
    /// The request that it is for.
    pub fingerprint: Fingerprint,
    /// When it was made, in seconds since 1970 by the holder's clock; only its removal looks at it.
    pub claimed_at_s: u64,
}

/// What a claim's holder says of it to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum HolderReply {
    /// The request is running.
    Running,
    /// It ran, and this was its answer.
    Answered {
        /// The answer.
        answer: StoredAnswer,
    },
    /// It ran or may have run, and the answer is not kept.
    Spent,
    /// It was never sent and, as far as this holder goes, never will be.
    Released,
    /// The asked daemon is not the run that made the claim, or no longer knows of it.
    NotHolder,
}
