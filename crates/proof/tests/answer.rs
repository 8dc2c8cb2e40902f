//! A caller gets either the complete response to its own request or an explicit
//! error, never part of another request's response. The faults are engines that
//! answer with another session's result, late responses, connection resets, and
//! engines or boxes that are killed or frozen during a stream.

use eyre::Result;
use proof::{EnginePlan, Fleet, Plan, Reply, outcome, text_of, wait_until};
use standin::engine;
use standin::link::Mode;
use standin::model::reference;

fn prompt(n: usize) -> String {
    format!("caller {n} asks for parcel {}", n * 7919)
}

/// Checks that a response marked `done` has exactly the expected text, and that
/// any other response is an error status or a stream that ends in an error event.
fn is_complete_or_error(reply: &Reply, expected: &str) -> bool {
    if outcome(reply) == "done" {
        return text_of(reply) == expected;
    }
    let broken = reply.body.contains("event: error") && !reply.body.contains("[DONE]");
    reply.status != 200 || broken
}

async fn send_concurrently(fleet: &Fleet, callers: usize, tokens: u32) -> Result<Vec<Reply>> {
    let mut asked = Vec::new();
    for n in 0..callers {
        let node = &fleet.boxes[n % fleet.boxes.len()];
        let text = prompt(n);
        asked.push(async move {
            if n % 2 == 0 {
                node.stream(&text, tokens, &[]).await
            } else {
                node.complete(&text, tokens, &[]).await
            }
        });
    }
    let mut replies = Vec::new();
    // Polls all requests concurrently; the standard library has no `join_all`.
    let mut all: Vec<_> = asked.into_iter().map(Box::pin).collect();
    let mut done: Vec<Option<Result<Reply>>> = (0..callers).map(|_| None).collect();
    std::future::poll_fn(|cx| {
        for (future, slot) in all.iter_mut().zip(&mut done) {
            if slot.is_none()
                && let std::task::Poll::Ready(reply) = future.as_mut().poll(cx)
            {
                *slot = Some(reply);
            }
        }
        if done.iter().all(Option::is_some) {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
    for reply in done.into_iter().flatten() {
        replies.push(reply?);
    }
    Ok(replies)
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_under_crossed_and_late_frames() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    for (n, engine) in fleet.engines.iter().enumerate() {
        let mode = engine::Mode {
            crossed: 5 + n as u64,
            late_ms: n as u64,
            ..engine::Mode::default()
        };
        engine.set(&mode).await?;
    }
    let replies = send_concurrently(&fleet, 40, 10).await?;
    let mut complete = 0;
    for (n, reply) in replies.iter().enumerate() {
        let expected = reference(fleet.layers, &prompt(n), 10);
        assert!(
            is_complete_or_error(reply, &expected),
            "{n}: {expected} {reply:?}"
        );
        complete += usize::from(outcome(reply) == "done");
    }
    assert!(
        complete >= 30,
        "only {complete} of 40 responses are complete"
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_over_links_that_reset() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    for engine in &fleet.engines[..2] {
        let reset = Mode {
            reset_after: 3000,
            ..Mode::default()
        };
        engine.link.set(reset).await?;
    }
    let replies = send_concurrently(&fleet, 24, 10).await?;
    for (n, reply) in replies.iter().enumerate() {
        let expected = reference(fleet.layers, &prompt(n), 10);
        assert!(
            is_complete_or_error(reply, &expected),
            "{n}: {expected} {reply:?}"
        );
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_to_an_abandoned_order_is_ignored() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let node = &fleet.boxes[0];
    let expected = reference(fleet.layers, "late", 150);
    let request = node.stream("late", 150, &[]);
    let freeze = async {
        let id = wait_until("a busy engine", || async {
            let status = node.operator_client().status().await.ok()?;
            let busy = status.upstreams.iter().find(|u| u.held > 0)?;
            (status.stats.tokens > 10).then(|| busy.id.to_string())
        })
        .await?;
        let engine = fleet
            .engines
            .iter()
            .find(|e| e.id == id)
            .expect("it is listed");
        engine
            .link
            .set(Mode {
                freeze: true,
                ..Mode::default()
            })
            .await?;
        wait_until("a replaced stage", || async {
            let status = node.operator_client().status().await.ok()?;
            (status.stats.replaced > 0).then_some(())
        })
        .await?;
        engine.link.heal().await
    };
    let (reply, frozen) = tokio::join!(request, freeze);
    frozen?;
    let reply = reply?;
    assert_eq!(
        (text_of(&reply), outcome(&reply)),
        (expected, "done".into())
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_cannot_go_on_ends_with_an_error() -> Result<()> {
    let plan = Plan {
        engines: vec![EnginePlan::new(0, 4), EnginePlan::new(4, 8)],
        ..Plan::default()
    };
    let mut fleet = Fleet::start(plan).await?;
    let node = &fleet.boxes[0];
    let headers = [("ashgauge-repeat", "no")];
    let request = node.stream("broken", 300, &headers);
    let engine = &mut fleet.engines[1].process;
    let kill = async {
        wait_until("tokens", || async {
            let status = node.operator_client().status().await.ok()?;
            (status.stats.tokens > 5).then_some(())
        })
        .await?;
        engine.kill();
        Ok::<(), eyre::Report>(())
    };
    let (reply, killed) = tokio::join!(request, kill);
    killed?;
    let reply = reply?;
    assert!(reply.body.contains("event: error"), "{}", reply.body);
    assert!(!reply.body.contains("[DONE]"));
    assert_eq!(outcome(&reply), "unknown");
    let expected = reference(fleet.layers, "broken", 300);
    assert!(
        expected.starts_with(&text_of(&reply)),
        "the text is not a prefix of the expected one"
    );
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_killed_box_has_no_clean_end() -> Result<()> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    let node = &mut fleet.boxes[0];
    let request = {
        let caller = node.caller.clone();
        let operator_client = node.operator_client();
        let killer = &mut node.process;
        let body = r#"{"model":"chat","prompt":"cut","max_tokens":300,"stream":true}"#;
        let request = proof::post(&caller, "/v1/completions", body);
        let kill = async {
            wait_until("tokens", || async {
                let status = operator_client.status().await.ok()?;
                (status.stats.tokens > 5).then_some(())
            })
            .await?;
            killer.kill();
            Ok::<(), eyre::Report>(())
        };
        let (reply, killed) = tokio::join!(request, kill);
        killed?;
        reply
    };
    assert!(
        request.is_err(),
        "a cut stream looked complete: {request:?}"
    );
    Ok(())
}
