//! Sends orders to workers. Each was recorded before, and is checked against the owner's lease right before.

use std::sync::Arc;
use std::time::Duration;

use scheduler::{StartOutcome, WorkerCommand, WorkerInfo, WorkerKey};
use smol_str::SmolStr;
use submission::TaskKey;
use tokio::sync::Semaphore;
use users_platform::{StartCommand, StartRefusal, StartResponse};

use crate::pool::PoolOwner;
use crate::pool::recorder::task_name;

/// How long a worker may take to answer an order. Fifty times its usual time; a lost one costs the caller as much.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);

/// Orders to one worker that are under way at the same time. New connections are dear, and one lost order must not
/// hold up the others.
const ORDERS_PER_WORKER: usize = 2;

/// How often an order to start is sent before its effect is ruled out by an order to stop.
const START_TRIES: u32 = 3;

/// The pause before an order to stop is sent again.
const STOP_PAUSE: Duration = Duration::from_millis(250);

impl PoolOwner {
    /// Sends an order in the background.
    pub(crate) fn send_order(self: &Arc<Self>, command: WorkerCommand) {
        let owner = self.clone();
        match command {
            WorkerCommand::Start {
                worker,
                task,
                attempt,
                checkpoint,
            } => {
                tokio::spawn(async move { owner.start(worker, task, attempt, checkpoint).await });
            }
            WorkerCommand::Stop {
                worker,
                name,
                task,
                attempt,
            } => {
                tokio::spawn(async move { owner.stop(worker, name, task, attempt).await });
            }
            WorkerCommand::SetSpeedLimit {
                worker,
                name,
                attempt,
                speed_limit_percent,
            } => {
                tokio::spawn(async move {
                    owner.pace(worker, name, attempt, speed_limit_percent).await;
                });
            }
        }
    }

    /// Counts an order by what came of it.
    pub(super) fn count_order(&self, order: &str, outcome: &str) {
        let orders = &self.node.metrics.worker_commands;
        orders.with_label_values(&[order, outcome]).inc();
    }

    fn slots(&self, worker: WorkerKey) -> Arc<Semaphore> {
        let mut slots = self.order_slots.lock();
        let new = || Arc::new(Semaphore::new(ORDERS_PER_WORKER));
        slots.entry(worker).or_insert_with(new).clone()
    }

    fn worker_info(&self, worker: WorkerKey) -> Option<WorkerInfo> {
        self.scheduler.lock().worker(worker).cloned()
    }

    async fn start(
        self: Arc<Self>,
        worker: WorkerKey,
        task: TaskKey,
        run: u32,
        checkpoint: SmolStr,
    ) {
        let Some(info) = self.worker_info(worker) else {
            return;
        };
        let slots = self.slots(worker);
        // The semaphore is never closed.
        let Ok(_slot) = slots.acquire().await else {
            return;
        };
        for sent in 0..START_TRIES {
            let Some((lease_until_ms, name, payload, ticket)) = self.start_order(worker, task, run)
            else {
                if sent == 0 {
                    self.start_outcome(worker, task, run, StartOutcome::Refused, None);
                    return;
                }
                break;
            };
            let order = StartCommand {
                task: &name,
                attempt: run,
                payload: &payload.payload,
                lease_until_ms,
                term: self.term,
                checkpoint: &checkpoint,
                authorization: ticket.as_deref(),
            };
            let start = self
                .node
                .workers
                .start(&info.addr, &info.id, &order, ORDER_TIMEOUT);
            let answer = start.await;
            if let Ok(answer) = &answer {
                self.started(worker, task, run, &info, answer);
                return;
            }
            self.count_order("start", "unanswered");
        }
        let name = task_name(&self.scheduler.lock(), task);
        tracing::warn!(
            task = name.as_str(),
            run,
            worker = info.id.as_str(),
            "an order to start got no answer"
        );
        self.start_outcome(worker, task, run, StartOutcome::OutcomeUnknown, None);
        self.stop(worker, name, Some(task), run).await;
    }

    /// What an order to start carries; `None` when it must not be sent any more.
    fn start_order(
        &self,
        worker: WorkerKey,
        task: TaskKey,
        run: u32,
    ) -> Option<(u64, SmolStr, Arc<submission::JobSpec>, Option<SmolStr>)> {
        if !self.may_order() {
            return None;
        }
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        if !scheduler.may_start(worker, task, run) {
            return None;
        }
        let lease_until_ms = scheduler.grant_start_lease(worker, now)?;
        let job = scheduler.job(task.job)?;
        let ticket = scheduler.authorization(worker, task, now);
        Some((
            lease_until_ms,
            job.task_name(task.index),
            job.spec().clone(),
            ticket,
        ))
    }

    fn started(
        &self,
        worker: WorkerKey,
        task: TaskKey,
        run: u32,
        info: &WorkerInfo,
        answer: &StartResponse,
    ) {
        let (outcome, clock_ms, label) = match *answer {
            StartResponse::Started { clock_ms } => {
                (StartOutcome::Started, Some(clock_ms), "started")
            }
            StartResponse::Refused {
                refusal: StartRefusal::NoFreeCapacity,
                clock_ms,
            } => (StartOutcome::NoFreeCapacity, Some(clock_ms), "no room"),
            StartResponse::Refused {
                refusal: StartRefusal::StaleAttempt,
                clock_ms,
            } => {
                // The run was there and has ended, or was stopped: the next look tells.
                (StartOutcome::Started, Some(clock_ms), "old run")
            }
            StartResponse::Refused { clock_ms, .. } => {
                (StartOutcome::Refused, Some(clock_ms), "refused")
            }
            StartResponse::Unhealthy { .. } => (StartOutcome::Unhealthy, None, "unhealthy"),
            StartResponse::OtherIncarnation => {
                self.scheduler
                    .lock()
                    .incarnation_ended(worker, self.node.clock.now());
                self.changed.notify_one();
                return;
            }
        };
        self.count_order("start", label);
        let name = task_name(&self.scheduler.lock(), task);
        tracing::info!(
            task = name.as_str(),
            run,
            worker = info.id.as_str(),
            outcome = label,
            term = self.term,
            "ordered a start"
        );
        self.start_outcome(worker, task, run, outcome, clock_ms);
    }

    fn start_outcome(
        &self,
        worker: WorkerKey,
        task: TaskKey,
        run: u32,
        outcome: StartOutcome,
        clock_ms: Option<u64>,
    ) {
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        scheduler.apply_start_outcome(worker, task, run, outcome, clock_ms, now);
        drop(scheduler);
        self.wake_holds(std::iter::once(worker));
        if outcome != StartOutcome::Started {
            self.changed.notify_one();
        }
    }

    async fn stop(
        self: Arc<Self>,
        worker: WorkerKey,
        name: SmolStr,
        task: Option<TaskKey>,
        run: u32,
    ) {
        loop {
            let Some(info) = self.worker_info(worker) else {
                return;
            };
            let is_open =
                task.is_none_or(|task| self.scheduler.lock().is_assigned(worker, task, run));
            if !is_open || !self.may_order() {
                return;
            }
            let order = (name.as_str(), run);
            let stop =
                self.node
                    .workers
                    .stop(&info.addr, &info.id, order, self.term, ORDER_TIMEOUT);
            let answer = stop.await;
            self.count_order("stop", answered(&answer));
            if let Ok(is_taken) = answer {
                tracing::info!(
                    task = name.as_str(),
                    run,
                    worker = info.id.as_str(),
                    is_taken,
                    "ordered a stop"
                );
                if let Some(task) = task.filter(|_| is_taken) {
                    let now = self.node.clock.now();
                    self.scheduler.lock().stop_accepted(worker, task, run, now);
                    self.wake_holds(std::iter::once(worker));
                }
                return;
            }
            if task.is_none() {
                // The next look shows it again.
                return;
            }
            tokio::time::sleep(STOP_PAUSE).await;
        }
    }

    async fn pace(self: Arc<Self>, worker: WorkerKey, name: SmolStr, run: u32, percent: u32) {
        let Some(info) = self.worker_info(worker).filter(|_| self.may_order()) else {
            return;
        };
        let order = (name.as_str(), run);
        let pace = self.node.workers.set_speed_limit(
            &info.addr,
            &info.id,
            order,
            (percent, self.term),
            ORDER_TIMEOUT,
        );
        let answer = pace.await;
        self.count_order("pace", answered(&answer));
        if answer.is_err() {
            // The next look finds the pace unknown and sets it again.
            self.scheduler.lock().forget_speed_limit(worker, &name);
        }
    }
}

/// The outcome by which an order without one of its own is counted.
fn answered<T, E>(answer: &Result<T, E>) -> &'static str {
    if answer.is_ok() {
        "answered"
    } else {
        "unanswered"
    }
}
