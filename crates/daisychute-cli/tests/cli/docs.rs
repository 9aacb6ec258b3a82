//! `docs/CLI.md` documents exactly the commands, options and exit codes of the client, and names its variables.

use crate::support::Client;

const PAGE: &str = include_str!("../../../../docs/CLI.md");

/// First cells of the table rows in a section of the page.
fn documented_rows(heading: &str) -> Vec<String> {
    let below = PAGE.split(&format!("\n## {heading}\n")).nth(1).expect("the heading exists");
    let section = below.split("\n## ").next().unwrap_or_default();
    let cells = section.lines().filter_map(|it| it.strip_prefix("| `"));
    cells.filter_map(|it| it.split('`').next()).map(str::to_owned).collect()
}

/// First words of the lines with this indent below a heading of the help.
fn first_words(help: &str, heading: &str, indent: &str) -> Vec<String> {
    let below = help.split(heading).nth(1).expect("the heading exists");
    let lines = below.lines().skip(1).filter_map(|it| it.strip_prefix(indent));
    let lines = lines.filter(|it| it.starts_with(|c: char| c.is_ascii_lowercase() || c == '-'));
    lines.filter_map(|it| it.split_whitespace().next()).map(str::to_owned).collect()
}

async_tests! {
    async fn commands_are_those_of_the_client() {
        let help = Client::new().run(&["-h"]).await.stdout;
        let help = help.split("Options:").next().unwrap_or_default();
        let mut commands = first_words(help, "Commands:", "  ");
        commands.retain(|it| it != "help");
        let documented = documented_rows("Commands");
        let documented: Vec<_> =
            documented.iter().filter_map(|it| it.split_whitespace().next()).collect();
        assert_eq!(documented, commands);
    }

    async fn options_are_those_of_the_client() {
        let help = Client::new().run(&["--help"]).await.stdout;
        let mut options = first_words(&help, "Options:", "      ");
        options.retain(|it| it.starts_with("--"));
        let documented = documented_rows("Options");
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
        let codes = codes.expect("the help lists the codes").split(',');
        let codes: Vec<_> = codes.filter_map(|it| it.split_whitespace().next()).collect();
        assert_eq!(documented_rows("Exit codes"), codes);
    }
}
