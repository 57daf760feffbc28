//! The limits that the owner of a pool has accepted.

use std::collections::{BTreeMap, HashMap};

use smol_str::SmolStr;
use submission::Resources;

use crate::amounts::{fits, quota_amounts};
use crate::message::{LimitMessage, TeamLimit};

/// The limits of the teams in a pool, as the owner of the pool has accepted them from leaders.
///
/// A new owner has accepted none, so that no task of a team with a quota starts until the leader addresses its term. A
/// limit holds until the next message, so that work goes on without a leader.
#[derive(Debug, Clone)]
pub struct LimitReceiver {
    owner_term: u64,
    /// The leader's term and the number of the last accepted message.
    accepted: Option<(u64, u64)>,
    limits: BTreeMap<SmolStr, TeamLimit>,
    /// Whether a limit of the last message was dropped, so that the leader has to send all limits again.
    is_incomplete: bool,
}

impl LimitReceiver {
    /// How long after a reply of the owner a message may arrive that was sent in answer to it, in ms. Longer than a round
    /// of the leader, and short, as a new leader waits for it before it takes anything back. While the store is slow,
    /// only the later messages of a round arrive in time.
    pub const MAX_ECHO_AGE_MS: u64 = 1000;

    /// Creates the limits of an owner in its term.
    #[must_use]
    pub fn new(owner_term: u64) -> Self {
        Self {
            owner_term,
            accepted: None,
            limits: BTreeMap::new(),
            is_incomplete: false,
        }
    }

    /// The leader's term and the number of the last accepted message; `None` also once a limit of it was dropped.
    #[must_use]
    pub fn accepted(&self) -> Option<(u64, u64)> {
        self.accepted.filter(|_| !self.is_incomplete)
    }

    /// Accepts a message unless it is for another term of the owner, repeated, overtaken, too late, or contains changes to
    /// limits that were not accepted. Returns whether the limits may have changed. `now_ms` is the time on the clock whose times the
    /// owner's replies contain.
    ///
    /// ```
    /// use quota::{LimitMessage, LimitReceiver};
    /// let mut receiver = LimitReceiver::new(3);
    /// let message = LimitMessage { leader_term: 1, number: 1, owner_term: 3, echo_ms: 500, ..LimitMessage::default() };
    /// assert!(!receiver.accept(&message, 500 + LimitReceiver::MAX_ECHO_AGE_MS + 1));
    /// assert!(receiver.accept(&message, 600));
    /// assert!(!receiver.accept(&message, 601));
    /// ```
    pub fn accept(&mut self, message: &LimitMessage, now_ms: u64) -> bool {
        let id = (message.leader_term, message.number);
        let is_late = now_ms.saturating_sub(message.echo_ms) > Self::MAX_ECHO_AGE_MS;
        let is_newer = match self.accepted {
            Some(accepted) if self.is_incomplete => id >= accepted,
            Some(accepted) => id > accepted,
            None => true,
        };
        if message.owner_term != self.owner_term || is_late || !is_newer {
            return false;
        }
        match message.base {
            None => self.limits.clone_from(&message.limits),
            Some(base) if self.accepted() == Some((message.leader_term, base)) => {
                let changes = message.limits.iter();
                self.limits
                    .extend(changes.map(|(team, limit)| (team.clone(), *limit)));
            }
            Some(_) => return false,
        }
        self.accepted = Some(id);
        self.is_incomplete = false;
        true
    }

    /// Drops the limit of a team that has no quota in the owner's configuration any more.
    pub fn drop_limit(&mut self, team: &str) {
        self.is_incomplete |= self.limits.remove(team).is_some();
    }

    /// Returns the limits in force, by team: those accepted, and nothing for teams with a quota of which no limit was
    /// accepted. `quotas` are those of the owner's configuration, by team. Where a quota is lower than the one
    /// that a limit is a part of, nothing starts until the leader has applied the lower quota.
    #[must_use]
    pub fn limits(&self, quotas: &BTreeMap<SmolStr, Resources>) -> HashMap<SmolStr, Resources> {
        let nothing = Resources::default();
        let mut limits: HashMap<_, _> = quotas.keys().map(|team| (team.clone(), nothing)).collect();
        for (team, accepted) in &self.limits {
            let quota = quotas.get(team).copied().unwrap_or(accepted.quota);
            let is_within = fits(quota_amounts(accepted.quota), quota_amounts(quota));
            limits.insert(
                team.clone(),
                if is_within { accepted.limit } else { nothing },
            );
        }
        limits
    }
}
