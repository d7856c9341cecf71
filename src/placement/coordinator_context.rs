//! What a coordinator reads but does not own.

use crate::core::Name;
use crate::core::View;
use crate::placement::PlacementConf;

/// The own failure domain, the view, the domains that cannot be reached, and the configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct CoordinatorContext<'a> {
    pub domain: &'a Name,
    pub view: &'a View,
    pub unreachable: &'a [Name],
    pub conf: PlacementConf,
}
