//! Selection of an upstream or a chain of engines for a request, and records of the load
//! that it puts on them.

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

/// Utilization of the local engines' memory up to which late retries choose their chain as
/// the streams of a lost engine do. They were cut off together and return together; if they
/// chose by the duration of a whole answer, all would choose the same engines. Where memory
/// is scarce, a chain must be fast as a whole, as it occupies memory for that long.
const MAX_SIMULTANEOUS_FILL: f64 = 0.4;

/// Criteria for the choice of a chain.
#[derive(Clone, Copy)]
pub struct ChainCriteria {
    /// Capacity that the request needs; `None` to ignore capacity, as for a stream that
    /// continues.
    pub need: Option<Requirements>,
    /// Slack of the request against its target latency.
    pub slack: Slack,
    /// Tokens that are left to prefill and to generate; `None` for a request of typical
    /// size.
    pub size: Option<RequestSize>,
}

impl SharedState {
    /// Chooses an upstream of a service without chains.
    pub fn choose_upstream(
        &self,
        service: &str,
        tried: &[UpstreamId],
    ) -> Option<(UpstreamId, String)> {
        let registry = self.registry.borrow();
        let (wan_usage, fleet_load) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        let context = self.selection_context(&registry, &wan_usage, &fleet_load, service);
        let id = selection::select_upstream(&context, tried, &mut *self.rng())?;
        let addr = registry.get(&id)?.upstream.addr.clone();
        Some((id, addr))
    }

    /// Chooses a chain over a range of a model's layers. With [`Slack::Streaming`], and with
    /// [`Slack::Late`] while little of the local engines' memory is in use, it assumes that
    /// other requests choose their chains at the same moment.
    pub fn choose_chain(
        &self,
        service: &str,
        model: &Model,
        layers: LayerRange,
        avoid: &[UpstreamId],
        criteria: ChainCriteria,
    ) -> Option<Vec<Stage>> {
        let registry = self.registry.borrow();
        let (wan_usage, fleet_load) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        let context = self.selection_context(&registry, &wan_usage, &fleet_load, service);
        let simultaneous = match criteria.slack {
            Slack::Streaming => true,
            Slack::Late => selection::local_utilization(&context, model) < MAX_SIMULTANEOUS_FILL,
            Slack::OnTime => false,
        };
        let context = SelectionContext {
            simultaneous,
            size: criteria.size,
            ..context
        };
        selection::select_chain(
            &context,
            model,
            layers,
            avoid,
            criteria.need,
            &mut *self.rng(),
        )
    }

    /// Time until a request of a service can be sent, if only the backoff of upstreams
    /// prevents it.
    pub fn backoff_left(&self, service: &Service) -> Option<Duration> {
        let registry = self.registry.borrow();
        let (wan_usage, fleet_load) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        let context = self.selection_context(&registry, &wan_usage, &fleet_load, &service.name);
        let model = service.model.as_ref().filter(|m| m.layers > 0);
        selection::backoff_left(&context, model, &mut *self.rng())
    }

    /// Share of an engine's memory that requests hold, if known.
    pub fn memory_utilization(&self, id: &str) -> Option<f64> {
        let (registry, routing) = (self.registry.borrow(), self.routing());
        let entry = registry.get(id)?;
        let service = routing.services.get(&entry.upstream.service)?;
        let (wan_usage, fleet_load) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        let context = self.selection_context(&registry, &wan_usage, &fleet_load, &service.name);
        selection::memory_utilization(&context, service.model.as_ref()?, entry)
    }

    /// Number of a service's engines that are filled up to the limit at which they get no
    /// first sends, and number of engines that hold layers.
    pub fn count_full(&self, service: &Service) -> (usize, usize) {
        let fill_limit = self.with_queue(&service.name, |queue| queue.fill_limit());
        let (registry, wan_usage, fleet_load) = (
            self.registry.borrow(),
            self.wan_usage.borrow(),
            self.fleet_load.borrow(),
        );
        let context = self.selection_context(&registry, &wan_usage, &fleet_load, &service.name);
        let model = service.model.as_ref();
        model.map_or((0, 0), |m| selection::count_full(&context, m, fill_limit))
    }

    /// Pressure on the engines of a service: how close they are to their capacity.
    pub fn pressure(&self, service: &Service, model: &Model) -> Pressure {
        let (registry, wan_usage, fleet_load) = (
            self.registry.borrow(),
            self.wan_usage.borrow(),
            self.fleet_load.borrow(),
        );
        let context = self.selection_context(&registry, &wan_usage, &fleet_load, &service.name);
        Pressure::from_context(&context, model)
    }

    /// Demand of all boxes' callers for a service, and its completions per second. Boxes
    /// without a recent report are assumed to match those with one.
    pub fn fleet_demand(&self, service: &str) -> (Demands, f64) {
        let own_traffic = self.admissions.own_traffic(self.now());
        let fleet_load = self.fleet_load.borrow();
        let traffic = fleet_load.traffic(&own_traffic);
        let reporting = fleet_load.boxes() as f64 + 1.0;
        // More boxes are heard from than exist if some are also part of a hub's sum.
        let factor = fleet_load.present_boxes(f64::from(self.fleet_size())) / reporting;
        let key = demand::name_key(service);
        let mut demands = traffic.demands_of(key);
        for (_, demand) in &mut demands {
            *demand = demand.scaled(factor);
        }
        (demands, traffic.completion_rate(key) * factor)
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
        let (wan_usage, fleet_load) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        let context = self.selection_context(&registry, &wan_usage, &fleet_load, service);
        forecast::forecast(&context, model, stages, prompt)
    }

    /// Encodes a chain for the wire, and returns it with the first engine's address.
    pub fn encode_chain(&self, stages: &[Stage]) -> Option<(String, String)> {
        let registry = self.registry.borrow();
        let addr = |id: &str| registry.get(id).map(|e| e.upstream.addr.as_str());
        let encoded = platform::engine::format_chain(stages, addr)?;
        let first_addr = addr(&stages.first()?.upstream)?;
        Some((encoded, first_addr.into()))
    }

    /// Counts how often a chain changes data centre.
    pub fn count_crossings(&self, stages: &[Stage]) -> usize {
        let registry = self.registry.borrow();
        let data_centre = |s: &Stage| {
            registry
                .get(&s.upstream)
                .map(|e| e.upstream.data_centre.clone())
        };
        let pairs = stages.windows(2);
        pairs
            .filter(|pair| data_centre(&pair[0]) != data_centre(&pair[1]))
            .count()
    }

    /// Records the traffic between data centres for `tokens` tokens that a chain prefills.
    pub fn note_transfers(&self, model: &Model, stages: &[Stage], tokens: u32) {
        let (registry, now) = (self.registry.borrow(), self.now());
        let mut wan_usage = self.wan_usage.borrow_mut();
        let data_centre = |s: &Stage| {
            registry
                .get(&s.upstream)
                .map(|e| e.upstream.data_centre.clone())
        };
        for pair in stages.windows(2) {
            if let (Some(from), Some(to)) = (data_centre(&pair[0]), data_centre(&pair[1]))
                && from != to
            {
                wan_usage.record(now, &from, &to, f64::from(tokens) * model.activation_mb);
            }
        }
    }

    /// Records that engines are to prefill `tokens` tokens, each through its own stage.
    pub fn note_prefill<'a>(
        &self,
        model: &Model,
        service: &str,
        stages: impl Iterator<Item = &'a Stage>,
        tokens: u32,
    ) {
        let mut registry = self.registry.borrow_mut();
        let (wan_usage, fleet_load) = (self.wan_usage.borrow(), self.fleet_load.borrow());
        for stage in stages {
            let layers = stage.end - stage.first;
            let context = self.selection_context(&registry, &wan_usage, &fleet_load, service);
            let entry = registry.get(&stage.upstream);
            let seconds = entry.map(|e| cost::prefill_seconds(&context, model, e, layers, tokens));
            if let Some(seconds) = seconds {
                registry.note_prefill(self.now(), &stage.upstream, seconds);
            }
        }
    }

    /// Mean number of boxes in one data centre.
    fn mean_local_boxes(&self, registry: &UpstreamRegistry) -> f64 {
        let data_centres = registry.data_centres().max(1) as f64;
        (f64::from(self.fleet_size()) / data_centres).max(1.0)
    }

    fn selection_context<'a>(
        &'a self,
        registry: &'a UpstreamRegistry,
        wan_usage: &'a WanUsage,
        fleet_load: &'a FleetLoad,
        service: &'a str,
    ) -> SelectionContext<'a> {
        SelectionContext {
            registry,
            wan_usage,
            fleet_load,
            service,
            data_centre: &self.data_centre,
            local_interval: self.local_report_interval.get(),
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
