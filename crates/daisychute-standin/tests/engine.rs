//! The engine: responses, batching, caches and faults.

mod common;

use std::time::Duration;

use common::{
    LAST_CHUNK, LIMIT, body, cases, completion, events, fast_engine, raw_post, status,
    streamed_text, with,
};
use daisychute_standin::Engine;
use daisychute_standin::engine::{
    CacheEventType, CacheEvents, EngineConfig, EngineFaults, Load, chat_prompt, emitted_tokens,
    output_text, prompt_blocks,
};
use daisychute_standin::harness::{
    ANY_PORT, Client, FullResponse, HarnessError, wait_for, wait_until,
};
use quickcheck::quickcheck;
use serde_json::{Value, json};

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
const PROMPT: &str = "the barrier of level two counts";

type Outcome = Result<(), HarnessError>;

cases! {
    a_response_has_the_whole_text: full_response(),
    a_stream_has_one_token_per_event: streamed_response(),
    a_chat_output_depends_on_its_messages: chat_response(),
    a_generation_stops_at_its_natural_end: natural_end(),
    a_continued_generation_has_the_same_text: continued(5, 7),
    a_complete_generation_continues_with_nothing: continued(12, 0),
    a_wrong_continuation_is_refused: wrong_continuation(),
    another_model_is_refused: refused(json!({"model": "recon-llm"}), 404),
    a_request_beyond_the_kv_memory_is_refused: refused(json!({"max_tokens": 4_000_000_000_u32}), 400),
    a_malformed_request_is_refused: refused(json!({"prompt": 7}), 400),
    a_cut_stream_can_be_resumed: cut_stream(false),
    a_discarded_stream_can_not_be_resumed: cut_stream(true),
    a_truncated_stream_ends_inside_an_event: truncated(true),
    a_truncated_response_ends_inside_its_json: truncated(false),
    a_garbage_response_is_not_json: garbage(),
    a_refused_call_does_not_run: refusing(),
    a_smaller_priority_goes_first: priorities(),
    a_request_waits_for_kv_memory: memory_bound(),
    a_cancelled_request_stops: cancelled(),
    an_unknown_request_can_be_cancelled: cancel_unknown(),
    a_known_prefix_is_cached: cached_prefix(),
    a_small_cache_evicts: evictions(),
    a_used_chain_is_evicted_from_its_end: used_chain(),
    an_adapter_is_requested_by_name: adapter(),
    a_hung_call_does_not_run: hang(),
    the_last_requests_can_be_resumed: retained_requests(),
    cache_events_are_delayed: late_events(),
    cache_events_have_gaps: lost_events(),
    load_is_reported: load(),
    load_reports_are_delayed: late_load(),
    a_kv_cache_is_transferred_between_engines: kv_transfer(),
    a_prefill_generates_one_token: prefill_only(),
    an_unknown_kv_cache_is_not_found: kv_not_found(),
    a_step_takes_its_configured_time: step_time(),
}

quickcheck! {
    fn emitted_tokens_are_counted(prompt: String, tokens: u8) -> bool {
        let text = output_text(&prompt, tokens.into());
        emitted_tokens(&prompt, &text) == Some(tokens.into())
    }

    fn a_longer_prompt_keeps_its_blocks(words: u8, more: u8) -> bool {
        let prompt = |words: u32| (0..words).map(|it| format!("w{it} ")).collect::<String>();
        let short = prompt_blocks(&prompt(words.into()));
        prompt_blocks(&prompt(u32::from(words) + u32::from(more))).starts_with(&short)
    }
}

async fn start(config: EngineConfig) -> (Engine, Client) {
    let engine = Engine::start(ANY_PORT, config).await.expect("a free port");
    let client = Client::new(engine.local_addr());
    (engine, client)
}

fn streamed(id: &str, max_tokens: u32) -> Value {
    with(completion(id, PROMPT, max_tokens), &json!({"stream": true}))
}

fn words(count: u32) -> String {
    (0..count).map(|it| format!("w{it} ")).collect()
}

fn text(response: &FullResponse) -> String {
    body(response)["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
}

async fn full_response() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    let response = client.post(COMPLETIONS, &completion("a", PROMPT, 5)).await?;
    assert_eq!(text(&response), output_text(PROMPT, 5));
    let response = body(&response);
    assert_eq!(
        (&response["id"], &response["choices"][0]["finish_reason"]),
        (&json!("a"), &json!("length"))
    );
    let usage =
        json!({"prompt_tokens": 6, "cached_tokens": 0, "completion_tokens": 5, "total_tokens": 11});
    assert_eq!(response["usage"], usage);
    let seen = engine.seen();
    assert_eq!((seen.started, seen.finished), (vec!["a".to_owned()], vec!["a".to_owned()]));
    assert_eq!((seen.executions["a"], seen.prefill_tokens, seen.output_tokens), (1, 6, 5));
    Ok(())
}

async fn streamed_response() -> Outcome {
    let (_engine, client) = start(fast_engine()).await;
    let response = client.post(COMPLETIONS, &streamed("a", 5)).await?.text();
    assert!(response.ends_with("data: [DONE]\n\n"));
    let events = events(&response);
    assert_eq!((events.len(), streamed_text(&response)), (5, output_text(PROMPT, 5)));
    let reasons: Vec<_> = events.iter().map(|it| &it["choices"][0]["finish_reason"]).collect();
    assert_eq!(reasons, [&json!(null), &json!(null), &json!(null), &json!(null), &json!("length")]);
    assert_eq!(events[4]["usage"]["completion_tokens"], 5);
    Ok(())
}

async fn chat_response() -> Outcome {
    let (_engine, client) = start(fast_engine()).await;
    let messages = vec![json!({"role": "user", "content": PROMPT})];
    let expected = output_text(&chat_prompt(&messages), 4);
    let mut req = json!({"model": "clerk-lm", "messages": messages, "max_tokens": 4});
    let whole = body(&client.post(CHAT, &req).await?);
    assert_eq!(whole["choices"][0]["message"], json!({"role": "assistant", "content": expected}));
    req["stream"] = json!(true);
    assert_eq!(streamed_text(&client.post(CHAT, &req).await?.text()), expected);
    Ok(())
}

async fn natural_end() -> Outcome {
    let (_engine, client) = start(EngineConfig { natural_tokens: Some(3), ..fast_engine() }).await;
    let response = client.post(COMPLETIONS, &completion("a", PROMPT, 5)).await?;
    assert_eq!(text(&response), output_text(PROMPT, 3));
    assert_eq!(body(&response)["choices"][0]["finish_reason"], "stop");
    Ok(())
}

async fn continued(from: u32, remaining: u32) -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    let emitted = output_text(PROMPT, from);
    let req = with(completion("a", PROMPT, remaining), &json!({"continue_from": emitted}));
    let response = client.post(COMPLETIONS, &req).await?;
    assert_eq!(emitted + &text(&response), output_text(PROMPT, from + remaining));
    assert_eq!(engine.seen().continuations[0].from, from);
    Ok(())
}

async fn wrong_continuation() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    let emitted = output_text("another prompt", 3);
    let req = with(completion("a", PROMPT, 5), &json!({"continue_from": emitted}));
    assert_eq!(client.post(COMPLETIONS, &req).await?.status, 400);
    assert_eq!((engine.seen().bad_continuations, engine.seen().started.len()), (1, 0));
    Ok(())
}

async fn refused(fields: Value, code: u16) -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    let req = with(completion("a", PROMPT, 5), &fields);
    assert_eq!(client.post(COMPLETIONS, &req).await?.status, code);
    assert_eq!(engine.seen().started.len(), 0);
    Ok(())
}

async fn cut_stream(discards: bool) -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    engine.set_faults(EngineFaults {
        cut_streams: 1,
        cut_after: 2,
        cut_loses: discards,
        ..EngineFaults::default()
    });
    let first = raw_post(engine.local_addr(), COMPLETIONS, &streamed("a", 6)).await;
    assert_eq!(streamed_text(&first), output_text(PROMPT, 2));
    assert!(!first.ends_with(LAST_CHUNK));
    let rest = client.get("/requests/a/stream?from=2").await?;
    if discards {
        assert_eq!((rest.status.as_u16(), engine.seen().cut), (404, vec!["a".to_owned()]));
        return Ok(());
    }
    assert_eq!(streamed_text(&first) + &streamed_text(&rest.text()), output_text(PROMPT, 6));
    let end = client.get("/requests/a/stream?from=6").await?.text();
    assert_eq!(events(&end)[0]["choices"][0]["finish_reason"], "length");
    assert_eq!((engine.seen().executions["a"], engine.seen().resumed), (1, 2));
    Ok(())
}

async fn truncated(stream: bool) -> Outcome {
    let (engine, _client) = start(fast_engine()).await;
    engine.set_faults(EngineFaults { truncate: 1, ..EngineFaults::default() });
    let req = with(completion("a", PROMPT, 2), &json!({"stream": stream}));
    let received = raw_post(engine.local_addr(), COMPLETIONS, &req).await;
    assert!(received.contains("\"choices\""));
    assert!(!received.contains("[DONE]") && !received.ends_with(LAST_CHUNK));
    assert_eq!(events(&received).len(), 0);
    Ok(())
}

async fn garbage() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    engine.set_faults(EngineFaults { garbage: 1, ..EngineFaults::default() });
    let response = client.post(COMPLETIONS, &completion("a", PROMPT, 2)).await?;
    assert_eq!((response.status.as_u16(), response.json::<Value>().is_err()), (200, true));
    assert_eq!(
        text(&client.post(COMPLETIONS, &completion("b", PROMPT, 2)).await?),
        output_text(PROMPT, 2)
    );
    Ok(())
}

async fn refusing() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    client.post("/_standin/faults", &json!({"refuse": 1})).await?;
    assert_eq!(client.post(COMPLETIONS, &completion("a", PROMPT, 2)).await?.status, 503);
    assert_eq!(client.post(COMPLETIONS, &completion("b", PROMPT, 2)).await?.status, 200);
    assert_eq!(engine.seen().started, ["b"]);
    Ok(())
}

/// Sends requests without waiting for their responses, each after the previous one has arrived at the engine.
async fn send_all(engine: &Engine, client: &Client, reqs: &[Value]) -> Outcome {
    for req in reqs {
        let before = load_report(client).await?;
        let (client, req) = (client.clone(), req.clone());
        actix_rt::spawn(async move { client.post(COMPLETIONS, &req).await });
        let poller = Client::new(engine.local_addr());
        wait_for("the request has arrived", LIMIT, async || {
            let load = load_report(&poller).await.ok()?;
            (load.running + load.waiting > before.running + before.waiting).then_some(())
        })
        .await?;
    }
    Ok(())
}

async fn load_report(client: &Client) -> Result<Load, HarnessError> {
    client.get("/load").await?.json()
}

fn one_at_a_time() -> EngineConfig {
    EngineConfig { max_batch: 1, step: Duration::from_millis(20), ..fast_engine() }
}

async fn priorities() -> Outcome {
    let (engine, client) = start(one_at_a_time()).await;
    let req = |id: &str, priority: i64, tokens: u32| {
        with(completion(id, PROMPT, tokens), &json!({"priority": priority}))
    };
    let reqs = [req("a", 0, 30), req("b", 9, 1), req("c", 5, 1), req("d", 9, 1), req("e", -1, 1)];
    send_all(&engine, &client, &reqs).await?;
    wait_until("all have finished", LIMIT, || engine.seen().finished.len() == 5).await?;
    assert_eq!(engine.seen().started, ["a", "e", "c", "b", "d"]);
    Ok(())
}

async fn memory_bound() -> Outcome {
    let config = EngineConfig { kv_tokens: 40, step: Duration::from_millis(40), ..fast_engine() };
    let (engine, client) = start(config).await;
    send_all(&engine, &client, &[completion("a", PROMPT, 24), completion("b", PROMPT, 5)]).await?;
    let load = load_report(&client).await?;
    assert_eq!((load.running, load.waiting, load.kv_free_tokens), (1, 1, 10));
    assert_eq!(load.prompt_tokens_waiting, 6);
    wait_until("both have finished", LIMIT, || engine.seen().finished.len() == 2).await
}

async fn cancelled() -> Outcome {
    let (engine, client) = start(one_at_a_time()).await;
    let reqs = [completion("a", PROMPT, 1_000), completion("b", PROMPT, 1)];
    send_all(&engine, &client, &reqs).await?;
    assert_eq!(client.post("/requests/a/cancel", &json!({})).await?.status, 200);
    wait_until("the other runs", LIMIT, || engine.seen().finished == ["b"]).await?;
    assert_eq!(engine.seen().cancelled, ["a"]);
    Ok(())
}

async fn cancel_unknown() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    assert_eq!(client.post("/requests/a/cancel", &json!({})).await?.status, 200);
    assert_eq!(client.get("/requests/a/stream?from=0").await?.status, 404);
    assert_eq!(engine.seen().cancelled.len(), 0);
    Ok(())
}

async fn cached_prefix() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    let prompt = words(40);
    let first = client.post(COMPLETIONS, &completion("a", &prompt, 1)).await?;
    let second = client.post(COMPLETIONS, &completion("b", &(prompt.clone() + "more"), 1)).await?;
    assert_eq!(body(&first)["usage"]["cached_tokens"], 0);
    assert_eq!(body(&second)["usage"]["cached_tokens"], 32);
    assert_eq!(engine.seen().prefill_tokens, 40 + 9);
    let events: CacheEvents = client.get("/cache/events?from=0").await?.json()?;
    assert_eq!((events.next, events.lost, events.events.len()), (1, false, 1));
    assert_eq!(events.events[0].r#type, CacheEventType::Stored);
    assert_eq!(events.events[0].blocks, prompt_blocks(&prompt));
    Ok(())
}

async fn evictions() -> Outcome {
    let (_engine, client) = start(EngineConfig { cache_blocks: 2, ..fast_engine() }).await;
    let other = "other ".repeat(16);
    client.post(COMPLETIONS, &completion("a", &words(32), 1)).await?;
    client.post(COMPLETIONS, &completion("b", &other, 1)).await?;
    let again = client.post(COMPLETIONS, &completion("c", &words(32), 1)).await?;
    assert_eq!(body(&again)["usage"]["cached_tokens"], 16);
    let events: CacheEvents = client.get("/cache/events?from=2").await?.json()?;
    let blocks = prompt_blocks(&words(32));
    assert_eq!(events.events[0].blocks, [blocks[1]]);
    assert_eq!(events.events[0].r#type, CacheEventType::Evicted);
    Ok(())
}

async fn used_chain() -> Outcome {
    let config = EngineConfig { cache_blocks: 3, prefill_chunk: 1, ..fast_engine() };
    let (engine, client) = start(config).await;
    let blocks = prompt_blocks(&words(48));
    client.post(COMPLETIONS, &completion("a", &words(48), 1)).await?;
    // This request uses the cached blocks and is cancelled before its own blocks are cached.
    let longer = words(48) + &"tail ".repeat(10_000);
    send_all(&engine, &client, &[completion("b", &longer, 1)]).await?;
    client.post("/requests/b/cancel", &json!({})).await?;
    client.post(COMPLETIONS, &completion("c", &"other ".repeat(16), 1)).await?;
    let events: CacheEvents = client.get("/cache/events?from=0").await?.json()?;
    let last = events.events.last().expect("an event");
    assert_eq!((last.r#type, &last.blocks), (CacheEventType::Evicted, &vec![blocks[2]]));
    Ok(())
}

async fn adapter() -> Outcome {
    let mut config = fast_engine();
    config.target.adapter = Some("plates".try_into().expect("a name"));
    let (_engine, client) = start(config).await;
    let req = with(completion("a", PROMPT, 2), &json!({"model": "plates"}));
    assert_eq!(text(&client.post(COMPLETIONS, &req).await?), output_text(PROMPT, 2));
    Ok(())
}

async fn hang() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    engine.set_faults(EngineFaults { hang: true, ..EngineFaults::default() });
    let hung = client.clone();
    let call = actix_rt::spawn(async move { hung.post(COMPLETIONS, &streamed("a", 2)).await });
    wait_until("the call has arrived", LIMIT, || engine.seen().calls == 1).await?;
    engine.set_faults(EngineFaults::default());
    client.post(COMPLETIONS, &streamed("b", 2)).await?;
    assert!(!call.is_finished());
    assert_eq!(engine.seen().started, ["b"]);
    Ok(())
}

async fn retained_requests() -> Outcome {
    let (_engine, client) = start(EngineConfig { retained_requests: 2, ..fast_engine() }).await;
    for id in ["a", "b", "c"] {
        client.post(COMPLETIONS, &completion(id, PROMPT, 2)).await?;
    }
    assert_eq!(client.get("/requests/a/stream?from=0").await?.status, 404);
    let retained = client.get("/requests/b/stream?from=0").await?.text();
    assert_eq!(streamed_text(&retained), output_text(PROMPT, 2));
    Ok(())
}

async fn late_events() -> Outcome {
    let event_lag = Duration::from_millis(500);
    let (_engine, client) = start(EngineConfig { event_lag, ..fast_engine() }).await;
    client.post(COMPLETIONS, &completion("a", &words(16), 1)).await?;
    let early: CacheEvents = client.get("/cache/events?from=0").await?.json()?;
    assert_eq!((early.next, early.events.len()), (0, 0));
    wait_for("the event is published", LIMIT, async || {
        let events: CacheEvents = client.get("/cache/events?from=0").await.ok()?.json().ok()?;
        (events.next == 1).then_some(())
    })
    .await
}

async fn lost_events() -> Outcome {
    let (_engine, client) = start(EngineConfig { event_loss: Some(2), ..fast_engine() }).await;
    for prompt in ["a ", "b ", "c "] {
        client.post(COMPLETIONS, &completion(prompt, &prompt.repeat(16), 1)).await?;
    }
    let events: CacheEvents = client.get("/cache/events?from=0").await?.json()?;
    let seqs: Vec<_> = events.events.iter().map(|it| it.seq).collect();
    assert_eq!((seqs, events.next, events.lost), (vec![0, 2], 3, true));
    let later: CacheEvents = client.get("/cache/events?from=2").await?.json()?;
    assert!(!later.lost);
    Ok(())
}

async fn load() -> Outcome {
    let (engine, client) = start(one_at_a_time()).await;
    let reqs = [completion("a", PROMPT, 100), completion("b", PROMPT, 100)];
    send_all(&engine, &client, &reqs).await?;
    let load = load_report(&client).await?;
    let kv_free_tokens = engine_kv_tokens() - 106;
    let expected =
        Load { running: 1, waiting: 1, prompt_tokens_waiting: 6, kv_free_tokens, as_of_ms_ago: 0 };
    assert_eq!(load, expected);
    Ok(())
}

fn engine_kv_tokens() -> u32 {
    fast_engine().kv_tokens
}

async fn late_load() -> Outcome {
    let load_lag = Duration::from_millis(500);
    let (engine, client) = start(EngineConfig { load_lag, ..one_at_a_time() }).await;
    let sender = client.clone();
    let req = completion("a", PROMPT, 1_000);
    actix_rt::spawn(async move { sender.post(COMPLETIONS, &req).await });
    wait_until("it runs", LIMIT, || engine.seen().started == ["a"]).await?;
    let load = load_report(&client).await?;
    assert_eq!((load.running, load.as_of_ms_ago), (0, 500));
    wait_for("the report shows it", LIMIT, async || {
        (load_report(&client).await.ok()?.running == 1).then_some(())
    })
    .await
}

async fn kv_transfer() -> Outcome {
    let (prefill, from) = start(fast_engine()).await;
    let (decode, to) = start(fast_engine()).await;
    let first = with(completion("a", PROMPT, 9), &json!({"prefill_only": true}));
    let emitted = text(&from.post(COMPLETIONS, &first).await?);
    let export = body(&from.post("/kv/export", &json!({"request": "a"})).await?);
    assert_eq!(export["tokens"], 7);
    assert_eq!(export["bytes"], 7 * 131_072);
    assert_eq!(export["from"], prefill.local_addr().to_string());
    let import = json!({"handle": export["handle"], "from": export["from"]});
    assert_eq!(to.post("/kv/import", &import).await?.status, 200);
    let fields = json!({"kv_handle": export["handle"], "continue_from": emitted});
    let rest = to.post(COMPLETIONS, &with(completion("a", PROMPT, 8), &fields)).await?;
    assert_eq!(emitted + &text(&rest), output_text(PROMPT, 9));
    assert_eq!(body(&rest)["usage"]["cached_tokens"], 6);
    let seen = decode.seen();
    assert_eq!((seen.imports, seen.imported_bytes, seen.kv_misses), (1, 7 * 131_072, 0));
    Ok(())
}

async fn prefill_only() -> Outcome {
    let (_engine, client) = start(fast_engine()).await;
    let req = with(completion("a", PROMPT, 9), &json!({"prefill_only": true}));
    let response = client.post(COMPLETIONS, &req).await?;
    assert_eq!(text(&response), output_text(PROMPT, 1));
    Ok(())
}

async fn kv_not_found() -> Outcome {
    let (engine, client) = start(fast_engine()).await;
    assert_eq!(client.post("/kv/export", &json!({"request": "a"})).await?.status, 404);
    let import = json!({"handle": "x", "from": engine.local_addr().to_string()});
    assert_eq!(client.post("/kv/import", &import).await?.status, 404);
    let req = with(completion("a", PROMPT, 2), &json!({"kv_handle": "x"}));
    assert_eq!(text(&client.post(COMPLETIONS, &req).await?), output_text(PROMPT, 2));
    assert_eq!(engine.seen().kv_misses, 1);
    Ok(())
}

async fn step_time() -> Outcome {
    let config = EngineConfig {
        step: Duration::from_millis(2),
        prefill_token: Duration::from_millis(1),
        sequence: Duration::from_millis(1),
        ..fast_engine()
    };
    let (_engine, client) = start(config).await;
    let start_time = std::time::Instant::now();
    assert_eq!(status(&client.post(COMPLETIONS, &completion("a", PROMPT, 10)).await), 200);
    // Ten steps of 3 ms and six prompt tokens of 1 ms.
    assert!(start_time.elapsed() >= Duration::from_millis(36));
    Ok(())
}
