//! `drain`: a target gets no new work.

use std::net::SocketAddr;

use http::Method;
use serde_json::json;

use crate::ctl::http_operator::ask_node;
use crate::ctl::output::Output;
use crate::errors::CtlError;

/// The command. Any node passes the word on to the one named.
pub async fn run(node: SocketAddr, name: &str) -> Result<Output, CtlError> {
    let path = format!("/nodes/{name}/drain");
    let (status, body) = ask_node(node, Method::POST, &path).await?;
    if !status.is_success() {
        return Err(CtlError::NodeRefused {
            node,
            status: status.as_u16(),
            text: String::from_utf8_lossy(&body).trim().to_owned(),
        });
    }
    let text = format!("{name} drains: no new work, what is in flight finishes");
    Ok(Output::done(
        text,
        &json!({ "node": name, "draining": true }),
    ))
}
