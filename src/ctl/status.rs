//! `status`: what all nodes say, by asking one.

use std::net::SocketAddr;

use http::Method;

use crate::configuration::ConfigStore;
use crate::ctl::StatusReport;
use crate::ctl::http_operator::ask_node;
use crate::ctl::output::Output;
use crate::ctl::status_table::render_status;
use crate::errors::CtlError;
use crate::node::FleetStatus;

/// The command. The platform is asked as well if its address is known; status is shown also when
/// it does not answer.
pub async fn run(node: SocketAddr, store: Option<&ConfigStore>) -> Result<Output, CtlError> {
    let fleet = fleet(node).await?;
    let (row, platform_error) = match store {
        None => (None, None),
        Some(store) => match store.in_force().await {
            Ok(row) => (row, None),
            Err(error) => (None, Some(error.to_string())),
        },
    };
    let report = StatusReport::new(&fleet, row, platform_error);
    Ok(Output::done(render_status(&report), &report))
}

async fn fleet(node: SocketAddr) -> Result<FleetStatus, CtlError> {
    let (status, body) = ask_node(node, Method::GET, "/fleet").await?;
    if !status.is_success() {
        return Err(CtlError::NodeRefused {
            node,
            status: status.as_u16(),
            text: String::from_utf8_lossy(&body).trim().to_owned(),
        });
    }
    serde_json::from_slice(&body).map_err(|source| CtlError::NodeUnreadable { node, source })
}
