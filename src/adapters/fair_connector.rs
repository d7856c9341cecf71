//! Connects the HTTP client to servers, with streams that let other tasks run.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tower_service::Service;

use crate::adapters::FairStream;

/// An [`HttpConnector`] whose connections are [`FairStream`]s.
#[derive(Clone, Debug)]
pub struct FairConnector(pub(super) HttpConnector);

type ConnectError = <HttpConnector as Service<Uri>>::Error;

impl Service<Uri> for FairConnector {
    type Response = TokioIo<FairStream>;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, ConnectError>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            let stream = connecting.await?;
            Ok(TokioIo::new(FairStream::new(stream.into_inner())))
        })
    }
}
