//! A leader keeps the gap to the commands of all leaders before it, not only of the last one.

use pools::{PreviousLeader, earlier_commands_until_ms};

const WINDOW_MS: u64 = 1500;

/// Until when the leader that follows a chain of leaders has to expect commands. Each link is how the leader before ended,
/// and when the next one took over.
fn until_ms(chain: &[(PreviousLeader, u64)]) -> u64 {
    chain.iter().fold(0, |recorded_ms, (previous, at_ms)| {
        earlier_commands_until_ms(recorded_ms, *previous, *at_ms, WINDOW_MS)
    })
}

#[test]
fn a_leader_that_ends_soon_does_not_hide_the_commands_of_the_one_before() {
    use PreviousLeader::{Ended, MayBeActive, ProcessEnded};
    // The first leader was cut off at 10 s and may send commands until 11.5 s. The next one ends without a command.
    for second in [Ended, ProcessEnded { by_ms: 10_600 }] {
        assert_eq!(
            until_ms(&[(MayBeActive, 10_000), (second, 10_700)]),
            11_500,
            "{second:?}"
        );
    }
    let chain = [(MayBeActive, 10_000), (Ended, 10_400), (Ended, 10_800)];
    assert_eq!(until_ms(&chain), 11_500);
    // A later end counts.
    let later = [
        (MayBeActive, 10_000),
        (ProcessEnded { by_ms: 12_000 }, 12_600),
    ];
    assert_eq!(until_ms(&later), 12_000);
    let active = [(MayBeActive, 10_000), (MayBeActive, 13_000)];
    assert_eq!(until_ms(&active), 14_500);
}
