//! The HTTP client for calls between nodes, to backend servers and to the platform.

use std::net::IpAddr;
use std::time::Duration;

use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::adapters::Body;
use crate::adapters::FairConnector;

/// A pooling HTTP/1.1 client. HTTP/1.1 carries one call at a time on a connection, so a connection
/// that stops answering delays one call and not all of them (docs/DESIGN.md, "Silent connections").
pub type HttpClient = Client<FairConnector, Body>;

/// Builds a client.
///
/// `idle_ms` is how long an idle connection is kept. The longer a connection is idle, the more
/// likely a middlebox has dropped its state, and a new connection costs only about 1 ms.
/// `connect_ms` limits the wait for a new connection.
pub fn http_client(idle_ms: u64, connect_ms: u64) -> HttpClient {
    client_from(None, idle_ms, connect_ms)
}

/// Builds a client whose connections use `own_address` as their source, so that on a VM with
/// several addresses peers see the one in the node's settings.
pub fn http_client_from(own_address: IpAddr, idle_ms: u64, connect_ms: u64) -> HttpClient {
    client_from(Some(own_address), idle_ms, connect_ms)
}

fn client_from(own_address: Option<IpAddr>, idle_ms: u64, connect_ms: u64) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_local_address(own_address);
    connector.set_connect_timeout(Some(Duration::from_millis(connect_ms)));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_millis(idle_ms))
        .pool_timer(hyper_util::rt::TokioTimer::new())
        // Retries only requests that the pool returns unsent because the idle connection was
        // already closed. No part of them has left this process, so they cannot run twice.
        .retry_canceled_requests(true)
        .build(FairConnector(connector))
}
