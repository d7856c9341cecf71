//! UNASKED: the address of a target goes to a target of another service, and requests of that machine
//! still name the service before.

use std::path::Path;
use std::time::Duration;

use crate::http::Seen;
use crate::node::Bounds;
use crate::target::Target;
use crate::world::HEARTBEAT;
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
/// `reuse_after_s` and a little more.
const REUSE_AFTER: Duration = Duration::from_millis(2_100);
const REQUESTS: usize = 20;

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let plans = [
        Plan { name: "machine-1", zone: "zone-a", service: "scheduler", slots: 162 },
        Plan { name: "machine-2", zone: "zone-b", service: "scheduler", slots: 162 },
        Plan { name: "machine-3", zone: "zone-a", service: "workspace", slots: 121 },
        Plan { name: "machine-4", zone: "zone-a", service: "archive", slots: 162 },
    ];
    let routes = [
        route("r-job", "/job/", "unsafe", "scheduler", 5_000, 1_200),
        route("r-look", "/look/", "safe", "workspace", 5_000, 1_200),
        route("r-pull", "/pull/", "unsafe", "archive", 5_000, 1_200),
    ];
    let state = desired(7, &routes, &["scheduler", "workspace", "archive"]);
    let Some(world) = World::start(folder, &BOUNDS, &plans, &state, false) else {
        return Verdict::NotRun;
    };
    let (front, archive) = (&world.spots[0], &world.spots[3]);
    let outbound = front.machine.outbound;
    if !["/job/1", "/look/1", "/pull/1"].iter().all(|path| world.wait_for(outbound, path)) {
        world.record.line("case: no request succeeds");
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_millis(BOUNDS.stable_window_ms));
    let mut own_service = "scheduler";
    let mut next = None;
    if has_trouble {
        front.target.end();
        front.target.leave_address();
        std::thread::sleep(REUSE_AFTER);
        own_service = "workspace";
        let target = Target::start_on(
            front.target.address,
            "target-9",
            own_service,
            "zone-a",
            121,
            false,
            world.record.clone(),
        );
        world.record.line("target-9: a target of workspace has the address of target-1");
        front.machine.change_service("scheduler", own_service);
        target.report_to(front.machine.control, HEARTBEAT);
        // It is in use: of some requests for its service at once, a part runs there.
        world.spots[2].target.set_work(Duration::from_millis(300));
        let is_used = wait_until(Duration::from_secs(10), || {
            let clients: Vec<_> = (0..100)
                .map(|number| {
                    let (record, id) = (world.record.clone(), format!("look-{number}"));
                    std::thread::spawn(move || request(&record, outbound, "GET", "/look/2", &id, 3_000, ""))
                })
                .collect();
            clients.into_iter().for_each(|client| drop(client.join()));
            !target.runs().is_empty()
        });
        if !is_used {
            world.record.line("case: target-9 gets no work");
            return Verdict::NotRun;
        }
        next = Some(target);
    }
    std::thread::sleep(Duration::from_millis(BOUNDS.config_ms + BOUNDS.stable_window_ms));
    for number in 0..REQUESTS {
        let seen = world.request(outbound, "POST", "/pull/1", &format!("pull-{number}"), 3_000, "");
        if seen != Seen::Answer(200, true) {
            world.record.line("case: a request failed");
            return Verdict::NotRun;
        }
    }
    let runs = archive.target.runs();
    let runs = runs.iter().filter(|run| run.id.starts_with("pull-"));
    let wrong = runs.filter(|run| run.caller_service != own_service).count();
    world.record.line(&format!(
        "case: {wrong} of {REQUESTS} requests ran with a Caller-Service that isn't {own_service}; UNASKED allows none"
    ));
    drop(next);
    if wrong == 0 { Verdict::Held } else { Verdict::Broken }
}
