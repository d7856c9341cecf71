//! DENIED: a client with a key uses a route that targets of another service call as well.

use std::path::Path;
use std::time::Duration;

use crate::http::Seen;
use crate::node::Bounds;
use crate::target::Calls;
use crate::world::HOST;
use crate::world::Plan;
use crate::world::Verdict;
use crate::world::World;
use crate::world::desired;
use crate::world::route;
use crate::world::wait_until;

const BOUNDS: Bounds = Bounds {
    drain_ms: 2_500,
    config_ms: 2_500,
    stable_window_ms: 3_000,
    grace_s: 6,
    ack_ms: 5_000,
    budget_slack: 110,
    memory_mb: 160,
    has_tenants: true,
};
const KEY: &str = "X-Api-Key: rcpihhacruddedev3nax\r\n";
const TENANTS: &str = "\"tenants\":{\"pulo780\":{\"api_keys\":[\"rcpihhacruddedev3nax\"],\
                       \"priority\":1,\"rate_per_s\":725,\"burst\":725}},\"limits\"";
const ORDERS: usize = 40;

pub fn play(folder: &Path, has_trouble: bool) -> Verdict {
    let plans = [
        Plan { name: "machine-1", zone: "zone-a", service: "deferment", slots: 115 },
        Plan { name: "machine-2", zone: "zone-b", service: "portal", slots: 68 },
    ];
    let routes = [
        route("r-approve", "/approve/", "unsafe", "deferment", 5_000, 1_500),
        route("r-balance", "/balance/", "safe", "portal", 5_000, 1_500),
    ];
    let state = desired(7, &routes, &["deferment", "portal"]).replace("\"limits\"", TENANTS);
    let Some(world) = World::start(folder, &BOUNDS, &plans, &state, true) else {
        return Verdict::NotRun;
    };
    let front = &world.spots[0];
    let outbound = front.machine.outbound;
    front.target.set_calls(Calls {
        outbound,
        host: HOST.to_owned(),
        path: "/balance/1".to_owned(),
        count: 1,
    });
    let approve = |id: &str| world.request(outbound, "POST", "/approve/1", id, 3_000, KEY);
    if !wait_until(Duration::from_secs(20), || approve("warm") == Seen::Answer(200, true)) {
        world.record.line("case: no order succeeds");
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_millis(BOUNDS.stable_window_ms));
    let mut clients = 0;
    if has_trouble {
        // One request of a client, with a key that its tenant holds.
        let seen = world.request(outbound, "GET", "/balance/2", "balance", 3_000, KEY);
        clients += 1;
        if seen != Seen::Answer(200, true) {
            return Verdict::NotRun;
        }
    }
    let calls_before = front.target.seen_by_calls().len();
    let mut failed = 0;
    for number in 0..ORDERS {
        let seen = approve(&format!("approve-{number}"));
        failed += usize::from(seen == Seen::Answer(500, true));
        std::thread::sleep(Duration::from_millis(50));
    }
    clients += ORDERS;
    let calls = front.target.seen_by_calls().split_off(calls_before);
    let is_denied = |seen: &Seen| matches!(seen, Seen::Answer(300..=407 | 409..=420 | 422..=428, false));
    let denied = calls.iter().filter(|(_, seen, _)| is_denied(seen)).count();
    let all = clients + calls.len();
    let most = 5 + all / 500;
    world.record.line(&format!("case: {failed} of {ORDERS} orders failed at their target, as a call was refused"));
    world.record.line(&format!("case: {denied} of {all} proper requests denied; DENIED allows {most}"));
    if denied > most { Verdict::Broken } else { Verdict::Held }
}
