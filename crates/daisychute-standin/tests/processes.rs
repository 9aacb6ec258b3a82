//! The stand-ins as processes, and the harness that runs processes.

mod common;

use std::fs;
use std::os::unix::process::ExitStatusExt as _;
use std::time::Duration;

use common::{LIMIT, body, cases, completion};
use daisychute_standin::engine::output_text;
use daisychute_standin::harness::{
    Client, HarnessError, Process, Program, free_port, wait_for, wait_until,
};
use serde_json::{Value, json};

const SIGKILL: i32 = 9;

type Outcome = Result<(), HarnessError>;

cases! {
    the_platform_lists_its_instances: platform(),
    an_engine_responds: engine(),
    a_relay_forwards_to_a_service: relay(),
    an_engine_process_can_crash_in_a_change: engine_exits(),
    a_port_in_use_is_reported: port_in_use(),
    a_killed_process_stops_serving: killed(),
    a_paused_process_can_be_resumed: paused(),
    a_dropped_process_is_killed: dropped(),
    settings_are_passed_as_a_file: settings(),
    an_unknown_program_is_reported: unknown_program(),
    waiting_for_a_missing_line_times_out: no_line(),
    waiting_for_a_false_condition_times_out: no_condition(),
}

async fn start(program: Program) -> Result<(Process, Client), HarnessError> {
    let mut process = program.start()?;
    let client = Client::new(process.wait_listening(LIMIT).await?);
    Ok((process, client))
}

async fn stop(mut process: Process) -> Outcome {
    process.terminate()?;
    assert!(process.wait_exit(LIMIT).await?.success());
    Ok(())
}

async fn platform() -> Outcome {
    let path = std::env::temp_dir().join(format!("instances-{}.json", std::process::id()));
    let record = json!({"endpoint": "clerk-lm-1", "state": "live"});
    fs::write(&path, json!([record]).to_string()).expect("the file can be written");
    let program = Program::standin("platform")?.arg("--instances").arg(path.to_string_lossy());
    let started = start(program).await;
    fs::remove_file(&path).expect("the file can be removed");
    let (process, client) = started?;
    let list = body(&client.get("/apis/daisychute.dev/v1/instances").await?);
    assert_eq!(
        (&list["items"][0]["metadata"]["name"], &list["items"][0]["spec"]),
        (&json!("clerk-lm-1"), &record)
    );
    stop(process).await
}

async fn engine() -> Outcome {
    let args = ["--role", "decode", "--model-version", "7", "--ignore-fence", "--token-us", "100"];
    let (process, client) = start(Program::standin("engine")?.args(args)).await?;
    let state = body(&client.get("/state").await?);
    let reported = (&state["role"], &state["version"], &state["checks_fence"]);
    assert_eq!(reported, (&json!("decode"), &json!("7"), &json!(false)));
    let response = body(&client.post("/v1/completions", &completion("a", "one", 3)).await?);
    assert_eq!(response["choices"][0]["text"], output_text("one", 3));
    stop(process).await
}

async fn relay() -> Outcome {
    let program = Program::standin("service")?.args(["--name", "sign-feed"]);
    let mut service = program.start()?;
    let to = service.wait_listening(LIMIT).await?;
    let (mut relay, client) =
        start(Program::standin("relay")?.arg("--to").arg(to.to_string())).await?;
    assert_eq!(body(&client.get("/counts").await?)["service"], "sign-feed");
    let admin = Client::new(relay.wait_address("admin ", LIMIT).await?);
    assert_eq!(body(&admin.get("/seen").await?)["accepted"], 1);
    stop(relay).await?;
    stop(service).await
}

async fn engine_exits() -> Outcome {
    let (mut process, client) =
        start(Program::standin("engine")?.args(["--change-ms", "20"])).await?;
    client.post("/_standin/faults", &json!({"crash_change": "exit"})).await?;
    let target = json!({"role": "decode", "model": "clerk-lm", "version": "1", "adapter": null});
    client.post("/orders", &json!({"fence": 1, "target": target})).await?;
    assert_eq!(process.wait_exit(LIMIT).await?.code(), Some(101));
    Ok(())
}

async fn port_in_use() -> Outcome {
    let port = free_port()?;
    let addr = format!("127.0.0.1:{port}");
    let program =
        Program::built("daisychute-standin")?.args(["platform", "--listen", addr.as_str()]);
    let (_first, _client) = start(program.clone()).await?;
    let mut second = program.start()?;
    assert_eq!(second.wait_exit(LIMIT).await?.code(), Some(1));
    wait_until("the reason is written", LIMIT, || {
        second.stderr().iter().any(|it| it.contains(&addr))
    })
    .await?;
    let listening = second.wait_listening(LIMIT).await;
    assert!(matches!(listening, Err(HarnessError::Ended { .. })));
    Ok(())
}

async fn killed() -> Outcome {
    let (mut process, client) = start(Program::standin("platform")?).await?;
    process.kill()?;
    assert_eq!(process.wait_exit(LIMIT).await?.signal(), Some(SIGKILL));
    assert!(matches!(client.get("/_standin/seen").await, Err(HarnessError::NoResponse { .. })));
    assert!(matches!(process.terminate(), Err(HarnessError::Ended { .. })));
    Ok(())
}

async fn paused() -> Outcome {
    let (mut process, client) = start(Program::standin("platform")?).await?;
    process.pause()?;
    let call = actix_rt::spawn(async move { client.get("/_standin/seen").await });
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    assert!(!call.is_finished());
    process.resume()?;
    assert_eq!(call.await.expect("the task ends")?.status, 200);
    Ok(())
}

async fn dropped() -> Outcome {
    let (mut process, client) = start(Program::standin("platform")?).await?;
    let proc = format!("/proc/{}", process.id());
    assert!(fs::exists(&proc).unwrap_or_default());
    process.pause()?;
    drop(process);
    assert!(!fs::exists(&proc).unwrap_or_default());
    assert!(client.get("/_standin/seen").await.is_err());
    Ok(())
}

async fn settings() -> Outcome {
    let text = "[process]\nname = entry-1\n";
    let mut process = Program::new("/bin/cat").settings(text).start()?;
    assert_eq!(process.wait_line("name = ", LIMIT).await?, "entry-1");
    assert!(process.wait_exit(LIMIT).await?.success());
    assert_eq!(process.stdout(), ["[process]", "name = entry-1"]);
    Ok(())
}

async fn unknown_program() -> Outcome {
    assert!(matches!(Program::built("no-such-program"), Err(HarnessError::NoProgram { .. })));
    let started = Program::new("/no/such/program").start();
    assert!(matches!(started, Err(HarnessError::Start { .. })));
    Ok(())
}

async fn no_line() -> Outcome {
    let (mut process, _client) = start(Program::standin("platform")?).await?;
    let line = process.wait_line("no such line", Duration::from_millis(30)).await;
    assert!(matches!(line, Err(HarnessError::Timeout { .. })));
    Ok(())
}

async fn no_condition() -> Outcome {
    let limit = Duration::from_millis(20);
    let never = wait_until("never", limit, || false).await;
    assert!(matches!(never, Err(HarnessError::Timeout { .. })));
    let stuck = wait_for("stuck", limit, std::future::pending::<Option<Value>>).await;
    assert!(matches!(stuck, Err(HarnessError::Timeout { .. })));
    Ok(())
}
