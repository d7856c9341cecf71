//! A validated preset, and how it classifies calls.

use std::sync::Arc;

use crate::core::Name;
use crate::preset::CallPolicy;

/// The limits for one class of calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassPolicy {
    pub name: Name,
    pub wait_ms: u32,
    pub deadline_ms: u32,
}

/// Assigns matching calls to a class. The first matching rule applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// `*` matches every service.
    pub service: Name,
    /// `*` matches every method.
    pub method: Name,
    /// Matches every path that begins with this prefix.
    pub path_prefix: Name,
    /// Index into [`Preset::classes`].
    pub class: u8,
    pub non_idempotent: bool,
}

/// A validated preset document. Operators switch between several of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preset {
    pub name: Name,
    /// Most important first.
    pub classes: Vec<ClassPolicy>,
    pub rules: Vec<Rule>,
    /// The class of calls that no rule matches.
    pub default_class: u8,
    /// How many retries one root request and all calls below it may make together.
    pub retry_allotment: u16,
    /// For how long callers may resend a key after they first sent it, in milliseconds.
    pub resend_window_ms: u64,
}

impl Preset {
    /// Classifies a call. Methods that HTTP does not define as idempotent are non-idempotent
    /// unless a rule says otherwise, because running one twice does more harm than refusing it.
    pub fn classify(&self, service: &str, method: &str, path: &str) -> CallPolicy {
        let matches = |rule: &&Rule| {
            (&*rule.service == "*" || &*rule.service == service)
                && (&*rule.method == "*" || &*rule.method == method)
                && path.starts_with(&*rule.path_prefix)
        };
        let rule = self.rules.iter().find(matches);
        let class = rule.map_or(self.default_class, |rule| rule.class);
        let non_idempotent = rule.map_or(
            !matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS"),
            |rule| rule.non_idempotent,
        );
        let policy = &self.classes[usize::from(class)];
        CallPolicy {
            class,
            non_idempotent,
            wait_ms: policy.wait_ms,
            deadline_ms: policy.deadline_ms,
        }
    }
}

/// The preset in force and the version under which it came into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// Increases with every switch and never decreases.
    pub version: u64,
    pub preset: Arc<Preset>,
}
