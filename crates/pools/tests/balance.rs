//! VMs move to the pools whose demand needs them, and idle VMs are released.

use std::collections::BTreeMap;

use pools::{PoolState, RebalancePlan, VmState, plan_rebalance};
use smol_str::{SmolStr, format_smolstr};

struct Fleet {
    pools: BTreeMap<SmolStr, PoolState>,
    vms: BTreeMap<SmolStr, VmState>,
}

impl Fleet {
    fn new() -> Self {
        let off = PoolState {
            is_standby: true,
            service_demand_vms: 0,
            urgent_demand_vms: 0,
            total_demand_vms: 0,
        };
        Self {
            pools: BTreeMap::from([("off".into(), off)]),
            vms: BTreeMap::new(),
        }
    }

    fn with_pool(mut self, name: &str, urgent_demand_vms: usize, total_demand_vms: usize) -> Self {
        self.pools.insert(
            name.into(),
            PoolState {
                is_standby: false,
                service_demand_vms: 0,
                urgent_demand_vms,
                total_demand_vms,
            },
        );
        self
    }

    fn with_service_demand(mut self, pool: &str, service_demand_vms: usize) -> Self {
        self.pools
            .entry(pool.into())
            .and_modify(|state| state.service_demand_vms = service_demand_vms);
        self
    }

    fn with_vms(mut self, pool: &str, count: usize, idle_ms: Option<u64>) -> Self {
        for _ in 0..count {
            let vm = VmState {
                pool: pool.into(),
                is_usable: true,
                is_movable: true,
                runs_service_tasks: false,
                is_being_reclaimed: false,
                idle_ms,
            };
            self.vms
                .insert(format_smolstr!("vm-{:02}", self.vms.len()), vm);
        }
        self
    }

    fn plan(&self) -> RebalancePlan {
        plan_rebalance(&self.pools, &self.vms, 20)
    }
}

fn check_plan(name: &str, fleet: &Fleet, moves: &[(&str, &str)], reclaimed: usize) {
    let plan = fleet.plan();
    let found: Vec<_> = plan
        .moves
        .iter()
        .map(|planned| (planned.from.as_str(), planned.to.as_str()))
        .collect();
    assert_eq!(found, moves, "{name}");
    assert_eq!(plan.reclaim.len(), reclaimed, "{name}");
}

#[test]
fn vms_move_to_pools_whose_work_can_meet_its_latency_objective() {
    let with_standby = Fleet::new().with_pool("a", 2, 2).with_vms("off", 3, None);
    check_plan(
        "from standby",
        &with_standby,
        &[("off", "a"), ("off", "a")],
        0,
    );
    let with_surplus = Fleet::new()
        .with_pool("a", 2, 2)
        .with_pool("b", 1, 1)
        .with_vms("b", 3, Some(400));
    check_plan(
        "from a pool with a surplus",
        &with_surplus,
        &[("b", "a"), ("b", "a")],
        0,
    );
    let briefly_idle = Fleet::new()
        .with_pool("a", 1, 1)
        .with_pool("b", 1, 1)
        .with_vms("b", 3, Some(100));
    check_plan("not after a short idle time", &briefly_idle, &[], 0);
    let long_idle = Fleet::new()
        .with_pool("a", 1, 1)
        .with_vms("a", 4, Some(2000));
    check_plan(
        "release to standby of all surplus VMs",
        &long_idle,
        &[("a", "off"), ("a", "off"), ("a", "off")],
        0,
    );
    let past_latest_start = Fleet::new()
        .with_pool("a", 6, 6)
        .with_pool("b", 2, 8)
        .with_vms("b", 8, None);
    check_plan(
        "reclaim from work past its latest start",
        &past_latest_start,
        &[],
        6,
    );
    let overloaded = Fleet::new()
        .with_pool("a", 8, 8)
        .with_pool("b", 8, 8)
        .with_vms("b", 8, None);
    check_plan("half of the VMs each under overload", &overloaded, &[], 0);
}

#[test]
fn vms_with_service_tasks_are_not_reclaimed() {
    let mut fleet = Fleet::new()
        .with_pool("a", 6, 6)
        .with_pool("b", 2, 8)
        .with_vms("b", 8, None);
    for vm in fleet.vms.values_mut().take(5) {
        vm.runs_service_tasks = true;
    }
    assert_eq!(fleet.plan().reclaim.len(), 3);
}

#[test]
fn a_reclaimed_vm_moves_to_the_pool_with_a_shortage_once_drained() {
    let mut fleet = Fleet::new()
        .with_pool("a", 6, 6)
        .with_pool("b", 2, 8)
        .with_vms("b", 8, None);
    let first = fleet.vms.values_mut().next().unwrap();
    first.is_being_reclaimed = true;
    first.is_usable = false;
    first.idle_ms = Some(0);
    let plan = fleet.plan();
    assert_eq!((plan.moves.len(), plan.moves[0].to.as_str()), (1, "a"));
}

#[test]
fn a_vm_is_drained_for_other_pools_only_while_its_pool_has_a_surplus() {
    let check_drained = |pool: &str, expected: usize| {
        let mut fleet = Fleet::new()
            .with_pool("a", 8, 8)
            .with_pool("b", 2, 8)
            .with_vms("a", 4, None)
            .with_vms("b", 4, None);
        for vm in fleet.vms.values_mut().filter(|vm| vm.pool == pool) {
            vm.is_being_reclaimed = true;
            vm.is_usable = false;
        }
        let reclaim = fleet.plan().reclaim;
        let of_pool = reclaim.iter().filter(|vm| fleet.vms[*vm].pool == pool);
        assert_eq!(of_pool.count(), expected, "drained VMs of {pool}");
    };
    // The VMs were moved to the pool with the shortage, and run its tasks now.
    check_drained("a", 0);
    // No more VMs are drained than the other pool lacks.
    check_drained("b", 2);
}

#[test]
fn a_peak_in_one_pool_leaves_the_other_pools_the_vms_for_their_service_tasks() {
    // The first pool's work needs three times the whole fleet, and its VMs are all busy.
    let fleet = Fleet::new()
        .with_pool("a", 270, 300)
        .with_pool("b", 5, 5)
        .with_service_demand("b", 5)
        .with_vms("a", 88, None)
        .with_vms("b", 2, None);
    check_plan("busy VMs are drained", &fleet, &[], 3);
    let with_idle = fleet.with_vms("a", 2, Some(300));
    check_plan(
        "idle VMs move first",
        &with_idle,
        &[("a", "b"), ("a", "b")],
        1,
    );
}

#[test]
fn a_pool_short_of_vms_for_service_tasks_is_served_before_the_largest_shortage() {
    let fleet = Fleet::new()
        .with_pool("a", 40, 40)
        .with_pool("b", 2, 2)
        .with_service_demand("b", 2)
        .with_vms("off", 3, None);
    check_plan(
        "standby VMs go to service tasks first",
        &fleet,
        &[("off", "b"), ("off", "b"), ("off", "a")],
        0,
    );
}
