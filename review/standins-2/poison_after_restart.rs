//! BUDGET: a request that crashes each target that runs it comes again and again, while the machines
//! of its service are stopped and started in turn.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Seen;
use crate::node::Bounds;
use crate::world::Plan;
use crate::world::Verdict;
use crate::world::World;
use crate::world::desired;
use crate::world::request;
use crate::world::route;
use crate::world::wait_until;

const BOUNDS: Bounds = Bounds {
    drain_ms: 2_000,
    config_ms: 2_000,
    stable_window_ms: 3_000,
    grace_s: 6,
    ack_ms: 4_000,
    budget_slack: 47,
    memory_mb: 260,
    has_tenants: false,
};
/// How often the request comes again.
const AGAIN: Duration = Duration::from_millis(400);
/// The pause between two machines. The site's `roll_term` has 1.3 s; a longer pause is a smaller dose.
const GAP: Duration = Duration::from_millis(9_000);
/// How long the platform takes to start a process again.
const RESTART: Duration = Duration::from_millis(300);
/// How many retries the rule allows.
const MOST_RETRIES: usize = 3;

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let plans = [
        Plan { name: "machine-1", zone: "zone-a", service: "ementas", slots: 123 },
        Plan { name: "machine-2", zone: "zone-a", service: "compras", slots: 123 },
        Plan { name: "machine-3", zone: "zone-a", service: "compras", slots: 123 },
        Plan { name: "machine-4", zone: "zone-b", service: "compras", slots: 123 },
        Plan { name: "machine-5", zone: "zone-c", service: "compras", slots: 123 },
        Plan { name: "machine-6", zone: "zone-b", service: "ementas", slots: 123 },
        Plan { name: "machine-7", zone: "zone-c", service: "ementas", slots: 123 },
    ];
    let routes = [route("r-order", "/order/", "unsafe", "compras", 6_000, 1_500)];
    let state = desired(7, &routes, &["ementas", "compras"]);
    let Some(world) = World::start(folder, &BOUNDS, &plans, &state, false) else {
        return Verdict::NotRun;
    };
    let outbound = world.spots[0].machine.outbound;
    let is_good = wait_until(Duration::from_secs(20), || {
        world.request(outbound, "POST", "/order/1", "warm", 3_000, "") == Seen::Answer(200, true)
    });
    if !is_good {
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_millis(BOUNDS.stable_window_ms));
    let is_over = Arc::new(AtomicBool::new(false));
    // It comes at any machine of the service that is its caller.
    let callers = [0, 5, 6].map(|index: usize| world.spots[index].machine.outbound);
    // The request that comes again and again: same path, caller and body, another identifier.
    let again = {
        let (record, is_over) = (world.record.clone(), is_over.clone());
        std::thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let outbound = callers[number % callers.len()];
                let id = format!("crash-{number}");
                request(&record, outbound, "POST", "/order/crashes", &id, 2_000, "");
                std::thread::sleep(AGAIN);
            }
        })
    };
    for spot in &world.spots {
        spot.target.set_work(Duration::from_millis(300));
    }
    // Ordinary orders at the same machines, a few at work at each target at each time.
    let failed = Arc::new(Mutex::new(0));
    let orders: Vec<_> = (0..18)
        .map(|client| {
            let outbound = callers[client % callers.len()];
            let (record, is_over) = (world.record.clone(), is_over.clone());
            let failed = failed.clone();
            std::thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("order-{client}-{number}");
                    let path = format!("/order/{client}-{number}");
                    let seen = request(&record, outbound, "POST", &path, &id, 6_000, "");
                    if seen == Seen::Answer(502, false) {
                        *failed.lock().expect("failed") += 1;
                    }
                    std::thread::sleep(Duration::from_millis(300));
                }
            })
        })
        .collect();
    let crashes = || {
        let runs = world.spots.iter().flat_map(|spot| spot.target.runs());
        let mut crashes: Vec<Instant> =
            runs.filter(|run| run.id.starts_with("crash-")).map(|run| run.began).collect();
        crashes.sort();
        crashes
    };
    if !wait_until(Duration::from_secs(20), || crashes().len() >= 3) {
        is_over.store(true, Ordering::SeqCst);
        world.record.line("case: the request has not crashed three targets");
        return Verdict::NotRun;
    }
    let third = crashes()[2];
    // All targets are back, and all machines in touch.
    std::thread::sleep(Duration::from_millis(6_000));
    let before = crashes().len();
    let failed_before = *failed.lock().expect("failed");
    world.record.line(&format!("case: {before} crashes before the planned work"));
    // When each process was started last: a machine is in touch `stable_window_ms` later.
    let mut started: Vec<Option<Instant>> = vec![None; world.spots.len()];
    let mut stopped: Vec<Option<Instant>> = vec![None; world.spots.len()];
    if has_trouble {
        for (index, spot) in world.spots.iter().enumerate().take(5).skip(1) {
            stopped[index] = Some(Instant::now());
            spot.machine.terminate(Duration::from_secs(BOUNDS.grace_s));
            std::thread::sleep(RESTART);
            spot.machine.start(false);
            started[index] = Some(Instant::now());
            if !wait_until(Duration::from_secs(10), || spot.machine.is_ready()) {
                is_over.store(true, Ordering::SeqCst);
                return Verdict::NotRun;
            }
            std::thread::sleep(GAP);
        }
        std::thread::sleep(Duration::from_millis(3_000));
    } else {
        std::thread::sleep(Duration::from_millis(55_000));
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = again.join();
    for order in orders {
        let _ = order.join();
    }
    let stable = Duration::from_millis(BOUNDS.stable_window_ms);
    let mut counted = 0;
    for (index, spot) in world.spots.iter().enumerate() {
        for run in spot.target.runs() {
            let is_late = run.began > third + stable;
            // A machine is out of touch from its SIGTERM until `stable_window_ms` after its start.
            let is_in_touch = match (stopped[index], started[index]) {
                (Some(stopped), Some(started)) => run.began < stopped || run.began > started + stable,
                _ => true,
            };
            if run.id.starts_with("crash-") && is_late {
                world.record.line(&format!(
                    "case: id={} reached {} {} ms after the third crash, its machine in touch: {is_in_touch}",
                    run.id,
                    spot.target.name,
                    run.began.duration_since(third).as_millis()
                ));
                counted += usize::from(is_in_touch);
            }
        }
    }
    let at_work = world.spots.iter().flat_map(|spot| spot.target.runs());
    let at_work = at_work.filter(|run| run.id.starts_with("order-") && run.ended.is_none());
    let at_work = at_work.filter(|run| run.began > third + stable).count();
    world.record.line(&format!("case: {at_work} other orders were at work when their target ended, after the planned work began"));
    let failed = *failed.lock().expect("failed") - failed_before;
    world.record.line(&format!("case: {failed} other orders got 502 after the planned work began"));
    world.record.line(&format!(
        "case: {counted} retries by machines in touch later than stable_window_ms after the third crash; BUDGET allows {MOST_RETRIES}"
    ));
    if counted > MOST_RETRIES { Verdict::Broken } else { Verdict::Held }
}
