//! Output of the commands that read, and exit codes of failed ones.

use std::time::Duration;

use daisychute_standin::Platform;
use daisychute_standin::harness::{Program, wait_until};
use daisychute_standin::platform::Faults;
use serde_json::{Value, json};

use crate::support::{Client, entry, file, platform, refusing_entry};

/// Widths of tables, in columns.
const NARROW: usize = 60;
const WIDE: usize = 120;

/// Length of a body that the client reads at most, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Bounds the wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn process_status(name: &str, role: &str, configuration: u64) -> Value {
    json!({
        "process": name, "role": role, "incarnation": 1, "region": "morocco",
        "data_centre": "agdal", "instance": "i-1", "state": "ready",
        "revisions": {"configuration": configuration, "plan": 4, "term": 2},
        "in_flight": 3
    })
}

fn load_report() -> Value {
    let zero = json!({"secs": 0, "nanos": 0});
    json!({
        "queued": 2, "running": 5, "queued_prompt_tokens": 0, "pending_output_tokens": 0,
        "wait": zero, "prompt_token": zero, "between_tokens": zero, "age": zero
    })
}

fn endpoint_record(name: &str, data_centre: &str, state: &str) -> Value {
    let target =
        json!({"role": "prefill", "model": "clerk-lm", "version": "v1", "adapter": "plate-notes"});
    json!({
        "endpoint": name, "instance": "i-1", "data_centre": data_centre, "kind": "engine",
        "agent": "127.0.0.1:4100", "incarnation": 0, "state": state, "target": target
    })
}

/// Status of an entry at configuration 3. It reports two agents: one at configuration 2, and a later incarnation of one
/// whose own status is on the platform.
fn entry_status() -> Value {
    let mut status = process_status("entry-1", "entry", 3);
    let peer = |name: &str, incarnation: u64, configuration: u64, secs: u64| {
        json!({
            "process": name, "role": "agent", "data_centre": "hassan", "incarnation": incarnation,
            "revisions": {"configuration": configuration, "plan": 4, "term": 2},
            "heard": {"secs": secs, "nanos": 5}
        })
    };
    status["peers"] = json!([peer("agent-1", 1, 2, 7), peer("agent-2", 2, 3, 0)]);
    let mut endpoint = endpoint_record("clerk-lm-1", "hassan", "leaving");
    endpoint["load"] = load_report();
    status["endpoints"] = json!([endpoint]);
    status["a field of a later version"] = json!(true);
    status
}

/// Writes every kind of object that the client reads, some of them in the form of a later version.
fn put_objects(platform: &Platform) {
    let configuration = json!({
        "preference": "goodput", "classes": {}, "tenants": {}, "models": {}, "services": {}
    });
    let document = json!({"revision": 3, "configuration": configuration});
    platform.put("configurations", "rabat-sale", document);
    let target = json!({"role": "decode", "model": "clerk-lm", "version": "v1", "adapter": null});
    let endpoints = json!({
        "clerk-lm-1": {"target": target, "drain": true, "since": 4},
        "sign-feed-1": {"target": null, "drain": false, "since": 1}
    });
    let plan = json!({"term": 2, "revision": 4, "endpoints": endpoints});
    platform.put("plans", "morocco", plan);
    platform.put("drains", "morocco", json!({"endpoints": {"clerk-lm-2": true}}));
    for name in ["clerk-lm-1", "clerk-lm-2"] {
        platform.put_instance(name, endpoint_record(name, "agdal", "live"));
    }
    platform.put("statuses", "agent-2", process_status("agent-2", "agent", 1));
    platform.put("statuses", "agent-3", process_status("agent-3", "agent", 3));
    platform.put("statuses", "agent-4", json!({"of": "a later version"}));
}

async_tests! {
    async fn status_merges_all_sources() {
        let (platform, client) = platform().await;
        put_objects(&platform);
        let client = client.option("--entry", entry(vec![("/status", entry_status())]));
        insta::assert_snapshot!(client.run(&["status"]).await.shown());
        let json = client.clone().option("--output", "json").run(&["status"]).await.json();
        let behind = json["processes"].as_array().expect("a list").iter();
        let behind: Vec<_> = behind.filter(|it| it["behind"] == true).collect();
        assert_eq!(behind.len(), 1);
        assert_eq!(behind[0]["process"], "agent-1");
    }

    async fn status_without_the_platform() {
        let (platform, client) = platform().await;
        platform.set_faults(Faults { outage: true, ..Faults::default() });
        let client = client.option("--entry", entry(vec![("/status", entry_status())]));
        insta::assert_snapshot!(client.run(&["status"]).await.shown());
    }

    async fn status_without_entries() {
        let (platform, client) = platform().await;
        put_objects(&platform);
        let client = client.option("--entry", entry(vec![]));
        let run = client.run(&["status"]).await;
        assert_eq!(run.code, 0);
        assert!(run.stdout.contains(": the address has no such path (HTTP 404)"), "{}", run.stdout);
    }

    // Guards against an entry that refuses and is taken for one that is down.
    async fn status_tells_a_refusal_of_an_entry_from_no_answer() {
        let (platform, client) = platform().await;
        put_objects(&platform);
        let (refusing, closed) = (refusing_entry("503 Service Unavailable"), "127.0.0.1:1");
        let client = client.option("--entry", refusing).option("--entry", closed);
        let run = client.run(&["status"]).await;
        assert_eq!(run.code, 0, "{}", run.shown());
        let lines = [
            format!("entry {refusing}: the response has HTTP status 503"),
            format!("entry {closed}: no connection, or no answer in time"),
        ];
        for line in lines {
            assert!(run.stdout.lines().any(|it| it == line), "{line}: {}", run.stdout);
        }
        let json = client.clone().option("--output", "json").run(&["status"]).await.json();
        assert_eq!(json["silent_entries"], json!([refusing, closed]));
        let refused = &json["entry_errors"][refusing.to_string()];
        assert_eq!(refused, "the response has HTTP status 503", "{json}");
    }

    // Guards against an entry or front that answers at length and is taken for one that is down.
    async fn a_response_that_is_too_large_is_told_from_no_answer() {
        let large = || Value::String("x".repeat(MAX_RESPONSE_BYTES));
        let addr = entry(vec![("/status", large()), ("/metrics", large())]).to_string();
        for args in [&["--entry", &addr, "status"][..], &["fronts", &addr]] {
            let run = Client::new().run(args).await;
            assert_eq!(run.code, 1, "{}", run.shown());
            assert!(run.stderr.contains("the response is larger than 16 MiB"), "{}", run.shown());
        }
    }

    // Guards against a front that refuses and is taken for one that is down.
    async fn fronts_tell_refusals_from_no_answer() {
        let refusing = refusing_entry("403 Forbidden").to_string();
        let run = Client::new().run(&["fronts", &refusing, "127.0.0.1:1"]).await;
        assert_eq!(run.code, 1, "{}", run.shown());
        for reason in ["the response has HTTP status 403", "no connection, or no answer in time"] {
            assert!(run.stderr.contains(reason), "{}", run.shown());
        }
        let run = Client::new().run(&["fronts", "127.0.0.1:1"]).await;
        assert_eq!(run.code, 4, "{}", run.shown());
        assert!(run.stderr.contains("no connection, or no answer in time"), "{}", run.shown());
    }

    async fn plan() {
        let (platform, client) = platform().await;
        put_objects(&platform);
        let client = client.option("--entry", entry(vec![]));
        insta::assert_snapshot!(client.run(&["plan"]).await.shown());
    }

    async fn tables_fit_their_width() {
        let (platform, client) = platform().await;
        put_objects(&platform);
        let client = client.option("--entry", entry(vec![("/status", entry_status())]));
        for width in [NARROW, WIDE] {
            let client = client.clone().option("--width", width);
            for args in [["status"], ["plan"]] {
                let stdout = client.run(&args).await.stdout;
                let widest = stdout.lines().map(|it| it.chars().count()).max();
                assert!(widest.is_some_and(|it| it <= width), "{stdout}");
            }
        }
    }

    async fn a_platform_that_hangs_gives_exit_code_4() {
        let (platform, client) = platform().await;
        platform.set_faults(Faults { hang: true, ..Faults::default() });
        assert_eq!(client.run(&["get"]).await.code, 4);
    }
}

async_tests! {
    async fn watch_continues_after_an_outage() {
        let (platform, _) = platform().await;
        let url = format!("http://{}", platform.local_addr());
        let args = ["--platform", &url, "status", "--watch", "--interval", "20ms"];
        let program = Program::new(env!("CARGO_BIN_EXE_daisychute")).args(args);
        let process = program.start().expect("the client runs");
        let rounds = || process.stdout().iter().filter(|it| *it == "platform: up").count();
        wait_until("the client shows two rounds", WAIT_TIMEOUT, || rounds() >= 2).await.expect("the client continues");
        platform.set_faults(Faults { outage: true, ..Faults::default() });
        let shows_error = || process.stderr().iter().any(|it| it.contains("the platform gave no answer"));
        wait_until("the client shows the outage", WAIT_TIMEOUT, shows_error).await.expect("the client shows the outage");
        platform.set_faults(Faults::default());
        let before = rounds();
        wait_until("the client shows more rounds", WAIT_TIMEOUT, || rounds() > before).await.expect("the client continues");
    }
}

macro_rules! exit_codes {
    ($($name:ident: $args:expr => $code:literal, $expected:literal;)*) => {
        async_tests! {$(
            async fn $name() {
                let run = Client::new().run(&$args).await;
                assert_eq!(run.code, $code, "{}", run.shown());
                let shown = run.shown();
                assert!(shown.contains($expected), "{shown}");
            }
        )*}
    };
}

exit_codes! {
    no_command: [] => 2, "Usage";
    unknown_command: ["aply"] => 2, "apply";
    no_platform: ["get"] => 2, "DAISYCHUTE_PLATFORM";
    no_such_command: ["jobs"] => 2, "unrecognized";
    no_source: ["status"] => 2, "DAISYCHUTE_PLATFORM";
    bad_endpoint: ["drain", "clerk lm"] => 2, "a name holds";
    bad_entry: ["--entry", "entry-1:9000", "status"] => 2, "entry-1:9000";
    closed_platform: ["--platform", "http://127.0.0.1:1", "get"] => 4, "no connection";
    closed_entry: ["--entry", "127.0.0.1:1", "status"] => 4, "no answer";
    missing_file: ["--platform", "http://127.0.0.1:1", "apply", "none.ini"] => 5, "can't be read";
    completions: ["completions", "bash"] => 0, "_daisychute";
    unknown_shell: ["completions", "command.com"] => 2, "possible values";
}

async_tests! {
    async fn refused_file() {
        let path = file("refused.ini", "[class a]\nweight = 3\n");
        let client = Client::new().option("--platform", "http://127.0.0.1:1");
        for command in ["apply", "diff"] {
            let run = client.run(&[command, &path]).await;
            assert_eq!(run.code, 5, "{}", run.shown());
            assert!(run.stderr.contains("refused.ini:2:10"), "{}", run.stderr);
        }
    }
}
