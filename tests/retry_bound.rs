//! A simulation in virtual time: the retry bound of a service while its nodes are restarted or cut off, and
//! while demand falls or moves.

mod fake_targets;
mod seeds;
mod sent_calls;

use std::ops::Range;
use std::sync::Arc;

use fastrand::Rng;
use rstest::rstest;
use sassafrasgap::core::Name;
use sassafrasgap::core::TimeMs;
use sassafrasgap::core::View;
use sassafrasgap::retry::RetryBound;
use sassafrasgap::retry::ServiceBudgets;
use sassafrasgap::retry::Sharers;

use fake_targets::target;
use seeds::seeds;
use sent_calls::STEPS_PER_WINDOW;
use sent_calls::Sent;

const BOUND: RetryBound = RetryBound {
    ratio: 0.2,
    slack: 50.0,
    window_ms: 10_000,
};
/// The nodes are in turn in one of so many failure domains.
const DOMAINS: usize = 3;
const STEP_MS: u64 = 100;
const STEPS: usize = 600;
/// The service refuses calls from here on.
const FAILS_FROM_STEP: usize = 150;
/// The fraction of calls that it refuses then.
const FAILING: f32 = 0.75;
/// How long the service fails before all processes are restarted at once.
const ALL_AFTER_STEPS: usize = 35;
/// The time over which processes are restarted one after the other.
const ROLLING_STEPS: usize = 200;
/// First seed and number of drawn runs; see [`seeds`].
const FIRST_SEED: u64 = 1_000;
const SEEDS_IN_CI: u64 = 80;
/// How long a killed process is down.
const DOWN_STEPS: usize = 5;

/// Which processes are killed or stopped, and when.
#[derive(Clone, Copy, Debug)]
enum Restarts {
    None,
    /// All of them, once.
    All,
    /// Six in ten of them, three seconds apart.
    PartTwice,
    /// All of them, every two and a half seconds.
    Series,
    /// One after the other, without a pause.
    Rolling,
    /// All of them are stopped as planned, once.
    AllPlanned,
    /// All of them are stopped as planned every two and a half seconds.
    SeriesPlanned,
}

impl Restarts {
    fn are_planned(self) -> bool {
        matches!(self, Self::AllPlanned | Self::SeriesPlanned)
    }

    fn hits(self, step: usize, node: usize, nodes: usize, random: &mut Rng) -> bool {
        let Some(since) = step.checked_sub(FAILS_FROM_STEP) else {
            return false;
        };
        match self {
            Self::None => false,
            Self::All | Self::AllPlanned => since == ALL_AFTER_STEPS,
            Self::PartTwice => [30, 60].contains(&since) && random.f32() < 0.6,
            Self::Series | Self::SeriesPlanned => since < 200 && since % 25 == 24,
            Self::Rolling => {
                let turn = |since| since * nodes / ROLLING_STEPS;
                since < ROLLING_STEPS && turn(since) == node && turn(since + 1) != node
            }
        }
    }
}

/// The demand of all nodes over time.
#[derive(Clone, Debug)]
struct Demand {
    calls_per_step: f32,
    from_step: usize,
    /// While demand is higher, and by which factor.
    high: Range<usize>,
    factor: f32,
    /// From this step on, a part of the calls in the first failure domain is made in the second.
    moves_from_step: usize,
    moved_share: f32,
    /// No calls are made in the second failure domain before that.
    is_second_idle: bool,
}

impl Demand {
    fn constant(calls_per_step: f32) -> Self {
        Self {
            calls_per_step,
            from_step: 0,
            high: 0..0,
            factor: 1.0,
            moves_from_step: STEPS,
            moved_share: 0.0,
            is_second_idle: false,
        }
    }

    /// The mean number of calls of a node in a step.
    fn at(&self, step: usize, node: usize) -> f32 {
        if step < self.from_step {
            return 0.0;
        }
        let is_high = self.high.contains(&step);
        let has_moved = step >= self.moves_from_step;
        let moved_share = if has_moved { self.moved_share } else { 0.0 };
        let part = match node % DOMAINS {
            0 => 1.0 - moved_share,
            1 if self.is_second_idle => moved_share,
            1 => 1.0 + moved_share,
            _ => 1.0,
        };
        self.calls_per_step * part * if is_high { self.factor } else { 1.0 }
    }
}

/// Which nodes a process knows after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    All,
    /// Those of its own failure domain, which is cut off from the others.
    OwnDomain,
}

fn domain_of(node: usize) -> Name {
    Name::from(format!("domain-{}", node % DOMAINS))
}

/// Among how many nodes a node of a failure domain divides the fixed allowance, of `nodes` in all.
fn sharers(domain: &Name, nodes: usize, known: Known) -> Sharers {
    let mut view = View::default();
    for node in 0..nodes {
        let target = target(&format!("node-{node}"), &domain_of(node));
        if known == Known::All || target.domain == *domain {
            view.nodes.insert(target.node.clone(), Arc::new(target));
        }
    }
    Sharers::of(&view, domain, DOMAINS)
}

/// The same for each failure domain.
fn sharers_by_domain(nodes: usize, known: Known) -> [Sharers; DOMAINS] {
    std::array::from_fn(|domain| sharers(&domain_of(domain), nodes, known))
}

/// How a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Killed,
    /// Its successor receives what it has spent.
    Stopped,
}

/// What happens in a run: calls by step and node, the fraction of them that fails by step, and the processes
/// that end by step and node.
struct Events<C, F, E> {
    calls: C,
    failing: F,
    ends: E,
}

fn play(
    nodes: usize,
    demand: &Demand,
    known_after_restart: Known,
    restarts: Restarts,
    seed: u64,
) -> Sent {
    let end = if restarts.are_planned() {
        End::Stopped
    } else {
        End::Killed
    };
    let events = Events {
        calls: |step, node| demand.at(step, node),
        failing: |step| if step < FAILS_FROM_STEP { 0.0 } else { FAILING },
        ends: |step, node, random: &mut Rng| {
            let is_hit = restarts.hits(step, node, nodes, random);
            is_hit.then_some(end)
        },
    };
    play_events(nodes, events, known_after_restart, seed)
}

fn play_events(
    nodes: usize,
    events: Events<
        impl Fn(usize, usize) -> f32,
        impl Fn(usize) -> f32,
        impl Fn(usize, usize, &mut Rng) -> Option<End>,
    >,
    known_after_restart: Known,
    seed: u64,
) -> Sent {
    let service = Name::from("service");
    let mut random = Rng::with_seed(seed);
    let start = |now, is_first_start, sharers| {
        let mut budgets = ServiceBudgets::new(BOUND, is_first_start, now);
        budgets.set_sharers(sharers);
        budgets
    };
    let sharers = sharers_by_domain(nodes, Known::All);
    let first_process = |node| start(TimeMs(0), true, sharers[node % DOMAINS]);
    let mut processes: Vec<ServiceBudgets> = (0..nodes).map(first_process).collect();
    let sharers_after_restart = sharers_by_domain(nodes, known_after_restart);
    let mut down_until = vec![0; nodes];
    let mut sent = Sent::default();
    for step in 0..STEPS {
        let now = TimeMs(step as u64 * STEP_MS);
        let (mut first, mut retried) = (0, 0);
        let failing = (events.failing)(step);
        for node in 0..nodes {
            if let Some(end) = (events.ends)(step, node, &mut random) {
                down_until[node] = step + DOWN_STEPS;
                let handover = processes[node].close(now);
                let started = now + DOWN_STEPS as u64 * STEP_MS;
                processes[node] = start(started, false, sharers_after_restart[node % DOMAINS]);
                if let Some(retries) = handover.filter(|_| end == End::Stopped) {
                    processes[node].set_predecessor(retries);
                }
            }
            let mean = (events.calls)(step, node);
            let calls = mean as u32 + u32::from(random.f32() < mean.fract());
            first += calls;
            if step < down_until[node] {
                continue;
            }
            let budgets = &mut processes[node];
            for _ in 0..calls {
                budgets.record_first_attempt(now, &service, 0.0);
                let fails = failing > 0.0 && random.f32() < failing;
                retried += u32::from(fails && budgets.try_retry(now, &service));
            }
        }
        sent.push(first, retried);
    }
    sent
}

/// Guards against budgets of which restarted processes spend the same window again.
#[rstest]
fn restarts_keep_the_bound(
    #[values(17, 200)] nodes: usize,
    #[values(0.3, 3.0)] calls_per_step: f32,
    #[values(
        Restarts::None,
        Restarts::All,
        Restarts::PartTwice,
        Restarts::Series,
        Restarts::Rolling,
        Restarts::AllPlanned,
        Restarts::SeriesPlanned
    )]
    restarts: Restarts,
) {
    let demand = Demand::constant(calls_per_step);
    for seed in 0..3 {
        let sent = play(nodes, &demand, Known::All, restarts, seed);
        let excess = sent.excess(BOUND);
        assert!(excess <= 0.0, "{excess} retries too many, seed {seed}");
    }
}

/// Guards against a restarted process that never gets its full budget back.
#[rstest]
fn a_window_after_a_restart_the_whole_budget_is_back() {
    let demand = Demand::constant(3.0);
    let after_kill = play(17, &demand, Known::All, Restarts::All, 0);
    let undisturbed = play(17, &demand, Known::All, Restarts::None, 0);
    let from = FAILS_FROM_STEP + ALL_AFTER_STEPS + DOWN_STEPS + STEPS_PER_WINDOW;
    let retried = |sent: &Sent| Sent::in_window(&sent.retried, from) as f32;
    let (after_kill, undisturbed) = (retried(&after_kill), retried(&undisturbed));
    assert!(
        after_kill >= 0.9 * undisturbed,
        "{after_kill} of {undisturbed}"
    );
}

/// Guards against a planned restart after which failures are not retried for a window.
#[rstest]
fn a_planned_restart_keeps_the_budget_that_is_not_spent() {
    let service = Name::from("service");
    let mut before = ServiceBudgets::new(BOUND, true, TimeMs(0));
    before.record_first_attempt(TimeMs(9_000), &service, 0.0);
    let retries = before.close(TimeMs(10_000)).expect("all are known");
    assert!(!before.try_retry(TimeMs(10_000), &service));
    let mut after = ServiceBudgets::new(BOUND, false, TimeMs(0));
    after.set_predecessor(retries);
    let mut granted = 0;
    for at_ms in (0..5_000).step_by(10) {
        after.record_first_attempt(TimeMs(at_ms), &service, 0.0);
        granted += u32::from(after.try_retry(TimeMs(at_ms), &service));
    }
    let allowed = 500.0 * BOUND.ratio;
    assert!(
        f64::from(granted) > f64::from(allowed) / 2.0,
        "{granted} of {allowed}"
    );
}

/// Guards against a fixed allowance that each side of a partition divides among its own nodes only,
/// because processes that start during the partition know no others.
#[rstest]
fn restarts_on_three_sides_of_a_partition_keep_the_bound(#[values(0.12, 3.0)] calls_per_step: f32) {
    let demand = Demand::constant(calls_per_step);
    for seed in 0..3 {
        let sent = play(18, &demand, Known::OwnDomain, Restarts::All, seed);
        let excess = sent.excess(BOUND);
        assert!(excess <= 0.0, "{excess} retries too many, seed {seed}");
    }
}

/// Guards against retries that are granted for earlier calls than those of the window in which
/// they are made, because demand falls.
#[rstest]
fn falling_demand_keeps_the_bound(
    #[values(1.5, 2.0, 3.0)] factor: f32,
    #[values(32, 50, 100)] high_steps: usize,
    #[values(0, 15, 40)] fails_before_fall_steps: usize,
    #[values(true, false)] starts_high: bool,
    #[values(Restarts::None, Restarts::All)] restarts: Restarts,
) {
    let falls = FAILS_FROM_STEP + fails_before_fall_steps;
    let demand = Demand {
        from_step: if starts_high { falls - high_steps } else { 0 },
        high: falls - high_steps..falls,
        factor,
        ..Demand::constant(6.0)
    };
    let sent = play(20, &demand, Known::All, restarts, 0);
    let excess = sent.excess(BOUND);
    assert!(excess <= 0.0, "{excess} retries too many");
}

/// Guards against a budget that nodes grant in full for calls that had other entries before.
#[rstest]
fn demand_that_moves_to_idle_nodes_keeps_the_bound(
    #[values(0.3, 0.5, 1.0)] moved_share: f32,
    #[values(20, 50, 100)] moves_after_steps: usize,
) {
    let demand = Demand {
        moves_from_step: FAILS_FROM_STEP + moves_after_steps,
        moved_share,
        is_second_idle: true,
        ..Demand::constant(20.0)
    };
    let sent = play(18, &demand, Known::All, Restarts::None, 0);
    let excess = sent.excess(BOUND);
    assert!(excess <= 0.0, "{excess} retries too many");
}

/// Guards against the same within two windows after the first start of the system, where a node takes its
/// first calls for those of the system.
#[test]
fn demand_that_moves_to_idle_nodes_after_the_first_start_keeps_the_bound() {
    let demand = Demand {
        moves_from_step: STEPS_PER_WINDOW + STEPS_PER_WINDOW / 2,
        moved_share: 1.0,
        is_second_idle: true,
        ..Demand::constant(20.0)
    };
    let events = Events {
        calls: |step, node| demand.at(step, node),
        failing: |step| {
            if step < STEPS_PER_WINDOW {
                0.0
            } else {
                FAILING
            }
        },
        ends: |_, _, _: &mut Rng| None,
    };
    let excess = play_events(18, events, Known::All, 0).excess(BOUND);
    assert!(excess <= 0.0, "{excess} retries too many");
}

/// Guards against retries that nodes grant for calls which other nodes make by then.
#[rstest]
fn moving_demand_keeps_the_bound(
    #[values(0.3, 0.5, 0.8)] moved_share: f32,
    #[values(0, 15, 30)] moves_after_steps: usize,
) {
    let demand = Demand {
        moves_from_step: FAILS_FROM_STEP + moves_after_steps,
        moved_share,
        ..Demand::constant(20.0)
    };
    let sent = play(18, &demand, Known::All, Restarts::None, 0);
    let excess = sent.excess(BOUND);
    assert!(excess <= 0.0, "{excess} retries too many");
}

/// A time span of a drawn run, and how strong its event is.
#[derive(Clone, Debug)]
struct Span {
    steps: Range<usize>,
    strength: f32,
}

impl Span {
    /// Spans of up to 12 s, in the first half of the run.
    fn draw(random: &mut Rng, count: Range<usize>, strength: Range<f32>) -> Vec<Self> {
        let count = random.usize(count);
        let spans = (0..count).map(|_| {
            let from = random.usize(20..STEPS / 2);
            Self {
                steps: from..from + random.usize(20..120),
                strength: strength.start + random.f32() * (strength.end - strength.start),
            }
        });
        spans.collect()
    }

    /// The strengths of the spans that contain a step.
    fn at(spans: &[Self], step: usize) -> impl Iterator<Item = f32> {
        let current = spans.iter().filter(move |span| span.steps.contains(&step));
        current.map(|span| span.strength)
    }
}

/// Several disruptions of a run, drawn so that they overlap.
#[derive(Clone, Debug)]
struct Disruptions {
    calls_per_step: f32,
    /// The service fails a fraction of its calls.
    failures: Vec<Span>,
    /// Demand is higher or lower by a factor.
    bursts: Vec<Span>,
    /// A fraction of the calls of one failure domain is made in the next one.
    moves: Vec<Span>,
    moves_from: usize,
    /// A failure domain that offers no calls of its own, if there is one with this number.
    idle: usize,
    /// A fraction of the processes ends when the span begins.
    ends: Vec<Span>,
    end: End,
    known_after_restart: Known,
}

impl Disruptions {
    fn draw(random: &mut Rng) -> Self {
        Self {
            calls_per_step: [0.3, 3.0, 12.0][random.usize(0..3)],
            failures: Span::draw(random, 1..4, 0.3..0.95),
            bursts: Span::draw(random, 0..3, 0.3..3.0),
            moves: Span::draw(random, 0..3, 0.3..1.0),
            moves_from: random.usize(0..DOMAINS),
            idle: random.usize(0..DOMAINS + 1),
            ends: Span::draw(random, 0..4, 0.2..1.2),
            end: [End::Killed, End::Stopped][random.usize(0..2)],
            known_after_restart: [Known::All, Known::OwnDomain][random.usize(0..2)],
        }
    }

    fn calls(&self, step: usize, node: usize) -> f32 {
        let own = |domain| if domain == self.idle { 0.0 } else { 1.0 };
        let moved = Span::at(&self.moves, step).fold(0.0, f32::max);
        let (domain, moves_to) = (node % DOMAINS, (self.moves_from + 1) % DOMAINS);
        let part = match domain {
            _ if domain == self.moves_from => own(domain) * (1.0 - moved),
            _ if domain == moves_to => own(domain) + own(self.moves_from) * moved,
            _ => own(domain),
        };
        let factor: f32 = Span::at(&self.bursts, step).product();
        self.calls_per_step * factor * part
    }

    fn failing(&self, step: usize) -> f32 {
        Span::at(&self.failures, step).fold(0.0, f32::max)
    }

    fn end(&self, step: usize, random: &mut Rng) -> Option<End> {
        let mut begin = self.ends.iter().filter(|span| span.steps.start == step);
        let is_hit = begin.any(|span| random.f32() < span.strength);
        is_hit.then_some(self.end)
    }
}

/// Guards against retries that are granted twice while several disruptions overlap: a service fails,
/// demand rises, falls and moves between failure domains, and nodes are killed or stopped.
#[rstest]
fn overlapping_disruptions_keep_the_bound(#[values(18, 78)] nodes: usize) {
    for seed in seeds(FIRST_SEED, SEEDS_IN_CI) {
        let day = Disruptions::draw(&mut Rng::with_seed(seed));
        let events = Events {
            calls: |step, node| day.calls(step, node),
            failing: |step| day.failing(step),
            ends: |step, _, random: &mut Rng| day.end(step, random),
        };
        let sent = play_events(nodes, events, day.known_after_restart, seed);
        let excess = sent.excess(BOUND);
        assert!(excess <= 0.0, "{excess} retries too many, seed {seed}");
    }
}

/// Guards against counts that a running process loses, and retries that it then grants again.
#[rstest]
#[case::the_window_changes(|budgets: &mut ServiceBudgets, now| {
    budgets.set_bound(now, RetryBound { window_ms: 8_000, ..BOUND });
})]
#[case::budgets_are_dropped(|budgets: &mut ServiceBudgets, now| budgets.retain(now, |_| false))]
fn lost_counts_grant_no_second_budget(#[case] lose_counts: fn(&mut ServiceBudgets, TimeMs)) {
    let service = Name::from("service");
    let mut budgets = ServiceBudgets::new(BOUND, true, TimeMs(0));
    budgets.set_sharers(sharers(&domain_of(0), 17, Known::All));
    let mut granted: Vec<u64> = Vec::new();
    for at_ms in (0..17_000).step_by(10) {
        let now = TimeMs(at_ms);
        if at_ms == 13_000 {
            lose_counts(&mut budgets, now);
        }
        budgets.record_first_attempt(now, &service, 0.0);
        if at_ms >= 9_500 && budgets.try_retry(now, &service) {
            granted.push(at_ms);
        }
    }
    // All of them are within ten seconds, in which 1,000 calls were made.
    let allowed = 1_000.0 * BOUND.ratio + BOUND.slack / 17.0;
    assert!(
        granted.len() as f32 <= allowed,
        "{} of {allowed}",
        granted.len()
    );
}

/// Guards against a first window after a restart in which the reserve of a former ratio is used.
#[rstest]
fn a_reload_of_the_ratio_changes_the_reserve() {
    let service = Name::from("service");
    let mut budgets = ServiceBudgets::new(BOUND, false, TimeMs(0));
    budgets.record_first_attempt(TimeMs(0), &service, 0.0);
    let bound = RetryBound {
        ratio: 0.002,
        slack: 0.0,
        ..BOUND
    };
    budgets.set_bound(TimeMs(0), bound);
    let mut granted = 0;
    for at_ms in (0..10_000).step_by(10) {
        budgets.record_first_attempt(TimeMs(at_ms), &service, 0.0);
        granted += u32::from(budgets.try_retry(TimeMs(at_ms), &service));
    }
    let allowed = 1_000.0 * bound.ratio;
    assert!(granted as f32 <= allowed, "{granted} of {allowed}");
}
