//! Keeps the view of the fleet recent: reads the heads, and takes in what is new.

use std::sync::Arc;

use domain::{ConfigHead, Epoch, FleetHead, FleetSeq, VmId, VmRecord};
use membership::View;
use parking_lot::Mutex;
use peer::{PeerRpcClient, ViewContents};
use platform::{Error, Platform, Row, RowEntry};
use settings::Deployment;
use xtra::prelude::*;

use crate::control::Clients;
use crate::control::lease::SeenLease;
use crate::control::rows::{self, ChangeRow, StewardRow};
use crate::in_force::Config;
use crate::shared::Shared;

/// The result of taking in a view.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// With more changes missing than this, all records are read anew.
const MAX_CHANGES: u64 = 64;

/// Records read at once.
const PAGE_ROWS: usize = 500;

/// Reads the heads now, and takes in what is new.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Poll;

/// Keeps the view of the fleet recent.
#[derive(Debug, xtra::Actor)]
pub(crate) struct ViewActor<P: Platform> {
    shared: Arc<Shared<P>>,
    clients: Clients,
    lease: Arc<Mutex<SeenLease>>,
    seen_pauses: u64,
}

impl<P: Platform> ViewActor<P> {
    pub(crate) fn new(
        shared: Arc<Shared<P>>,
        clients: Clients,
        lease: Arc<Mutex<SeenLease>>,
    ) -> Self {
        Self {
            shared,
            clients,
            lease,
            seen_pauses: 0,
        }
    }

    async fn poll(&mut self) {
        let shared = self.shared.clone();
        let pauses = shared.timer.pauses();
        if pauses != self.seen_pauses {
            self.seen_pauses = pauses;
            shared.metrics.pauses.inc();
            shared.freshness.lock().invalidate();
            log::warn!("this process was paused; its view is read again before it is trusted");
        }
        let asked_us = shared.clock.now_us();
        let caught_up = self.poll_platform(asked_us).await;
        shared.set_platform_reachable(caught_up.is_ok());
        if caught_up.is_err() && shared.in_force().config.is_none() {
            self.ask_peers().await;
        }
        let now_us = shared.clock.now_us();
        let (as_of_us, is_fresh) = {
            let freshness = shared.freshness.lock();
            (
                freshness.as_of_us().unwrap_or(0),
                freshness.is_fresh(now_us),
            )
        };
        shared.change_in_force(|in_force| in_force.expire_holds(as_of_us));
        shared
            .traffic
            .with(|router, _, _| router.set_view_is_fresh(is_fresh));
        shared.set_rechecked(pauses);
    }

    async fn poll_platform(&mut self, asked_us: u64) -> Result<()> {
        let shared = &self.shared;
        let keys = [rows::CONFIG_HEAD, rows::FLEET_HEAD, rows::STEWARD];
        let rows = shared.platform.get(&keys).await?;
        let [config, fleet, steward] = rows.as_slice() else {
            return Err(unreadable("the heads", &"another number of rows"));
        };
        self.saw_lease(steward.as_ref())?;
        let head = read::<ConfigHead>(config.as_ref(), rows::CONFIG_HEAD)?;
        let fleet = read::<FleetHead>(fleet.as_ref(), rows::FLEET_HEAD)?.unwrap_or_default();
        let newest = View {
            epoch: head.as_ref().map_or(Epoch::default(), |head| head.epoch),
            fleet_seq: fleet.seq,
        };
        if let Some(head) = head
            && head.epoch > shared.view().epoch
        {
            self.take_in_config(head).await?;
        }
        if fleet.seq > shared.view().fleet_seq {
            self.take_in_changes(fleet.seq).await?;
        }
        let own = shared.view();
        shared.freshness.lock().confirm(own, newest, asked_us);
        Ok(())
    }

    fn saw_lease(&self, row: Option<&Row>) -> Result<()> {
        let steward = read::<StewardRow>(row, rows::STEWARD)?;
        let version = row.map_or(0, |row| row.version);
        let now_us = self.shared.clock.now_us();
        self.lease.lock().saw(version, steward, now_us);
        Ok(())
    }

    async fn take_in_config(&self, head: ConfigHead) -> Result<()> {
        let same = self.shared.in_force().config.clone();
        let same = same.filter(|config| config.head.digest == head.digest);
        let text: Arc<str> = if let Some(config) = same {
            config.text
        } else {
            let name = rows::document(&head.digest);
            let text = self.shared.platform.get_object(&name).await?;
            let text = text.ok_or_else(|| unreadable(&name, &"no such object"))?;
            text.into()
        };
        put_in_force(&self.shared, head, text)
    }

    async fn take_in_changes(&self, newest: FleetSeq) -> Result<()> {
        let own = self.shared.view().fleet_seq;
        if newest.0 - own.0 > MAX_CHANGES {
            return self.take_in_all_records(newest).await;
        }
        let seqs: Vec<_> = (own.0 + 1..=newest.0).map(FleetSeq).collect();
        let keys: Vec<_> = seqs.iter().map(|seq| rows::change(*seq)).collect();
        let keys: Vec<_> = keys.iter().map(String::as_str).collect();
        let changes = self.shared.platform.get(&keys).await?;
        for ((seq, key), row) in seqs.into_iter().zip(keys).zip(&changes) {
            let Some(change) = read::<ChangeRow>(row.as_ref(), key)? else {
                return self.take_in_all_records(newest).await;
            };
            let apply = |in_force: &mut crate::in_force::InForce| {
                in_force.apply_change(seq, change.vm, change.record)
            };
            self.shared.change_in_force(apply);
        }
        Ok(())
    }

    /// Reads all records. They may be younger than `at_least`, in which case the changes in between are applied
    /// once more later, which does no harm.
    async fn take_in_all_records(&self, at_least: FleetSeq) -> Result<()> {
        let mut records = Vec::new();
        let mut after = String::new();
        loop {
            let page = self
                .shared
                .platform
                .list(rows::VMS, &after, PAGE_ROWS)
                .await?;
            let Some(last) = page.last() else {
                break;
            };
            after.clone_from(&last.key);
            for entry in &page {
                records.extend(read_vm(entry)?);
            }
        }
        self.shared
            .change_in_force(|in_force| in_force.apply_records(at_least, records));
        Ok(())
    }

    /// Starts from a peer while the platform is away.
    async fn ask_peers(&self) {
        for (_, client) in self.clients.iter() {
            let have = self.shared.view();
            let asked_us = self.shared.clock.now_us();
            if let Ok(Some(contents)) = client.rpc.view(have).await {
                self.take_in_contents(contents, asked_us);
            }
        }
    }

    fn take_in_contents(&self, contents: ViewContents, asked_us: u64) {
        let shared = &self.shared;
        let newest = View {
            epoch: contents.head.epoch,
            fleet_seq: contents.fleet_seq,
        };
        let own_text = shared
            .in_force()
            .config
            .as_ref()
            .map(|config| config.text.clone());
        if let Some(text) = contents.text.map(Arc::from).or(own_text)
            && let Err(err) = put_in_force(shared, contents.head, text)
        {
            log::warn!("a peer's configuration was not taken: {err}");
        }
        shared.change_in_force(|in_force| {
            in_force.apply_records(contents.fleet_seq, contents.records)
        });
        if let Some(age_us) = contents.age_us {
            let as_of_us = asked_us.saturating_sub(age_us);
            shared
                .freshness
                .lock()
                .confirm(shared.view(), newest, as_of_us);
        }
    }
}

fn put_in_force<P: Platform>(shared: &Shared<P>, head: ConfigHead, text: Arc<str>) -> Result<()> {
    let name = rows::document(&head.digest);
    if Deployment::digest(&text) != head.digest {
        return Err(unreadable(&name, &"its digest is another one"));
    }
    let deployment = Deployment::parse(&text).map_err(|err| unreadable(&name, &err))?;
    let (epoch, preset) = (head.epoch, head.preset.clone());
    let config = Config {
        head,
        text,
        deployment: Arc::new(deployment),
    };
    if shared.change_in_force(|in_force| in_force.apply_config(config)) {
        log::info!("configuration {epoch} is in force, preset {preset}");
    }
    Ok(())
}

fn read_vm(entry: &RowEntry) -> Result<Option<(VmId, VmRecord)>> {
    let Some(row) = &entry.row else {
        return Ok(None);
    };
    let id = entry.key.strip_prefix(rows::VMS).unwrap_or_default();
    let id = VmId::new(id).map_err(|err| unreadable(&entry.key, &err))?;
    Ok(Some((id, row.read(&entry.key)?)))
}

fn read<T: serde::de::DeserializeOwned>(row: Option<&Row>, key: &str) -> Result<Option<T>> {
    row.map(|row| row.read(key)).transpose()
}

fn unreadable(key: &str, message: &impl ToString) -> Error {
    Error::Unreadable {
        key: key.into(),
        message: message.to_string(),
    }
}

impl<P: Platform> Handler<Poll> for ViewActor<P> {
    type Return = ();

    async fn handle(&mut self, _: Poll, _: &mut Context<Self>) {
        self.poll().await;
    }
}

/// A peer has more in force than this daemon.
#[derive(Debug, Clone)]
pub(crate) struct CatchUpFrom {
    pub(crate) peer: domain::EntryVmId,
}

impl<P: Platform> Handler<CatchUpFrom> for ViewActor<P> {
    type Return = ();

    async fn handle(&mut self, message: CatchUpFrom, _: &mut Context<Self>) {
        let Some(client) = self.clients.get(&message.peer) else {
            return;
        };
        let asked_us = self.shared.clock.now_us();
        let have = self.shared.view();
        if let Ok(Some(contents)) = client.rpc.view(have).await {
            self.take_in_contents(contents, asked_us);
        }
    }
}
