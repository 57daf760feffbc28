//! The platform's metadata store, with the limits of its page.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::http::{Request, Response};
use crate::record::Record;

const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_ROW_BYTES: usize = 65_536;
const MAX_ROWS: usize = 500;
const TX_TIME: Duration = Duration::from_millis(5);
const READ_TIME: Duration = Duration::from_millis(4);

type Key = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (u64, String)>,
    changes: Vec<(u64, Key)>,
    version: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Notify,
    start: Instant,
    record: Arc<Record>,
    /// The number of transactions that were refused for their size.
    refused: AtomicU64,
}

fn text(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or_default().to_owned()
}

fn key(value: &Value) -> Key {
    (
        text(value, "table"),
        text(value, "part"),
        text(value, "key"),
    )
}

fn row(state: &State, key: &Key) -> Value {
    let (table, part, name) = key;
    match state.rows.get(key) {
        Some((version, value)) => {
            json!({"table": table, "part": part, "key": name, "value": value, "ver": version})
        }
        None => json!({"table": table, "part": part, "key": name, "ver": 0, "removed": true}),
    }
}

fn raw_len(value: &str) -> usize {
    STANDARD.decode(value).map_or(usize::MAX, |raw| raw.len())
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Notify::new(),
            start: Instant::now(),
            record,
            refused: AtomicU64::new(0),
        })
    }

    pub fn now_ms(&self) -> u64 {
        1 + u64::try_from(self.start.elapsed().as_millis()).unwrap_or(0)
    }

    /// Writes or removes a row as the operator and the executors do.
    pub fn put(&self, table: &str, name: &str, value: Option<&Value>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), String::new(), name.to_owned());
        match value {
            Some(value) => {
                let value = STANDARD.encode(value.to_string());
                state.rows.insert(key.clone(), (version, value));
            }
            None => {
                state.rows.remove(&key);
            }
        }
        state.changes.push((version, key));
        drop(state);
        self.changed.notify_waiters();
    }

    pub async fn handle(self: Arc<Self>, request: Request) -> Response {
        match request.path.as_str() {
            "/v1/rows-tx" => {
                tokio::time::sleep(TX_TIME).await;
                Some(self.transaction(&request))
            }
            "/v1/rows-get" => {
                tokio::time::sleep(READ_TIME).await;
                Some(self.read(&request))
            }
            "/v1/rows-feed" => Some(self.feed(&request).await),
            _ => Some((404, json!({}))),
        }
    }

    fn transaction(&self, request: &Request) -> (u16, Value) {
        let list = |name: &str| request.body[name].as_array().cloned().unwrap_or_default();
        let (conditions, writes, removals) = (list("expectRev"), list("writes"), list("remove"));
        let entries = conditions.len() + writes.len() + removals.len();
        let largest = writes
            .iter()
            .map(|write| raw_len(write["value"].as_str().unwrap_or("")));
        let largest = largest.max().unwrap_or(0);
        if entries > MAX_ENTRIES || request.body_len > MAX_CALL_BYTES || largest > MAX_ROW_BYTES {
            let refused = self.refused.fetch_add(1, Ordering::Relaxed);
            if refused < 5 || refused % 100 == 0 {
                self.record.line(&format!(
                "store refuses a transaction with 413 (number {refused}): {entries} entries, {} bytes, largest row {largest} bytes",
                request.body_len
            ));
            }
            return (413, json!({"nowMs": self.now_ms()}));
        }
        let all = conditions.iter().chain(&writes).chain(&removals);
        let parts: std::collections::BTreeSet<String> = all.map(|it| text(it, "part")).collect();
        if parts.len() > 1 {
            return (400, json!({"nowMs": self.now_ms()}));
        }
        let is_reserved = |it: &Value| matches!(it["table"].as_str(), Some("op" | "servers"));
        if writes.iter().chain(&removals).any(is_reserved) {
            return (403, json!({"nowMs": self.now_ms()}));
        }
        let mut state = self.state.lock().unwrap();
        let version_of =
            |state: &State, it: &Value| state.rows.get(&key(it)).map_or(0, |row| row.0);
        if conditions
            .iter()
            .any(|it| it["ver"].as_u64() != Some(version_of(&state, it)))
        {
            let rows: Vec<_> = conditions.iter().map(|it| row(&state, &key(it))).collect();
            return (
                412,
                json!({"rows": rows, "ver": state.version, "nowMs": self.now_ms()}),
            );
        }
        state.version += 1;
        let version = state.version;
        for write in &writes {
            state
                .rows
                .insert(key(write), (version, text(write, "value")));
            state.changes.push((version, key(write)));
        }
        for removal in &removals {
            state.rows.remove(&key(removal));
            state.changes.push((version, key(removal)));
        }
        drop(state);
        self.changed.notify_waiters();
        (200, json!({"ver": version, "nowMs": self.now_ms()}))
    }

    fn read(&self, request: &Request) -> (u16, Value) {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, from, until) = (
            query("table"),
            query("part"),
            query("from"),
            query("target"),
        );
        let limit: usize = query("limit").parse().unwrap_or(MAX_ROWS);
        let state = self.state.lock().unwrap();
        let start = (table.clone(), part.clone(), from);
        let range = state
            .rows
            .range(start..)
            .take_while(|((in_table, in_part, name), _)| {
                *in_table == table && *in_part == part && (until.is_empty() || *name < until)
            });
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, (_, value)) in range {
            if rows.len() >= limit.min(MAX_ROWS) || bytes + value.len() > MAX_CALL_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            rows.push(row(&state, key));
        }
        (
            200,
            json!({"rows": rows, "morePages": more, "ver": state.version, "nowMs": self.now_ms()}),
        )
    }

    async fn feed(&self, request: &Request) -> (u16, Value) {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let after: u64 = query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(query("waitMs").parse().unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let (rows, version) = self.changes(&query("table"), after);
            let is_over = tokio::time::timeout_at(deadline, async {
                if rows.is_empty() {
                    changed.await;
                }
            });
            if !rows.is_empty() || is_over.await.is_err() {
                return (
                    200,
                    json!({"rows": rows, "ver": version, "nowMs": self.now_ms()}),
                );
            }
        }
    }

    fn changes(&self, table: &str, after: u64) -> (Vec<Value>, u64) {
        let state = self.state.lock().unwrap();
        let first = state
            .changes
            .partition_point(|(version, _)| *version <= after);
        let changes = state.changes[first..]
            .iter()
            .filter(|(_, key)| key.0 == table);
        let keys: std::collections::BTreeSet<&Key> = changes.map(|(_, key)| key).collect();
        (
            keys.into_iter().map(|key| row(&state, key)).collect(),
            state.version,
        )
    }
}
