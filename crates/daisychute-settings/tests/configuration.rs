//! Configuration files are parsed, written and compared; malformed text never panics.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::Duration;

use daisychute_core::{
    Class, ClassName, ClassTargets, Configuration, Model, Precedence, Preference, Revision, Route,
    RouteKind, Service, Tenant,
};
use daisychute_settings::{ConfigurationDiff, ConfigurationFile, Settings};
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn example(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(file)
}

macro_rules! examples {
    ($($name:ident: $file:literal,)*) => {$(
        #[test]
        fn $name() {
            let file = ConfigurationFile::load(example($file)).expect("the example file is valid");
            let written = file.to_string();
            insta::assert_snapshot!(stringify!($name), written);
            assert_eq!(ConfigurationFile::parse("written", &written).expect("the written file is valid"), file);
        }
    )*};
}

examples! {
    rabat_sale: "rabat-sale/configuration.ini",
    budapest: "budapest/configuration.ini",
}

const SEED: u64 = 7;
/// Size parameter of the quickcheck generator.
const GEN_SIZE: usize = 100;

fn quickcheck() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
}

/// A random valid configuration.
#[derive(Debug, Clone)]
struct ValidConfiguration(Configuration);

impl Arbitrary for ValidConfiguration {
    fn arbitrary(g: &mut Gen) -> Self {
        let class_count = 1 + usize::arbitrary(g) % 4;
        let classes: Vec<_> = (0..class_count).map(|it| class(g, it)).collect();
        let names: Vec<_> = classes.iter().map(|it| it.name.clone()).collect();
        let tenants = (0..usize::arbitrary(g) % 4).map(|it| tenant(g, it, &names));
        let tenants: BTreeMap<_, _> = tenants.map(|it| (it.name.clone(), it)).collect();
        let models = (0..usize::arbitrary(g) % 3).map(|it| model(g, it));
        let models: BTreeMap<_, _> = models.map(|it| (it.name.clone(), it)).collect();
        let services = (0..usize::arbitrary(g) % 3).map(|it| service(g, it, &names));
        let services = services.map(|it| (it.name.clone(), it)).collect();
        let preference = *g.choose(&[Preference::Goodput, Preference::FewRoleChanges]).unwrap();
        let classes = classes.into_iter().map(|it| (it.name.clone(), it)).collect();
        Self(Configuration { preference, classes, tenants, models, services })
    }
}

fn name<T: TryFrom<String>>(g: &mut Gen, kind: char, index: usize) -> T {
    let suffix = *g.choose(&["", ".a", "_b", "-C9"]).unwrap();
    T::try_from(format!("{kind}{index}{suffix}")).ok().expect("a valid name")
}

fn duration(g: &mut Gen, max: Duration) -> Option<Duration> {
    let micros = 1_000 + u64::arbitrary(g) % (max.as_micros() as u64 - 1_000);
    bool::arbitrary(g).then(|| Duration::from_micros(micros))
}

fn class(g: &mut Gen, index: usize) -> Class {
    let precedences = [Precedence::First, Precedence::Interactive, Precedence::MayWait];
    let precedence = *g.choose(&precedences).unwrap();
    let first_token = duration(g, Duration::from_secs(3_600));
    let targets = ClassTargets {
        first_token: first_token.filter(|_| precedence != Precedence::MayWait),
        between_tokens: duration(g, Duration::from_secs(60)),
        deadline: duration(g, Duration::from_secs(4_000)).map(|it| it + Duration::from_secs(3_600)),
        throughput: Some(f64::arbitrary(g).abs()).filter(|it| it.is_normal()),
    };
    Class::new(name(g, 'c', index), precedence).targets(targets)
}

fn tenant(g: &mut Gen, index: usize, names: &[ClassName]) -> Tenant {
    let mut classes: BTreeSet<_> = names.iter().filter(|_| bool::arbitrary(g)).cloned().collect();
    let default_class = g.choose(names).unwrap().clone();
    classes.insert(default_class.clone());
    let token = bool::arbitrary(g).then(|| format!("t~+/={index}"));
    Tenant { name: name(g, 't', index), token, default_class, classes }
}

fn model(g: &mut Gen, index: usize) -> Model {
    Model {
        name: name(g, 'm', index),
        version: name(g, 'v', index),
        adapters: (0..usize::arbitrary(g) % 3).map(|it| name(g, 'a', it)).collect(),
        context_tokens: 1 + u32::arbitrary(g) % 1_000_000,
        kv_bytes_per_token: 1 + u32::arbitrary(g) % 1_000_000,
    }
}

fn service(g: &mut Gen, index: usize, names: &[ClassName]) -> Service {
    let route = |it| Route {
        path: format!("/{it}:x/$=%20"),
        kind: *g.choose(&[RouteKind::Repeatable, RouteKind::NonRepeatable]).unwrap(),
        class: bool::arbitrary(g).then(|| g.choose(names).unwrap().clone()),
    };
    let routes = (0..index * 3).map(route).collect();
    Service { name: name(g, 's', index), routes }
}

#[test]
fn writing_and_reading_is_identity() {
    fn property(ValidConfiguration(configuration): ValidConfiguration) -> bool {
        let file = ConfigurationFile::from(configuration).based_on(Revision::new(7));
        ConfigurationFile::parse("written", &file.to_string()).is_ok_and(|it| it == file)
    }
    quickcheck().tests(500).quickcheck(property as fn(ValidConfiguration) -> bool);
}

/// Random text, mostly composed of pieces of INI files.
#[derive(Debug, Clone)]
struct IniFragments(String);

impl Arbitrary for IniFragments {
    fn arbitrary(g: &mut Gen) -> Self {
        const PIECES: &[&str] = &[
            "[",
            "]",
            "[class ",
            "[class a]",
            "[process]",
            "[tenant b]\n",
            "[service é]",
            "=",
            " = ",
            ":",
            "\n",
            "\r\n",
            "\t",
            " ",
            ";",
            "#",
            "\\",
            "\\\n",
            "\"",
            "'",
            "name",
            "classes",
            "precedence",
            "first",
            "deadline",
            "8s",
            "1e9",
            "é",
            "\u{0}",
            ",",
            "/a",
            "silence",
        ];
        let count = usize::arbitrary(g) % 40;
        let piece = |_| match u8::arbitrary(g) % 8 {
            0 => String::arbitrary(g),
            _ => (*g.choose(PIECES).unwrap()).to_owned(),
        };
        Self((0..count).map(piece).collect())
    }
}

#[test]
fn reading_never_panics() {
    fn property(IniFragments(text): IniFragments) -> bool {
        let render = |error| format!("{:?}", miette::Report::new(error));
        let settings = Settings::parse("random.ini", &text).map_err(render);
        let configuration = ConfigurationFile::parse("random.ini", &text).map_err(render);
        let rendered = [settings.err(), configuration.err()];
        rendered.iter().flatten().all(|it| it.contains("random.ini"))
    }
    quickcheck().tests(3_000).quickcheck(property as fn(IniFragments) -> bool);
}

#[test]
fn diff_of_the_examples() {
    let load = |file| ConfigurationFile::load(example(file)).expect("the example file is valid");
    let (old, new) = (load("rabat-sale/configuration.ini"), load("budapest/configuration.ini"));
    let diff = ConfigurationDiff::between(old.configuration(), new.configuration());
    insta::assert_snapshot!(diff.to_string());
    assert!(ConfigurationDiff::between(old.configuration(), old.configuration()).is_empty());
}
