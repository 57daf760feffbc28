//! The messages between the leader and the owners of pools.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use submission::Resources;

/// The limit of a team in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLimit {
    /// The quota that the limit is a part of; 0 for a resource without a limit.
    pub quota: Resources,
    /// What the team's tasks may use in the pool; `u32::MAX` for a resource without a limit.
    pub limit: Resources,
}

/// The leader's message to the owner of a pool: the limits of the teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// The term of the leader.
    pub leader_term: u64,
    /// The number of the message; grows with every change of the limits, within the leader's term.
    pub number: u64,
    /// The number of the message that the limits are changes to; `None` when the limits are those of all teams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// The term of the owner that the message is for; 0 while the leader does not know the owner's term.
    pub owner_term: u64,
    /// The owner's time in the last reply that the leader has received from it, in ms.
    pub echo_ms: u64,
    /// The limits of the teams, by team.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub limits: BTreeMap<SmolStr, TeamLimit>,
}

/// The use of a pool by a team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// What the team's tasks use or may use.
    pub in_use: Resources,
    /// What the team's waiting tasks need that could start now.
    #[serde(default)]
    pub waiting: Resources,
}

/// The reply of the owner of a pool to the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReply {
    /// The term of the owner.
    pub owner_term: u64,
    /// The owner's time, in ms. Only the owner compares it.
    pub now_ms: u64,
    /// The leader's term and the number of the last message that the owner has accepted. Nothing starts above its limits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<(u64, u64)>,
    /// The use of the pool after that message was accepted, by team. Teams that neither use the pool nor wait are left out.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub usage: BTreeMap<SmolStr, TeamUsage>,
}
