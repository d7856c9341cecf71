//! DRAIN: a target says that it leaves; its machine's process is restarted while the store turns that
//! machine away; a report from before the departure arrives late.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::http::Seen;
use crate::node::Bounds;
use crate::world::Plan;
use crate::world::Verdict;
use crate::world::World;
use crate::world::desired;
use crate::world::route;
use crate::world::sleep_until;
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

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let plans = [
        Plan { name: "machine-1", zone: "zone-a", service: "workspace", slots: 121 },
        Plan { name: "machine-2", zone: "zone-a", service: "scheduler", slots: 162 },
        Plan { name: "machine-3", zone: "zone-b", service: "scheduler", slots: 162 },
        Plan { name: "machine-4", zone: "zone-c", service: "scheduler", slots: 162 },
    ];
    let routes = [
        route("r-job", "/job/", "unsafe", "scheduler", 5_000, 1_200),
        route("r-look", "/look/", "safe", "scheduler", 5_000, 1_200),
    ];
    let state = desired(7, &routes, &["workspace", "scheduler"]);
    let Some(world) = World::start(folder, &BOUNDS, &plans, &state, false) else {
        return Verdict::NotRun;
    };
    let (front, back) = (&world.spots[0], &world.spots[1]);
    let outbound = front.machine.outbound;
    if !world.wait_for(outbound, "/look/1") {
        world.record.line("case: no request succeeds");
        return Verdict::NotRun;
    }
    let is_stored = wait_until(Duration::from_secs(10), || {
        !world.store.rows_with("\"known\":{\"incarnation\":\"i-target-2\"").is_empty()
    });
    if !is_stored {
        world.record.line("case: the target is not stored");
        return Verdict::NotRun;
    }
    world.read_on(outbound, "/look/3", Duration::from_millis(200));
    // A calm time of `stable_window_ms` before the departure.
    std::thread::sleep(Duration::from_millis(BOUNDS.stable_window_ms));
    // A liveness report that will be late.
    let late = back.target.next_report();
    world.record.line("target-2: a report of readiness is sent; it will be late by 4.5 s");
    let sent = Instant::now();
    let (seen, acknowledged) = back.target.leave();
    if seen != Seen::Answer(200, false) {
        return Verdict::NotRun;
    }
    let is_written = wait_until(Duration::from_secs(2), || {
        !world.store.rows_with("\"leaving\":\"i-target-2\"").is_empty()
    });
    world.record.line(&format!("case: the departure stands in the store: {is_written}"));
    sleep_until(acknowledged + Duration::from_millis(1_000));
    if has_trouble {
        world.record.line("store: turns machine-2 away from now on");
        back.door.turn_away(true);
        back.machine.kill();
        std::thread::sleep(Duration::from_millis(300));
        back.machine.start(false);
    }
    sleep_until(acknowledged + Duration::from_millis(3_000));
    if has_trouble {
        back.door.turn_away(false);
        world.record.line("store: serves machine-2 again");
    }
    sleep_until(sent + Duration::from_millis(4_500));
    back.target.deliver(&late);
    // `stable_window_ms` after the store and the process were disturbed last, all machines are in
    // touch again.
    sleep_until(acknowledged + Duration::from_millis(6_800));
    if !back.machine.is_ready() {
        world.record.line("case: machine-2 is not ready");
        return Verdict::NotRun;
    }
    let seen = world.ask_on_until_end(&back.target, outbound, "/job/1", "job", 5000);
    let drained = acknowledged + Duration::from_millis(BOUNDS.drain_ms);
    let late_runs: Vec<_> = back
        .target
        .runs()
        .into_iter()
        .filter(|run| run.began > drained && run.id.starts_with("job-"))
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
