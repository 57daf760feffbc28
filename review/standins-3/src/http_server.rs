//! A small HTTP/1.1 server on a free loopback port.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;

pub struct Request {
    pub path: String,
    pub instance: String,
    pub holder: String,
    pub fence: u64,
    pub body: Value,
}

/// Serves requests until the process ends. Each one is answered with a status and a JSON body.
pub async fn serve<F, R>(handler: F) -> SocketAddr
where
    F: Fn(Request) -> R + Clone + Send + 'static,
    R: Future<Output = (u16, Value)> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
                let handler = handler.clone();
                async move {
                    let (parts, body) = request.into_parts();
                    let body = body.collect().await?.to_bytes();
                    let header = |name| {
                        let value = parts.headers.get(name);
                        let text = value.and_then(|value: &http::HeaderValue| value.to_str().ok());
                        text.unwrap_or_default().to_owned()
                    };
                    let (status, value) = handler(Request {
                        path: parts.uri.path().to_owned(),
                        instance: header("Expect-Instance"),
                        holder: header("Lease-Holder"),
                        fence: header("Fencing-Token").parse().unwrap_or(0),
                        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
                    })
                    .await;
                    let mut response =
                        http::Response::new(Full::new(Bytes::from(value.to_string())));
                    *response.status_mut() = http::StatusCode::from_u16(status).expect("a status");
                    Ok::<_, hyper::Error>(response)
                }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move {
                let _ = connection.await;
            });
        }
    });
    addr
}
