//! Changes of the configuration and of drains, also with platform faults and concurrent operators.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use daisychute_standin::Platform;
use daisychute_standin::platform::Faults;
use serde_json::json;

use crate::support::{Client, file, platform};

/// A configuration, and a successor that differs in the deadline and the token.
const FIRST: &str = "[class a]\ndeadline = 2s\n[tenant t]\nclasses = a\ntoken = secret-1\n";
const SECOND: &str = "[class a]\ndeadline = 3s\n[tenant t]\nclasses = a\ntoken = secret-2\n";

/// Revision of the accepted configuration.
fn accepted_revision(platform: &Platform) -> Option<u64> {
    platform.get("configurations", "rabat-sale")?.spec["revision"].as_u64()
}

async_tests! {
    async fn apply_get_and_history() {
        let (platform, client) = platform().await;
        let (first, second) = (file("agh-1.ini", FIRST), file("agh-2.ini", SECOND));
        let mut shown = String::new();
        for args in [
            &["get"][..],
            &["diff", &first],
            &["apply", &first],
            &["apply", &first],
            &["diff", &first],
            &["--writer", "amina", "apply", &second],
            &["get"],
            &["history"],
            &["history", "1"],
            &["history", "7"],
        ] {
            let run = client.run(args).await.shown();
            shown.push_str(&format!("=== {}\n{run}", args.join(" ")));
        }
        insta::assert_snapshot!(shown);
        assert_eq!(accepted_revision(&platform), Some(2));
    }
}

async_tests! {
    async fn a_file_from_an_older_revision_conflicts() {
        let (platform, client) = platform().await;
        assert_eq!(client.run(&["apply", &file("older-1.ini", FIRST)]).await.code, 0);
        let got = client.run(&["get"]).await.stdout;
        let mine = file("older-mine.ini", &got.replace("token = secret-1\n", ""));
        let theirs = file("older-theirs.ini", &got.replace("2s", "4s"));
        let applied = client.clone().option("--writer", "amina").run(&["apply", &theirs]).await;
        assert_eq!(applied.code, 0, "{}", applied.shown());
        let run = client.run(&["apply", &mine]).await;
        insta::assert_snapshot!(run.shown());
        assert_eq!(accepted_revision(&platform), Some(2));
        let json = client.clone().option("--output", "json").run(&["apply", &mine]).await;
        assert_eq!(json.code, 3);
        assert!(json.stderr.contains("+ deadline = 4s"), "{}", json.stderr);
    }
}

async_tests! {
    async fn racing_operators_each_win_or_see_a_conflict() {
        let (platform, client) = platform().await;
        platform.set_faults(Faults { delay_ms: 100, ..Faults::default() });
        let run = |n: u64| {
            let path = file(&format!("race-{n}.ini"), &FIRST.replace("2s", &format!("{}s", n + 2)));
            let client = client.clone();
            actix_rt::spawn(async move { client.run(&["apply", &path]).await })
        };
        let runs: Vec<_> = (0..4).map(run).collect();
        let mut accepted = 0;
        for run in runs {
            let run = run.await.expect("the task ends");
            match run.code {
                0 => accepted += 1,
                3 => assert!(run.stderr.contains("accepted since"), "{}", run.stderr),
                _ => panic!("{}", run.shown()),
            }
        }
        assert!(accepted > 0);
        assert_eq!(accepted_revision(&platform), Some(accepted));
        let history = client.clone().option("--output", "json").run(&["history"]).await.json();
        assert_eq!(history.as_array().map(Vec::len), usize::try_from(accepted).ok());
    }
}

macro_rules! lost_responses {
    ($($name:ident: $lost:literal,)*) => {$(
        async_tests! {
            async fn $name() {
                let (platform, client) = platform().await;
                let paths = [FIRST, SECOND].map(|it| file(concat!(stringify!($name), ".ini"), it));
                for (n, text) in (1..).zip([FIRST, SECOND]) {
                    file(concat!(stringify!($name), ".ini"), text);
                    platform.set_faults(Faults { lose_answers: $lost, ..Faults::default() });
                    let run = client.run(&["apply", &paths[0]]).await;
                    assert_eq!(run.code, 0, "{}", run.shown());
                    assert_eq!(accepted_revision(&platform), Some(n));
                }
            }
        }
    )*};
}

lost_responses! {
    one_lost_response_is_resolved: 1,
    two_lost_responses_are_resolved: 2,
}

macro_rules! outages {
    ($($name:ident: $faults:expr => $code:literal,)*) => {$(
        async_tests! {
            async fn $name() {
                let (platform, client) = platform().await;
                platform.set_faults($faults);
                let path = file(concat!(stringify!($name), ".ini"), FIRST);
                let commands = [&["apply", &path][..], &["get"], &["history"], &["plan"], &["status"]];
                for args in commands {
                    let run = client.run(args).await;
                    assert_eq!(run.code, $code, "{args:?}: {}", run.shown());
                }
                assert_eq!(accepted_revision(&platform), None);
            }
        }
    )*};
}

outages! {
    outage: Faults { outage: true, ..Faults::default() } => 4,
    unavailable: Faults { unavailable: true, ..Faults::default() } => 4,
}

async_tests! {
    async fn targets_that_no_endpoint_meets_are_refused() {
        let (platform, client) = platform().await;
        let first_token = json!({"secs": 5, "nanos": 0});
        let record = json!({"endpoint": "clerk-lm-1", "ability": {"first_token": first_token}});
        platform.put_instance("clerk-lm-1", record);
        let run = client.run(&["apply", &file("unmeetable.ini", FIRST)]).await;
        insta::assert_snapshot!(run.shown());
        assert_eq!(accepted_revision(&platform), None);
    }
}

fn put_endpoint(platform: &Platform, name: &str) {
    platform.put_instance(name, json!({"endpoint": name}));
}

async_tests! {
    async fn drain_and_undrain() {
        let (platform, client) = platform().await;
        put_endpoint(&platform, "clerk-lm-1");
        let mut shown = String::new();
        for args in [
            ["drain", "clerk-lm-2"],
            ["drain", "clerk-lm-1"],
            ["drain", "clerk-lm-1"],
            ["undrain", "clerk-lm-1"],
            ["undrain", "clerk-lm-1"],
        ] {
            shown.push_str(&client.run(&args).await.shown());
            let drains = platform.get("drains", "morocco").map(|it| it.spec);
            shown.push_str(&format!("=== {}\n", drains.unwrap_or_default()));
        }
        insta::assert_snapshot!(shown);
    }
}

async_tests! {
    async fn racing_drains_are_all_kept() {
        let (platform, client) = platform().await;
        let names = ["clerk-lm-1", "clerk-lm-2", "clerk-lm-3"];
        names.iter().for_each(|it| put_endpoint(&platform, it));
        platform.set_faults(Faults { delay_ms: 50, lose_answers: 1, ..Faults::default() });
        let run = |name: &'static str| {
            let client: Client = client.clone();
            actix_rt::spawn(async move { client.run(&["drain", name]).await })
        };
        let runs: Vec<_> = names.into_iter().map(run).collect();
        for run in runs {
            let run = run.await.expect("the task ends");
            assert_eq!(run.code, 0, "{}", run.shown());
        }
        let drains = platform.get("drains", "morocco").expect("the object was written").spec;
        let expected = json!({"clerk-lm-1": true, "clerk-lm-2": true, "clerk-lm-3": true});
        assert_eq!(drains, json!({"endpoints": expected}));
    }
}

async_tests! {
    async fn a_client_that_is_killed_loses_no_revision() {
        let (platform, client) = platform().await;
        assert_eq!(client.run(&["apply", &file("killed-1.ini", FIRST)]).await.code, 0);
        // The state after a client is killed between its writes of the history and of the configuration.
        let accepted = platform.get("configurations", "rabat-sale").expect("the configuration was accepted").spec;
        platform.put("histories", "rabat-sale", json!({"entries": [accepted]}));
        assert_eq!(client.run(&["apply", &file("killed-2.ini", SECOND)]).await.code, 0);
        let history = client.clone().option("--output", "json").run(&["history"]).await.json();
        let revisions: Vec<_> = history.as_array().expect("a list").iter().collect();
        assert_eq!(revisions.len(), 2);
    }
}

async_tests! {
    // Guards against a configuration that is replaced while the history doesn't hold it, and can't be gone back to.
    async fn a_revision_that_the_history_does_not_take_is_not_replaced() {
        let (platform, client) = platform().await;
        assert_eq!(client.run(&["apply", &file("contended-1.ini", FIRST)]).await.code, 0);
        platform.set_faults(Faults { delay_ms: 50, ..Faults::default() });
        let platform = Rc::new(platform);
        let other = platform.clone();
        let others = actix_rt::spawn(async move {
            loop {
                other.put("histories", "rabat-sale", json!({"entries": []}));
                sleep(Duration::from_millis(5)).await;
            }
        });
        let run = client.run(&["apply", &file("contended-2.ini", SECOND)]).await;
        others.abort();
        platform.set_faults(Faults::default());
        assert_eq!(run.code, 3, "{}", run.shown());
        assert!(run.stderr.contains("the history of rabat-sale changed at each of 5 attempts"), "{}", run.shown());
        assert_eq!(accepted_revision(&platform), Some(1));
        let run = client.run(&["apply", &file("contended-2.ini", SECOND)]).await;
        assert_eq!(run.code, 0, "{}", run.shown());
        assert_eq!(client.run(&["history", "1"]).await.code, 0);
    }
}

/// A configuration with `count` classes and long names. Configurations of the same size differ only in one deadline.
fn large_configuration(count: usize, deadline: usize) -> String {
    let name = |it| format!("{it}-{}", "x".repeat(50));
    let class = |it| format!("[class {}]\nbetween-tokens = 50ms\ndeadline = 1h\n", name(it));
    let mut text: String = (1..count).map(class).collect();
    text.push_str(&format!("[class first]\ndeadline = {deadline}s\n"));
    text
}

async_tests! {
    async fn the_history_stays_bounded() {
        const MAX_BYTES: usize = 768 * 1024;
        let (platform, client) = platform().await;
        for deadline in 1..=5 {
            let path = file("large.ini", &large_configuration(1_000, deadline));
            let run = client.run(&["apply", &path]).await;
            assert_eq!(run.code, 0, "{}", run.stderr);
        }
        let history = platform.get("histories", "rabat-sale").expect("the object was written").spec;
        assert!(history.to_string().len() <= MAX_BYTES);
        let entries = history["entries"].as_array().expect("a list");
        let revisions: Vec<_> = entries.iter().filter_map(|it| it["revision"].as_u64()).collect();
        assert!(revisions.ends_with(&[3, 4]), "{revisions:?}");
        assert!(revisions.len() < 4, "{revisions:?}");
    }

    async fn a_configuration_that_is_too_large_is_refused() {
        let (platform, client) = platform().await;
        let run = client.run(&["apply", &file("huge.ini", &large_configuration(6_000, 1))]).await;
        assert_eq!(run.code, 5, "{}", run.stderr);
        assert!(run.stderr.contains("larger than the platform takes"), "{}", run.stderr);
        assert_eq!(accepted_revision(&platform), None);
    }
}
