//! The project's daemons as processes, started with the command of the deploy file, and callers.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::Value;

/// A loopback address that nothing else uses, and free ports there, below those that outgoing connections take.
fn free_ports() -> (Ipv4Addr, [u16; 4]) {
    let octet = || rand::random_range(1..=250_u8);
    let ip = Ipv4Addr::new(127, octet(), octet(), octet());
    let is_free = |port: &u16| std::net::TcpStream::connect((ip, *port)).is_err();
    let mut free = (2_000..15_000_u16).filter(is_free);
    (ip, [(); 4].map(|()| free.next().expect("a free port")))
}

/// A daemon with its settings file.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl Daemon {
    /// Starts a daemon; its log goes to `log`.
    pub fn start(
        root: &Path,
        name: &str,
        store: SocketAddr,
        vms: SocketAddr,
        advice: SocketAddr,
        folder: &Path,
    ) -> Self {
        let (ip, [callers, ready, peers, metrics]) = free_ports();
        let template =
            std::fs::read_to_string(root.join("deploy/settings.yaml")).expect("the template");
        let mut yaml = template;
        for (field, value) in [
            ("nodeName|json", format!("\"{name}\"")),
            ("ip|json", format!("\"{ip}\"")),
            ("zone|json", "\"z\"".into()),
            ("listen.front|json", format!("\"{ip}:{callers}\"")),
            ("listen.ready|json", format!("\"{ip}:{ready}\"")),
            ("portRange.0", peers.to_string()),
            ("portRange.1", metrics.to_string()),
            ("platform.addr|json", format!("\"{store}\"")),
            ("cloud.addr|json", format!("\"{vms}\"")),
            ("cloud.dutyPerS", "64.0".into()),
            ("advice|json", format!("\"{advice}\"")),
            ("limits.cpuShare", "0.25".into()),
            ("limits.cores", "1".into()),
            ("limits.linkMbps", "1000.0".into()),
            ("bounds.graceS", "6".into()),
            ("bounds.holdMaxMs", "10000".into()),
            ("bounds.status_s", "120".into()),
            ("bounds.leaseMs", "3000".into()),
            ("bounds.maintenanceS", "2".into()),
            ("bounds.stopMs", "200".into()),
            ("bounds.strictRevoke", String::new()),
            ("bounds.revokeMs", String::new()),
            (
                "#bounds.quotaWindowS}}true{{/bounds.quotaWindowS}}{{^bounds.quotaWindowS}}false{{/bounds.quotaWindowS",
                "false".into(),
            ),
        ] {
            yaml = yaml.replace(&format!("{{{{{field}}}}}"), &value);
        }
        assert!(!yaml.contains("{{"), "a placeholder is left: {yaml}");
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, yaml).expect("a settings file");
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new(root.join("target/release/trefoilpassd"))
            .arg("--fleet")
            .env("TREFOILPASS_SETTINGS", &settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("a daemon");
        Self {
            name: name.to_owned(),
            callers: SocketAddr::from((ip, callers)),
            ready: SocketAddr::from((ip, ready)),
            child,
            settings,
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// What was sent, answered and run.
pub struct Record {
    began: Instant,
    text: Mutex<String>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            text: Mutex::new(String::new()),
        }
    }

    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.text.lock(), "{at:8.3} {line}");
        println!("{at:8.3} {line}");
    }

    pub fn at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn write(&self, path: &Path) {
        std::fs::write(path, self.text.lock().as_str()).expect("the record");
    }
}

/// How a submission was answered in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Accepted,
    Rejected(u16),
    Unknown,
}

/// A caller of the daemons.
pub struct Caller {
    http: reqwest::Client,
    daemons: Vec<SocketAddr>,
}

impl Caller {
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        Self {
            http: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("a client"),
            daemons,
        }
    }

    async fn send(
        &self,
        daemon: usize,
        method: reqwest::Method,
        path: &str,
        body: Option<String>,
    ) -> Option<(u16, Value)> {
        let addr = self.daemons[daemon % self.daemons.len()];
        let mut request = self
            .http
            .request(method, format!("http://{addr}/q/{path}"))
            .header("Host", "jobs.example")
            .header("Deadline-Ms", "3000")
            .timeout(Duration::from_millis(3000));
        if let Some(body) = body {
            request = request
                .header("Content-Type", "application/json")
                .body(body);
        }
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        let text = response.text().await.ok()?;
        Some((status, serde_json::from_str(&text).unwrap_or(Value::Null)))
    }

    /// Hands a submission in, with the same id at another daemon after no answer, a 502 or a 504: four more times.
    pub async fn submit(&self, id: &str, body: &Value, first: usize) -> Answer {
        let mut answer = Answer::Unknown;
        for retry in 0..5 {
            match self
                .send(
                    first + retry,
                    reqwest::Method::POST,
                    id,
                    Some(body.to_string()),
                )
                .await
            {
                Some((status, _)) if (200..300).contains(&status) => return Answer::Accepted,
                None | Some((502 | 504, _)) => {}
                // A rejection tells of this attempt only.
                Some((status, _)) if answer == Answer::Unknown && retry == 0 => {
                    return Answer::Rejected(status);
                }
                Some((status, _)) => answer = Answer::Rejected(status),
            }
        }
        match answer {
            Answer::Rejected(_) => Answer::Unknown,
            other => other,
        }
    }

    /// The state of a submission, as the first daemon that answers with one says it.
    pub async fn state(&self, id: &str, first: usize) -> String {
        let mut last = "no answer".to_owned();
        for retry in 0..self.daemons.len() {
            match self
                .send(first + retry, reqwest::Method::GET, id, None)
                .await
            {
                Some((200, body)) => return body["state"].as_str().unwrap_or("?").to_owned(),
                Some((status, _)) => last = status.to_string(),
                None => {}
            }
        }
        last
    }

    /// Cancels a submission at one daemon. Returns the status; 0 for no answer.
    pub async fn cancel(&self, id: &str, daemon: usize) -> u16 {
        let answer = self.send(daemon, reqwest::Method::DELETE, id, None).await;
        answer.map_or(0, |(status, _)| status)
    }

    /// Waits until all daemons are ready; false when they are not in time.
    pub async fn wait_until_ready(&self, daemons: &[Daemon]) -> bool {
        for daemon in daemons {
            let mut is_ready = false;
            for _ in 0..100 {
                let url = format!("http://{}/v1/ready", daemon.ready);
                let response = self
                    .http
                    .get(url)
                    .timeout(Duration::from_millis(500))
                    .send()
                    .await;
                is_ready = response.is_ok_and(|response| response.status().as_u16() == 200);
                if is_ready {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            if !is_ready {
                return false;
            }
        }
        true
    }
}

/// An id for a submission.
pub fn new_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
