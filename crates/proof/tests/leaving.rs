//! An upstream that leaves gets no new work, and a planned stop cuts off no
//! request. The verdict is the upstreams' own records and the callers' texts.

use ashgauge::member::MemberState;
use eyre::Result;
use proof::{BoxPlan, EnginePlan, Fleet, Plan, Reply, outcome, runs, text_of, wait_until};
use standin::engine::Record;
use standin::link::Mode;
use standin::model::reference;
use standin::{engine, platform};

async fn stream(fleet: &Fleet, node: usize, prompt: &str, tokens: u32) -> Result<Reply> {
    fleet.boxes[node].stream(prompt, tokens, &[]).await
}

/// Waits until the box knows that the upstream leaves.
async fn wait_leaving(fleet: &Fleet, node: usize, id: &str) -> Result<()> {
    wait_until("a box that knows of the leaving upstream", || async {
        let status = fleet.boxes[node].desk().status().await.ok()?;
        let found = status.upstreams.iter().find(|u| &*u.id == id)?;
        (found.state == MemberState::Leaving).then_some(())
    })
    .await
}

/// Requests and refusals in an engine's records.
fn asked(fleet: &Fleet, n: usize) -> Result<usize> {
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

fn assert_whole(reply: &Reply, layers: u32, prompt: &str, tokens: u32) {
    let expected = reference(layers, prompt, tokens);
    assert_eq!((text_of(reply), outcome(reply)), (expected, "done".into()));
}

/// The engine that serves the only running request, on its first layers.
async fn first_engine(fleet: &Fleet, node: usize) -> Result<usize> {
    wait_until("a busy engine", || async {
        let status = fleet.boxes[node].desk().status().await.ok()?;
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
    // The list lags far behind; the engine's own refusal and the boxes' word
    // to each other must do.
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
    // New requests meet the refusal and go elsewhere, whole.
    for n in 0..4 {
        let reply = stream(&fleet, n % 2, "new", 5).await?;
        assert_whole(&reply, fleet.layers, "new", 5);
    }
    wait_leaving(&fleet, 0, &id).await?;
    wait_leaving(&fleet, 1, &id).await?;
    // Work that the engine was given shows as a run or as its refusal.
    let before = asked(&fleet, leaver)?;
    for n in 0..6 {
        let reply = stream(&fleet, n % 2, "later", 5).await?;
        assert_whole(&reply, fleet.layers, "later", 5);
    }
    assert_eq!(asked(&fleet, leaver)?, before);
    let reply = running.await??;
    assert_whole(&reply, fleet.layers, "long", 600);
    Ok(())
}

/// One box is cut off from the platform and hears of it from the other.
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
    // With the other engine of these layers frozen, box 0 has to ask this one.
    let refused = stream(&fleet, 0, "x", 2);
    let (_, known) = tokio::join!(
        tokio::time::timeout(std::time::Duration::from_secs(5), refused),
        wait_leaving(&fleet, 1, &id)
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
    // The service itself would take the calls; only the list says it leaves.
    let id = fleet.services[0].id.clone();
    mark_leaving(&mut fleet, &id);
    fleet.publish().await?;
    wait_leaving(&fleet, 0, &id).await?;
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
async fn planned_stop_ends_every_request_whole_and_tells_new_ones() -> Result<()> {
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
    let desk = fleet.boxes[0].desk();
    wait_until("all requests in flight", || async {
        let status = desk.status().await.ok()?;
        (status.stats.arrived == 12).then_some(())
    })
    .await?;
    fleet.boxes[0].process.signal("TERM")?;
    wait_until("a box that drains", || async {
        desk.status().await.ok()?.draining.then_some(())
    })
    .await?;
    let refused = stream(&fleet, 0, "new", 2).await?;
    assert_eq!(
        (refused.status.as_u16(), refused.outcome.as_str()),
        (503, "not_run")
    );
    assert!(refused.retry_after.is_some());
    for (n, task) in running.into_iter().enumerate() {
        assert_whole(&task.await??, fleet.layers, &format!("running {n}"), 60);
    }
    assert_eq!(fleet.boxes[0].process.ended().await?, 0);
    assert_whole(
        &stream(&fleet, 1, "other", 5).await?,
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
    assert_whole(
        &stream(&fleet, node, "first", 5).await?,
        fleet.layers,
        "first",
        5,
    );
    wait_until("work on the new engine", || async {
        stream(&fleet, node, "more", 3).await.ok()?;
        (!fleet.engines[newcomer].records().ok()?.is_empty()).then_some(())
    })
    .await?;
    assert_whole(&running.await??, fleet.layers, "long", 300);
    Ok(())
}
