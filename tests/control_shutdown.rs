//! Shutdown of a node's control thread.

use std::net::SocketAddr;
use std::panic;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sassafrasgap::conf::NodeSettings;
use sassafrasgap::core::Name;
use sassafrasgap::node::NodeInputs;
use sassafrasgap::node::NodeProcess;

// Guards against a panic in the log of a node that stops: a task on the control thread drops the
// last handle to that thread, and the thread joins itself.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_handle_may_be_dropped_on_the_control_thread() {
    let panics = Arc::new(AtomicUsize::new(0));
    let counted = panics.clone();
    panic::set_hook(Box::new(move |_| {
        counted.fetch_add(1, Ordering::SeqCst);
    }));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let name = |text: &str| Name::from(text);
    let settings = NodeSettings::with_defaults(
        name("n1"),
        name("r"),
        name("a"),
        [any_port; 5],
        SocketAddr::from(([127, 0, 0, 1], 9)),
    );
    let node = NodeProcess::start(settings, NodeInputs::empty()).await;
    let node = node.expect("it starts");
    let view = Arc::downgrade(&node.control.view);
    drop(node);
    for _ in 0..200 {
        if view.strong_count() == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(panics.load(Ordering::SeqCst), 0);
}
