//! Source of the configuration in force.

use ashgauge::member::BoxId;

/// Where a box got the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigSource {
    /// The store.
    Store,
    /// Another box.
    Box(BoxId),
}

impl ConfigSource {
    /// Returns the name that operators see: that of the box, or `store`.
    pub fn name(&self) -> &str {
        match self {
            ConfigSource::Store => "store",
            ConfigSource::Box(id) => id,
        }
    }
}
