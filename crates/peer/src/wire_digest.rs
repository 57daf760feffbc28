//! The wire form of a digest: an array without field names, because each daemon sends a digest in every period.

use std::fmt;

use domain::{Epoch, FleetSeq};
use membership::{Digest, View};
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The number of elements of the array.
const FIELDS: usize = 7;

/// A [`Digest`] that is serialized as an array: the entry VM, the incarnation, the epoch, the change number, the age of
/// the view in us, whether the daemon is draining, and the peaks of requests in flight. Fails to deserialize when an
/// element is missing.
///
/// ```
/// use domain::{EntryVmId, Incarnation};
/// let digest = membership::Digest {
///     entry_vm: EntryVmId::new("e1").unwrap(),
///     incarnation: Incarnation::new("e1.7").unwrap(),
///     view: membership::View::default(),
///     view_age_us: Some(5),
///     is_draining: false,
///     peak_in_flight: vec![1, 0],
/// };
/// let text = serde_json::to_string(&peer::WireDigest(digest.clone())).unwrap();
/// assert_eq!(text, r#"["e1","e1.7",0,0,5,false,[1,0]]"#);
/// assert_eq!(serde_json::from_str::<peer::WireDigest>(&text).unwrap().0, digest);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireDigest(pub Digest);

impl Serialize for WireDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let digest = &self.0;
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&digest.entry_vm)?;
        tuple.serialize_element(&digest.incarnation)?;
        tuple.serialize_element(&digest.view.epoch)?;
        tuple.serialize_element(&digest.view.fleet_seq)?;
        tuple.serialize_element(&digest.view_age_us)?;
        tuple.serialize_element(&digest.is_draining)?;
        tuple.serialize_element(&digest.peak_in_flight)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for WireDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer
            .deserialize_tuple(FIELDS, DigestVisitor)
            .map(Self)
    }
}

struct DigestVisitor;

impl<'de> Visitor<'de> for DigestVisitor {
    type Value = Digest;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a digest of {FIELDS} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Digest, A::Error> {
        let entry_vm = element(&mut seq, "entry VM")?;
        let incarnation = element(&mut seq, "incarnation")?;
        let epoch: Epoch = element(&mut seq, "epoch")?;
        let fleet_seq: FleetSeq = element(&mut seq, "fleet seq")?;
        let view_age_us = element(&mut seq, "view age")?;
        let is_draining = element(&mut seq, "draining")?;
        let peak_in_flight = element(&mut seq, "peaks")?;
        Ok(Digest {
            entry_vm,
            incarnation,
            view: View { epoch, fleet_seq },
            view_age_us,
            is_draining,
            peak_in_flight,
        })
    }
}

fn element<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    name: &str,
) -> Result<T, A::Error> {
    let missing = || A::Error::custom(format_args!("the digest has no {name}"));
    seq.next_element()?.ok_or_else(missing)
}
