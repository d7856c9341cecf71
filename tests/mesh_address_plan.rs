//! The addresses of a mesh while other meshes of the same process start.

use std::net::TcpListener;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use sassafrasgap::mesh::AddressPlan;

const STARTING_THREADS: usize = 4;
const ROUNDS: usize = 20_000;

/// Starts processes, one after the other, until `is_done`.
fn start_processes(is_done: &AtomicBool) {
    while !is_done.load(Ordering::Relaxed) {
        let status = Command::new(env!("CARGO_BIN_EXE_sassafrasgap-platform"))
            .arg("--help")
            .stdout(Stdio::null())
            .status();
        assert!(status.expect("the program starts").success());
    }
}

/// Guards against a platform that cannot bind its address, because a process that another thread is
/// starting holds a copy of the socket with which the address was found to be free.
#[test]
fn a_found_address_is_free_while_other_processes_start() {
    let is_done = AtomicBool::new(false);
    let failed = thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(|| start_processes(&is_done));
        }
        let is_taken = |_: &usize| {
            let addresses = AddressPlan::find().expect("a block is free");
            TcpListener::bind(addresses.platform()).is_err()
        };
        let failed = (0..ROUNDS).filter(is_taken).count();
        is_done.store(true, Ordering::Relaxed);
        failed
    });
    assert_eq!(failed, 0, "addresses in use, of {ROUNDS}");
}
