//! What a box chooses for a request: an upstream, or a chain of engines; and what it
//! notes of what it chose.

use std::time::Duration;

use ashgauge::chain::Stage;
use ashgauge::context::SelectionContext;
use ashgauge::cost;
use ashgauge::demand::{self, Demands};
use ashgauge::forecast::{self, Forecast};
use ashgauge::load_report::FleetLoad;
use ashgauge::member::UpstreamId;
use ashgauge::pressure::Pressure;
use ashgauge::registry::UpstreamRegistry;
use ashgauge::request_size::RequestSize;
use ashgauge::routing::{Model, Service};
use ashgauge::selection::{self, Requirements};
use ashgauge::slack::Slack;
use ashgauge::upstream::LayerRange;
use ashgauge::wan::WanUsage;

use super::shared_state::SharedState;

/// Share of the memory near up to which those who come back late choose as streams
/// of a lost engine do: they come back together, as they were cut together, and by
/// the time of a whole answer all would go to the same engines. Where memory is
/// scarce a chain must be quick as a whole, as it holds memory for as long.
const MAX_SIMULTANEOUS_FILL: f64 = 0.4;

/// What a chain is chosen for.
#[derive(Clone, Copy)]
pub struct ChainCriteria {
    /// Room that it needs; none for a stream that goes on, which is not held up.
    pub need: Option<Requirements>,
    /// How the request stands against its aim.
    pub slack: Slack,
    /// What it has to read and to write; `None` stands for a usual request.
    pub size: Option<RequestSize>,
}

impl SharedState {
    /// Chooses an upstream of a plain service.
    pub fn choose_upstream(
        &self,
        service: &str,
        tried: &[UpstreamId],
    ) -> Option<(UpstreamId, String)> {
        let registry = self.registry.borrow();
        let (pipes, shares) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        let context = self.selection_context(&registry, &pipes, &shares, service);
        let id = selection::select_upstream(&context, tried, &mut *self.rng())?;
        let addr = registry.get(&id)?.upstream.addr.clone();
        Some((id, addr))
    }

    /// Chooses a chain over a range of a model's layers; without a `need` for a
    /// stream that goes on elsewhere, as others do at the same moment.
    pub fn choose_chain(
        &self,
        service: &str,
        model: &Model,
        span: LayerRange,
        avoid: &[UpstreamId],
        wish: ChainCriteria,
    ) -> Option<Vec<Stage>> {
        let registry = self.registry.borrow();
        let (pipes, shares) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        let context = self.selection_context(&registry, &pipes, &shares, service);
        let together = match wish.slack {
            Slack::Streaming => true,
            Slack::Late => selection::local_utilization(&context, model) < MAX_SIMULTANEOUS_FILL,
            Slack::OnTime => false,
        };
        let context = SelectionContext {
            simultaneous: together,
            size: wish.size,
            ..context
        };
        selection::select_chain(&context, model, span, avoid, wish.need, &mut *self.rng())
    }

    /// How long until a request of a service can go somewhere, if upstreams that want
    /// rest are what it lacks.
    pub fn backoff_left(&self, service: &Service) -> Option<Duration> {
        let registry = self.registry.borrow();
        let (pipes, shares) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        let context = self.selection_context(&registry, &pipes, &shares, &service.name);
        let model = service.model.as_ref().filter(|m| m.layers > 0);
        selection::backoff_left(&context, model, &mut *self.rng())
    }

    /// Share of an engine's memory that requests hold, as far as is known.
    pub fn fullness(&self, id: &str) -> Option<f64> {
        let (registry, routing) = (self.registry.borrow(), self.routing());
        let entry = registry.get(id)?;
        let service = routing.services.get(&entry.upstream.service)?;
        let (pipes, shares) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        let context = self.selection_context(&registry, &pipes, &shares, &service.name);
        selection::memory_utilization(&context, service.model.as_ref()?, entry)
    }

    /// How many of a service's engines are filled up to the share at which they
    /// get no first sends, and how many hold layers.
    pub fn count_full(&self, service: &Service) -> (usize, usize) {
        let limit = self.with_queue(&service.name, |l| l.fill_limit());
        let (registry, pipes, shares) = (
            self.registry.borrow(),
            self.wan_usage.borrow(),
            self.fleet_load.borrow(),
        );
        let context = self.selection_context(&registry, &pipes, &shares, &service.name);
        let model = service.model.as_ref();
        model.map_or((0, 0), |m| selection::count_full(&context, m, limit))
    }

    /// How near the engines of a service are to what they can do.
    pub fn pressure(&self, service: &Service, model: &Model) -> Pressure {
        let (registry, pipes, shares) = (
            self.registry.borrow(),
            self.wan_usage.borrow(),
            self.fleet_load.borrow(),
        );
        let context = self.selection_context(&registry, &pipes, &shares, &service.name);
        Pressure::from_context(&context, model)
    }

    /// What the callers of all boxes ask of a service, and requests of it that end each
    /// second; boxes that were not heard lately are taken to do as those that were.
    pub fn fleet_demand(&self, service: &str) -> (Demands, f64) {
        let own = self.admissions.own_traffic(self.now());
        let shares = self.fleet_load.borrow();
        let flows = shares.traffic(&own);
        let heard = shares.boxes() as f64 + 1.0;
        // More are heard than there are where some are in a hub's sum as well.
        let factor = shares.present_boxes(f64::from(self.fleet_size())) / heard;
        let key = demand::key(service);
        let mut demands = flows.demands_of(key);
        for (_, demand) in &mut demands {
            *demand = demand.scaled(factor);
        }
        (demands, flows.completion_rate(key) * factor)
    }

    /// Forecasts the events of a request of `prompt` tokens over a chain.
    pub fn forecast(
        &self,
        service: &str,
        model: &Model,
        stages: &[Stage],
        prompt: u32,
    ) -> Forecast {
        let registry = self.registry.borrow();
        let (pipes, shares) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        let context = self.selection_context(&registry, &pipes, &shares, service);
        forecast::forecast(&context, model, stages, prompt)
    }

    /// Writes a chain for the wire, with the first engine's address.
    pub fn encode_chain(&self, stages: &[Stage]) -> Option<(String, String)> {
        let registry = self.registry.borrow();
        let addr = |id: &str| registry.get(id).map(|e| e.upstream.addr.as_str());
        let text = platform::engine::format_chain(stages, addr)?;
        let first = addr(&stages.first()?.upstream)?;
        Some((text, first.into()))
    }

    /// How often a chain changes data centre.
    pub fn count_crossings(&self, stages: &[Stage]) -> usize {
        let registry = self.registry.borrow();
        let place = |s: &Stage| {
            registry
                .get(&s.upstream)
                .map(|e| e.upstream.data_centre.clone())
        };
        let pairs = stages.windows(2);
        pairs.filter(|p| place(&p[0]) != place(&p[1])).count()
    }

    /// Notes what goes between data centres for `tokens` tokens that a chain
    /// reads.
    pub fn note_transfers(&self, model: &Model, stages: &[Stage], tokens: u32) {
        let (registry, now) = (self.registry.borrow(), self.now());
        let mut pipes = self.wan_usage.borrow_mut();
        let place = |s: &Stage| {
            registry
                .get(&s.upstream)
                .map(|e| e.upstream.data_centre.clone())
        };
        for pair in stages.windows(2) {
            if let (Some(from), Some(to)) = (place(&pair[0]), place(&pair[1]))
                && from != to
            {
                pipes.record(now, &from, &to, f64::from(tokens) * model.activation_mb);
            }
        }
    }

    /// Notes that engines are to read `tokens` tokens, each through its stage.
    pub fn note_prefill<'a>(
        &self,
        model: &Model,
        service: &str,
        stages: impl Iterator<Item = &'a Stage>,
        tokens: u32,
    ) {
        let mut registry = self.registry.borrow_mut();
        let (pipes, shares) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        for stage in stages {
            let layers = stage.end - stage.first;
            let context = self.selection_context(&registry, &pipes, &shares, service);
            let entry = registry.get(&stage.upstream);
            let seconds = entry.map(|e| cost::prefill_seconds(&context, model, e, layers, tokens));
            if let Some(seconds) = seconds {
                registry.note_prefill(self.now(), &stage.upstream, seconds);
            }
        }
    }

    /// Boxes of one data centre, on average.
    fn mean_local_boxes(&self, registry: &UpstreamRegistry) -> f64 {
        let places = registry.data_centres().max(1) as f64;
        (f64::from(self.fleet_size()) / places).max(1.0)
    }

    fn selection_context<'a>(
        &'a self,
        registry: &'a UpstreamRegistry,
        pipes: &'a WanUsage,
        shares: &'a FleetLoad,
        service: &'a str,
    ) -> SelectionContext<'a> {
        SelectionContext {
            registry,
            wan_usage: pipes,
            fleet_load: shares,
            service,
            data_centre: &self.data_centre,
            remote_interval: self.report_interval.get(),
            boxes: f64::from(self.fleet_size()),
            local_boxes: self.mean_local_boxes(registry),
            request_duration: self.mean_duration(service),
            simultaneous: false,
            size: None,
            now: self.now(),
        }
    }
}
