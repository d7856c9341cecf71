//! The shared state of one stand-in backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::adapters::HttpClient;
use crate::adapters::http_client;
use crate::backend::Announcement;
use crate::backend::BackendLoad;
use crate::backend::BackendSettings;
use crate::backend::Behaviour;
use crate::backend::LifeState;
use crate::backend::RunBook;
use crate::backend::load_report::OldLoad;
use crate::backend::slots::Slots;
use crate::core::Clock;
use crate::core::FastMap;
use crate::core::TimeMs;
use crate::errors::BackendError;

/// How long an unused connection to the node is kept.
const CLIENT_IDLE_MS: u64 = 10_000;
/// The longest wait for a new connection to the node.
const CLIENT_CONNECT_MS: u64 = 1_000;

/// Everything that the handlers of one backend server share.
pub struct Backend {
    pub settings: BackendSettings,
    pub address: SocketAddr,
    pub instance: String,
    pub clock: Clock,
    pub slots: Slots,
    pub book: Arc<RunBook>,
    pub client: HttpClient,
    /// Wakes the announcer when the state of life changes.
    pub life_changed: Notify,
    state: Mutex<State>,
}

struct State {
    behaviour: Behaviour,
    life: LifeState,
    drain_began_at: Option<TimeMs>,
    rng: fastrand::Rng,
    old_load: OldLoad,
    /// Calls waiting or running, by a number of their own; bounded by `connections`.
    live: FastMap<u64, LiveCall>,
    last_live: u64,
}

struct LiveCall {
    request_id: String,
    task: Option<AbortHandle>,
}

/// Keeps a call in the list of live calls until it is dropped.
pub struct LiveGuard {
    backend: Arc<Backend>,
    number: u64,
}

impl Backend {
    /// The state of a backend server that listens at `address`.
    ///
    /// # Errors
    /// When the run log cannot be opened.
    pub fn new(settings: BackendSettings, address: SocketAddr) -> Result<Self, BackendError> {
        let clock = Clock::new();
        let instance = match settings.instance.as_str() {
            "" => format!("{}-{}", settings.service, address.port()),
            name => name.to_string(),
        };
        Ok(Self {
            address,
            instance,
            clock,
            slots: Slots::new(settings.slots),
            book: Arc::new(RunBook::new(clock, settings.run_log.as_deref())?),
            client: http_client(CLIENT_IDLE_MS, CLIENT_CONNECT_MS),
            life_changed: Notify::new(),
            state: Mutex::new(State::new(&settings)),
            settings,
        })
    }

    /// The behaviour in force.
    pub fn behaviour(&self) -> Behaviour {
        self.state().behaviour.clone()
    }

    /// Changes the behaviour.
    pub fn change_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.state().behaviour);
    }

    /// The state of life.
    pub fn life(&self) -> LifeState {
        self.state().life
    }

    /// Enters a state of life and has it announced.
    pub fn enter_life(&self, life: LifeState) {
        let now = self.clock.now();
        let mut state = self.state();
        state.life = life;
        if life != LifeState::Up {
            state.drain_began_at.get_or_insert(now);
        }
        drop(state);
        log::info!(
            "backend: life changed instance={} state={life:?}",
            self.instance
        );
        self.life_changed.notify_one();
    }

    /// When the drain began, if it did.
    pub fn drain_began_at(&self) -> Option<TimeMs> {
        self.state().drain_began_at
    }

    /// What is announced at present.
    pub fn announcement(&self) -> Announcement {
        Announcement {
            service: self.settings.service.clone(),
            address: self.settings.announced_address.unwrap_or(self.address),
            slots: self.settings.slots,
            connections: self.settings.connections,
            state: self.life(),
        }
    }

    /// Whether the cold start is over.
    pub fn is_warm(&self) -> bool {
        self.clock.now().0 >= self.settings.warm_ms
    }

    /// A number in 0.0..1.0 from the seeded generator.
    pub fn uniform(&self) -> f64 {
        self.state().rng.f64()
    }

    /// Whether something happens that does in `percent` of a hundred cases.
    pub fn happens(&self, percent: u8) -> bool {
        percent >= 100 || self.state().rng.u8(0..100) < percent
    }

    /// Calls waiting or running.
    pub fn live_count(&self) -> usize {
        self.state().live.len()
    }

    /// Adds a call to the list of live calls, unless there are too many.
    pub fn enter_live(self: &Arc<Self>, request_id: &str) -> Option<LiveGuard> {
        let mut state = self.state();
        if state.live.len() >= self.settings.connections as usize {
            return None;
        }
        state.last_live += 1;
        let number = state.last_live;
        let call = LiveCall {
            request_id: request_id.to_string(),
            task: None,
        };
        state.live.insert(number, call);
        Some(LiveGuard {
            backend: self.clone(),
            number,
        })
    }

    /// Lets the call be cancelled by its request id.
    pub fn set_task(&self, number: u64, task: AbortHandle) {
        if let Some(call) = self.state().live.get_mut(&number) {
            call.task = Some(task);
        }
    }

    /// Cancels the live calls of a request and says how many there were.
    pub fn cancel(&self, request_id: &str) -> usize {
        let state = self.state();
        let calls = state.live.values();
        let tasks = calls
            .filter(|call| call.request_id == request_id)
            .filter_map(|call| call.task.clone());
        let tasks: Vec<AbortHandle> = tasks.collect();
        drop(state);
        tasks.iter().for_each(AbortHandle::abort);
        tasks.len()
    }

    /// The figures that a lagging load endpoint repeats, renewed from `honest` when they are old.
    pub fn lagging_load(&self, honest: BackendLoad) -> BackendLoad {
        let now = self.clock.now();
        self.state().old_load.repeat(honest, now)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn new(settings: &BackendSettings) -> Self {
        Self {
            behaviour: Behaviour {
                slow_factor: 1.0,
                shed_above_queued: settings.shed_above_queued,
                load: Default::default(),
                silent: false,
                honours_deadlines: settings.honours_deadlines,
                honours_cancellation: settings.honours_cancellation,
                fail_percent: 0,
                rate_per_s: None,
            },
            life: LifeState::Up,
            drain_began_at: None,
            rng: fastrand::Rng::with_seed(settings.seed),
            old_load: OldLoad::default(),
            live: FastMap::default(),
            last_live: 0,
        }
    }
}

impl LiveGuard {
    /// The number under which the call is listed.
    pub fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for LiveGuard {
    fn drop(&mut self) {
        self.backend.state().live.remove(&self.number);
    }
}
