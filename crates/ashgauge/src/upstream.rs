//! Upstreams, as they announce themselves in the store.

use std::sync::Arc;

use crate::chain::Layer;
use crate::member::UpstreamId;
use crate::routing::ServiceId;

/// An upstream as it announces itself.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// Start time in Unix milliseconds, if it is announced. An upstream may restart under
    /// the same id.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address.
    pub addr: String,
    /// Data centre.
    #[serde(rename = "place")]
    pub data_centre: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Kind of accelerator, if it is a model engine.
    #[serde(rename = "card")]
    pub accelerator: Option<String>,
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
    /// Models that it holds.
    pub models: Vec<String>,
}

/// A range of layers, `first..end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct LayerRange {
    /// First layer.
    pub first: Layer,
    /// Layer after the last.
    pub end: Layer,
}

impl Upstream {
    /// Merges this entry, which may be older, with the one announced `before`. An instance
    /// never stops leaving once it has begun, and never goes back to holding no layers.
    pub fn merge_previous(self, before: &Upstream) -> Self {
        if self.started_ms != before.started_ms {
            return self;
        }
        Upstream {
            leaving: self.leaving || before.leaving,
            layers: self.layers.or(before.layers),
            ..self
        }
    }
}

impl LayerRange {
    /// Returns the number of layers.
    pub fn len(&self) -> Layer {
        self.end.saturating_sub(self.first)
    }

    /// Returns whether the range is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the range contains a layer.
    pub fn contains(&self, layer: Layer) -> bool {
        (self.first..self.end).contains(&layer)
    }

    /// Returns whether the two ranges have a layer in common.
    pub fn overlaps(&self, other: &LayerRange) -> bool {
        self.first < other.end && other.first < self.end
    }
}
