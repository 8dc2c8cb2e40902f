//! A request that is not repeatable runs at most once, and one reported as
//! `not_run` did not run, whatever is lost between caller, boxes, platform and
//! service. Tests check the records of the plain HTTP services.

use std::collections::HashMap;

use eyre::Result;
use proof::{BoxPlan, Fleet, Plan, Reply, wait_until};
use serde_json::json;
use standin::link::Mode;
use standin::{platform, service};

const PATH: &str = "/notes/send";

async fn post(fleet: &Fleet, node: usize, key: &str, body: &str) -> Result<Reply> {
    fleet.boxes[node]
        .post(PATH, body, &[("idempotency-key", key)])
        .await
}

fn run_count(fleet: &Fleet, body: &str) -> Result<usize> {
    let bodies = fleet.service_bodies()?;
    Ok(bodies.iter().filter(|b| *b == body).count())
}

async fn wait_run_count(fleet: &Fleet, body: &str, wanted: usize) -> Result<()> {
    wait_until("a run in the service's records", || async {
        (run_count(fleet, body).ok()? == wanted).then_some(())
    })
    .await
}

async fn wait_writes(fleet: &Fleet, wanted: u64) -> Result<()> {
    wait_until("a write at the platform", || async {
        (fleet.platform_counts().await.ok()?.writes >= wanted).then_some(())
    })
    .await
}

fn three_boxes() -> Plan {
    let node = BoxPlan {
        settings: json!({"claims": {"interval_ms": 20, "patience_ms": 5000}}),
    };
    Plan {
        boxes: vec![node; 3],
        ..Plan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn same_key_at_three_boxes_runs_once() -> Result<()> {
    let fleet = Fleet::start(three_boxes()).await?;
    for n in 0..12 {
        let (key, body) = (format!("key-{n}"), format!("note {n}"));
        let (a, b, c) = tokio::join!(
            post(&fleet, 0, &key, &body),
            post(&fleet, 1, &key, &body),
            post(&fleet, 2, &key, &body),
        );
        let replies = [a?, b?, c?];
        let done = replies.iter().filter(|r| r.status == 200).count();
        let taken = replies.iter().filter(|r| r.status == 409).count();
        assert_eq!((done, taken), (1, 2), "{replies:?}");
        assert_eq!(run_count(&fleet, &body)?, 1);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_unknown_and_the_key_does_not_run_again() -> Result<()> {
    let fleet = Fleet::start(three_boxes()).await?;
    let swallow = Mode {
        swallow: true,
        ..Mode::default()
    };
    fleet.services[0].link.set(swallow).await?;
    let first = post(&fleet, 0, "k", "note").await?;
    assert_eq!(first.outcome, "unknown", "{}", first.body);
    fleet.services[0].link.heal().await?;
    for node in 0..3 {
        let again = post(&fleet, node, "k", "note").await?;
        assert_eq!(
            (again.status.as_u16(), again.outcome.as_str()),
            (409, "unknown")
        );
    }
    assert_eq!(run_count(&fleet, "note")?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_killed_box_does_not_run_again() -> Result<()> {
    let mut fleet = Fleet::start(three_boxes()).await?;
    let slow = service::Mode {
        time_ms: 3_000,
        ..service::Mode::default()
    };
    fleet.services[0].set(&slow).await?;
    {
        let running = post(&fleet, 0, "k", "note");
        tokio::select! {
            reply = running => panic!("answered too early: {reply:?}"),
            ran = wait_run_count(&fleet, "note", 1) => ran?,
        }
    }
    fleet.boxes[0].process.kill();
    for node in 1..3 {
        let again = post(&fleet, node, "k", "note").await?;
        assert_eq!(again.outcome, "unknown", "{}", again.body);
    }
    assert_eq!(run_count(&fleet, "note")?, 1);
    Ok(())
}

/// A box is frozen after its claim on a key was committed and before it calls
/// the service, and resumes after another box got a request with the same key.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_box_that_resumes_does_not_run_a_key_twice() -> Result<()> {
    let fleet = Fleet::start(three_boxes()).await?;
    let late = Mode {
        delay_ms: 300,
        ..Mode::default()
    };
    for node in &fleet.boxes {
        node.platform.set(late.clone()).await?;
    }
    let before = fleet.platform_counts().await?.writes;
    let first = post(&fleet, 0, "k", "note");
    let rest = async {
        wait_writes(&fleet, before + 1).await?;
        fleet.boxes[0].process.signal("STOP")?;
        let again = post(&fleet, 1, "k", "note").await;
        fleet.boxes[0].process.signal("CONT")?;
        again
    };
    let (first, again) = tokio::join!(first, rest);
    let (first, again) = (first?, again?);
    assert_ne!(again.status, 200, "{}", again.body);
    let ran = run_count(&fleet, "note")?;
    assert!(ran <= 1, "ran {ran} times");
    match first.outcome.as_str() {
        "done" => assert_eq!(ran, 1),
        "not_run" => assert_eq!(ran, 0),
        _ => {}
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_answer_lost_after_the_write() -> Result<()> {
    let fleet = Fleet::start(three_boxes()).await?;
    let before = fleet.platform_counts().await?.writes;
    let swallow = Mode {
        swallow_puts: true,
        ..Mode::default()
    };
    let first = post(&fleet, 0, "k", "note");
    let rest = async {
        for node in &fleet.boxes {
            node.platform.set(swallow.clone()).await?;
        }
        wait_writes(&fleet, before + 1).await?;
        for node in &fleet.boxes {
            node.platform.heal().await?;
        }
        Ok::<(), eyre::Report>(())
    };
    let (first, rest) = tokio::join!(first, rest);
    rest?;
    let first = first?;
    let ran = run_count(&fleet, "note")?;
    match first.outcome.as_str() {
        "done" => assert_eq!(ran, 1, "{}", first.body),
        "not_run" => assert_eq!(ran, 0, "{}", first.body),
        other => panic!("{other}: {}", first.body),
    }
    let again = post(&fleet, 1, "k", "note").await?;
    assert!(run_count(&fleet, "note")? <= 1, "{first:?} {again:?}");
    Ok(())
}

/// A write that never reached the platform must not be taken for one whose
/// response was lost.
#[tokio::test(flavor = "multi_thread")]
async fn platform_write_lost_before_it_took_effect() -> Result<()> {
    let fleet = Fleet::start(three_boxes()).await?;
    // The boxes cannot reach each other, so each one writes its own claims.
    for node in &fleet.boxes {
        node.peer_link
            .set(Mode {
                cut: true,
                ..Mode::default()
            })
            .await?;
    }
    let lossy = &fleet.boxes[0];
    lossy
        .platform
        .set(Mode {
            drop_puts: true,
            ..Mode::default()
        })
        .await?;
    let first = post(&fleet, 0, "k", "note");
    let rest = async {
        wait_until("a write on its way", || async {
            (lossy.operator_client().status().await.ok()?.stats.writes >= 2).then_some(())
        })
        .await?;
        let other = post(&fleet, 1, "k", "note").await?;
        lossy.platform.heal().await?;
        Ok::<Reply, eyre::Report>(other)
    };
    let (first, other) = tokio::join!(first, rest);
    let (first, other) = (first?, other?);
    assert_eq!(other.outcome, "done", "{}", other.body);
    assert_eq!(first.status, 409, "{}", first.body);
    assert_eq!(run_count(&fleet, "note")?, 1);
    Ok(())
}

/// A UUID version 7 key carries its creation time. A key older than the retention
/// period may have run and been forgotten, so it is refused rather than run.
#[tokio::test(flavor = "multi_thread")]
async fn key_older_than_keys_are_kept_is_not_run() -> Result<()> {
    let fleet = Fleet::start(three_boxes()).await?;
    let old = post(&fleet, 0, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "old").await?;
    assert_eq!(
        (old.status.as_u16(), old.outcome.as_str()),
        (409, "unknown"),
        "{}",
        old.body
    );
    assert_eq!(run_count(&fleet, "old")?, 0);
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?;
    let ms = since.as_millis() as u64;
    let key = format!(
        "{:08x}-{:04x}-7cc3-98c4-dc0c0c07398f",
        ms >> 16,
        ms & 0xffff
    );
    let fresh = post(&fleet, 1, &key, "fresh").await?;
    assert_eq!(fresh.outcome, "done", "{}", fresh.body);
    let again = post(&fleet, 2, &key, "fresh").await?;
    assert_eq!(again.status, 409, "{}", again.body);
    // A key dated in the future could outlive its claim.
    let ahead = ms + 3_600_000;
    let key = format!(
        "{:08x}-{:04x}-7cc3-98c4-dc0c0c07398f",
        ahead >> 16,
        ahead & 0xffff
    );
    let early = post(&fleet, 0, &key, "early").await?;
    assert_eq!(
        (early.status.as_u16(), early.outcome.as_str()),
        (400, "not_run")
    );
    assert_eq!(run_count(&fleet, "early")?, 0);
    assert_eq!(run_count(&fleet, "fresh")?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_means_not_run_and_safe_to_resend() -> Result<()> {
    let fleet = Fleet::start(three_boxes()).await?;
    let down = platform::Mode {
        down: true,
        ..platform::Mode::default()
    };
    fleet.set_platform(down).await?;
    for node in 0..3 {
        let reply = post(&fleet, node, "k", "note").await?;
        assert_eq!(
            (reply.status.as_u16(), reply.outcome.as_str()),
            (503, "not_run")
        );
        assert!(reply.retry_after.is_some());
    }
    assert_eq!(run_count(&fleet, "note")?, 0);
    // A repeatable call needs no claim and succeeds.
    let text = fleet.boxes[0].complete("x", 2, &[]).await?;
    assert_eq!(text.status, 200);
    fleet.set_platform(platform::Mode::default()).await?;
    let reply = wait_until("the platform's return", || async {
        let reply = post(&fleet, 0, "k", "note").await.ok()?;
        (reply.outcome != "not_run").then_some(reply)
    })
    .await?;
    assert_eq!(reply.outcome, "done", "{}", reply.body);
    assert_eq!(run_count(&fleet, "note")?, 1);
    Ok(())
}

/// The service's link is cut, drops responses, resets, delays and heals in turn.
/// Every outcome that a caller was told must agree with the service's records.
#[tokio::test(flavor = "multi_thread")]
async fn told_outcomes_agree_with_the_records() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let modes = [
        Mode {
            cut: true,
            ..Mode::default()
        },
        Mode {
            swallow: true,
            ..Mode::default()
        },
        Mode::default(),
        Mode {
            reset_after: 40,
            ..Mode::default()
        },
        Mode {
            delay_ms: 30,
            ..Mode::default()
        },
    ];
    let mut told = HashMap::new();
    for round in 0..12 {
        if round == 10 {
            // From here on the service itself refuses calls, as leaving.
            let leaving = service::Mode {
                leaving: true,
                ..service::Mode::default()
            };
            fleet.services[0].set(&leaving).await?;
        }
        fleet.services[0]
            .link
            .set(modes[(round + 2) % modes.len()].clone())
            .await?;
        for call in 0..4 {
            let body = format!("note {round}-{call}");
            let reply = fleet.boxes[call % 2].post(PATH, &body, &[]).await?;
            told.insert(body, reply);
        }
    }
    let mut seen: HashMap<&str, usize> = HashMap::new();
    for (body, reply) in &told {
        let ran = run_count(&fleet, body)?;
        let fits = match reply.outcome.as_str() {
            "done" => ran == 1,
            "not_run" => ran == 0,
            _ => ran <= 1,
        };
        assert!(fits, "{body} ran {ran} times and was told {reply:?}");
        *seen.entry(reply.outcome.as_str()).or_default() += 1;
    }
    assert_eq!(seen.len(), 3, "every outcome is met: {seen:?}");
    Ok(())
}
