//! Decides for VMs: which is emptied next, and which order follows, for waves of maintenance.
//!
//! This crate does no I/O and reads no clock.

mod wave;

pub use wave::{OrderResult, Wave, WaveSteps, WaveVm};
