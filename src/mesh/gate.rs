//! One connection's view of the rules of the network.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::core::FastMap;
use crate::core::Name;
use crate::mesh::Direction;
use crate::mesh::Rules;

/// The failure domain of each loopback address of a mesh.
pub type DomainsByAddress = Arc<FastMap<IpAddr, Name>>;

/// Decides what passes on one connection.
#[derive(Clone)]
pub struct Gate {
    pub rules: watch::Receiver<Rules>,
    pub link: Name,
    /// Unknown when whoever opened the connection is no node; then cuts do not touch it.
    pub from_domain: Option<Name>,
    pub to_domain: Name,
    pub number: u64,
}

impl Gate {
    /// Waits until data may pass, and then for the delay of the link.
    pub async fn pass(&mut self, direction: Direction) {
        let gate = self.clone();
        let open = self.rules.wait_for(|rules| !gate.shuts(rules, direction));
        let delay_ms = open.await.map(|rules| rules.delay_ms(&gate.link));
        // An error means that the mesh is gone, and with it whatever should pass.
        let Ok(delay_ms) = delay_ms else {
            return std::future::pending().await;
        };
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Waits until the link is refused.
    pub async fn refused(mut self) {
        let link = self.link.clone();
        if self
            .rules
            .wait_for(|rules| rules.is_refused(&link))
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }

    fn shuts(&self, rules: &Rules, direction: Direction) -> bool {
        let cut = self.from_domain.as_ref();
        let cut = cut.is_some_and(|from| rules.is_cut(from, &self.to_domain));
        cut || rules.is_silent(&self.link, self.number, direction)
    }
}
