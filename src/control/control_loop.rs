//! The event loop that owns the membership: it handles datagrams, commands and timer ticks.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use super::Command;
use super::ControlHandlers;
use super::ControlMetrics;
use super::Direction;
use super::Freshness;
use super::NewerSlotMap;
use super::PeerClients;
use crate::core::Clock;
use crate::core::Published;
use crate::core::View;
use crate::membership::Action;
use crate::membership::Datagram;
use crate::membership::Membership;
use crate::membership::decode_datagram;
use crate::membership::encode_datagram;

/// The period of the membership timer. Updates are also batched for this long.
const TICK: Duration = Duration::from_millis(100);
/// How often the gauges are set from the view. If all members were counted at each change, the cost
/// would grow with the square of their number when all nodes start at once.
const GAUGE_PERIOD: Duration = Duration::from_millis(500);
/// The largest number of datagrams handled before commands and ticks are served.
const MAX_DATAGRAM_BATCH: usize = 64;
/// The largest number of added seeds with which members are exchanged at once. One answer is
/// enough, but some seeds may be gone. With eight seeds and three exchanges with each, full member
/// tables made up most of the traffic between failure domains.
const MAX_JOIN_SEEDS: usize = 3;
/// The size of the receive buffer: no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The state of the event loop.
pub struct ControlLoop {
    pub membership: Membership,
    pub socket: UdpSocket,
    pub commands: UnboundedReceiver<Command>,
    /// For tasks on this thread that return their results as commands.
    pub command_sender: UnboundedSender<Command>,
    pub handlers: ControlHandlers,
    pub clients: Arc<PeerClients>,
    pub view: Arc<Published<View>>,
    pub freshness: Arc<Freshness>,
    pub metrics: ControlMetrics,
    pub clock: Clock,
}

impl ControlLoop {
    /// Runs until a [`Command::Shutdown`].
    pub async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut gauge_ticks = interval(GAUGE_PERIOD);
        gauge_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut shown_changes = 0;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        self.publish();
        loop {
            // Datagrams are handled before ticks. After a pause of this process, answers may wait
            // in the socket; a tick handled first would suspect the members that sent them.
            tokio::select! {
                biased;
                ready = self.socket.readable() => match ready {
                    Ok(()) => self.receive_batch(&mut buffer),
                    Err(error) => log::warn!("gossip: cannot receive error={error}"),
                },
                command = self.commands.recv() => match command {
                    Some(Command::Shutdown) | None => break,
                    Some(command) => self.handle_command(command),
                },
                _ = ticks.tick() => {}
                _ = gauge_ticks.tick() => self.update_gauges(&mut shown_changes),
            }
            let actions = self.membership.tick(self.clock.now());
            self.perform(actions);
        }
        let actions = self.membership.tick(self.clock.now());
        self.perform(actions);
    }

    fn receive_batch(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAM_BATCH {
            match self.socket.try_recv_from(buffer) {
                Ok((bytes, from)) => self.receive(&buffer[..bytes], from),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The kernel reports here that an earlier datagram was sent to a closed port.
                Err(error) => log::trace!("gossip: receive failed error={error}"),
            }
        }
    }

    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        match decode_datagram(bytes) {
            Ok(datagram) => {
                let kind = datagram.body.kind();
                self.metrics
                    .count_datagram(Direction::Received, kind, bytes.len());
                let now = self.clock.now();
                let actions = self.membership.handle(now, from, datagram);
                self.freshness.record_heard(now);
                self.publish_confirmed();
                self.perform(actions);
            }
            Err(error) => {
                self.metrics.dropped_datagrams.inc();
                log::debug!("gossip: datagram dropped from={from} error={error}");
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Announce {
                service,
                slots,
                state,
            } => self.membership.set_own(&service, state, slots, now),
            Command::SetState(state) => {
                let own = self.membership.own();
                let (service, slots) = (own.service.clone(), own.slots);
                self.membership.set_own(&service, state, slots, now);
            }
            Command::SetConfigVersion(version) => self.membership.set_config_version(version),
            Command::ConfirmConfigVersion(version) => {
                self.membership.confirm_config(version, now);
                self.publish_confirmed();
            }
            Command::SetSlotMapVersion { service, version } => {
                self.membership.set_slot_map_version(&service, version);
            }
            Command::AnnounceRouteUse { route, by } => {
                self.membership.set_route_use(&route, by);
            }
            Command::RaiseStoreEra(era) => {
                self.membership.raise_store_era(era);
            }
            Command::SendAllowances { to, message } => {
                let actions = self.membership.send_allowances(&to, message, now);
                self.perform(actions);
            }
            Command::SendLoads { to, message } => {
                let actions = self.membership.send_loads(&to, message, now);
                self.perform(actions);
            }
            Command::AddSeeds(seeds) => self.join(&seeds),
            Command::Exchange { request, reply } => {
                let from = request.own.control_address;
                let (held, actions) = self.membership.answer_exchange(now, from, &request);
                self.perform(actions);
                // A failed send means that the caller is gone and the reply is not needed.
                drop(reply.send(held));
            }
            Command::Merge { from, members } => {
                let actions = self.membership.merge(now, from, &members);
                self.perform(actions);
            }
            Command::Shutdown => {}
        }
    }

    /// Adds the seeds, and exchanges members with some of them at once. When many nodes restart
    /// together, each of them has few members in its view. Without these exchanges it takes seconds
    /// until gossip has spread all members, although the addresses are known.
    fn join(&mut self, seeds: &[SocketAddr]) {
        self.membership.add_seeds(seeds);
        let mut others: Vec<SocketAddr> = seeds.to_vec();
        others.retain(|seed| *seed != self.membership.own().control_address);
        // The first seeds are preferred. One random other is added in case they are gone.
        let rest = others.split_off(others.len().min(MAX_JOIN_SEEDS - 1));
        others.extend(fastrand::choice(rest));
        for seed in others {
            self.exchange(seed);
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(to, &datagram),
                Action::Publish => self.publish(),
                Action::Exchange { with } => self.exchange(with),
                Action::NewerConfig {
                    from,
                    version,
                    is_near,
                } => (self.handlers.newer_config)(from, version, is_near),
                Action::StoreEra { era } => (self.handlers.store_era)(era),
                Action::NewerSlotMap {
                    from,
                    service,
                    version,
                } => (self.handlers.newer_slot_map)(NewerSlotMap {
                    from,
                    service,
                    version,
                }),
                Action::Allowances { from, message } => (self.handlers.allowances)(&from, message),
                Action::Loads { from, message } => (self.handlers.loads)(&from, message),
                Action::RouteUse { route, by } => (self.handlers.route_use)(&route, by),
                Action::CompareSlotMaps { with } => (self.handlers.compare_slot_maps)(with),
            }
        }
    }

    /// Sends a datagram. One that cannot be sent at once is lost, which the protocol tolerates.
    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let bytes = encode_datagram(datagram);
        let kind = datagram.body.kind();
        match self.socket.try_send_to(&bytes, to) {
            Ok(_) => self
                .metrics
                .count_datagram(Direction::Sent, kind, bytes.len()),
            Err(error) => log::trace!("gossip: send failed to={to} error={error}"),
        }
    }

    fn publish_confirmed(&self) {
        if let Some(confirmed) = self.membership.config_confirmed() {
            self.freshness.record_confirmed(confirmed);
        }
    }

    fn publish(&mut self) {
        let view = self.membership.view();
        self.view.store(Arc::new(view));
    }

    /// Sets the gauges, unless the view has not changed since they were last set.
    fn update_gauges(&self, shown_changes: &mut u64) {
        let view = self.view.load();
        if *shown_changes != view.changes {
            *shown_changes = view.changes;
            self.metrics.set_gauges(&view);
        }
    }

    fn exchange(&self, with: SocketAddr) {
        let request = self.membership.exchange_request();
        let clients = self.clients.clone();
        let commands = self.command_sender.clone();
        tokio::spawn(async move {
            match clients.exchange_members(with, request).await {
                Ok(members) => {
                    let from = with;
                    // A failed send means that the loop has ended and the members are not needed.
                    drop(commands.send(Command::Merge { from, members }));
                }
                Err(error) => log::debug!("gossip: exchange failed with={with} error={error}"),
            }
        });
    }
}
