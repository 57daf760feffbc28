//! The limits of teams in a pool: messages of the leader, the quotas of the configuration, gauges and logs.

use std::collections::{BTreeMap, HashMap};

use quota::{LimitMessage, LimitReceiver, TeamUsage, UsageReply};
use scheduler::{Scheduler, TeamDemand};
use smol_str::SmolStr;
use submission::Resources;

use crate::config::{team_quotas, team_weights};
use crate::metrics::Metrics;
use crate::pool::PoolOwner;

/// How old the last committed transaction may be for the use of the pool to be told to the leader, in ms. With an older one, a
/// successor may have been told higher limits by an earlier leader. Longer than the renewal period of owners without work,
/// and shorter than a new leader waits after the last message of an earlier one.
const MAX_RECORDED_AGE_MS: u64 = LimitReceiver::MAX_ECHO_AGE_MS + 200;

/// How often it is logged at most that teams wait because of their limits, in ms.
const WAITING_LOG_PERIOD_MS: u64 = 5000;

/// How many teams a log line names at most.
const MAX_LOGGED_TEAMS: usize = 5;

/// The limits of teams in a pool, as far as this owner knows them.
#[derive(Debug)]
pub(super) struct TeamLimits {
    receiver: LimitReceiver,
    /// The epoch of the applied configuration; `None` before the first.
    epoch: Option<u64>,
    /// The quotas of the applied configuration, by team.
    quotas: BTreeMap<SmolStr, Resources>,
    /// The limits that the scheduler applies, by team.
    applied: HashMap<SmolStr, Resources>,
    /// The local time of the last log line on waiting teams, in ms.
    waiting_logged_at_ms: u64,
}

impl TeamLimits {
    pub(super) fn new(term: u64) -> Self {
        Self {
            receiver: LimitReceiver::new(term),
            epoch: None,
            quotas: BTreeMap::new(),
            applied: HashMap::new(),
            waiting_logged_at_ms: 0,
        }
    }

    fn apply(&mut self, scheduler: &mut Scheduler) {
        let limits = self.receiver.limits(&self.quotas);
        if limits != self.applied {
            scheduler.set_team_limits(limits.clone());
            self.applied = limits;
        }
    }

    /// Sets the gauges of the teams with a limit.
    fn set_gauges(&self, metrics: &Metrics, pool: &str, demand: &[TeamDemand]) {
        for (team, limit) in &self.applied {
            let demand = demand.iter().find(|demand| demand.team == *team);
            let in_use = demand.map_or(0, |demand| demand.in_use.cpu_milli);
            let waiting = demand.map_or(0, |demand| demand.waiting.cpu_milli);
            let values = [limit.cpu_milli, in_use, waiting];
            metrics.teams.set(pool, team, values);
        }
    }

    /// Removes the gauges of a pool that this daemon no longer owns.
    pub(super) fn remove_gauges(&self, metrics: &Metrics, pool: &str) {
        for team in self.applied.keys() {
            metrics.teams.remove(pool, team);
        }
    }

    /// Logs which teams wait although they may not use more, unless that was logged recently.
    fn log_waiting_teams(&mut self, pool: &str, demand: &[TeamDemand], now_ms: u64) {
        if now_ms.saturating_sub(self.waiting_logged_at_ms) < WAITING_LOG_PERIOD_MS {
            return;
        }
        let waiting = demand.iter().filter_map(|demand| {
            let limit = self.applied.get(&demand.team)?;
            let used = demand.in_use.saturating_add(demand.waiting);
            (demand.waiting != Resources::default() && !used.fits(*limit)).then(|| {
                let (in_use, limit) = (demand.in_use.cpu_milli, limit.cpu_milli);
                format!("{}: {in_use} of {limit} mcpu", demand.team)
            })
        });
        let mut waiting: Vec<_> = waiting.collect();
        if waiting.is_empty() {
            return;
        }
        self.waiting_logged_at_ms = now_ms;
        let count = waiting.len();
        waiting.truncate(MAX_LOGGED_TEAMS);
        tracing::info!(pool, count, teams = ?waiting, "tasks of teams wait because of their limits in the pool");
    }
}

impl PoolOwner {
    /// Gives the scheduler the limits and weights of teams when the active configuration has changed. Returns false, and nothing may
    /// be planned, while there is no configuration, as the limits are unknown then.
    pub(super) fn apply_teams(&self, scheduler: &mut Scheduler) -> bool {
        let Some(document) = self.node.active_config.get() else {
            return false;
        };
        let mut team_limits = self.team_limits.lock();
        if team_limits.epoch != Some(document.epoch) {
            team_limits.epoch = Some(document.epoch);
            let previous = std::mem::replace(&mut team_limits.quotas, team_quotas(&document));
            for team in previous.into_keys() {
                if !team_limits.quotas.contains_key(&team) {
                    team_limits.receiver.drop_limit(&team);
                }
            }
            scheduler.set_team_weights(team_weights(&document));
            team_limits.apply(scheduler);
        }
        true
    }

    /// Applies a message of the leader on the limits of teams, and returns the use of the pool by the teams with a limit. `None`
    /// while this daemon may have been deposed.
    pub(super) fn exchange_limits(
        &self,
        scheduler: &mut Scheduler,
        message: &LimitMessage,
        now_ms: u64,
    ) -> Option<UsageReply> {
        self.apply_teams(scheduler);
        let pool = self.pool.as_str();
        let mut team_limits = self.team_limits.lock();
        if team_limits.receiver.accept(message, now_ms) {
            team_limits.apply(scheduler);
            let (leader_term, number) = (message.leader_term, message.number);
            let changed = message.limits.len();
            tracing::info!(
                pool,
                leader_term,
                number,
                changed,
                "limits of teams changed"
            );
        }
        let demand = scheduler.team_demand();
        team_limits.set_gauges(&self.node.metrics, pool, &demand);
        team_limits.log_waiting_teams(pool, &demand, now_ms);
        if self.has_ended() || self.lease.lock().age_ms(now_ms) > MAX_RECORDED_AGE_MS {
            return None;
        }
        let demand = demand.into_iter();
        let limited = demand.filter(|demand| team_limits.applied.contains_key(&demand.team));
        let usage = limited.map(|demand| {
            let usage = TeamUsage {
                in_use: demand.in_use,
                waiting: demand.waiting,
            };
            (demand.team, usage)
        });
        Some(UsageReply {
            owner_term: self.term,
            now_ms,
            accepted: team_limits.receiver.accepted(),
            usage: usage.collect(),
        })
    }
}
