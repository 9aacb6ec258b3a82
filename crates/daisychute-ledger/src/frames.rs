//! Between the types of this package and the frames of the inner protocol.

use std::sync::Arc;

use daisychute_proto as proto;

use crate::{
    Answer, CallDigest, CallKey, EndedCall, Ending, HandOverPart, HandOverTaken, KeyError, OwnerId,
    ProcessId, Slot,
};

impl From<&OwnerId> for proto::Owner {
    fn from(it: &OwnerId) -> Self {
        let ProcessId { process, incarnation } = it.agent.clone();
        Self { agent: process, incarnation, generation: it.generation }
    }
}

impl From<proto::Owner> for OwnerId {
    fn from(it: proto::Owner) -> Self {
        let agent = ProcessId::new(it.agent, it.incarnation);
        Self { agent, generation: it.generation }
    }
}

impl From<&EndedCall> for proto::HandOverCall {
    fn from(it: &EndedCall) -> Self {
        let ending = match &it.ending {
            Ending::Unknown(refusal) => proto::HandOverEnding::Unknown(*refusal),
            Ending::Answered(it) => proto::HandOverEnding::Answered {
                status: it.status,
                content_type: it.content_type.clone(),
                body: it.body.clone(),
            },
        };
        Self {
            tenant: it.key.tenant().clone(),
            key: it.key.as_str().to_owned(),
            digest: it.digest.halves(),
            ending,
        }
    }
}

impl TryFrom<proto::HandOverCall> for EndedCall {
    type Error = KeyError;

    fn try_from(it: proto::HandOverCall) -> Result<Self, KeyError> {
        let ending = match it.ending {
            proto::HandOverEnding::Unknown(refusal) => Ending::Unknown(refusal),
            proto::HandOverEnding::Answered { status, content_type, body } => {
                Ending::Answered(Arc::new(Answer { status, content_type, body }))
            }
        };
        let key = CallKey::from_caller(it.tenant, &it.key)?;
        Ok(Self { key, digest: CallDigest::from_halves(it.digest), ending })
    }
}

impl From<&HandOverPart> for proto::HandOver {
    fn from(it: &HandOverPart) -> Self {
        Self {
            from: (&it.from).into(),
            to: (&it.to).into(),
            slot: it.slot.get(),
            index: it.index,
            calls: it.calls.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::HandOver> for HandOverPart {
    type Error = KeyError;

    fn try_from(it: proto::HandOver) -> Result<Self, KeyError> {
        let calls: Result<_, _> = it.calls.into_iter().map(TryInto::try_into).collect();
        Ok(Self {
            from: it.from.into(),
            to: it.to.into(),
            slot: Slot::new(it.slot),
            index: it.index,
            calls: calls?,
        })
    }
}

impl From<&HandOverTaken> for proto::HandOverTaken {
    fn from(it: &HandOverTaken) -> Self {
        let (from, to) = ((&it.from).into(), (&it.to).into());
        Self { from, to, slot: it.slot.get(), index: it.index }
    }
}

impl From<proto::HandOverTaken> for HandOverTaken {
    fn from(it: proto::HandOverTaken) -> Self {
        let (from, to) = (it.from.into(), it.to.into());
        Self { from, to, slot: Slot::new(it.slot), index: it.index }
    }
}
