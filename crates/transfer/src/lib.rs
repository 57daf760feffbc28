//! Decides how much a daemon transfers at a time, and how long it waits for a response, so that transfers make progress
//! on a link of any rate and leave room for lease renewals and heartbeats.

mod link_budget;
mod page_size;
mod response_times;

pub use link_budget::LinkBudget;
pub use page_size::PageSize;
pub use response_times::ResponseTimes;
