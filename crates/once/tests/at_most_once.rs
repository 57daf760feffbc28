//! Several daemons, one key, a table whose answers get lost, restarts, and messages in any order: the request
//! runs at most once.

use domain::{Incarnation, ServiceId};
use once::{
    Batch, BatchResult, Begin, ClaimId, ClaimRow, Claims, Conflict, Ending, Fingerprint,
    HolderReply, Pace, Ruling,
};
use proptest::prelude::*;

const DAEMONS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// A caller sends the request to a daemon.
    Send { daemon: usize },
    /// Its caller's patience ends before it was claimed.
    GiveUp { daemon: usize },
    /// A transaction in flight takes effect at the table.
    TakeEffect { daemon: usize },
    /// The answer to a transaction comes, or is lost.
    Answer { daemon: usize, is_lost: bool },
    /// A question reaches the holder, or does not.
    AskHolder { daemon: usize, is_reached: bool },
    /// The holder's reply arrives.
    Reply { daemon: usize },
    /// A run ends.
    End { daemon: usize, is_run: bool },
    /// A daemon dies, and another run starts in its place.
    Restart { daemon: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    prop_oneof![
        4 => daemon().prop_map(|daemon| Step::Send { daemon }),
        2 => daemon().prop_map(|daemon| Step::GiveUp { daemon }),
        5 => daemon().prop_map(|daemon| Step::TakeEffect { daemon }),
        5 => (daemon(), any::<bool>()).prop_map(|(daemon, is_lost)| Step::Answer { daemon, is_lost }),
        4 => (daemon(), prop::bool::weighted(0.9))
            .prop_map(|(daemon, is_reached)| Step::AskHolder { daemon, is_reached }),
        4 => daemon().prop_map(|daemon| Step::Reply { daemon }),
        3 => (daemon(), prop::bool::weighted(0.3)).prop_map(|(daemon, is_run)| Step::End { daemon, is_run }),
        1 => daemon().prop_map(|daemon| Step::Restart { daemon }),
    ]
}

struct Daemon {
    own: Incarnation,
    claims: Claims,
    /// The transaction on its way, and its result once it has reached the table.
    in_flight: Option<(Batch, Option<BatchResult>)>,
    question: Option<Box<Conflict>>,
    reply: Option<(Box<Conflict>, Option<HolderReply>)>,
    is_running: bool,
}

impl Daemon {
    fn new(index: usize, run: usize) -> Self {
        let own = Incarnation::new(&format!("e{index}.{run}")).unwrap();
        Self {
            claims: Claims::new(own.clone(), Pace::new(1_000_000, 1_000_000)),
            own,
            in_flight: None,
            question: None,
            reply: None,
            is_running: false,
        }
    }
}

struct World {
    daemons: Vec<Daemon>,
    row: Option<(ClaimRow, u64)>,
    version: u64,
    runs: usize,
    /// Runs that are going on, or that ran or may have run.
    effects: usize,
}

fn id() -> ClaimId {
    ClaimId {
        service: ServiceId::new("parts").unwrap(),
        key: "k".into(),
    }
}

impl World {
    fn new() -> Self {
        Self {
            daemons: (0..DAEMONS).map(|index| Daemon::new(index, 0)).collect(),
            row: None,
            version: 0,
            runs: DAEMONS,
            effects: 0,
        }
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Send { daemon } => {
                let print = Fingerprint("a".into());
                let begin = self.daemons[daemon].claims.begin(&id(), print, 0);
                assert!(begin != Begin::Ruled(Ruling::Run), "a run needs the table");
                self.write_next(daemon);
            }
            Step::GiveUp { daemon } => self.daemons[daemon].claims.give_up(&id(), 0),
            Step::TakeEffect { daemon } => self.take_effect(daemon),
            Step::Answer { daemon, is_lost } => self.answer(daemon, is_lost),
            Step::AskHolder { daemon, is_reached } => self.ask_holder(daemon, is_reached),
            Step::Reply { daemon } => self.reply(daemon),
            Step::End { daemon, is_run } => self.end(daemon, is_run),
            Step::Restart { daemon } => {
                self.runs += 1;
                self.daemons[daemon] = Daemon::new(daemon, self.runs);
            }
        }
    }

    fn write_next(&mut self, daemon: usize) {
        let daemon = &mut self.daemons[daemon];
        if let Some(batch) = daemon.claims.next_batch(0, 0) {
            daemon.in_flight = Some((batch, None));
        }
    }

    fn take_effect(&mut self, daemon: usize) {
        let Some((batch, result @ None)) = &mut self.daemons[daemon].in_flight else {
            return;
        };
        let claim = &batch.claims[0];
        let version = self.row.as_ref().map_or(0, |(_, version)| *version);
        if version == claim.expected_version {
            self.version += 1;
            self.row = Some((claim.row.clone(), self.version));
            *result = Some(BatchResult::Committed);
            return;
        }
        let (row, version) = self.row.clone().expect("an absent row has version 0");
        let conflict = Conflict {
            id: id(),
            row,
            version,
        };
        *result = Some(BatchResult::Conflicts(vec![conflict]));
    }

    fn answer(&mut self, daemon: usize, is_lost: bool) {
        let Some((_, result)) = self.daemons[daemon].in_flight.take() else {
            return;
        };
        // A transaction that has not reached the table when its answer is lost never does: the connection is gone.
        let result = result.filter(|_| !is_lost).unwrap_or(BatchResult::Lost);
        let ruled = self.daemons[daemon].claims.batch_ended(result, 0);
        for (_, ruling) in ruled {
            self.ruled(daemon, ruling);
        }
        self.write_next(daemon);
    }

    fn ruled(&mut self, daemon: usize, ruling: Ruling) {
        match ruling {
            Ruling::Run => {
                self.effects += 1;
                assert!(self.effects <= 1, "the request runs for the second time");
                self.daemons[daemon].is_running = true;
            }
            Ruling::AskHolder(conflict) => self.daemons[daemon].question = Some(conflict),
            Ruling::Replay(_) | Ruling::Refuse(_) => {}
        }
    }

    fn ask_holder(&mut self, daemon: usize, is_reached: bool) {
        let Some(conflict) = self.daemons[daemon].question.take() else {
            return;
        };
        let holder = self
            .daemons
            .iter_mut()
            .find(|other| other.own == conflict.row.holder);
        let reply = match holder {
            _ if !is_reached => None,
            Some(holder) => Some(holder.claims.asked(&id(), &conflict.row, 0)),
            None => Some(HolderReply::NotHolder),
        };
        self.daemons[daemon].reply = Some((conflict, reply));
    }

    fn reply(&mut self, daemon: usize) {
        let Some((conflict, reply)) = self.daemons[daemon].reply.take() else {
            return;
        };
        let ruling = self.daemons[daemon]
            .claims
            .holder_replied(&conflict, reply, 0);
        if let Some(ruling) = ruling {
            self.ruled(daemon, ruling);
        }
        self.write_next(daemon);
    }

    fn end(&mut self, daemon: usize, is_run: bool) {
        let daemon = &mut self.daemons[daemon];
        if !std::mem::take(&mut daemon.is_running) {
            return;
        }
        if is_run {
            daemon.claims.end(&id(), Ending::Answered(None), 0);
            return;
        }
        self.effects -= 1;
        daemon.claims.end(&id(), Ending::NotRun, 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::with_cases(3_000)
    })]

    #[test]
    fn a_request_runs_at_most_once(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in &steps {
            world.take(step);
        }
    }
}
