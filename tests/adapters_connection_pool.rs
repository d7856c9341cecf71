//! When the pool reuses a connection to a server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use sassafrasgap::adapters::BodyBudget;
use sassafrasgap::adapters::ConnectionPool;
use sassafrasgap::adapters::PoolConf;
use sassafrasgap::core::Clock;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Starts a server whose answers have these header lines, and counts the connections made to it.
async fn server(lines: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(serve(stream, lines));
        }
    });
    (address, connections)
}

async fn serve(mut stream: TcpStream, lines: &str) {
    let mut head = [0; 1_024];
    while matches!(stream.read(&mut head).await, Ok(read) if read > 0) {
        let answer = format!("HTTP/1.1 200 OK\r\n{lines}Content-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).await.unwrap();
    }
}

fn pool() -> ConnectionPool {
    let conf = PoolConf {
        connect_timeout_ms: 2_000,
        idle_ms: 10_000,
        silence_ms: 10_000,
    };
    ConnectionPool::new(conf, Clock::new(), BodyBudget::new(1 << 20))
}

async fn send_request(pool: &ConnectionPool, address: SocketAddr) {
    let request = Request::get("/").header("host", "x");
    let request = request.body(Full::new(Bytes::new())).unwrap();
    pool.send(address, request, |_| true).await.unwrap();
}

/// Failure: a request is sent on a connection that its server is about to close. It may have run,
/// so a request that must not run twice cannot be retried and is lost.
#[rstest]
#[case::no_header("", 0, 1)]
#[case::within("Keep-Alive: timeout=5\r\n", 0, 1)]
#[case::over("Keep-Alive: timeout=1, max=100\r\n", 1_100, 2)]
#[case::within_margin("Keep-Alive: max=100, timeout=1\r\n", 900, 2)]
#[case::zero("Keep-Alive: timeout=0\r\n", 0, 2)]
#[case::unreadable("Keep-Alive: timeout=soon\r\n", 0, 1)]
#[case::closes("Connection: close\r\n", 0, 2)]
#[case::closes_among_others("Connection: x-hop, Close\r\n", 0, 2)]
#[tokio::test]
async fn a_connection_is_reused_while_its_server_keeps_it(
    #[case] lines: &'static str,
    #[case] pause_ms: u64,
    #[case] expected: usize,
) {
    let (address, connections) = server(lines).await;
    let pool = pool();
    send_request(&pool, address).await;
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    send_request(&pool, address).await;
    assert_eq!(connections.load(Ordering::Relaxed), expected);
}

/// Starts a server that counts its open connections.
async fn server_with_open_count() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let open = Arc::new(AtomicUsize::new(0));
    let count = open.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let count = count.clone();
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                serve(stream, "").await;
                count.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    (address, open)
}

/// Failure: connections to addresses that get no more requests stay open, and so does their memory
/// at both ends, until the server closes them. Those that may still be used are closed.
#[rstest]
#[case::expired(300, 0)]
#[case::in_use(0, 1)]
#[tokio::test]
async fn expired_connections_are_closed_without_a_request(
    #[case] pause_ms: u64,
    #[case] expected: usize,
) {
    let (address, open) = server_with_open_count().await;
    let conf = PoolConf {
        connect_timeout_ms: 2_000,
        idle_ms: 200,
        silence_ms: 10_000,
    };
    let pool = ConnectionPool::new(conf, Clock::new(), BodyBudget::new(1 << 20));
    send_request(&pool, address).await;
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    assert_eq!(open.load(Ordering::Relaxed), 1);
    pool.close_expired();
    // The server sees the end of the connection a little later.
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(open.load(Ordering::Relaxed), expected);
}
