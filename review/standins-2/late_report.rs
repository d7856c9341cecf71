//! DRAIN: a target crashes and starts again under its id, says that it leaves, and a report of its
//! earlier lifetime arrives late.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::http::Seen;
use crate::node::Bounds;
use crate::world::HEARTBEAT;
use crate::world::Plan;
use crate::world::Verdict;
use crate::world::World;
use crate::world::desired;
use crate::world::route;
use crate::world::sleep_until;
use crate::world::wait_until;

const BOUNDS: Bounds = Bounds {
    drain_ms: 2_500,
    config_ms: 2_500,
    stable_window_ms: 3_000,
    grace_s: 6,
    ack_ms: 5_000,
    budget_slack: 110,
    memory_mb: 160,
    has_tenants: false,
};

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let plans = [
        Plan { name: "machine-1", zone: "zone-a", service: "portal", slots: 68 },
        Plan { name: "machine-2", zone: "zone-a", service: "disbursement", slots: 243 },
        Plan { name: "machine-3", zone: "zone-b", service: "disbursement", slots: 243 },
        Plan { name: "machine-4", zone: "zone-c", service: "disbursement", slots: 243 },
    ];
    let routes = [
        route("r-pay", "/pay/", "unsafe", "disbursement", 1_200, 250),
        route("r-look", "/look/", "safe", "disbursement", 2_000, 800),
    ];
    let state = desired(7, &routes, &["portal", "disbursement"]);
    let Some(world) = World::start(folder, &BOUNDS, &plans, &state, true) else {
        return Verdict::NotRun;
    };
    let (front, back) = (&world.spots[0], &world.spots[1]);
    let outbound = front.machine.outbound;
    if !world.wait_for(outbound, "/look/1") {
        world.record.line("case: no request succeeds");
        return Verdict::NotRun;
    }
    world.read_on(outbound, "/look/3", Duration::from_millis(200));
    std::thread::sleep(Duration::from_millis(BOUNDS.stable_window_ms));
    // The last report of the first lifetime.
    let report = back.target.next_report();
    let sent = Instant::now();
    if has_trouble {
        world.record.line("target-2: a report of readiness is sent; it will be late");
    } else {
        back.target.deliver(&report);
    }
    back.target.end();
    std::thread::sleep(Duration::from_millis(500));
    back.target.start_again();
    back.target.report_to(back.machine.control, HEARTBEAT);
    let before = back.target.runs().len();
    let has_run = wait_until(Duration::from_secs(10), || {
        world.wait_for(outbound, "/look/2") && back.target.runs().len() > before
    });
    if !has_run {
        world.record.line("case: no request runs in the second lifetime");
        return Verdict::NotRun;
    }
    let (seen, acknowledged) = back.target.leave();
    if seen != Seen::Answer(200, false) {
        return Verdict::NotRun;
    }
    sleep_until(acknowledged + Duration::from_millis(2_700));
    if has_trouble {
        world.record.line(&format!(
            "target-2: the report of the first lifetime arrives, {} ms late",
            sent.elapsed().as_millis()
        ));
        back.target.deliver(&report);
    }
    sleep_until(acknowledged + Duration::from_millis(4_200));
    let seen = world.ask_on_until_end(&back.target, outbound, "/pay/1", "pay", 1200);
    let drained = acknowledged + Duration::from_millis(BOUNDS.drain_ms);
    let late_runs: Vec<_> = back
        .target
        .runs()
        .into_iter()
        .filter(|run| run.began > drained && run.id.starts_with("pay-"))
        .collect();
    for run in &late_runs {
        let after = run.began.duration_since(acknowledged).as_millis();
        world.record.line(&format!(
            "case: request id={} reached the target {after} ms after the acknowledgement",
            run.id
        ));
    }
    let lost = late_runs.iter().filter(|run| run.ended.is_none());
    let lost = lost.filter(|run| seen.get(&run.id) == Some(&Seen::Answer(502, false)));
    world.record.line(&format!(
        "case: {} of them were at work when the target ended, and their clients got 502",
        lost.count()
    ));
    world.record.line(&format!("case: {} requests after drain_ms; DRAIN allows none", late_runs.len()));
    if late_runs.is_empty() { Verdict::Held } else { Verdict::Broken }
}
