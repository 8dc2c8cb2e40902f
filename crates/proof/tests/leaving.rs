//! An upstream that is leaving gets no new work, and a planned stop of a box
//! interrupts no request. Tests check the upstreams' records and the texts that
//! the callers received.

use ashgauge::member::MemberState;
use eyre::Result;
use proof::{BoxPlan, EnginePlan, Fleet, Plan, Reply, outcome, runs, text_of, wait_until};
use standin::engine::Record;
use standin::link::Mode;
use standin::model::reference;
use standin::{engine, platform};

async fn stream_from(fleet: &Fleet, node: usize, prompt: &str, tokens: u32) -> Result<Reply> {
    fleet.boxes[node].stream(prompt, tokens, &[]).await
}

/// Waits until the box knows that the upstream is leaving.
async fn wait_known_leaving(fleet: &Fleet, node: usize, id: &str) -> Result<()> {
    wait_until("a box that knows of the leaving upstream", || async {
        let status = fleet.boxes[node].operator_client().status().await.ok()?;
        let found = status.upstreams.iter().find(|u| &*u.id == id)?;
        (found.state == MemberState::Leaving).then_some(())
    })
    .await
}

/// Counts the requests that an engine ran or refused, from its records.
fn run_and_refusal_count(fleet: &Fleet, n: usize) -> Result<usize> {
    let records = fleet.engines[n].records()?;
    let refused = records
        .iter()
        .filter(|r| matches!(r, Record::Refused { .. }));
    Ok(runs(&records).len() + refused.count())
}

fn mark_leaving(fleet: &mut Fleet, id: &str) {
    let found = fleet.listing.upstreams.iter_mut().find(|u| &*u.id == id);
    found.expect("it is listed").state = MemberState::Leaving;
}

fn assert_complete(reply: &Reply, layers: u32, prompt: &str, tokens: u32) {
    let expected = reference(layers, prompt, tokens);
    assert_eq!((text_of(reply), outcome(reply)), (expected, "done".into()));
}

/// Waits until the only running request has more than 3 tokens, and returns the
/// index of the first engine that holds it.
async fn first_engine(fleet: &Fleet, node: usize) -> Result<usize> {
    wait_until("a busy engine", || async {
        let status = fleet.boxes[node].operator_client().status().await.ok()?;
        let busy = status
            .upstreams
            .iter()
            .find(|u| u.held > 0 && status.stats.tokens > 3)?;
        fleet.engines.iter().position(|e| e.id == *busy.id)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_engine_gets_no_new_work_and_ends_what_it_has() -> Result<()> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    // The member list lags by an hour, so boxes learn of the leaving engine only
    // from its refusals and from each other.
    let lag = platform::Mode {
        lag_ms: 3_600_000,
        ..platform::Mode::default()
    };
    fleet.set_platform(lag).await?;
    let caller = fleet.boxes[0].caller.clone();
    let body = r#"{"model":"chat","prompt":"long","max_tokens":600}"#;
    let running = tokio::spawn(async move { proof::post(&caller, "/v1/completions", body).await });
    let leaver = first_engine(&fleet, 0).await?;
    let id = fleet.engines[leaver].id.clone();
    let mode = engine::Mode {
        leaving: true,
        ..engine::Mode::default()
    };
    fleet.engines[leaver].set(&mode).await?;
    mark_leaving(&mut fleet, &id);
    fleet.publish().await?;
    // New requests are refused by the engine and complete on others.
    for n in 0..4 {
        let reply = stream_from(&fleet, n % 2, "new", 5).await?;
        assert_complete(&reply, fleet.layers, "new", 5);
    }
    wait_known_leaving(&fleet, 0, &id).await?;
    wait_known_leaving(&fleet, 1, &id).await?;
    // Any request sent to the engine shows in its records as a run or a refusal.
    let before = run_and_refusal_count(&fleet, leaver)?;
    for n in 0..6 {
        let reply = stream_from(&fleet, n % 2, "later", 5).await?;
        assert_complete(&reply, fleet.layers, "later", 5);
    }
    assert_eq!(run_and_refusal_count(&fleet, leaver)?, before);
    let reply = running.await??;
    assert_complete(&reply, fleet.layers, "long", 600);
    Ok(())
}

/// A box that is cut off from the platform learns from another box that an
/// upstream is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_reaches_a_box_without_the_platform() -> Result<()> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    fleet.boxes[1]
        .platform
        .set(Mode {
            cut: true,
            ..Mode::default()
        })
        .await?;
    let id = fleet.engines[0].id.clone();
    let mode = engine::Mode {
        leaving: true,
        ..engine::Mode::default()
    };
    fleet.engines[0].set(&mode).await?;
    fleet.engines[2].process.signal("STOP")?;
    // The other engine of these layers is frozen, so box 0 has to try this one.
    let refused = stream_from(&fleet, 0, "x", 2);
    let (_, known) = tokio::join!(
        tokio::time::timeout(std::time::Duration::from_secs(5), refused),
        wait_known_leaving(&fleet, 1, &id)
    );
    known?;
    mark_leaving(&mut fleet, &id);
    fleet.engines[2].process.signal("CONT")
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_service_gets_no_new_work() -> Result<()> {
    let mut fleet = Fleet::start(Plan {
        services: 2,
        ..Plan::default()
    })
    .await?;
    // The service itself still accepts calls; only the member list marks it as
    // leaving.
    let id = fleet.services[0].id.clone();
    mark_leaving(&mut fleet, &id);
    fleet.publish().await?;
    wait_known_leaving(&fleet, 0, &id).await?;
    for n in 0..6 {
        let reply = fleet.boxes[0]
            .post("/notes/send", &format!("note {n}"), &[])
            .await?;
        assert_eq!(reply.outcome, "done", "{}", reply.body);
    }
    assert_eq!(fleet.services[0].bodies()?.len(), 0);
    assert_eq!(fleet.services[1].bodies()?.len(), 6);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_completes_running_requests_and_refuses_new_ones() -> Result<()> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    let mut running = Vec::new();
    for n in 0..12 {
        let caller = fleet.boxes[0].caller.clone();
        let body = format!(
            r#"{{"model":"chat","prompt":"running {n}","max_tokens":60,"stream":{}}}"#,
            n % 2 == 0
        );
        running.push(tokio::spawn(async move {
            proof::post(&caller, "/v1/completions", &body).await
        }));
    }
    let operator_client = fleet.boxes[0].operator_client();
    wait_until("all requests in flight", || async {
        let status = operator_client.status().await.ok()?;
        (status.stats.arrived == 12).then_some(())
    })
    .await?;
    fleet.boxes[0].process.signal("TERM")?;
    wait_until("a box that drains", || async {
        operator_client.status().await.ok()?.draining.then_some(())
    })
    .await?;
    let refused = stream_from(&fleet, 0, "new", 2).await?;
    assert_eq!(
        (refused.status.as_u16(), refused.outcome.as_str()),
        (503, "not_run")
    );
    assert!(refused.retry_after.is_some());
    for (n, task) in running.into_iter().enumerate() {
        assert_complete(&task.await??, fleet.layers, &format!("running {n}"), 60);
    }
    assert_eq!(fleet.boxes[0].process.ended().await?, 0);
    assert_complete(
        &stream_from(&fleet, 1, "other", 5).await?,
        fleet.layers,
        "other",
        5,
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn members_join_while_work_is_in_flight() -> Result<()> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    let caller = fleet.boxes[0].caller.clone();
    let body = r#"{"model":"chat","prompt":"long","max_tokens":300}"#;
    let running = tokio::spawn(async move { proof::post(&caller, "/v1/completions", body).await });
    first_engine(&fleet, 0).await?;
    let newcomer = fleet.add_engine(&EnginePlan::new(0, 8))?;
    let node = fleet.add_box(&BoxPlan::default())?;
    fleet.publish().await?;
    fleet.boxes[node].wait_ready().await?;
    assert_complete(
        &stream_from(&fleet, node, "first", 5).await?,
        fleet.layers,
        "first",
        5,
    );
    wait_until("work on the new engine", || async {
        stream_from(&fleet, node, "more", 3).await.ok()?;
        (!fleet.engines[newcomer].records().ok()?.is_empty()).then_some(())
    })
    .await?;
    assert_complete(&running.await??, fleet.layers, "long", 300);
    Ok(())
}
