//! Tells which bodies have stalled while others wait for their memory.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::Time;

/// Identifies a body that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyKey(u64);

/// What a body waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// For its client, or for its turn at the processor.
    Receiving,
    /// For memory, so that its client can't send.
    Waiting,
    /// For nothing: it was told to give its memory up.
    Yielding,
}

#[derive(Debug, Clone, Copy)]
struct Body {
    /// Reserved bytes.
    held: usize,
    /// Received bytes at which the body has made progress again.
    next_mark: usize,
    /// When it last made progress.
    progressed_at: Time,
    stage: Stage,
}

/// The bodies that are being received, and when each last made progress.
///
/// A body has stalled if it hasn't grown by a sixteenth of its size for a while, be it that its client sends nothing or that
/// what it sends takes long to read. As long as there is memory for all, that
/// does no harm. Once others wait for memory, the bodies that stalled first give theirs up.
///
/// ```
/// use daisychute_core::Time;
/// use daisychute_front::BodyProgress;
///
/// let mut progress = BodyProgress::default();
/// let body = progress.begin(Time::ZERO);
/// progress.hold(Time::ZERO, body, 1 << 20);
/// let later = Time::ZERO + BodyProgress::STALL_TIME;
/// assert_eq!(progress.yield_for(later, 1000), [body]);
/// // Its memory will be free soon.
/// assert_eq!(progress.yield_for(later, 1000), []);
/// ```
#[derive(Debug, Default)]
pub struct BodyProgress {
    bodies: BTreeMap<BodyKey, Body>,
    next_key: u64,
}

impl BodyProgress {
    /// Time without progress after which a body has stalled.
    pub const STALL_TIME: Duration = Duration::from_secs(1);
    /// Share of its size by which a body has to grow to make progress, as a divisor.
    const PROGRESS_DIVISOR: usize = 16;
    /// Number of bytes by which a small body has to grow to make progress.
    const MIN_PROGRESS: usize = 16 * 1024;

    /// Adds a body, which holds nothing yet.
    pub fn begin(&mut self, now: Time) -> BodyKey {
        let key = BodyKey(self.next_key);
        self.next_key += 1;
        let (held, next_mark, stage) = (0, Self::MIN_PROGRESS, Stage::Receiving);
        self.bodies.insert(key, Body { held, next_mark, progressed_at: now, stage });
        key
    }

    /// Records that a body waits for memory.
    pub fn wait(&mut self, key: BodyKey) {
        if let Some(body) = self.bodies.get_mut(&key) {
            body.stage = Stage::Waiting;
        }
    }

    /// Records that a body holds this many bytes from now on, and doesn't wait for more.
    pub fn hold(&mut self, now: Time, key: BodyKey, bytes: usize) {
        let Some(body) = self.bodies.get_mut(&key) else { return };
        body.held = bytes;
        if body.stage == Stage::Waiting {
            body.stage = Stage::Receiving;
            body.progressed_at = now;
        }
    }

    /// Records how many bytes of a body have been received in total.
    pub fn receive(&mut self, now: Time, key: BodyKey, received: usize) {
        let Some(body) = self.bodies.get_mut(&key) else { return };
        if received >= body.next_mark {
            let step = (body.held / Self::PROGRESS_DIVISOR).max(Self::MIN_PROGRESS);
            body.next_mark = received + step;
            body.progressed_at = now;
        }
    }

    /// Removes a body that is received, or given up.
    pub fn end(&mut self, key: BodyKey) {
        self.bodies.remove(&key);
    }

    /// Returns the bodies that have to give their memory up so that `needed` bytes become free, as far as there are enough
    /// that have stalled; those that stalled first come first. None of them is returned again.
    pub fn yield_for(&mut self, now: Time, needed: usize) -> Vec<BodyKey> {
        let is_yielding = |it: &&Body| it.stage == Stage::Yielding;
        let mut freed: usize = self.bodies.values().filter(is_yielding).map(|it| it.held).sum();
        let mut stalled: Vec<_> = self
            .bodies
            .iter_mut()
            .filter(|(_, it)| it.stage == Stage::Receiving && it.held > 0)
            .filter(|(_, it)| now.since(it.progressed_at) >= Self::STALL_TIME)
            .collect();
        stalled.sort_by_key(|(key, it)| (it.progressed_at, **key));
        let mut yielding = Vec::new();
        for (key, body) in stalled {
            if freed >= needed {
                break;
            }
            freed += body.held;
            body.stage = Stage::Yielding;
            yielding.push(*key);
        }
        yielding
    }
}
