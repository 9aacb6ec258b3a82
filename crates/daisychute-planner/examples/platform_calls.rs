//! Measures the calls and bytes per second that control shells exchange with the platform store in steady state, for
//! several numbers of processes.
//!
//! Run with `cargo run --release -p daisychute-planner --example platform_calls -- 8 16 32 64`.

use std::env;
use std::time::Duration;

use daisychute_core::{
    Configuration, Incarnation, ProcessName, ProcessRole, ProcessState, ProcessStatus, Revision,
};
use daisychute_planner::{Control, ControlOutput, ControlSettings};
use daisychute_standin::Platform;
use daisychute_standin::platform::{PlatformConfig, Seen};
use daisychute_store::{ClientSettings, ConfigurationDocument, ObjectClient};
use tokio::sync::mpsc::UnboundedReceiver;

const WARM_UP: Duration = Duration::from_secs(45);
const MEASUREMENT: Duration = Duration::from_secs(60);
const DATA_CENTRES: [&str; 4] = ["agdal", "hassan", "tabriquet", "hay-riad"];
/// Two of five processes are entries, the ratio of the fleet that the system is designed for.
const ENTRIES_PER_FIVE: usize = 2;

fn main() {
    for count in env::args().skip(1).filter_map(|it| it.parse().ok()) {
        actix_rt::System::new().block_on(measure(count));
    }
}

async fn measure(count: usize) {
    let addr = ([127, 0, 0, 1], 0).into();
    let platform = Platform::start(addr, PlatformConfig::default()).await.expect("a free port");
    let document = ConfigurationDocument {
        revision: Revision::new(1),
        configuration: Configuration::default(),
    };
    let spec = serde_json::to_value(document).expect("a configuration is JSON");
    platform.put("configurations", "signs", spec);
    for number in 0..count {
        actix_rt::spawn(run_process(format!("http://{}", platform.local_addr()), number));
    }
    actix_rt::time::sleep(WARM_UP).await;
    let before = platform.seen();
    actix_rt::time::sleep(MEASUREMENT).await;
    report(count, &before, &platform.seen());
}

async fn run_process(url: String, number: usize) {
    let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
    let is_entry = number % 5 < ENTRIES_PER_FIVE;
    let name = ProcessName::try_from(format!("process-{number}")).expect("a name");
    let mut settings = ControlSettings::entry(
        "signs".try_into().expect("a name"),
        "morocco".try_into().expect("a name"),
        data_centre.try_into().expect("a name"),
        name.clone(),
        Incarnation::new(1),
    );
    if !is_entry {
        settings = settings.agent();
    }
    let (control, outputs) = Control::start(settings, ObjectClient::new(ClientSettings::new(url)));
    publish(control, outputs, status(name, data_centre, is_entry)).await;
}

async fn publish(
    control: Control,
    mut outputs: UnboundedReceiver<ControlOutput>,
    status: ProcessStatus,
) {
    while let Some(output) = outputs.recv().await {
        if matches!(output, ControlOutput::StatusDue) {
            control.publish_status(status.clone());
        }
    }
}

fn status(process: ProcessName, data_centre: &str, is_entry: bool) -> ProcessStatus {
    ProcessStatus {
        process,
        role: if is_entry { ProcessRole::Entry } else { ProcessRole::Agent },
        incarnation: Incarnation::new(1),
        region: "morocco".try_into().expect("a name"),
        data_centre: data_centre.try_into().expect("a name"),
        instance: "i-1".try_into().expect("a name"),
        state: ProcessState::Ready,
        duties: Vec::new(),
        revisions: Default::default(),
        platform_heard: None,
        in_flight: 0,
        endpoints: Vec::new(),
        peers: Vec::new(),
    }
}

fn report(count: usize, before: &Seen, after: &Seen) {
    let per_second = |from: u64, to: u64| (to - from) as f64 / MEASUREMENT.as_secs_f64();
    let bytes = per_second(before.bytes_in + before.bytes_out, after.bytes_in + after.bytes_out);
    println!("{count} processes: {bytes:.0} B/s, {} open watches", after.open_watches);
    for (verb, kinds) in &after.calls {
        for kind in kinds.keys() {
            let rate = per_second(before.calls(verb, kind), after.calls(verb, kind));
            println!("  {verb} {kind}: {rate:.2}/s");
        }
    }
}
