//! A platform server within the test process.

use std::net::SocketAddr;
use std::sync::Arc;

use http::Method;
use http::Request;
use http_body_util::BodyExt;
use sassafrasgap::adapters::bind;
use sassafrasgap::adapters::full_body;
use sassafrasgap::adapters::http_client;
use sassafrasgap::adapters::serve;
use sassafrasgap::core::Name;
use sassafrasgap::table_service::FaultScript;
use sassafrasgap::table_service::PlatformClient;
use sassafrasgap::table_service::PlatformServer;
use sassafrasgap::table_service::ServerSettings;
use sassafrasgap::table_service::Stats;
use tokio::task::JoinHandle;

/// How long its clients wait for an answer, in milliseconds.
pub const TIMEOUT_MS: u64 = 300;

/// Stops when it is dropped.
pub struct TestPlatform {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl TestPlatform {
    pub async fn start() -> Self {
        Self::with(ServerSettings::default(), FaultScript::default()).await
    }

    pub async fn with(settings: ServerSettings, faults: FaultScript) -> Self {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Arc::new(PlatformServer::new(settings, faults));
        let task = tokio::spawn(serve(listener, move |request, _| {
            let server = server.clone();
            async move { server.handle(request).await }
        }));
        Self { address, task }
    }

    pub fn client(&self, domain: &str) -> PlatformClient {
        PlatformClient::new(self.address, Name::from(domain), TIMEOUT_MS)
    }

    pub async fn stats(&self) -> Stats {
        let content = self.request(Method::GET, "/stats", String::new()).await;
        serde_json::from_slice(&content).unwrap()
    }

    /// Adds a fault, given as JSON, that begins now.
    pub async fn add_fault(&self, step: serde_json::Value) {
        self.request(Method::POST, "/fault", step.to_string()).await;
    }

    pub async fn clear_faults(&self) {
        self.request(Method::DELETE, "/fault", String::new()).await;
    }

    async fn request(&self, method: Method, path: &str, content: String) -> Vec<u8> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(full_body(content))
            .unwrap();
        let answer = http_client(1_000, 1_000).request(request).await.unwrap();
        assert!(answer.status().is_success(), "{path}: {}", answer.status());
        answer
            .into_body()
            .collect()
            .await
            .unwrap()
            .to_bytes()
            .to_vec()
    }
}

impl Drop for TestPlatform {
    fn drop(&mut self) {
        self.task.abort();
    }
}
