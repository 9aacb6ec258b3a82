//! The plain service: counters and faults.

mod common;

use std::time::Duration;

use common::{LIMIT, body, cases, status};
use daisychute_standin::Service;
use daisychute_standin::harness::{ANY_PORT, Client, HarnessError, wait_until};
use daisychute_standin::service::{ServiceConfig, ServiceFaults};
use serde_json::{Value, json};

type Outcome = Result<(), HarnessError>;

cases! {
    a_response_reports_its_execution: response(),
    executions_are_counted_by_key: by_key(),
    a_refused_call_is_not_executed: fault(json!({"fail_before": 1}), 503, 0),
    a_call_without_response_is_executed: fault(json!({"crash_after": 1}), 0, 1),
    slow_calls_run_concurrently: slow(),
    a_hung_call_is_not_executed: hang(),
    load_is_reported: load(),
}

async fn start(service_time: Duration) -> (Service, Client) {
    let config = ServiceConfig { service_time, ..ServiceConfig::new("sign-feed") };
    let service = Service::start(ANY_PORT, config).await.expect("a free port");
    let client = Client::new(service.local_addr());
    (service, client)
}

async fn response() -> Outcome {
    let (service, client) = start(Duration::ZERO).await;
    let client = client.header("Idempotency-Key", "k").header("X-Request-Id", "a-1");
    let response = client.post("/counts/agdal", &json!({"in": 3})).await?;
    let expected =
        json!({"service": "sign-feed", "path": "/counts/agdal", "execution": 1, "echo": {"in": 3}});
    assert_eq!((response.status.as_u16(), body(&response)), (200, expected));
    assert_eq!(body(&client.get("/counts").await?)["echo"], Value::Null);
    assert_eq!(service.seen().request_ids, ["a-1", "a-1"]);
    Ok(())
}

async fn by_key() -> Outcome {
    let (_service, client) = start(Duration::ZERO).await;
    for (key, execution) in [("k", 1), ("l", 1), ("k", 2)] {
        let keyed = client.clone().header("Idempotency-Key", key);
        assert_eq!(body(&keyed.post("/counts", &json!({})).await?)["execution"], execution);
    }
    client.post("/panels", &json!({})).await?;
    let seen = body(&client.get("/_standin/seen").await?);
    assert_eq!(seen["by_key"], json!({"k": 2, "l": 1}));
    assert_eq!(seen["by_path"], json!({"/counts": 3, "/panels": 1}));
    assert_eq!((&seen["calls"], &seen["executions"]), (&json!(4), &json!(4)));
    Ok(())
}

async fn fault(faults: Value, code: u16, executions: u64) -> Outcome {
    let (service, client) = start(Duration::ZERO).await;
    client.post("/_standin/faults", &faults).await?;
    assert_eq!(status(&client.post("/counts", &json!({})).await), code);
    assert_eq!((service.seen().calls, service.seen().executions), (1, executions));
    assert_eq!(status(&client.post("/counts", &json!({})).await), 200);
    Ok(())
}

async fn slow() -> Outcome {
    let (service, client) = start(Duration::from_millis(20)).await;
    service.set_faults(ServiceFaults { slow_ms: 30, ..ServiceFaults::default() });
    let start_time = std::time::Instant::now();
    let (one, two) = (client.post("/a", &Value::Null), client.post("/b", &Value::Null));
    let (one, two) = tokio::join!(one, two);
    assert_eq!((status(&one), status(&two)), (200, 200));
    assert!(start_time.elapsed() >= Duration::from_millis(50));
    assert_eq!((service.seen().running, service.seen().most_running), (0, 2));
    Ok(())
}

async fn hang() -> Outcome {
    let (service, client) = start(Duration::ZERO).await;
    service.set_faults(ServiceFaults { hang: true, ..ServiceFaults::default() });
    let call = actix_rt::spawn(async move { client.get("/counts").await });
    wait_until("the call has arrived", LIMIT, || service.seen().calls == 1).await?;
    assert!(!call.is_finished());
    assert_eq!(service.seen().executions, 0);
    Ok(())
}

async fn load() -> Outcome {
    let (service, client) = start(Duration::from_millis(500)).await;
    let sender = client.clone();
    actix_rt::spawn(async move { sender.get("/counts").await });
    wait_until("the call runs", LIMIT, || service.seen().running == 1).await?;
    let load = body(&client.get("/load").await?);
    assert_eq!((&load["running"], &load["as_of_ms_ago"]), (&json!(1), &json!(0)));
    Ok(())
}
