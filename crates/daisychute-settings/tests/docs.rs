//! `docs/SETTINGS.md` lists exactly the sections, keys and defaults that the code has.

use std::collections::BTreeMap;

use daisychute_settings::{ConfigurationFile, FrontSettings, SectionKeys, Settings};

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");
/// Start of the heading of a section.
const SECTION_HEADING: &str = "### `[";
/// Cell of a key that has no default.
const NO_DEFAULT: &str = "–";

/// Parses the page into its sections, each with its keys and their defaults.
fn documented() -> BTreeMap<String, BTreeMap<String, String>> {
    let mut sections = BTreeMap::new();
    let mut keys: Option<&mut BTreeMap<String, String>> = None;
    for line in PAGE.lines() {
        if let Some(rest) = line.strip_prefix(SECTION_HEADING) {
            let header = rest.trim_end_matches("]`").to_owned();
            keys = Some(sections.entry(header).or_default());
        }
        let Some(row) = line.strip_prefix("| `") else { continue };
        let cells: Vec<_> = row.split('|').map(|it| it.trim().trim_matches('`')).collect();
        let keys = keys.as_mut().expect("each table is below a section heading");
        keys.insert(cells[0].to_owned(), cells[1].to_owned());
    }
    sections
}

/// Returns the sections that the code accepts.
fn in_code() -> impl Iterator<Item = &'static SectionKeys> {
    // `[log]` is the same for all processes and documented once.
    let front = FrontSettings::SECTIONS.iter().filter(|it| it.section != "log");
    Settings::SECTIONS.iter().chain(front).chain(ConfigurationFile::SECTIONS)
}

#[test]
fn keys_are_those_of_the_code() {
    let documented: BTreeMap<_, Vec<_>> =
        documented().into_iter().map(|(it, keys)| (it, keys.into_keys().collect())).collect();
    let header_and_keys = |it: &SectionKeys| {
        let mut keys: Vec<_> = it.keys.iter().map(|it| (*it).to_owned()).collect();
        keys.sort();
        (it.header(), keys)
    };
    let in_code: BTreeMap<_, _> = in_code().map(header_and_keys).collect();
    assert_eq!(documented, in_code);
}

/// Writes the documented defaults of these sections as a file, with `name` in the headers of named sections.
fn documented_defaults(sections: &[SectionKeys], name: &str) -> String {
    let documented = documented();
    let mut text = String::new();
    for section in sections {
        text.push_str(&format!("[{}]\n", section.header().replace("NAME", name)));
        for (key, default) in &documented[&section.header()] {
            if default != NO_DEFAULT {
                text.push_str(&format!("{key} = {default}\n"));
            }
        }
    }
    text
}

#[test]
fn defaults_of_settings_are_those_of_the_code() {
    let required = "[process]\nname = a\nrole = entry\nregion = r\ndata-centre = d\ninstance = i\n\
        [listen]\ncallers = 127.0.0.1:1\ninner = 127.0.0.1:2\nadmin = 127.0.0.1:3\n\
        [platform]\nurl = http://127.0.0.1:4\ndeployment = x\n";
    let optional: Vec<_> =
        Settings::SECTIONS.iter().filter(|it| !required.contains(&it.header())).copied().collect();
    let text = format!("{required}{}", documented_defaults(&optional, "n"));
    let explicit = Settings::parse("explicit", &text).expect("the documented defaults are valid");
    assert_eq!(explicit, Settings::parse("minimal", required).expect("nothing else is required"));
}

#[test]
fn defaults_of_a_configuration_are_those_of_the_code() {
    let required = [("tenant", "classes = n\n"), ("model", "version = v\n")];
    let with_required = |mut text: String| {
        for (section, line) in required {
            let header = format!("[{section} n]\n");
            text = text.replace(&header, &format!("{header}{line}"));
        }
        text
    };
    let explicit = with_required(documented_defaults(ConfigurationFile::SECTIONS, "n"));
    let minimal = with_required("[class n]\n[tenant n]\n[model n]\n[service n]\n".to_owned());
    let explicit =
        ConfigurationFile::parse("explicit", &explicit).expect("the documented defaults are valid");
    assert_eq!(
        explicit,
        ConfigurationFile::parse("minimal", &minimal).expect("nothing else is required")
    );
}

#[test]
fn defaults_of_a_front_are_those_of_the_code() {
    let required = "[front]\nname = a\nregion = r\ndata-centre = d\ncallers = 127.0.0.1:1\n\
        ready = 127.0.0.1:2\ninner = 127.0.0.1:3\nsnapshots = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n\
        [store]\naddress = 127.0.0.1:6\n";
    let optional: Vec<_> = FrontSettings::SECTIONS
        .iter()
        .filter(|it| !required.contains(&it.header()))
        .copied()
        .collect();
    let text = format!("{required}{}", documented_defaults(&optional, "n"));
    let explicit =
        FrontSettings::parse("explicit", &text).expect("the documented defaults are valid");
    let minimal = FrontSettings::parse("minimal", required).expect("nothing else is required");
    assert_eq!(explicit, minimal);
}
