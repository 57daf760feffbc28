//! Transfers over links of different rates.

use transfer::{LinkBudget, PageSize, ResponseTimes};

/// Reads `rows` rows of `row_bytes` bytes over a link of `link_kbps`, with a timeout of 1 s for a page. Returns the
/// time in ms and the number of reads.
fn read_all(rows: u32, row_bytes: u64, link_kbps: u64, known_mbps: Option<f64>) -> (u64, u32) {
    let mut size = PageSize::new(500, known_mbps);
    let (mut remaining, mut time_ms, mut reads) = (rows, 0, 0);
    while remaining > 0 {
        let page = size.rows().min(remaining);
        let bits = u64::from(page) * row_bytes * 8;
        let duration_ms = 5 + bits / link_kbps;
        reads += 1;
        assert!(reads < 10_000, "no progress");
        if duration_ms > 1000 {
            time_ms += 1000;
            size.record_timeout();
            continue;
        }
        time_ms += duration_ms;
        size.record_page(page, duration_ms);
        remaining -= page;
    }
    (time_ms, reads)
}

#[test]
fn a_read_makes_progress_at_any_link_rate() {
    for (link_kbps, known_mbps) in [
        (100, Some(0.1)),
        (100, None),
        (2000, Some(2.0)),
        // Only a tenth of the link is left for the read.
        (200, Some(2.0)),
        (20_000, Some(20.0)),
        (1_000_000, None),
    ] {
        let (time_ms, _) = read_all(600, 2500, link_kbps, known_mbps);
        let transfer_ms = 600 * 2500 * 8 / link_kbps;
        assert!(
            time_ms <= transfer_ms * 3 / 2 + 10_000,
            "{time_ms} ms at {link_kbps} kbit/s, {transfer_ms} ms without overhead"
        );
    }
}

#[test]
fn a_read_over_a_fast_link_takes_full_pages() {
    let (_, reads) = read_all(2000, 2500, 1_000_000, Some(1000.0));
    assert_eq!(reads, 4);
}

#[test]
fn a_burst_of_commands_leaves_room_on_the_link() {
    let link_bytes_per_ms = 250;
    let mut budget = LinkBudget::new(Some(2.0), 50);
    let mut sent = Vec::new();
    for _ in 0..200 {
        sent.push(budget.reserve(1500, 10_000_000) / 1000);
    }
    for window_ms in (0..2400).step_by(200) {
        let commands = sent
            .iter()
            .filter(|at| (window_ms..window_ms + 200).contains(*at));
        let bytes = commands.count() as u64 * 1500;
        let burst = if window_ms == 0 {
            50 * 125 + 1500
        } else {
            1500
        };
        assert!(
            bytes <= 200 * link_bytes_per_ms / 2 + burst,
            "{bytes} bytes in 200 ms"
        );
    }
    let last_ms = sent.last().copied().unwrap_or_default();
    assert!(
        (2300..=2400).contains(&last_ms),
        "the last command waits {last_ms} ms"
    );
}

#[test]
fn unused_budget_does_not_accumulate() {
    let mut budget = LinkBudget::new(Some(2.0), 50);
    assert_eq!(budget.reserve(125_000, 1_000_000), 0);
    // A minute later, one burst is sent at once, not a minute's worth of data.
    assert_eq!(budget.reserve(6_250, 61_000_000), 0);
    assert_eq!(budget.reserve(12_500, 61_000_000), 0);
    assert_eq!(budget.reserve(1, 61_000_000), 100_000);
}

#[test]
fn a_few_lost_responses_leave_the_timeout_short() {
    let mut times = ResponseTimes::new(250, 1000);
    for call in 0..160 {
        times.record(if call % 16 == 0 { 250 } else { 15 });
    }
    assert_eq!(times.timeout_ms(), 250);
}

#[test]
fn the_timeout_follows_a_saturated_link_and_returns() {
    let mut times = ResponseTimes::new(250, 1000);
    for _ in 0..16 {
        times.record(250);
    }
    assert!(times.timeout_ms() >= 500);
    for _ in 0..48 {
        times.record(15);
    }
    assert_eq!(times.timeout_ms(), 250);
}
