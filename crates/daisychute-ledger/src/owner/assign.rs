//! Which owner gets which slot.

use xxhash_rust::xxh3::xxh3_64;

use crate::{OwnerId, OwnerTable, Slot, WallTime};

/// How many slots may be asked for at once.
const MAX_MOVES: usize = 16;

/// The owner of highest random weight for a slot (Thaler and Ravishankar, 1998), among those with the fewest slots.
fn choose(table: &OwnerTable, members: &[OwnerId], slot: Slot) -> Option<OwnerId> {
    let weight = |it: &OwnerId| xxh3_64(format!("{it}/{}", slot.index()).as_bytes());
    let owned = |it: &OwnerId| table.owned_by(it).count();
    let best = members.iter().min_by_key(|it| (owned(it), u64::MAX - weight(it)));
    best.cloned()
}

/// Gives the slots of a lost owner away, and the requests to hand over to it back.
pub(super) fn take_over(
    table: &mut OwnerTable,
    lost: &OwnerId,
    members: &[OwnerId],
    wall: WallTime,
) {
    let slots: Vec<Slot> = table.owned_by(lost).collect();
    for slot in slots {
        let to = choose(table, members, slot);
        table.take_over(slot, to, wall);
    }
    table.retain_next(|it| it != lost);
}

/// Assigns the slots that have no owner, or else asks the fullest owners to hand slots over to the emptiest.
///
/// Requests to hand over to somebody who is no member any more are withdrawn first.
pub(super) fn fill(table: &mut OwnerTable, members: &[OwnerId]) {
    table.retain_next(|it| members.contains(it));
    let free: Vec<Slot> = table.free().collect();
    for slot in &free {
        if let Some(to) = choose(table, members, *slot) {
            table.hand_over(*slot, to);
        }
    }
    if free.is_empty() && !table.is_handing_over() {
        balance(table, members);
    }
}

fn balance(table: &mut OwnerTable, members: &[OwnerId]) {
    let mut counts: Vec<(usize, OwnerId)> =
        members.iter().map(|it| (table.owned_by(it).count(), it.clone())).collect();
    for _ in 0..MAX_MOVES {
        counts.sort();
        let [first, .., last] = &mut counts[..] else { return };
        if last.0 < first.0 + 2 {
            return;
        }
        let staying = |it: &Slot| table.get(*it).is_some_and(|it| it.next.is_none());
        let Some(slot) = table.owned_by(&last.1).find(staying) else { return };
        let to = first.1.clone();
        first.0 += 1;
        last.0 -= 1;
        table.ask_hand_over(slot, to);
    }
}
