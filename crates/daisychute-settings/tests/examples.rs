//! The example settings files are valid and have the expected roles.

use std::path::PathBuf;

use daisychute_core::EndpointKind;
use daisychute_settings::{RoleSettings, Settings};

fn example(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file)
}

macro_rules! accepted {
    ($($name:ident: $file:literal => $role:pat $(if $guard:expr)?,)*) => {$(
        #[test]
        fn $name() {
            let settings = Settings::load(example($file)).expect("the example file is valid");
            assert!(matches!(settings.role, $role $(if $guard)?), "{:?}", settings.role);
        }
    )*};
}

fn is_engine(kind: &EndpointKind) -> bool {
    matches!(kind, EndpointKind::Engine)
}

accepted! {
    rabat_sale_entry: "rabat-sale/entry-agdal.ini" => RoleSettings::Entry(_),
    rabat_sale_engine: "rabat-sale/agent-clerk-lm-1.ini"
        => RoleSettings::Agent(ref it) if is_engine(&it.endpoint.kind),
    rabat_sale_service: "rabat-sale/agent-sign-feed-1.ini"
        => RoleSettings::Agent(ref it) if !is_engine(&it.endpoint.kind),
    budapest_entry: "budapest/entry-bud-a.ini" => RoleSettings::Entry(_),
    budapest_engine: "budapest/agent-recon-llm-1.ini"
        => RoleSettings::Agent(ref it) if is_engine(&it.endpoint.kind),
    budapest_service: "budapest/agent-ledger-api-1.ini"
        => RoleSettings::Agent(ref it) if !is_engine(&it.endpoint.kind),
}
