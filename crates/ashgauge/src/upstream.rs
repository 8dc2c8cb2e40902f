//! Upstreams, as they announce themselves in the store.
//!
//! Any client of the store may have written an entry, so each one is checked before it is used:
//! [`Upstream::check`].

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use crate::chain::Layer;
use crate::member::UpstreamId;
use crate::routing::ServiceId;

/// Maximum length of a name in an entry, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Maximum number of models in an entry.
const MAX_MODELS: usize = 64;

/// Maximum number of requests that an upstream may announce to process concurrently.
const MAX_SLOTS: u32 = 1_000_000;

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

/// Why an entry names no upstream that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryFault {
    /// The id is empty, too long, or cannot be sent in a header.
    Id,
    /// The address is not one that a process can listen on.
    Addr,
    /// A name is too long, or there are too many models.
    TooLong,
    /// The number of concurrent requests is absurd.
    Slots,
    /// The layers are past the model's last one.
    Layers,
}

impl Upstream {
    /// Checks what does not depend on the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first fault of the entry.
    ///
    /// # Example
    ///
    /// ```
    /// use ashgauge::upstream::{EntryFault, Upstream};
    ///
    /// let mut upstream = Upstream {
    ///     id: "e1".into(),
    ///     started_ms: None,
    ///     service: "chat".into(),
    ///     addr: "10.0.0.1:80".into(),
    ///     data_centre: "a".into(),
    ///     slots: 8,
    ///     leaving: false,
    ///     accelerator: None,
    ///     layers: None,
    ///     models: Vec::new(),
    /// };
    /// assert_eq!(upstream.check(), Ok(()));
    /// upstream.addr = "10.0.0.1:0".into();
    /// assert_eq!(upstream.check(), Err(EntryFault::Addr));
    /// ```
    pub fn check(&self) -> Result<(), EntryFault> {
        if !is_valid_id(&self.id) {
            return Err(EntryFault::Id);
        }
        if !is_valid_addr(&self.addr) {
            return Err(EntryFault::Addr);
        }
        let accelerator = self.accelerator.as_deref().unwrap_or_default();
        let names = [&*self.service, &*self.data_centre, accelerator];
        let mut names = names
            .into_iter()
            .chain(self.models.iter().map(String::as_str));
        if self.models.len() > MAX_MODELS || names.any(|name| name.len() > MAX_NAME_BYTES) {
            return Err(EntryFault::TooLong);
        }
        match self.slots <= MAX_SLOTS {
            true => Ok(()),
            false => Err(EntryFault::Slots),
        }
    }

    /// Checks the entry beside the number of layers of its service's model; `None` or 0 if its
    /// service has no model that is spread over engines.
    ///
    /// # Errors
    ///
    /// Returns the first fault of the entry.
    pub fn check_layers(&self, model_layers: Option<Layer>) -> Result<(), EntryFault> {
        self.check()?;
        let model_layers = model_layers.filter(|layers| *layers > 0);
        match self.layers.zip(model_layers) {
            Some((held, layers)) if !held.is_within(layers) => Err(EntryFault::Layers),
            _ => Ok(()),
        }
    }

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

    /// Returns whether the range is one of a model with this many layers.
    pub fn is_within(&self, layers: Layer) -> bool {
        self.first < self.end && self.end <= layers
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

impl fmt::Display for EntryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EntryFault::Id => {
                "the id is empty, too long, or has characters other than visible ASCII"
            }
            EntryFault::Addr => "no process can listen on the address",
            EntryFault::TooLong => "a name is too long, or there are too many models",
            EntryFault::Slots => "the number of slots is absurd",
            EntryFault::Layers => "the layers are past the end of the model",
        })
    }
}

/// Returns whether an id can be sent in a header.
fn is_valid_id(id: &str) -> bool {
    let is_visible = id.bytes().all(|b| b.is_ascii_graphic());
    !id.is_empty() && id.len() <= MAX_NAME_BYTES && is_visible
}

/// Returns whether a process can listen on an address, and be connected to.
fn is_valid_addr(addr: &str) -> bool {
    let Ok(addr) = addr.parse::<SocketAddr>() else {
        return false;
    };
    let is_broadcast = matches!(addr.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    addr.port() > 0 && !addr.ip().is_unspecified() && !addr.ip().is_multicast() && !is_broadcast
}
