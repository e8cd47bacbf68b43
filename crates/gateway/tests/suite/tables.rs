//! Tests of the copies of the store's tables that hosts serve to each other.

use std::time::Duration;

use ebonytack_gateway::{Changes, CopyError, CopyResponse, Era, Position, Row, TableCopy, Version};

const NOW: Duration = Duration::from_secs(50);
const AGE_MAX: Duration = Duration::from_secs(2);

fn row(key: &str, version: u64) -> Row {
    Row { key: key.to_owned(), value: Some(version.to_string().into_bytes()), version }
}

const ERA: Era = 1;

fn at(version: Version) -> Position {
    Position { era: ERA, version }
}

fn changes(rows: &[Row], version: Version) -> Changes {
    Changes { rows: rows.to_vec(), position: at(version), store_reachable_for: None }
}

/// Returns a confirmed copy with two rows at version 10.
fn copy() -> TableCopy {
    let mut copy = TableCopy::default();
    copy.apply(&changes(&[row("a", 4), row("b", 7)], 10), true);
    copy.confirm(NOW);
    copy
}

fn rows(response: Result<CopyResponse, CopyError>) -> Vec<Row> {
    match response {
        Ok(CopyResponse::Rows(changes)) => changes.rows,
        other => panic!("{other:?}"),
    }
}

#[test]
fn copy_is_readable_only_while_confirmed() {
    let mut copy = copy();
    let until = NOW + AGE_MAX;
    assert_eq!(copy.read(Some(at(10)), NOW, AGE_MAX), Ok(CopyResponse::Unchanged { until }));
    assert_eq!(copy.read(Some(at(10)), until, AGE_MAX), Err(CopyError::NotConfirmed));
    assert_eq!(copy.read(None, until, AGE_MAX), Err(CopyError::NotConfirmed));
    copy.confirm(until);
    assert_eq!(rows(copy.read(None, until, AGE_MAX)).len(), 2);
    assert!(copy.invalidate());
    assert_eq!(copy.read(None, until, AGE_MAX), Err(CopyError::NotConfirmed));
}

#[test]
fn reader_receives_newer_rows_in_version_order() {
    let mut copy = copy();
    let removed = Row { value: None, ..row("a", 12) };
    copy.apply(&changes(&[row("c", 14), removed.clone()], 15), false);
    assert_eq!(rows(copy.read(Some(at(10)), NOW, AGE_MAX)), [removed, row("c", 14)]);
    assert_eq!(rows(copy.read(Some(at(12)), NOW, AGE_MAX)), [row("c", 14)]);
    assert!(matches!(copy.read(Some(at(14)), NOW, AGE_MAX), Ok(CopyResponse::Unchanged { .. })));
    assert_eq!(copy.read(Some(at(9)), NOW, AGE_MAX), Err(CopyError::HistoryGone));
    assert_eq!(rows(copy.read(None, NOW, AGE_MAX)), [row("b", 7), row("c", 14)]);
}

#[test]
fn rows_missed_by_a_long_poll_still_reach_readers() {
    let mut copy = copy();
    // The long poll returns version 20 without three changes: b was changed, a removed and d added.
    copy.apply(&changes(&[], 20), false);
    copy.apply(&changes(&[row("b", 17), row("d", 18)], 20), true);
    let changed = rows(copy.read(Some(at(20)), NOW, AGE_MAX));
    let removed = Row { value: None, ..row("a", 20) };
    assert_eq!(changed, [row("b", 17), row("d", 18), removed]);
    copy.apply(&changes(&[], 21), false);
    assert!(matches!(copy.read(Some(at(21)), NOW, AGE_MAX), Ok(CopyResponse::Unchanged { .. })));
}

#[test]
fn removed_rows_are_limited() {
    let mut copy = copy();
    for version in 11..=2_500 {
        let removed = Row { value: None, ..row(&format!("r-{version}"), version) };
        copy.apply(&changes(&[removed], version), false);
    }
    assert_eq!(copy.read(Some(at(11)), NOW, AGE_MAX), Err(CopyError::HistoryGone));
    assert_eq!(rows(copy.read(None, NOW, AGE_MAX)).len(), 2);
}

/// Guards against a copy that continues for a reader of another era: rows that were restored since have
/// versions that the reader has already read.
#[test]
fn reader_of_another_era_never_continues() {
    let mut copy = copy();
    let restored = Position { era: ERA + 1, version: 9 };
    assert_eq!(copy.read(Some(restored), NOW, AGE_MAX), Err(CopyError::Behind));
    let snapshot = Changes { position: restored, ..changes(&[row("a", 4), row("c", 9)], 9) };
    copy.apply(&snapshot, true);
    for version in [4, 9, 10, 11] {
        assert_eq!(copy.read(Some(at(version)), NOW, AGE_MAX), Err(CopyError::HistoryGone));
    }
    // Rows of the earlier era are neither served as removed nor again.
    assert!(matches!(copy.read(Some(restored), NOW, AGE_MAX), Ok(CopyResponse::Unchanged { .. })));
    assert_eq!(rows(copy.read(None, NOW, AGE_MAX)), [row("a", 4), row("c", 9)]);
}
