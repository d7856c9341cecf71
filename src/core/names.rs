//! Names of services, nodes, failure domains and classes.

use std::sync::Arc;

/// A shared immutable string, cheap to clone and to hand between threads.
pub type Name = Arc<str>;
