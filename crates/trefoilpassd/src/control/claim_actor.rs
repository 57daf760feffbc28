//! Drives the claims: writes them in batches, asks holders, and tells the requests that wait.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use domain::{EntryVmId, ErrorKind, Incarnation};
use membership::ContactFailure;
use once::{
    Batch, BatchResult, Begin, ClaimId, ClaimRow, Claims, Conflict, Ending, Fingerprint,
    HolderReply, Pace, Ruling,
};
use peer::PeerRpcClient;
use platform::{Commit, Platform, RowEntry, Transaction};
use tokio::sync::oneshot;
use tracing::{Instrument, Span};
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::clock::unix_time_s;
use crate::control::Clients;
use crate::control::clients::no_contact;
use crate::control::rows::{self, ClaimBatchRow};
use crate::shared::Shared;

/// Transactions with claims that all daemons together may write in a second.
const WRITES_PER_S: u32 = 280;

/// Transactions that a daemon may write at once after a pause.
const BURST_WRITES: u32 = 20;

/// How often claims that ended long ago are looked for.
const FORGET_PERIOD_US: u64 = 10_000_000;

/// The pause after a transaction whose answer was lost.
const LOST_PAUSE: Duration = Duration::from_millis(50);

/// After this many lost answers in a row the platform counts as away, and waiting requests are refused.
const LOST_TO_GIVE_UP: u32 = 4;

/// A keyed request asks whether it may run.
#[derive(Debug)]
pub(crate) struct BeginClaim {
    pub(crate) id: ClaimId,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) waiter: oneshot::Sender<Ruling>,
    /// The request's span, to which the hops for its claim belong.
    pub(crate) span: Span,
}

/// A claimed request has ended.
#[derive(Debug)]
pub(crate) struct EndClaim {
    pub(crate) id: ClaimId,
    pub(crate) ending: Ending,
}

/// A request no longer waits for its claim.
#[derive(Debug)]
pub(crate) struct GiveUpClaim {
    pub(crate) id: ClaimId,
}

/// A peer asks what became of a claim.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) id: ClaimId,
    pub(crate) row: ClaimRow,
}

/// Time has gone on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tick;

/// A transaction has ended.
#[derive(Debug)]
struct BatchEnded(BatchResult);

/// A holder has replied, or could not be asked.
#[derive(Debug)]
struct HolderReplied {
    conflict: Box<Conflict>,
    reply: Option<HolderReply>,
}

/// A request that waits for a ruling.
#[derive(Debug)]
struct Waiter {
    sender: oneshot::Sender<Ruling>,
    span: Span,
}

/// Drives the claims.
#[derive(Debug, xtra::Actor)]
pub(crate) struct ClaimActor<P: Platform> {
    shared: Arc<Shared<P>>,
    clients: Clients,
    claims: Claims,
    waiters: HashMap<ClaimId, Waiter>,
    /// Transactions in a row whose answers were lost.
    lost_in_row: u32,
    forgot_us: u64,
}

impl<P: Platform> ClaimActor<P> {
    pub(crate) fn new(shared: Arc<Shared<P>>, clients: Clients) -> Self {
        let daemons = shared.peers.lock().configured_daemons();
        let pace = Pace::new(WRITES_PER_S / daemons, BURST_WRITES);
        Self {
            claims: Claims::new(shared.incarnation.clone(), pace),
            shared,
            clients,
            waiters: HashMap::new(),
            lost_in_row: 0,
            forgot_us: 0,
        }
    }

    fn write_next(&mut self, own: &WeakAddress<Self>) {
        let now_us = self.shared.clock.now_us();
        let Some(batch) = self.claims.next_batch(now_us, unix_time_s()) else {
            return;
        };
        self.shared.metrics.claim_batches.inc();
        self.shared.metrics.claims.inc_by(batch.claims.len() as u64);
        let span = self.batch_span(&batch);
        let shared = self.shared.clone();
        let own = own.clone();
        tokio::spawn(async move {
            let result = write(&shared, batch).instrument(span).await;
            if result == BatchResult::Lost {
                tokio::time::sleep(LOST_PAUSE).await;
            }
            // The daemon has ended when the actor is gone.
            let _ = own.send(BatchEnded(result)).await;
        });
    }

    /// A batch serves many requests: it is in the trace of the first one and linked to the others.
    fn batch_span(&self, batch: &Batch) -> Span {
        let spans = batch
            .claims
            .iter()
            .filter_map(|claim| self.waiters.get(&claim.id));
        let mut spans = spans.map(|waiter| &waiter.span);
        let Some(first) = spans.next() else {
            return Span::none();
        };
        let span = tracing::info_span!(parent: first, "claims", count = batch.claims.len());
        for other in spans {
            span.follows_from(other);
        }
        span
    }

    fn rule(&mut self, rulings: Vec<(ClaimId, Ruling)>, own: &WeakAddress<Self>) {
        for (id, ruling) in rulings {
            match ruling {
                Ruling::AskHolder(conflict) => self.ask_holder(conflict, own),
                ruling => self.tell(&id, ruling),
            }
        }
    }

    fn tell(&mut self, id: &ClaimId, ruling: Ruling) {
        let Some(waiter) = self.waiters.remove(id) else {
            self.nobody_waits(id, &ruling);
            return;
        };
        if let Err(ruling) = waiter.sender.send(ruling) {
            self.nobody_waits(id, &ruling);
        }
    }

    fn nobody_waits(&mut self, id: &ClaimId, ruling: &Ruling) {
        if *ruling == Ruling::Run {
            let now_us = self.shared.clock.now_us();
            self.claims.end(id, Ending::NotRun, now_us);
        }
    }

    fn ask_holder(&self, conflict: Box<Conflict>, own: &WeakAddress<Self>) {
        let holder = entry_vm_of(&conflict.row.holder);
        let client = holder.and_then(|id| self.clients.get(&id).cloned());
        let waiter = self.waiters.get(&conflict.id);
        let parent = waiter.map_or_else(Span::none, |waiter| waiter.span.clone());
        let own = own.clone();
        tokio::spawn(async move {
            let reply = match client {
                Some(client) => {
                    let span = tracing::info_span!(parent: &parent, "peer", call = "claim");
                    let asked = client.rpc.claim(conflict.id.clone(), conflict.row.clone());
                    match asked.instrument(span).await {
                        Ok(reply) => Some(reply),
                        // The process that held the claim is not there any more.
                        Err(err) if no_contact(&err) == ContactFailure::ConnectionRefused => {
                            Some(HolderReply::NotHolder)
                        }
                        Err(_) => None,
                    }
                }
                None => Some(HolderReply::NotHolder),
            };
            let _ = own.send(HolderReplied { conflict, reply }).await;
        });
    }

    /// Refuses the requests that wait while the platform is away.
    fn refuse_waiting(&mut self) {
        let now_us = self.shared.clock.now_us();
        for (id, waiter) in self.waiters.drain() {
            self.claims.give_up(&id, now_us);
            let _ = waiter
                .sender
                .send(Ruling::Refuse(ErrorKind::ClaimUnavailable));
        }
    }
}

async fn write<P: Platform>(shared: &Shared<P>, batch: Batch) -> BatchResult {
    let op = shared.next_op();
    let index = ClaimBatchRow {
        written_at_s: unix_time_s(),
        keys: batch
            .claims
            .iter()
            .map(|claim| claim.id.row_key())
            .collect(),
    };
    let index_key = rows::claim_batch(index.written_at_s, &op);
    let mut transaction = Transaction::new(op).with_write(index_key, &index);
    for claim in &batch.claims {
        let key = claim.id.row_key();
        transaction = transaction
            .with_condition(key.clone(), claim.expected_version)
            .with_write(key, &claim.row);
    }
    match shared.platform.transact(&transaction).await {
        Ok(Commit::Committed) => BatchResult::Committed,
        Ok(Commit::Conflict { rows }) => conflicts(&batch, &rows),
        Err(_) => BatchResult::Lost,
    }
}

fn conflicts(batch: &Batch, rows: &[RowEntry]) -> BatchResult {
    let found = rows.iter().filter_map(|entry| {
        let claim = batch
            .claims
            .iter()
            .find(|claim| claim.id.row_key() == entry.key)?;
        let row = entry.row.as_ref()?;
        Some(Conflict {
            id: claim.id.clone(),
            row: row.read(&entry.key).ok()?,
            version: row.version,
        })
    });
    BatchResult::Conflicts(found.collect())
}

fn entry_vm_of(incarnation: &Incarnation) -> Option<EntryVmId> {
    let (entry_vm, _) = incarnation.as_str().rsplit_once('.')?;
    EntryVmId::new(entry_vm).ok()
}

impl<P: Platform> Handler<BeginClaim> for ClaimActor<P> {
    type Return = Begin;

    async fn handle(&mut self, message: BeginClaim, ctx: &mut Context<Self>) -> Begin {
        let now_us = self.shared.clock.now_us();
        let begin = self.claims.begin(&message.id, message.fingerprint, now_us);
        if begin != Begin::Wait {
            return begin;
        }
        if !self.shared.platform_reachable() {
            self.claims.give_up(&message.id, now_us);
            return Begin::Ruled(Ruling::Refuse(ErrorKind::ClaimUnavailable));
        }
        let waiter = Waiter {
            sender: message.waiter,
            span: message.span,
        };
        self.waiters.insert(message.id, waiter);
        self.write_next(&ctx.mailbox().address());
        begin
    }
}

impl<P: Platform> Handler<BatchEnded> for ClaimActor<P> {
    type Return = ();

    async fn handle(&mut self, message: BatchEnded, ctx: &mut Context<Self>) {
        let own = ctx.mailbox().address();
        let now_us = self.shared.clock.now_us();
        let is_lost = message.0 == BatchResult::Lost;
        self.lost_in_row = if is_lost { self.lost_in_row + 1 } else { 0 };
        let rulings = self.claims.batch_ended(message.0, now_us);
        self.rule(rulings, &own);
        if self.lost_in_row >= LOST_TO_GIVE_UP {
            self.shared.set_platform_reachable(false);
        }
        if !self.shared.platform_reachable() {
            self.refuse_waiting();
        }
        self.write_next(&own);
    }
}

impl<P: Platform> Handler<HolderReplied> for ClaimActor<P> {
    type Return = ();

    async fn handle(&mut self, message: HolderReplied, ctx: &mut Context<Self>) {
        let now_us = self.shared.clock.now_us();
        let HolderReplied { conflict, reply } = message;
        if let Some(ruling) = self.claims.holder_replied(&conflict, reply, now_us) {
            self.tell(&conflict.id, ruling);
        }
        self.write_next(&ctx.mailbox().address());
    }
}

impl<P: Platform> Handler<EndClaim> for ClaimActor<P> {
    type Return = ();

    async fn handle(&mut self, message: EndClaim, _: &mut Context<Self>) {
        let now_us = self.shared.clock.now_us();
        self.claims.end(&message.id, message.ending, now_us);
    }
}

impl<P: Platform> Handler<GiveUpClaim> for ClaimActor<P> {
    type Return = ();

    async fn handle(&mut self, message: GiveUpClaim, _: &mut Context<Self>) {
        let now_us = self.shared.clock.now_us();
        self.waiters.remove(&message.id);
        self.claims.give_up(&message.id, now_us);
    }
}

impl<P: Platform> Handler<Asked> for ClaimActor<P> {
    type Return = HolderReply;

    async fn handle(&mut self, message: Asked, _: &mut Context<Self>) -> HolderReply {
        let now_us = self.shared.clock.now_us();
        self.claims.asked(&message.id, &message.row, now_us)
    }
}

impl<P: Platform> Handler<Tick> for ClaimActor<P> {
    type Return = ();

    async fn handle(&mut self, _: Tick, ctx: &mut Context<Self>) {
        let now_us = self.shared.clock.now_us();
        if now_us.saturating_sub(self.forgot_us) >= FORGET_PERIOD_US {
            self.forgot_us = now_us;
            self.claims.forget_old(now_us);
        }
        self.write_next(&ctx.mailbox().address());
    }
}
