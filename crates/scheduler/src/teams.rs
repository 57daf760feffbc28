//! The use of the pool by teams, and its limits.

use std::collections::HashMap;

use smol_str::SmolStr;
use submission::Resources;

use crate::scheduler::Scheduler;

/// The use of the pool by a team, and what the team could use beyond it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamDemand {
    /// The name of the team.
    pub team: SmolStr,
    /// What the team's tasks use or may use: tasks that are assigned to a worker, until their end is known.
    pub in_use: Resources,
    /// What the team's waiting tasks need that could start now.
    pub waiting: Resources,
}

impl Scheduler {
    /// Replaces the limits on what the tasks of each team may use in this pool, by team. A resource without a limit is
    /// `u32::MAX`. Teams that are not listed, and jobs without a team, have no limit.
    ///
    /// A limit below what is in use stops nothing, but no task of the team starts.
    pub fn set_team_limits(&mut self, _limits: HashMap<SmolStr, Resources>) {}

    /// Replaces the weights of the teams, by team: the shares of a pool without enough room for all.
    pub fn set_team_weights(&mut self, _weights: HashMap<SmolStr, u32>) {}

    /// Returns the demand of each team that uses the pool or waits for it, ordered by team.
    #[must_use]
    pub fn team_demand(&self) -> Vec<TeamDemand> {
        Vec::new()
    }
}
