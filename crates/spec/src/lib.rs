//! Small specifications of the core protocols, checked by visiting every state that they can reach.
//!
//! Each model has variants with one rule left out; the check finds the fault that the rule prevents.

mod claim_model;
mod handover_model;
mod leave_model;
mod model;
mod steward_model;

pub use claim_model::{ClaimModel, ClaimRule};
pub use handover_model::{HandoverModel, HandoverRule};
pub use leave_model::{LeaveModel, LeaveRule};
pub use model::{Checked, Model, check};
pub use steward_model::{StewardModel, StewardRule};
