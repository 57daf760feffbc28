//! The platform's protocol, served from a [`PlatformStore`].

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use domain::VmId;
use http::StatusCode;
use parking_lot::Mutex;
use platform::{ListedState, TaskState, Transaction};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use warp::Filter;
use warp::reply::{Reply, Response};

use crate::platform_store::{Faults, PlatformStore};

/// What is done to a VM's executors when it reboots: `false` takes them down, `true` brings them up.
type RebootHook = Arc<dyn Fn(&VmId, bool) + Send + Sync>;

/// A running platform stand-in.
#[derive(Clone)]
pub struct PlatformStandIn {
    /// Where it listens.
    pub addr: SocketAddr,
    store: Arc<Mutex<PlatformStore>>,
    hook: RebootHook,
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    prefix: String,
    after: String,
    limit: usize,
}

impl PlatformStandIn {
    /// Starts a stand-in on `listener`. `hook` is called when a VM goes down or comes up in a reboot.
    ///
    /// # Panics
    /// When the listener has no address.
    #[must_use]
    pub fn start(
        listener: TcpListener,
        hook: impl Fn(&VmId, bool) + Send + Sync + 'static,
    ) -> Self {
        let stand_in = Self {
            addr: listener.local_addr().expect("a bound address"),
            store: Arc::default(),
            hook: Arc::new(hook),
        };
        let served = warp::serve(stand_in.routes()).incoming(listener);
        tokio::spawn(served.run());
        stand_in
    }

    /// Looks at or changes the store.
    pub fn with<R>(&self, f: impl FnOnce(&mut PlatformStore) -> R) -> R {
        f(&mut self.store.lock())
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: Faults) {
        self.with(|store| store.faults = faults);
    }

    /// Applies the faults of now; an answer when the call fails by them.
    async fn fault(&self) -> Option<Response> {
        let faults = self.with(|store| store.faults);
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let is_out = self.with(|store| store.faults.outage);
        is_out.then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
    }

    async fn call<T: Serialize>(self, f: impl FnOnce(&mut PlatformStore) -> T) -> Response {
        if let Some(response) = self.fault().await {
            return response;
        }
        warp::reply::json(&self.with(f)).into_response()
    }

    async fn transact(self, transaction: Transaction) -> Response {
        if let Some(response) = self.fault().await {
            return response;
        }
        let commit = self.with(|store| {
            let commit = store.transact(&transaction);
            if store.faults.lose_answers == 0 {
                return Some(commit);
            }
            store.faults.lose_answers -= 1;
            None
        });
        match commit {
            Some(commit) => warp::reply::json(&commit).into_response(),
            None => StatusCode::BAD_GATEWAY.into_response(),
        }
    }

    async fn reboot(self, vm: String, op: String) -> Response {
        if let Some(response) = self.fault().await {
            return response;
        }
        let Ok(vm) = VmId::new(&vm) else {
            return StatusCode::BAD_REQUEST.into_response();
        };
        let (boots, is_first) = self.with(|store| store.reboot(vm.clone(), op));
        if is_first {
            let hook = self.hook.clone();
            let reboot_time = self.with(|store| store.reboot_time());
            hook(&vm, false);
            tokio::spawn(async move {
                tokio::time::sleep(reboot_time).await;
                hook(&vm, true);
            });
        }
        warp::reply::json(&boots).into_response()
    }

    async fn get_object(self, name: String) -> Response {
        if let Some(response) = self.fault().await {
            return response;
        }
        match self.with(|store| store.object(&name).cloned()) {
            Some(text) => text.into_response(),
            None => StatusCode::NOT_FOUND.into_response(),
        }
    }

    fn routes(&self) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone + use<> {
        let own = self.clone();
        let with_own = warp::any().map(move || own.clone());
        let transactions = warp::path!("table" / "transactions")
            .and(with_own.clone())
            .and(warp::body::json())
            .then(|own: Self, transaction| own.transact(transaction));
        let reads = warp::path!("table" / "reads")
            .and(with_own.clone())
            .and(warp::body::json())
            .then(|own: Self, keys: Vec<String>| own.call(move |store| store.get(&keys)));
        let list = warp::path!("table" / "rows")
            .and(with_own.clone())
            .and(warp::query())
            .then(|own: Self, query: ListQuery| {
                own.call(move |store| store.list(&query.prefix, &query.after, query.limit))
            });
        let put = warp::path!("objects" / String)
            .and(warp::put())
            .and(with_own.clone())
            .and(warp::body::bytes())
            .then(|name, own: Self, text: bytes::Bytes| {
                let text = String::from_utf8_lossy(&text).into_owned();
                own.call(move |store| store.put_object(name, text))
            });
        let get = warp::path!("objects" / String)
            .and(warp::get())
            .and(with_own.clone())
            .then(|name, own: Self| own.get_object(name));
        let vms = warp::path!("vms")
            .and(with_own.clone())
            .then(|own: Self| own.call(|store| store.list_vms()));
        let reboots = warp::path!("vms" / String / "reboots" / String)
            .and(with_own.clone())
            .then(|vm, op, own: Self| own.reboot(vm, op));
        let tables = transactions.or(reads).unify().or(list).unify();
        let objects = put.or(get).unify();
        let machines = vms.or(reboots).unify();
        let tasks = self.task_routes();
        let admin = self.admin_routes();
        let all = tables
            .or(objects)
            .unify()
            .or(machines)
            .unify()
            .or(tasks)
            .unify()
            .or(admin)
            .unify();
        all.recover(async |_| Ok::<_, Infallible>(StatusCode::NOT_FOUND.into_response()))
            .unify()
    }

    /// The workers' tasks.
    fn task_routes(
        &self,
    ) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + use<> {
        let own = self.clone();
        let with_own = warp::any().map(move || own.clone());
        let start = warp::path!("tasks")
            .and(warp::post())
            .and(with_own.clone())
            .and(warp::body::json())
            .then(|own: Self, order| own.call(move |store| store.tasks.start(order)));
        let list = warp::path!("tasks")
            .and(warp::get())
            .and(with_own.clone())
            .then(|own: Self| own.call(|store| store.tasks.list()));
        let stop = warp::path!("tasks" / String / String)
            .and(with_own.clone())
            .then(|task: String, end: String, own: Self| {
                let state = match end.as_str() {
                    "checkpoints" => TaskState::Checkpointed,
                    _ => TaskState::Lost,
                };
                own.call(move |store| store.tasks.stop(&task, state))
            });
        let renew = warp::path!("leases")
            .and(with_own.clone())
            .and(warp::body::json())
            .then(|own: Self, (names, lease_ms): (Vec<String>, u64)| {
                own.call(move |store| store.tasks.renew(&names, lease_ms))
            });
        let forget = warp::path!("forgotten-tasks")
            .and(with_own)
            .and(warp::body::json())
            .then(|own: Self, names: Vec<String>| {
                own.call(move |store| store.tasks.forget(&names))
            });
        let running = start.or(list).unify().or(stop).unify();
        running.or(renew).unify().or(forget).unify()
    }

    /// Paths for experiments, which faults do not touch.
    fn admin_routes(
        &self,
    ) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + use<> {
        let own = self.clone();
        let faults = warp::path!("admin" / "faults")
            .and(warp::body::json())
            .map(move |faults| {
                own.set_faults(faults);
                StatusCode::OK.into_response()
            });
        let own = self.clone();
        let vm =
            warp::path!("admin" / "vms" / String / String).map(move |vm: String, state: String| {
                let listed = match state.as_str() {
                    "up" => ListedState::Live,
                    "leaving" => ListedState::Leaving,
                    _ => ListedState::Down,
                };
                let Ok(vm) = VmId::new(&vm) else {
                    return StatusCode::BAD_REQUEST.into_response();
                };
                own.with(|store| store.set_vm(vm, listed));
                StatusCode::OK.into_response()
            });
        faults.or(vm).unify()
    }
}
