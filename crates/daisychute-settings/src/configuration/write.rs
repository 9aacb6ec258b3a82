//! Conversion of a configuration into INI.

use daisychute_core::{AdapterName, Class, ClassName, Model, Route, RouteKind, Service, Tenant};
use ini::{EscapePolicy, Ini, LineSeparator, WriteOption};

use super::ConfigurationFile;
use super::class::PRECEDENCES;
use super::deployment::PREFERENCES;

pub(super) const OPTIONS: WriteOption = WriteOption {
    escape_policy: EscapePolicy::Nothing,
    line_separator: LineSeparator::CR,
    kv_separator: " = ",
};

/// Converts a file into INI sections. Optional keys without a value are left out.
pub(super) fn to_ini(file: &ConfigurationFile) -> Ini {
    let configuration = &file.configuration;
    let mut ini = Ini::new();
    let mut deployment = ini.with_section(Some("deployment"));
    deployment.set("prefer", word_for(PREFERENCES, configuration.preference));
    if let Some(base) = file.base {
        deployment.set("revision", base.to_string());
    }
    configuration.classes.values().for_each(|it| write_class(&mut ini, it));
    configuration.tenants.values().for_each(|it| write_tenant(&mut ini, it));
    configuration.models.values().for_each(|it| write_model(&mut ini, it));
    configuration.services.values().for_each(|it| write_service(&mut ini, it));
    ini
}

fn word_for<T: Copy + PartialEq>(words: &[(&'static str, T)], value: T) -> &'static str {
    words.iter().find(|(_, it)| *it == value).map_or("", |(word, _)| word)
}

fn write_class(ini: &mut Ini, class: &Class) {
    let targets = &class.targets;
    let duration = |it| humantime::format_duration(it).to_string();
    let mut section = ini.with_section(Some(format!("class {}", class.name)));
    section.set("precedence", word_for(PRECEDENCES, class.precedence));
    if let Some(first_token) = targets.first_token {
        section.set("first-token", duration(first_token));
    }
    if let Some(between_tokens) = targets.between_tokens {
        section.set("between-tokens", duration(between_tokens));
    }
    if let Some(deadline) = targets.deadline {
        section.set("deadline", duration(deadline));
    }
    if let Some(throughput) = targets.throughput {
        section.set("throughput", throughput.to_string());
    }
}

fn write_tenant(ini: &mut Ini, tenant: &Tenant) {
    let mut section = ini.with_section(Some(format!("tenant {}", tenant.name)));
    if let Some(token) = &tenant.token {
        section.set("token", token.as_str());
    }
    section.set("classes", join_names(tenant.classes.iter().map(ClassName::as_str)));
    section.set("default-class", tenant.default_class.as_str());
}

fn write_model(ini: &mut Ini, model: &Model) {
    let mut section = ini.with_section(Some(format!("model {}", model.name)));
    section.set("version", model.version.as_str());
    if !model.adapters.is_empty() {
        section.set("adapters", join_names(model.adapters.iter().map(AdapterName::as_str)));
    }
    section.set("context-tokens", model.context_tokens.to_string());
    section.set("kv-bytes-per-token", model.kv_bytes_per_token.to_string());
}

fn write_service(ini: &mut Ini, service: &Service) {
    let header = format!("service {}", service.name);
    ini.entry(Some(header.clone())).or_insert_with(Default::default);
    let mut section = ini.with_section(Some(header));
    let kinds =
        [("repeatable", RouteKind::Repeatable), ("non-repeatable", RouteKind::NonRepeatable)];
    for (key, kind) in kinds {
        let routes: Vec<_> =
            service.routes.iter().filter(|it| it.kind == kind).map(format_route).collect();
        if !routes.is_empty() {
            section.set(key, routes.join(", "));
        }
    }
}

fn format_route(route: &Route) -> String {
    match &route.class {
        Some(class) => format!("{} {class}", route.path),
        None => route.path.clone(),
    }
}

fn join_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    names.collect::<Vec<_>>().join(", ")
}
