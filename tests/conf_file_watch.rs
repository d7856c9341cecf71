//! A settings file that changes while the process runs.

use std::fs;

use rstest::rstest;
use sassafrasgap::conf::FileWatch;

/// Every new text is told once; the text that is known already is not.
#[rstest]
fn each_text_is_told_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings");
    fs::write(&path, "one").unwrap();
    let mut watch = FileWatch::new(path.clone(), "one".to_owned());
    assert_eq!(watch.changed().unwrap(), None);
    fs::write(&path, "two").unwrap();
    assert_eq!(watch.changed().unwrap().as_deref(), Some("two"));
    assert_eq!(watch.changed().unwrap(), None);
}

/// The file is away for a while, as it may be while it is replaced. That is told once, and what
/// stands there afterwards is taken.
#[rstest]
fn a_missing_file_is_told_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings");
    let mut watch = FileWatch::new(path.clone(), "one".to_owned());
    assert!(watch.changed().is_err());
    assert_eq!(watch.changed().unwrap(), None);
    fs::write(&path, "one").unwrap();
    assert_eq!(watch.changed().unwrap(), None);
    fs::remove_file(&path).unwrap();
    assert!(watch.changed().is_err());
    fs::write(&path, "two").unwrap();
    assert_eq!(watch.changed().unwrap().as_deref(), Some("two"));
}
