//! VMs follow the demand.

use std::collections::BTreeMap;

use pools::{BalanceSteps, PoolState, VmState, plan_moves};
use smol_str::{SmolStr, format_smolstr};

struct Fleet {
    pools: BTreeMap<SmolStr, PoolState>,
    vms: BTreeMap<SmolStr, VmState>,
}

impl Fleet {
    fn new() -> Self {
        let off = PoolState {
            is_standby: true,
            urgent: 0,
            wanted: 0,
        };
        Self {
            pools: BTreeMap::from([("off".into(), off)]),
            vms: BTreeMap::new(),
        }
    }

    fn with_pool(mut self, name: &str, urgent: usize, wanted: usize) -> Self {
        self.pools.insert(
            name.into(),
            PoolState {
                is_standby: false,
                urgent,
                wanted,
            },
        );
        self
    }

    fn with_vms(mut self, pool: &str, count: usize, idle_ms: Option<u64>) -> Self {
        for _ in 0..count {
            let vm = VmState {
                pool: pool.into(),
                is_of_use: true,
                is_movable: true,
                is_steady: false,
                is_reclaimed: false,
                idle_ms,
            };
            self.vms
                .insert(format_smolstr!("vm-{:02}", self.vms.len()), vm);
        }
        self
    }

    fn plan(&self) -> BalanceSteps {
        plan_moves(&self.pools, &self.vms, 20)
    }
}

fn check(name: &str, fleet: &Fleet, moves: &[(&str, &str)], reclaimed: usize) {
    let steps = fleet.plan();
    let found: Vec<_> = steps
        .moves
        .iter()
        .map(|done| (done.from.as_str(), done.to.as_str()))
        .collect();
    assert_eq!(found, moves, "{name}");
    assert_eq!(steps.reclaim.len(), reclaimed, "{name}");
}

#[test]
fn vms_go_where_work_can_still_be_on_time() {
    let turn = Fleet::new().with_pool("a", 2, 2).with_vms("off", 3, None);
    check("from standby", &turn, &[("off", "a"), ("off", "a")], 0);
    let lent = Fleet::new()
        .with_pool("a", 2, 2)
        .with_pool("b", 1, 1)
        .with_vms("b", 3, Some(400));
    check(
        "from a pool that has more than it wants",
        &lent,
        &[("b", "a"), ("b", "a")],
        0,
    );
    let fresh = Fleet::new()
        .with_pool("a", 1, 1)
        .with_pool("b", 1, 1)
        .with_vms("b", 3, Some(100));
    check("not at the first pause", &fresh, &[], 0);
    let over = Fleet::new()
        .with_pool("a", 1, 1)
        .with_vms("a", 4, Some(2000));
    check(
        "back to standby but for one",
        &over,
        &[("a", "off"), ("a", "off")],
        0,
    );
    let late = Fleet::new()
        .with_pool("a", 6, 6)
        .with_pool("b", 2, 8)
        .with_vms("b", 8, None);
    check("busy with late work for work on time", &late, &[], 6);
    let both = Fleet::new()
        .with_pool("a", 8, 8)
        .with_pool("b", 8, 8)
        .with_vms("b", 8, None);
    check("half each under overload", &both, &[], 0);
}

#[test]
fn vms_with_lasting_tasks_are_not_reclaimed() {
    let mut fleet = Fleet::new()
        .with_pool("a", 6, 6)
        .with_pool("b", 2, 8)
        .with_vms("b", 8, None);
    for vm in fleet.vms.values_mut().take(5) {
        vm.is_steady = true;
    }
    assert_eq!(fleet.plan().reclaim.len(), 3);
}

#[test]
fn a_reclaimed_vm_that_is_empty_goes_to_the_pool_that_lacks_it() {
    let mut fleet = Fleet::new()
        .with_pool("a", 6, 6)
        .with_pool("b", 2, 8)
        .with_vms("b", 8, None);
    let first = fleet.vms.values_mut().next().unwrap();
    first.is_reclaimed = true;
    first.is_of_use = false;
    first.idle_ms = Some(0);
    let steps = fleet.plan();
    assert_eq!((steps.moves.len(), steps.moves[0].to.as_str()), (1, "a"));
}

#[test]
fn a_vm_is_emptied_for_others_only_while_its_pool_can_spare_it() {
    let check = |pool: &str, expected: usize| {
        let mut fleet = Fleet::new()
            .with_pool("a", 8, 8)
            .with_pool("b", 2, 8)
            .with_vms("a", 4, None)
            .with_vms("b", 4, None);
        for vm in fleet.vms.values_mut().filter(|vm| vm.pool == pool) {
            vm.is_reclaimed = true;
            vm.is_of_use = false;
        }
        let kept = fleet.plan().reclaim;
        let of_pool = kept.iter().filter(|vm| fleet.vms[*vm].pool == pool);
        assert_eq!(of_pool.count(), expected, "emptied VMs of {pool}");
    };
    // They were moved to the pool that lacks VMs, and serve it now.
    check("a", 0);
    // No more than the other pool lacks.
    check("b", 2);
}
