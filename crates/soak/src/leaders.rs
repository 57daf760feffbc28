//! The commands that leaders sent to VMs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use platform_stand_in::VmCommandRecord;

/// How far the commands of two leaders to one VM are apart: `steward_gap_ms` in the daemons' settings.
const LEADER_GAP: Duration = Duration::from_secs(3);

/// The pairs of commands to one VM that two leaders sent within the gap, with one term, or with a lower term after a higher
/// one. Times are given from `start`.
#[must_use]
pub fn leader_findings(commands: &[VmCommandRecord], start: Instant) -> Vec<String> {
    let mut by_vm: BTreeMap<&str, Vec<&VmCommandRecord>> = BTreeMap::new();
    for command in commands {
        by_vm.entry(&command.vm).or_default().push(command);
    }
    let pairs = by_vm.values().flat_map(|commands| commands.windows(2));
    let findings = pairs.filter_map(|pair| {
        let (previous, next) = (pair[0], pair[1]);
        let broken = broken_rule(previous, next)?;
        let (vm, at) = (&next.vm, next.received_at - start);
        let (first, first_term) = (&previous.leader, previous.term);
        let (second, second_term) = (&next.leader, next.term);
        let apart = next.received_at - previous.received_at;
        Some(format!(
            "{vm}: {broken}: {first} with term {first_term}, then {second} with term {second_term} {apart:?} later, at {at:?}"
        ))
    });
    findings.collect()
}

fn broken_rule(previous: &VmCommandRecord, next: &VmCommandRecord) -> Option<&'static str> {
    if next.term < previous.term {
        return Some("a lower term after a higher one");
    }
    if next.leader == previous.leader {
        return None;
    }
    if next.term == previous.term {
        return Some("two leaders with one term");
    }
    let is_within_gap = next.received_at - previous.received_at < LEADER_GAP;
    is_within_gap.then_some("two leaders within the gap")
}
