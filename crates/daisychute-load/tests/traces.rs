//! Tests of the trace generator, the file format and the committed trace files.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use daisychute_load::generate::{Scenario, generate};
use daisychute_load::trace::{SampleDeployment, Trace, TraceError};

/// Seed of the committed traces.
const SEED: u64 = 1;

fn encode(trace: &Trace) -> Vec<u8> {
    let mut buf = Vec::new();
    trace.write(&mut buf).unwrap();
    buf
}

#[test]
fn the_committed_traces_match_the_generator() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    for deployment in SampleDeployment::ALL {
        for scenario in Scenario::ALL {
            let name = format!("{}-{}.jsonl", deployment.as_str(), scenario.as_str());
            let file = File::open(directory.join(&name)).unwrap();
            let committed = Trace::read(BufReader::new(file)).unwrap();
            assert!(committed == generate(deployment, scenario, SEED), "{name}");
        }
    }
}

#[test]
fn a_trace_is_read_as_it_was_written() {
    let trace = generate(SampleDeployment::Budapest, Scenario::EngineLoss, 3);
    let again = Trace::read(encode(&trace).as_slice()).unwrap();
    assert!(again == trace);
    assert!(encode(&again) == encode(&trace));
}

#[test]
fn another_seed_gives_another_trace() {
    let [first, second] =
        [1, 2].map(|it| generate(SampleDeployment::RabatSale, Scenario::Steady, it));
    assert!(first.requests != second.requests);
}

#[test]
fn the_header_has_the_deployment_sizes() {
    for (deployment, engines) in
        [(SampleDeployment::RabatSale, 12), (SampleDeployment::Budapest, 9)]
    {
        let header = generate(deployment, Scenario::Steady, 1).header;
        assert_eq!(header.deployment.engines.len(), engines);
        assert_eq!(header.deployment.workers.len(), 4);
        assert_eq!(header.deployment.data_centres.len(), 4);
    }
}

macro_rules! bad_files {
    ($($name:ident: $lines:expr => $error:pat,)*) => {$(
        #[test]
        fn $name() {
            let trace = generate(SampleDeployment::Budapest, Scenario::Steady, 1);
            let header = serde_json::to_string(&trace.header).unwrap();
            let lines: &[&str] = &$lines;
            let text = lines.join("\n").replace("HEADER", &header);
            let error = Trace::read(text.as_bytes()).unwrap_err();
            assert!(matches!(error, $error), "{error:?}");
        }
    )*};
}

bad_files! {
    an_empty_file: [] => TraceError::Empty,
    no_header: ["[1,0,0,0,0,0,1,1]"] => TraceError::Malformed { line: 1, .. },
    a_short_line: ["HEADER", "[1,0,0]"] => TraceError::Malformed { line: 2, .. },
    an_unknown_class: ["HEADER", "[1,9,0,0,0,0,1,1]"] => TraceError::BadRequest { line: 2 },
    an_unknown_tenant: ["HEADER", "[1,0,99,0,0,0,1,1]"] => TraceError::BadRequest { line: 2 },
    out_of_order: ["HEADER", "[5,0,0,0,0,0,1,1]", "[4,0,0,0,0,0,1,1]"] => TraceError::BadRequest { line: 3 },
}
