//! Amounts of the three resources, for arithmetic on each of them.

use submission::Resources;

/// CPU in thousandths of a core, memory in MB, and accelerators.
pub(crate) type Amounts = [u64; 3];

/// The amount of a resource without a limit.
pub(crate) const UNLIMITED: u64 = u32::MAX as u64;

pub(crate) fn amounts(resources: Resources) -> Amounts {
    [
        resources.cpu_milli.into(),
        resources.memory_mb.into(),
        resources.gpus.into(),
    ]
}

/// Converts amounts to resources, saturating at [`UNLIMITED`].
pub(crate) fn resources([cpu_milli, memory_mb, gpus]: Amounts) -> Resources {
    let saturated = |amount| u32::try_from(amount).unwrap_or(u32::MAX);
    Resources {
        cpu_milli: saturated(cpu_milli),
        memory_mb: saturated(memory_mb),
        gpus: saturated(gpus),
    }
}

/// Converts a quota, in which 0 stands for no limit.
pub(crate) fn quota_amounts(quota: Resources) -> Amounts {
    amounts(quota).map(|amount| if amount == 0 { UNLIMITED } else { amount })
}

/// Applies a function to each resource of two amounts.
pub(crate) fn zip(left: Amounts, right: Amounts, apply: impl Fn(u64, u64) -> u64) -> Amounts {
    std::array::from_fn(|index| apply(left[index], right[index]))
}

/// Whether each resource is at most the same resource of `other`.
pub(crate) fn fits(amounts: Amounts, other: Amounts) -> bool {
    amounts
        .iter()
        .zip(other)
        .all(|(left, right)| *left <= right)
}

/// Whether the sum of amounts is within a quota, in each resource with a limit.
pub(crate) fn sum_fits(summands: impl Iterator<Item = Amounts>, quota: Amounts) -> bool {
    let sum = summands.fold([0; 3], |sum, amounts| {
        zip(sum, amounts, u64::saturating_add)
    });
    let mut resources = sum.into_iter().zip(quota);
    resources.all(|(sum, quota)| quota == UNLIMITED || sum <= quota)
}
