//! Whom a request comes from, and which jobs it may concern.

use smol_str::SmolStr;

/// Whom a request comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// Callers need no keys, or a daemon that does not check them forwards the request.
    Unchecked,
    /// A caller without a team, on a public queue.
    Anonymous,
    /// A caller with a key of this team.
    Team(SmolStr),
}

impl Caller {
    /// Whether the caller may read, cancel or repeat a job of a team; empty for a job without a team, which is open to
    /// all.
    ///
    /// ```
    /// use access::Caller;
    /// let caller = Caller::Team("a".into());
    /// assert!(caller.may_access("a") && caller.may_access(""));
    /// assert!(!caller.may_access("b"));
    /// assert!(!Caller::Anonymous.may_access("a"));
    /// ```
    #[must_use]
    pub fn may_access(&self, job_team: &str) -> bool {
        match self {
            Self::Unchecked => true,
            Self::Anonymous => job_team.is_empty(),
            Self::Team(team) => job_team.is_empty() || team == job_team,
        }
    }

    /// The team of the jobs that the caller submits; empty for none.
    #[must_use]
    pub fn team(&self) -> &str {
        match self {
            Self::Unchecked | Self::Anonymous => "",
            Self::Team(team) => team,
        }
    }

    /// The caller as an optional parameter of a call between daemons: absent when the called daemon has nothing to check,
    /// and empty for a caller without a team.
    #[must_use]
    pub fn to_parameter(&self) -> Option<SmolStr> {
        match self {
            Self::Unchecked => None,
            Self::Anonymous => Some(SmolStr::default()),
            Self::Team(team) => Some(team.clone()),
        }
    }

    /// The caller that [`Caller::to_parameter`] has encoded.
    ///
    /// ```
    /// use access::Caller;
    /// for caller in [Caller::Unchecked, Caller::Anonymous, Caller::Team("a".into())] {
    ///     assert_eq!(Caller::from_parameter(caller.to_parameter()), caller);
    /// }
    /// ```
    #[must_use]
    pub fn from_parameter(team: Option<SmolStr>) -> Self {
        match team {
            None => Self::Unchecked,
            Some(team) if team.is_empty() => Self::Anonymous,
            Some(team) => Self::Team(team),
        }
    }
}
