//! LOST: a machine gets SIGTERM while calls of its target wait for a slot at another machine.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::http::Seen;
use crate::node::Bounds;
use crate::target::Calls;
use crate::world::HOST;
use crate::world::Plan;
use crate::world::Verdict;
use crate::world::World;
use crate::world::desired;
use crate::world::request;
use crate::world::route;
use crate::world::sleep_until;

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

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let plans = [
        Plan { name: "machine-1", zone: "zone-a", service: "compras", slots: 162 },
        Plan { name: "machine-2", zone: "zone-b", service: "senhas", slots: 4 },
    ];
    let routes = [
        route("r-encomenda", "/encomenda/", "unsafe", "compras", 6_000, 1_500),
        route("r-saldo", "/saldo/", "safe", "senhas", 6_000, 1_500),
    ];
    let state = desired(7, &routes, &["compras", "senhas"]);
    let Some(world) = World::start(folder, &BOUNDS, &plans, &state, false) else {
        return Verdict::NotRun;
    };
    let (front, back) = (&world.spots[0], &world.spots[1]);
    let outbound = front.machine.outbound;
    if !world.wait_for(outbound, "/saldo/1") || !world.wait_for(outbound, "/encomenda/1") {
        world.record.line("case: no request succeeds");
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_millis(BOUNDS.stable_window_ms));
    back.target.set_work(Duration::from_millis(1_000));
    front.target.set_calls(Calls {
        outbound,
        host: HOST.to_owned(),
        path: "/saldo/1".to_owned(),
        count: 4,
    });
    let began = Instant::now();
    let machine = front.machine.clone();
    let stopping = std::thread::spawn(move || {
        if has_trouble {
            machine.terminate(Duration::from_secs(BOUNDS.grace_s));
        }
    });
    // Well within the time in which clients may still use a machine that stops.
    sleep_until(began + Duration::from_millis(1_200));
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let record = world.record.clone();
            std::thread::spawn(move || {
                let id = format!("encomenda-{number}");
                request(&record, outbound, "POST", "/encomenda/1", &id, 6_000, "")
            })
        })
        .collect();
    let seen: Vec<Seen> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let _ = stopping.join();
    // What was at work at a target late in `grace_s` is excused; what only waited is not.
    let runs = back.target.runs();
    let mut lost = 0;
    for (id, seen, _) in front.target.seen_by_calls() {
        let has_run = runs.iter().any(|run| run.id == id);
        let is_cut = matches!(seen, Seen::Closed);
        if is_cut && !has_run {
            lost += 1;
            world.record.line(&format!("case: call id={id} waited, was not sent to a target, and its connection ended without an answer"));
        }
    }
    let cut_clients = seen.iter().filter(|seen| **seen == Seen::Closed).count();
    world.record.line(&format!("case: {cut_clients} client requests ended without an answer"));
    world.record.line(&format!("case: {lost} calls lost; LOST allows none"));
    if lost == 0 { Verdict::Held } else { Verdict::Broken }
}
