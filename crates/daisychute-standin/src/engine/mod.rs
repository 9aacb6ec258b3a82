//! A stand-in for a model engine.
//!
//! It simulates continuous batching. The duration of a step is a fixed time, plus a time per prefilled prompt token,
//! plus a time per running sequence. Each step generates one output token for every sequence whose prefill is done. An
//! output token depends only on the prompt and the index of the token, so that a test can compare a continued
//! generation with an uninterrupted one.

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
mod response;
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

/// A running engine. Dropping it stops the engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    step_loop: JoinHandle<()>,
    state: Rc<State>,
}

impl Engine {
    /// Listens on `addr`; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// The listening socket can't be bound.
    pub async fn start(addr: SocketAddr, config: EngineConfig) -> Result<Self, StandinError> {
        let state = State::new(config);
        let api = api::Api::new(Rc::clone(&state));
        let server = Server::start(addr, Rc::new(api), ByteCount::default()).await?;
        let step_loop = actix_rt::spawn(runner::run(Rc::clone(&state)));
        Ok(Self { server, step_loop, state })
    }

    /// Address on which the engine listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.faults.set(faults);
    }

    /// Simulates a crash: the engine loses its volatile state and restarts at once with its configured target.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Requests, orders and counters recorded since the start.
    #[must_use]
    pub fn seen(&self) -> EngineSeen {
        self.state.seen.borrow().clone()
    }

    /// Role, model, version and adapter at present; the old ones while a change is in progress.
    #[must_use]
    pub fn target(&self) -> EngineTarget {
        self.state.memory.borrow().target.clone()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.step_loop.abort();
    }
}
