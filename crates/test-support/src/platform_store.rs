//! The state of the platform stand-in: a table, objects, VMs, and the faults that are switched on.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use domain::VmId;
use platform::{Commit, ListedState, ListedVm, Row, RowEntry, Transaction};
use serde::{Deserialize, Serialize};

use crate::platform_tasks::PlatformTasks;

/// How long a reboot takes.
const REBOOT: Duration = Duration::from_millis(600);

/// What is wrong with the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call fails with status 503 and has no effect.
    pub outage: bool,
    /// Every call takes this much longer.
    pub delay_ms: u64,
    /// This many transactions take effect, but their answer is an error.
    pub lose_answers: u32,
    /// An outage begins when the next reboot has begun.
    pub outage_after_reboot: bool,
    /// The VM list shows the past.
    pub list_lag_ms: u64,
}

/// The state of the platform stand-in.
#[derive(Debug, Default)]
pub struct PlatformStore {
    /// What is wrong now.
    pub faults: Faults,
    rows: BTreeMap<String, Row>,
    objects: HashMap<String, String>,
    vms: BTreeMap<VmId, Vec<VmMoment>>,
    reboots: HashMap<String, u64>,
    next_version: u64,
    /// The workers' tasks.
    pub tasks: PlatformTasks,
    /// Transactions that were tried.
    pub transactions: u64,
    /// Reads of rows.
    pub reads: u64,
}

#[derive(Debug, Clone, Copy)]
struct VmMoment {
    at: Instant,
    state: ListedState,
    boots: u64,
}

impl PlatformStore {
    /// Commits a transaction if its conditions hold.
    pub fn transact(&mut self, transaction: &Transaction) -> Commit {
        self.transactions += 1;
        let version = |key: &String| self.rows.get(key).map_or(0, |row| row.version);
        let failed = transaction.conditions.iter();
        let failed: Vec<_> = failed.filter(|c| version(&c.key) != c.version).collect();
        if !failed.is_empty() {
            let rows = failed
                .into_iter()
                .map(|condition| self.entry(&condition.key));
            return Commit::Conflict {
                rows: rows.collect(),
            };
        }
        for write in &transaction.writes {
            self.next_version += 1;
            let Some(value) = &write.value else {
                self.rows.remove(&write.key);
                continue;
            };
            let row = Row {
                version: self.next_version,
                value: value.clone(),
            };
            self.rows.insert(write.key.clone(), row);
        }
        Commit::Committed
    }

    fn entry(&self, key: &str) -> RowEntry {
        RowEntry {
            key: key.into(),
            row: self.rows.get(key).cloned(),
        }
    }

    /// Reads rows.
    pub fn get(&mut self, keys: &[String]) -> Vec<Option<Row>> {
        self.reads += keys.len() as u64;
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    /// Reads the rows under a prefix, after a key.
    #[must_use]
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<RowEntry> {
        let rows = self.rows.iter();
        let rows = rows.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        rows.take(limit).map(|(key, _)| self.entry(key)).collect()
    }

    /// Stores an object.
    pub fn put_object(&mut self, name: String, text: String) {
        self.objects.insert(name, text);
    }

    /// Reads an object.
    #[must_use]
    pub fn object(&self, name: &str) -> Option<&String> {
        self.objects.get(name)
    }

    /// The VMs that have changed, as the list shows them: with its lag.
    #[must_use]
    pub fn list_vms(&self) -> Vec<ListedVm> {
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        let Some(shown_at) = Instant::now().checked_sub(lag) else {
            return Vec::new();
        };
        let listed = self.vms.iter().filter_map(|(vm, moments)| {
            let moment = moments.iter().rev().find(|moment| moment.at <= shown_at)?;
            Some(ListedVm {
                vm: vm.clone(),
                state: moment.state,
                boots: moment.boots,
            })
        });
        listed.collect()
    }

    /// Notes that a VM has come up or gone down.
    pub fn set_vm(&mut self, vm: VmId, state: ListedState) {
        let boots = self.boots(&vm);
        let at = Instant::now();
        self.vms
            .entry(vm)
            .or_default()
            .push(VmMoment { at, state, boots });
    }

    fn boots(&self, vm: &VmId) -> u64 {
        let moments = self.vms.get(vm);
        moments
            .and_then(|moments| moments.last())
            .map_or(1, |moment| moment.boots)
    }

    /// Reboots a VM, once for each `op`. Returns its number of starts after it, and whether it was the first call.
    pub fn reboot(&mut self, vm: VmId, op: String) -> (u64, bool) {
        if let Some(boots) = self.reboots.get(&op) {
            return (*boots, false);
        }
        let boots = self.boots(&vm);
        self.tasks.stop_all_on(&vm);
        let now = Instant::now();
        let moments = self.vms.entry(vm).or_default();
        moments.push(VmMoment {
            at: now,
            state: ListedState::Down,
            boots,
        });
        moments.push(VmMoment {
            at: now + REBOOT,
            state: ListedState::Live,
            boots: boots + 1,
        });
        self.reboots.insert(op, boots + 1);
        if std::mem::take(&mut self.faults.outage_after_reboot) {
            self.faults.outage = true;
        }
        (boots + 1, true)
    }

    /// How long a reboot takes.
    #[must_use]
    pub fn reboot_time(&self) -> Duration {
        REBOOT
    }
}
