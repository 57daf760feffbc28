//! The platform's service as the daemons see it: traits, and one HTTP client that implements them.

mod api;
mod client;
mod error;

pub use api::{
    Commit, Condition, ListedState, ListedVm, Objects, Platform, Row, RowEntry, Table, TaskOrder,
    TaskReport, TaskState, Transaction, VmList, WorkerControl, Write,
};
pub use client::PlatformClient;
pub use error::{Error, Result};
