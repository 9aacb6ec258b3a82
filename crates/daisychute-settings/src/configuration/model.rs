//! Sections `[model NAME]`.

use std::collections::BTreeSet;

use daisychute_core::{AdapterName, Model, ModelName};

use crate::field::raw_section;
use crate::problem::Problems;
use crate::rule::{CountRange, Name, Names};

const CONTEXT_TOKENS: CountRange = CountRange { min: 1, max: 16_777_216 };
const DEFAULT_CONTEXT_TOKENS: u32 = 32_768;

const KV_BYTES_PER_TOKEN: CountRange = CountRange { min: 1, max: 16_777_216 };
const DEFAULT_KV_BYTES_PER_TOKEN: u32 = 131_072;

raw_section! {
    /// An unchecked section `[model NAME]`.
    RawModel {
        version = "version",
        adapters = "adapters",
        context_tokens = "context-tokens",
        kv_bytes_per_token = "kv-bytes-per-token",
    }
}

impl RawModel {
    pub(super) fn check(&self, name: &ModelName) -> Result<Model, Problems> {
        let mut problems = Problems::default();
        let version = problems.record(self.version.required(&Name::new()));
        let adapters =
            problems.record(self.adapters.optional_or(Vec::new(), &Names::<AdapterName>::new()));
        let mut context_tokens = DEFAULT_CONTEXT_TOKENS;
        problems.set(&mut context_tokens, self.context_tokens.optional(&CONTEXT_TOKENS));
        let mut kv_bytes_per_token = DEFAULT_KV_BYTES_PER_TOKEN;
        let kv_bytes = self.kv_bytes_per_token.optional(&KV_BYTES_PER_TOKEN);
        problems.set(&mut kv_bytes_per_token, kv_bytes);
        let (Some(version), Some(adapters), true) = (version, adapters, problems.is_empty()) else {
            return Err(problems);
        };
        let adapters = BTreeSet::from_iter(adapters);
        Ok(Model { name: name.clone(), version, adapters, context_tokens, kv_bytes_per_token })
    }
}
