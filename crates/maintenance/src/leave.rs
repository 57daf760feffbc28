//! When a VM may begin to leave, and when it may be stopped.
//!
//! Before the VM is marked `leaving` in the table, every daemon of its zone has agreed to send it nothing more.
//! Daemons of other zones send to it only while their view is fresh, so after [`membership::VIEW_TTL_US`] the
//! mark binds them whether they can be reached or not. A zone whose daemons can't be asked holds its planned
//! stops, because its daemons go on serving their own zone with the view that they have.

use domain::{EntryVmId, ZoneId};
use membership::VIEW_TTL_US;

/// Allowed for clocks that run at different rates and for requests that are just being sent.
const MARGIN_US: u64 = 500_000;

/// What a daemon said when it was asked about a VM that leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonReply {
    /// It sends the VM nothing more, and has this many requests in flight to it.
    Agreed {
        /// Requests in flight.
        in_flight: u32,
    },
    /// It answered, but has not taken in the mark.
    NotYet,
    /// No process listens at its address. Targets may still work on what it had sent.
    NotRunning,
    /// Nothing came back.
    Silent,
}

/// Whether a leaving VM may be stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopDecision {
    /// Nothing is in flight and nothing more will come.
    Stop,
    /// These daemons have requests in flight or may still send.
    WaitFor(Vec<EntryVmId>),
}

/// The rule for the VMs of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaveRule {
    zone: ZoneId,
    longest_request_us: u64,
}

impl LeaveRule {
    /// The rule for VMs of `zone`, where no request lasts longer than `longest_request_us`.
    #[must_use]
    pub fn new(zone: ZoneId, longest_request_us: u64) -> Self {
        Self {
            zone,
            longest_request_us,
        }
    }

    /// The daemons that keep the VM from being marked as leaving; none when it may be.
    #[must_use]
    pub fn holding_the_mark<'a>(
        &self,
        replies: impl IntoIterator<Item = (&'a EntryVmId, &'a ZoneId, &'a DaemonReply)>,
    ) -> Vec<EntryVmId> {
        let holds = |zone: &ZoneId, reply: &DaemonReply| {
            *zone == self.zone && matches!(reply, DaemonReply::NotYet | DaemonReply::Silent)
        };
        let replies = replies.into_iter();
        let holding = replies.filter(|(_, zone, reply)| holds(zone, reply));
        holding.map(|(id, _, _)| id.clone()).collect()
    }

    /// Whether the VM may be stopped, `mark_age_us` after the mark took effect.
    ///
    /// ```
    /// use domain::{EntryVmId, ZoneId};
    /// use maintenance::{DaemonReply, LeaveRule, StopDecision};
    /// let (e1, z1) = (EntryVmId::new("e1").unwrap(), ZoneId::new("z1").unwrap());
    /// let rule = LeaveRule::new(z1.clone(), 2_000_000);
    /// let busy = DaemonReply::Agreed { in_flight: 1 };
    /// let decision = rule.may_stop(9_000_000, [(&e1, &z1, &busy)]);
    /// assert_eq!(decision, StopDecision::WaitFor(vec![e1]));
    /// ```
    #[must_use]
    pub fn may_stop<'a>(
        &self,
        mark_age_us: u64,
        replies: impl IntoIterator<Item = (&'a EntryVmId, &'a ZoneId, &'a DaemonReply)>,
    ) -> StopDecision {
        let expired_us = VIEW_TTL_US + MARGIN_US + self.longest_request_us;
        let is_clear = |zone: &ZoneId, reply: &DaemonReply| match reply {
            DaemonReply::Agreed { in_flight } => *in_flight == 0,
            DaemonReply::NotRunning => mark_age_us >= self.longest_request_us,
            DaemonReply::NotYet | DaemonReply::Silent => {
                *zone != self.zone && mark_age_us >= expired_us
            }
        };
        let replies = replies.into_iter();
        let waiting = replies.filter(|(_, zone, reply)| !is_clear(zone, reply));
        let waiting: Vec<_> = waiting.map(|(id, _, _)| id.clone()).collect();
        if waiting.is_empty() {
            return StopDecision::Stop;
        }
        StopDecision::WaitFor(waiting)
    }
}
