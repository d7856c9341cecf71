//! The files of the demo are built into the program, where nobody would see that they are wrong.

use std::fs;
use std::path::Path;

use sassafrasgap::backend::BackendSettings;
use sassafrasgap::conf::load_preset;
use sassafrasgap::load::Plan;

/// The program expects both to be right, and every child call to name a service of the demo.
#[test]
fn files_of_the_demo_are_right() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/demo");
    let plan = Plan::load(&folder.join("plan.yaml")).expect("a plan");
    let text = fs::read_to_string(folder.join("backends.yaml")).expect("a file");
    let backends: Vec<BackendSettings> = serde_yaml_ng::from_str(&text).expect("settings");
    load_preset(&folder.join("preset.yaml")).expect("a preset");
    let known = |service: &str| backends.iter().any(|backend| backend.service == service);
    for call in &plan.calls {
        let service = call.path.split('/').nth(1).expect("a service");
        assert!(known(service), "{service}");
    }
    let routes = backends.iter().flat_map(|backend| &backend.routes);
    for child in routes.flat_map(|route| &route.children) {
        assert!(known(&child.service), "{}", child.service);
    }
}
