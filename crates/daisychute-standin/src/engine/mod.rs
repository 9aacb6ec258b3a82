//! A stand-in for a model engine.
//!
//! It batches continuously: a step has a fixed time, a time for each prompt token that it computes and one for each
//! running sequence, and makes one output token for every sequence whose prompt is computed. Its output is a function
//! of the prompt and the index of the token, so that a continued text can be compared with an uninterrupted one.

mod answer;
mod api;
mod batch;
mod cache;
mod completion;
mod config;
mod control;
mod events;
mod faults;
mod kv;
mod kv_api;
mod load;
mod order;
mod requests;
mod runner;
mod seen;
mod sequence;
mod state;
mod stream;
mod submit;
mod text;

use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use daisychute_core::EngineTarget;

pub use self::cache::{BLOCK_TOKENS, BlockHash, prompt_blocks};
pub use self::config::EngineConfig;
pub use self::events::{CacheEvent, CacheEventType, CacheEvents};
pub use self::faults::{Crash, EngineFaults};
pub use self::load::Load;
pub use self::seen::{Continuation, EngineSeen, OrderOutcome, OrderSeen};
use self::state::State;
pub use self::text::{chat_prompt, count_tokens, emitted_tokens, output_text, output_token};
use crate::StandinError;
use crate::http::{ByteCount, Server};

/// A running engine. Dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    steps: JoinHandle<()>,
    state: Rc<State>,
}

impl Engine {
    /// Listens on `addr`; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub async fn start(addr: SocketAddr, config: EngineConfig) -> Result<Self, StandinError> {
        let state = State::new(config);
        let api = api::Api::new(Rc::clone(&state));
        let server = Server::start(addr, Rc::new(api), ByteCount::default()).await?;
        let steps = actix_rt::spawn(runner::run(Rc::clone(&state)));
        Ok(Self { server, steps, state })
    }

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.faults.set(faults);
    }

    /// Loses everything in memory and starts anew at once, as it was first started.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// What it has seen.
    #[must_use]
    pub fn seen(&self) -> EngineSeen {
        self.state.seen.borrow().clone()
    }

    /// What it is at present.
    #[must_use]
    pub fn target(&self) -> EngineTarget {
        self.state.memory.borrow().target.clone()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.steps.abort();
    }
}
