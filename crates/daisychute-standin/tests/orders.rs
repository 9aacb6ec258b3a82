//! Reconfiguration orders to an engine and the changes that execute them.

mod common;

use std::time::Duration;

use common::{LIMIT, body, cases, completion, fast_engine, status, target};
use daisychute_core::{EngineTarget, Role};
use daisychute_standin::engine::{Crash, EngineConfig, EngineFaults, OrderOutcome};
use daisychute_standin::harness::{ANY_PORT, Client, FullResponse, HarnessError, wait_until};
use daisychute_standin::platform::PlatformConfig;
use daisychute_standin::{Engine, Platform};
use serde_json::{Value, json};

const COMPLETIONS: &str = "/v1/completions";

type Outcome = Result<(), HarnessError>;

cases! {
    an_order_takes_effect_after_the_change: takes_effect(),
    the_current_target_needs_no_change: unchanged(),
    an_order_during_a_change_is_refused: during_change("2", false),
    another_order_during_a_change_is_a_conflict: during_change("3", true),
    an_outdated_order_is_refused: outdated_order(true, 409, "1"),
    an_outdated_order_is_accepted_without_fence_check: outdated_order(false, 202, "2"),
    a_change_aborts_running_requests: change_aborts_requests(),
    a_change_refuses_completions: refuses_completions(),
    a_change_empties_the_caches: empties_caches(),
    a_crash_in_a_change_resets_the_engine: crash_in_change(),
    a_crash_aborts_running_requests: crash(),
    an_order_without_response_takes_effect: lost_order(),
    a_refused_order_has_no_effect: refused_order(),
    a_change_loads_weights: weights(1, "2"),
    a_change_fails_without_weights: weights(0, "1"),
    a_malformed_order_is_refused: malformed(),
}

async fn start(config: EngineConfig) -> (Engine, Client) {
    let engine = Engine::start(ANY_PORT, config).await.expect("a free port");
    let client = Client::new(engine.local_addr());
    (engine, client)
}

async fn order(
    client: &Client,
    fence: u64,
    target: &EngineTarget,
) -> Result<FullResponse, HarnessError> {
    client.post("/orders", &json!({"fence": fence, "target": target})).await
}

async fn state(client: &Client) -> Result<Value, HarnessError> {
    Ok(body(&client.get("/state").await?))
}

async fn wait_version(engine: &Engine, version: &str) -> Outcome {
    let what = format!("the engine has version {version}");
    wait_until(&what, LIMIT, || engine.target().version.as_str() == version).await
}

async fn takes_effect() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    let ordered = target(Role::Decode, "2");
    let before = state(&client).await?;
    assert_eq!((&before["role"], &before["version"]), (&json!("mixed"), &json!("1")));
    assert_eq!(order(&client, 4, &ordered).await?.status, 202);
    let during = state(&client).await?;
    assert_eq!((&during["changing"], &during["version"]), (&json!(true), &json!("1")));
    wait_version(&engine, "2").await?;
    let after = state(&client).await?;
    assert_eq!(
        (&after["changing"], &after["role"], &after["fence"]),
        (&json!(false), &json!("decode"), &json!(4))
    );
    assert_eq!((&after["started"], &after["failed"]), (&before["started"], &Value::Null));
    let seen = engine.seen();
    assert_eq!(
        (seen.changes, seen.conflicts, seen.orders[0].outcome),
        (1, 0, OrderOutcome::Accepted)
    );
    Ok(())
}

async fn unchanged() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    assert_eq!(order(&client, 4, &target(Role::Mixed, "1")).await?.status, 202);
    assert_eq!(state(&client).await?["changing"], false);
    assert_eq!(engine.seen().orders[0].outcome, OrderOutcome::Unchanged);
    Ok(())
}

async fn during_change(version: &str, conflict: bool) -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    order(&client, 4, &target(Role::Mixed, "2")).await?;
    let refusal = order(&client, 5, &target(Role::Mixed, version)).await?;
    assert_eq!((refusal.status.as_u16(), body(&refusal)), (409, json!({"error": "changing"})));
    let seen = engine.seen();
    let second = &seen.orders[1];
    assert_eq!((second.overlap, second.conflict, second.stale), (true, conflict, false));
    assert_eq!(seen.conflicts, u64::from(conflict));
    wait_version(&engine, "2").await
}

async fn outdated_order(checks_fence: bool, code: u16, version: &str) -> Outcome {
    let (engine, client) = start(EngineConfig { checks_fence, ..fast_engine() }).await;
    assert_eq!(state(&client).await?["checks_fence"], checks_fence);
    order(&client, 4, &target(Role::Mixed, "1")).await?;
    let response = order(&client, 3, &target(Role::Mixed, "2")).await?;
    assert_eq!(response.status, code);
    if checks_fence {
        assert_eq!(body(&response), json!({"error": "stale_fence", "fence": 4}));
    }
    assert!(engine.seen().orders[1].stale);
    wait_version(&engine, version).await
}

/// Starts an engine and a request that runs for the rest of the test.
async fn busy() -> Result<(Engine, Client), HarnessError> {
    let (engine, client) = start(fast_engine()).await;
    let sender = client.clone();
    actix_rt::spawn(async move {
        let response = sender.post(COMPLETIONS, &completion("a", "one two", 60_000)).await;
        assert_eq!(status(&response), 0);
    });
    wait_until("the request runs", LIMIT, || engine.seen().started == ["a"]).await?;
    Ok((engine, client))
}

async fn change_aborts_requests() -> Outcome {
    let (engine, client) = busy().await?;
    order(&client, 1, &target(Role::Prefill, "1")).await?;
    assert_eq!((engine.seen().orders[0].cut, engine.seen().cut), (1, vec!["a".to_owned()]));
    assert_eq!(client.get("/requests/a/stream?from=0").await?.status, 404);
    Ok(())
}

async fn refuses_completions() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    order(&client, 1, &target(Role::Prefill, "2")).await?;
    let refusal = client.post(COMPLETIONS, &completion("a", "one", 1)).await?;
    assert_eq!((refusal.status.as_u16(), body(&refusal)), (503, json!({"error": "changing"})));
    wait_version(&engine, "2").await?;
    assert_eq!(client.post(COMPLETIONS, &completion("b", "one", 1)).await?.status, 200);
    assert_eq!((engine.seen().refused_changing, engine.seen().started), (1, vec!["b".to_owned()]));
    Ok(())
}

async fn empties_caches() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    let prompt = "word ".repeat(16);
    client.post(COMPLETIONS, &completion("a", &prompt, 1)).await?;
    order(&client, 1, &target(Role::Mixed, "2")).await?;
    wait_version(&engine, "2").await?;
    let response = client.post(COMPLETIONS, &completion("b", &prompt, 1)).await?;
    assert_eq!(body(&response)["usage"]["cached_tokens"], 0);
    let events = body(&client.get("/cache/events?from=1").await?);
    assert_eq!(events["events"][0]["type"], "evicted");
    Ok(())
}

async fn crash_in_change() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    let before = state(&client).await?;
    engine.set_faults(EngineFaults { crash_change: Some(Crash::Reset), ..EngineFaults::default() });
    order(&client, 4, &target(Role::Decode, "2")).await?;
    wait_until("the engine crashes", LIMIT, || engine.seen().crashes == 1).await?;
    let after = state(&client).await?;
    assert_eq!(
        (&after["version"], &after["fence"], &after["changing"]),
        (&json!("1"), &json!(0), &json!(false))
    );
    assert_ne!(after["started"], before["started"]);
    order(&client, 4, &target(Role::Decode, "2")).await?;
    wait_version(&engine, "2").await?;
    assert_eq!(engine.seen().changes, 1);
    Ok(())
}

async fn crash() -> Outcome {
    let (engine, client) = busy().await?;
    assert_eq!(client.post("/_standin/crash", &json!({})).await?.status, 200);
    assert_eq!((engine.seen().cut, engine.seen().crashes), (vec!["a".to_owned()], 1));
    assert_eq!(client.get("/requests/a/stream?from=0").await?.status, 404);
    assert_eq!(status(&client.post(COMPLETIONS, &completion("b", "one", 1)).await), 200);
    Ok(())
}

async fn lost_order() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    engine.set_faults(EngineFaults { lose_orders: 1, ..EngineFaults::default() });
    assert_eq!(status(&order(&client, 1, &target(Role::Mixed, "2")).await), 0);
    wait_version(&engine, "2").await
}

async fn refused_order() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    client.post("/_standin/faults", &json!({"refuse_orders": 1})).await?;
    assert_eq!(order(&client, 1, &target(Role::Mixed, "2")).await?.status, 503);
    assert_eq!(state(&client).await?["changing"], false);
    assert_eq!(engine.seen().orders[0].outcome, OrderOutcome::Refused);
    Ok(())
}

async fn weights(weight_loads: u32, version: &str) -> Outcome {
    let weight_time = Duration::from_millis(10);
    let config = PlatformConfig { weight_loads, weight_time, ..PlatformConfig::default() };
    let platform = Platform::start(ANY_PORT, config).await.expect("a free port");
    let store = Some(format!("http://{}", platform.local_addr()));
    let (engine, client) = start(EngineConfig { weights: store, ..fast_engine() }).await;
    order(&client, 1, &target(Role::Mixed, "2")).await?;
    wait_until("the change has ended", LIMIT, || {
        engine.seen().changes == 1 || platform.seen().weight_refusals == 1
    })
    .await?;
    while state(&client).await?["changing"] == true {
        actix_rt::task::yield_now().await;
    }
    let after = state(&client).await?;
    assert_eq!(after["version"], version);
    assert_eq!(after["failed"], if weight_loads == 0 { json!("weights") } else { Value::Null });
    Ok(())
}

async fn malformed() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    let bad = json!({"fence": 1, "target": {"role": "cook"}});
    assert_eq!(client.post("/orders", &bad).await?.status, 400);
    assert_eq!(engine.seen().orders.len(), 0);
    Ok(())
}
