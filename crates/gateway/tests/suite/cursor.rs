//! Tests of the decision which reads of a table are applied.

use ebonytack_gateway::{Changes, Era, Position, ReadResult, TableCursor, Version};

fn read(era: Era, version: Version) -> Changes {
    Changes { position: Position { era, version }, ..Changes::default() }
}

/// Returns a cursor that has read up to version 50 of era 1.
fn cursor() -> TableCursor {
    let mut cursor = TableCursor::default();
    assert_eq!(respond(&mut cursor, 1, 40), ReadResult::Snapshot { restored: false });
    assert_eq!(respond(&mut cursor, 1, 50), ReadResult::Changes);
    cursor
}

/// Responds to a read that begins now.
fn respond(cursor: &mut TableCursor, era: Era, version: Version) -> ReadResult {
    cursor.on_response(cursor.position(), &read(era, version))
}

/// Guards against changes that are continued from a version of an earlier era: the store has given out
/// as many versions again as were lost, so that nothing else shows that it was restored.
#[test]
fn changes_of_a_later_era_are_dropped_and_all_rows_read() {
    let mut cursor = cursor();
    assert_eq!(respond(&mut cursor, 2, 50), ReadResult::Restored);
    assert_eq!(cursor.position(), None);
    assert_eq!(respond(&mut cursor, 2, 51), ReadResult::Snapshot { restored: true });
    assert_eq!(cursor.position(), Some(Position { era: 2, version: 51 }));
}

/// Guards against changes that are taken for all rows: the era of their own response, or another call,
/// has already shown that all rows have to be read.
#[test]
fn changes_are_never_taken_for_all_rows() {
    let mut cursor = cursor();
    let after = cursor.position();
    assert!(cursor.on_era(2), "all rows have to be read");
    assert!(!cursor.on_era(2), "an era counts once");
    assert_eq!(cursor.on_response(after, &read(2, 60)), ReadResult::Restored);
    assert_eq!(cursor.position(), None);
}

/// Guards against a late response, or the copy of a host that has not noticed, which takes a host back to
/// an earlier era.
#[test]
fn rows_of_an_earlier_era_are_refused_once_any_call_has_shown_a_later_one() {
    let mut cursor = cursor();
    let after = cursor.position();
    cursor.on_era(2);
    assert_eq!(cursor.on_response(after, &read(1, 60)), ReadResult::Behind);
    assert_eq!(respond(&mut cursor, 1, 60), ReadResult::Behind);
    assert_eq!(respond(&mut cursor, 2, 60), ReadResult::Snapshot { restored: true });
    assert_eq!(cursor.on_response(after, &read(1, 70)), ReadResult::Behind);
    assert_eq!(respond(&mut cursor, 1, 70), ReadResult::Behind);
    assert_eq!(cursor.position(), Some(Position { era: 2, version: 60 }));
}

/// Guards against a host that changes to a source which is behind in the same era, and goes back.
#[test]
fn source_that_is_behind_in_the_same_era_changes_nothing() {
    let mut cursor = cursor();
    let position = cursor.position();
    assert_eq!(respond(&mut cursor, 1, 45), ReadResult::Changes);
    assert_eq!(cursor.position(), position);
    cursor.on_history_gone();
    assert_eq!(respond(&mut cursor, 1, 45), ReadResult::Behind);
    assert_eq!(respond(&mut cursor, 1, 50), ReadResult::Snapshot { restored: false });
}

/// Guards against a host that refuses a restored store because it has read a higher version before.
#[test]
fn lower_version_of_a_later_era_is_newer() {
    for (shown_before, version) in [(false, 3), (true, 3), (true, 0)] {
        let mut cursor = cursor();
        if shown_before {
            cursor.on_era(2);
        } else {
            assert_eq!(respond(&mut cursor, 2, version), ReadResult::Restored);
        }
        assert_eq!(respond(&mut cursor, 2, version), ReadResult::Snapshot { restored: true });
        assert_eq!(respond(&mut cursor, 2, version + 1), ReadResult::Changes);
        assert_eq!(cursor.position(), Some(Position { era: 2, version: version + 1 }));
    }
}
