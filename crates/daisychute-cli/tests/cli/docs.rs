//! `docs/CLI.md` names the commands, options, variables and exit codes of the client.

use crate::support::Client;

const PAGE: &str = include_str!("../../../../docs/CLI.md");

/// The first cells of the table rows below a heading.
fn rows(heading: &str) -> Vec<String> {
    let below = PAGE.split(&format!("\n## {heading}\n")).nth(1).expect("the heading is there");
    let section = below.split("\n## ").next().unwrap_or_default();
    let cells = section.lines().filter_map(|it| it.strip_prefix("| `"));
    cells.filter_map(|it| it.split('`').next()).map(str::to_owned).collect()
}

/// The first words of the indented lines below a heading of the help.
fn words(help: &str, heading: &str, indent: &str) -> Vec<String> {
    let below = help.split(heading).nth(1).expect("the heading is there");
    let lines = below.lines().skip(1).filter_map(|it| it.strip_prefix(indent));
    let lines = lines.filter(|it| it.starts_with(|c: char| c.is_ascii_lowercase() || c == '-'));
    lines.filter_map(|it| it.split_whitespace().next()).map(str::to_owned).collect()
}

async_tests! {
    async fn commands_are_those_of_the_client() {
        let help = Client::new().run(&["-h"]).await.stdout;
        let help = help.split("Options:").next().unwrap_or_default();
        let mut commands = words(help, "Commands:", "  ");
        commands.retain(|it| it != "help");
        let documented = rows("Commands");
        let documented: Vec<_> =
            documented.iter().filter_map(|it| it.split_whitespace().next()).collect();
        assert_eq!(documented, commands);
    }

    async fn options_are_those_of_the_client() {
        let help = Client::new().run(&["--help"]).await.stdout;
        let mut options = words(&help, "Options:", "      ");
        options.retain(|it| it.starts_with("--"));
        let documented = rows("Options");
        let documented: Vec<_> =
            documented.iter().filter_map(|it| it.split_whitespace().next()).collect();
        assert_eq!(documented, options);
        let variables = help.lines().filter_map(|it| it.trim().strip_prefix("[env: "));
        for variable in variables.filter_map(|it| it.split('=').next()) {
            assert!(PAGE.contains(&format!("`{variable}`")), "{variable}");
        }
    }

    async fn exit_codes_are_those_of_the_client() {
        let help = Client::new().run(&["--help"]).await.stdout;
        let codes = help.split("Exit codes: ").nth(1).and_then(|it| it.split(".\n").next());
        let codes = codes.expect("the help tells the codes").split(',');
        let codes: Vec<_> = codes.filter_map(|it| it.split_whitespace().next()).collect();
        assert_eq!(rows("Exit codes"), codes);
    }
}
