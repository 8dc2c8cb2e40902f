//! Upstreams, as they announce themselves.

use std::sync::Arc;

use crate::chain::Layer;
use crate::member::UpstreamId;
use crate::routing::ServiceId;

/// An upstream as it announces itself.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// When it started, in Unix milliseconds, if it says so; it may start again under
    /// the id that it had.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address.
    pub addr: String,
    /// Data centre.
    #[serde(rename = "place")]
    pub data_centre: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving and takes nothing new.
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
    /// What holds of an upstream that announced `before`, and now this by an entry that may
    /// be older. Within one start none stops to leave, or gives up all of its layers.
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
    /// Number of layers.
    pub fn len(&self) -> Layer {
        self.end.saturating_sub(self.first)
    }

    /// Whether it holds no layer.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether it holds a layer.
    pub fn contains(&self, layer: Layer) -> bool {
        (self.first..self.end).contains(&layer)
    }

    /// Whether the ranges share a layer.
    pub fn overlaps(&self, other: &LayerRange) -> bool {
        self.first < other.end && other.first < self.end
    }
}
