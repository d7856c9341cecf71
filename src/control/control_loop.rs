//! The loop that owns the membership: datagrams, commands and the passing of time.

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
use super::PeerClients;
use super::SlotMapNews;
use crate::core::Clock;
use crate::core::Published;
use crate::core::View;
use crate::membership::Action;
use crate::membership::Datagram;
use crate::membership::Membership;
use crate::membership::decode_datagram;
use crate::membership::encode_datagram;

/// How often the membership looks at the time. It also batches news for this long.
const TICK: Duration = Duration::from_millis(100);
/// How often gauges are set from the view: counting all members at each change would cost the square of
/// them in a start of all.
const SHOW: Duration = Duration::from_millis(500);
/// Datagrams taken in before commands and ticks get their turn.
const MAX_BATCH: usize = 64;
/// How many of the seeds that it is told are asked for all members at once: one is enough, others may be
/// gone. Asked of eight three times, whole tables were the most of what crossed failure domains.
const JOIN_SEEDS: usize = 3;
/// The largest datagram that UDP carries.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Everything that the loop owns.
pub struct ControlLoop {
    pub membership: Membership,
    pub socket: UdpSocket,
    pub commands: UnboundedReceiver<Command>,
    /// For tasks of this thread that bring back results.
    pub own_commands: UnboundedSender<Command>,
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
        let mut shows = interval(SHOW);
        shows.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut shown = 0;
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        self.publish();
        loop {
            // Datagrams before ticks: after a pause, answers that wait in the socket must be
            // seen before anybody is suspected for the lack of them.
            tokio::select! {
                biased;
                ready = self.socket.readable() => match ready {
                    Ok(()) => self.receive_batch(&mut buffer),
                    Err(error) => log::warn!("gossip: cannot receive error={error}"),
                },
                command = self.commands.recv() => match command {
                    Some(Command::Shutdown) | None => break,
                    Some(command) => self.obey(command),
                },
                _ = ticks.tick() => {}
                _ = shows.tick() => self.show(&mut shown),
            }
            let actions = self.membership.tick(self.clock.now());
            self.act(actions);
        }
        let actions = self.membership.tick(self.clock.now());
        self.act(actions);
    }

    fn receive_batch(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_BATCH {
            match self.socket.try_recv_from(buffer) {
                Ok((bytes, from)) => self.receive(&buffer[..bytes], from),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The kernel reports here that an earlier datagram met a closed port.
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
                self.freshness.note_heard(now);
                self.show_confirmed();
                self.act(actions);
            }
            Err(error) => {
                self.metrics.dropped_datagrams.inc();
                log::debug!("gossip: datagram dropped from={from} error={error}");
            }
        }
    }

    fn obey(&mut self, command: Command) {
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
                self.show_confirmed();
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
            Command::TellAllowances { to, message } => {
                let actions = self.membership.send_allowances(&to, message, now);
                self.act(actions);
            }
            Command::AddSeeds(seeds) => self.join(&seeds),
            Command::Exchange { ask, answer } => {
                let from = ask.own.control_address;
                let (held, actions) = self.membership.answer_exchange(now, from, &ask);
                self.act(actions);
                // The asker may have gone; then nobody needs the answer.
                drop(answer.send(held));
            }
            Command::Merge { from, members } => {
                let actions = self.membership.merge(now, from, &members);
                self.act(actions);
            }
            Command::Shutdown => {}
        }
    }

    /// Asks some of the seeds for all members at once. Guards against a node that knows the others'
    /// addresses and still takes seconds to hear who is there: after a restart of many, each of
    /// them knows few.
    fn join(&mut self, seeds: &[SocketAddr]) {
        self.membership.add_seeds(seeds);
        let mut others: Vec<SocketAddr> = seeds.to_vec();
        others.retain(|seed| *seed != self.membership.own().control_address);
        // The first ones are the best to ask; one any other, should those be gone.
        let rest = others.split_off(others.len().min(JOIN_SEEDS - 1));
        others.extend(fastrand::choice(rest));
        for seed in others {
            self.exchange(seed);
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => self.send(to, &datagram),
                Action::Publish => self.publish(),
                Action::Exchange { with } => self.exchange(with),
                Action::NewerConfig {
                    from,
                    version,
                    is_near,
                } => (self.handlers.config_news)(from, version, is_near),
                Action::StoreEra { era } => (self.handlers.store_era)(era),
                Action::NewerSlotMap {
                    from,
                    service,
                    version,
                } => (self.handlers.slot_map_news)(SlotMapNews {
                    from,
                    service,
                    version,
                }),
                Action::Allowances { from, message } => (self.handlers.allowances)(&from, message),
                Action::RouteUse { route, by } => (self.handlers.route_use)(&route, by),
                Action::CompareSlotMaps { with } => (self.handlers.compare_slot_maps)(with),
            }
        }
    }

    /// A datagram that cannot be sent now counts as lost, which the protocol expects.
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

    fn show_confirmed(&self) {
        if let Some(confirmed) = self.membership.config_confirmed() {
            self.freshness.note_confirmed(confirmed);
        }
    }

    fn publish(&mut self) {
        let view = self.membership.view();
        self.view.store(Arc::new(view));
    }

    /// Sets the gauges, unless they show this view already.
    fn show(&self, shown: &mut u64) {
        let view = self.view.load();
        if *shown != view.changes {
            *shown = view.changes;
            self.metrics.show_view(&view);
        }
    }

    fn exchange(&self, with: SocketAddr) {
        let ask = self.membership.exchange_request();
        let clients = self.clients.clone();
        let commands = self.own_commands.clone();
        tokio::spawn(async move {
            match clients.exchange_members(with, ask).await {
                Ok(members) => {
                    let from = with;
                    // The loop may have ended; then nobody needs the members.
                    drop(commands.send(Command::Merge { from, members }));
                }
                Err(error) => log::debug!("gossip: exchange failed with={with} error={error}"),
            }
        });
    }
}
