//! End to end: completions, service calls and table edits through the boxes of a
//! fleet without faults.

use ashgauge::table::{Cell, Change, Edit};
use eyre::Result;
use proof::{Fleet, Plan, check_layers, outcome, runs, text_of};
use standin::model::reference;

#[tokio::test(flavor = "multi_thread")]
async fn completion_comes_back_whole_and_streamed() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let expected = reference(fleet.layers, "leave balance?", 12);

    let whole = fleet.boxes[0].complete("leave balance?", 12, &[]).await?;
    assert_eq!(text_of(&whole), expected, "{}", whole.body);
    assert_eq!(outcome(&whole), "done");

    let stream = fleet.boxes[1].stream("leave balance?", 12, &[]).await?;
    assert_eq!(text_of(&stream), expected, "{}", stream.body);
    assert_eq!(outcome(&stream), "done");
    assert!(stream.body.ends_with("data: [DONE]\n\n"));

    let records = fleet.engine_records()?;
    let positions = "leave balance?".len() as u32 + 11;
    for request in runs(&records) {
        check_layers(&records, &[], &request, fleet.layers, positions)?;
    }
    assert_eq!(runs(&records).len(), 2);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn service_call_goes_through_and_back() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let reply = fleet.boxes[0].post("/notes/send", "note 7", &[]).await?;
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert!(reply.body.contains("note 7"));
    assert_eq!(reply.outcome, "done");
    assert_eq!(fleet.service_bodies()?, ["note 7"]);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn edit_reaches_every_box_and_changes_decisions() -> Result<()> {
    let fleet = Fleet::start(Plan::default()).await?;
    let before = fleet.boxes[1].complete("x", 2, &[]).await?;
    assert_eq!(before.status, 200);

    let change = Change {
        row: "route/chat".into(),
        column: "kind".into(),
        seen: Some(Cell::Text("model".into())),
        value: Some(Cell::Text("service".into())),
    };
    let edit = Edit {
        id: "close-chat".into(),
        who: "ana".into(),
        at: 0,
        changes: vec![change],
    };
    let answer = fleet.boxes[0].operator_client().edit(&edit).await?;
    let ashgauge::editor::EditResult::Accepted { version } = answer else {
        panic!("{answer:?}");
    };
    fleet.boxes[1].wait_version(version).await?;
    let after = fleet.boxes[1].complete("x", 2, &[]).await?;
    assert_eq!(after.status, 404, "{}", after.body);
    assert_eq!(after.outcome, "not_run");
    Ok(())
}
