//! Ends of engines under one prompt part.

use daisychute_core::Time;

use crate::core::crash_quarantine::CrashQuarantine;

/// End of an engine that had a request with a part.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineEnd {
    /// Identifies the start of the engine among the fronts.
    pub(crate) engine: u64,
    pub(crate) at: Time,
    /// Whether the engine had begun to respond to the request. One that had not may only have been in line.
    pub(crate) begun: bool,
}

impl EngineEnd {
    /// Returns how much the end says against the part.
    pub(crate) const fn weight(self) -> usize {
        if self.begun { 2 } else { 1 }
    }
}

/// What is known about one part.
#[derive(Debug, Clone, Default)]
pub(crate) struct PartRecord {
    /// Engines that ended under the part since its last complete response. At most `MAX_ENDS`, each once.
    pub(crate) ends: Vec<EngineEnd>,
    /// Latest place of the part in a prompt under which an engine ended.
    pub(crate) place: usize,
    /// When the latest complete response to a request with the part ended, as far as that is known.
    pub(crate) sound_at: Option<Time>,
    /// Whether any front knows of a complete response.
    pub(crate) was_sound: bool,
    /// When the record last changed.
    pub(crate) changed_at: Time,
}

impl PartRecord {
    /// Maximum number of ends that are kept.
    const MAX_ENDS: usize = 16;

    /// Records the end of an engine, unless a complete response came later.
    pub(crate) fn record_end(&mut self, end: EngineEnd) {
        if let Some(known) = self.ends.iter_mut().find(|it| it.engine == end.engine) {
            known.begun |= end.begun;
        } else if !self.is_sound_since(end.at) && self.ends.len() < Self::MAX_ENDS {
            self.ends.push(end);
        }
    }

    /// Whether a complete response ended at this time or later.
    pub(crate) fn is_sound_since(&self, at: Time) -> bool {
        self.sound_at.is_some_and(|it| it >= at)
    }

    /// Whether enough engines ended under the part to quarantine it.
    pub(crate) fn is_suspect(&self) -> bool {
        let limit =
            if self.was_sound { CrashQuarantine::ENDS_AFTER_SOUND } else { CrashQuarantine::ENDS };
        self.ends.len() >= limit && self.weight() >= 2 * limit
    }

    /// Returns how much all ends say against the part. Of ends that may have had a common cause, since little time passed
    /// between them, the one that says most counts.
    pub(crate) fn weight(&self) -> usize {
        let mut ends = self.ends.clone();
        ends.sort_unstable_by_key(|it| it.at);
        let (mut total, mut first) = (0, None::<EngineEnd>);
        for end in ends {
            match &mut first {
                Some(first) if end.at.since(first.at) < CrashQuarantine::SEPARATION => {
                    total += end.weight().saturating_sub(first.weight());
                    first.begun |= end.begun;
                }
                _ => {
                    total += end.weight();
                    first = Some(end);
                }
            }
        }
        total
    }

    /// Returns the order of suspects: one that was never answered goes before others, then the weight of the ends counts,
    /// then a later place in the prompt, where fewer requests share it.
    pub(crate) fn suspicion(&self) -> (bool, usize, usize) {
        (!self.was_sound, self.weight(), self.place)
    }
}
