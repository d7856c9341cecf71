//! Both example deployments are valid and have the sizes given in the brief.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use rstest::rstest;
use sassafrasgap::conf::DeploymentFiles;
use sassafrasgap::conf::load_deployment;
use sassafrasgap::conf::load_node_settings;
use sassafrasgap::conf::parse_deployment;
use sassafrasgap::conf::parse_node_settings;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

fn load(name: &str) -> DeploymentFiles {
    load_deployment(&example(name).join("deployment.yaml")).expect("the example is good")
}

#[rstest]
#[case::association("association", 3, 13, &[("workspace", 4, 100, 700), ("scheduler", 3, 140, 900),
    ("archive", 3, 140, 900), ("kernel-hub", 3, 15, 200)])]
#[case::cantinas("cantinas", 4, 16, &[("ementas", 4, 100, 700), ("compras", 4, 100, 700),
    ("inspecoes", 4, 100, 700), ("senhas", 4, 10, 170)])]
fn examples_have_the_sizes_of_the_brief(
    #[case] name: &str,
    #[case] domains: usize,
    #[case] nodes: usize,
    #[case] sizes: &[(&str, usize, u32, u32)],
) {
    let files = load(name);
    let deployment = &files.deployment;
    assert_eq!(deployment.domains.len(), domains);
    assert_eq!(deployment.placements().len(), nodes);
    assert_eq!(deployment.services.len(), sizes.len());
    for (service, targets, slots, connections) in sizes {
        let found = deployment
            .services
            .iter()
            .find(|size| &*size.name == *service);
        let found = found.expect("the service is described");
        let size = (found.targets, found.slots, found.connections);
        assert_eq!(size, (*targets, *slots, *connections), "{service}");
    }
    let presets: Vec<&str> = files
        .presets
        .iter()
        .map(|(preset, _)| &*preset.name)
        .collect();
    assert_eq!(presets, ["ordinary", "peak", "maintenance"]);
}

#[rstest]
#[case::job("association", "workspace", "POST", "/jobs/1", "jobs")]
#[case::charge("association", "scheduler", "POST", "/charges", "billing")]
#[case::order("cantinas", "compras", "POST", "/orders", "orders")]
#[case::voucher("cantinas", "senhas", "POST", "/redemptions/9", "vouchers")]
fn the_most_important_work_is_non_idempotent_in_every_preset(
    #[case] name: &str,
    #[case] service: &str,
    #[case] method: &str,
    #[case] path: &str,
    #[case] class: &str,
) {
    for (preset, _) in load(name).presets {
        let policy = preset.classify(service, method, path);
        assert_eq!(&*preset.classes[usize::from(policy.class)].name, class);
        assert!(policy.non_idempotent, "{}", preset.name);
        assert!(policy.class < 2, "{}", preset.name);
    }
}

#[rstest]
#[case("association/node-workspace-1.yaml")]
#[case("cantinas/node-compras-1.yaml")]
fn example_node_settings_are_valid(#[case] file: &str) {
    load_node_settings(&example(file)).expect("good settings");
}

#[test]
fn generated_settings_read_back_and_clash_with_nothing() {
    let platform = SocketAddr::from(([127, 0, 0, 1], 7900));
    let mut port = 20_000;
    let free_port = || {
        port += 1;
        port
    };
    let change = |settings: &mut sassafrasgap::conf::NodeSettings| settings.silence_ms = 300;
    let nodes = load("cantinas")
        .deployment
        .loopback_settings(platform, free_port, change);
    assert_eq!(nodes.len(), 16);
    assert_eq!(nodes[0].seeds.len(), 8);
    for settings in nodes {
        let back = parse_node_settings("n.yaml", &settings.to_yaml()).expect("reads back");
        assert_eq!(back, settings);
        assert_eq!(back.silence_ms, 300);
    }
}

#[rstest]
#[case::no_domains("domains: [a]", "domains: []", "domains")]
#[case::domain_twice("domains: [a]", "domains: [a, a]", "domains[1]")]
#[case::no_targets("targets: 2", "targets: 0", "services.web.targets")]
#[case::few_connections("connections: 20", "connections: 2", "services.web.connections")]
#[case::latency_unit("domain_latency_us: 7", "domain_latency_ms: 1", "domain_latency_ms")]
fn an_invalid_deployment_is_refused(#[case] from: &str, #[case] to: &str, #[case] field: &str) {
    let good = "deployment: d\nregion: r\ndomains: [a]\ndomain_latency_us: 7\nservices:\n  web: \
                {targets: 2, slots: 10, connections: 20}\npresets: [p.yaml]\nfirst_preset: p\n";
    parse_deployment("d.yaml", good).expect("good deployment");
    let error = parse_deployment("d.yaml", &good.replace(from, to)).unwrap_err();
    assert_eq!(error.problems.len(), 1, "{error}");
    assert_eq!(error.problems[0].field, field);
}

#[test]
fn a_deployment_is_checked_together_with_its_presets() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let copy = |from: &str, to: &str, change: fn(String) -> String| {
        let text = std::fs::read_to_string(example("cantinas").join(from)).expect("the example");
        std::fs::write(folder.path().join(to), change(text)).expect("a copy");
    };
    copy("deployment.yaml", "deployment.yaml", |text| {
        text.replace("  senhas:", "  vales:")
            .replace("presets/", "")
            .replace("first_preset: ordinary", "first_preset: night")
    });
    copy("presets/ordinary.yaml", "ordinary.yaml", |text| text);
    copy("presets/ordinary.yaml", "peak.yaml", |text| text);
    copy("presets/maintenance.yaml", "maintenance.yaml", |text| text);
    let errors = load_deployment(&folder.path().join("deployment.yaml")).unwrap_err();
    let text: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let text = text.join("\n");
    assert!(text.contains("services: is without senhas"), "{text}");
    assert!(text.contains("presets: is ordinary twice"), "{text}");
    assert!(text.contains("first_preset: is night"), "{text}");
}
