//! The number of rows that a read asks for at a time.

/// The time that a page should take, in ms. Short enough that a heartbeat behind a page is not missed.
const TARGET_MS: u64 = 300;

/// The size of a row from which the first page is computed, in bytes.
const EXPECTED_ROW_BYTES: f64 = 1500.0;

/// The largest growth of a page over the previous one.
const MAX_GROWTH: u64 = 4;

/// The number of rows of the next page of a read, adapted to how long the previous pages took.
///
/// ```
/// use transfer::PageSize;
/// let mut size = PageSize::new(500, Some(2.0));
/// assert_eq!(size.rows(), 50);
/// size.record_page(50, 600);
/// assert_eq!(size.rows(), 25);
/// size.record_timeout();
/// assert_eq!(size.rows(), 12);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct PageSize {
    rows: u32,
    max_rows: u32,
}

impl PageSize {
    /// Creates the size of the first page of a read over a link with a rate of `link_mbps` Mbit/s, at most `max_rows`.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "float casts saturate"
    )]
    pub fn new(max_rows: u32, link_mbps: Option<f64>) -> Self {
        let bytes_per_ms = link_mbps.map(|mbps| mbps * 125.0);
        let rows = bytes_per_ms.map_or(max_rows, |bytes_per_ms| {
            (bytes_per_ms * TARGET_MS as f64 / EXPECTED_ROW_BYTES) as u32
        });
        Self {
            rows: rows.clamp(1, max_rows.max(1)),
            max_rows: max_rows.max(1),
        }
    }

    /// The number of rows of the next page, at least 1.
    #[must_use]
    pub fn rows(&self) -> u32 {
        self.rows
    }

    /// Records that a page of `rows` rows arrived after `duration_ms` ms.
    pub fn record_page(&mut self, rows: u32, duration_ms: u64) {
        if rows == 0 {
            return;
        }
        let rows_in_time = u64::from(rows) * TARGET_MS / duration_ms.max(1);
        let most = u64::from(self.rows) * MAX_GROWTH;
        let rows = u32::try_from(rows_in_time.min(most)).unwrap_or(u32::MAX);
        self.rows = rows.clamp(1, self.max_rows);
    }

    /// Records that a page did not arrive in time.
    pub fn record_timeout(&mut self) {
        self.rows = (self.rows / 2).max(1);
    }
}
