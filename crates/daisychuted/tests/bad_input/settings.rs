//! Invalid settings: `--check` refuses them, and the daemon doesn't start with them.

use std::time::Duration;

use daisychute_standin::harness::{Program, wait_until};

const TIMEOUT: Duration = Duration::from_secs(10);
const VALID_SETTINGS: &str = "[process]\nname = entry-1\nrole = entry\nregion = morocco\ndata-centre = agdal\ninstance = i-1\n\
    [listen]\ncallers = 127.0.0.1:0\ninner = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
    [platform]\nurl = http://127.0.0.1:9\ndeployment = morocco\n";

macro_rules! refused_settings {
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

refused_settings! {
    unknown_section: format!("{VALID_SETTINGS}[limit]\nconnections = 9\n") => ["limit", "limits"];
    unknown_key: format!("{VALID_SETTINGS}[limits]\nconnection = 9\n") => ["connection", "connections"];
    repeated_key: format!("{VALID_SETTINGS}[limits]\nconnections = 9\nconnections = 9\n") => ["connections"];
    not_a_number: format!("{VALID_SETTINGS}[limits]\nconnections = many\n") => ["limits", "connections", "many"];
    out_of_range: format!("{VALID_SETTINGS}[limits]\nconnections = 0\n") => ["limits", "connections", "0"];
    unknown_role: VALID_SETTINGS.replace("role = entry", "role = planner") => ["role", "planner", "agent"];
    no_address: VALID_SETTINGS.replace("inner = 127.0.0.1:0", "inner = localhost") => ["inner", "localhost"];
    missing_key: VALID_SETTINGS.replace("name = entry-1\n", "") => ["process", "name"];
    no_ini: "\u{1}\u{2}[[[" => [".ini"];
    empty_file: "" => ["process"];
    oversized_file: format!("{VALID_SETTINGS}; {}\n", "a".repeat(2 << 20)) => [".ini"];
}

#[test]
fn good_settings_are_valid() {
    actix_rt::System::new().block_on(async {
        assert_eq!(run(&["--check"], VALID_SETTINGS, &[]).await, Some(0));
    });
}

/// Runs the daemon and returns its exit code. Panics unless its standard error contains all the words.
async fn run(arguments: &[&str], settings: impl Into<String>, words: &[&str]) -> Option<i32> {
    let program = Program::built("daisychuted").expect("the daemon is built");
    let program = program.args(arguments.iter().copied()).settings(settings);
    let mut process = program.start().expect("the daemon starts");
    let status = process.wait_exit(TIMEOUT).await.expect("the daemon ends");
    // The last lines of standard error may not have been read yet.
    let has_all_words = || {
        let stderr = process.stderr().join("\n");
        words.iter().all(|it| stderr.contains(it))
    };
    if let Err(error) = wait_until("every word is printed", TIMEOUT, has_all_words).await {
        panic!("{error}: {words:?} in {}", process.stderr().join("\n"));
    }
    status.code()
}
