//! The gap between the commands of leaders that follow one another.

/// How the previous leader ended, as far as its successor knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreviousLeader {
    /// The previous leader has recorded when its last command ended.
    Ended,
    /// The process of the previous leader had ended by this time, in ms on the store's clock.
    ProcessEnded {
        /// When the next process of the daemon started.
        by_ms: u64,
    },
    /// The previous leader may not know that it has been replaced.
    MayBeActive,
}

/// Returns until when previous leaders may send commands, in ms on the store's clock.
///
/// `recorded_until_ms` is what the previous leader recorded: until when the leaders before it may send commands, or when its own
/// last command ended, whichever is later. A leader that may be active sends commands for up to `command_window_ms` from
/// `now_ms`.
///
/// ```
/// use pools::{PreviousLeader, earlier_commands_until_ms};
/// assert_eq!(earlier_commands_until_ms(700, PreviousLeader::Ended, 1_000, 1_500), 700);
/// assert_eq!(earlier_commands_until_ms(700, PreviousLeader::MayBeActive, 1_000, 1_500), 2_500);
/// ```
#[must_use]
pub fn earlier_commands_until_ms(
    recorded_until_ms: u64,
    previous: PreviousLeader,
    now_ms: u64,
    command_window_ms: u64,
) -> u64 {
    let own_until_ms = match previous {
        PreviousLeader::Ended => 0,
        PreviousLeader::ProcessEnded { by_ms } => by_ms,
        PreviousLeader::MayBeActive => now_ms.saturating_add(command_window_ms),
    };
    own_until_ms.max(recorded_until_ms)
}
