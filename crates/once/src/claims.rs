//! The claims of one daemon.

use std::collections::{BTreeSet, HashMap, HashSet};

use domain::{ErrorKind, Incarnation};

use crate::answers::{AnswerBudget, StoredAnswer};
use crate::claim::{ClaimId, ClaimRow, Fingerprint, HolderReply, Nonce};
use crate::pace::Pace;

/// The most claims in one transaction.
const MAX_BATCH_CLAIMS: usize = 128;

/// Memory for answers kept for resends.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// How long an ended claim is remembered; after that a resend learns only that the key is spent.
const REMEMBER_US: u64 = 600 * 1_000_000;

/// What becomes of a keyed request at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// It waits for a [`Ruling`].
    Wait,
    /// It was ruled on already.
    Ruled(Ruling),
}

/// The decision on a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ruling {
    /// The claim is held: run the request, then call [`Claims::end`].
    Run,
    /// An earlier request with this key was answered so.
    Replay(StoredAnswer),
    /// Answer with this error.
    Refuse(ErrorKind),
    /// Another daemon holds the claim: ask it, then call [`Claims::holder_replied`].
    AskHolder(Box<Conflict>),
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// It ran; the answer is kept if it is small enough.
    Answered(Option<StoredAnswer>),
    /// No target ran it, and none will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A claim that is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingClaim {
    /// Which claim.
    pub id: ClaimId,
    /// The row to write.
    pub row: ClaimRow,
    /// The version that the row has to have; 0 when it has to be absent.
    pub expected_version: u64,
}

/// Claims for one transaction, all of them conditional on the rows' versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The claims.
    pub claims: Vec<PendingClaim>,
}

/// A row that stood in the way of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Which claim.
    pub id: ClaimId,
    /// The row found.
    pub row: ClaimRow,
    /// Its version.
    pub version: u64,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchResult {
    /// All claims were written.
    Committed,
    /// None was written, because of these rows.
    Conflicts(Vec<Conflict>),
    /// The answer was lost: the claims may or may not have been written.
    Lost,
}

#[derive(Debug)]
struct Entry {
    fingerprint: Fingerprint,
    nonce: Nonce,
    /// The nonce of an earlier claim of this run that a peer was told is free.
    released: Option<Nonce>,
    state: State,
    changed_us: u64,
}

#[derive(Debug)]
enum State {
    /// Waits for the table; `expected_version` is the condition of the write.
    Claiming {
        expected_version: u64,
    },
    Running,
    Answered(Option<StoredAnswer>),
    Spent,
    /// Never sent; a row with this nonce may or may not stand.
    Unsent,
    /// Never sent, and a peer was told so: a row with this nonce is free for whoever replaces it first.
    Released,
}

impl Entry {
    fn new(fingerprint: Fingerprint, nonce: Nonce, now_us: u64) -> Self {
        Self {
            fingerprint,
            nonce,
            released: None,
            state: State::Claiming {
                expected_version: 0,
            },
            changed_us: now_us,
        }
    }

    fn with_released(mut self, nonce: Nonce) -> Self {
        self.released = Some(nonce);
        self
    }
}

/// The claims of one daemon's run.
#[derive(Debug)]
pub struct Claims {
    own: Incarnation,
    entries: HashMap<ClaimId, Entry>,
    /// Claims that are to be written, oldest first.
    pending: Vec<ClaimId>,
    in_flight: Option<Batch>,
    pace: Pace,
    next_nonce: u64,
    answers: AnswerBudget,
}

impl Claims {
    /// No claims yet, for the run `own`, whose transactions keep to `pace`.
    #[must_use]
    pub fn new(own: Incarnation, pace: Pace) -> Self {
        Self {
            own,
            entries: HashMap::new(),
            pending: Vec::new(),
            in_flight: None,
            pace,
            next_nonce: 1,
            answers: AnswerBudget::new(MAX_ANSWER_BYTES),
        }
    }

    /// A keyed request has come.
    pub fn begin(&mut self, id: &ClaimId, fingerprint: Fingerprint, now_us: u64) -> Begin {
        let Some(entry) = self.entries.get(id) else {
            let nonce = self.take_nonce();
            self.enqueue(id, Entry::new(fingerprint, nonce, now_us));
            return Begin::Wait;
        };
        if entry.fingerprint != fingerprint {
            return Begin::Ruled(Ruling::Refuse(ErrorKind::KeyReused));
        }
        let claimed_before = entry.nonce;
        match &entry.state {
            State::Claiming { .. } | State::Running => {
                Begin::Ruled(Ruling::Refuse(ErrorKind::KeyRunning))
            }
            State::Answered(Some(answer)) => Begin::Ruled(Ruling::Replay(answer.clone())),
            State::Answered(None) | State::Spent => {
                Begin::Ruled(Ruling::Refuse(ErrorKind::KeySpent))
            }
            State::Unsent => {
                self.enqueue(id, Entry::new(fingerprint, claimed_before, now_us));
                Begin::Wait
            }
            State::Released => {
                let nonce = self.take_nonce();
                let entry = Entry::new(fingerprint, nonce, now_us);
                self.enqueue(id, entry.with_released(claimed_before));
                Begin::Wait
            }
        }
    }

    fn take_nonce(&mut self) -> Nonce {
        self.next_nonce += 1;
        Nonce(self.next_nonce)
    }

    fn enqueue(&mut self, id: &ClaimId, entry: Entry) {
        self.entries.insert(id.clone(), entry);
        self.pending.push(id.clone());
    }

    /// The next transaction, if there is something to write and the pace allows it. One goes at a time.
    pub fn next_batch(&mut self, now_us: u64, unix_time_s: u64) -> Option<Batch> {
        if self.in_flight.is_some() || self.pending.is_empty() || !self.pace.try_take(now_us) {
            return None;
        }
        let count = self.pending.len().min(MAX_BATCH_CLAIMS);
        let ids: BTreeSet<_> = self.pending.drain(..count).collect();
        let claims = ids
            .into_iter()
            .filter_map(|id| self.pending_claim(id, unix_time_s));
        let claims: Vec<_> = claims.collect();
        if claims.is_empty() {
            return None;
        }
        let batch = Batch { claims };
        self.in_flight = Some(batch.clone());
        Some(batch)
    }

    /// When the pace allows the next transaction.
    #[must_use]
    pub fn ready_at_us(&self) -> u64 {
        self.pace.ready_at_us()
    }

    /// Whether claims wait for a transaction.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    fn pending_claim(&self, id: ClaimId, unix_time_s: u64) -> Option<PendingClaim> {
        let entry = self.entries.get(&id)?;
        let State::Claiming { expected_version } = entry.state else {
            return None;
        };
        let row = ClaimRow {
            holder: self.own.clone(),
            nonce: entry.nonce,
            fingerprint: entry.fingerprint.clone(),
            claimed_at_s: unix_time_s,
        };
        Some(PendingClaim {
            id,
            row,
            expected_version,
        })
    }

    /// The transaction in flight has ended. Returns the requests that are ruled on now.
    pub fn batch_ended(&mut self, result: BatchResult, now_us: u64) -> Vec<(ClaimId, Ruling)> {
        let Some(batch) = self.in_flight.take() else {
            return Vec::new();
        };
        match result {
            BatchResult::Committed => {
                let rows = batch
                    .claims
                    .into_iter()
                    .map(|claim| (claim.id, claim.row.nonce));
                rows.filter_map(|(id, nonce)| self.claimed(id, nonce, now_us))
                    .collect()
            }
            BatchResult::Lost => {
                // The same conditional write goes again. If the first one took effect, the second meets a row
                // with this claim's own nonce.
                self.pending
                    .extend(batch.claims.into_iter().map(|claim| claim.id));
                Vec::new()
            }
            BatchResult::Conflicts(conflicts) => {
                let in_conflict: HashSet<_> = conflicts.iter().map(|c| &c.id).collect();
                let ids = batch.claims.into_iter().map(|claim| claim.id);
                self.pending
                    .extend(ids.filter(|id| !in_conflict.contains(id)));
                let ruled = conflicts.into_iter();
                ruled
                    .filter_map(|conflict| self.conflicted(conflict, now_us))
                    .collect()
            }
        }
    }

    /// A row with this run's `nonce` stands. It counts only if the claim was not released in the meantime.
    fn claimed(&mut self, id: ClaimId, nonce: Nonce, now_us: u64) -> Option<(ClaimId, Ruling)> {
        let entry = self.entries.get_mut(&id)?;
        if entry.nonce != nonce || !matches!(entry.state, State::Claiming { .. }) {
            return None;
        }
        entry.state = State::Running;
        entry.changed_us = now_us;
        Some((id, Ruling::Run))
    }

    fn conflicted(&mut self, conflict: Conflict, now_us: u64) -> Option<(ClaimId, Ruling)> {
        let entry = self.entries.get_mut(&conflict.id)?;
        if !matches!(entry.state, State::Claiming { .. }) {
            return None;
        }
        let is_own = conflict.row.holder == self.own;
        if is_own && conflict.row.nonce == entry.nonce {
            return self.claimed(conflict.id, conflict.row.nonce, now_us);
        }
        if is_own && Some(conflict.row.nonce) == entry.released {
            entry.state = State::Claiming {
                expected_version: conflict.version,
            };
            self.pending.push(conflict.id);
            return None;
        }
        let id = conflict.id.clone();
        if conflict.row.fingerprint != entry.fingerprint {
            self.entries.remove(&id);
            return Some((id, Ruling::Refuse(ErrorKind::KeyReused)));
        }
        if is_own {
            // An earlier claim of this run, which is not remembered: it may have run.
            self.set_state(&id, State::Spent, now_us);
            return Some((id, Ruling::Refuse(ErrorKind::KeySpent)));
        }
        Some((id, Ruling::AskHolder(Box::new(conflict))))
    }

    /// The holder of a claim has said what became of it, or could not be asked (`None`).
    pub fn holder_replied(
        &mut self,
        conflict: &Conflict,
        reply: Option<HolderReply>,
        now_us: u64,
    ) -> Option<Ruling> {
        let id = &conflict.id;
        if !matches!(self.entries.get(id)?.state, State::Claiming { .. }) {
            return None;
        }
        let ruling = match reply {
            Some(HolderReply::Released) => {
                let entry = self.entries.get_mut(id)?;
                entry.state = State::Claiming {
                    expected_version: conflict.version,
                };
                self.pending.push(id.clone());
                return None;
            }
            Some(HolderReply::Answered { answer }) => Ruling::Replay(answer),
            Some(HolderReply::Running) => Ruling::Refuse(ErrorKind::KeyRunning),
            Some(HolderReply::Spent | HolderReply::NotHolder) => {
                Ruling::Refuse(ErrorKind::KeySpent)
            }
            None => Ruling::Refuse(ErrorKind::KeyHolderAway),
        };
        match &ruling {
            Ruling::Refuse(ErrorKind::KeySpent) => self.set_state(id, State::Spent, now_us),
            _ => {
                self.entries.remove(id);
            }
        }
        Some(ruling)
    }

    /// The request was given up on before it was claimed or sent.
    pub fn give_up(&mut self, id: &ClaimId, now_us: u64) {
        let entry = self.entries.get(id);
        if entry.is_some_and(|entry| matches!(entry.state, State::Claiming { .. })) {
            self.set_state(id, State::Unsent, now_us);
        }
    }

    /// A claimed request has ended.
    pub fn end(&mut self, id: &ClaimId, ending: Ending, now_us: u64) {
        let state = match ending {
            Ending::Answered(answer) => {
                let size_bytes = answer.as_ref().map(StoredAnswer::size_bytes);
                if let Some(size_bytes) = size_bytes {
                    for dropped in self.answers.keep(id.clone(), size_bytes) {
                        self.forget_answer(&dropped);
                    }
                }
                State::Answered(answer)
            }
            Ending::NotRun => State::Unsent,
            Ending::Unknown => State::Spent,
        };
        self.set_state(id, state, now_us);
    }

    fn forget_answer(&mut self, id: &ClaimId) {
        if let Some(entry) = self.entries.get_mut(id)
            && matches!(entry.state, State::Answered(_))
        {
            entry.state = State::Answered(None);
        }
    }

    fn set_state(&mut self, id: &ClaimId, state: State, now_us: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.state = state;
            entry.changed_us = now_us;
        }
    }

    /// A peer asks what became of a claim that it found in the table.
    pub fn asked(&mut self, id: &ClaimId, row: &ClaimRow, now_us: u64) -> HolderReply {
        let Some(entry) = self.entries.get(id) else {
            return HolderReply::NotHolder;
        };
        if row.holder != self.own || row.nonce != entry.nonce {
            return HolderReply::NotHolder;
        }
        match &entry.state {
            State::Claiming { .. } | State::Running => HolderReply::Running,
            State::Answered(Some(answer)) => HolderReply::Answered {
                answer: answer.clone(),
            },
            State::Answered(None) | State::Spent => HolderReply::Spent,
            State::Unsent | State::Released => {
                // The promise is kept by the state: a resend to this daemon starts over with another nonce.
                self.set_state(id, State::Released, now_us);
                HolderReply::Released
            }
        }
    }

    /// Forgets claims that ended long ago.
    pub fn forget_old(&mut self, now_us: u64) {
        self.entries.retain(|_, entry| {
            let is_open = matches!(entry.state, State::Claiming { .. } | State::Running);
            is_open || now_us.saturating_sub(entry.changed_us) < REMEMBER_US
        });
    }

    /// Claims remembered, open and ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no claim is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
