//! A VM that leaves: hold, mark, views that expire, stop.
//!
//! One daemon is in the VM's zone, one is in another; a driver marks and stops the VM. Time goes on in ticks that
//! all parties share, as durations do; a daemon may be cut off from the table and from the driver at any moment,
//! and may be paused, which lets it act later on what it knew before.

use crate::model::Model;

/// Ticks for which a view gives the right to send to another zone.
const VIEW_TTL: u8 = 2;

/// Ticks after the mark when all older views of other zones have expired and their requests have ended.
const EXPIRED: u8 = VIEW_TTL + LONGEST_REQUEST + 1;

/// The longest request, in ticks.
const LONGEST_REQUEST: u8 = 1;

/// Ticks for which a hold is kept.
const HOLD: u8 = 3;

/// Times at which the model ends.
const LAST_TICK: u8 = 9;

/// A rule that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveRule {
    /// The mark waits for the hold of the VM's zone.
    HoldBeforeMark,
    /// The stop waits for the zone's daemon, and for other zones' views to expire.
    StopWaits,
    /// A daemon sends to another zone only while its view is young.
    ViewsExpire,
    /// A hold ends only with a view that shows whether the mark was written in its time.
    HoldsEndWithAView,
}

/// The protocol, with all rules or without one of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaveModel {
    /// The rule left out.
    pub without: Option<LeaveRule>,
}

/// A daemon.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the model keeps independent facts"
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Daemon {
    is_local: bool,
    is_cut: bool,
    /// Whether its view has the mark.
    knows: bool,
    /// Ticks since its view was confirmed.
    view_age: u8,
    /// Ticks for which the mark may still be written under its hold.
    hold: u8,
    is_holding: bool,
    /// The age of its request to the VM.
    request: Option<u8>,
    /// Whether the request was sent when the mark was older than a view may be.
    sent_late: bool,
}

/// A state of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    tick: u8,
    daemons: [Daemon; 2],
    /// Ticks since the hold was agreed by the zone's daemon, as the driver counts.
    held_for: Option<u8>,
    /// Ticks since the mark.
    marked_for: Option<u8>,
    is_stopped: bool,
}

impl LeaveModel {
    fn has(self, rule: LeaveRule) -> bool {
        self.without != Some(rule)
    }

    fn may_send(self, daemon: &Daemon) -> bool {
        if daemon.knows || daemon.is_holding || daemon.request.is_some() {
            return false;
        }
        daemon.is_local || daemon.view_age < VIEW_TTL || !self.has(LeaveRule::ViewsExpire)
    }

    fn may_mark(self, state: &State) -> bool {
        if state.marked_for.is_some() {
            return false;
        }
        let is_held = state.held_for.is_some_and(|ticks| ticks + 1 < HOLD);
        is_held || !self.has(LeaveRule::HoldBeforeMark)
    }

    fn may_stop(self, state: &State) -> bool {
        let Some(marked_for) = state.marked_for else {
            return false;
        };
        if state.is_stopped {
            return false;
        }
        if !self.has(LeaveRule::StopWaits) {
            return true;
        }
        let is_clear = |daemon: &Daemon| {
            let has_agreed = !daemon.is_cut && daemon.knows && daemon.request.is_none();
            has_agreed || (!daemon.is_local && marked_for >= EXPIRED)
        };
        state.daemons.iter().all(is_clear)
    }

    fn tick(self, state: &State) -> State {
        let mut next = state.clone();
        next.tick += 1;
        next.held_for = state.held_for.map(|ticks| ticks + 1);
        next.marked_for = state.marked_for.map(|ticks| ticks + 1);
        for daemon in &mut next.daemons {
            daemon.view_age = (daemon.view_age + 1).min(VIEW_TTL);
            daemon.hold = daemon.hold.saturating_sub(1);
            if daemon.hold == 0 && !self.has(LeaveRule::HoldsEndWithAView) {
                daemon.is_holding = false;
            }
            // A request that has lasted as long as any may is given up.
            daemon.request = daemon
                .request
                .map(|age| age + 1)
                .filter(|age| *age <= LONGEST_REQUEST);
        }
        next
    }

    fn daemon_steps(self, state: &State, index: usize, next: &mut Vec<State>) {
        let daemon = state.daemons[index];
        let mut push = |changed: Daemon| {
            let mut state = state.clone();
            state.daemons[index] = changed;
            next.push(state);
        };
        push(Daemon {
            is_cut: !daemon.is_cut,
            ..daemon
        });
        if self.may_send(&daemon) {
            let sent_late = state.marked_for.is_some_and(|ticks| ticks > VIEW_TTL);
            push(Daemon {
                request: Some(0),
                sent_late,
                ..daemon
            });
        }
        if daemon.request.is_some() {
            push(Daemon {
                request: None,
                ..daemon
            });
        }
        if !daemon.is_cut {
            let knows = state.marked_for.is_some();
            let is_holding = daemon.is_holding && daemon.hold > 0;
            push(Daemon {
                knows,
                view_age: 0,
                is_holding,
                ..daemon
            });
        }
    }
}

impl Model for LeaveModel {
    type State = State;

    fn first(&self) -> State {
        let daemon = |is_local| Daemon {
            is_local,
            is_cut: false,
            knows: false,
            view_age: 0,
            hold: 0,
            is_holding: false,
            request: None,
            sent_late: false,
        };
        State {
            tick: 0,
            daemons: [daemon(true), daemon(false)],
            held_for: None,
            marked_for: None,
            is_stopped: false,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        if self.fault(state).is_some() {
            return next;
        }
        if state.tick < LAST_TICK {
            next.push(self.tick(state));
        }
        for index in 0..state.daemons.len() {
            self.daemon_steps(state, index, &mut next);
        }
        let local = state.daemons[0];
        if !local.is_cut && state.marked_for.is_none() {
            let mut held = state.clone();
            held.daemons[0].hold = HOLD;
            held.daemons[0].is_holding = true;
            held.held_for = Some(0);
            next.push(held);
        }
        if self.may_mark(state) {
            let mut marked = state.clone();
            marked.marked_for = Some(0);
            next.push(marked);
        }
        if self.may_stop(state) {
            let mut stopped = state.clone();
            stopped.is_stopped = true;
            next.push(stopped);
        }
        next
    }

    fn fault(&self, state: &State) -> Option<&'static str> {
        let is_cut = |daemon: &Daemon| state.is_stopped && daemon.request.is_some();
        if state.daemons.iter().any(is_cut) {
            return Some("a planned stop cuts a request");
        }
        if state.daemons.iter().any(|daemon| daemon.sent_late) {
            return Some("a leaving VM gets new work");
        }
        None
    }
}
