//! A settings file that changes while the process runs.

use std::fs;

use rstest::rstest;
use sassafrasgap::conf::FileWatch;

/// Each changed text is returned once. The text that was already read is not returned.
#[rstest]
fn each_text_is_returned_once() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings");
    fs::write(&path, "one").unwrap();
    let mut watch = FileWatch::new(path.clone(), "one".to_owned());
    assert_eq!(watch.changed().unwrap(), None);
    fs::write(&path, "two").unwrap();
    assert_eq!(watch.changed().unwrap().as_deref(), Some("two"));
    assert_eq!(watch.changed().unwrap(), None);
}

/// The file is missing for a while, as it may be while it is replaced. The error is returned once,
/// and the new text is returned afterwards.
#[rstest]
fn a_missing_file_is_reported_once() {
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
