//! Starts the control thread.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use fastrand::Rng;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::sync::mpsc::unbounded_channel;

use super::ControlHandle;
use super::ControlHandlers;
use super::ControlLoop;
use super::ControlMetrics;
use super::ControlSettings;
use super::Freshness;
use super::PeerClients;
use super::PeerServer;
use super::bind_control;
use crate::core::Published;
use crate::core::View;
use crate::errors::ControlError;
use crate::membership::Membership;

/// Binds the control address and starts the control thread. Gossip, control calls in both
/// directions and the tasks spawned by other parts of the node run on this thread.
///
/// # Errors
/// When the address cannot be bound or the thread cannot be started.
pub fn start(
    settings: ControlSettings,
    handlers: ControlHandlers,
    metrics: ControlMetrics,
) -> Result<ControlHandle, ControlError> {
    let sockets = bind_control(settings.control_address).map_err(|source| ControlError::Bind {
        address: settings.control_address,
        source,
    })?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let _runtime_context = runtime.enter();
    let socket = UdpSocket::from_std(sockets.datagrams)?;
    let listener = TcpListener::from_std(sockets.calls)?;
    let clock = settings.clock;
    let clients = Arc::new(PeerClients::new(
        runtime.handle().clone(),
        clock,
        metrics.clone(),
        sockets.address.ip(),
    ));
    let view = Arc::new(Published::new(Arc::new(View::default())));
    let freshness = Arc::new(Freshness::new(clock.now()));
    let (command_sender, commands) = unbounded_channel();
    let membership = Membership::new(
        settings.initial_target(sockets.address),
        settings.seeds.clone(),
        settings.membership,
        Rng::new(),
        clock.now(),
    );
    let server = PeerServer {
        handlers: handlers.clone(),
        commands: command_sender.clone(),
        metrics: metrics.clone(),
    };
    let control_loop = ControlLoop {
        membership,
        socket,
        commands,
        command_sender: command_sender.clone(),
        handlers,
        clients: clients.clone(),
        view: view.clone(),
        freshness: freshness.clone(),
        metrics,
        clock,
    };
    let handle = runtime.handle().clone();
    drop(_runtime_context);
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.spawn(server.accept(listener));
            runtime.block_on(control_loop.run());
        })?;
    log::info!("control: started address={}", sockets.address);
    Ok(ControlHandle {
        address: sockets.address,
        view,
        freshness,
        clients,
        runtime: handle,
        commands: command_sender,
        thread: Mutex::new(Some(thread)),
    })
}
