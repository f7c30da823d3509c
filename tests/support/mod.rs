//! Test cluster: stand-ins and entry instances that run as threads of the test process, on ports
//! chosen by the operating system.
#![allow(clippy::unwrap_used, dead_code, missing_docs)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use ebonyspread::classify::hash_account_key;
use ebonyspread::entry::Entry;
use ebonyspread::log_client::LogClient;
use ebonyspread::logging::start_logging;
use ebonyspread::publish::publish;
use ebonyspread::settings::Settings;
use ebonyspread::wire;
use ebonyspread_standins::engine::Engine;
use ebonyspread_standins::engine::EngineSettings;
use ebonyspread_standins::platform::Platform;
use ebonyspread_standins::service::Service;
use serde_json::Value;

pub const ADMIN_KEY: &str = "test-admin-key-0123456789";
pub const MODEL: &str = "restock-8b";
pub const PEER_KEY: &str = "test-peer-key-0123456789";

/// An HTTP server in a thread of its own; stopped when dropped.
pub struct TestServer {
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl TestServer {
    pub fn start(configure: impl Fn(&mut ServiceConfig) + Clone + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let server = HttpServer::new(move || App::new().configure(configure.clone()))
                    .workers(1)
                    .disable_signals()
                    .listen(listener)
                    .unwrap()
                    .run();
                sender.send(server.handle()).unwrap();
                server.await
            })
        });
        Self {
            address,
            handle: receiver.recv().unwrap(),
        }
    }

    /// Stops immediately and closes all connections.
    pub fn kill(&self) {
        // `stop` sends the command when it is called; its future only waits for completion.
        drop(self.handle.stop(false));
    }
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct TestEngine {
    pub engine: Engine,
    pub server: Arc<TestServer>,
}

/// Stand-ins and entry instances of one test.
pub struct TestCluster {
    pub engines: Vec<TestEngine>,
    pub entries: Vec<Entry>,
    pub platform: Platform,
    pub platform_url: String,
    pub service: Service,
    pub table: wire::TableFile,
    _servers: Vec<TestServer>,
}

/// Builder of a [`TestCluster`].
pub struct TestClusterBuilder {
    data_centres: usize,
    engine: EngineSettings,
    engines: usize,
    entries: usize,
    requests_per_s: u32,
    service_checks_fencing: bool,
}

impl Default for TestClusterBuilder {
    fn default() -> Self {
        Self {
            data_centres: 1,
            engine: EngineSettings {
                prefill_per_token: Duration::from_micros(10),
                token_interval: Duration::from_millis(2),
                ..EngineSettings::default()
            },
            engines: 2,
            entries: 1,
            requests_per_s: 10_000,
            service_checks_fencing: false,
        }
    }
}

impl TestClusterBuilder {
    pub fn data_centres(mut self, count: usize) -> Self {
        self.data_centres = count;
        self
    }

    pub fn engines(mut self, count: usize) -> Self {
        self.engines = count;
        self
    }

    pub fn entries(mut self, count: usize) -> Self {
        self.entries = count;
        self
    }

    pub fn requests_per_s(mut self, limit: u32) -> Self {
        self.requests_per_s = limit;
        self
    }

    pub fn service_checks_fencing(mut self) -> Self {
        self.service_checks_fencing = true;
        self
    }

    pub fn token_interval(mut self, interval: Duration) -> Self {
        self.engine.token_interval = interval;
        self
    }

    pub fn start(self) -> TestCluster {
        // With `TEST_LOG` set, `cargo test -- --nocapture` shows the log.
        if std::env::var_os("TEST_LOG").is_some() {
            start_logging(log::LevelFilter::Debug);
        }
        let platform = Platform::default();
        let service = Service::new("orders", self.service_checks_fencing);
        let (served_platform, served_service) = (platform.clone(), service.clone());
        let platform_server = TestServer::start(move |config| served_platform.configure(config));
        let service_server = TestServer::start(move |config| served_service.configure(config));
        let mut engines = Vec::new();
        for _ in 0..self.engines {
            engines.push(start_engine(self.engine.clone()));
        }
        let table = self.table(&engines, service_server.address);
        let platform_url = format!("http://{}", platform_server.address);
        publish_table(&platform_url, &table);
        let mut cluster = TestCluster {
            engines,
            entries: Vec::new(),
            platform,
            platform_url,
            service,
            table,
            _servers: vec![platform_server, service_server],
        };
        for index in 0..self.entries {
            cluster.add_entry(index, index % self.data_centres);
        }
        cluster.wait_for_version(1);
        cluster
    }

    fn table(&self, engines: &[TestEngine], service: SocketAddr) -> wire::TableFile {
        let mut table = wire::TableFile::default();
        for account in ["quayside", "harbour"] {
            table.client_account.push(wire::ClientAccountRow {
                name: account.to_owned(),
                key_sha256: hex::encode(hash_account_key(&account_key(account))),
                requests_per_s: self.requests_per_s,
                tokens_per_s: 1_000_000,
                streams_max: 1_000,
                ..Default::default()
            });
        }
        table.model_version.push(wire::ModelVersionRow {
            model: MODEL.to_owned(),
            version: "v1".to_owned(),
            path: "new".to_owned(),
            weight: 1,
            ..Default::default()
        });
        for (prefix, repeatable) in [("/orders", false), ("/lookups", true)] {
            table.route.push(wire::RouteRow {
                prefix: prefix.to_owned(),
                path: "new".to_owned(),
                weight: 1,
                repeatable,
                timeout_ms: 2_000,
            });
        }
        for (index, engine) in engines.iter().enumerate() {
            table.backend_server.push(wire::BackendServerRow {
                name: format!("engine-{index}"),
                data_centre: data_centre(index % self.data_centres),
                address: engine.server.address.to_string(),
                path: "new".to_owned(),
                serves: vec![format!("{MODEL}@v1")],
                slots: 16,
                ..Default::default()
            });
        }
        table.backend_server.push(wire::BackendServerRow {
            name: "service".to_owned(),
            data_centre: data_centre(0),
            address: service.to_string(),
            path: "new".to_owned(),
            serves: vec!["/orders".to_owned(), "/lookups".to_owned()],
            slots: 64,
            lookup_path: "/runs/{account}/{key}".to_owned(),
            ..Default::default()
        });
        table
    }
}

impl TestCluster {
    /// Starts one more entry instance.
    pub fn add_entry(&mut self, index: usize, centre: usize) {
        let mut peers = Vec::new();
        for entry in &self.entries {
            peers.push(entry.peer_address().to_string());
        }
        let any_port = "127.0.0.1:0".to_owned();
        let file = wire::Settings {
            instance: format!("entry-{index}"),
            data_centre: data_centre(centre),
            region: "test".to_owned(),
            caller_address: any_port.clone(),
            peer_address: any_port.clone(),
            admin_address: any_port,
            platform_url: self.platform_url.clone(),
            peer_key: PEER_KEY.to_owned(),
            admin_key: ADMIN_KEY.to_owned(),
            peers,
            workers: 1,
            drain_ms: 100,
            ..Default::default()
        };
        let settings = Settings::try_from(file).unwrap();
        self.entries.push(Entry::start(settings).unwrap());
    }

    /// URL on the callers' listener of an entry instance.
    pub fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.entries[entry].caller_address())
    }

    /// Waits until all entry instances have at least this table version.
    pub fn wait_for_version(&self, version: u64) {
        for entry in &self.entries {
            wait_until("table version", || entry.table_version() >= version);
        }
    }
}

pub fn start_engine(settings: EngineSettings) -> TestEngine {
    let server_cell: Arc<std::sync::OnceLock<Arc<TestServer>>> = Arc::default();
    let stopped_server = server_cell.clone();
    let stop = Arc::new(move || {
        if let Some(server) = stopped_server.get() {
            server.kill();
        }
    });
    let engine = Engine::new(settings, stop);
    let served = engine.clone();
    let server = Arc::new(TestServer::start(move |config| served.configure(config)));
    let _ = server_cell.set(server.clone());
    TestEngine { engine, server }
}

/// Starts a cluster in which the server at `address` serves all calls.
pub fn start_cluster_at(address: SocketAddr) -> TestCluster {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let mut table = cluster.table.clone();
    let server = table.backend_server.first_mut().unwrap();
    server.address = address.to_string();
    server.serves.push(format!("{MODEL}@v1"));
    let version = publish_table(&cluster.platform_url, &table);
    cluster.wait_for_version(version);
    cluster
}

/// Starts a server that answers each `POST` with the bytes that `answer` returns, of which the
/// argument is the number of earlier ones, and then closes the connection. Returns its address and
/// the number of these calls.
pub fn start_raw_server(
    answer: impl Fn(u32) -> &'static str + Send + 'static,
) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicU32::new(0));
    let counted = count.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buffer = [0; 4_096];
            let read = stream.read(&mut buffer).unwrap_or(0);
            if buffer[..read].starts_with(b"POST ") {
                let earlier = counted.fetch_add(1, Ordering::SeqCst);
                let _ = stream.write_all(answer(earlier).as_bytes());
            }
        }
    });
    (address, count)
}

/// Starts a server that reads and counts calls and closes the connection without an answer, like a
/// server that crashes while it runs a call.
pub fn start_crashing_server() -> (SocketAddr, Arc<AtomicU32>) {
    start_raw_server(|_| "")
}

pub fn data_centre(index: usize) -> String {
    format!("centre-{index}")
}

pub fn account_key(account: &str) -> String {
    format!("key-of-{account}")
}

pub fn bearer(account: &str) -> (&'static str, String) {
    ("authorization", format!("Bearer {}", account_key(account)))
}

pub fn publish_table(platform_url: &str, table: &wire::TableFile) -> u64 {
    let platform_url = platform_url.to_owned();
    let table = table.clone();
    block_on(async move {
        publish(&LogClient::new(&platform_url), "test", None, &table)
            .await
            .unwrap()
    })
}

/// Runs a future to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

/// Waits until a condition holds. Panics after 30 s, more than a healthy machine ever needs.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "timed out waiting for {what}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// A complete HTTP response.
pub struct Reply {
    pub body: bytes::Bytes,
    pub headers: awc::http::header::HeaderMap,
    pub status: u16,
}

impl Reply {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn outcome(&self) -> &str {
        self.header("ebonyspread-outcome")
    }
}

/// Sends a request and reads the whole response.
pub async fn send(
    method: &str,
    url: &str,
    headers: &[(&str, String)],
    body: impl Into<bytes::Bytes>,
) -> Reply {
    try_send(method, url, headers, body).await.unwrap()
}

pub async fn try_send(
    method: &str,
    url: &str,
    headers: &[(&str, String)],
    body: impl Into<bytes::Bytes>,
) -> Result<Reply, String> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let mut request = client.request(method.parse().unwrap(), url);
    for (name, value) in headers {
        request = request.insert_header((*name, value.as_str()));
    }
    let mut response = request
        .send_body(body.into())
        .await
        .map_err(|error| error.to_string())?;
    let body = response
        .body()
        .limit(16 << 20)
        .await
        .map_err(|error| error.to_string())?;
    Ok(Reply {
        body,
        headers: response.headers().clone(),
        status: response.status().as_u16(),
    })
}

/// Body of a chat completion request.
pub fn chat_body(prompt: &str, stream: bool, max_tokens: u32) -> String {
    serde_json::json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "stream": stream,
        "max_tokens": max_tokens,
    })
    .to_string()
}

/// Text that the engines generate for [`chat_body`].
pub fn expected_text(prompt: &str, max_tokens: u32) -> String {
    let messages = serde_json::json!([{ "role": "user", "content": prompt }]);
    let prompt = ebonyspread_standins::text::prompt_text(&messages);
    ebonyspread_standins::text::answer_text(&prompt, max_tokens)
}

/// Parses a stream's body. Returns its text, its last event id and whether it is complete.
pub fn read_stream(body: &[u8]) -> (String, String, bool) {
    let (mut text, mut last_id, mut is_done) = (String::new(), String::new(), false);
    for line in String::from_utf8_lossy(body).lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            last_id = id.to_owned();
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            is_done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap();
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    (text, last_id, is_done)
}
