//! When a VM may be drained, and when a draining VM may be stopped.
//!
//! Before the state `leaving` of a VM is written to the table, every running daemon of the VM's zone has agreed to
//! send the VM no further requests. Daemons of other zones send to the VM only while their view is fresh, so they
//! stop within [`membership::VIEW_TTL_US`] of the state change, whether they can be reached or not. Daemons of the
//! VM's own zone keep routing to the VM with an expired view, so an unreachable daemon of that zone blocks planned
//! drains and stops.

use domain::{EntryVmId, ZoneId};
use membership::VIEW_TTL_US;

/// Added to the view TTL for clocks that run at different rates and for requests that are just being sent.
const VIEW_EXPIRY_MARGIN_US: u64 = 500_000;

/// The outcome of asking a daemon to send no further requests to a VM that is to be drained or is draining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonReply {
    /// The daemon sends the VM no further requests.
    Agreed {
        /// Number of the daemon's requests that are in flight to the VM.
        in_flight: u32,
    },
    /// The daemon answered, but its view does not contain the draining state of the VM yet.
    NotApplied,
    /// No process listens at the daemon's address. Targets may still process requests that the daemon sent before.
    NotRunning,
    /// The daemon did not respond.
    Unresponsive,
}

/// Whether a draining VM may be stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopDecision {
    /// No request to the VM is in flight, and no daemon will send another one.
    Stop,
    /// The VM must keep running: the daemons on these entry VMs may still have requests in flight to the VM or send
    /// new ones.
    WaitFor(Vec<EntryVmId>),
}

/// Decides on draining and stopping the VMs of one zone, from the replies of all daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainRule {
    zone: ZoneId,
    max_request_duration_us: u64,
}

impl DrainRule {
    /// Creates the rule for the VMs of `zone`, where no request lasts longer than `max_request_duration_us`.
    #[must_use]
    pub fn new(zone: ZoneId, max_request_duration_us: u64) -> Self {
        Self {
            zone,
            max_request_duration_us,
        }
    }

    /// The entry VMs whose daemons block the start of a drain, in the order of `replies`.
    ///
    /// A daemon of the VM's zone blocks the drain when the daemon did not respond or did not agree; a daemon that is
    /// not running does not block the drain. The VM may be drained when the list is empty. Each reply comes with the
    /// daemon's entry VM and the zone of that entry VM.
    #[must_use]
    pub fn daemons_blocking_drain<'a>(
        &self,
        replies: impl IntoIterator<Item = (&'a EntryVmId, &'a ZoneId, &'a DaemonReply)>,
    ) -> Vec<EntryVmId> {
        let blocks = |zone: &ZoneId, reply: &DaemonReply| {
            *zone == self.zone
                && matches!(reply, DaemonReply::NotApplied | DaemonReply::Unresponsive)
        };
        let replies = replies.into_iter();
        let blocking = replies.filter(|(_, zone, reply)| blocks(zone, reply));
        blocking.map(|(id, _, _)| id.clone()).collect()
    }

    /// Whether the VM may be stopped, `drain_age_us` after the VM entered the draining state.
    ///
    /// Each reply comes with the daemon's entry VM and the zone of that entry VM.
    ///
    /// - A daemon that agreed blocks the stop while the daemon has requests in flight to the VM.
    /// - A daemon that is not running blocks the stop until the drain is as old as the maximum request duration.
    /// - A daemon that did not respond or did not apply the draining state blocks the stop without a time limit if the
    ///   daemon is in the VM's zone. A daemon of another zone blocks the stop until the drain is as old as the sum of
    ///   the view TTL, the margin for clocks and sending, and the maximum request duration.
    ///
    /// ```
    /// use domain::{EntryVmId, ZoneId};
    /// use maintenance::{DaemonReply, DrainRule, StopDecision};
    /// let (e1, z1) = (EntryVmId::new("e1").unwrap(), ZoneId::new("z1").unwrap());
    /// let rule = DrainRule::new(z1.clone(), 2_000_000);
    /// let busy = DaemonReply::Agreed { in_flight: 1 };
    /// let decision = rule.stop_decision(9_000_000, [(&e1, &z1, &busy)]);
    /// assert_eq!(decision, StopDecision::WaitFor(vec![e1]));
    /// ```
    #[must_use]
    pub fn stop_decision<'a>(
        &self,
        drain_age_us: u64,
        replies: impl IntoIterator<Item = (&'a EntryVmId, &'a ZoneId, &'a DaemonReply)>,
    ) -> StopDecision {
        let remote_zone_clear_us =
            VIEW_TTL_US + VIEW_EXPIRY_MARGIN_US + self.max_request_duration_us;
        let is_clear = |zone: &ZoneId, reply: &DaemonReply| match reply {
            DaemonReply::Agreed { in_flight } => *in_flight == 0,
            DaemonReply::NotRunning => drain_age_us >= self.max_request_duration_us,
            DaemonReply::NotApplied | DaemonReply::Unresponsive => {
                *zone != self.zone && drain_age_us >= remote_zone_clear_us
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
