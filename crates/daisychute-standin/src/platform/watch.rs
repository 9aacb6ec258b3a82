//! Streams of changes for watches.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde::Serialize;
use serde_json::json;

use super::State;
use super::store::Change;
use crate::http::BodyAborted;

/// An open watch.
struct Watch {
    state: Rc<State>,
    kind: String,
    prefix: String,
    // Invariant: every change up to this version has been queued.
    version: u64,
    queued: VecDeque<Bytes>,
    // Whether the fault `silent_watches` was on while the watch was open. Invariant: never reset.
    silent: bool,
    /// Value of [`State::silences`] when the watch was opened.
    silences: u64,
}

/// One line of the stream, in JSON.
#[derive(Serialize)]
struct Line<'a, T> {
    r#type: &'a str,
    object: &'a T,
}

/// Opens a watch: a stream of JSON lines with the changes of a kind after `version`.
pub(super) fn open(
    state: Rc<State>,
    kind: &str,
    prefix: &str,
    version: u64,
) -> impl Stream<Item = Result<Bytes, BodyAborted>> + use<> {
    state.seen.borrow_mut().open_watches += 1;
    let silent = state.faults.get().silent_watches;
    let silences = state.silences.get();
    let watch = Watch {
        state,
        kind: kind.to_owned(),
        prefix: prefix.to_owned(),
        version,
        queued: VecDeque::new(),
        silent,
        silences,
    };
    stream::unfold(watch, |mut watch| async move {
        let line = watch.next().await?;
        Some((line, watch))
    })
}

impl Watch {
    async fn next(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        loop {
            if self.state.faults.get().outage {
                return Some(Err(BodyAborted));
            }
            self.silent |= self.state.silences.get() != self.silences;
            if self.silent {
                return self.stay_silent().await;
            }
            if let Some(line) = self.queued.pop_front() {
                return Some(Ok(line));
            }
            let state = Rc::clone(&self.state);
            let changed = state.changed.notified();
            self.queue_changes()?;
            if !self.queued.is_empty() {
                continue;
            }
            if tokio::time::timeout(self.state.config.bookmark_interval, changed).await.is_err() {
                self.queued.push_back(self.bookmark());
            }
        }
    }

    /// Sends nothing until the fault `outage` closes the connection.
    async fn stay_silent(&self) -> Option<Result<Bytes, BodyAborted>> {
        loop {
            let changed = self.state.changed.notified();
            if self.state.faults.get().outage {
                return Some(Err(BodyAborted));
            }
            changed.await;
        }
    }

    /// Queues the changes since the last call. Returns `None`, which ends the watch, if the log no longer has them.
    fn queue_changes(&mut self) -> Option<()> {
        let store = self.state.store.borrow();
        let changes = store.changes(&self.kind, self.version).ok()?;
        let matching =
            changes.iter().filter(|it| it.object.metadata.name.starts_with(&self.prefix));
        self.queued.extend(matching.filter_map(change_line));
        self.version = self.version.max(store.version());
        Some(())
    }

    fn bookmark(&self) -> Bytes {
        let version = self.version.to_string();
        let object = json!({"kind": self.kind, "metadata": {"resourceVersion": version}});
        to_line("BOOKMARK", &object).unwrap_or_default()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.state.seen.borrow_mut().open_watches -= 1;
    }
}

fn change_line(change: &Change) -> Option<Bytes> {
    let change_type = serde_json::to_value(change.change_type).ok()?;
    to_line(change_type.as_str()?, &*change.object)
}

fn to_line(r#type: &str, object: &impl Serialize) -> Option<Bytes> {
    let mut json = serde_json::to_vec(&Line { r#type, object }).ok()?;
    json.push(b'\n');
    Some(Bytes::from(json))
}
