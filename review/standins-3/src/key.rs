//! Requests that stop short of their end, whose key is taken away meanwhile.

use std::path::PathBuf;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::record::Record;
use crate::stage::{HOST, REVOKE_MS, Shape, Stage, config};

const DAEMONS: usize = 3;
/// Later than `revokeMs` after the acknowledgement.
const LATER: Duration = Duration::from_millis(REVOKE_MS + 1500);

/// A request without its last byte, and that byte.
fn request(number: usize, key: &str) -> (Vec<u8>, Vec<u8>) {
    let body = json!({"spec": "work=300 cpu=500", "steps": [{"count": 2, "cpu": 500, "memMb": 16, "estMs": 300}]}).to_string();
    let head = format!(
        "POST /q/{:016x} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {key}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: 20000\r\nContent-Length: {}\r\n\r\n",
        0x5a11_0000 + number,
        body.len()
    );
    let mut whole = head.into_bytes();
    whole.extend_from_slice(body.as_bytes());
    let last = whole.split_off(whole.len() - 1);
    (whole, last)
}

/// The status of the answer; 0 without one.
async fn answer(stream: &mut TcpStream) -> u16 {
    let mut bytes = vec![0; 4096];
    let read = tokio::time::timeout(Duration::from_secs(10), stream.read(&mut bytes)).await;
    let read = read.ok().and_then(Result::ok).unwrap_or(0);
    let text = String::from_utf8_lossy(&bytes[..read]);
    text.split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0)
}

/// What the second config takes away.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    Key,
    Route,
}

pub async fn run(
    record: Record,
    program: PathBuf,
    folder: PathBuf,
    trouble: bool,
    taken: Taken,
) -> u8 {
    let shape = Shape {
        daemons: DAEMONS,
        executors: 4,
        of_kind_b: 0,
        cpu: 32_000,
        keys: Some(&["key-one", "key-two"]),
        upkeep: Duration::from_secs(2),
        id: |number| format!("i-{:08x}", 0x7f3a_91c2 + number),
        settings: Box::new(|yaml| yaml),
    };
    let Some(stage) = Stage::start(record.clone(), program, folder, shape).await else {
        return 2;
    };
    // One client of each daemon. Without trouble, it sends its request whole when its key is gone.
    let mut clients = Vec::new();
    for number in 0..DAEMONS {
        let Ok(mut stream) = TcpStream::connect(stage.members[number].spec.callers).await else {
            return 2;
        };
        let (most, last) = request(number, "key-one");
        if trouble {
            if stream.write_all(&most).await.is_err() {
                return 2;
            }
            record.line(&format!(
                "d{number}: sent all but one byte of a request, {} bytes",
                most.len()
            ));
        }
        clients.push((stream, most, last));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut next = config(4, Some(&["key-two"]));
    if taken == Taken::Route {
        next = config(4, Some(&["key-one", "key-two"]));
        next["routes"] = json!([]);
    }
    stage.store.put("op", "config", &next);
    record.line(&format!("acknowledged: op/config {next}"));
    tokio::time::sleep(LATER).await;
    let mut run_with_key = 0;
    for (number, (stream, most, last)) in clients.iter_mut().enumerate() {
        if !trouble && stream.write_all(most).await.is_err() {
            return 2;
        }
        if stream.write_all(last).await.is_err() {
            record.line(&format!("d{number}: the connection is closed"));
            continue;
        }
        let status = answer(stream).await;
        record.say(&format!("d{number}: the last byte was sent {LATER:?} after the acknowledgement; the answer is {status}"));
        run_with_key += usize::from((200..300).contains(&status));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let starts = record.matching("start 000000005a11").len();
    record.say(&format!("{run_with_key} requests ran whose key or route was taken away, and {starts} subtasks of them started"));
    u8::from(run_with_key > 0)
}
