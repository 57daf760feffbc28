//! The platform's HTTP protocol.

use std::net::SocketAddr;
use std::time::Duration;

use domain::{OpId, VmId};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use tracing::Instrument;

use crate::api::{
    Commit, ListedVm, Objects, Row, RowEntry, Table, TaskOrder, TaskReport, Transaction, VmList,
    WorkerControl,
};
use crate::error::{Error, Result};

/// A client of the platform's service.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    http: Client,
    base: String,
}

impl PlatformClient {
    /// A client of the service at `addr`, whose calls take no longer than `timeout_ms`.
    ///
    /// # Panics
    /// When the HTTP library can't be set up, which needs no outside resource.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout_ms: u64) -> Self {
        let http = Client::builder()
            .no_proxy()
            .timeout(Duration::from_millis(timeout_ms))
            .build()
            .expect("a client without TLS has nothing that can fail");
        Self {
            http,
            base: format!("http://{addr}"),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}

async fn send(request: RequestBuilder, call: &'static str) -> Result<Response> {
    let span = tracing::info_span!("platform", call);
    let response = request.send().instrument(span).await.map_err(from_http)?;
    let status = response.status();
    if status.is_server_error() {
        return Err(Error::Lost {
            message: format!("status {}", status.as_u16()),
        });
    }
    Ok(response)
}

async fn read<T: DeserializeOwned>(response: Response) -> Result<T> {
    let status = response.status();
    if !status.is_success() && status != StatusCode::CONFLICT {
        return Err(Error::Refused {
            status: status.as_u16(),
        });
    }
    response.json().await.map_err(from_http)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function of map_err"
)]
fn from_http(err: reqwest::Error) -> Error {
    if err.is_connect() {
        return Error::Unreachable;
    }
    Error::Lost {
        message: err.to_string(),
    }
}

impl Table for PlatformClient {
    async fn transact(&self, transaction: &Transaction) -> Result<Commit> {
        let request = self.http.post(self.url("/table/transactions"));
        read(send(request.json(transaction), "transact").await?).await
    }

    async fn get(&self, keys: &[&str]) -> Result<Vec<Option<Row>>> {
        let request = self.http.post(self.url("/table/reads"));
        read(send(request.json(keys), "get").await?).await
    }

    async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<RowEntry>> {
        let request = self.http.get(self.url("/table/rows"));
        let limit = limit.to_string();
        let request = request.query(&[("prefix", prefix), ("after", after), ("limit", &limit)]);
        read(send(request, "list").await?).await
    }
}

impl Objects for PlatformClient {
    async fn put_object(&self, name: &str, text: String) -> Result<()> {
        let request = self.http.put(self.url(&format!("/objects/{name}")));
        read(send(request.body(text), "put-object").await?).await
    }

    async fn get_object(&self, name: &str) -> Result<Option<String>> {
        let request = self.http.get(self.url(&format!("/objects/{name}")));
        let response = send(request, "get-object").await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        response.text().await.map(Some).map_err(from_http)
    }
}

impl VmList for PlatformClient {
    async fn list_vms(&self) -> Result<Vec<ListedVm>> {
        read(send(self.http.get(self.url("/vms")), "list-vms").await?).await
    }
}

impl WorkerControl for PlatformClient {
    async fn reboot(&self, vm: &VmId, op: &OpId) -> Result<u64> {
        let request = self.http.post(self.url(&format!("/vms/{vm}/reboots/{op}")));
        read(send(request, "reboot").await?).await
    }

    async fn start_task(&self, task: &TaskOrder) -> Result<()> {
        let request = self.http.post(self.url("/tasks"));
        read(send(request.json(task), "start-task").await?).await
    }

    async fn stop_task(&self, task: &str, is_kept: bool) -> Result<()> {
        let end = if is_kept { "checkpoints" } else { "stops" };
        let request = self.http.post(self.url(&format!("/tasks/{task}/{end}")));
        read(send(request, "stop-task").await?).await
    }

    async fn renew_tasks(&self, tasks: &[SmolStr], lease_ms: u64) -> Result<()> {
        let request = self.http.post(self.url("/leases"));
        read(send(request.json(&(tasks, lease_ms)), "renew-tasks").await?).await
    }

    async fn list_tasks(&self) -> Result<Vec<TaskReport>> {
        read(send(self.http.get(self.url("/tasks")), "list-tasks").await?).await
    }

    async fn forget_tasks(&self, tasks: &[SmolStr]) -> Result<()> {
        let request = self.http.post(self.url("/forgotten-tasks"));
        read(send(request.json(tasks), "forget-tasks").await?).await
    }
}
