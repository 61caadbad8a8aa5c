//! Versions of a directory that comes back from a copy.

use chicoryhollow_core::{
    document::{Acceptance, DocumentCopy},
    version::{DirectoryVersion, Era},
};

#[test]
fn packed_versions_have_the_order_of_their_eras_and_numbers() {
    bolero::check!().with_type::<[(u32, u64); 2]>().for_each(|pairs: &[(u32, u64); 2]| {
        let [a, b] = pairs.map(|(era, number)| DirectoryVersion::new(Era::new(era), number));
        assert_eq!(a.cmp(&b), a.pack().cmp(&b.pack()));
        assert_eq!(DirectoryVersion::unpack(a.pack()), a);
        assert_eq!(a.to_string().parse(), Ok(a));
    });
}

/// Lists of the time after the restore were dropped until the store had given out more
/// versions than it had lost.
#[test]
fn a_list_of_the_time_after_a_restore_replaces_one_with_a_greater_number() {
    let version = |era, number| DirectoryVersion::new(Era::new(era), number).pack();
    let mut copy = DocumentCopy::default();
    assert_eq!(copy.accept(version(1, 61), b"[1]".to_vec()), Acceptance::New);
    assert_eq!(copy.accept(version(2, 49), b"[2]".to_vec()), Acceptance::New);
    // A VM that was cut off meanwhile sends what it has.
    assert_eq!(copy.accept(version(1, 62), b"[3]".to_vec()), Acceptance::Old);
    assert_eq!(copy.json(), b"[2]");
}
