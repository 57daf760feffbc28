//! Leaders and owners that are replaced, paused and cut off, messages that are lost, late and repeated, and changes of the
//! quota that reach daemons at different times: no start brings what runs above the highest quota that may be in force.

use std::collections::BTreeMap;

use quota::{Allocation, LimitMessage, LimitReceiver, TeamRow, TeamUsage, UsageReply};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use submission::Resources;

const STEP_MS: u64 = 50;
/// How long after its last renewal a leader sends messages.
const LEASE_MS: u64 = 1500;
/// An owner replies only when its last transaction is not older.
const RECORDED_AGE_MS: u64 = LimitReceiver::MAX_ECHO_AGE_MS + 200;
const TEAM: SmolStr = SmolStr::new_static("t");
const POOLS: [&str; 3] = ["a", "b", "c"];

fn cpu(cpu_milli: u32) -> Resources {
    Resources {
        cpu_milli,
        ..Resources::default()
    }
}

fn quotas(cpu_milli: u32) -> BTreeMap<SmolStr, Resources> {
    BTreeMap::from([(TEAM, cpu(cpu_milli))])
}

struct Owner {
    pool: usize,
    receiver: LimitReceiver,
    term: u64,
    in_use: u32,
    config: usize,
    replaced_at_ms: Option<u64>,
    paused_until_ms: u64,
}

struct Leader {
    term: u64,
    allocation: Allocation,
    config: usize,
    replaced_at_ms: Option<u64>,
    paused_until_ms: u64,
    /// The last call to each pool.
    calls: [u64; 3],
}

struct Call {
    leader_term: u64,
    id: u64,
    owner_term: u64,
    pool: usize,
    message: LimitMessage,
    arrives_at_ms: u64,
    reply: Option<(UsageReply, u64)>,
}

struct Fleet {
    random: StdRng,
    now_ms: u64,
    /// The quota of each version of the configuration.
    configs: Vec<u32>,
    rows: BTreeMap<SmolStr, TeamRow>,
    owners: Vec<Owner>,
    leaders: Vec<Leader>,
    calls: Vec<Call>,
    /// What the tasks of each pool use.
    running: [u32; 3],
    waiting: [u32; 3],
    last_call: u64,
    is_calm: bool,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Self {
            random: StdRng::seed_from_u64(seed),
            now_ms: 10_000,
            configs: vec![1000],
            rows: BTreeMap::new(),
            owners: Vec::new(),
            leaders: Vec::new(),
            calls: Vec::new(),
            running: [0; 3],
            waiting: [0; 3],
            last_call: 0,
            is_calm: false,
        };
        fleet.replace_leader();
        (0..3).for_each(|pool| fleet.replace_owner(pool));
        fleet
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        !self.is_calm && self.random.random_ratio(per_mille, 1000)
    }

    fn replace_owner(&mut self, pool: usize) {
        let now_ms = self.now_ms;
        let mut term = 1;
        for owner in self.owners.iter_mut().filter(|owner| owner.pool == pool) {
            owner.replaced_at_ms.get_or_insert(now_ms);
            term += 1;
        }
        self.owners.push(Owner {
            pool,
            receiver: LimitReceiver::new(term),
            term,
            in_use: self.running[pool],
            config: self.configs.len() - 1,
            replaced_at_ms: None,
            paused_until_ms: 0,
        });
    }

    fn replace_leader(&mut self) {
        let now_ms = self.now_ms;
        let is_first = self.leaders.is_empty();
        for leader in &mut self.leaders {
            leader.replaced_at_ms.get_or_insert(now_ms);
        }
        let term = self.leaders.len() as u64 + 1;
        let wait_ms = LEASE_MS + LimitReceiver::MAX_ECHO_AGE_MS + 250;
        let lower_from_ms = if is_first { 0 } else { now_ms + wait_ms };
        self.leaders.push(Leader {
            term,
            allocation: Allocation::new(term, self.rows.clone(), lower_from_ms),
            config: self.configs.len() - 1,
            replaced_at_ms: None,
            paused_until_ms: 0,
            calls: [0; 3],
        });
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        if self.chance(6) {
            self.replace_leader();
        }
        if self.chance(30) {
            let pool = self.random.random_range(0..3);
            self.replace_owner(pool);
        }
        if self.chance(4) {
            let quota = *[1000, 900, 400, 100, 1500]
                .choose(&mut self.random)
                .unwrap();
            self.configs.push(quota);
        }
        if self.chance(20) || self.is_calm {
            let peak = self.random.random_range(0..3);
            self.waiting = [20; 3];
            self.waiting[peak] = 2000;
        }
        self.learn_and_pause();
        self.deliver();
        for index in 0..self.leaders.len() {
            if self.random.random_ratio(1, 4) {
                self.run_round(index);
            }
        }
        self.end_tasks();
        self.start_tasks();
    }

    fn learn_and_pause(&mut self) {
        let (now_ms, last) = (self.now_ms, self.configs.len() - 1);
        let pause = |random: &mut StdRng, until_ms: &mut u64, is_calm: bool| {
            if !is_calm && random.random_ratio(1, 200) {
                *until_ms = now_ms + random.random_range(0..5000);
            }
        };
        for owner in &mut self.owners {
            pause(&mut self.random, &mut owner.paused_until_ms, self.is_calm);
            if owner.paused_until_ms <= now_ms && self.random.random_ratio(1, 10) {
                owner.config = last;
            }
        }
        for leader in &mut self.leaders {
            pause(&mut self.random, &mut leader.paused_until_ms, self.is_calm);
            if leader.paused_until_ms <= now_ms && self.random.random_ratio(1, 10) {
                leader.config = last;
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        for index in 0..self.calls.len() {
            let call = &mut self.calls[index];
            if call.arrives_at_ms == now_ms {
                let mut owners = self.owners.iter_mut();
                let owner = owners
                    .find(|owner| owner.pool == call.pool && owner.term == call.owner_term)
                    .filter(|owner| owner.paused_until_ms <= now_ms);
                let Some(owner) = owner else { continue };
                owner.receiver.accept(&call.message, now_ms);
                let recorded_at_ms = owner.replaced_at_ms.unwrap_or(now_ms);
                if now_ms - recorded_at_ms > RECORDED_AGE_MS {
                    continue;
                }
                let usage = TeamUsage {
                    in_use: cpu(owner.in_use),
                    waiting: cpu(self.waiting[owner.pool]),
                };
                let reply = UsageReply {
                    owner_term: owner.term,
                    now_ms,
                    accepted: owner.receiver.accepted(),
                    usage: BTreeMap::from([(TEAM, usage)]),
                };
                let is_late = !self.is_calm && self.random.random_ratio(1, 20);
                let delay_ms = if is_late { STEP_MS * 30 } else { STEP_MS };
                call.reply = Some((reply, now_ms + delay_ms));
            }
            if let Some((reply, at_ms)) = &call.reply
                && *at_ms == now_ms
            {
                let leader = &mut self.leaders[usize::try_from(call.leader_term).unwrap() - 1];
                if leader.calls[call.pool] == call.id {
                    leader.allocation.record_reply(POOLS[call.pool], reply);
                }
            }
        }
        self.calls.retain(|call| {
            let replies_at_ms = call.reply.as_ref().map_or(0, |(_, at_ms)| *at_ms);
            call.arrives_at_ms.max(replies_at_ms) > now_ms
        });
    }

    /// A round of a leader: it plans, writes rows if no other leader has begun, and calls the owners.
    fn run_round(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let leader = &mut self.leaders[index];
        if leader.paused_until_ms > now_ms {
            return;
        }
        let quotas = quotas(self.configs[leader.config]);
        let pools = POOLS.map(SmolStr::new_static);
        leader.allocation.configure(quotas, pools);
        let changes = leader.allocation.plan(now_ms);
        let is_store_down = !self.is_calm && self.random.random_ratio(1, 10);
        if leader.replaced_at_ms.is_none() && !is_store_down {
            self.rows.extend(changes.writes.clone());
            leader.allocation.apply(changes);
        }
        for (pool, name) in POOLS.into_iter().enumerate() {
            let message = leader.allocation.next_message(name).unwrap();
            let is_lease_valid = leader
                .replaced_at_ms
                .is_none_or(|at_ms| now_ms < at_ms + LEASE_MS);
            if !is_lease_valid {
                continue;
            }
            self.last_call += 1;
            leader.calls[pool] = self.last_call;
            // A deposed owner may be called for a while.
            let owners = self.owners.iter().filter(|owner| owner.pool == pool);
            let known = owners.rev().take(if self.is_calm { 1 } else { 2 });
            let known: Vec<_> = known.map(|owner| owner.term).collect();
            let owner_term = if self.random.random_ratio(9, 10) {
                known[0]
            } else {
                *known.choose(&mut self.random).unwrap()
            };
            let copies = match self.random.random_range(0..20) {
                _ if self.is_calm => 1,
                0 => 0,
                1 => 2,
                _ => 1,
            };
            for copy in 0..copies {
                let is_late = copy > 0 || (!self.is_calm && self.random.random_ratio(1, 10));
                let steps = if is_late {
                    self.random.random_range(1..80)
                } else {
                    1
                };
                self.calls.push(Call {
                    leader_term: leader.term,
                    id: self.last_call,
                    owner_term,
                    pool,
                    message: message.clone(),
                    arrives_at_ms: now_ms + steps * STEP_MS,
                    reply: None,
                });
            }
        }
    }

    fn end_tasks(&mut self) {
        for pool in 0..3 {
            if self.random.random_ratio(1, 4) {
                let ended = self.running[pool].min(self.random.random_range(0..100));
                self.running[pool] -= ended;
                let mut owners = self.owners.iter_mut().filter(|owner| owner.pool == pool);
                if let Some(owner) = owners.next_back() {
                    owner.in_use -= ended;
                }
            }
        }
    }

    /// Starts what the owners' limits allow. A replaced owner can record no start.
    fn start_tasks(&mut self) {
        let now_ms = self.now_ms;
        let owners = self
            .owners
            .iter()
            .filter(|owner| owner.replaced_at_ms.is_none());
        let leaders = self
            .leaders
            .iter()
            .filter(|leader| leader.replaced_at_ms.is_none());
        let known = owners
            .map(|owner| owner.config)
            .chain(leaders.map(|leader| leader.config));
        let oldest = known.min().unwrap();
        let highest = *self.configs[oldest..].iter().max().unwrap();
        for owner in &mut self.owners {
            if owner.replaced_at_ms.is_some() || owner.paused_until_ms > now_ms {
                continue;
            }
            let limits = owner.receiver.limits(&quotas(self.configs[owner.config]));
            let room = limits[&TEAM].cpu_milli.saturating_sub(owner.in_use);
            let started = room.min(self.waiting[owner.pool]);
            if started > 0 {
                owner.in_use += started;
                self.running[owner.pool] += started;
                let total: u32 = self.running.iter().sum();
                assert!(total <= highest, "{now_ms} ms: {total} of {highest} runs");
            }
        }
    }
}

#[test]
fn starts_stay_within_the_quota_through_handovers_and_changes() {
    for seed in 0..150 {
        let mut fleet = Fleet::new(seed);
        for _ in 0..1200 {
            fleet.step();
        }
        // Once nothing fails any more, the pool that peaks gets nearly all.
        fleet.is_calm = true;
        let quota = *fleet.configs.last().unwrap();
        let mut most = 0;
        for _ in 0..400 {
            fleet.step();
            most = most.max(fleet.running.iter().sum());
        }
        assert!(
            most > quota * 8 / 10,
            "seed {seed}: {most} of {quota} in use"
        );
    }
}
