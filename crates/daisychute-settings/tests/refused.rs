//! Error messages for invalid files, as operators see them.

use std::fs;
use std::path::PathBuf;

use daisychute_settings::{ConfigurationFile, Settings, SettingsError};
use miette::{GraphicalReportHandler, GraphicalTheme};

/// Width of the rendered messages in columns.
const WIDTH: usize = 100;

fn render(error: &SettingsError) -> String {
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
    let mut rendered = String::new();
    handler
        .with_width(WIDTH)
        .render_report(&mut rendered, error)
        .expect("a string accepts any text");
    rendered
}

/// Returns valid settings of an entry with `changes`: pairs of a section and a line, which replaces the line of the same
/// key or is added.
fn entry(changes: &[(&str, &str)]) -> String {
    with_changes(
        &[
            ("process", "name = entry-1"),
            ("process", "role = entry"),
            ("process", "region = morocco"),
            ("process", "data-centre = agdal"),
            ("process", "instance = i-1"),
            ("listen", "callers = 127.0.0.1:8080"),
            ("listen", "inner = 127.0.0.1:4000"),
            ("listen", "admin = 127.0.0.1:9000"),
            ("platform", "url = http://127.0.0.1:7000"),
            ("platform", "deployment = rabat-sale"),
        ],
        changes,
    )
}

/// Returns valid settings of an agent with `changes`, as [`entry`] does.
fn agent(changes: &[(&str, &str)]) -> String {
    with_changes(
        &[
            ("process", "name = agent-1"),
            ("process", "role = agent"),
            ("process", "region = morocco"),
            ("process", "data-centre = agdal"),
            ("process", "instance = i-1"),
            ("listen", "inner = 127.0.0.1:4000"),
            ("listen", "admin = 127.0.0.1:9000"),
            ("platform", "url = http://127.0.0.1:7000"),
            ("platform", "deployment = rabat-sale"),
            ("endpoint", "name = clerk-lm-1"),
            ("endpoint", "kind = engine"),
            ("endpoint", "url = http://127.0.0.1:8000"),
        ],
        changes,
    )
}

fn with_changes(base: &[(&str, &str)], changes: &[(&str, &str)]) -> String {
    let key = |line: &str| line.split_once('=').map(|(key, _)| key.trim().to_owned());
    let replaced = |section: &str, line: &str| {
        changes.iter().any(|(other, new)| *other == section && key(new) == key(line))
    };
    let unchanged = base.iter().filter(|(section, line)| !replaced(section, line));
    let lines: Vec<_> = unchanged.chain(changes).collect();
    let mut text = String::new();
    let mut sections: Vec<&str> = Vec::new();
    for (section, _) in &lines {
        if sections.contains(section) {
            continue;
        }
        sections.push(section);
        text.push_str(&format!("[{section}]\n"));
        let of_section = lines.iter().filter(|(it, _)| it == section);
        of_section.for_each(|(_, line)| text.push_str(&format!("{line}\n")));
    }
    text
}

macro_rules! refused {
    ($parse:path: $($name:ident: $text:expr,)*) => {$(
        #[test]
        fn $name() {
            let error = $parse("test.ini", &$text).expect_err("the file is invalid");
            insta::assert_snapshot!(stringify!($name), render(&error));
        }
    )*};
}

refused! { Settings::parse:
    empty: "",
    invalid_syntax: "\u{0}[[[",
    missing_key_name: "[process]\n= entry\n",
    line_without_value: entry(&[("timing", "lease"), ("timing", "drain = 1s")]),
    unknown_section: entry(&[("proces", "name = x")]),
    unknown_key: entry(&[("process", "datacentre = agdal")]),
    key_outside_sections: format!("name = x\n{}", entry(&[])),
    section_twice: format!("{}[process]\nname = other\n", entry(&[])),
    key_twice: entry(&[("log", "level = info"), ("log", "level = warn")]),
    wrong_role: entry(&[("process", "role = engine")]),
    bad_name: entry(&[("process", "name = Salé 1")]),
    long_name: entry(&[("process", &format!("name = {}", "x".repeat(64)))]),
    address_without_port: entry(&[("listen", "callers = 127.0.0.1")]),
    host_in_place_of_address: entry(&[("listen", "inner = localhost:4000")]),
    https_url: entry(&[("platform", "url = https://platform:7000")]),
    url_with_bad_port: entry(&[("platform", "url = http://platform:70000")]),
    bad_seed: entry(&[("peers", "seeds = 127.0.0.1:4000, , 127.0.0.1:4001")]),
    time_without_unit: entry(&[("timing", "lease = 8")]),
    time_out_of_range: entry(&[("timing", "lease = 2h")]),
    silence_under_heartbeats: entry(&[("timing", "heartbeat = 5s"), ("timing", "silence = 6s")]),
    default_silence_under_heartbeats: entry(&[("timing", "heartbeat = 5s")]),
    size_out_of_range: entry(&[("limits", "body-bytes = 1GiB")]),
    size_overflow: entry(&[("limits", "header-bytes = 99999999999999999999GiB")]),
    negative_count: entry(&[("limits", "connections = -1")]),
    log_format: entry(&[("log", "format = xml")]),
    inline_comment: entry(&[("log", "level = info ; all of it")]),
    entry_with_endpoint: entry(&[("endpoint", "name = clerk-lm-1")]),
    agent_with_callers: agent(&[("listen", "callers = 127.0.0.1:8080")]),
    engine_with_service: agent(&[("endpoint", "service = sign-feed")]),
    service_without_name: agent(&[("endpoint", "kind = service")]),
    several_problems: agent(&[("endpoint", "url = x"), ("log", "level = loud"), ("lgo", "a = b")]),
}

refused! { Settings::parse:
    token_in_the_wrong_file: entry(&[("tenant t", "token = secret"), ("tenant t", "x = y")]),
}

refused! { ConfigurationFile::parse:
    weight: "[class a]\nweight = 3\n",
    instance_address: "[endpoint clerk-lm-1]\nurl = http://10.0.0.1:8000\n",
    bad_class_name: "[class a b]\nprecedence = first\n",
    class_without_name: "[class]\nprecedence = first\n",
    class_twice: "[class a]\nprecedence = first\n[class  a]\nprecedence = may-wait\n",
    precedence: "[class a]\nprecedence = urgent\n",
    preference: "[deployment]\nprefer = speed\n",
    throughput: "[class a]\nthroughput = -5\n",
    first_token_after_deadline: "[class a]\nfirst-token = 5s\ndeadline = 2s\n",
    between_tokens_over_deadline: "[class a]\nbetween-tokens = 5s\ndeadline = 2s\n",
    may_wait_with_first_token: "[class a]\nprecedence = may-wait\nfirst-token = 1s\n",
    class_of_tenant: "[class panel]\n[tenant signs]\nclasses = pannel\n",
    no_class_of_tenant: "[tenant signs]\nclasses =\n",
    default_class: "[class a]\n[class b]\n[tenant signs]\nclasses = a\ndefault-class = b\n",
    token_is_not_shown: "[class a]\n[tenant signs]\nclasses = a\ntoken = se cret\n",
    token_over_two_lines_is_not_shown: "[class a]\n[tenant t]\ntoken = se\\\n cret\nclasses = b\n",
    shared_token: "[class a]\n[tenant s]\nclasses = a\ntoken = x\n[tenant t]\nclasses = a\ntoken = x\n",
    model_without_version: "[model clerk-lm]\ncontext-tokens = 0\n",
    relative_path: "[service sign-feed]\nrepeatable = panels\n",
    class_of_route: "[class a]\n[service sign-feed]\nrepeatable = /panels b\n",
    class_of_non_repeatable_route: "[class a]\n[service sign-feed]\nrepeatable = /panels a\nnon-repeatable = /counts b\n",
    class_of_service: "[class a]\n[service sign-feed]\nrepeatable = /panels a, /counts\nclass = b\n",
    path_twice_in_one_list: "[service sign-feed]\nrepeatable = /a, /b, /a\n",
    path_twice: "[service sign-feed]\nrepeatable = /a\nnon-repeatable = /a\n",
}

#[test]
fn too_large() {
    let text = "x".repeat(SettingsError::MAX_BYTES as usize + 1);
    let error = Settings::parse("test.ini", &text).expect_err("the file is invalid");
    insta::assert_snapshot!(render(&error));
}

#[test]
fn file_is_missing() {
    let error = Settings::load("no/such/file.ini").expect_err("the file doesn't exist");
    insta::assert_snapshot!(render(&error));
}

#[test]
fn file_is_binary() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("binary.ini");
    fs::write(&path, [0xff, 0xfe, 0x00]).expect("the file is written");
    let error = Settings::load(&path).expect_err("the file isn't UTF-8");
    assert!(matches!(error, SettingsError::Unreadable { .. }));
}
