//! An HTTP server built on `gotham`, and the body type of its requests and answers.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::ready;
use gotham::state::FromState;
use gotham::state::State;
use gotham::state::client_addr;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::adapters::FairStream;

/// The body of requests and answers. It is a stream, so that large bodies need not fit in memory.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body without content.
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body held in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Opens a listener; port 0 takes any free port.
///
/// # Errors
/// When the address cannot be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves until the future is dropped. The handler gets the request and the caller's address.
pub async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Body>, SocketAddr) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let handler = Arc::new(AssertUnwindSafe(handler));
    let new_handler = move || {
        let handler = handler.clone();
        Ok(move |mut state: State| {
            let (request, from) = take_request(&mut state);
            let answer = handler.0(request, from);
            async move { Ok((state, answer.await)) }.boxed()
        })
    };
    gotham::bind_server(listener, new_handler, prepare_socket).await
}

/// Disables Nagle's algorithm, so that small answers do not wait for the previous packet's
/// acknowledgement, and lets other tasks run while a caller sends without a pause.
fn prepare_socket(socket: TcpStream) -> futures::future::Ready<Result<FairStream, ()>> {
    let prepared = socket.set_nodelay(true);
    ready(prepared.map(|()| FairStream::new(socket)).map_err(drop))
}

fn take_request(state: &mut State) -> (Request<Body>, SocketAddr) {
    let from = client_addr(state).unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
    let mut request = Request::new(Body::take_from(state));
    *request.method_mut() = Method::take_from(state);
    *request.uri_mut() = Uri::take_from(state);
    *request.headers_mut() = HeaderMap::take_from(state);
    (request, from)
}
