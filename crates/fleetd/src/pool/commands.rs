//! Sends commands to workers. A decision is recorded before the commands that depend on it are sent, and the owner's
//! lease is checked right before each command.

use std::sync::Arc;
use std::time::{Duration, Instant};

use scheduler::{StartOutcome, StopStep, WorkerCommand, WorkerInfo, WorkerKey};
use smol_str::SmolStr;
use submission::TaskKey;
use tokio::sync::Semaphore;
use users_platform::{Error, StartCommand, StartRefusal, StartResponse};

use crate::pool::PoolOwner;
use crate::pool::lease_renewal::PollOutcome;
use crate::pool::recorder::task_name;

/// The maximum number of concurrent start commands to a worker. The number is small because new connections are
/// expensive, and more than 1 because a lost command must not delay the others.
const MAX_CONCURRENT_STARTS: usize = 2;

/// How many times a start command is sent without a response before a stop command rules out its effect.
const MAX_START_SENDS: u32 = 3;

/// The size of a start command without the job's payload and the checkpoint, with HTTP headers, in bytes.
const START_OVERHEAD_BYTES: usize = 400;

/// The retry delay of a stop command that was refused, got no response or could not be sent.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(250);

impl PoolOwner {
    /// Sends a command in the background.
    pub(crate) fn send_command(self: &Arc<Self>, command: WorkerCommand) {
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
                    owner
                        .set_speed_limit(worker, name, attempt, speed_limit_percent)
                        .await;
                });
            }
        }
    }

    /// Counts a command by its kind and its outcome.
    pub(super) fn count_command(&self, command: &str, outcome: &str) {
        let commands = &self.node.metrics.worker_commands;
        commands.with_label_values(&[command, outcome]).inc();
    }

    fn start_slots(&self, worker: WorkerKey) -> Arc<Semaphore> {
        let mut slots = self.start_slots.lock();
        let new = || Arc::new(Semaphore::new(MAX_CONCURRENT_STARTS));
        slots.entry(worker).or_insert_with(new).clone()
    }

    fn worker_info(&self, worker: WorkerKey) -> Option<WorkerInfo> {
        self.scheduler.lock().worker(worker).cloned()
    }

    /// Sends a start command and applies its outcome to the scheduler. When no response arrives to a command that may have
    /// been delivered, the outcome is unknown, and a stop command follows.
    async fn start(
        self: Arc<Self>,
        worker: WorkerKey,
        task: TaskKey,
        attempt: u32,
        checkpoint: SmolStr,
    ) {
        let Some(info) = self.worker_info(worker) else {
            return;
        };
        let slots = self.start_slots(worker);
        // The semaphore is never closed.
        let Ok(_slot) = slots.acquire().await else {
            return;
        };
        let mut is_sent = false;
        let mut may_be_delivered = false;
        let mut has_only_timed_out = true;
        let mut is_replaced = false;
        for _ in 0..MAX_START_SENDS {
            self.wait_for_link(task, &checkpoint).await;
            if self.may_start(worker, task, attempt) {
                match self.poll_before_start(worker, task, &info).await {
                    PollOutcome::Reported { .. } => {}
                    PollOutcome::OtherIncarnation { is_removed } => {
                        is_replaced = !is_removed;
                        break;
                    }
                    PollOutcome::NoReport => continue,
                }
            }
            let prepared = self.prepare_start(worker, task, attempt);
            let (lease_until_ms, name, spec, authorization) = match prepared {
                Ok(prepared) => prepared,
                Err(outcome) if !is_sent => {
                    self.count_command("start", "not sent");
                    self.apply_start_outcome(worker, task, attempt, outcome, None);
                    return;
                }
                Err(_) => break,
            };
            let command = StartCommand {
                task: &name,
                attempt,
                payload: &spec.payload,
                lease_until_ms,
                term: self.term,
                checkpoint: &checkpoint,
                authorization: authorization.as_deref(),
            };
            is_sent = true;
            let timeout = self.node.worker_timeout();
            let sent_at = Instant::now();
            let start = self
                .node
                .workers
                .start(&info.addr, &info.id, &command, timeout);
            let response = start.await;
            self.record_response(worker, sent_at);
            match &response {
                Ok(response) => {
                    is_replaced = *response == StartResponse::OtherIncarnation;
                    let start = (worker, task, attempt);
                    if !self.apply_start_response(start, &info, response, may_be_delivered) {
                        has_only_timed_out &= is_replaced;
                        break;
                    }
                    if is_replaced {
                        self.remove_replaced_worker(worker, &info);
                    }
                    return;
                }
                Err(Error::Unreachable) => {}
                Err(err) => {
                    may_be_delivered = true;
                    has_only_timed_out &= err.is_timeout();
                }
            }
            self.count_command("start", "unanswered");
        }
        let name = task_name(&self.scheduler.lock(), task);
        tracing::warn!(
            task = name.as_str(),
            run = attempt,
            worker = info.id.as_str(),
            may_be_delivered,
            has_only_timed_out,
            "start command got no response"
        );
        let outcome = match (may_be_delivered, has_only_timed_out) {
            (false, _) => StartOutcome::NotDelivered,
            (true, true) => StartOutcome::NoResponse,
            (true, false) => StartOutcome::OutcomeUnknown,
        };
        self.apply_start_outcome(worker, task, attempt, outcome, None);
        if is_replaced {
            self.remove_replaced_worker(worker, &info);
        }
        if may_be_delivered {
            self.stop(worker, name, Some(task), attempt).await;
        }
    }

    /// Waits until the link has room for the start command of a task.
    async fn wait_for_link(&self, task: TaskKey, checkpoint: &str) {
        let payload_bytes = {
            let scheduler = self.scheduler.lock();
            let job = scheduler.job(task.job);
            job.map_or(0, |job| job.spec().payload.len())
        };
        let bytes = START_OVERHEAD_BYTES + payload_bytes + checkpoint.len();
        self.node.wait_for_link(bytes).await;
    }

    /// Records how long a worker took to respond to a command that was sent at `sent_at`, or the timeout of the command.
    /// Workers that are known not to respond tell nothing of the link.
    fn record_response(&self, worker: WorkerKey, sent_at: Instant) {
        if self.scheduler.lock().is_responsive(worker) {
            self.node.record_worker_response(sent_at.elapsed());
        }
    }

    /// Whether a start command may be sent now.
    fn may_start(&self, worker: WorkerKey, task: TaskKey, attempt: u32) -> bool {
        self.may_send_commands() && self.scheduler.lock().may_start(worker, task, attempt)
    }

    /// Grants the lease of a start command and returns the end of the lease (in ms on the worker's clock), the task's
    /// name, the job's spec and the authorization of the policy service. Fails when the command must not be sent any
    /// more, with its outcome if it has not been sent before.
    fn prepare_start(
        &self,
        worker: WorkerKey,
        task: TaskKey,
        attempt: u32,
    ) -> Result<(u64, SmolStr, Arc<submission::JobSpec>, Option<SmolStr>), StartOutcome> {
        if !self.may_start(worker, task, attempt) {
            return Err(StartOutcome::Refused);
        }
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        if !scheduler.fits_capacity(worker) {
            return Err(StartOutcome::NoFreeCapacity);
        }
        let lease_until_ms = scheduler
            .grant_start_lease(worker, task, now)
            .ok_or(StartOutcome::Refused)?;
        let job = scheduler.job(task.job).ok_or(StartOutcome::Refused)?;
        let authorization = scheduler.authorization(worker, task, now);
        Ok((
            lease_until_ms,
            job.task_name(task.index),
            job.spec().clone(),
            authorization,
        ))
    }

    /// Applies the response to a start command. `may_be_delivered` tells whether an earlier send, without a response, may
    /// have been delivered. Returns false, and applies nothing, when the outcome is unknown nevertheless.
    fn apply_start_response(
        &self,
        (worker, task, attempt): (WorkerKey, TaskKey, u32),
        info: &WorkerInfo,
        response: &StartResponse,
        may_be_delivered: bool,
    ) -> bool {
        let (outcome, clock_ms, label) = match *response {
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
                // The attempt has started and ended, or was stopped: the next poll tells which.
                (StartOutcome::Started, Some(clock_ms), "old run")
            }
            StartResponse::Refused {
                refusal: StartRefusal::NotAuthorized,
                clock_ms,
            } => (
                StartOutcome::NotAuthorized,
                Some(clock_ms),
                "not authorized",
            ),
            StartResponse::Refused { clock_ms, .. } => {
                (StartOutcome::Refused, Some(clock_ms), "refused")
            }
            StartResponse::Unhealthy { .. } => (StartOutcome::Unhealthy, None, "unhealthy"),
            StartResponse::OtherIncarnation => (StartOutcome::NotDelivered, None, "other life"),
        };
        self.count_command("start", label);
        let name = task_name(&self.scheduler.lock(), task);
        tracing::info!(
            task = name.as_str(),
            run = attempt,
            worker = info.id.as_str(),
            outcome = label,
            term = self.term,
            "sent a start command"
        );
        if may_be_delivered && outcome.after_lost_response() == StartOutcome::OutcomeUnknown {
            return false;
        }
        self.apply_start_outcome(worker, task, attempt, outcome, clock_ms);
        true
    }

    fn apply_start_outcome(
        &self,
        worker: WorkerKey,
        task: TaskKey,
        attempt: u32,
        outcome: StartOutcome,
        clock_ms: Option<u64>,
    ) {
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.lock();
        scheduler.apply_start_outcome(worker, task, attempt, outcome, clock_ms, now);
        drop(scheduler);
        self.wake_lease_renewals(std::iter::once(worker));
        if outcome != StartOutcome::Started {
            self.recorder_waker.notify_one();
        }
    }

    /// Sends a stop command, and repeats the command until the worker accepts it or the scheduler withdraws it. Without a `task`
    /// (the attempt belongs to no assigned task), the command is sent once.
    async fn stop(
        self: Arc<Self>,
        worker: WorkerKey,
        name: SmolStr,
        task: Option<TaskKey>,
        attempt: u32,
    ) {
        let decided_at = Instant::now();
        let Some(task) = task else {
            // The next report lists an attempt again whose stop was lost.
            if let Some(info) = self
                .worker_info(worker)
                .filter(|_| self.may_send_commands())
            {
                let sent = self.send_stop(worker, &info, (&name, attempt), decided_at);
                let _ = sent.await;
            }
            return;
        };
        let mut may_be_delivered = false;
        loop {
            let Some(info) = self.worker_info(worker) else {
                return;
            };
            if self.has_ended() {
                return;
            }
            let step = {
                let now = self.node.clock.now();
                let mut scheduler = self.scheduler.lock();
                scheduler.next_stop_step(worker, task, attempt, may_be_delivered, now)
            };
            if step == StopStep::Withdrawn {
                return;
            }
            if step == StopStep::Send && self.may_send_commands() {
                let sent = self.send_stop(worker, &info, (&name, attempt), decided_at);
                match sent.await {
                    Ok(true) => {
                        let now = self.node.clock.now();
                        let mut scheduler = self.scheduler.lock();
                        scheduler.stop_accepted(worker, task, attempt, now);
                        drop(scheduler);
                        self.wake_lease_renewals(std::iter::once(worker));
                        return;
                    }
                    Ok(false) => {}
                    Err(err) => may_be_delivered |= !err.is_without_effect(),
                }
            }
            tokio::time::sleep(STOP_RETRY_DELAY).await;
        }
    }

    /// Sends a stop command once, which was decided on at `decided_at`. Returns whether the worker accepted it.
    async fn send_stop(
        &self,
        worker: WorkerKey,
        info: &WorkerInfo,
        (name, attempt): (&SmolStr, u32),
        decided_at: Instant,
    ) -> Result<bool, Error> {
        let decision_age_ms = decided_at.elapsed().as_millis();
        let target = (name.as_str(), attempt);
        let timeout = self.node.worker_timeout();
        let sent_at = Instant::now();
        let stop = self
            .node
            .workers
            .stop(&info.addr, &info.id, target, self.term, timeout);
        let response = stop.await;
        self.record_response(worker, sent_at);
        self.count_command("stop", response_label(&response));
        tracing::info!(
            task = name.as_str(),
            run = attempt,
            worker = info.id.as_str(),
            is_taken = response.as_ref().ok(),
            term = self.term,
            decision_age_ms,
            error = response.as_ref().err().map(tracing::field::display),
            "sent a stop command"
        );
        response
    }

    /// Sends a speed limit for a best-effort task, once.
    async fn set_speed_limit(
        self: Arc<Self>,
        worker: WorkerKey,
        name: SmolStr,
        attempt: u32,
        speed_limit_percent: u32,
    ) {
        let Some(info) = self.worker_info(worker) else {
            return;
        };
        if !self.may_send_commands() {
            self.scheduler.lock().forget_speed_limit(worker, &name);
            return;
        }
        let target = (name.as_str(), attempt);
        let command = self.node.workers.set_speed_limit(
            &info.addr,
            &info.id,
            target,
            (speed_limit_percent, self.term),
            self.node.worker_timeout(),
        );
        let response = command.await;
        self.count_command("pace", response_label(&response));
        if !matches!(response, Ok(true)) {
            self.scheduler.lock().forget_speed_limit(worker, &name);
        }
    }
}

/// Returns the outcome under which a stop or speed limit command is counted: whether the worker responded.
fn response_label<T, E>(response: &Result<T, E>) -> &'static str {
    if response.is_ok() {
        "answered"
    } else {
        "unanswered"
    }
}
