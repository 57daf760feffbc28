//! The keys of a configuration, and the decision about a request.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;

use smol_str::SmolStr;

use crate::Caller;

/// The part of the revocation time that is kept as a margin, as a divisor: the local clock may run slower than that of
/// the operators by a hundredth, many times the drift of a quartz clock.
const DRIFT_MARGIN_DIVISOR: u64 = 100;

/// The highest age of the configuration, in ms, at which a key counts as unknown. Keys that operators add have to be valid
/// within 3 s; a configuration that is confirmed every second is younger than this.
const MAX_AGE_FOR_UNKNOWN_KEY_MS: u64 = 2000;

/// What a deployment requires of callers' keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccessRules {
    /// Whether callers need a key even under a configuration without teams.
    pub are_keys_required: bool,
    /// How long after its revocation a key may still be used, in ms; none where keys are used whatever the age of the
    /// configuration.
    pub revocation_ms: Option<u64>,
}

/// What the decision about a request depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccessRequest<'a> {
    /// Whether the queue is open to callers without a key.
    pub is_public: bool,
    /// The key that the request carries.
    pub key: Option<&'a str>,
    /// How long before the check the read was sent that last confirmed the configuration, in ms; none before the first.
    pub config_age_ms: Option<u64>,
}

/// Why a request is refused. It has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request carries no key.
    NoKey,
    /// No team has the key.
    UnknownKey,
    /// The configuration is so old that the key may have been revoked, or added, since.
    StaleConfig,
}

impl Refusal {
    /// The name of the refusal in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::StaleConfig => "stale_config",
        }
    }
}

/// The keys of the teams of a configuration.
#[derive(Clone, Default)]
pub struct Keys {
    teams_by_key: HashMap<SmolStr, SmolStr>,
    has_teams: bool,
    duplicates: usize,
}

impl fmt::Debug for Keys {
    /// Leaves out the keys, which are secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys")
            .field("keys", &self.teams_by_key.len())
            .field("has_teams", &self.has_teams)
            .finish_non_exhaustive()
    }
}

impl Keys {
    /// Creates the index of the keys of teams. An empty key is no key. A key that several teams list belongs to the first
    /// of them.
    ///
    /// ```
    /// use access::{AccessRequest, AccessRules, Caller, Keys, Refusal};
    /// let keys = Keys::new([("a", ["k1".into()].as_slice())]);
    /// let rules = AccessRules { are_keys_required: true, revocation_ms: Some(5000) };
    /// let request = AccessRequest { is_public: false, key: Some("k1"), config_age_ms: Some(900) };
    /// assert_eq!(keys.decide(rules, request), Ok(Caller::Team("a".into())));
    /// let late = AccessRequest { config_age_ms: Some(5000), ..request };
    /// assert_eq!(keys.decide(rules, late), Err(Refusal::StaleConfig));
    /// ```
    #[must_use]
    pub fn new<'a>(teams: impl IntoIterator<Item = (&'a str, &'a [SmolStr])>) -> Self {
        let mut index = Self::default();
        for (name, keys) in teams {
            index.has_teams = true;
            let team = SmolStr::from(name);
            for key in keys.iter().filter(|key| !key.is_empty()) {
                match index.teams_by_key.entry(key.clone()) {
                    Entry::Vacant(entry) => {
                        entry.insert(team.clone());
                    }
                    Entry::Occupied(entry) if *entry.get() != team => index.duplicates += 1,
                    Entry::Occupied(_) => {}
                }
            }
        }
        index
    }

    /// How often a team lists a key that belongs to an earlier team.
    #[must_use]
    pub fn duplicates(&self) -> usize {
        self.duplicates
    }

    /// Decides whether a request may be handled, and for whom. Without teams, and unless the rules require keys, all
    /// requests may.
    ///
    /// # Strict revocation
    /// A request that is checked at R was sent no later than R. The configuration holds all that operators had changed
    /// before the read was sent that confirmed it, at C. While R - C is below the time that a revocation may take, a
    /// request that was sent this time after the revocation is checked with a configuration without the key. The
    /// argument needs no bound on the delay of messages, and holds for a process that was paused before the check; it is
    /// that of leases (Gray and Cheriton, 1989), with the local clock as the only one.
    ///
    /// # Errors
    /// The reason why the request is refused.
    pub fn decide(
        &self,
        rules: AccessRules,
        request: AccessRequest<'_>,
    ) -> Result<Caller, Refusal> {
        if !self.has_teams && !rules.are_keys_required {
            return Ok(Caller::Unchecked);
        }
        if request.is_public {
            return Ok(Caller::Anonymous);
        }
        let team = request.key.and_then(|key| self.teams_by_key.get(key));
        let max_age_ms = match team {
            Some(_) => rules.revocation_ms.map_or(u64::MAX, |bound_ms| {
                bound_ms - bound_ms / DRIFT_MARGIN_DIVISOR
            }),
            None => MAX_AGE_FOR_UNKNOWN_KEY_MS,
        };
        if request
            .config_age_ms
            .is_none_or(|age_ms| age_ms >= max_age_ms)
        {
            return Err(Refusal::StaleConfig);
        }
        match team {
            Some(team) => Ok(Caller::Team(team.clone())),
            None if request.key.is_none() => Err(Refusal::NoKey),
            None => Err(Refusal::UnknownKey),
        }
    }
}
