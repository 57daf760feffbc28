//! A minimal HTTP/1.1 server and client on loopback addresses.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

#[derive(Debug, Default)]
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Value,
    pub body_len: usize,
}

/// Status and body of a response; `None` sends none and holds the connection until the peer closes it.
pub type Response = Option<(u16, Value)>;

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

async fn read_head(
    reader: &mut BufReader<tokio::net::tcp::OwnedReadHalf>,
) -> std::io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first).await? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Serves requests on a free port of the loopback address until the process ends.
pub async fn serve<F, R>(handler: F) -> SocketAddr
where
    F: Fn(Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            tokio::spawn(async move {
                let _ = connection(stream, handler).await;
            });
        }
    });
    addr
}

async fn connection<F, R>(stream: TcpStream, handler: F) -> std::io::Result<()>
where
    F: Fn(Request) -> R,
    R: Future<Output = Response>,
{
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut reader = BufReader::new(read);
    while let Some((first, headers)) = read_head(&mut reader).await? {
        let target = first.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(name, value)| (decode(name), decode(value)));
        let length = headers.get("content-length");
        let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).await?;
        let request = Request {
            path: path.to_owned(),
            query: query.collect(),
            headers,
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
            body_len: length,
        };
        let Some((status, body)) = handler(request).await else {
            let mut rest = Vec::new();
            let _ = reader.read_to_end(&mut rest).await;
            return Ok(());
        };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        write.write_all(head.as_bytes()).await?;
        write.write_all(body.as_bytes()).await?;
    }
    Ok(())
}

/// Sends one request on a connection of its own. `Err` has what happened instead of a complete response.
pub async fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, Value), String> {
    let exchange = async {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut head = format!(
            "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        write.write_all(head.as_bytes()).await?;
        write.write_all(body.as_bytes()).await?;
        let mut reader = BufReader::new(read);
        let closed = || std::io::Error::other("closed without a response");
        let (first, headers) = read_head(&mut reader).await?.ok_or_else(closed)?;
        let status = first.split(' ').nth(1).and_then(|it| it.parse().ok());
        let length = headers.get("content-length");
        let mut body = vec![0; length.and_then(|it| it.parse().ok()).unwrap_or(0)];
        reader.read_exact(&mut body).await?;
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Ok::<_, std::io::Error>((status.unwrap_or(0), body))
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(err)) => Err(err.to_string()),
        Err(_) => Err("no response in time".into()),
    }
}
