//! Settings that are refused by `--check`, and that a process doesn't start with.

use std::time::Duration;

use daisychute_standin::harness::{Program, wait_until};

const LIMIT: Duration = Duration::from_secs(10);
const GOOD: &str = "[process]\nname = entry-1\nrole = entry\nregion = morocco\ndata-centre = agdal\ninstance = i-1\n\
    [listen]\ncallers = 127.0.0.1:0\ninner = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
    [platform]\nurl = http://127.0.0.1:9\ndeployment = morocco\n";

macro_rules! refused {
    ($($name:ident: $text:expr => $words:expr;)*) => {$(
        #[test]
        fn $name() {
            let words: &[&str] = &$words;
            actix_rt::System::new().block_on(async {
                for arguments in [vec!["--check"], vec![]] {
                    let code = run(&arguments, $text, words).await;
                    assert_eq!(code, Some(1), "{arguments:?}");
                }
            });
        }
    )*};
}

refused! {
    unknown_section: format!("{GOOD}[limit]\nconnections = 9\n") => ["limit", "limits"];
    unknown_key: format!("{GOOD}[limits]\nconnection = 9\n") => ["connection", "connections"];
    repeated_key: format!("{GOOD}[limits]\nconnections = 9\nconnections = 9\n") => ["connections"];
    not_a_number: format!("{GOOD}[limits]\nconnections = many\n") => ["limits", "connections", "many"];
    out_of_range: format!("{GOOD}[limits]\nconnections = 0\n") => ["limits", "connections", "0"];
    unknown_role: GOOD.replace("role = entry", "role = planner") => ["role", "planner", "agent"];
    no_address: GOOD.replace("inner = 127.0.0.1:0", "inner = localhost") => ["inner", "localhost"];
    missing_key: GOOD.replace("name = entry-1\n", "") => ["process", "name"];
    no_ini: "\u{1}\u{2}[[[" => [".ini"];
    empty_file: "" => ["process"];
    oversized_file: format!("{GOOD}; {}\n", "a".repeat(2 << 20)) => [".ini"];
}

#[test]
fn good_settings_are_valid() {
    actix_rt::System::new().block_on(async {
        assert_eq!(run(&["--check"], GOOD, &[]).await, Some(0));
    });
}

/// The exit code of the daemon, once its standard error has all these words.
async fn run(arguments: &[&str], settings: impl Into<String>, words: &[&str]) -> Option<i32> {
    let program = Program::built("daisychuted").expect("the daemon is built");
    let program = program.args(arguments.iter().copied()).settings(settings);
    let mut process = program.start().expect("the daemon starts");
    let status = process.wait_exit(LIMIT).await.expect("the daemon ends");
    // The end of what it wrote may still be on the way.
    let says_all = || {
        let stderr = process.stderr().join("\n");
        words.iter().all(|it| stderr.contains(it))
    };
    if let Err(error) = wait_until("every word is said", LIMIT, says_all).await {
        panic!("{error}: {words:?} in {}", process.stderr().join("\n"));
    }
    status.code()
}
