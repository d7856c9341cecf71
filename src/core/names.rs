//! Names of services, nodes, failure domains and classes.

use std::sync::Arc;

/// A shared immutable string that is cheap to clone and to pass between threads.
pub type Name = Arc<str>;
