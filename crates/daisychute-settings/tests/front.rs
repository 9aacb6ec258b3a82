//! Settings files of fronts: keys that lost their effect, keys that switch something on, and values that the platform left empty.

use std::time::Duration;

use daisychute_settings::{DutySettings, FrontDuty, FrontSettings, SettingsError};

/// Parses the settings of a front with these lines in `[machine]`.
fn with_machine(lines: &str) -> Result<FrontSettings, SettingsError> {
    let text = format!(
        "[front]\nname = a\nregion = r\ndata-centre = d\ncallers = 127.0.0.1:1\n\
         ready = 127.0.0.1:2\ninner = 127.0.0.1:3\nsnapshots = 127.0.0.1:4\n\
         metrics = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:6\n[machine]\n{lines}"
    );
    FrontSettings::parse("test.ini", &text)
}

// Guards against a setting that operators change in vain, and against an old file that no longer starts a front.
#[test]
fn processor_share_is_accepted_without_effect() {
    let without = with_machine("memory-mib = 260\n").expect("valid settings");
    let with = with_machine("processor-share = 0.19\nmemory-mib = 260\n");
    assert_eq!(with.expect("an old file stays valid"), without);
}

// Guards against a faulty value that goes unnoticed.
#[test]
fn faulty_processor_share_is_named() {
    let error = with_machine("processor-share = much\n").expect_err("this is no number");
    let SettingsError::Invalid { problems, .. } = error else { panic!("{error}") };
    assert!(problems[0].to_string().contains("processor-share"), "{}", problems[0]);
}

// Guards against load that is spread where nobody asked for it, and against a bound beyond which reports are ignored.
#[test]
fn load_is_spread_only_within_the_given_bound() {
    let max_delay = |lines| with_machine(lines).map(|it| it.max_heartbeat_delay);
    assert_eq!(max_delay("").expect("valid settings"), None);
    let given = max_delay("[balance]\nmax-heartbeat-delay = 200ms\n").expect("valid settings");
    assert_eq!(given, Some(Duration::from_millis(200)));
    max_delay("[balance]\nmax-heartbeat-delay = 2s\n").expect_err("more than a second");
}

/// Parses the settings of a front with these lines in `[duties]`.
fn with_duties(lines: &str) -> Result<DutySettings, SettingsError> {
    Ok(with_machine(&format!("[duties]\n{lines}"))?.duties)
}

// Guards against a deployment without duties whose fronts don't start, because the platform filled in empty values.
#[test]
fn empty_values_of_duties_are_absent() {
    let empty = with_duties("address = \nrequire-fence =\n\n\nduties = \n");
    assert_eq!(empty.expect("empty values are valid"), DutySettings::default());
}

#[test]
fn duties_are_read() {
    let duties = with_duties(
        "address = 127.0.0.1:9\nrequire-fence = True\nlease = 3000ms\nusage-window = 2s\n\
         usage-due = 4s\nduties = usage_report, autoscale\n",
    );
    let expected = DutySettings {
        address: Some(([127, 0, 0, 1], 9).into()),
        require_fence: true,
        lease: Duration::from_secs(3),
        usage_window: Duration::from_secs(2),
        usage_due: Duration::from_secs(4),
        duties: vec![FrontDuty::UsageReport, FrontDuty::Autoscale],
    };
    assert_eq!(duties.expect("valid settings"), expected);
    assert!(with_duties("duties = usage_report, other\n").is_err());
}
