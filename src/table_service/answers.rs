//! HTTP answers of the stand-in platform.

use http::Response;
use http::StatusCode;
use serde::Serialize;

use crate::adapters::Body;
use crate::adapters::empty_body;
use crate::adapters::full_body;

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, message: &T) -> Response<Body> {
    let content = serde_json::to_vec(message).expect("plain structs always encode");
    let mut answer = Response::new(full_body(content));
    *answer.status_mut() = status;
    answer
}

/// An answer without a body.
pub fn plain(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty_body());
    *answer.status_mut() = status;
    answer
}
