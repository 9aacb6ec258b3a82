//! The platform: object API, watches, weight store and faults.

mod common;

use std::time::Duration;

use common::{LAST_CHUNK, LIMIT, body, cases, raw_get, status};
use daisychute_standin::Platform;
use daisychute_standin::harness::{ANY_PORT, Client, HarnessError, Response, wait_until};
use daisychute_standin::platform::{Faults, PlatformConfig};
use serde_json::{Value, json};

const PLANS: &str = "/apis/daisychute.dev/v1/plans";
const MOROCCO: &str = "/apis/daisychute.dev/v1/plans/morocco";
const INSTANCES: &str = "/apis/daisychute.dev/v1/instances";

type Outcome = Result<(), HarnessError>;

cases! {
    an_object_is_created_read_replaced_and_deleted: object_life_cycle(),
    a_second_create_conflicts: refused("POST", PLANS, object("morocco", 0, 5), 409, "AlreadyExists"),
    an_old_version_conflicts: refused("PUT", MOROCCO, object("morocco", 7, 5), 409, "Conflict"),
    an_unknown_object_is_not_replaced:
        refused("PUT", "/apis/daisychute.dev/v1/plans/x", object("x", 1, 5), 404, "NotFound"),
    an_old_version_is_not_deleted:
        refused("DELETE", &format!("{MOROCCO}?resourceVersion=7"), Value::Null, 409, "Conflict"),
    an_unknown_object_is_not_read:
        refused("GET", "/apis/daisychute.dev/v1/plans/x", Value::Null, 404, "NotFound"),
    a_different_name_is_invalid: refused("PUT", MOROCCO, object("x", 1, 5), 400, "Invalid"),
    a_large_object_is_refused: large_object(),
    a_list_is_limited_by_prefix: list_by_prefix(),
    a_watch_shows_later_changes: watch_changes(),
    an_idle_watch_sends_bookmarks: bookmarks(),
    a_compacted_version_is_expired: compacted(),
    a_short_history_expires_old_versions: short_history(),
    a_closed_watch_is_not_counted: closed_watch(),
    writes_are_limited: write_limit(),
    reads_are_limited: read_limit(),
    an_outage_closes_connections: no_effect(Faults { outage: true, ..Faults::default() }, 0),
    an_unavailable_platform_responds_503:
        no_effect(Faults { unavailable: true, ..Faults::default() }, 503),
    an_outage_cuts_a_watch: outage_cuts_watch(),
    a_hung_call_gets_no_response: hang(),
    a_delay_comes_before_the_effect: delay(),
    a_write_without_response_takes_effect: lost_response(),
    stale_reads_return_the_old_state: stale_reads(),
    a_silent_watch_stays_silent: silent_watch(),
    the_list_of_instances_is_delayed: instances_lag(),
    weight_loads_are_limited: weight_limit(),
    calls_are_counted: counted(),
}

fn object(name: &str, version: u64, value: u64) -> Value {
    let metadata = json!({"name": name, "resourceVersion": version.to_string()});
    json!({"metadata": metadata, "spec": {"value": value}})
}

async fn start(config: PlatformConfig) -> (Platform, Client) {
    let platform = Platform::start(ANY_PORT, config).await.expect("a free port");
    let client = Client::new(platform.local_addr());
    (platform, client)
}

/// Starts a platform that has the plan `morocco` in version 1.
async fn with_plan() -> Result<(Platform, Client), HarnessError> {
    let (platform, client) = start(PlatformConfig::default()).await;
    client.post(PLANS, &object("morocco", 0, 1)).await?;
    Ok((platform, client))
}

async fn open_watch(client: &Client, version: u64) -> Result<Response, HarnessError> {
    let path = format!("{PLANS}?watch=1&resourceVersion={version}");
    client.open(awc::http::Method::GET, &path, None).await
}

async fn next(watch: &mut Response) -> Result<Value, HarnessError> {
    let line = watch.line().await?.unwrap_or_default();
    Ok(serde_json::from_str(&line).unwrap_or(Value::Null))
}

async fn object_life_cycle() -> Outcome {
    let (_platform, client) = start(PlatformConfig::default()).await;
    let mut plan = object("morocco", 0, 1);
    plan["metadata"]["annotations"] = json!({"writer": "entry-1/5f3a", "write": "42"});
    let created = client.post(PLANS, &plan).await?;
    assert_eq!(created.status, 201);
    let mut stored = body(&created);
    assert_eq!(body(&client.get(MOROCCO).await?), stored);
    assert_eq!(stored["metadata"]["annotations"], plan["metadata"]["annotations"]);
    assert_eq!(
        (&stored["kind"], &stored["metadata"]["resourceVersion"]),
        (&json!("plans"), &json!("1"))
    );
    stored["spec"]["value"] = json!(2);
    let replaced = client.put(MOROCCO, &stored).await?;
    assert_eq!(
        (replaced.status.as_u16(), &body(&replaced)["metadata"]["resourceVersion"]),
        (200, &json!("2"))
    );
    let deleted = client.delete(&format!("{MOROCCO}?resourceVersion=2")).await?;
    assert_eq!(deleted.status, 200);
    assert_eq!(client.get(MOROCCO).await?.status, 404);
    Ok(())
}

async fn refused(method: &str, path: &str, sent_body: Value, code: u16, reason: &str) -> Outcome {
    let (platform, client) = with_plan().await?;
    let method = method.parse().expect("a method");
    let sent_body = (!sent_body.is_null()).then_some(&sent_body);
    let response = client.send(method, path, sent_body).await?;
    let refusal = body(&response);
    assert_eq!(response.status, code);
    assert_eq!((&refusal["kind"], &refusal["status"]), (&json!("Status"), &json!("Failure")));
    assert_eq!((&refusal["reason"], &refusal["code"]), (&json!(reason), &json!(code)));
    assert_eq!(platform.seen().version, 1);
    Ok(())
}

async fn large_object() -> Outcome {
    let (_platform, client) = start(PlatformConfig::default()).await;
    let empty = json!({"metadata": {"name": "a"}, "spec": ""}).to_string().len();
    let sized = |len: usize| json!({"metadata": {"name": "a"}, "spec": "x".repeat(len - empty)});
    assert_eq!(client.post(PLANS, &sized((1 << 20) + 1)).await?.status, 413);
    assert_eq!(client.post(PLANS, &sized(1 << 20)).await?.status, 201);
    Ok(())
}

async fn list_by_prefix() -> Outcome {
    let (platform, client) = with_plan().await?;
    platform.put("plans", "hungary", json!({}));
    platform.put("leases", "morocco", json!({}));
    let names = |list: &Value| -> Vec<Value> {
        let items = list["items"].as_array().cloned().unwrap_or_default();
        items.iter().map(|it| it["metadata"]["name"].clone()).collect()
    };
    let all = body(&client.get(PLANS).await?);
    assert_eq!((&all["kind"], &all["metadata"]["resourceVersion"]), (&json!("List"), &json!("3")));
    assert_eq!(names(&all), ["hungary", "morocco"]);
    assert_eq!(names(&body(&client.get(&format!("{PLANS}?prefix=mor")).await?)), ["morocco"]);
    Ok(())
}

async fn watch_changes() -> Outcome {
    let (platform, client) = with_plan().await?;
    platform.put("leases", "morocco", json!({}));
    let mut watch = open_watch(&client, 0).await?;
    client.put(MOROCCO, &object("morocco", 1, 2)).await?;
    client.delete(&format!("{MOROCCO}?resourceVersion=3")).await?;
    for (change, version) in [("ADDED", "1"), ("MODIFIED", "3"), ("DELETED", "4")] {
        let line = next(&mut watch).await?;
        assert_eq!(line["type"], change);
        assert_eq!(line["object"]["metadata"]["resourceVersion"], version);
    }
    Ok(())
}

async fn bookmarks() -> Outcome {
    let bookmark_interval = Duration::from_millis(10);
    let (platform, client) =
        start(PlatformConfig { bookmark_interval, ..PlatformConfig::default() }).await;
    platform.put("leases", "morocco", json!({}));
    let mut watch = open_watch(&client, 0).await?;
    let line = next(&mut watch).await?;
    assert_eq!(line["type"], "BOOKMARK");
    assert_eq!(line["object"]["metadata"], json!({"resourceVersion": "1"}));
    Ok(())
}

async fn compacted() -> Outcome {
    let (platform, client) = with_plan().await?;
    platform.compact();
    assert_eq!(open_watch(&client, 0).await?.status(), 410);
    assert_eq!(open_watch(&client, 1).await?.status(), 200);
    Ok(())
}

async fn short_history() -> Outcome {
    let (platform, client) =
        start(PlatformConfig { history: 2, ..PlatformConfig::default() }).await;
    for value in 0..4 {
        platform.put("plans", "morocco", json!({"value": value}));
    }
    assert_eq!(open_watch(&client, 1).await?.status(), 410);
    assert_eq!(next(&mut open_watch(&client, 2).await?).await?["object"]["spec"]["value"], 2);
    Ok(())
}

async fn closed_watch() -> Outcome {
    // No bookmark is due while the test waits: a failed write of one would close the watch as well.
    let bookmark_interval = 2 * LIMIT;
    let (platform, client) =
        start(PlatformConfig { bookmark_interval, ..PlatformConfig::default() }).await;
    let watch = open_watch(&client, 0).await?;
    assert_eq!(platform.seen().open_watches, 1);
    drop(watch);
    wait_until("the watch is closed", LIMIT, || platform.seen().open_watches == 0).await
}

async fn write_limit() -> Outcome {
    let (_platform, client) =
        start(PlatformConfig { write_rate: Some(2), ..PlatformConfig::default() }).await;
    client.post(PLANS, &object("a", 0, 1)).await?;
    client.post(PLANS, &object("b", 0, 1)).await?;
    let refusal = client.post(PLANS, &object("c", 0, 1)).await?;
    assert_eq!((refusal.status.as_u16(), refusal.retry_after), (429, Some(1)));
    assert_eq!(client.get(PLANS).await?.status, 200);
    Ok(())
}

async fn read_limit() -> Outcome {
    let (_platform, client) =
        start(PlatformConfig { read_rate: Some(2), ..PlatformConfig::default() }).await;
    let _watch = open_watch(&client, 0).await?;
    client.get(PLANS).await?;
    assert_eq!(client.get(PLANS).await?.status, 429);
    assert_eq!(client.post(PLANS, &object("a", 0, 1)).await?.status, 201);
    Ok(())
}

async fn no_effect(faults: Faults, code: u16) -> Outcome {
    let (platform, client) = with_plan().await?;
    platform.set_faults(faults);
    assert_eq!(status(&client.put(MOROCCO, &object("morocco", 1, 2)).await), code);
    assert_eq!(status(&client.get(MOROCCO).await), code);
    assert_eq!(platform.seen().version, 1);
    client.post("/_standin/faults", &json!({})).await?;
    assert_eq!(client.get(MOROCCO).await?.status, 200);
    Ok(())
}

async fn outage_cuts_watch() -> Outcome {
    let (platform, _client) = with_plan().await?;
    let path = format!("{PLANS}?watch=1&resourceVersion=0");
    let watch = actix_rt::spawn(raw_get(platform.local_addr(), path));
    wait_until("the watch is open", LIMIT, || platform.seen().open_watches == 1).await?;
    platform.set_faults(Faults { outage: true, ..Faults::default() });
    let received = watch.await.expect("the task ends");
    assert!(received.contains("ADDED"));
    assert!(!received.ends_with(LAST_CHUNK));
    Ok(())
}

async fn hang() -> Outcome {
    let (platform, client) = with_plan().await?;
    platform.set_faults(Faults { hang: true, ..Faults::default() });
    let call = actix_rt::spawn(async move { client.put(MOROCCO, &object("morocco", 1, 2)).await });
    wait_until("the call has arrived", LIMIT, || platform.seen().calls("replace", "plans") == 1)
        .await?;
    platform.set_faults(Faults::default());
    Client::new(platform.local_addr()).get(MOROCCO).await?;
    assert!(!call.is_finished());
    assert_eq!(platform.seen().version, 1);
    Ok(())
}

async fn delay() -> Outcome {
    let (platform, client) = with_plan().await?;
    client.post("/_standin/faults", &json!({"delay_ms": 300})).await?;
    let call = actix_rt::spawn(async move { client.put(MOROCCO, &object("morocco", 1, 2)).await });
    wait_until("the call has arrived", LIMIT, || platform.seen().calls("replace", "plans") == 1)
        .await?;
    assert_eq!(platform.seen().version, 1);
    assert_eq!(status(&call.await.expect("the task ends")), 200);
    assert_eq!(platform.seen().version, 2);
    Ok(())
}

async fn lost_response() -> Outcome {
    let (platform, client) = with_plan().await?;
    platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    assert_eq!(status(&client.put(MOROCCO, &object("morocco", 7, 2)).await), 409);
    assert_eq!(status(&client.put(MOROCCO, &object("morocco", 1, 2)).await), 0);
    assert_eq!(body(&client.get(MOROCCO).await?)["spec"]["value"], 2);
    assert_eq!(status(&client.put(MOROCCO, &object("morocco", 2, 3)).await), 200);
    Ok(())
}

async fn stale_reads() -> Outcome {
    let (platform, client) = with_plan().await?;
    platform.set_faults(Faults { stale_reads: true, ..Faults::default() });
    assert_eq!(client.put(MOROCCO, &object("morocco", 1, 2)).await?.status, 200);
    assert_eq!(body(&client.get(MOROCCO).await?)["spec"]["value"], 1);
    assert_eq!(body(&client.get(PLANS).await?)["metadata"]["resourceVersion"], "1");
    platform.set_faults(Faults::default());
    assert_eq!(body(&client.get(MOROCCO).await?)["spec"]["value"], 2);
    Ok(())
}

async fn silent_watch() -> Outcome {
    let (platform, client) = with_plan().await?;
    let mut silent = open_watch(&client, 0).await?;
    assert_eq!(next(&mut silent).await?["type"], "ADDED");
    platform.set_faults(Faults { silent_watches: true, ..Faults::default() });
    platform.set_faults(Faults::default());
    platform.put("plans", "morocco", json!({"value": 2}));
    let mut fresh = open_watch(&client, 1).await?;
    assert_eq!(next(&mut fresh).await?["type"], "MODIFIED");
    let line = actix_rt::time::timeout(Duration::from_millis(50), silent.line()).await;
    assert!(line.is_err());
    Ok(())
}

async fn instances_lag() -> Outcome {
    let instances_lag = Duration::from_millis(300);
    let (platform, client) =
        start(PlatformConfig { instances_lag, ..PlatformConfig::default() }).await;
    let record = json!({"endpoint": "clerk-lm-1", "state": "live"});
    client.put("/_standin/instances/clerk-lm-1", &record).await?;
    assert_eq!(body(&client.get(INSTANCES).await?)["items"], json!([]));
    wait_until("the record is visible", LIMIT, || {
        platform.get("instances", "clerk-lm-1").is_some_and(|it| it.spec == record)
    })
    .await?;
    client.delete("/_standin/instances/clerk-lm-1").await?;
    assert!(platform.get("instances", "clerk-lm-1").is_some());
    wait_until("the record is removed", LIMIT, || platform.get("instances", "clerk-lm-1").is_none())
        .await
}

async fn weight_limit() -> Outcome {
    let weight_time = Duration::from_millis(300);
    let config = PlatformConfig { weight_loads: 1, weight_time, ..PlatformConfig::default() };
    let (platform, client) = start(config).await;
    let first = client.clone();
    let first = actix_rt::spawn(async move { first.get("/weights/clerk-lm/2").await });
    wait_until("the load has begun", LIMIT, || !platform.seen().weight_loads.is_empty()).await?;
    assert_eq!(client.get("/weights/clerk-lm/2").await?.status, 429);
    assert_eq!(status(&first.await.expect("the task ends")), 200);
    assert_eq!(client.get("/weights/clerk-lm/2").await?.status, 200);
    assert_eq!(
        (platform.seen().weight_loads["clerk-lm/2"], platform.seen().weight_refusals),
        (2, 1)
    );
    Ok(())
}

async fn counted() -> Outcome {
    let (_platform, client) = with_plan().await?;
    client.get(MOROCCO).await?;
    client.put(MOROCCO, &object("morocco", 9, 2)).await?;
    let seen = body(&client.get("/_standin/seen").await?);
    let calls = json!({"create": {"plans": 1}, "get": {"plans": 1}, "replace": {"plans": 1}});
    assert_eq!(seen["calls"], calls);
    assert_eq!(seen["answers"], json!({"200": 1, "201": 1, "409": 1}));
    assert!(seen["bytes_in"].as_u64() > Some(300) && seen["bytes_out"].as_u64() > Some(300));
    Ok(())
}
